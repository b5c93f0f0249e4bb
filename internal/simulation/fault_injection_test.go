package simulation

import (
	"net/http"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// randomMachines draws up to n machines.
func (w *World) randomMachines(n int) []*agent {
	list := w.agentsInCreationOrder()
	w.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// blockHeartbeats lets machines reach no controller for a while, though calls reach them.
func (w *World) blockHeartbeats(n int, d time.Duration) {
	for _, agent := range w.randomMachines(n) {
		agent.opensNoConnections = true
		w.after(d, func() { agent.opensNoConnections = false })
	}
}

// replayHeartbeatsToNextLeader keeps copies of the reports of a while; every controller gets them just
// as the next leader begins.
func (w *World) replayHeartbeatsToNextLeader(d time.Duration) {
	w.recordHeartbeats, w.recordedHeartbeats = true, nil
	was := w.leader()
	var awaitLeader func()
	awaitLeader = func() {
		if c := w.leader(); c != nil && c != was {
			w.recordHeartbeats = false
			for _, body := range w.recordedHeartbeats {
				for _, n := range w.nodes {
					w.after(w.between(0, 20*time.Millisecond), func() { w.deliverHeartbeatCopy(n, body) })
				}
			}
			w.recordedHeartbeats = nil
			return
		}
		d -= 5 * time.Millisecond
		if d > 0 {
			w.after(5*time.Millisecond, awaitLeader)
		} else {
			w.recordHeartbeats, w.recordedHeartbeats = false, nil
		}
	}
	awaitLeader()
}

// cancelRunningJobs has users cancel up to n jobs that run, within a fifth of a second;
// the machines of some hang.
func (w *World) cancelRunningJobs(n int, hang time.Duration) {
	for _, u := range w.users {
		if n == 0 {
			return
		}
		task := w.rules.placed[protocol.TaskName(u.job.spec.ID, 0)]
		if !u.accepted || u.cancelRequested || u.over || task == nil {
			continue
		}
		n--
		w.after(w.between(0, 200*time.Millisecond), u.cancel)
		if hang > 0 && w.rng.IntN(2) == 0 {
			task.agent.hang(hang)
		}
	}
}

// crashLeader ends the leader; it is back after a while.
func (w *World) crashLeader(back time.Duration) {
	if c := w.leader(); c != nil {
		c.crash(back)
	}
}

// sendRedundantAndInvalidRequests has users repeat submissions, cancel what is over and send what can
// never run.
func (w *World) sendRedundantAndInvalidRequests(d time.Duration) {
	const apart = 500 * time.Millisecond
	w.every(apart, int(d/apart), func(int) {
		c := w.nodes[w.rng.IntN(len(w.nodes))]
		if u := w.users[w.rng.IntN(len(w.users))]; u.accepted {
			u.askAllNodes()
			if u.over {
				u.cancelFinishedJob(c)
			}
		}
		job := w.impossibleJob()
		c.ask(submission(job), func(status int, _ []byte) {
			if status == http.StatusOK || status == http.StatusCreated {
				w.rules.violated(ruleAccepted, "%+v can never run", *job)
			}
		})
	})
}

// cancelFinishedJob asks a node for the cancellation of a job that is over, which changes nothing.
func (u *user) cancelFinishedJob(c *controller) {
	told := u.phase
	c.ask(cancellation(u.job.spec.ID), func(status int, body []byte) {
		var a protocol.Accepted
		if decode(body, &a); status == http.StatusOK && a.Phase != told {
			u.w.rules.violated(ruleWentBack, "%s was %s and is %s when cancelled", a.ID, told, a.Phase)
		}
	})
}

// impossibleJob is a job that can never run.
func (w *World) impossibleJob() *protocol.Job {
	job := array(jobID(900_000+w.rng.IntN(100_000)), 2)
	switch w.rng.IntN(5) {
	case 0:
		job.CPUs = 1000
	case 1:
		job.Team = "nobody"
	case 2:
		job.Team, job.GPUs, job.Shape, job.Tasks = "red", 4, protocol.ShapeGang, 3
	case 3:
		job.Zone = "nowhere"
	case 4:
		job.Shape, job.OneZone, job.Spread = protocol.ShapeGang, true, true
	}
	return job
}

// watchWaitingJobs checks, from calm on, that no job waits beside capacity for it.
func (w *World) watchWaitingJobs() {
	since := map[*user]time.Time{}
	var inspect func()
	inspect = func() {
		for _, u := range w.users {
			if !w.waitsDespiteCapacity(u) {
				delete(since, u)
				continue
			}
			if since[u].IsZero() {
				since[u] = w.Now
			}
			if w.Now.Sub(since[u]) > maxWaitDespiteCapacity {
				w.rules.violated(ruleLeftWaiting, "%s waits beside capacity for %v", u.job.spec.ID, w.Now.Sub(since[u]))
				since[u] = w.Now
			}
		}
		w.after(time.Second, inspect)
	}
	inspect()
}

// waitsDespiteCapacity says whether an accepted job has a task nowhere while machines have
// capacity for it, a gang for all, and its team is under its limit.
func (w *World) waitsDespiteCapacity(u *user) bool {
	spec := u.job.spec
	if !u.accepted || u.cancelRequested || u.over || u.job.alwaysFails {
		return false
	}
	want := w.unplacedTasks(u)
	if want == 0 || spec.Gang() && want < spec.Tasks {
		return false
	}
	if !spec.Gang() {
		want = 1
	}
	for _, team := range w.shape.Teams {
		if team.Name == spec.Team && team.MaxGPUs > 0 && w.rules.gpusInUse[spec.Team]+spec.GPUs*float64(want) > team.MaxGPUs+1e-6 {
			return false
		}
	}
	if spec.Spread && spec.Tasks > 1 {
		return false // what it may have of a zone depends on the others
	}
	for _, n := range w.tasksThatFit(spec) {
		if n >= want {
			return true
		}
	}
	return false
}

// unplacedTasks counts the tasks of a user's job that are neither done nor on a machine.
func (w *World) unplacedTasks(u *user) (n int) {
	for i := range u.job.spec.Tasks {
		if w.rules.placed[protocol.TaskName(u.job.spec.ID, i)] == nil && !u.job.done[i] {
			n++
		}
	}
	return n
}

// tasksThatFit counts how many more tasks of a job the machines of each zone have capacity
// for.
func (w *World) tasksThatFit(spec *protocol.Job) map[protocol.ZoneName]int {
	fit := map[protocol.ZoneName]int{}
	for _, agent := range w.agents {
		if agent.hung || agent.preemptionNoticeS != nil || spec.Zone != "" && spec.Zone != agent.host.Zone || agent.host.Spot && !spec.Spot {
			continue
		}
		cpus, gpus, memory := w.shape.Type.CPUs, w.shape.Type.GPUs, w.shape.Type.MemoryGB
		for _, task := range agent.tasks {
			if task.state != protocol.TaskExited {
				cpus, gpus, memory = cpus-task.job.CPUs, gpus-task.job.GPUs, memory-task.job.MemoryGB
			}
		}
		for cpus >= spec.CPUs && gpus >= spec.GPUs && memory >= spec.MemoryGB && fit[agent.host.Zone] < spec.Tasks {
			fit[agent.host.Zone]++
			cpus, gpus, memory = cpus-spec.CPUs, gpus-spec.GPUs, memory-spec.MemoryGB
		}
	}
	return fit
}

// every does something again and again.
func (w *World) every(d time.Duration, times int, do func(i int)) {
	for i := range times {
		w.after(time.Duration(i)*d, func() { do(i) })
	}
}

// runUntilOver lets a day come to its end: every job but a mistaken one must be over.
func (w *World) runUntilOver() {
	for end := w.Now.Add(600 * time.Second); w.Now.Before(end) && !over(w.users...); {
		w.Run(5 * time.Second)
	}
	for _, u := range w.users {
		if !u.over && !u.job.alwaysFails {
			w.rules.violated(ruleLiveness, "%s %s of %d tasks is still %q: done %v", u.job.spec.ID, u.job.spec.Shape, u.job.spec.Tasks, u.phase, u.job.done)
		}
	}
}
