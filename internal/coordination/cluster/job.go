package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// Job is an unfinished job: its specification, its tasks, and the state that the leader's
// components keep about it.
//
// Only its methods change its state flags (Cancelled, Finished, Stopping) and mark its
// tasks as done.
type Job struct {
	ID           protocol.JobID
	Spec         *protocol.Job
	Priority     protocol.Priority
	ArrivalOrder protocol.Revision // revision of the store at which it was submitted
	SubmittedAt  time.Time
	// StartDeadlines are the times by which the job must start to meet its deadline and the
	// objectives of its class, the earliest first. A gang has none.
	StartDeadlines []time.Time
	Epoch          protocol.AttemptNumber // number of a gang's current attempt
	Cancelled      bool
	Recovered      bool // loaded from the store at a failover
	Finished       bool // the final record is committed
	Stopping       bool // the gang's current attempt is being stopped
	EverPlaced     bool // at least one of its tasks was placed at some time

	Tasks     []Task
	DoneTasks int
	Attempts  map[AttemptKey]*Attempt

	RetryAt  time.Time
	Failures FailureHistory
	Queue    QueueState
	// SurvivingMachines are the machines that held the remaining tasks of a gang's attempt
	// when the attempt broke.
	SurvivingMachines map[protocol.MachineID]bool
	Reserved          []*Machine // machines whose free capacity is reserved for this job

	Records RecordLayout
	Write   WriteState
}

// QueueState is what the scheduler keeps about a job between two cycles.
type QueueState struct {
	WithinGuarantee bool // the job fits into its team's guaranteed quota
	MayReclaim      bool // the job may preempt other teams' tasks to get that quota
	ReclaimDecided  bool // MayReclaim has been decided at least once
	WaitingSince    time.Time
	// PreemptionSearchNotBefore is the earliest time of the next search for victims on any
	// machine, ImageLocalSearchNotBefore that of the next search on machines that have the
	// job's image.
	PreemptionSearchNotBefore time.Time
	ImageLocalSearchNotBefore time.Time
}

// WriteState tracks which of a job's records still have to be written to the store.
type WriteState struct {
	Dirty      map[int]bool // numbers of the records that must be written
	Queued     bool         // the job is in the committer's list of dirty jobs
	DirtySince time.Time    // when the job was added to that list
	InFlight   bool         // the transaction in flight writes this job
	// ShowsRunning: the main record, as last written, says that a task has a placement, so users
	// are told that the job is running.
	ShowsRunning bool
}

// Task is one task of a job. It has at most one active attempt. Older attempts that may
// still exist on a machine are in Job.Attempts as well.
type Task struct {
	LastAttempt  protocol.AttemptNumber
	Done         bool
	LiveAttempts int
	Active       *Attempt
	EarlyExits   int       // number of consecutive exits of a replica soon after its start
	RetryAt      time.Time // earliest time at which such a replica may start again
}

// QueueTime returns the job's sort key among the jobs of its priority. It is the time of
// submission or, for a job with start deadlines, the next of these that can still be met.
// The job is moved back from that deadline for each earlier one that it has missed, because
// other jobs can still meet theirs, and for each of its remaining tasks, because small jobs can
// meet theirs even if not all jobs can. Once it has missed all its deadlines, its key is the time
// of submission, moved back for each of them. The move is bounded, so no job waits indefinitely.
// The key of an overdue job is its time of submission again.
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

// Overdue reports whether a job that is not a gang has waited so long for its first placement
// that it goes first. It takes its turn again as soon as one of its tasks is placed.
func (j *Job) Overdue(now time.Time) bool {
	return !j.EverPlaced && !j.Spec.Gang() && now.Sub(j.SubmittedAt) > tuning.ArrayStartDeadline
}

// FinalPhase returns the phase in which the job has ended, or "" if it has not ended.
func (j *Job) FinalPhase() protocol.Phase {
	switch {
	case j.Cancelled && len(j.Attempts) == 0:
		return protocol.PhaseCancelled
	case !j.Cancelled && j.Complete():
		return protocol.PhaseDone
	}
	return ""
}

// Cancel marks the job as cancelled. It returns false if the job was cancelled before.
func (j *Job) Cancel() bool {
	if j.Cancelled {
		return false
	}
	j.Cancelled = true
	return true
}

// Finish records that the job's final record is committed. No further record of the job is
// written.
func (j *Job) Finish() {
	j.Finished = true
	clear(j.Write.Dirty)
}

// BeginStop records that the gang's current attempt is being stopped. It returns false and
// changes nothing if the job has no attempts, because nothing would ever end such a stop.
func (j *Job) BeginStop() bool {
	if len(j.Attempts) == 0 {
		return false
	}
	j.Stopping = true
	return true
}

// EndStop ends a stop if no attempt is left. It reports whether it did so.
func (j *Job) EndStop() bool {
	if !j.Stopping || len(j.Attempts) > 0 {
		return false
	}
	j.Stopping = false
	return true
}

// CompleteTask marks a task as done. It returns false if the task was done before.
func (j *Job) CompleteTask(index int) bool {
	task := &j.Tasks[index]
	if task.Done {
		return false
	}
	task.Done = true
	j.DoneTasks++
	return true
}

// GangSize returns the number of a gang's tasks, or 0 if the job is not a gang.
func (j *Job) GangSize() int {
	if !j.Spec.Gang() {
		return 0
	}
	return len(j.Tasks)
}

// Complete reports whether all tasks are done.
func (j *Job) Complete() bool { return j.DoneTasks == len(j.Tasks) }

// SortedAttempts returns the job's attempts by task index, attempt number and machine.
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

// HasUncommitted reports whether the job has attempts whose placement is not committed.
func (j *Job) HasUncommitted() bool {
	for _, attempt := range j.Attempts {
		if !attempt.Committed {
			return true
		}
	}
	return false
}

// FullyPlaced reports whether every task of the job has an active attempt that is not
// stopping.
func (j *Job) FullyPlaced() bool {
	for i := range j.Tasks {
		attempt := j.Tasks[i].Active
		if attempt == nil || attempt.Stopping {
			return false
		}
	}
	return true
}

// ReplicasMovableFrom returns how many more replicas the job's zone constraints allow in the
// other zones if one zone is lost. perZone is the number of its replicas in each zone.
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
