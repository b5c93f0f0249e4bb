package storage

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/gappond/gappond/internal/protocol"
)

// TestJobRecordFitsValueLimit: a job's records keep within the value limit with the largest
// description, numbers and names that they may hold.
func TestJobRecordFitsValueLimit(t *testing.T) {
	for _, kb := range []float64{2, 4, 8, 64} {
		spec := &protocol.Job{ID: protocol.JobID("run-" + strings.Repeat("9", 30)), Tasks: protocol.MaxTasks}
		for len(Encode(spec)) < protocol.MaxJobBytes-1 && Storable(kb, spec) {
			spec.Image += "x"
		}
		spec.Image = spec.Image[1:]
		size := TasksPerRecord(kb, 12, spec)
		var tasks []Task
		for i := range size {
			tasks = append(tasks, Task{Index: 90_000 + i, Attempt: 99_999, Machine: "i-000000000231", Incarnation: 9_999, Done: false})
		}
		rec := Job{Writer: strings.Repeat("w", 40), Spec: spec, SubmittedAtMs: 1 << 50, SubmissionRevision: 1 << 60, Attempt: 1 << 30, Cancelled: true,
			Done: protocol.MaxTasks, Placed: protocol.MaxTasks, TasksPerBaseRecord: size, Tasks: tasks}
		if n := len(Encode(rec)); n > int(kb*1024) {
			t.Errorf("%v KiB: a record of %d bytes", kb, n)
		}
	}
}

func TestParseTaskRecordKey(t *testing.T) {
	id, n, ok := ParseTaskRecordKey(TaskRecordKey("run-1", 12))
	if id != "run-1" || n != 12 || !ok {
		t.Errorf("%s %d %v", id, n, ok)
	}
	for _, bad := range []string{"g/t/run-1", "g/t/run-1/x", "g/t/run-1/0", "g/j/run-1"} {
		if _, _, ok := ParseTaskRecordKey(bad); ok {
			t.Errorf("%s is taken", bad)
		}
	}
}

func entry(key string, stamp protocol.Revision) protocol.Entry {
	return protocol.Entry{Key: key, Value: []byte(fmt.Sprint(stamp)), Revision: stamp}
}

// TestChangesDuringLoad: what changes while the pages are read is neither
// missed nor undone when the watch shows it again.
func TestChangesDuringLoad(t *testing.T) {
	var m Mirror
	m.BeginLoad()
	if after := m.LoadPage(&protocol.Entries{Revision: 100, More: true, Items: []protocol.Entry{entry("g/a", 5), entry("g/b", 6)}}); after != "g/b" {
		t.Fatalf("goes on after %q", after)
	}
	if m.Ready() {
		t.Error("ready after half of the pages")
	}
	// g/c was written at 105 and again at 107, before its page was read.
	m.LoadPage(&protocol.Entries{Revision: 110, Items: []protocol.Entry{entry("g/c", 107)}})
	if !m.Ready() || m.Revision != 100 {
		t.Fatalf("ready %v at %d", m.Ready(), m.Revision)
	}
	steps := []struct {
		ev   protocol.WatchEvent
		took bool
	}{
		{protocol.WatchEvent{Set: "g/c", Revision: 105}, false},
		{protocol.WatchEvent{Set: "g/c", Revision: 107}, false},
		{protocol.WatchEvent{Delete: "g/a", Revision: 108}, true},
		{protocol.WatchEvent{Delete: "g/x", Revision: 109}, false},
		{protocol.WatchEvent{Set: "g/a", Value: []byte("9"), Revision: 111}, true},
	}
	for i, s := range steps {
		if got := m.Apply(&s.ev); got != s.took {
			t.Errorf("step %d: taken %v", i, got)
		}
	}
	if e, _ := m.Get("g/c"); e.Revision != 107 {
		t.Errorf("g/c at %d", e.Revision)
	}
	if e, ok := m.Get("g/a"); !ok || e.Revision != 111 {
		t.Errorf("g/a at %d", e.Revision)
	}
}

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
			t.Errorf("%+v is %s", c.rec, s.Phase)
		}
	}
}

// TestTaskEncoding: the short form of a task says all that it must.
func TestTaskEncoding(t *testing.T) {
	for want, task := range map[string]Task{
		`[3,2]`:            {Index: 3, Attempt: 2},
		`[3,2,1]`:          {Index: 3, Attempt: 2, Done: true},
		`[0,1,"i-\"1",7]`:  {Index: 0, Attempt: 1, Machine: `i-"1`, Incarnation: 7},
		`[9,1,"i-0001",0]`: {Index: 9, Attempt: 1, Machine: "i-0001"},
	} {
		if got := string(Encode(task)); got != want {
			t.Errorf("%+v is written %s, want %s", task, got, want)
		}
		var back Tasks
		if err := json.Unmarshal([]byte("["+want+"]"), &back); err != nil || len(back) != 1 || back[0] != task {
			t.Errorf("%s is read %+v, %v", want, back, err)
		}
	}
	var old Tasks
	if err := json.Unmarshal([]byte(`[{"i":3,"n":2,"m":"i-1","s":4}]`), &old); err != nil || len(old) != 1 || old[0] != (Task{Index: 3, Attempt: 2, Machine: "i-1", Incarnation: 4}) {
		t.Errorf("the long form is read %+v, %v", old, err)
	}
	for _, bad := range []string{`[]`, `[1]`, `[1,2,"m",1,5]`, `["a",1]`, `[1,-1]`, `[1,2,3,4]`, `{"i":"1"}`} {
		var back Tasks
		if json.Unmarshal([]byte("["+bad+"]"), &back) == nil {
			t.Errorf("%s is taken", bad)
		}
	}
}

// TestMirrorStatus: what users are told follows a record's revisions, though it is
// decoded only once for each, and a record's writer is found without decoding.
func TestMirrorStatus(t *testing.T) {
	var m Mirror
	m.BeginLoad()
	m.LoadPage(&protocol.Entries{Revision: 1})
	key := JobKey("run-1")
	for stamp, want := range []protocol.Status{
		{ID: "run-1", Phase: protocol.PhasePending},
		{ID: "run-1", Phase: protocol.PhaseRunning, Done: 1, Running: 2},
		{ID: "run-1", Phase: protocol.PhaseCancelled, Done: 1},
	} {
		rec := Job{Writer: "w-1", Spec: &protocol.Job{ID: "run-1", Tasks: 3}, TasksPerBaseRecord: 9, Done: want.Done, Placed: want.Running, Cancelled: want.Phase == protocol.PhaseCancelled}
		value := Encode(rec)
		m.Apply(&protocol.WatchEvent{Set: key, Value: value, Revision: protocol.Revision(stamp + 2)})
		for range 2 {
			got, at, ok := m.Status(key)
			if !ok || got != want || at != protocol.Revision(stamp+2) {
				t.Errorf("revision %d: %+v at %d, %v, want %+v", stamp+2, got, at, ok, want)
			}
		}
		if Writer(value) != "w-1" {
			t.Errorf("%s: written by %q", value, Writer(value))
		}
	}
	m.Apply(&protocol.WatchEvent{Delete: key, Revision: 9})
	if _, _, ok := m.Status(key); ok || len(m.statuses) > 0 {
		t.Error("a deleted record has a status")
	}
	if Writer([]byte(`{"spec":{}}`)) != "" || Writer([]byte(`{"w":"x`)) != "" {
		t.Error("a writer where there is none")
	}
}

// TestRecordsOfEarlierVersions: records as versions 0.2 and 0.3 wrote them are read whole, and
// written the same while both versions run: nothing in them is new to the earlier one.
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
			again, err := reencode(t, key, value)
			if err != nil || string(again) != value {
				t.Errorf("%s: %s: %v\n%s\n%s", version, key, err, value, again)
			}
		}
	}
}

// reencode reads the record under a key and writes it again.
func reencode(t *testing.T, key, value string) (json.RawMessage, error) {
	t.Helper()
	switch {
	case strings.HasPrefix(key, JobPrefix):
		j, err := DecodeJob(json.RawMessage(value))
		if err != nil {
			return nil, err
		}
		if want := (j.Spec.Tasks + 97) / 98; j.BaseRecords() != want || j.TotalRecords != 0 && j.TotalRecords <= want {
			t.Errorf("%s: %d parts, %d records", key, j.TotalRecords, j.BaseRecords())
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
	return nil, fmt.Errorf("%s is no key", key)
}

func decodeAndEncode[T any](value string) (json.RawMessage, error) {
	var v T
	err := json.Unmarshal([]byte(value), &v)
	return Encode(v), err
}
