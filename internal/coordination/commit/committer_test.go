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

// leaderWithPlacedGang returns a leader that has placed a gang and sent the transaction for it.
func leaderWithPlacedGang(t *testing.T, tasks int) (l *leader, id protocol.JobID, txn *sentTransaction) {
	t.Helper()
	l = newLeader(newTestStore(), originalLimits, protocol.CurrentFeatureLevel)
	machine := l.addMachine("i-1")
	job := l.AddJob(clustertest.Gang(tasks, 1))
	job.Records.Revisions[0] = 4
	l.scheduler.RunCycle()
	if len(machine.Attempts) != tasks {
		t.Fatal("the gang is not placed")
	}
	l.committer.Commit()
	return l, job.ID, l.lastSent(t)
}

// TestPlacementIsGuarded: a placement is written only if the leader still leads, and if the
// job's record and the machine record have the revisions on which the placement was decided.
func TestPlacementIsGuarded(t *testing.T) {
	l, id, txn := leaderWithPlacedGang(t, 2)
	want := map[string]protocol.Revision{storage.LeaderKey: testTerm, storage.JobKey(id): 4, l.Machines["i-1"].Record.Key: 1}
	for _, condition := range txn.Conditions {
		if revision, ok := want[condition.Key]; ok && revision == condition.Revision {
			delete(want, condition.Key)
		}
	}
	if len(want) > 0 {
		t.Errorf("missing guards: %v", want)
	}
	if l.Jobs[id].SortedAttempts()[0].Committed {
		t.Error("the attempt is committed before the response")
	}
	txn.respond(kv.TransactionResult{Outcome: kv.Done, Revision: 99})
	if !l.Jobs[id].SortedAttempts()[0].Committed || l.Jobs[id].Records.Revisions[0] != 99 {
		t.Error("the attempt is not committed by the response")
	}
}

// TestOutcomesOfTransactions: each response to a transaction with a placement has the right effect
// on the placement and the leader.
func TestOutcomesOfTransactions(t *testing.T) {
	for name, tc := range map[string]struct {
		result       kv.TransactionResult
		inFlight     bool // the same transaction is resent after a pause
		attemptsLeft int
		stepsDown    bool
	}{
		"committed":               {result: kv.TransactionResult{Outcome: kv.Done, Revision: 99}, attemptsLeft: 2},
		"response lost":           {result: kv.TransactionResult{Outcome: kv.Unknown}, inFlight: true, attemptsLeft: 2},
		"response malformed":      {result: kv.TransactionResult{Outcome: kv.Done, Malformed: true}, inFlight: true, attemptsLeft: 2},
		"throttled":               {result: kv.TransactionResult{Outcome: kv.Throttled}, inFlight: true, attemptsLeft: 2},
		"store unavailable":       {result: kv.TransactionResult{Outcome: kv.Unavailable}, inFlight: true, attemptsLeft: 2},
		"rejected":                {result: kv.TransactionResult{Outcome: kv.Rejected}},
		"condition failed":        {result: kv.TransactionResult{Outcome: kv.ConditionFailed}},
		"leader lease taken over": {result: kv.TransactionResult{Outcome: kv.ConditionFailed, Failed: []string{storage.LeaderKey}}, attemptsLeft: 2, stepsDown: true},
		"machine record changed":  {result: kv.TransactionResult{Outcome: kv.ConditionFailed, Failed: []string{storage.MachineRecordPrefix + "x"}}},
	} {
		t.Run(name, func(t *testing.T) {
			l, id, txn := leaderWithPlacedGang(t, 2)
			txn.respond(tc.result)
			if got := len(l.Jobs[id].Attempts); got != tc.attemptsLeft {
				t.Errorf("%d attempts are left, want %d", got, tc.attemptsLeft)
			}
			if (l.steppedDown != "") != tc.stepsDown {
				t.Errorf("reason for stepping down: %q", l.steppedDown)
			}
			if l.committer.InFlight() != tc.inFlight {
				t.Fatalf("transaction in flight: %v", !tc.inFlight)
			}
			if !tc.inFlight {
				return
			}
			if len(l.sent) != 1 || len(l.timers) != 1 {
				t.Fatalf("%d transactions sent and %d timers, want 1 of each", len(l.sent), len(l.timers))
			}
			l.timers[0]()
			if len(l.sent) != 2 || l.sent[1].body != l.sent[0].body {
				t.Error("not resent, or not the same transaction")
			}
		})
	}
}

// TestLostResponseIsResolvedByReadingRecord: the retry of a transaction whose response was lost is
// refused, either because the first copy was applied or because another writer changed the
// record. The writer in the record tells which.
func TestLostResponseIsResolvedByReadingRecord(t *testing.T) {
	for name, tc := range map[string]struct {
		ownWrite  bool
		committed bool
	}{
		"first copy was applied":   {ownWrite: true, committed: true},
		"another writer was first": {},
	} {
		t.Run(name, func(t *testing.T) {
			l, id, txn := leaderWithPlacedGang(t, 1)
			txn.respond(kv.TransactionResult{Outcome: kv.Unknown})
			l.timers[0]()
			l.lastSent(t).respond(kv.TransactionResult{Outcome: kv.ConditionFailed, Failed: []string{storage.JobKey(id)}})
			entry := protocol.Entry{Key: storage.JobKey(id), Value: storage.Encode(storage.Job{Writer: "another"}), Revision: 50}
			if tc.ownWrite {
				entry.Value = txn.Changes[len(txn.Changes)-1].Value
			}
			read := l.reads[storage.JobKey(id)]
			if read == nil {
				t.Fatal("the record is not read")
			}
			read(kv.GetResult{Outcome: kv.Done, Entry: entry})
			if job := l.Jobs[id]; (len(job.Attempts) == 1) != tc.committed || tc.committed && job.Records.Revisions[0] != 50 {
				t.Errorf("%d attempts, revision %d", len(job.Attempts), job.Records.Revisions[0])
			}
			if l.committer.InFlight() {
				t.Error("the transaction is still in flight")
			}
		})
	}
}

// TestWatchConfirmsTransactionWithLostResponse: a transaction whose response is lost counts as
// committed once the watch reports its change. A later response to a retry is ignored.
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
		t.Error("a late response drops the placement")
	}
}

// TestConflictMergesConcurrentCancellation: a refused transaction leaves none of its placements
// behind, and a cancellation that was stored first is kept.
func TestConflictMergesConcurrentCancellation(t *testing.T) {
	l, id, txn := leaderWithPlacedGang(t, 2)
	job := l.Jobs[id]
	txn.respond(kv.TransactionResult{Outcome: kv.ConditionFailed, Failed: []string{storage.JobKey(id)}})
	if len(job.Attempts) != 0 || l.Machines["i-1"].Used.GPUs != 0 {
		t.Fatalf("%d attempts of the refused transaction are left, or their GPUs are still in use", len(job.Attempts))
	}
	record := storage.Job{Writer: "another", Spec: job.Spec, TasksPerBaseRecord: 60, SubmissionRevision: job.ArrivalOrder, Cancelled: true}
	l.reads[storage.JobKey(id)](kv.GetResult{Outcome: kv.Done, Entry: protocol.Entry{Key: storage.JobKey(id), Value: storage.Encode(record), Revision: 50}})
	if !job.Cancelled || job.Records.Revisions[0] != 50 || job.FinalPhase() != protocol.PhaseCancelled {
		t.Errorf("cancelled %v at revision %d", job.Cancelled, job.Records.Revisions[0])
	}
}

// TestJobWithMissingRecordTakesStoredFinalRecord: a conflict may be caused by an earlier copy of
// the transaction that ended the job. The job then ends with the stored final record.
func TestJobWithMissingRecordTakesStoredFinalRecord(t *testing.T) {
	for name, tc := range map[string]struct {
		final    kv.GetResult
		finished bool
	}{
		"final record":                 {final: kv.GetResult{Outcome: kv.Done, Entry: protocol.Entry{Value: storage.Encode(storage.FinalRecord{Phase: protocol.PhaseDone})}}, finished: true},
		"no final record":              {final: kv.GetResult{Outcome: kv.NotFound}},
		"malformed response":           {final: kv.GetResult{Outcome: kv.Done, Malformed: true}},
		"final record without a phase": {final: kv.GetResult{Outcome: kv.Done, Entry: protocol.Entry{Value: storage.Encode(storage.FinalRecord{})}}},
		"no response":                  {final: kv.GetResult{Outcome: kv.Unknown}},
	} {
		t.Run(name, func(t *testing.T) {
			l, id, txn := leaderWithPlacedGang(t, 1)
			job := l.Jobs[id]
			txn.respond(kv.TransactionResult{Outcome: kv.ConditionFailed, Failed: []string{storage.JobKey(id)}})
			l.reads[storage.JobKey(id)](kv.GetResult{Outcome: kv.NotFound})
			read := l.reads[storage.FinalRecordKey(id)]
			if read == nil {
				t.Fatal("the final record is not read")
			}
			read(tc.final)
			if job.Finished != tc.finished || (l.Jobs[id] == nil) != tc.finished {
				t.Errorf("finished: %v, or not removed from the jobs accordingly", job.Finished)
			}
		})
	}
}

// TestUrgentChangesUseTheReservedBudget: when little of the write budget is left, the placement
// of a gang is written, but that of an array only when more is available.
func TestUrgentChangesUseTheReservedBudget(t *testing.T) {
	l := newLeader(newTestStore(), originalLimits, protocol.CurrentFeatureLevel)
	l.addMachine("i-1")
	array, gang := l.AddJob(clustertest.Array(1)), l.AddJob(clustertest.Gang(1, 1))
	l.scheduler.RunCycle()
	if len(array.Attempts) != 1 || len(gang.Attempts) != 1 {
		t.Fatal("the jobs are not placed")
	}
	burst := float64(l.budget.Burst())
	l.budget.AllowN(l.Now(), int(burst-min(burst*tuning.UserBurstReserve, burst-2)-2)) // leaves two changes
	l.committer.Commit()
	txn := l.lastSent(t)
	if len(txn.Changes) != 1 || txn.Changes[0].Set != storage.JobKey(gang.ID) {
		t.Fatalf("want only the gang's record, got %+v", txn.Changes)
	}
	txn.respond(kv.TransactionResult{Outcome: kv.Done, Revision: 99})
	if l.committer.InFlight() {
		t.Fatal("the array's placement uses the budget that is reserved for gangs")
	}
	l.commitAfter(tuning.MaxWriteDelay + time.Second)
	if last := l.lastSent(t); last.Changes[0].Set != storage.JobKey(array.ID) {
		t.Errorf("want the array's record, got %+v", last.Changes)
	}
}

// TestOrphanedMachineRecordIsDeleted: the creation of a machine record may be applied late, after
// the record was deleted. The machines that it lists must not come back with it.
func TestOrphanedMachineRecordIsDeleted(t *testing.T) {
	l := newLeader(newTestStore(), originalLimits, protocol.CurrentFeatureLevel)
	machine := l.addMachine("i-1")
	key := machine.Record.Key
	deletion := func(revision protocol.Revision) *sentTransaction {
		t.Helper()
		l.commitAfter(tuning.StaleMachineRecordDelay + time.Second)
		txn := l.lastSent(t)
		if len(txn.Changes) != 1 || txn.Changes[0].Delete != key || txn.Conditions[1] != (protocol.Condition{Key: key, Revision: revision}) {
			t.Fatalf("want only the deletion of the machine record, got %+v", txn)
		}
		return txn
	}
	l.MachinesDeleted(machine.ID)
	deletion(1).respond(kv.TransactionResult{Outcome: kv.Done, Revision: 50})
	value := storage.Encode(storage.MachineRecord{Writer: l.UniqueName(), Machines: []storage.MachineEntry{{ID: machine.ID, Address: "h:1", Type: "big", Zone: "a"}}})
	l.loader.ObserveChange(&protocol.WatchEvent{Set: key, Value: value, Revision: 60})
	deletion(60)
}
