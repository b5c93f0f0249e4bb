package simulation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

type agentTask struct {
	k       *agent
	job     *protocol.Job
	name    string
	index   int
	attempt protocol.AttemptNumber
	state   protocol.TaskState
	cause   protocol.Cause
	kept    bool
	on      bool // it has its image and has not exited
	began   time.Time
	gang    *gang
}

// gang is one attempt of a gang: the tasks find each other by its number.
type gang struct {
	job     *protocol.Job
	members map[int]*agentTask
	running bool
	began   time.Time
	stopped time.Time
	over    bool
}

// arrive is the moment at which a task has its image: it is on its machine.
func (t *agentTask) arrive() {
	w := t.k.w
	t.on = true
	t.k.noteChange()
	w.rules.starts(t)
	j := w.rules.jobs[t.job.ID]
	if j.done[t.index] {
		t.exit(protocol.CauseDone, false)
		return
	}
	if t.k.failsTasks || j.mistaken {
		t.k.wait(300*time.Millisecond, t, func() { t.exit(protocol.CauseError, false) })
		return
	}
	if !t.job.Gang() {
		t.state, t.began = protocol.TaskRunning, w.Now
		j.begin(w.Now)
		if t.job.Service() {
			if j.ends > 0 {
				t.k.wait(w.between(j.ends/2, j.ends), t, func() {
					t.exit([]protocol.Cause{protocol.CauseDone, protocol.CauseError}[w.rng.IntN(2)], false)
				})
			}
			return
		}
		t.k.wait(secs(max(0, j.run-j.progress[t.index])), t, func() {
			if t.state == protocol.TaskRunning {
				j.done[t.index] = true
				t.exit(protocol.CauseDone, false)
			}
		})
		return
	}
	t.state = protocol.TaskWaiting
	g := j.gangs[t.attempt]
	if g == nil || g.over {
		g = &gang{job: t.job, members: map[int]*agentTask{}}
		j.gangs[t.attempt] = g
	}
	t.gang = g
	g.members[t.index] = t
	t.k.wait(secs(w.shape.Agents.GangWaitS), t, func() {
		if t.state == protocol.TaskWaiting {
			t.exit(protocol.CauseGangTimeout, false)
		}
	})
	if len(g.members) == t.job.Tasks {
		g.start(w, j)
	}
}

func (g *gang) list() []*agentTask {
	var l []*agentTask
	for _, task := range g.members {
		l = append(l, task)
	}
	slices.SortFunc(l, func(a, b *agentTask) int { return cmp.Compare(a.index, b.index) })
	return l
}

func (g *gang) start(w *World, j *simJob) {
	g.running, g.began = true, w.Now
	j.begin(w.Now)
	for _, task := range g.list() {
		task.state = protocol.TaskRunning
		task.k.noteChange()
	}
	w.after(secs(max(0, j.run-j.progress[0])), func() {
		if g.over || !g.stopped.IsZero() {
			return
		}
		for _, task := range g.list() {
			if task.k.hung {
				g.fail(w, nil)
				return
			}
		}
		g.over = true
		for i := range j.done {
			j.done[i] = true
		}
		for _, task := range g.list() {
			task.exit(protocol.CauseDone, false)
		}
	})
}

// fail ends a running gang that lost a task: the others notice it.
func (g *gang) fail(w *World, lost *agentTask) {
	if g.over {
		return
	}
	g.over = true
	j := w.rules.jobs[g.job.ID]
	if g.stopped.IsZero() && g.job.CheckpointS > 0 {
		run := j.progress[0] + w.Now.Sub(g.began).Seconds()
		j.progress[0] = max(j.progress[0], math.Floor(run/g.job.CheckpointS)*g.job.CheckpointS)
	}
	for _, task := range g.list() {
		if task != lost {
			task.k.wait(w.between(0, secs(w.shape.Agents.GangPeerS)), task, func() { task.exit(protocol.CauseGangBroken, false) })
		}
	}
}

func (j *simJob) begin(now time.Time) {
	if j.began.IsZero() {
		j.began = now
	}
}

func (t *agentTask) halt(grace float64) {
	w := t.k.w
	if t.state == protocol.TaskExited || t.state == protocol.TaskSaving && grace > 0 {
		return
	}
	saves := t.state == protocol.TaskRunning && t.job.CheckpointS > 0 && grace >= t.job.SaveS
	if !saves {
		t.exit(protocol.CauseStopped, false)
		return
	}
	t.state = protocol.TaskSaving
	t.k.noteChange()
	j := w.rules.jobs[t.job.ID]
	if t.gang == nil {
		run := j.progress[t.index] + w.Now.Sub(t.began).Seconds()
		t.k.wait(secs(t.job.SaveS), t, func() {
			j.progress[t.index] = max(j.progress[t.index], run)
			t.exit(protocol.CauseStopped, true)
		})
		return
	}
	g := t.gang
	if g.stopped.IsZero() {
		g.stopped = w.Now
		run := j.progress[0] + w.Now.Sub(g.began).Seconds()
		w.after(secs(w.shape.Agents.GangPeerS), func() {
			if g.over {
				return
			}
			for _, m := range g.list() {
				if m.state != protocol.TaskSaving {
					g.fail(w, nil)
					return
				}
			}
			g.over = true
			j.progress[0] = max(j.progress[0], run)
			for _, m := range g.list() {
				m.k.wait(0, m, func() { m.exit(protocol.CauseStopped, true) })
			}
		})
	}
}

// exit ends a task; it stays in the heartbeats until it is forgotten.
func (t *agentTask) exit(cause protocol.Cause, kept bool) {
	if t.state == protocol.TaskExited {
		return
	}
	t.leave()
	t.k.w.Audit.ended(t.instance(), cause, false)
	t.state, t.cause, t.kept = protocol.TaskExited, cause, kept
	t.k.noteChange()
	if j := t.k.w.rules.jobs[t.job.ID]; cause == protocol.CauseDone && !t.job.Service() && j.last != nil && !slices.Contains(j.done, false) {
		j.last()
	}
}

// lose drops a task with its agent's incarnation, or its machine.
func (t *agentTask) lose() {
	t.leave()
	t.k.w.Audit.ended(t.instance(), "", true)
	t.k.w.Audit.forgot(t.instance())
}

func (t *agentTask) instance() instance { return instance{t.k.host.ID, t.name, t.attempt} }

// leave takes a task off its machine.
func (t *agentTask) leave() {
	w := t.k.w
	if t.on {
		t.on = false
		w.rules.leaves(t)
	}
	if g := t.gang; g != nil && !g.over {
		if g.running {
			g.fail(w, t)
		} else {
			delete(g.members, t.index)
		}
	}
	t.state = protocol.TaskExited
}
