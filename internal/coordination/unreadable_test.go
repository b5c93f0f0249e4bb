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

// TestJobWithUnreadableRecordIsLeftAlone: a job of which a record cannot be read, because a later
// version wrote it or because it is damaged, is left alone: nothing of it is written
// or deleted, its tasks run on and are not started again, their machine is kept, and
// other jobs are served. One whose own record can be read may still be cancelled.
func TestJobWithUnreadableRecordIsLeftAlone(t *testing.T) {
	for name, spoil := range map[string]func(s *storedRecords, key, part string){
		"later version": func(s *storedRecords, key, _ string) {
			e := s.entries[key]
			e.Value = json.RawMessage(strings.Replace(string(e.Value), `{"w":"w-1",`, `{"w":"w-1","v":9,`, 1))
			s.entries[key] = e
		},
		"damaged job record": func(s *storedRecords, key, _ string) {
			s.entries[key] = protocol.Entry{Key: key, Value: json.RawMessage(`{"w":"w-1"}`), Revision: 9}
		},
		"damaged part": func(s *storedRecords, _, part string) {
			s.entries[part] = protocol.Entry{Key: part, Value: json.RawMessage(`{"w":"w-1","tasks":7}`), Revision: 9}
		},
	} {
		rec := jobWithLargeSpec(protocol.ShapeGang)
		rec.TasksPerBaseRecord, rec.Tasks = 49, rec.Tasks[:49]
		s := storeWith(rec)
		key, part := storage.JobKey(rec.Spec.ID), storage.TaskRecordKey(rec.Spec.ID, 1)
		s.entries[part] = protocol.Entry{Key: part, Revision: 9, Value: storage.Encode(storage.TaskRecord{Writer: "w-4",
			Tasks: jobWithLargeSpec(protocol.ShapeGang).Tasks[49:]})}
		spoil(s, key, part)
		l := s.leader(protocol.CurrentFeatureLevel)
		machine := l.cluster.Machines[hostName]
		var tasks []protocol.TaskStatus
		for i := range rec.Spec.Tasks {
			tasks = append(tasks, protocol.TaskStatus{Task: protocol.TaskName(rec.Spec.ID, i), Attempt: 2, State: protocol.TaskRunning})
		}
		machine.TypeName, machine.Zone = "big", "a"
		for range 20 {
			if cmds := l.testHeartbeat(machine, l.n.election.Term(), tasks...); len(cmds) > 0 {
				t.Fatalf("%s: orders %v", name, cmds)
			}
			l.runSchedulingCycle()
			l.autoscaler.Tick()
			if txn, _ := l.nextTransaction(t); txn != nil {
				for _, c := range txn.Changes {
					if strings.Contains(c.Set+c.Delete, string(rec.Spec.ID)) {
						t.Fatalf("%s: %s%s is changed", name, c.Set, c.Delete)
					}
				}
			}
		}
		if machine.Deleting {
			t.Errorf("%s: its machine is returned", name)
		}
		job := l.cluster.Jobs[rec.Spec.ID]
		if (job != nil) != (name == "damaged part") {
			t.Fatalf("%s: known %v", name, job != nil)
		}
		if job != nil {
			l.cancelJob(job)
			if cmds := l.testHeartbeat(machine, l.n.election.Term(), tasks...); len(cmds) < 49 || !strings.HasPrefix(commandKinds(cmds), "halt ") {
				t.Errorf("%s: cancelled, and %d orders", name, len(cmds))
			}
		}
	}
}

// storedRecords is what a state service holds, for leaders that begin from it.
type storedRecords struct {
	entries  map[string]protocol.Entry
	revision protocol.Revision
}

// leader begins to lead from the stored records, in a deployment whose limits will
// be, or are, lowered to a sixteenth.
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

// hostName is the name of the machine that has all tasks; a long one, so that a record
// of 98 tasks needs many parts.
var hostName = protocol.MachineID("i-" + strings.Repeat("0", 80) + "231")

// jobWithLargeSpec is a job whose description leaves space for few tasks in its first record.
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

func storeWith(rec *storage.Job) *storedRecords {
	s := &storedRecords{entries: map[string]protocol.Entry{}, revision: 9}
	s.entries[storage.JobKey(rec.Spec.ID)] = protocol.Entry{Key: storage.JobKey(rec.Spec.ID), Value: storage.Encode(rec), Revision: 9}
	machines := storage.MachineRecord{Writer: "w-2", Machines: []storage.MachineEntry{{ID: hostName, Address: "h:1", Type: "big", Zone: "a"}}}
	s.entries["g/m/one"] = protocol.Entry{Key: "g/m/one", Value: storage.Encode(machines), Revision: 8}
	return s
}

// nextTransaction lets a leader commit and returns what is under way then, nil if that is
// nothing.
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
	t.Fatal("what is under way was not sent")
	return nil, Request{}
}
