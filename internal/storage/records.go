// Package storage holds the records that the controllers keep in the state
// service, the transactions that change them and each node's mirror of them.
//
// Keys:
//
//	g/c/leader      the leader lease, attached to its lease
//	g/c/types       the machine types as the leader last saw them
//	g/c/restored    the marker of a state service that was restored to an older state
//	g/j/<job>       an unfinished job: description, state and first tasks
//	g/t/<job>/<n>   further tasks of a job that does not fit into one record
//	g/m/<id>        a machine record: some machines of one zone
//	g/x/<from>/<to> messages between controllers that no link leads to
//	h/<job>         a finished job, kept for good
//
// Everything below g/ is mirrored by every node; h/ grows for ever and is read
// one key at a time.
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

// Prefixes and keys.
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

// JobKey is the key of an unfinished job.
func JobKey(id protocol.JobID) string { return JobPrefix + string(id) }

// ParseJobKey takes such a key apart.
func ParseJobKey(key string) (id protocol.JobID, ok bool) {
	rest, ok := strings.CutPrefix(key, JobPrefix)
	return protocol.JobID(rest), ok
}

// FinalRecordKey is the key of a finished job.
func FinalRecordKey(id protocol.JobID) string { return FinalRecordPrefix + string(id) }

// TaskRecordKey is the key of a job's n-th record of tasks, n from 1.
func TaskRecordKey(id protocol.JobID, n int) string {
	return TaskRecordPrefix + string(id) + "/" + strconv.Itoa(n)
}

// ParseTaskRecordKey takes such a key apart.
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

// MachineRecordKey is the key of a machine record.
func MachineRecordKey(id string) string { return MachineRecordPrefix + id }

// RelayKey is the key of the messages from one controller to another.
func RelayKey(from, to protocol.NodeName) string {
	return RelayPrefix + string(from) + "/" + string(to)
}

// ParseRelayKey takes such a key apart.
func ParseRelayKey(key string) (from, to protocol.NodeName, ok bool) {
	rest, ok := strings.CutPrefix(key, RelayPrefix)
	if !ok {
		return "", "", false
	}
	sender, receiver, ok := strings.Cut(rest, "/")
	return protocol.NodeName(sender), protocol.NodeName(receiver), ok
}

// RelayedFrames holds frames of the controllers' binary format.
type RelayedFrames struct {
	Writer string `json:"w"`
	Frames []byte `json:"f"`
}

// RelayCapacity is how many bytes of frames fit into one value: JSON writes three
// bytes as four characters.
func RelayCapacity(valueKB float64) int { return (int(valueKB*1024) - 256) / 4 * 3 }

// LeaderLease is the leader lease. Its revision is the term and the token.
type LeaderLease struct {
	Node protocol.NodeName `json:"node"`
	// Boot tells two lives of one node apart.
	Boot string `json:"boot"`
}

// RestoreMarker marks a state service that lacks what workers have seen of it: jobs of before
// may run on workers that have yet to report. Token is the highest that a worker held.
type RestoreMarker struct {
	Writer string        `json:"w"`
	Token  protocol.Term `json:"token"`
}

// Task is the part of a task that must outlive every controller. It is written
// as [index,attempt] when it has no place, [index,attempt,"machine",incarnation]
// when it has one, and [index,attempt,1] when it is done: a job of a hundred
// tasks then fits into one record.
type Task struct {
	Index       int
	Attempt     protocol.AttemptNumber
	Machine     protocol.MachineID
	Incarnation protocol.Incarnation
	Done        bool
}

// MarshalJSON writes the short form.
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

// Tasks are the tasks of a record. They are read all at once: a new leader reads
// those of every unfinished job before it does anything else.
type Tasks []Task

// UnmarshalJSON reads the short forms, or the long one that version 0.1 wrote.
func (list *Tasks) UnmarshalJSON(value []byte) error {
	var short [][]json.RawMessage
	if err := json.Unmarshal(value, &short); err != nil {
		return list.unmarshalObjects(value)
	}
	*list = make(Tasks, len(short))
	for i, fields := range short {
		if len(fields) < 2 || len(fields) > 4 {
			return fmt.Errorf("a task of %d fields", len(fields))
		}
		t := &(*list)[i]
		t.Done = len(fields) == 3
		var errs [4]error
		t.Index, errs[0] = strconv.Atoi(string(fields[0]))
		t.Attempt, errs[1] = parseNumber[protocol.AttemptNumber](fields[1])
		if len(fields) == 4 {
			errs[2] = json.Unmarshal(fields[2], &t.Machine)
			t.Incarnation, errs[3] = parseNumber[protocol.Incarnation](fields[3])
		}
		if err := errors.Join(errs[:]...); err != nil {
			return err
		}
	}
	return nil
}

// parseNumber reads a number of a short form.
func parseNumber[N ~uint64](field json.RawMessage) (N, error) {
	n, err := strconv.ParseUint(string(field), 10, 64)
	return N(n), err
}

func (list *Tasks) unmarshalObjects(value []byte) error {
	var long []struct {
		Index       int                    `json:"i"`
		Attempt     protocol.AttemptNumber `json:"n"`
		Machine     protocol.MachineID     `json:"m"`
		Incarnation protocol.Incarnation   `json:"s"`
		Done        bool                   `json:"d"`
	}
	err := json.Unmarshal(value, &long)
	*list = nil
	for _, t := range long {
		*list = append(*list, Task(t))
	}
	return err
}

// Job is the record of an unfinished job. Writer is unique to every write: by
// it a transaction whose answer was lost is told from one that never happened.
type Job struct {
	Writer             string                 `json:"w"`
	Spec               *protocol.Job          `json:"spec"`
	SubmittedAtMs      int64                  `json:"at"`            // time of day of the submission
	SubmissionRevision protocol.Revision      `json:"seq,omitempty"` // revision of the submission: the order of arrival
	Attempt            protocol.AttemptNumber `json:"try,omitempty"` // the gang's epoch
	Cancelled          bool                   `json:"off,omitempty"`
	Done               int                    `json:"done,omitempty"`
	Placed             int                    `json:"placed,omitempty"`
	TasksPerBaseRecord int                    `json:"chunk"` // tasks per record
	// TotalRecords is the number of records if there are more than TasksPerRecord says: one that
	// had outgrown the limits was split, and what it gave away is in the last ones.
	// Version 0.2 would not find those.
	TotalRecords int   `json:"parts,omitempty"`
	Tasks        Tasks `json:"tasks,omitempty"`
	// Version is 0 as long as every version that may run beside this one reads the
	// record whole. A record of a higher version is left alone.
	Version int `json:"v,omitempty"`
}

// ErrUnknownVersion is wrapped by the error about a record of a version that is not known.
var ErrUnknownVersion = errors.New("record of an unknown version")

// ErrMalformedRecord is wrapped by the error about a record that makes no sense.
var ErrMalformedRecord = errors.New("record without a sound description")

// maxJobRecordVersion is the highest version of a job's record that is known.
const maxJobRecordVersion = 0

// BaseRecords is the number of records that TasksPerRecord says.
func (j *Job) BaseRecords() int {
	return (j.Spec.Tasks + j.TasksPerBaseRecord - 1) / j.TasksPerBaseRecord
}

// Writer is the writer's name that a record begins with, found without decoding
// the rest; "" if it begins otherwise.
func Writer(value json.RawMessage) string {
	rest, ok := bytes.CutPrefix(value, []byte(`{"w":"`))
	name, _, closed := bytes.Cut(rest, []byte(`"`))
	if !ok || !closed {
		return ""
	}
	return string(name)
}

// TaskRecord is a further record of a job's tasks.
type TaskRecord struct {
	Writer string `json:"w"`
	Tasks  Tasks  `json:"tasks,omitempty"`
}

// MachineRecord lists some machines of one zone. A placement on one of them
// is guarded on the revision of this record.
type MachineRecord struct {
	Writer   string         `json:"w"`
	Machines []MachineEntry `json:"rooms"`
}

// MachineRecordCapacity is how many bytes of entries fit into one record.
func MachineRecordCapacity(valueKB float64) int { return int(valueKB*1024) - 256 }

// MachineEntry is a machine's entry in its machine record.
type MachineEntry struct {
	ID      protocol.MachineID       `json:"id"`
	Address string                   `json:"addr"`
	Type    protocol.MachineTypeName `json:"type"`
	Zone    protocol.ZoneName        `json:"zone"`
	Spot    bool                     `json:"spot,omitempty"`
	// Cordoned machines take no further tasks.
	Cordoned bool `json:"closed,omitempty"`
}

// MaxSize is how many bytes an entry takes at most, whatever address it gets and
// whether or not it is closed.
func (r MachineEntry) MaxSize() int {
	r.Cordoned, r.Spot = true, true
	return len(Encode(r)) + 1 + max(0, maxAddressBytes-len(r.Address))
}

// maxAddressBytes is the longest IPv4 address with its port, in bytes.
const maxAddressBytes = 21

// FinalRecord is the record of a finished job.
type FinalRecord struct {
	Writer string         `json:"w"`
	Phase  protocol.Phase `json:"phase"`
	Done   int            `json:"done"`
}

// TasksPerRecord is the number of a job's tasks per record that the limits allow. The
// places of a gang are all written, and each is guarded on its machine's record.
func TasksPerRecord(valueKB float64, txnOps int, spec *protocol.Job) int {
	n := (int(valueKB*1024) - len(Encode(spec)) - tuning.RecordHeaderBytes) / tuning.BytesPerTask
	n = min(n, tuning.MaxTasksPerRecord)
	if spec.Gang() {
		n = min(n, MaxGangTasksPerRecord(txnOps))
	}
	return max(1, n)
}

// MaxGangTasksPerRecord is how many tasks of a gang a record may have: with every one on
// another machine, in another machine record, the transaction that places them keeps within
// its conditions, four for every change, the leader lease and two records among them.
func MaxGangTasksPerRecord(txnOps int) int { return 4*txnOps - 4 }

// Storable says whether a job's description leaves room for a task.
func Storable(valueKB float64, spec *protocol.Job) bool {
	return len(Encode(spec))+tuning.RecordHeaderBytes+tuning.BytesPerTask <= int(valueKB*1024)
}

// Status is what a user is told of an unfinished job. A record counts as
// running once a task has its place.
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

// DecodeJob reads a job's record.
func DecodeJob(value json.RawMessage) (*Job, error) {
	var j Job
	if err := json.Unmarshal(value, &j); err != nil {
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

// Encode writes a record. Records hold nothing that JSON cannot express.
func Encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic("storage: " + err.Error())
	}
	return b
}
