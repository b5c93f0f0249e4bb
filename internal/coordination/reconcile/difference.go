// Package reconcile compares what the records say with what heartbeats show, after a
// failover and ever after. It is pure: records and heartbeats go in, classified
// differences come out; it has no clock, does no I/O and changes nothing. Each class of
// difference has exactly one resolution, which docs/cold-restart.md explains.
package reconcile

import "github.com/gappond/gappond/internal/protocol"

// Class is the kind of a difference between the records and an agent's heartbeat.
type Class uint8

// The classes. What the records place on a machine is "stored".
const (
	// Matching: stored and reported, or ended on both sides.
	Matching Class = iota
	// NotYetReported: stored; no heartbeat has shown it, and none proves it absent.
	NotYetReported
	// ReportedAbsent: stored; a heartbeat proves that the agent does not have it.
	ReportedAbsent
	// NeverStored: reported; no record has the job, the task or so high an attempt.
	NeverStored
	// ReportedEnded: stored as placed; reported as ended.
	ReportedEnded
	// StoredEnded: stored as done; reported as still there.
	StoredEnded
	// OlderEpoch: reported; an attempt that the records have replaced or given up.
	OlderEpoch
	// OnTwoMachines: reported here; the records have the same attempt elsewhere.
	OnTwoMachines
	// GangIncomplete: some tasks of a gang's attempt are there, others are proven gone.
	GangIncomplete
	// Unreadable: an entry that makes no sense, or one of a job whose record cannot be
	// read. It counts as possibly there and proves nothing.
	Unreadable

	// Classes is the number of classes.
	Classes = int(Unreadable) + 1
)

var classNames = [Classes]string{"matching", "not_yet_reported", "reported_absent", "never_stored", "reported_ended",
	"stored_ended", "older_epoch", "on_two_machines", "gang_incomplete", "unreadable"}

// String is the name of the class in logs and metrics.
func (c Class) String() string { return classNames[c] }

// Resolution is what a leader does about a difference.
type Resolution uint8

// The resolutions.
const (
	// Keep: nothing is done.
	Keep Resolution = iota
	// Await: the place, the team's quota and the task itself stay taken until a proof.
	Await
	// Release: the place is free and the task may start again.
	Release
	// Stop: it takes capacity and quota until it is proven gone; it is told to stop once
	// its heartbeat is known to be current.
	Stop
	// RecordEnd: the end is recorded, a completed task for good, and the place is free.
	RecordEnd
	// EndGang: the rest of the attempt stops and the gang starts again as a whole.
	EndGang
)

var resolutions = [Classes]Resolution{Matching: Keep, NotYetReported: Await, ReportedAbsent: Release, NeverStored: Stop,
	ReportedEnded: RecordEnd, StoredEnded: Stop, OlderEpoch: Stop, OnTwoMachines: Stop, GangIncomplete: EndGang, Unreadable: Keep}

// Resolution is the one way in which differences of the class are resolved.
func (c Class) Resolution() Resolution { return resolutions[c] }

// TaskID names a task of a job.
type TaskID struct {
	Job   protocol.JobID
	Index int
}

// AttemptID names an attempt of a task.
type AttemptID struct {
	TaskID
	Attempt protocol.AttemptNumber
}

// Difference is one attempt as the records and a heartbeat have it.
type Difference struct {
	Class   Class
	ID      AttemptID
	Machine protocol.MachineID
	// EntryIndex is the heartbeat's entry, -1 if the heartbeat does not have the attempt.
	EntryIndex int
	// TokenCurrent: the heartbeat shows the present leader's token. One that does not may be a
	// late copy: what it shows may be there, what it lacks may be there as well.
	TokenCurrent bool
	Done         bool // the entry says that the task is done
}
