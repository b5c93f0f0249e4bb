package simulation

import (
	"math"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// Audit judges the commands that agents have executed. It uses only the jobs and what happened on
// the agents, and nothing from the controllers: neither their records nor their logs.
type Audit struct {
	jobs          map[protocol.JobID]*auditedJob
	attempts      map[instance]bool // attempts on machines; true until they have exited
	at            map[string]int    // by task name, how many attempts have not exited
	needed        [3]map[string]int // commands that are due, by kind and task name
	countedFrom   time.Time         // when the count began; zero: not yet
	startedAt     map[instance]time.Time
	secondsBefore map[instance]float64 // by attempt, the seconds that it had run when the count began
	// by machine and task (attempt 0), when an agent last executed a forget command that was not due
	excessForgetAt map[instance]time.Time
	Orders         [3]int // starts, stops and forgets that agents have executed
	Verdict        Verdict
}

// auditedJob is a job as its user submitted it, and what the agents have done of it.
type auditedJob struct {
	tasks     int
	gang      bool
	cancelled bool
	done      map[string]bool
}

// instance is an attempt of a task on a machine.
type instance struct {
	machine protocol.MachineID
	task    string
	attempt protocol.AttemptNumber
}

// Verdict counts the commands that agents have executed since the count began. It tells apart
// those that were due, according to the true state at that time and the events since.
type Verdict struct {
	Orders          [3]int        // starts, stops and forgets
	Needed          int           // commands of all kinds that were due
	Excess          [3]int        // starts, stops and forgets that were not due, repeated ones included
	DuplicateStarts int           // starts of a task that was on a machine or done
	First, Last     time.Duration // of the first and last start command, since the count began
	BeforeSeconds   float64       // run time of the tasks that ran when the count began, until then
	KeptSeconds     float64       // the part of it whose tasks are still running, or done
}

const (
	needStart = iota
	needStop
	needForget
)

func newAudit() *Audit {
	return &Audit{jobs: map[protocol.JobID]*auditedJob{}, attempts: map[instance]bool{}, at: map[string]int{},
		startedAt: map[instance]time.Time{}, secondsBefore: map[instance]float64{}, excessForgetAt: map[instance]time.Time{}, needed: [3]map[string]int{{}, {}, {}}}
}

// submitted notes a job when its user first tries to submit it.
func (a *Audit) submitted(spec *protocol.Job) {
	if a.jobs[spec.ID] != nil {
		return
	}
	j := &auditedJob{tasks: spec.Tasks, gang: spec.Gang(), done: map[string]bool{}}
	a.jobs[spec.ID] = j
	for i := range spec.Tasks {
		a.needed[needStart][protocol.TaskName(spec.ID, i)]++
	}
}

// cancelled notes that a user has asked to cancel a job. From then on its running tasks are due to
// be stopped.
func (a *Audit) cancelled(id protocol.JobID) {
	if j := a.jobs[id]; j != nil && !j.cancelled {
		j.cancelled = true
		a.stopAll(id, j)
	}
}

// stopAll makes a stop command due for every attempt of a job that has not exited.
func (a *Audit) stopAll(id protocol.JobID, j *auditedJob) {
	for i := range j.tasks {
		name := protocol.TaskName(id, i)
		a.needed[needStop][name] += a.at[name]
	}
}

// Begin begins the count when the controllers are back. It recomputes which commands are due.
func (a *Audit) Begin(now time.Time) {
	a.countedFrom, a.Verdict = now, Verdict{}
	a.needed = [3]map[string]int{{}, {}, {}}
	ending := map[protocol.JobID]bool{} // jobs whose running tasks must all stop
	for id, j := range a.jobs {
		present := 0
		for i := range j.tasks {
			name := protocol.TaskName(id, i)
			present += min(a.at[name], 1)
			if !j.done[name] && !j.cancelled && a.at[name] == 0 {
				a.needed[needStart][name]++
			}
		}
		if j.cancelled || j.gang && present > 0 && present < j.tasks && len(j.done) == 0 {
			a.stopAll(id, j) // an incomplete gang stops and starts again as a whole
			ending[id] = true
		}
	}
	for k, on := range a.attempts {
		id, _, _ := protocol.SplitTask(k.task)
		switch {
		case !on:
			a.needed[needForget][k.task]++
		case a.jobs[id] == nil:
			a.needed[needStop][k.task]++
		case !ending[id]:
			a.secondsBefore[k] = now.Sub(a.startedAt[k]).Seconds()
		}
	}
}

// Finish adds up the run time from before the count. That of an attempt that still runs, or whose
// task is done, counts as kept.
func (a *Audit) Finish() Verdict {
	for k, seconds := range a.secondsBefore {
		id, _, _ := protocol.SplitTask(k.task)
		if a.attempts[k] || a.jobs[id].done[k.task] {
			a.Verdict.KeptSeconds += seconds
		}
		a.Verdict.BeforeSeconds += seconds
	}
	a.Verdict.KeptSeconds, a.Verdict.BeforeSeconds = math.Round(a.Verdict.KeptSeconds), math.Round(a.Verdict.BeforeSeconds)
	return a.Verdict
}

// executed counts a command that an agent has executed.
func (a *Audit) executed(now time.Time, machineID protocol.MachineID, c protocol.Command) {
	kind := slices.Index([]protocol.CommandKind{protocol.CommandStart, protocol.CommandStop, protocol.CommandForget}, c.Kind)
	a.Orders[kind]++
	if a.countedFrom.IsZero() {
		return
	}
	a.Verdict.Orders[kind]++
	if kind == needStart {
		if a.Verdict.First == 0 {
			a.Verdict.First = now.Sub(a.countedFrom)
		}
		a.Verdict.Last = now.Sub(a.countedFrom)
		id, _, _ := protocol.SplitTask(c.Task)
		if _, known := a.attempts[instance{machineID, c.Task, c.Attempt}]; !known && (a.at[c.Task] > 0 || a.jobs[id] != nil && a.jobs[id].done[c.Task]) {
			a.Verdict.DuplicateStarts++
		}
	}
	at := instance{machine: machineID, task: c.Task}
	switch {
	case a.needed[kind][c.Task] > 0:
		a.needed[kind][c.Task]--
		a.Verdict.Needed++
	case kind == needForget:
		a.Verdict.Excess[kind]++
		a.excessForgetAt[at] = now
	default:
		a.Verdict.Excess[kind]++
	}
	if at, repeated := a.excessForgetAt[at]; kind == needStart && repeated && at.Equal(now) {
		a.Verdict.Excess[needForget]-- // a forget that comes with a start is due: an earlier one may have been lost
		a.Verdict.Needed++
	}
}

// began notes an attempt that an agent has accepted.
func (a *Audit) began(now time.Time, k instance) {
	a.attempts[k], a.startedAt[k] = true, now
	a.at[k.task]++
}

// ended notes the end of an attempt, for any cause. If it was lost, its agent no longer has it.
// Otherwise a forget command is due for it. If the attempt did not complete and its job is not
// cancelled, the task is due to start again and the rest of its gang is due to be stopped.
func (a *Audit) ended(k instance, cause protocol.Cause, lost bool) {
	if !a.attempts[k] {
		return
	}
	a.at[k.task]--
	if a.attempts[k] = false; lost {
		delete(a.attempts, k)
	} else {
		a.needed[needForget][k.task]++
	}
	id, _, _ := protocol.SplitTask(k.task)
	j := a.jobs[id]
	switch {
	case j == nil:
	case cause == protocol.CauseDone:
		j.done[k.task] = true
	case !j.cancelled:
		a.needed[needStart][k.task]++
		if j.gang {
			a.gangBroken(id, k, j)
		}
	}
}

// gangBroken records, after a task of a gang has ended without completing, that a stop command is
// due for each other task of the same attempt. The command stops the tasks that do not exit by
// themselves.
func (a *Audit) gangBroken(id protocol.JobID, k instance, j *auditedJob) {
	for other, on := range a.attempts {
		if !on || other.attempt != k.attempt {
			continue
		}
		job, index, ok := protocol.SplitTask(other.task)
		if ok && job == id && index < j.tasks && a.needed[needStop][other.task] == 0 {
			a.needed[needStop][other.task] = 1
		}
	}
}

// forgot notes that an agent has dropped an exited attempt.
func (a *Audit) forgot(k instance) {
	delete(a.attempts, k)
}
