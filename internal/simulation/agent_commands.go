package simulation

import (
	"fmt"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// accept reports whether the agent accepts a fencing token, and stores a higher one. A higher token
// causes an early heartbeat, unless one did so within the last half of a lease time.
func (a *agent) accept(token protocol.Term) bool {
	if token < a.token {
		a.w.rules.staleTokens++
		return false
	}
	if token > a.token {
		a.token = token
		if a.w.Now.Sub(a.tokenReportedAt) > secs(a.w.shape.Agents.LeaseS/2) {
			a.tokenReportedAt = a.w.Now
			a.reportChange()
		}
	}
	return true
}

// serve handles probes, and commands that a controller sends outside a heartbeat response, once they
// have reached the agent.
func (a *agent) serve(method, path string, body []byte, respond func(int, []byte)) {
	if a.callDelay > 0 {
		a.delayedCalls++
		a.w.after(a.callDelay, func() { a.handleCall(method, path, body, respond) })
		return
	}
	a.handleCall(method, path, body, respond)
}

func (a *agent) handleCall(method, path string, body []byte, respond func(int, []byte)) {
	if a.dead {
		return
	}
	if a.hung {
		a.heldPackets = append(a.heldPackets, func() { a.handleCall(method, path, body, respond) })
		return
	}
	if path == protocol.PathInspect {
		respond(200, encode(a.heartbeat()))
		return
	}
	var batch protocol.CommandBatch
	decode(body, &batch)
	if batch.Incarnation != a.incarnation || !a.accept(batch.FencingToken) {
		respond(409, encode(a.heartbeat()))
		return
	}
	a.execute(batch.Commands)
	respond(200, encode(a.heartbeat()))
}

func (a *agent) execute(commands []protocol.Command) {
	for _, c := range commands {
		id, index, ok := protocol.SplitTask(c.Task)
		if !ok {
			panic("simulation: malformed task name " + c.Task)
		}
		key := attemptName(c.Task, c.Attempt)
		task := a.tasks[key]
		a.w.Audit.executed(a.w.Now, a.host.ID, c)
		switch c.Kind {
		case protocol.CommandStart:
			if task == nil {
				a.start(key, id, index, c)
			}
		case protocol.CommandStop:
			if task != nil {
				task.stop(c.GraceS)
			}
		case protocol.CommandForget:
			if task != nil && task.state == protocol.TaskExited {
				a.w.longestExitedTime = max(a.w.longestExitedTime, a.w.Now.Sub(task.exitedAt))
				a.w.Audit.forgot(task.instance())
				delete(a.tasks, key)
			}
		}
	}
}

// attemptName returns the key of an attempt among the tasks of an agent.
func attemptName(task string, attempt protocol.AttemptNumber) string {
	return fmt.Sprintf("%s#%d", task, attempt)
}

// start executes a command to start a task, or refuses it.
func (a *agent) start(key string, id protocol.JobID, index int, c protocol.Command) {
	job := a.w.rules.jobs[id]
	task := &agentTask{agent: a, name: c.Task, index: index, attempt: c.Attempt, state: protocol.TaskFetching}
	a.reportChange()
	a.w.Audit.began(a.w.Now, task.instance())
	a.tasks[key] = task
	if job == nil {
		a.refuse(task, protocol.CauseUnknownTask)
		return
	}
	task.job = job.spec
	if cause := a.refusalCause(task); cause != "" {
		a.refuse(task, cause)
		return
	}
	fetch := secs(task.job.ImageGB / a.w.shape.Type.FetchGBPerS)
	if a.images[task.job.Image] {
		fetch = 0
	}
	a.schedule(fetch, task, func() {
		a.images[task.job.Image] = true
		task.imageReady()
	})
}

// refuse ends a task before it starts.
func (a *agent) refuse(task *agentTask, cause protocol.Cause) {
	task.state, task.cause, task.exitedAt = protocol.TaskExited, cause, a.w.Now
	a.w.Audit.ended(task.instance(), cause, false)
}

// refusalCause returns why a task cannot start on the machine in addition to the tasks that are
// there, "" if it can.
func (a *agent) refusalCause(task *agentTask) protocol.Cause {
	cpus, gpus, memory := task.job.CPUs, task.job.GPUs, task.job.MemoryGB
	for _, other := range a.tasks {
		if other == task || other.state == protocol.TaskExited {
			continue
		}
		if other.name == task.name {
			return protocol.CauseTaskPresent
		}
		cpus, gpus, memory = cpus+other.job.CPUs, gpus+other.job.GPUs, memory+other.job.MemoryGB
	}
	machine := &a.w.shape.Type
	if cpus > machine.CPUs || gpus > machine.GPUs || memory > machine.MemoryGB {
		return protocol.CauseNoCapacity
	}
	return ""
}

// schedule calls do for a task after d, unless the task has exited by then. While the machine
// hangs, the call is held until it resumes.
func (a *agent) schedule(d time.Duration, task *agentTask, do func()) {
	a.w.after(d, func() {
		if a.dead || task.state == protocol.TaskExited {
			return
		}
		if a.hung {
			a.heldPackets = append(a.heldPackets, func() { a.schedule(0, task, do) })
			return
		}
		if a.tasks[attemptName(task.name, task.attempt)] == task {
			do()
		}
	})
}
