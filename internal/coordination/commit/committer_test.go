package commit_test

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// leaderWithPlacedGang is a leader that has sent the placement of a gang.
func leaderWithPlacedGang(t *testing.T, tasks int) (l *leader, id protocol.JobID, txn *sentTransaction) {
	t.Helper()
	l = newLeader(newTestStore(), originalLimits, protocol.PeerLevel)
	machine := l.addMachine("i-1")
	job := l.AddJob(clustertest.Gang(tasks, 1))
	job.Records.Revisions[0] = 4
	l.scheduler.RunCycle()
	if len(machine.Attempts) != tasks {
		t.Fatal("not placed")
	}
	l.committer.Commit()
	return l, job.ID, l.lastSent(t)
}

// TestPlacementIsGuarded: a placement is written only if the leader still leads, and the
// job's record and the machine's are those on which it was decided.
func TestPlacementIsGuarded(t *testing.T) {
	l, id, txn := leaderWithPlacedGang(t, 2)
	want := map[string]protocol.Revision{storage.LeaderKey: testTerm, storage.JobKey(id): 4, l.Machines["i-1"].Record.Key: 1}
	for _, condition := range txn.Conditions {
		if revision, ok := want[condition.Key]; ok && revision == condition.Revision {
			delete(want, condition.Key)
		}
	}
	if len(want) > 0 {
		t.Errorf("not guarded: %v", want)
	}
	if l.Jobs[id].SortedAttempts()[0].Committed {
		t.Error("committed before the answer")
	}
	txn.respond(kv.TransactionResult{Outcome: kv.Done, Revision: 99})
	if !l.Jobs[id].SortedAttempts()[0].Committed || l.Jobs[id].Records.Revisions[0] != 99 {
		t.Error("not committed by the answer")
	}
}

// TestOutcomesOfTransactions: what each answer to a placement means for it.
func TestOutcomesOfTransactions(t *testing.T) {
	for name, test := range map[string]struct {
		result       kv.TransactionResult
		inFlight     bool // the same transaction is sent again after a pause
		attemptsLeft int
		stepsDown    bool
	}{
		"committed":             {result: kv.TransactionResult{Outcome: kv.Done, Revision: 99}, attemptsLeft: 2},
		"answer lost":           {result: kv.TransactionResult{Outcome: kv.Unknown}, inFlight: true, attemptsLeft: 2},
		"answer malformed":      {result: kv.TransactionResult{Outcome: kv.Done, Malformed: true}, inFlight: true, attemptsLeft: 2},
		"throttled":             {result: kv.TransactionResult{Outcome: kv.Throttled}, inFlight: true, attemptsLeft: 2},
		"store unavailable":     {result: kv.TransactionResult{Outcome: kv.Unavailable}, inFlight: true, attemptsLeft: 2},
		"rejected":              {result: kv.TransactionResult{Outcome: kv.Rejected}},
		"guard does not hold":   {result: kv.TransactionResult{Outcome: kv.ConditionFailed}},
		"no longer the leader":  {result: kv.TransactionResult{Outcome: kv.ConditionFailed, Failed: []string{storage.LeaderKey}}, attemptsLeft: 2, stepsDown: true},
		"machine record raised": {result: kv.TransactionResult{Outcome: kv.ConditionFailed, Failed: []string{storage.MachinePrefix + "x"}}},
	} {
		t.Run(name, func(t *testing.T) {
			l, id, txn := leaderWithPlacedGang(t, 2)
			txn.respond(test.result)
			if got := len(l.Jobs[id].Attempts); got != test.attemptsLeft {
				t.Errorf("%d attempts are left, want %d", got, test.attemptsLeft)
			}
			if (l.steppedDown != "") != test.stepsDown {
				t.Errorf("steps down: %q", l.steppedDown)
			}
			if l.committer.InFlight() != test.inFlight {
				t.Fatalf("in flight: %v", !test.inFlight)
			}
			if !test.inFlight {
				return
			}
			if len(l.sent) != 1 || len(l.timers) != 1 {
				t.Fatalf("%d sent, %d to be sent later", len(l.sent), len(l.timers))
			}
			l.timers[0]()
			if len(l.sent) != 2 || l.sent[1].body != l.sent[0].body {
				t.Error("not the same is sent again")
			}
		})
	}
}

// TestLostResponseIsResolvedByReadingRecord: the repetition of a transaction whose answer was lost is
// refused, by its own first copy or by another's write: the record says which.
func TestLostResponseIsResolvedByReadingRecord(t *testing.T) {
	for name, test := range map[string]struct {
		ownWrite  bool
		committed bool
	}{
		"applied the first time": {ownWrite: true, committed: true},
		"another was faster":     {},
	} {
		t.Run(name, func(t *testing.T) {
			l, id, txn := leaderWithPlacedGang(t, 1)
			txn.respond(kv.TransactionResult{Outcome: kv.Unknown})
			l.timers[0]()
			l.lastSent(t).respond(kv.TransactionResult{Outcome: kv.ConditionFailed, Failed: []string{storage.JobKey(id)}})
			entry := protocol.Entry{Key: storage.JobKey(id), Value: storage.Encode(storage.Job{Writer: "another"}), Revision: 50}
			if test.ownWrite {
				entry.Value = txn.Changes[len(txn.Changes)-1].Value
			}
			read := l.reads[storage.JobKey(id)]
			if read == nil {
				t.Fatal("not read back")
			}
			read(kv.GetResult{Outcome: kv.Done, Entry: entry})
			if job := l.Jobs[id]; (len(job.Attempts) == 1) != test.committed || test.committed && job.Records.Revisions[0] != 50 {
				t.Errorf("%d attempts, revision %d", len(job.Attempts), job.Records.Revisions[0])
			}
			if l.committer.InFlight() {
				t.Error("still in flight")
			}
		})
	}
}

// TestWatchConfirmsTransactionWithLostResponse: a transaction whose answer is lost is done
// once the watch shows it; the answer to its repetition then means nothing.
func TestWatchConfirmsTransactionWithLostResponse(t *testing.T) {
	l, id, txn := leaderWithPlacedGang(t, 1)
	last := txn.Changes[len(txn.Changes)-1]
	l.loader.ObserveChange(&protocol.WatchEvent{Set: last.Set, Value: last.Value, Revision: 44})
	job := l.Jobs[id]
	if attempt := job.SortedAttempts()[0]; !attempt.Committed || job.Records.Revisions[0] != 44 || l.committer.InFlight() {
		t.Fatalf("committed %v at revision %d", attempt.Committed, job.Records.Revisions[0])
	}
	txn.respond(kv.TransactionResult{Outcome: kv.ConditionFailed, Failed: []string{last.Set}})
	if len(job.Attempts) != 1 {
		t.Error("the place is dropped by a late answer")
	}
}

// TestConflictMergesConcurrentCancellation: a refused transaction leaves nothing of its plan
// behind, and a cancellation that came first is kept.
func TestConflictMergesConcurrentCancellation(t *testing.T) {
	l, id, txn := leaderWithPlacedGang(t, 2)
	job := l.Jobs[id]
	txn.respond(kv.TransactionResult{Outcome: kv.ConditionFailed, Failed: []string{storage.JobKey(id)}})
	if len(job.Attempts) != 0 || l.Machines["i-1"].Used.GPUs != 0 {
		t.Fatalf("%d attempts of the plan are left", len(job.Attempts))
	}
	record := storage.Job{Writer: "another", Spec: job.Spec, RecordTasks: 60, Seq: job.ArrivalOrder, Cancelled: true}
	l.reads[storage.JobKey(id)](kv.GetResult{Outcome: kv.Done, Entry: protocol.Entry{Key: storage.JobKey(id), Value: storage.Encode(record), Revision: 50}})
	if !job.Cancelled || job.Records.Revisions[0] != 50 || job.FinalPhase() != protocol.PhaseCancelled {
		t.Errorf("cancelled %v at revision %d", job.Cancelled, job.Records.Revisions[0])
	}
}

// TestJobWithMissingRecordTakesStoredFinalRecord: a conflict may come from an earlier copy of the
// transaction that ended the job: what is stored of its end holds.
func TestJobWithMissingRecordTakesStoredFinalRecord(t *testing.T) {
	for name, test := range map[string]struct {
		final    kv.GetResult
		finished bool
	}{
		"final record":          {final: kv.GetResult{Outcome: kv.Done, Entry: protocol.Entry{Value: storage.Encode(storage.Final{Phase: protocol.PhaseDone})}}, finished: true},
		"no final record":       {final: kv.GetResult{Outcome: kv.NotFound}},
		"malformed answer":      {final: kv.GetResult{Outcome: kv.Done, Malformed: true}},
		"final without a phase": {final: kv.GetResult{Outcome: kv.Done, Entry: protocol.Entry{Value: storage.Encode(storage.Final{})}}},
		"no answer":             {final: kv.GetResult{Outcome: kv.Unknown}},
	} {
		t.Run(name, func(t *testing.T) {
			l, id, txn := leaderWithPlacedGang(t, 1)
			job := l.Jobs[id]
			txn.respond(kv.TransactionResult{Outcome: kv.ConditionFailed, Failed: []string{storage.JobKey(id)}})
			l.reads[storage.JobKey(id)](kv.GetResult{Outcome: kv.NotFound})
			read := l.reads[storage.FinalKey(id)]
			if read == nil {
				t.Fatal("the final record is not read")
			}
			read(test.final)
			if job.Finished != test.finished || (l.Jobs[id] == nil) != test.finished {
				t.Errorf("finished %v", job.Finished)
			}
		})
	}
}

// TestUrgentChangesUseTheReservedBudget: with little of the write budget left the place of
// a gang is written, and that of an array when there is more.
func TestUrgentChangesUseTheReservedBudget(t *testing.T) {
	l := newLeader(newTestStore(), originalLimits, protocol.PeerLevel)
	l.addMachine("i-1")
	array, gang := l.AddJob(clustertest.Array(1)), l.AddJob(clustertest.Gang(1, 1))
	l.scheduler.RunCycle()
	if len(array.Attempts) != 1 || len(gang.Attempts) != 1 {
		t.Fatal("not placed")
	}
	burst := float64(l.budget.Burst())
	l.budget.AllowN(l.Now(), int(burst-min(burst*tuning.UserBurstReserve, burst-2)-2)) // two are left
	l.committer.Commit()
	txn := l.lastSent(t)
	if len(txn.Changes) != 1 || txn.Changes[0].Set != storage.JobKey(gang.ID) {
		t.Fatalf("%+v", txn.Changes)
	}
	txn.respond(kv.TransactionResult{Outcome: kv.Done, Revision: 99})
	if l.committer.InFlight() {
		t.Fatal("the array's place is written out of what is kept for gangs")
	}
	l.commitAfter(tuning.MaxWriteDelay + time.Second)
	if last := l.lastSent(t); last.Changes[0].Set != storage.JobKey(array.ID) {
		t.Errorf("%+v", last.Changes)
	}
}

// TestOrphanedMachineRecordIsDeleted: the creation of a machine record is carried out late,
// after the record was deleted: the machines that it names must not come back with it.
func TestOrphanedMachineRecordIsDeleted(t *testing.T) {
	l := newLeader(newTestStore(), originalLimits, protocol.PeerLevel)
	machine := l.addMachine("i-1")
	key := machine.Record.Key
	deletion := func(revision protocol.Revision) *sentTransaction {
		t.Helper()
		l.commitAfter(tuning.StaleMachineRecordDelay + time.Second)
		txn := l.lastSent(t)
		if len(txn.Changes) != 1 || txn.Changes[0].Delete != key || txn.Conditions[1] != (protocol.Condition{Key: key, Revision: revision}) {
			t.Fatalf("%+v", txn)
		}
		return txn
	}
	l.MachinesDeleted(machine.ID)
	deletion(1).respond(kv.TransactionResult{Outcome: kv.Done, Revision: 50})
	value := storage.Encode(storage.MachineRecord{Writer: l.UniqueName(), Machines: []storage.MachineEntry{{ID: machine.ID, Address: "h:1", Type: "big", Zone: "a"}}})
	l.loader.ObserveChange(&protocol.WatchEvent{Set: key, Value: value, Revision: 60})
	deletion(60)
}
