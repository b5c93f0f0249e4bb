// Package reconcile compares the stored records with the agents' heartbeats, both during the
// recovery after a failover and in normal operation. The comparison is pure: records and
// heartbeats go in, classified differences come out. The package has no clock, does no I/O
// and changes neither the records nor the cluster model. Each class of difference has exactly
// one resolution, which docs/cold-restart.md explains.
package reconcile

import "github.com/gappond/gappond/internal/protocol"

// Class is the kind of difference between the records and an agent's heartbeat.
type Class uint8

// The classes of an attempt. It is "stored" if the records place it on the machine, and
// "reported" if the machine's heartbeat has an entry for it.
const (
	// Matching: stored and reported, or ended according to both sides.
	Matching Class = iota
	// NotYetReported: stored, but neither reported so far nor proven absent.
	NotYetReported
	// ReportedAbsent: stored, but a heartbeat proves that the agent does not have it.
	ReportedAbsent
	// NeverStored: reported, but no record has its job, its task or such a high attempt number.
	NeverStored
	// ReportedEnded: reported as exited, but the records still place it, or have its task as
	// not done.
	ReportedEnded
	// StoredEnded: reported as not exited, but its task is stored as done.
	StoredEnded
	// OlderEpoch: reported, but the records have replaced this attempt or given it up.
	OlderEpoch
	// OnTwoMachines: reported on this machine, but stored on another.
	OnTwoMachines
	// GangIncomplete: some tasks of a gang's attempt are present, others are proven gone.
	GangIncomplete
	// Unreadable: the heartbeat entry is malformed, or belongs to a job with a record that
	// cannot be read. The attempt may be present; the entry proves nothing.
	Unreadable

	// Classes is the number of classes.
	Classes = int(Unreadable) + 1
)

var classNames = [Classes]string{"matching", "not_yet_reported", "reported_absent", "never_stored", "reported_ended",
	"stored_ended", "older_epoch", "on_two_machines", "gang_incomplete", "unreadable"}

// String returns the name of the class in logs and metrics.
func (c Class) String() string { return classNames[c] }

// Resolution is the action that a leader takes on a difference.
type Resolution uint8

// The resolutions.
const (
	// Keep: no action.
	Keep Resolution = iota
	// Await: the attempt keeps its capacity and its team's quota, and the task is not
	// started elsewhere, until the attempt is reported or proven gone.
	Await
	// Release: the attempt's capacity is freed and the task may start again.
	Release
	// Stop: the attempt counts against capacity and quota until it is proven gone. The agent
	// is told to stop it once a heartbeat known to be current shows it.
	Stop
	// RecordEnd: the exit is recorded, permanently if the task is done, and the attempt's
	// capacity is freed.
	RecordEnd
	// EndGang: the remaining tasks of the attempt are stopped, and the gang starts again as
	// a whole.
	EndGang
)

var resolutions = [Classes]Resolution{Matching: Keep, NotYetReported: Await, ReportedAbsent: Release, NeverStored: Stop,
	ReportedEnded: RecordEnd, StoredEnded: Stop, OlderEpoch: Stop, OnTwoMachines: Stop, GangIncomplete: EndGang, Unreadable: Keep}

// Resolution returns the resolution of all differences of the class.
func (c Class) Resolution() Resolution { return resolutions[c] }

// TaskID identifies a task of a job.
type TaskID struct {
	Job   protocol.JobID
	Index int
}

// AttemptID identifies an attempt of a task.
type AttemptID struct {
	TaskID
	Attempt protocol.AttemptNumber
}

// Difference is the result of comparing the records and a heartbeat for one attempt, or for one
// gang if the class is GangIncomplete.
type Difference struct {
	Class   Class
	ID      AttemptID
	Machine protocol.MachineID
	// EntryIndex is the index of the attempt's entry in Heartbeat.Tasks, or -1 if there is none.
	EntryIndex int
	// TokenCurrent: the heartbeat carries the current leader's fencing token. A heartbeat
	// without it may be a late copy: the attempts that it shows may be present, and so may
	// those that it lacks.
	TokenCurrent bool
	Done         bool // the entry reports the task as done
}
