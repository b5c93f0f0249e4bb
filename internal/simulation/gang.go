package simulation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// agentTask is an attempt of a task on an agent.
type agentTask struct {
	agent     *agent
	job       *protocol.Job
	name      string
	index     int
	attempt   protocol.AttemptNumber
	state     protocol.TaskState
	cause     protocol.Cause
	saved     bool
	onMachine bool // the task has its image and has not exited
	startedAt time.Time
	exitedAt  time.Time
	gang      *gang
}

// gang is one attempt of a gang job. Its tasks find each other by the attempt number.
type gang struct {
	job             *protocol.Job
	members         map[int]*agentTask
	running         bool
	startedAt       time.Time
	stopRequestedAt time.Time
	ended           bool
}

// imageReady handles the end of the fetch of a task's image. From then on the task counts as
// being on its machine.
func (t *agentTask) imageReady() {
	w := t.agent.w
	t.onMachine = true
	t.agent.reportChange()
	w.rules.starts(t)
	job := w.rules.jobs[t.job.ID]
	switch {
	case job.done[t.index]:
		t.exit(protocol.CauseDone, false)
	case t.agent.failsTasks || job.alwaysFails:
		if t.agent.failsTasks {
			t.agent.failedTasks++
		}
		t.agent.schedule(300*time.Millisecond, t, func() { t.exit(protocol.CauseError, false) })
	case t.job.Gang():
		t.joinGang(job)
	case t.job.Service():
		t.runReplica(job)
	default:
		t.runArrayTask(job)
	}
}

// runArrayTask runs a task of an array until it completes.
func (t *agentTask) runArrayTask(job *simJob) {
	w := t.agent.w
	t.state, t.startedAt = protocol.TaskRunning, w.Now
	job.begin(w.Now)
	t.agent.schedule(secs(max(0, job.run-job.progress[t.index])), t, func() {
		if t.state == protocol.TaskRunning {
			job.done[t.index] = true
			t.exit(protocol.CauseDone, false)
		}
	})
}

// runReplica runs a replica of a service. If the test has set ends for the job, the replica ends by
// itself after a random time.
func (t *agentTask) runReplica(job *simJob) {
	w := t.agent.w
	t.state, t.startedAt = protocol.TaskRunning, w.Now
	job.begin(w.Now)
	if job.ends == 0 {
		return
	}
	t.agent.schedule(w.between(job.ends/2, job.ends), t, func() {
		t.exit([]protocol.Cause{protocol.CauseDone, protocol.CauseError}[w.rng.IntN(2)], false)
	})
}

// joinGang makes a task wait for the other tasks of its attempt. The last one starts them all.
func (t *agentTask) joinGang(job *simJob) {
	w := t.agent.w
	t.state = protocol.TaskWaiting
	g := job.gangs[t.attempt]
	if g == nil || g.ended {
		g = &gang{job: t.job, members: map[int]*agentTask{}}
		job.gangs[t.attempt] = g
	}
	t.gang = g
	g.members[t.index] = t
	t.agent.schedule(secs(w.shape.Agents.GangWaitS), t, func() {
		if t.state == protocol.TaskWaiting {
			t.exit(protocol.CauseGangTimeout, false)
		}
	})
	if len(g.members) == t.job.Tasks {
		g.start(w, job)
	}
}

// sortedMembers returns the gang's tasks in the order of their index.
func (g *gang) sortedMembers() []*agentTask {
	var l []*agentTask
	for _, task := range g.members {
		l = append(l, task)
	}
	slices.SortFunc(l, func(a, b *agentTask) int { return cmp.Compare(a.index, b.index) })
	return l
}

// start starts all tasks of a gang, which complete together.
func (g *gang) start(w *World, j *simJob) {
	g.running, g.startedAt = true, w.Now
	j.begin(w.Now)
	for _, task := range g.sortedMembers() {
		task.state = protocol.TaskRunning
		task.agent.reportChange()
	}
	w.after(secs(max(0, j.run-j.progress[0])), func() {
		if g.ended || !g.stopRequestedAt.IsZero() {
			return
		}
		for _, task := range g.sortedMembers() {
			if task.agent.hung {
				g.fail(w, nil)
				return
			}
		}
		g.ended = true
		for i := range j.done {
			j.done[i] = true
		}
		for _, task := range g.sortedMembers() {
			task.exit(protocol.CauseDone, false)
		}
	})
}

// fail ends the attempt of a gang that lost a task, or whose tasks do not all stop or complete
// together. The other tasks notice it and exit.
func (g *gang) fail(w *World, lost *agentTask) {
	if g.ended {
		return
	}
	g.ended = true
	j := w.rules.jobs[g.job.ID]
	if g.stopRequestedAt.IsZero() && g.job.CheckpointIntervalS > 0 {
		run := j.progress[0] + w.Now.Sub(g.startedAt).Seconds()
		j.progress[0] = max(j.progress[0], math.Floor(run/g.job.CheckpointIntervalS)*g.job.CheckpointIntervalS)
	}
	for _, task := range g.sortedMembers() {
		if task != lost {
			task.agent.schedule(w.between(0, secs(w.shape.Agents.GangPeerS)), task, func() { task.exit(protocol.CauseGangBroken, false) })
		}
	}
}

// begin notes the time at which a job first runs.
func (j *simJob) begin(now time.Time) {
	if j.startedAt.IsZero() {
		j.startedAt = now
	}
}

// stop executes a command to stop. A task that can save a checkpoint within the grace period does
// so first, and one that is already saving continues if there is a grace period. Any other task
// exits at once.
func (t *agentTask) stop(grace float64) {
	if t.state == protocol.TaskExited || t.state == protocol.TaskSaving && grace > 0 {
		return
	}
	saves := t.state == protocol.TaskRunning && t.job.CheckpointIntervalS > 0 && grace >= t.job.CheckpointSaveS
	if !saves {
		t.exit(protocol.CauseStopped, false)
		return
	}
	t.state = protocol.TaskSaving
	t.agent.reportChange()
	if t.gang != nil {
		t.gang.beginStop(t.agent.w)
		return
	}
	t.saveArrayTask()
}

// saveArrayTask ends a task of an array after it has saved its progress.
func (t *agentTask) saveArrayTask() {
	w := t.agent.w
	job := w.rules.jobs[t.job.ID]
	run := job.progress[t.index] + w.Now.Sub(t.startedAt).Seconds()
	t.agent.schedule(secs(t.job.CheckpointSaveS), t, func() {
		job.progress[t.index] = max(job.progress[t.index], run)
		t.exit(protocol.CauseStopped, true)
	})
}

// beginStop is called for each task of the gang that begins to save on a stop command. The first
// call starts the wait for the others. The gang's progress is saved if all begin in time.
func (g *gang) beginStop(w *World) {
	if !g.stopRequestedAt.IsZero() {
		return
	}
	g.stopRequestedAt = w.Now
	job := w.rules.jobs[g.job.ID]
	run := job.progress[0] + w.Now.Sub(g.startedAt).Seconds()
	w.after(secs(w.shape.Agents.GangPeerS), func() { g.finishStop(w, job, run) })
}

// finishStop saves the gang's progress if every task is saving. Otherwise the attempt fails.
func (g *gang) finishStop(w *World, job *simJob, run float64) {
	if g.ended {
		return
	}
	for _, task := range g.sortedMembers() {
		if task.state != protocol.TaskSaving {
			g.fail(w, nil)
			return
		}
	}
	g.ended = true
	job.progress[0] = max(job.progress[0], run)
	for _, task := range g.sortedMembers() {
		task.agent.schedule(0, task, func() { task.exit(protocol.CauseStopped, true) })
	}
}

// exit ends a task. The task stays in the heartbeats until a command to forget it is executed.
func (t *agentTask) exit(cause protocol.Cause, saved bool) {
	if t.state == protocol.TaskExited {
		return
	}
	t.removeFromMachine()
	t.agent.w.Audit.ended(t.instance(), cause, false)
	t.state, t.cause, t.saved, t.exitedAt = protocol.TaskExited, cause, saved, t.agent.w.Now
	t.agent.reportChange()
	if j := t.agent.w.rules.jobs[t.job.ID]; cause == protocol.CauseDone && !t.job.Service() && j.onCompletion != nil && !slices.Contains(j.done, false) {
		j.onCompletion()
	}
}

// lose drops a task that ends with its agent's incarnation or with its machine.
func (t *agentTask) lose() {
	t.removeFromMachine()
	t.agent.w.Audit.ended(t.instance(), "", true)
	t.agent.w.Audit.forgot(t.instance())
}

// instance returns the attempt and its machine.
func (t *agentTask) instance() instance { return instance{t.agent.host.ID, t.name, t.attempt} }

// removeFromMachine marks a task as exited and no longer on its machine. If its gang is running,
// the gang fails.
func (t *agentTask) removeFromMachine() {
	w := t.agent.w
	if t.onMachine {
		t.onMachine = false
		w.rules.leaves(t)
	}
	if g := t.gang; g != nil && !g.ended {
		if g.running {
			g.fail(w, t)
		} else {
			delete(g.members, t.index)
		}
	}
	t.state = protocol.TaskExited
}
