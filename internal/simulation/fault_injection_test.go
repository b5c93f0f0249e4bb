package simulation

import (
	"net/http"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// randomMachines returns the agents of up to n machines in random order.
func (w *World) randomMachines(n int) []*agent {
	list := w.agentsInCreationOrder()
	w.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// blockHeartbeats prevents n random machines from reaching any controller for a while. Calls from
// controllers still reach them.
func (w *World) blockHeartbeats(n int, d time.Duration) {
	for _, machine := range w.randomMachines(n) {
		machine.opensNoConnections = true
		w.after(d, func() { machine.opensNoConnections = false })
	}
}

// beginSessionUnheard has a machine lose the responses to its heartbeats, then the heartbeats as well
// until its lease has expired, while calls reach it. Then it hangs for the time hang, during which the
// cloud refuses every request.
func (w *World) beginSessionUnheard(machine *agent, hang time.Duration) {
	machine.losesResponses = true
	lease := secs(w.shape.Agents.LeaseS)
	w.after(w.between(lease/2, lease), func() { machine.opensNoConnections = true })
	w.after(w.between(lease, lease*3/2), func() {
		machine.losesResponses, machine.opensNoConnections = false, false
		machine.hang(hang)
		w.cloud.down = true
		w.after(hang, func() { w.cloud.down = false })
	})
}

// replayHeartbeatsToNextLeader records all heartbeats until the next leader takes over, and then
// delivers copies of them to every controller within 20 ms. If no new leader appears within d, the
// copies are dropped.
func (w *World) replayHeartbeatsToNextLeader(d time.Duration) {
	w.recordHeartbeats, w.recordedHeartbeats = true, nil
	previousLeader := w.leader()
	var awaitLeader func()
	awaitLeader = func() {
		if c := w.leader(); c != nil && c != previousLeader {
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

// delayCommandCopies has a share of the calls that agents execute within d arrive a second time, up
// to three agent leases late.
func (w *World) delayCommandCopies(share float64, d time.Duration) {
	w.commandCopyShare, w.maxCommandCopyDelay = share, 3*secs(w.shape.Agents.LeaseS)
	w.after(d, func() { w.commandCopyShare, w.maxCommandCopyDelay = 0, 0 })
}

// cancelRunningJobs has users cancel up to n jobs whose first task is on a machine, within 200 ms.
// If hang is not zero, the machines of about half of these tasks hang for that long.
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

// crashLeader crashes the leader's process, which restarts after downtime.
func (w *World) crashLeader(downtime time.Duration) {
	if c := w.leader(); c != nil {
		c.crash(downtime)
	}
}

// sendRedundantAndInvalidRequests has users repeat submissions, cancel jobs that are over and
// submit jobs that can never run, twice a second for the time d.
func (w *World) sendRedundantAndInvalidRequests(d time.Duration) {
	const interval = 500 * time.Millisecond
	w.every(interval, int(d/interval), func(int) {
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
				w.rules.violated(ruleAccepted, "a job that can never run is accepted: %+v", *job)
			}
		})
	})
}

// cancelFinishedJob asks a controller to cancel a job that is over, and checks that the job's phase
// stays the same.
func (u *user) cancelFinishedJob(c *controller) {
	earlier := u.phase
	c.ask(cancellation(u.job.spec.ID), func(status int, body []byte) {
		var a protocol.Accepted
		if decode(body, &a); status == http.StatusOK && a.Phase != earlier {
			u.w.rules.violated(ruleWentBack, "%s was %s and is %s after a late cancellation", a.ID, earlier, a.Phase)
		}
	})
}

// impossibleJob returns a random job that can never run.
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

// watchWaitingJobs checks every second from now on that no job waits for longer than
// maxWaitDespiteCapacity while there is free capacity for it.
func (w *World) watchWaitingJobs() {
	waitingSince := map[*user]time.Time{}
	var check func()
	check = func() {
		for _, u := range w.users {
			if !w.waitsDespiteCapacity(u) {
				delete(waitingSince, u)
				continue
			}
			if waitingSince[u].IsZero() {
				waitingSince[u] = w.Now
			}
			if w.Now.Sub(waitingSince[u]) > maxWaitDespiteCapacity {
				w.rules.violated(ruleLeftWaiting, "%s waits although there is free capacity, for %v", u.job.spec.ID, w.Now.Sub(waitingSince[u]))
				waitingSince[u] = w.Now
			}
		}
		w.after(time.Second, check)
	}
	check()
}

// waitsDespiteCapacity reports whether an accepted job waits although it could be placed: a zone
// has free capacity for at least one of its unplaced tasks, or for all tasks of a gang, and the
// team would stay within its limit.
func (w *World) waitsDespiteCapacity(u *user) bool {
	spec := u.job.spec
	if !u.accepted || u.cancelRequested || u.over || u.job.alwaysFails {
		return false
	}
	needed := w.unplacedTasks(u)
	if needed == 0 || spec.Gang() && needed < spec.Tasks {
		return false
	}
	if !spec.Gang() {
		needed = 1
	}
	for _, team := range w.shape.Teams {
		if team.Name == spec.Team && team.MaxGPUs > 0 && w.rules.gpusInUse[spec.Team]+spec.GPUs*float64(needed) > team.MaxGPUs+1e-6 {
			return false
		}
	}
	if spec.Spread && spec.Tasks > 1 {
		return false // how many tasks may be in one zone depends on the other zones
	}
	for _, n := range w.tasksThatFit(spec) {
		if n >= needed {
			return true
		}
	}
	return false
}

// unplacedTasks returns the number of a job's tasks that are neither done nor on a machine.
func (w *World) unplacedTasks(u *user) (n int) {
	for i := range u.job.spec.Tasks {
		if w.rules.placed[protocol.TaskName(u.job.spec.ID, i)] == nil && !u.job.done[i] {
			n++
		}
	}
	return n
}

// tasksThatFit returns for each zone how many more tasks of a job fit on its machines, without
// machines that hang or have a preemption notice. It counts no further than the job's number of
// tasks.
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

// runUntilOver runs the world until all jobs are over, for at most 600 s. Every job must be over
// then, except those whose tasks always fail.
func (w *World) runUntilOver() {
	for end := w.Now.Add(600 * time.Second); w.Now.Before(end) && !over(w.users...); {
		w.Run(5 * time.Second)
	}
	for _, u := range w.users {
		if !u.over && !u.job.alwaysFails {
			w.rules.violated(ruleLiveness, "%s, %s of %d tasks, is still %q; tasks done: %v", u.job.spec.ID, u.job.spec.Shape, u.job.spec.Tasks, u.phase, u.job.done)
		}
	}
}
