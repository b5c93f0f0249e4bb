package commit_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// hostID is the machine that has all tasks; a long name, so that a record of 98 tasks needs
// many parts.
var hostID = protocol.MachineID("i-" + strings.Repeat("0", 80) + "231")

// oversizedJob is a job of an earlier version whose record has outgrown the lowered limits.
func oversizedJob() *storage.Job {
	spec := &protocol.Job{ID: "run-000077", Class: "c", Team: "free", Shape: protocol.ShapeArray, Priority: "normal", Tasks: 98, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1}
	record := &storage.Job{Spec: spec, AtMs: 1_800_000_000_000, Seq: 5, RecordTasks: 98}
	for i := range spec.Tasks {
		task := storage.Task{Index: i, Attempt: 1 + protocol.AttemptNumber(i%3), Machine: "i-000231", Incarnation: 1}
		if i%5 == 0 {
			task = storage.Task{Index: i, Attempt: 1, Done: true}
		}
		record.Tasks = append(record.Tasks, task)
	}
	return record
}

// jobWithLargeSpec is a job whose description leaves space for few tasks in its first record.
func jobWithLargeSpec(shape protocol.Shape) *storage.Job {
	spec := &protocol.Job{ID: "run-000077", Class: "c", Team: "free", Shape: shape, Priority: "normal", Tasks: 98, CPUs: 0.1, MemoryGB: 0.1,
		Image: "img", ImageGB: 1, Types: []protocol.MachineTypeName{"big", protocol.MachineTypeName(strings.Repeat("x", 1450))}}
	record := &storage.Job{Writer: "w-1", Spec: spec, AtMs: 1_800_000_000_000, Seq: 5, Attempt: 2, RecordTasks: 98}
	for i := range spec.Tasks {
		task := storage.Task{Index: i, Attempt: 2, Machine: hostID, Incarnation: 1}
		if shape == protocol.ShapeArray && i%5 == 0 {
			task = storage.Task{Index: i, Attempt: 1, Done: true}
		}
		record.Tasks = append(record.Tasks, task)
	}
	return record
}

// storeWithJob is a store that has a job and a machine for all of its tasks.
func storeWithJob(record *storage.Job) *testStore {
	s := newTestStore()
	s.put(storage.JobKey(record.Spec.ID), record, 9)
	s.put("g/m/one", storage.MachineRecord{Writer: "w-2", Machines: []storage.MachineEntry{{ID: hostID, Address: "h:1", Type: "big", Zone: "a"}}}, 8)
	return s
}

// checkTasks compares the tasks that a leader has loaded with those of a record.
func checkTasks(t *testing.T, l *leader, record *storage.Job) {
	t.Helper()
	job := l.Jobs[record.Spec.ID]
	if job == nil {
		t.Fatal("the job is unknown")
	}
	for _, want := range record.Tasks {
		got := &job.Tasks[want.Index]
		if got.LastAttempt != want.Attempt || got.Done != want.Done || (got.Active != nil) != (want.Machine != "") {
			t.Fatalf("task %d: %+v, want %+v", want.Index, got, want)
		}
	}
}

// checkSizes checks that a transaction keeps within the lowered limits.
func checkSizes(t *testing.T, txn *sentTransaction) {
	t.Helper()
	if len(txn.Changes) > loweredLimits.TxnOps || len(txn.Conditions) > kv.ConditionsPerChange*loweredLimits.TxnOps {
		t.Fatalf("%d changes, %d conditions", len(txn.Changes), len(txn.Conditions))
	}
	for _, change := range txn.Changes {
		if len(change.Value) > loweredValueBytes {
			t.Fatalf("%d bytes under %s", len(change.Value), change.Set)
		}
	}
}

// leaderWithOversizedJob is a leader whose store will lower its limits, with a peer that has yet to
// say what it knows and a job whose record has outgrown the new limits, to be written.
func leaderWithOversizedJob(t *testing.T) (*leader, *cluster.Job) {
	t.Helper()
	l := newLeader(newTestStore(), loweredLimits, 0)
	job := l.loader.AddJob(oversizedJob(), 9)
	l.committer.MarkDirty(job, 0)
	l.commitAfter(tuning.MaxDoneMarkDelay + time.Second)
	return l, job
}

// TestRecordIsSplitOnceAllPeersReadParts: as long as a peer may be of version 0.2, which
// would not find a further record, a job's record is written whole; then in parts, within
// the lowered limits and in one transaction, and what another leader reads is the same.
func TestRecordIsSplitOnceAllPeersReadParts(t *testing.T) {
	l, job := leaderWithOversizedJob(t)
	l.peerUp = false
	txn := l.lastSent(t)
	if len(txn.Changes) != 1 || len(txn.Changes[0].Value) <= loweredValueBytes {
		t.Fatalf("%d changes, the first of %d bytes", len(txn.Changes), len(txn.Changes[0].Value))
	}
	txn.respond(kv.TransactionResult{Outcome: kv.Done, Revision: 20})
	l.peerLevel = protocol.PeerLevel
	split := l.nextTransaction(t)
	checkSizes(t, split)
	head := split.Changes[len(split.Changes)-1]
	if len(split.Changes) < 2 || head.Set != storage.JobKey(job.ID) {
		t.Fatalf("%d changes", len(split.Changes))
	}
	checkReadBack(t, job, split)
	// Refused by a race, it is sent again with all its parts.
	split.respond(kv.TransactionResult{Outcome: kv.ConditionFailed, Failed: []string{storage.JobKey(job.ID)}})
	l.commitAfter(tuning.MaxDoneMarkDelay + time.Second)
	if second := l.lastSent(t); len(second.Changes) != len(split.Changes) {
		t.Errorf("%d changes, then %d", len(split.Changes), len(second.Changes))
	}
}

// checkReadBack has another leader read the records of a transaction that wrote all of a
// job's, and compares.
func checkReadBack(t *testing.T, job *cluster.Job, txn *sentTransaction) {
	t.Helper()
	other := newLeader(newTestStore(), loweredLimits, protocol.PeerLevel)
	head, err := storage.DecodeJob(txn.Changes[len(txn.Changes)-1].Value)
	if err != nil {
		t.Fatal(err)
	}
	again := other.loader.AddJob(head, 21)
	for _, change := range txn.Changes[:len(txn.Changes)-1] {
		var part storage.TaskRecord
		if err := json.Unmarshal(change.Value, &part); err != nil {
			t.Fatal(err)
		}
		_, r, _ := storage.ParseTaskRecordKey(change.Set)
		if r >= len(again.Records.Revisions) {
			t.Fatalf("%s is not among the %d records", change.Set, len(again.Records.Revisions))
		}
		other.loader.AddTasks(again, r, part.Tasks)
	}
	for i := range job.Tasks {
		a, b := &job.Tasks[i], &again.Tasks[i]
		if a.LastAttempt != b.LastAttempt || a.Done != b.Done || (a.Active == nil) != (b.Active == nil) || job.RecordOf(i) != again.RecordOf(i) {
			t.Fatalf("task %d: %+v in %d, %+v in %d", i, a, job.RecordOf(i), b, again.RecordOf(i))
		}
	}
}

// TestRejectedRecordIsNotResentUnsplit: a store that rejects a value has lowered its
// limits, which it does only once all controllers have the new version: the record is split
// and not sent again as it was, whatever the leader has heard of a peer that is down.
// While one is up that may be of version 0.2, which would delete the parts, the record
// waits, and is not sent again either.
func TestRejectedRecordIsNotResentUnsplit(t *testing.T) {
	for _, up := range []bool{false, true} {
		l, _ := leaderWithOversizedJob(t)
		l.peerUp = up
		l.lastSent(t).respond(kv.TransactionResult{Outcome: kv.Rejected, Detail: "too large"})
		l.commitAfter(tuning.MaxDoneMarkDelay + time.Second)
		if up {
			if l.committer.InFlight() {
				t.Error("sent again beside a peer that may be of version 0.2")
			}
			l.peerLevel = protocol.PeerLevel
			l.commitAfter(tuning.MaxDoneMarkDelay + time.Second)
		}
		if txn := l.lastSent(t); len(txn.Changes) < 2 {
			t.Errorf("up %v: %d changes, the first of %d bytes", up, len(txn.Changes), len(txn.Changes[0].Value))
		}
	}
}

// TestStagedSplitLoadsTheSameTasksAfterEveryTransaction: a record that needs more parts than one
// transaction has changes is split over several. After each of them another leader, which
// begins from what is stored then, reads the same tasks and completes the split; every value
// and transaction keeps within the lowered limits. (A leader without the steps wrote the
// record as it was, again and again, and was refused.)
func TestStagedSplitLoadsTheSameTasksAfterEveryTransaction(t *testing.T) {
	for _, shape := range []protocol.Shape{protocol.ShapeArray, protocol.ShapeGang} {
		for failoverAfter := range 6 {
			record := jobWithLargeSpec(shape)
			s := storeWithJob(record)
			if steps := splitInSteps(t, s, record, failoverAfter); steps < 2 {
				t.Errorf("%s: %d steps", shape, steps)
			}
			for key, entry := range s.entries {
				if len(entry.Value) > loweredValueBytes {
					t.Errorf("%s: %s still has %d bytes", shape, key, len(entry.Value))
				}
			}
			head, err := storage.DecodeJob(s.entries[storage.JobKey(record.Spec.ID)].Value)
			if err != nil || head.Parts < 5 {
				t.Errorf("%s: %v, %d parts", shape, err, head.Parts)
			}
		}
	}
}

// splitInSteps has a leader write all that there is, another one after some transactions,
// and returns the number of transactions.
func splitInSteps(t *testing.T, s *testStore, record *storage.Job, failoverAfter int) (steps int) {
	t.Helper()
	l := newLeader(s, loweredLimits, protocol.PeerLevel)
	for range 40 {
		if steps == failoverAfter {
			l = newLeader(s, loweredLimits, protocol.PeerLevel)
			checkTasks(t, l, record)
		}
		txn := l.nextTransaction(t)
		if txn == nil {
			break
		}
		steps++
		checkSizes(t, txn)
		l.applyAndRespond(t, txn)
		checkTasks(t, newLeader(s, loweredLimits, protocol.PeerLevel), record)
	}
	return steps
}

// TestTaskDoneDuringSplitIsStored: a task that ends while its part is being staged, or
// after that, is written anew before the job's own record names the part, and nothing is
// placed meanwhile.
func TestTaskDoneDuringSplitIsStored(t *testing.T) {
	for _, staged := range []bool{false, true} {
		record := jobWithLargeSpec(protocol.ShapeArray)
		s := storeWithJob(record)
		l := newLeader(s, loweredLimits, protocol.PeerLevel)
		job := l.Jobs[record.Spec.ID]
		if txn := l.nextTransaction(t); txn == nil || len(job.Records.UnnamedParts) < 8 {
			t.Fatalf("%d parts", len(job.Records.UnnamedParts))
		}
		first := job.TasksOf(1) // the first part is in the first step
		if staged {
			l.applyAndRespond(t, l.nextTransaction(t))
			if !job.Records.StagedParts[1] || !job.Records.Splitting {
				t.Fatal("not staged")
			}
		}
		ended, lost := first[len(first)-1], first[len(first)-2]
		endedAttempt, lostAttempt := job.Tasks[ended].Active, job.Tasks[lost].Active
		if endedAttempt == nil || lostAttempt == nil {
			t.Fatal("the tasks do not run")
		}
		l.lifecycle.MarkDone(job, ended)
		l.lifecycle.RemoveGone(endedAttempt)
		l.lifecycle.RemoveGone(lostAttempt)
		if l.scheduler.WaitingTasks(job) != 0 {
			t.Error("tasks are wanted while the record is split")
		}
		for range 10 {
			if job.Records.Splitting {
				l.applyAndRespond(t, l.nextTransaction(t))
			}
		}
		// No later: what the parts say holds from the moment at which they are named.
		if job.Records.Splitting {
			t.Fatal("never split")
		}
		if !newLeader(s, loweredLimits, protocol.PeerLevel).Jobs[record.Spec.ID].Tasks[ended].Done {
			t.Errorf("staged %v: the end is lost", staged)
		}
		if l.scheduler.WaitingTasks(job) == 0 {
			t.Error("the lost task is not wanted")
		}
	}
}

// TestNothingIsStagedWhilePeerMayRunEarlierVersion: version 0.3 deletes parts that a job's own record
// does not name. While a peer may be of that version nothing is staged.
func TestNothingIsStagedWhilePeerMayRunEarlierVersion(t *testing.T) {
	record := jobWithLargeSpec(protocol.ShapeArray)
	s := storeWithJob(record)
	l := newLeader(s, loweredLimits, protocol.PeerKnowsCancelled)
	l.limits.NoteRejection()
	for range 5 {
		txn := l.nextTransaction(t)
		if txn == nil {
			break
		}
		namesParts := false
		for _, change := range txn.Changes {
			namesParts = namesParts || change.Set == storage.JobKey(record.Spec.ID)
		}
		for _, change := range txn.Changes {
			if _, r, isPart := storage.ParseTaskRecordKey(change.Set); isPart && !namesParts {
				t.Errorf("part %d is staged", r)
			}
		}
		l.applyAndRespond(t, txn)
	}
	checkTasks(t, newLeader(s, loweredLimits, protocol.PeerLevel), record)
}

// TestAbandonedPartsAreReusedOrDeletedWithJob: parts that a predecessor staged and never
// named are no state of the job: they are used by the next split and deleted with the job,
// not before, for a deletion may be carried out late.
func TestAbandonedPartsAreReusedOrDeletedWithJob(t *testing.T) {
	record := jobWithLargeSpec(protocol.ShapeArray)
	s := storeWithJob(record)
	key := storage.TaskRecordKey(record.Spec.ID, 1)
	s.put(key, storage.TaskRecord{Writer: "w-3", Tasks: storage.Tasks{{Index: 40, Attempt: 1}}}, 7)
	l := newLeader(s, loweredLimits, protocol.PeerLevel)
	checkTasks(t, l, record)
	for range 40 {
		txn := l.nextTransaction(t)
		if txn == nil {
			break
		}
		for _, change := range txn.Changes {
			if change.Delete == key {
				t.Error("deleted while the job is there")
			}
		}
		l.applyAndRespond(t, txn) // refused if the abandoned part's revision was not taken
	}
	checkTasks(t, newLeader(s, loweredLimits, protocol.PeerLevel), record)
	job := l.Jobs[record.Spec.ID]
	l.CancelJob(job)
	for _, attempt := range job.SortedAttempts() {
		l.lifecycle.RemoveGone(attempt)
	}
	deleted := false
	for range 5 {
		txn := l.nextTransaction(t)
		if txn == nil {
			break
		}
		for _, change := range txn.Changes {
			deleted = deleted || change.Delete == key
		}
		l.applyAndRespond(t, txn)
	}
	if !deleted {
		t.Error("not deleted with the job")
	}
}

// TestRecordThatCannotBeSplitIsQuarantined: a record whose description alone is beyond the
// lowered limits is refused once and not sent again; it stays readable, and others are
// written.
func TestRecordThatCannotBeSplitIsQuarantined(t *testing.T) {
	record := jobWithLargeSpec(protocol.ShapeArray)
	record.Spec.Types[1] = protocol.MachineTypeName(strings.Repeat("x", 2100))
	s := storeWithJob(record)
	l := newLeader(s, loweredLimits, protocol.PeerLevel)
	l.limits.NoteRejection()
	for range 3 {
		txn := l.nextTransaction(t)
		if txn == nil {
			break
		}
		checkSizes(t, txn)
		txn.respond(kv.TransactionResult{Outcome: kv.Done, Revision: s.revision + 1})
	}
	if job := l.Jobs[record.Spec.ID]; !job.Records.Quarantined || l.scheduler.WaitingTasks(job) != 0 {
		t.Errorf("quarantined %v, waits for %d places", job.Records.Quarantined, l.scheduler.WaitingTasks(job))
	}
	checkTasks(t, newLeader(s, loweredLimits, protocol.PeerLevel), record)
}

// TestMachineIsAlwaysInSomeRecord: machines move out of a machine record that has outgrown
// the limits into others, which are written first: none may be in no record for a moment.
func TestMachineIsAlwaysInSomeRecord(t *testing.T) {
	l, _ := leaderWithOversizedJob(t)
	l.lastSent(t).respond(kv.TransactionResult{Outcome: kv.Done, Revision: 20})
	outgrown := storage.MachineRecord{}
	keyOf := map[protocol.MachineID]string{}
	for i := range 90 {
		id := protocol.MachineID("i-0000" + string(rune('a'+i/26)) + string(rune('a'+i%26)))
		outgrown.Machines = append(outgrown.Machines, storage.MachineEntry{ID: id, Address: "10.1.0.232:9000", Type: "big", Zone: "a"})
		keyOf[id] = "g/m/old"
	}
	l.committer.Machines.Load("g/m/old", 9, &outgrown)
	old := l.Machines[outgrown.Machines[0].ID].Record
	l.committer.Machines.SplitOversized()
	l.RecordMachine(old.Members[0]) // it is to be written at once
	for step := range 10 {
		l.commitAfter(time.Second)
		if !l.committer.InFlight() {
			break
		}
		txn := l.lastSent(t)
		checkSizes(t, txn)
		trackMachineRecords(keyOf, txn)
		for id, key := range keyOf {
			if key == "" {
				t.Fatalf("%s is in no record", id)
			}
		}
		txn.respond(kv.TransactionResult{Outcome: kv.Done, Revision: protocol.Revision(30 + step)})
	}
	for _, machine := range old.MovedOut {
		if !machine.Recorded && l.Machines[machine.ID] == machine {
			t.Error("the old record is never written")
		}
	}
}

// trackMachineRecords notes which machines the records of a transaction name and no longer
// name.
func trackMachineRecords(keyOf map[protocol.MachineID]string, txn *sentTransaction) {
	for _, change := range txn.Changes {
		var record storage.MachineRecord
		if json.Unmarshal(change.Value, &record) != nil || len(record.Machines) == 0 {
			continue
		}
		for id, key := range keyOf {
			if key == change.Set {
				keyOf[id] = ""
			}
		}
		for _, machine := range record.Machines {
			keyOf[machine.ID] = change.Set
		}
	}
}
