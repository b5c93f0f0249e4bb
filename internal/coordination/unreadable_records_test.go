package coordination

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// TestJobWithUnreadableRecordIsLeftAlone: if a record of a job cannot be read, because a later
// version wrote it or because it is malformed, the job is left alone. None of its records are
// written or deleted, its tasks keep running and are not started again, their machine is kept, and
// other jobs are handled normally. If the main record is readable, the job can still be cancelled.
func TestJobWithUnreadableRecordIsLeftAlone(t *testing.T) {
	for name, corrupt := range map[string]func(s *storedRecords, mainKey, taskKey string){
		"later version": func(s *storedRecords, mainKey, _ string) {
			e := s.entries[mainKey]
			e.Value = json.RawMessage(strings.Replace(string(e.Value), `{"w":"w-1",`, `{"w":"w-1","v":9,`, 1))
			s.entries[mainKey] = e
		},
		"malformed main record": func(s *storedRecords, mainKey, _ string) {
			s.entries[mainKey] = protocol.Entry{Key: mainKey, Value: json.RawMessage(`{"w":"w-1"}`), Revision: 9}
		},
		"malformed task record": func(s *storedRecords, _, taskKey string) {
			s.entries[taskKey] = protocol.Entry{Key: taskKey, Value: json.RawMessage(`{"w":"w-1","tasks":7}`), Revision: 9}
		},
	} {
		rec := jobWithLargeSpec(protocol.ShapeGang)
		rec.TasksPerBaseRecord, rec.Tasks = 49, rec.Tasks[:49]
		s := storeWith(rec)
		mainKey, taskKey := storage.JobKey(rec.Spec.ID), storage.TaskRecordKey(rec.Spec.ID, 1)
		s.entries[taskKey] = protocol.Entry{Key: taskKey, Revision: 9, Value: storage.Encode(storage.TaskRecord{Writer: "w-4",
			Tasks: jobWithLargeSpec(protocol.ShapeGang).Tasks[49:]})}
		corrupt(s, mainKey, taskKey)
		l := s.leader(protocol.CurrentFeatureLevel)
		machine := l.cluster.Machines[hostName]
		var tasks []protocol.TaskStatus
		for i := range rec.Spec.Tasks {
			tasks = append(tasks, protocol.TaskStatus{Task: protocol.TaskName(rec.Spec.ID, i), Attempt: 2, State: protocol.TaskRunning})
		}
		machine.TypeName, machine.Zone = "big", "a"
		for range 20 {
			if cmds := l.testHeartbeat(machine, l.n.election.Term(), tasks...); len(cmds) > 0 {
				t.Fatalf("%s: commands %v", name, cmds)
			}
			l.runSchedulingCycle()
			l.autoscaler.Tick()
			if txn, _ := l.nextTransaction(t); txn != nil {
				for _, c := range txn.Changes {
					if strings.Contains(c.Set+c.Delete, string(rec.Spec.ID)) {
						t.Fatalf("%s: a transaction changes %s%s", name, c.Set, c.Delete)
					}
				}
			}
		}
		if machine.Deleting {
			t.Errorf("%s: its machine is being deleted", name)
		}
		job := l.cluster.Jobs[rec.Spec.ID]
		if (job != nil) != (name == "malformed task record") {
			t.Fatalf("%s: job loaded %v", name, job != nil)
		}
		if job != nil {
			l.cancelJob(job)
			if cmds := l.testHeartbeat(machine, l.n.election.Term(), tasks...); len(cmds) < 49 || !strings.HasPrefix(commandKinds(cmds), "halt ") {
				t.Errorf("%s: %d commands after the cancellation", name, len(cmds))
			}
		}
	}
}

// storedRecords is the content of a store, from which leaders are started.
type storedRecords struct {
	entries  map[string]protocol.Entry
	revision protocol.Revision
}

// leader starts a leader from the stored records, with a peer of the given feature level. The
// store's limits on values and transactions will be lowered, or already are.
func (s *storedRecords) leader(level uint64) *leader {
	n := testLeader(time.Unix(1_800_000_000, 0)).n
	present := n.cfg.Cluster.Store
	n.cfg.Cluster.Present = &present
	n.cfg.Cluster.Store = config.StoreLimits{RPS: 80, WriteRPS: 15, ValueKB: 2, TxnOps: 4}
	n.budgets = newStoreBudgets(n.cfg)
	n.peers.Add("s")
	n.peers.LinkUp("s")
	announcement := protocol.FeatureLevelAnnouncement("n").(protocol.PeerResponse)
	announcement.Status = level
	n.peers.Receive("s", 1, announcement)
	page := protocol.Entries{Revision: s.revision}
	for _, e := range s.entries {
		page.Items = append(page.Items, e)
	}
	n.mirror.BeginLoad()
	n.mirror.LoadPage(&page)
	n.startLeading()
	return n.ownLeader
}

// hostName is the name of the machine that runs all tasks. It is long, so that 98 tasks need many
// task records.
var hostName = protocol.MachineID("i-" + strings.Repeat("0", 80) + "231")

// jobWithLargeSpec returns the record of a job whose specification leaves space for few tasks in
// the main record.
func jobWithLargeSpec(shape protocol.Shape) *storage.Job {
	spec := &protocol.Job{ID: "run-000077", Class: "c", Team: "free", Shape: shape, Priority: "normal", Tasks: 98, CPUs: 0.1, MemoryGB: 0.1,
		Image: "img", ImageGB: 1, Types: []protocol.MachineTypeName{"big", protocol.MachineTypeName(strings.Repeat("x", 1450))}}
	rec := &storage.Job{Writer: "w-1", Spec: spec, SubmittedAtMs: 1_800_000_000_000, SubmissionRevision: 5, Attempt: 2, TasksPerBaseRecord: 98}
	for i := range spec.Tasks {
		task := storage.Task{Index: i, Attempt: 2, Machine: hostName, Incarnation: 1}
		if shape == protocol.ShapeArray && i%5 == 0 {
			task = storage.Task{Index: i, Attempt: 1, Done: true}
		}
		rec.Tasks = append(rec.Tasks, task)
	}
	return rec
}

// storeWith returns a store that holds a job's record and its machine's record.
func storeWith(rec *storage.Job) *storedRecords {
	s := &storedRecords{entries: map[string]protocol.Entry{}, revision: 9}
	s.entries[storage.JobKey(rec.Spec.ID)] = protocol.Entry{Key: storage.JobKey(rec.Spec.ID), Value: storage.Encode(rec), Revision: 9}
	machines := storage.MachineRecord{Writer: "w-2", Machines: []storage.MachineEntry{{ID: hostName, Address: "h:1", Type: "big", Zone: "a"}}}
	s.entries["g/m/one"] = protocol.Entry{Key: "g/m/one", Value: storage.Encode(machines), Revision: 8}
	return s
}

// nextTransaction lets the leader commit and returns the transaction in flight, nil if there is
// none.
func (l *leader) nextTransaction(t *testing.T) (*protocol.Transaction, Request) {
	t.Helper()
	if !l.committer.InFlight() {
		l.committer.MarkOversizedRecords(l.scheduler)
		l.commitAfter(tuning.MaxCompletionWriteDelay + time.Second)
	}
	if !l.committer.InFlight() {
		return nil, Request{}
	}
	for _, a := range slices.Backward(l.n.out) {
		r, ok := a.(Request)
		if !ok || r.To != ToStore || r.Path != protocol.PathTransactions {
			continue
		}
		var txn protocol.Transaction
		if err := json.Unmarshal(r.Body, &txn); err != nil {
			t.Fatal(err)
		}
		return &txn, r
	}
	t.Fatal("the transaction in flight was not sent")
	return nil, Request{}
}
