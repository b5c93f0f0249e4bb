package storage

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/google/go-cmp/cmp"
)

// TestJobRecordFitsValueLimit: a main record keeps within the store's value limit even with the
// longest specification, the largest numbers and the longest names that it may hold.
func TestJobRecordFitsValueLimit(t *testing.T) {
	for _, valueKB := range []float64{2, 4, 8, 64} {
		spec := &protocol.Job{ID: protocol.JobID("run-" + strings.Repeat("9", 30)), Tasks: protocol.MaxTasks}
		for len(Encode(spec)) < protocol.MaxJobBytes-1 && Storable(valueKB, spec) {
			spec.Image += "x"
		}
		spec.Image = spec.Image[1:]
		tasksPerRecord := TasksPerRecord(valueKB, 12, spec)
		var tasks []Task
		for i := range tasksPerRecord {
			tasks = append(tasks, Task{Index: 90_000 + i, Attempt: 99_999, Machine: "i-000000000231", Incarnation: 9_999, Done: false})
		}
		rec := Job{Writer: strings.Repeat("w", 40), Spec: spec, SubmittedAtMs: 1 << 50, SubmissionRevision: 1 << 60, Attempt: 1 << 30, Cancelled: true,
			Done: protocol.MaxTasks, Placed: protocol.MaxTasks, TasksPerBaseRecord: tasksPerRecord, Tasks: tasks}
		if n := len(Encode(rec)); n > int(valueKB*1024) {
			t.Errorf("value limit of %v KiB: the record has %d bytes", valueKB, n)
		}
	}
}

// TestParseTaskRecordKey: the key of a task record is parsed, and other or invalid keys are
// rejected.
func TestParseTaskRecordKey(t *testing.T) {
	id, n, ok := ParseTaskRecordKey(TaskRecordKey("run-1", 12))
	if id != "run-1" || n != 12 || !ok {
		t.Errorf("parsed as job %s, number %d, valid %v", id, n, ok)
	}
	for _, bad := range []string{"g/t/run-1", "g/t/run-1/x", "g/t/run-1/0", "g/j/run-1"} {
		if _, _, ok := ParseTaskRecordKey(bad); ok {
			t.Errorf("%s is accepted as the key of a task record", bad)
		}
	}
}

func entry(key string, revision protocol.Revision) protocol.Entry {
	return protocol.Entry{Key: key, Value: []byte(fmt.Sprint(revision)), Revision: revision}
}

// TestChangesDuringLoad: a change that is made between the reads of two pages is not missed, and it
// is not undone when the watch delivers the same or an earlier change of the key.
func TestChangesDuringLoad(t *testing.T) {
	var m Mirror
	m.BeginLoad()
	if after := m.LoadPage(&protocol.Entries{Revision: 100, More: true, Items: []protocol.Entry{entry("g/a", 5), entry("g/b", 6)}}); after != "g/b" {
		t.Fatalf("the next page starts after %q", after)
	}
	if m.Ready() {
		t.Error("ready after the first of two pages")
	}
	// g/c was written at revision 105, and again at 107 before its page was read.
	m.LoadPage(&protocol.Entries{Revision: 110, Items: []protocol.Entry{entry("g/c", 107)}})
	if !m.Ready() || m.Revision != 100 {
		t.Fatalf("ready %v at revision %d", m.Ready(), m.Revision)
	}
	steps := []struct {
		ev      protocol.WatchEvent
		applied bool
	}{
		{protocol.WatchEvent{Set: "g/c", Revision: 105}, false},
		{protocol.WatchEvent{Set: "g/c", Revision: 107}, false},
		{protocol.WatchEvent{Delete: "g/a", Revision: 108}, true},
		{protocol.WatchEvent{Delete: "g/x", Revision: 109}, false},
		{protocol.WatchEvent{Set: "g/a", Value: []byte("9"), Revision: 111}, true},
	}
	for i, s := range steps {
		if got := m.Apply(&s.ev); got != s.applied {
			t.Errorf("step %d: applied %v", i, got)
		}
	}
	if e, _ := m.Get("g/c"); e.Revision != 107 {
		t.Errorf("g/c at revision %d", e.Revision)
	}
	if e, ok := m.Get("g/a"); !ok || e.Revision != 111 {
		t.Errorf("g/a at revision %d", e.Revision)
	}
}

// TestJobStatus: a job is running while a task has a placement, and a cancelled job is cancelled in
// any case. Otherwise an unfinished job is pending, even if some of its tasks are done.
func TestJobStatus(t *testing.T) {
	spec := &protocol.Job{ID: "run-1", Tasks: 3}
	for _, c := range []struct {
		rec  Job
		want protocol.Phase
	}{
		{Job{}, protocol.PhasePending},
		{Job{Done: 1}, protocol.PhasePending},
		{Job{Placed: 1}, protocol.PhaseRunning},
		{Job{Placed: 1, Cancelled: true}, protocol.PhaseCancelled},
	} {
		c.rec.Spec = spec
		if s := c.rec.Status(); s.Phase != c.want {
			t.Errorf("%+v has phase %s", c.rec, s.Phase)
		}
	}
}

// TestTaskEncoding: the array form of a task keeps all of its fields. The object form that version
// 0.1 wrote is decoded too, and everything else is rejected.
func TestTaskEncoding(t *testing.T) {
	for want, task := range map[string]Task{
		`[3,2]`:            {Index: 3, Attempt: 2},
		`[3,2,1]`:          {Index: 3, Attempt: 2, Done: true},
		`[0,1,"i-\"1",7]`:  {Index: 0, Attempt: 1, Machine: `i-"1`, Incarnation: 7},
		`[9,1,"i-0001",0]`: {Index: 9, Attempt: 1, Machine: "i-0001"},
	} {
		if got := string(Encode(task)); got != want {
			t.Errorf("%+v is encoded as %s, want %s", task, got, want)
		}
		var decoded Tasks
		if err := json.Unmarshal([]byte("["+want+"]"), &decoded); err != nil || len(decoded) != 1 || decoded[0] != task {
			t.Errorf("%s is decoded as %+v, error %v", want, decoded, err)
		}
	}
	var fromObjects Tasks
	if err := json.Unmarshal([]byte(`[{"i":3,"n":2,"m":"i-1","s":4}]`), &fromObjects); err != nil || len(fromObjects) != 1 || fromObjects[0] != (Task{Index: 3, Attempt: 2, Machine: "i-1", Incarnation: 4}) {
		t.Errorf("the object form is decoded as %+v, error %v", fromObjects, err)
	}
	for _, bad := range []string{`[]`, `[1]`, `[1,2,"m",1,5]`, `["a",1]`, `[1,-1]`, `[1,2,3,4]`, `{"i":"1"}`} {
		var decoded Tasks
		if json.Unmarshal([]byte("["+bad+"]"), &decoded) == nil {
			t.Errorf("%s is accepted as a task", bad)
		}
	}
}

// TestMirrorStatus: what users are told changes with each revision of a job's main record, although
// each revision is decoded only once. The writer of a record is found without decoding the record.
func TestMirrorStatus(t *testing.T) {
	var m Mirror
	m.BeginLoad()
	m.LoadPage(&protocol.Entries{Revision: 1})
	key := JobKey("run-1")
	for i, want := range []protocol.Status{
		{ID: "run-1", Phase: protocol.PhasePending},
		{ID: "run-1", Phase: protocol.PhaseRunning, Done: 1, Running: 2},
		{ID: "run-1", Phase: protocol.PhaseCancelled, Done: 1},
	} {
		rec := Job{Writer: "w-1", Spec: &protocol.Job{ID: "run-1", Tasks: 3}, TasksPerBaseRecord: 9, Done: want.Done, Placed: want.Running, Cancelled: want.Phase == protocol.PhaseCancelled}
		value := Encode(rec)
		m.Apply(&protocol.WatchEvent{Set: key, Value: value, Revision: protocol.Revision(i + 2)})
		for range 2 {
			got, ok := m.Status(key)
			if revision := protocol.Revision(i + 2); !ok || got != (JobStatus{Status: want, Revision: revision, ReachedBy: revision}) {
				t.Errorf("revision %d: %+v, %v, want %+v", i+2, got, ok, want)
			}
		}
		if Writer(value) != "w-1" {
			t.Errorf("%s: the writer is %q", value, Writer(value))
		}
	}
	m.Apply(&protocol.WatchEvent{Delete: key, Revision: 9})
	if _, ok := m.Status(key); ok || len(m.statuses) > 0 {
		t.Error("there is a status for a deleted record")
	}
	if Writer([]byte(`{"spec":{}}`)) != "" || Writer([]byte(`{"w":"x`)) != "" {
		t.Error("a writer is found in a record without one")
	}
}

// TestRecordInAnotherSpellingIsRead guards against a record that is lost because the store returns it
// with other white space, another order of members or other spellings of numbers.
func TestRecordInAnotherSpellingIsRead(t *testing.T) {
	want := Job{Writer: "w-1", Spec: &protocol.Job{ID: "run-1", Tasks: 3}, Attempt: 7, TasksPerBaseRecord: 9,
		Tasks: Tasks{{Index: 2, Attempt: 7, Machine: "i-1", Incarnation: 4}, {Index: 1, Attempt: 1, Done: true}}}
	respelled := []byte(`{ "chunk":9.0, "W":"w-2", "tasks" : [ [2.0, 70e-1, "i\u002d1", 4], [1,1e0,1] ],
		"try": 7, "Try": 8, "spec": {"pieces": 3, "uid": "run-1", "UID": "run-2"}, "w" : "w-1"}`)
	got, err := DecodeJob(respelled)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&want, got); diff != "" {
		t.Error(diff)
	}
	if Writer(respelled) != "w-1" {
		t.Errorf("the writer is %q", Writer(respelled))
	}
}

// TestRecordsOfEarlierVersions: records that versions 0.2 and 0.3 wrote are decoded completely and
// encoded again to the same bytes. So while both versions run, records contain nothing that the
// earlier one does not know.
func TestRecordsOfEarlierVersions(t *testing.T) {
	for version, want := range map[string]int{"0.2": 8, "0.3": 10} {
		data, err := os.ReadFile("testdata/records-" + version + ".txt")
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		if len(lines) != want {
			t.Errorf("%s: %d records, want %d", version, len(lines), want)
		}
		for _, line := range lines {
			key, value, _ := strings.Cut(line, " ")
			encoded, err := reencode(t, key, value)
			if err != nil || string(encoded) != value {
				t.Errorf("%s: %s: %v\n%s\n%s", version, key, err, value, encoded)
			}
		}
	}
}

// reencode decodes the record of a key and encodes it again.
func reencode(t *testing.T, key, value string) (json.RawMessage, error) {
	t.Helper()
	switch {
	case strings.HasPrefix(key, JobPrefix):
		j, err := DecodeJob(json.RawMessage(value))
		if err != nil {
			return nil, err
		}
		if want := (j.Spec.Tasks + 97) / 98; j.BaseRecords() != want || j.TotalRecords != 0 && j.TotalRecords <= want {
			t.Errorf("%s: %d total records, %d base records", key, j.TotalRecords, j.BaseRecords())
		}
		return Encode(j), nil
	case strings.HasPrefix(key, TaskRecordPrefix):
		return decodeAndEncode[TaskRecord](value)
	case strings.HasPrefix(key, FinalRecordPrefix):
		return decodeAndEncode[FinalRecord](value)
	case strings.HasPrefix(key, MachineRecordPrefix):
		return decodeAndEncode[MachineRecord](value)
	case strings.HasPrefix(key, RelayPrefix):
		return decodeAndEncode[RelayedFrames](value)
	case key == LeaderKey:
		return decodeAndEncode[LeaderLease](value)
	case key == TypesKey:
		return decodeAndEncode[protocol.MachineTypes](value)
	}
	return nil, fmt.Errorf("unknown key %s", key)
}

func decodeAndEncode[T any](value string) (json.RawMessage, error) {
	var v T
	err := json.Unmarshal([]byte(value), &v)
	return Encode(v), err
}
