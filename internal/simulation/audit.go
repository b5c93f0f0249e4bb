package simulation

import (
	"math"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// Audit judges what workers were told by their own logs and the jobs alone. It knows
// nothing of the controllers, their records or their logs.
type Audit struct {
	jobs          map[protocol.JobID]*auditedJob
	attempts      map[instance]bool // attempts on machines: true until they have exited
	at            map[string]int    // attempts of a task that have not exited
	needed        [3]map[string]int // orders that the state of things asks for, by kind and task
	countedFrom   time.Time         // judged from then on, zero: not yet
	startedAt     map[instance]time.Time
	secondsBefore map[instance]float64 // seconds that attempts had run by then
	// when a worker was told again to forget a task's earlier attempt
	forgetRepeatedAt map[instance]time.Time
	Orders           [3]int // starts, stops and forgets that workers have executed
	Verdict          Verdict
}

// auditedJob is a job as its user submitted it and as workers have done it.
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

// Verdict counts orders that workers have executed since a moment, and what of them the
// true state at that moment and what became of it asked for.
type Verdict struct {
	Orders          [3]int // starts, stops, forgets
	Needed          int    // orders of all kinds that were due
	Excess          [3]int // starts, stops and forgets beyond those, repeated ones among them
	DuplicateStarts int    // of a task that was on a machine, or done
	First, Last     time.Duration
	BeforeSeconds   float64 // task time from before
	KeptSeconds     float64 // of it, what went on or came to its end
}

const (
	needStart = iota
	needStop
	needForget
)

func newAudit() *Audit {
	return &Audit{jobs: map[protocol.JobID]*auditedJob{}, attempts: map[instance]bool{}, at: map[string]int{},
		startedAt: map[instance]time.Time{}, secondsBefore: map[instance]float64{}, forgetRepeatedAt: map[instance]time.Time{}, needed: [3]map[string]int{{}, {}, {}}}
}

// submitted notes a job that its user has begun to submit.
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

// cancelled notes that a user has asked for it: whatever is there may be stopped.
func (a *Audit) cancelled(id protocol.JobID) {
	if j := a.jobs[id]; j != nil && !j.cancelled {
		j.cancelled = true
		a.stopAll(id, j)
	}
}

// stopAll notes that whatever is there of a job is to be stopped.
func (a *Audit) stopAll(id protocol.JobID, j *auditedJob) {
	for i := range j.tasks {
		name := protocol.TaskName(id, i)
		a.needed[needStop][name] += a.at[name]
	}
}

// Begin begins to count: the controllers are back. What is due then is reckoned anew.
func (a *Audit) Begin(now time.Time) {
	a.countedFrom, a.Verdict = now, Verdict{}
	a.needed = [3]map[string]int{{}, {}, {}}
	ending := map[protocol.JobID]bool{} // jobs of which nothing is to go on
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
			a.stopAll(id, j) // what is left of a gang starts again as a whole
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

// Finish counts what of the work from before has gone on until now, or to its end.
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

// executed takes an order that a worker has executed.
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
		a.forgetRepeatedAt[at] = now
	default:
		a.Verdict.Excess[kind]++
	}
	if at, repeated := a.forgetRepeatedAt[at]; kind == needStart && repeated && at.Equal(now) {
		a.Verdict.Excess[needForget]-- // the start needs it, were the first one lost
		a.Verdict.Needed++
	}
}

// began notes an attempt that a worker has taken in.
func (a *Audit) began(now time.Time, k instance) {
	a.attempts[k], a.startedAt[k] = true, now
	a.at[k.task]++
}

// ended notes the end of an attempt, for whatever cause. A task that is not done is due
// again, an exited attempt to be forgotten, the rest of its gang to be stopped.
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

// gangBroken: the first task of a gang's attempt to end otherwise than done has the others
// stopped, those that do not end by themselves.
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

// forgot notes that a worker has dropped an exited attempt.
func (a *Audit) forgot(k instance) {
	delete(a.attempts, k)
}
