// Package storage defines the records that the controllers keep in the key-value store, and the
// data of each node's mirror of them.
//
// Keys:
//
//	g/c/leader      the record of the leader lease, attached to a lease of the store
//	g/c/types       the machine types as the leader last saw them
//	g/c/restored    the marker of a store that was restored to an older state
//	g/j/<job>       the main record of an unfinished job: specification, state and first tasks
//	g/t/<job>/<n>   a task record: further tasks of a job that does not fit into its main record
//	g/m/<id>        a machine record: some machines of one zone
//	g/x/<from>/<to> messages relayed between controllers that have no link to each other
//	h/<job>         the final record of a finished job, never deleted
//
// Every node mirrors all records below g/. The records below h/ grow without bound and are read one
// key at a time.
package storage

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// Keys and key prefixes.
const (
	LivePrefix          = "g/"
	LeaderKey           = "g/c/leader"
	TypesKey            = "g/c/types"
	RestoreMarkerKey    = "g/c/restored"
	JobPrefix           = "g/j/"
	TaskRecordPrefix    = "g/t/"
	MachineRecordPrefix = "g/m/"
	RelayPrefix         = "g/x/"
	FinalRecordPrefix   = "h/"
)

// JobKey returns the key of a job's main record.
func JobKey(id protocol.JobID) string { return JobPrefix + string(id) }

// ParseJobKey returns the job that a main record's key names, and false if the key is of another
// kind.
func ParseJobKey(key string) (id protocol.JobID, ok bool) {
	rest, ok := strings.CutPrefix(key, JobPrefix)
	return protocol.JobID(rest), ok
}

// FinalRecordKey returns the key of a job's final record.
func FinalRecordKey(id protocol.JobID) string { return FinalRecordPrefix + string(id) }

// TaskRecordKey returns the key of a job's n-th task record, counted from 1.
func TaskRecordKey(id protocol.JobID, n int) string {
	return TaskRecordPrefix + string(id) + "/" + strconv.Itoa(n)
}

// ParseTaskRecordKey returns the job and the record number that a task record's key names, and
// false if the key is not valid.
func ParseTaskRecordKey(key string) (id protocol.JobID, n int, ok bool) {
	rest, ok := strings.CutPrefix(key, TaskRecordPrefix)
	if !ok {
		return "", 0, false
	}
	job, num, ok := strings.Cut(rest, "/")
	if !ok {
		return "", 0, false
	}
	n, err := strconv.Atoi(num)
	return protocol.JobID(job), n, err == nil && n > 0
}

// MachineRecordKey returns the key of a machine record.
func MachineRecordKey(id string) string { return MachineRecordPrefix + id }

// RelayKey returns the key of the messages that are relayed from one controller to another.
func RelayKey(from, to protocol.NodeName) string {
	return RelayPrefix + string(from) + "/" + string(to)
}

// ParseRelayKey returns the sender and the receiver that a key of relayed messages names, and false
// if the key is not valid.
func ParseRelayKey(key string) (from, to protocol.NodeName, ok bool) {
	rest, ok := strings.CutPrefix(key, RelayPrefix)
	if !ok {
		return "", "", false
	}
	sender, receiver, ok := strings.Cut(rest, "/")
	return protocol.NodeName(sender), protocol.NodeName(receiver), ok
}

// RelayedFrames is the record of relayed messages: frames of the controllers' binary format.
type RelayedFrames struct {
	Writer string `json:"w"`
	Frames []byte `json:"f"`
}

// RelayCapacity returns how many bytes of frames fit into one value. JSON encodes three bytes as
// four characters, and 256 bytes are reserved for the rest of the record.
func RelayCapacity(valueKB float64) int { return (int(valueKB*1024) - 256) / 4 * 3 }

// LeaderLease is the record of the leader lease. Its revision is the leader's term and fencing
// token.
type LeaderLease struct {
	Node protocol.NodeName `json:"node"`
	// Boot identifies the node's process: a restarted node has another value.
	Boot string `json:"boot"`
}

// RestoreMarker marks a store that was restored to an older state and lacks changes whose effects
// agents have seen (the discarded history). Jobs submitted earlier may have tasks that no record
// shows as placed and that run on machines whose agents have not reported yet. Token is the highest
// fencing token that an agent held.
type RestoreMarker struct {
	Writer string        `json:"w"`
	Token  protocol.Term `json:"token"`
}

// Task is the part of a task's state that must survive the loss of every controller. It is encoded
// as the array [index,attempt] if the task has no placement, [index,attempt,"machine",incarnation]
// if it has one, and [index,attempt,1] if it is done. In this short form, a job of a hundred tasks
// fits into one record.
type Task struct {
	Index       int
	Attempt     protocol.AttemptNumber
	Machine     protocol.MachineID
	Incarnation protocol.Incarnation
	Done        bool
}

// MarshalJSON encodes a task in the array form.
func (t Task) MarshalJSON() ([]byte, error) {
	b := make([]byte, 0, 48)
	b = append(b, '[')
	b = strconv.AppendInt(b, int64(t.Index), 10)
	b = append(b, ',')
	b = strconv.AppendUint(b, uint64(t.Attempt), 10)
	switch {
	case t.Done:
		b = append(b, ",1"...)
	case t.Machine != "":
		name, err := json.Marshal(t.Machine)
		if err != nil {
			return nil, err
		}
		b = append(append(b, ','), name...)
		b = append(b, ',')
		b = strconv.AppendUint(b, uint64(t.Incarnation), 10)
	}
	return append(b, ']'), nil
}

// Tasks are the tasks of a record. They are decoded all at once to save time: a new leader decodes
// the tasks of every unfinished job before it does anything else.
type Tasks []Task

// UnmarshalJSON decodes tasks in the array form, or in the object form that version 0.1 wrote.
func (list *Tasks) UnmarshalJSON(value []byte) error {
	var arrays [][]json.RawMessage
	if err := protocol.Unmarshal(value, &arrays); err != nil {
		return list.unmarshalObjects(value)
	}
	*list = make(Tasks, len(arrays))
	for i, fields := range arrays {
		if len(fields) < 2 || len(fields) > 4 {
			return fmt.Errorf("task has %d fields, want 2 to 4", len(fields))
		}
		t := &(*list)[i]
		t.Done = len(fields) == 3
		var errs [4]error
		var index uint64
		index, errs[0] = parseNumber[uint64](fields[0])
		t.Index = int(index)
		t.Attempt, errs[1] = parseNumber[protocol.AttemptNumber](fields[1])
		if len(fields) == 4 {
			errs[2] = protocol.Unmarshal(fields[2], &t.Machine)
			t.Incarnation, errs[3] = parseNumber[protocol.Incarnation](fields[3])
		}
		if err := errors.Join(errs[:]...); err != nil {
			return err
		}
	}
	return nil
}

// parseNumber decodes a number in the array form of a task.
func parseNumber[N ~uint64](field json.RawMessage) (N, error) {
	n, err := strconv.ParseUint(string(field), 10, 64)
	if err != nil {
		err = protocol.Unmarshal(field, &n) // it may have another spelling
	}
	return N(n), err
}

func (list *Tasks) unmarshalObjects(value []byte) error {
	var objects []struct {
		Index       int                    `json:"i"`
		Attempt     protocol.AttemptNumber `json:"n"`
		Machine     protocol.MachineID     `json:"m"`
		Incarnation protocol.Incarnation   `json:"s"`
		Done        bool                   `json:"d"`
	}
	err := protocol.Unmarshal(value, &objects)
	*list = nil
	for _, t := range objects {
		*list = append(*list, Task(t))
	}
	return err
}

// Job is the main record of an unfinished job. Writer is a name that is unique to each write.
// It distinguishes a transaction that was committed although its response was lost from one that
// was never executed.
type Job struct {
	Writer             string                 `json:"w"`
	Spec               *protocol.Job          `json:"spec"`
	SubmittedAtMs      int64                  `json:"at"`            // wall-clock time of the submission
	SubmissionRevision protocol.Revision      `json:"seq,omitempty"` // order of arrival; 0 until the record is first rewritten
	Attempt            protocol.AttemptNumber `json:"try,omitempty"` // epoch of a gang
	Cancelled          bool                   `json:"off,omitempty"`
	Done               int                    `json:"done,omitempty"`   // number of done tasks
	Placed             int                    `json:"placed,omitempty"` // number of tasks with a placement
	TasksPerBaseRecord int                    `json:"chunk"`
	// TotalRecords is the number of the job's records if it is higher than BaseRecords, and 0
	// otherwise. It is higher if an oversized record was split: the tasks that were moved out of
	// it are in the last records. Version 0.2 does not find those.
	TotalRecords int   `json:"parts,omitempty"`
	Tasks        Tasks `json:"tasks,omitempty"`
	// Version is the version of the record's format. It is 0 as long as every program version
	// that may run at the same time as this one reads the whole record. A record of a higher
	// version than maxJobRecordVersion is left as it is.
	Version int `json:"v,omitempty"`
}

// ErrUnknownVersion is wrapped by the error about a record whose version is not known.
var ErrUnknownVersion = errors.New("record of an unknown version")

// ErrMalformedRecord is the error about a main record that is valid JSON but has invalid content.
var ErrMalformedRecord = errors.New("malformed job record: missing or invalid specification or record counts")

// maxJobRecordVersion is the highest version of a job's main record that this program can read.
const maxJobRecordVersion = 0

// BaseRecords returns the number of records that hold all of the job's tasks at TasksPerBaseRecord
// each. Records that splits have added are not counted.
func (j *Job) BaseRecords() int {
	return (j.Spec.Tasks + j.TasksPerBaseRecord - 1) / j.TasksPerBaseRecord
}

// Writer returns the writer's name in a record, or "" if it has none. It decodes the rest of the record
// only if the store has returned the record in another spelling than this program's.
func Writer(value json.RawMessage) string {
	rest, ok := bytes.CutPrefix(value, []byte(`{"w":"`))
	name, _, closed := bytes.Cut(rest, []byte(`"`))
	if ok && closed {
		return string(name)
	}
	var record struct {
		Writer string `json:"w"`
	}
	if protocol.Unmarshal(value, &record) != nil {
		return ""
	}
	return record.Writer
}

// TaskRecord holds further tasks of a job.
type TaskRecord struct {
	Writer string `json:"w"`
	Tasks  Tasks  `json:"tasks,omitempty"`
}

// MachineRecord lists some machines of one zone. A transaction that stores a placement on one of
// them is guarded by the revision of this record.
type MachineRecord struct {
	Writer   string         `json:"w"`
	Machines []MachineEntry `json:"rooms"`
}

// MachineRecordCapacity returns how many bytes of machine entries fit into one record. 256 bytes
// are reserved for the rest of the record.
func MachineRecordCapacity(valueKB float64) int { return int(valueKB*1024) - 256 }

// MachineEntry is a machine's entry in its machine record.
type MachineEntry struct {
	ID      protocol.MachineID       `json:"id"`
	Address string                   `json:"addr"`
	Type    protocol.MachineTypeName `json:"type"`
	Zone    protocol.ZoneName        `json:"zone"`
	Spot    bool                     `json:"spot,omitempty"`
	// Cordoned machines are given no further tasks.
	Cordoned bool `json:"closed,omitempty"`
}

// MaxSize returns the largest size of the encoded entry in bytes, whatever address the machine gets
// and whether or not it is cordoned or a spot machine.
func (r MachineEntry) MaxSize() int {
	r.Cordoned, r.Spot = true, true
	return len(Encode(r)) + 1 + max(0, maxAddressBytes-len(r.Address))
}

// maxAddressBytes is the length of the longest IPv4 address with a port.
const maxAddressBytes = 21

// FinalRecord is the record of a finished job.
type FinalRecord struct {
	Writer string         `json:"w"`
	Phase  protocol.Phase `json:"phase"`
	Done   int            `json:"done"` // number of done tasks
}

// TasksPerRecord returns how many of a job's tasks the store's limits allow in one record. For a
// gang, all placements in a record are written together, and each is guarded by the revision of its
// machine's record.
func TasksPerRecord(valueKB float64, txnOps int, spec *protocol.Job) int {
	n := (int(valueKB*1024) - len(Encode(spec)) - tuning.RecordHeaderBytes) / tuning.BytesPerTask
	n = min(n, tuning.MaxTasksPerRecord)
	if spec.Gang() {
		n = min(n, MaxGangTasksPerRecord(txnOps))
	}
	return max(1, n)
}

// MaxGangTasksPerRecord returns how many tasks of a gang one record may hold. Even if each task is
// on another machine, and each machine in another machine record, the transaction that stores the
// placements keeps within the limit of four conditions for each change that it may have. The four
// that are subtracted leave room for the conditions on the leader lease and on two of the job's
// records, which are three.
func MaxGangTasksPerRecord(txnOps int) int { return 4*txnOps - 4 }

// Storable reports whether a job's specification leaves room for a task in its main record.
func Storable(valueKB float64, spec *protocol.Job) bool {
	return len(Encode(spec))+tuning.RecordHeaderBytes+tuning.BytesPerTask <= int(valueKB*1024)
}

// Status returns what a user is told about an unfinished job. The job counts as running while at
// least one of its tasks has a placement.
func (j *Job) Status() protocol.Status {
	s := protocol.Status{ID: j.Spec.ID, Phase: protocol.PhasePending, Done: j.Done, Running: j.Placed}
	switch {
	case j.Cancelled:
		s.Phase, s.Running = protocol.PhaseCancelled, 0
	case j.Placed > 0:
		s.Phase = protocol.PhaseRunning
	}
	return s
}

// ReachedBy returns a revision of the store by which the job was accepted or, if it is cancelled, by which
// it was cancelled. revision is that of the record.
func (j *Job) ReachedBy(revision protocol.Revision) protocol.Revision {
	if j.Cancelled || j.SubmissionRevision == 0 {
		return revision
	}
	return j.SubmissionRevision
}

// DecodeJob decodes and validates a job's main record.
func DecodeJob(value json.RawMessage) (*Job, error) {
	var j Job
	if err := protocol.Unmarshal(value, &j); err != nil {
		return nil, err
	}
	if j.Version > maxJobRecordVersion {
		return nil, fmt.Errorf("%w: %d", ErrUnknownVersion, j.Version)
	}
	if j.TotalRecords < 0 || j.TotalRecords > protocol.MaxTasks || j.Spec == nil || !protocol.ValidJobID(j.Spec.ID) || j.Spec.Tasks < 1 || j.Spec.Tasks > protocol.MaxTasks || j.TasksPerBaseRecord < 1 {
		return nil, ErrMalformedRecord
	}
	return &j, nil
}

// Encode returns the JSON encoding of a value. It panics if the value cannot be expressed in JSON;
// records contain no such values.
func Encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic("storage: " + err.Error())
	}
	return b
}
