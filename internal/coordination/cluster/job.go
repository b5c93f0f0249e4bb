package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// Job is a job that is not over yet: its specification, its tasks, and what the parts
// of the leader know of it.
//
// Its states (cancelled, finished, stopping) and those of its tasks are changed by its
// methods alone.
type Job struct {
	ID           protocol.JobID
	Spec         *protocol.Job
	Priority     protocol.Priority
	ArrivalOrder protocol.Revision // the revision at which it was submitted
	SubmittedAt  time.Time
	// StartDeadlines are the moments by which an array must start to meet its deadline
	// and the objectives of its class, the next first.
	StartDeadlines []time.Time
	Epoch          protocol.AttemptNumber // of a gang: the number of its present attempt
	Cancelled      bool
	Recovered      bool // known from the records that a failover found
	Finished       bool // its final record is committed
	Stopping       bool // the gang's attempt is being ended
	EverPlaced     bool // a task of it has had a place

	Tasks     []Task
	DoneTasks int
	Attempts  map[AttemptKey]*Attempt

	RetryAt  time.Time
	Failures FailureHistory
	Queue    QueueState
	// SurvivingMachines are the machines of a gang's broken attempt that are still there.
	SurvivingMachines map[protocol.MachineID]bool
	Reserved          []*Machine // machines whose free capacity is reserved for it

	Records RecordLayout
	Write   WriteState
}

// FailureHistory is what is known of a job's failed attempts.
type FailureHistory struct {
	Machines map[protocol.MachineID]bool // machines on which a task failed
	// AttributedToJob counts how often failures were attributed to the job, not to machines.
	AttributedToJob int
	AvoidUntil      map[protocol.MachineID]time.Time
}

// QueueState is what the scheduler remembers of a job between two cycles.
type QueueState struct {
	WithinGuarantee bool // it fits into its team's guaranteed quota
	MayReclaim      bool // it may preempt other teams' work to get that quota
	ReclaimDecided  bool // whether MayReclaim was first decided
	WaitingSince    time.Time
	// PreemptionSearchNotBefore is when victims may be searched for again, and
	// ImageLocalSearchNotBefore the same on machines that have its image.
	PreemptionSearchNotBefore time.Time
	ImageLocalSearchNotBefore time.Time
}

// WriteState says which of a job's records have yet to be written.
type WriteState struct {
	Dirty      map[int]bool // records that must be written
	Queued     bool         // in the committer's list of dirty jobs
	DirtySince time.Time    // when it came into the list
	InFlight   bool         // in the transaction in flight
}

// Task is one task of a job. It has at most one active attempt; older attempts that may
// still be somewhere are in Job.Attempts too.
type Task struct {
	LastAttempt  protocol.AttemptNumber
	Done         bool
	LiveAttempts int
	Active       *Attempt
	EarlyExits   int       // how often in a row a replica ended soon after its start
	RetryAt      time.Time // when one that did may start again
}

// QueueTime is a job's sort key among those of its priority: the moment it came or,
// for an array, the moment by which it must start to meet the next of its objectives.
// One that is late for an objective can wait for those that are not; but none waits
// for ever, and one that nothing was done for in a long time goes first.
func (j *Job) QueueTime(now time.Time) time.Time {
	if len(j.StartDeadlines) == 0 || j.Overdue(now) {
		return j.SubmittedAt
	}
	for missed, at := range j.StartDeadlines {
		if !now.After(at) {
			return at.Add(time.Duration(missed)*tuning.MissedObjectivePenalty + time.Duration(len(j.Tasks)-j.DoneTasks)*tuning.RemainingTaskPenalty)
		}
	}
	return j.SubmittedAt.Add(time.Duration(len(j.StartDeadlines)) * tuning.MissedObjectivePenalty)
}

// Overdue says whether an array has waited so long for its first place that it
// goes first: with one task, then it takes its turn again.
func (j *Job) Overdue(now time.Time) bool {
	return !j.EverPlaced && !j.Spec.Gang() && now.Sub(j.SubmittedAt) > tuning.ArrayStartDeadline
}

// FinalPhase is the phase in which the job has ended, or "".
func (j *Job) FinalPhase() protocol.Phase {
	switch {
	case j.Cancelled && len(j.Attempts) == 0:
		return protocol.PhaseCancelled
	case !j.Cancelled && j.Complete():
		return protocol.PhaseDone
	}
	return ""
}

// Cancel cancels the job; false if it was cancelled before.
func (j *Job) Cancel() bool {
	if j.Cancelled {
		return false
	}
	j.Cancelled = true
	return true
}

// Finish notes that the job's final record is committed: nothing of it is written any more.
func (j *Job) Finish() {
	j.Finished = true
	clear(j.Write.Dirty)
}

// BeginStop notes that the gang's attempt is being ended; false if it has none, for then
// nothing would ever end the stop.
func (j *Job) BeginStop() bool {
	if len(j.Attempts) == 0 {
		return false
	}
	j.Stopping = true
	return true
}

// EndStop ends the stop once no attempt is left, and says whether that is so now.
func (j *Job) EndStop() bool {
	if !j.Stopping || len(j.Attempts) > 0 {
		return false
	}
	j.Stopping = false
	return true
}

// CompleteTask marks a task as done; false if it was before.
func (j *Job) CompleteTask(index int) bool {
	task := &j.Tasks[index]
	if task.Done {
		return false
	}
	task.Done = true
	j.DoneTasks++
	return true
}

// GangSize is the number of a gang's tasks, 0 for other jobs.
func (j *Job) GangSize() int {
	if !j.Spec.Gang() {
		return 0
	}
	return len(j.Tasks)
}

// Complete says whether all tasks are done.
func (j *Job) Complete() bool { return j.DoneTasks == len(j.Tasks) }

// SortedAttempts is the job's attempts in a fixed order.
func (j *Job) SortedAttempts() []*Attempt {
	list := make([]*Attempt, 0, len(j.Attempts))
	for _, attempt := range j.Attempts {
		list = append(list, attempt)
	}
	slices.SortFunc(list, func(a, b *Attempt) int {
		return cmp.Or(cmp.Compare(a.Key.Index, b.Key.Index), cmp.Compare(a.Key.Number, b.Key.Number), cmp.Compare(a.Key.Machine, b.Key.Machine))
	})
	return list
}

// HasUncommitted says whether a job has places that are not written yet.
func (j *Job) HasUncommitted() bool {
	for _, attempt := range j.Attempts {
		if !attempt.Committed {
			return true
		}
	}
	return false
}

// FullyPlaced says whether every task of a job has a place and none is on its way out.
func (j *Job) FullyPlaced() bool {
	for i := range j.Tasks {
		attempt := j.Tasks[i].Active
		if attempt == nil || attempt.Stopping {
			return false
		}
	}
	return true
}

// ReplicasMovableFrom is how many replicas the rules allow in other zones when a zone is lost,
// beyond those that are there.
func (j *Job) ReplicasMovableFrom(lost protocol.ZoneName, perZone map[protocol.ZoneName]int, zones []protocol.ZoneName) int {
	if j.Spec.Zone != "" {
		return 0
	}
	if !j.Spec.Spread {
		return len(j.Tasks)
	}
	movable := 0
	for _, zone := range zones {
		if zone != lost {
			movable += max(0, (len(j.Tasks)+1)/2-perZone[zone])
		}
	}
	return movable
}
