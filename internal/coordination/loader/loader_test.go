package loader_test

import (
	"log/slog"
	"strings"
	"testing"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/coordination/commit"
	"github.com/gappond/gappond/internal/coordination/loader"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// records maps keys to stored records.
type records map[string]any

// Each implements loader.Mirror.
func (r records) Each(prefix string, do func(protocol.Entry)) {
	for key, record := range r {
		if strings.HasPrefix(key, prefix) {
			do(protocol.Entry{Key: key, Value: storage.Encode(record), Revision: 9})
		}
	}
}

// testLeader is a fake of the leader. It records the calls that the loader makes.
type testLeader struct {
	*clustertest.Cluster
	committer *commit.Committer
	loader    *loader.Loader
	checked   []protocol.JobID
	dropped   []protocol.JobID
	removed   []protocol.MachineID
}

func newTestLeader() *testLeader {
	l := &testLeader{Cluster: clustertest.New()}
	l.Config.Cluster.Store.ValueKB = 8
	log := slog.New(slog.DiscardHandler)
	l.committer = commit.New(commit.Dependencies{State: l.State, Limits: commit.NewKnownLimits(l.Config), Log: log})
	l.loader = loader.New(l.State, l.committer, l, log)
	return l
}

func (l *testLeader) JobLoaded(*protocol.Job)          {}
func (l *testLeader) RequestScheduling()               {}
func (l *testLeader) CheckEnded(job *cluster.Job)      { l.checked = append(l.checked, job.ID) }
func (l *testLeader) CancelJob(job *cluster.Job)       { job.Cancelled = true }
func (l *testLeader) DropUncommitted(job *cluster.Job) { l.dropped = append(l.dropped, job.ID) }
func (l *testLeader) MachinesDeleted(ids ...protocol.MachineID) {
	l.removed = append(l.removed, ids...)
}

const testJob protocol.JobID = "run-000077"

// jobRecord returns the main record of a job with two tasks and one task per record. tasks are the
// tasks in the main record.
func jobRecord(tasks ...storage.Task) storage.Job {
	spec := clustertest.Array(2)
	spec.ID, spec.Priority = testJob, "normal"
	return storage.Job{Writer: "w-1", Spec: &spec, SubmissionRevision: 5, Attempt: 1, TasksPerBaseRecord: 1, Tasks: tasks}
}

func placedTask(index int, number protocol.AttemptNumber, machine protocol.MachineID) storage.Task {
	return storage.Task{Index: index, Attempt: number, Machine: machine, Incarnation: 1}
}

func machineRecord(ids ...protocol.MachineID) storage.MachineRecord {
	record := storage.MachineRecord{Writer: "w-2"}
	for _, id := range ids {
		record.Machines = append(record.Machines, storage.MachineEntry{ID: id, Address: "h:1", Type: "big", Zone: "a"})
	}
	return record
}

// TestLoadAll: a new leader loads attempts from valid and malformed records, quarantines jobs with
// records that cannot be read, and removes machines that are in no machine record unless one of
// the machine records cannot be read.
func TestLoadAll(t *testing.T) {
	jobKey, partKey := storage.JobKey(testJob), storage.TaskRecordKey(testJob, 1)
	for name, test := range map[string]struct {
		stored      records
		attempts    int // -1 if the job is not loaded
		quarantined bool
		removed     int
	}{
		"both tasks placed": {
			stored:   records{jobKey: jobRecord(placedTask(0, 1, "i-1")), partKey: storage.TaskRecord{Tasks: storage.Tasks{placedTask(1, 1, "i-2")}}, "g/m/x": machineRecord("i-1", "i-2")},
			attempts: 2,
		},
		"one placed on a machine in no machine record": {
			stored:   records{jobKey: jobRecord(placedTask(0, 1, "i-1")), partKey: storage.TaskRecord{Tasks: storage.Tasks{placedTask(1, 1, "i-2")}}, "g/m/x": machineRecord("i-1")},
			attempts: 2, removed: 1,
		},
		"one placed on a machine in no machine record, another machine record cannot be read": {
			stored:   records{jobKey: jobRecord(placedTask(0, 1, "i-1")), "g/m/x": machineRecord(), "g/m/y": machineRecord("i-2")},
			attempts: 1,
		},
		"job record of a later version": {
			stored:   records{jobKey: map[string]any{"w": "w-1", "v": 99}, partKey: storage.TaskRecord{Tasks: storage.Tasks{placedTask(1, 1, "i-2")}}},
			attempts: -1, quarantined: true,
		},
		"malformed task record": {
			stored:   records{jobKey: jobRecord(placedTask(0, 1, "i-1")), partKey: map[string]any{"tasks": 7}, "g/m/x": machineRecord("i-1")},
			attempts: 1, quarantined: true,
		},
		"a task that the job does not have": {
			stored:   records{jobKey: jobRecord(placedTask(0, 1, "i-1"), placedTask(2, 1, "i-1")), "g/m/x": machineRecord("i-1")},
			attempts: 1,
		},
		"an attempt recorded twice": {
			stored:   records{jobKey: jobRecord(placedTask(0, 1, "i-1"), placedTask(0, 1, "i-1")), "g/m/x": machineRecord("i-1")},
			attempts: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLeader()
			l.loader.LoadAll(test.stored)
			attempts := -1
			if job := l.Jobs[testJob]; job != nil {
				attempts = len(job.Attempts)
				if !job.Recovered || job.Records.Quarantined != test.quarantined {
					t.Errorf("recovered %v, quarantined %v", job.Recovered, job.Records.Quarantined)
				}
			}
			if attempts != test.attempts || len(l.removed) != test.removed || l.loader.Quarantined(testJob) != test.quarantined {
				t.Errorf("%d attempts, machines %v removed, quarantined %v", attempts, l.removed, l.loader.Quarantined(testJob))
			}
		})
	}
}

// TestLaterOfTwoAttemptsIsActive: if malformed records place two attempts of a task, the later
// attempt is active, in whatever order they are recorded, and the other is orphaned.
func TestLaterOfTwoAttemptsIsActive(t *testing.T) {
	for _, tasks := range [][]storage.Task{
		{placedTask(0, 1, "i-1"), placedTask(0, 2, "i-2")},
		{placedTask(0, 2, "i-2"), placedTask(0, 1, "i-1")},
	} {
		l := newTestLeader()
		l.loader.LoadAll(records{storage.JobKey(testJob): jobRecord(tasks...), "g/m/x": machineRecord("i-1", "i-2")})
		job := l.Jobs[testJob]
		if active := job.Tasks[0].Active; active.Key.Number != 2 || active.Orphaned {
			t.Errorf("attempt %d is the active one", active.Key.Number)
		}
		for _, attempt := range job.SortedAttempts() {
			if attempt.Orphaned != (attempt.Key.Number == 1) {
				t.Errorf("attempt %d: orphaned %v", attempt.Key.Number, attempt.Orphaned)
			}
		}
	}
}

// TestObserveChange: the loader applies changes of a job's record that the watch delivers. A new
// job is added, a cancellation is applied unless it is older than the known record, and a job
// with a record of a later version is quarantined.
func TestObserveChange(t *testing.T) {
	cancelled := jobRecord(placedTask(0, 1, "i-1"))
	cancelled.Cancelled = true
	for name, test := range map[string]struct {
		known       bool
		record      any
		revision    protocol.Revision
		checked     bool
		cancelled   bool
		quarantined bool
	}{
		"a new job":                   {record: jobRecord(), revision: 20, checked: true},
		"a cancellation":              {known: true, record: cancelled, revision: 20, cancelled: true},
		"an outdated cancellation":    {known: true, record: cancelled, revision: 9},
		"a record of a later version": {known: true, record: map[string]any{"w": "w-1", "v": 99}, revision: 20, quarantined: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLeader()
			if test.known {
				l.loader.LoadAll(records{storage.JobKey(testJob): jobRecord(placedTask(0, 1, "i-1")), "g/m/x": machineRecord("i-1")})
			}
			l.loader.ObserveChange(&protocol.WatchEvent{Set: storage.JobKey(testJob), Value: storage.Encode(test.record), Revision: test.revision})
			job := l.Jobs[testJob]
			if job == nil {
				t.Fatal("the job is not loaded")
			}
			if (len(l.checked) == 1) != test.checked || job.Cancelled != test.cancelled || l.loader.Quarantined(testJob) != test.quarantined || (len(l.dropped) == 1) != test.quarantined {
				t.Errorf("checked %v, cancelled %v, quarantined %v, dropped %v", l.checked, job.Cancelled, l.loader.Quarantined(testJob), l.dropped)
			}
		})
	}
}
