package coordination

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// storedRecords is what a state service holds, for leaders that begin from it.
type storedRecords struct {
	entries  map[string]protocol.Entry
	revision protocol.Revision
}

// apply carries a transaction out if its conditions hold.
func (s *storedRecords) apply(txn protocol.Transaction) bool {
	for _, c := range txn.Conditions {
		if c.Key != storage.LeaderKey && s.entries[c.Key].Revision != c.Revision {
			return false
		}
	}
	s.revision++
	for _, c := range txn.Changes {
		if c.Delete != "" {
			delete(s.entries, c.Delete)
			continue
		}
		s.entries[c.Set] = protocol.Entry{Key: c.Set, Value: c.Value, Revision: s.revision}
	}
	return true
}

// leader begins to lead from the stored records, in a deployment whose limits will
// be, or are, lowered to a sixteenth.
func (s *storedRecords) leader(level uint64) *leader {
	n := testLeader(time.Unix(1_800_000_000, 0)).n
	present := n.cfg.Cluster.State
	n.cfg.Cluster.Present = &present
	n.cfg.Cluster.State = config.State{RPS: 80, WriteRPS: 15, ValueKB: 2, TxnOps: 4}
	n.budgets = newStoreBudgets(n.cfg)
	n.peers.Add("s")
	n.peers.Up("s")
	announcement := protocol.Announcement("n").(protocol.PeerResponse)
	announcement.Status = level
	n.peers.Receive("s", 1, announcement)
	page := protocol.Entries{Revision: s.revision}
	for _, e := range s.entries {
		page.Items = append(page.Items, e)
	}
	n.mirror.BeginLoad()
	n.mirror.LoadPage(&page)
	n.takeOver()
	return n.lead
}

// hostName is the name of the machine that has all tasks; a long one, so that a record
// of 98 tasks needs many parts.
var hostName = protocol.MachineID("i-" + strings.Repeat("0", 80) + "231")

// wideJob is a job whose description leaves room for few tasks in its first record.
func wideJob(shape protocol.Shape) *storage.Job {
	spec := &protocol.Job{ID: "run-000077", Class: "c", Team: "free", Shape: shape, Priority: "normal", Tasks: 98, CPUs: 0.1, MemoryGB: 0.1,
		Image: "img", ImageGB: 1, Types: []protocol.MachineTypeName{"big", protocol.MachineTypeName(strings.Repeat("x", 1450))}}
	rec := &storage.Job{Writer: "w-1", Spec: spec, AtMs: 1_800_000_000_000, Seq: 5, Attempt: 2, RecordTasks: 98}
	for i := range spec.Tasks {
		task := storage.Task{Index: i, Attempt: 2, Machine: hostName, Incarnation: 1}
		if shape == protocol.ShapeArray && i%5 == 0 {
			task = storage.Task{Index: i, Attempt: 1, Done: true}
		}
		rec.Tasks = append(rec.Tasks, task)
	}
	return rec
}

func stored(rec *storage.Job) *storedRecords {
	s := &storedRecords{entries: map[string]protocol.Entry{}, revision: 9}
	s.entries[storage.JobKey(rec.Spec.ID)] = protocol.Entry{Key: storage.JobKey(rec.Spec.ID), Value: storage.Encode(rec), Revision: 9}
	machines := storage.MachineRecord{Writer: "w-2", Machines: []storage.MachineEntry{{ID: hostName, Address: "h:1", Type: "big", Zone: "a"}}}
	s.entries["g/m/one"] = protocol.Entry{Key: "g/m/one", Value: storage.Encode(machines), Revision: 8}
	return s
}

// sameTasks compares the tasks that a leader has read with those of a record.
func sameTasks(t *testing.T, l *leader, rec *storage.Job) {
	t.Helper()
	job := l.cluster.Jobs[rec.Spec.ID]
	if job == nil {
		t.Fatal("the job is unknown")
	}
	for _, want := range rec.Tasks {
		got := &job.Tasks[want.Index]
		if got.LastAttempt != want.Attempt || got.Done != want.Done || (got.Active != nil) != (want.Machine != "") {
			t.Fatalf("task %d: %+v, want %+v", want.Index, got, want)
		}
	}
}

// nextTxn lets a leader commit and returns what is under way then, nil if that is
// nothing.
func (l *leader) nextTxn(t *testing.T) (*protocol.Transaction, Request) {
	t.Helper()
	if l.inFlight == nil {
		l.splitOutgrown()
		l.commitLater(tuning.MaxDoneMarkDelay + time.Second)
	}
	if l.inFlight == nil {
		return nil, Request{}
	}
	for _, a := range slices.Backward(l.n.out) {
		r, ok := a.(Request)
		if !ok || !bytes.Equal(r.Body, l.inFlight.body) {
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

// answer carries out what a leader has sent and answers it.
func (s *storedRecords) answer(t *testing.T, l *leader, txn *protocol.Transaction, r Request) {
	t.Helper()
	if !s.apply(*txn) {
		t.Fatal("refused")
	}
	l.n.handle(Response{ID: r.ID, Status: 200, Body: storage.Encode(protocol.TransactionResponse{Revision: s.revision})})
}

// TestSplitInSteps: a record that needs more parts than one transaction has changes
// is split over several. After each of them another leader, which begins from what is
// stored then, reads the same tasks and completes the split; every value and
// transaction keeps within the lowered limits. (A leader without the steps wrote the
// record as it was, again and again, and was refused.)
func TestSplitInSteps(t *testing.T) {
	for _, shape := range []protocol.Shape{protocol.ShapeArray, protocol.ShapeGang} {
		for crashAfter := range 6 {
			rec := wideJob(shape)
			s := stored(rec)
			l := s.leader(protocol.PeerLevel)
			steps := 0
			for range 40 {
				if steps == crashAfter {
					l = s.leader(protocol.PeerLevel)
					sameTasks(t, l, rec)
				}
				txn, r := l.nextTxn(t)
				if txn == nil {
					break
				}
				steps++
				if len(txn.Changes) > 4 || len(txn.Conditions) > 16 {
					t.Fatalf("%d changes, %d conditions", len(txn.Changes), len(txn.Conditions))
				}
				for _, c := range txn.Changes {
					if len(c.Value) > 2048 {
						t.Fatalf("%s: %d bytes under %s", shape, len(c.Value), c.Set)
					}
				}
				s.answer(t, l, txn, r)
				sameTasks(t, s.leader(protocol.PeerLevel), rec)
			}
			if steps < 2 {
				t.Errorf("%s: %d steps", shape, steps)
			}
			for key, e := range s.entries {
				if len(e.Value) > 2048 {
					t.Errorf("%s: %s still has %d bytes", shape, key, len(e.Value))
				}
			}
			head, err := storage.DecodeJob(s.entries[storage.JobKey(rec.Spec.ID)].Value)
			if err != nil || head.Parts < 5 {
				t.Errorf("%s: %v, %d parts", shape, err, head.Parts)
			}
		}
	}
}

// TestChangedWhileSplit: a task that ends while its part is being staged, or after
// that, is written anew before the job's own record names the part, and nothing is
// placed meanwhile.
func TestChangedWhileSplit(t *testing.T) {
	for _, late := range []bool{false, true} {
		rec := wideJob(protocol.ShapeArray)
		s := stored(rec)
		l := s.leader(protocol.PeerLevel)
		job := l.cluster.Jobs[rec.Spec.ID]
		answer := func() {
			txn, r := l.nextTxn(t)
			s.answer(t, l, txn, r)
		}
		if txn, _ := l.nextTxn(t); txn == nil || len(job.Records.UnnamedParts) < 8 {
			t.Fatalf("%d parts", len(job.Records.UnnamedParts))
		}
		first := job.TasksOf(1) // the first part is in the first step
		if late {
			answer()
			if !job.Records.Staged[1] || !job.Records.Splitting {
				t.Fatal("not staged")
			}
		}
		ended, lost := first[len(first)-1], first[len(first)-2]
		attempt, d := job.Tasks[ended].Active, job.Tasks[lost].Active
		if attempt == nil || d == nil {
			t.Fatal("the tasks do not run")
		}
		l.lifecycle.MarkDone(job, ended)
		l.lifecycle.RemoveGone(attempt)
		l.lifecycle.RemoveGone(d)
		if l.scheduler.WaitingTasks(job) != 0 {
			t.Error("tasks are wanted while the record is split")
		}
		rec.Tasks[ended] = storage.Task{Index: ended, Attempt: 2, Done: true}
		for range 10 {
			if !job.Records.Splitting {
				break
			}
			answer()
		}
		// No later: what the parts say holds from the moment at which they are named.
		if job.Records.Splitting {
			t.Fatal("never split")
		}
		next := s.leader(protocol.PeerLevel)
		if !next.cluster.Jobs[rec.Spec.ID].Tasks[ended].Done {
			t.Errorf("late %v: the end is lost", late)
		}
		if l.scheduler.WaitingTasks(job) == 0 {
			t.Error("the lost task is not wanted")
		}
	}
}

// TestNoStepsBesideEarlierVersion: version 0.3 deletes parts that a job's own record
// does not name. While a peer may be of that version nothing is staged.
func TestNoStepsBesideEarlierVersion(t *testing.T) {
	rec := wideJob(protocol.ShapeArray)
	s := stored(rec)
	l := s.leader(protocol.PeerKnowsCancelled)
	l.n.limitsLowered = true
	for range 5 {
		txn, r := l.nextTxn(t)
		if txn == nil {
			break
		}
		for _, c := range txn.Changes {
			if _, num, ok := storage.ParseTaskRecordKey(c.Set); ok && !strings.Contains(string(r.Body), storage.JobKey(rec.Spec.ID)+`","data"`) {
				t.Errorf("part %d is staged", num)
			}
		}
		s.answer(t, l, txn, r)
	}
	sameTasks(t, s.leader(protocol.PeerLevel), rec)
}

// TestLeftoverParts: parts that a predecessor staged and never named are no state of
// the job: they are used by the next split and deleted with the job, not before, for
// a deletion may be carried out late.
func TestLeftoverParts(t *testing.T) {
	rec := wideJob(protocol.ShapeArray)
	s := stored(rec)
	key := storage.TaskRecordKey(rec.Spec.ID, 1)
	s.entries[key] = protocol.Entry{Key: key, Value: storage.Encode(storage.TaskRecord{Writer: "w-3", Tasks: storage.Tasks{{Index: 40, Attempt: 1}}}), Revision: 7}
	l := s.leader(protocol.PeerLevel)
	sameTasks(t, l, rec)
	for range 40 {
		txn, r := l.nextTxn(t)
		if txn == nil {
			break
		}
		for _, c := range txn.Changes {
			if c.Delete == key {
				t.Error("deleted while the job is there")
			}
		}
		s.answer(t, l, txn, r) // refused if the leftover's revision was not taken
	}
	sameTasks(t, s.leader(protocol.PeerLevel), rec)
	l.finish(l.cluster.Jobs[rec.Spec.ID], storage.Final{Phase: protocol.PhaseDone})
	var txn protocol.Transaction
	for range 5 {
		next, r := l.nextTxn(t)
		if next == nil {
			break
		}
		txn.Changes = append(txn.Changes, next.Changes...)
		l.n.handle(Response{ID: r.ID, Status: 200, Body: storage.Encode(protocol.TransactionResponse{Revision: s.revision + 1})})
	}
	deleted := false
	for _, c := range txn.Changes {
		deleted = deleted || c.Delete == key
	}
	if !deleted {
		t.Error("left behind")
	}
}

// TestUnwritableRecord: a record whose description alone is beyond the lowered limits
// is refused once and not sent again; it stays readable, and others are written.
func TestUnwritableRecord(t *testing.T) {
	rec := wideJob(protocol.ShapeArray)
	rec.Spec.Types[1] = protocol.MachineTypeName(strings.Repeat("x", 2100))
	s := stored(rec)
	l := s.leader(protocol.PeerLevel)
	l.n.limitsLowered = true
	for range 3 {
		txn, r := l.nextTxn(t)
		if txn == nil {
			break
		}
		for _, c := range txn.Changes {
			if len(c.Value) > 2048 {
				t.Errorf("%d bytes under %s", len(c.Value), c.Set)
			}
		}
		l.n.handle(Response{ID: r.ID, Status: 200, Body: storage.Encode(protocol.TransactionResponse{Revision: s.revision + 1})})
	}
	if job := l.cluster.Jobs[rec.Spec.ID]; !job.Records.Quarantined || l.scheduler.WaitingTasks(job) != 0 {
		t.Errorf("unwritable %v, wants %d", job.Records.Quarantined, l.scheduler.WaitingTasks(job))
	}
	sameTasks(t, s.leader(protocol.PeerLevel), rec)
}

// TestThrottled: after a 429 the budget begins from nothing, whatever it had, and the
// same transaction is sent again when its changes may be.
func TestThrottled(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	l.n.budgets.writes.SetLimit(1)
	machine := l.testMachine(hostName, "big", "a", false)
	l.writeForTest(machine)
	_, r := l.sentTxn(t)
	l.n.handle(Response{ID: r.ID, Status: 429})
	if tokens := l.n.budgets.writes.TokensAt(l.n.now); tokens >= 1 {
		t.Errorf("%v writes are left", tokens)
	}
	l.n.out = nil
	l.n.now = l.n.now.Add(tuning.StoreRetryDelay)
	l.n.tickTimers()
	if len(l.n.out) > 0 {
		t.Error("sent again at once")
	}
	l.n.now = l.n.now.Add(time.Second)
	l.n.tickTimers()
	if again := l.n.lastRequest(t, ToStore); string(again.Body) != string(r.Body) {
		t.Error("another transaction is sent")
	}
}

// writeForTest has a machine's record written.
func (l *leader) writeForTest(machine *cluster.Machine) {
	l.RecordMachine(machine)
	l.commitLater(time.Second)
}
