package commit_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// hostID is the machine on which all tasks of jobWithLargeSpec run. Its name is so long that a
// record of 98 tasks needs many parts.
var hostID = protocol.MachineID("i-" + strings.Repeat("0", 80) + "231")

// oversizedJob returns a job, written by an earlier version, whose record exceeds the lowered
// limits.
func oversizedJob() *storage.Job {
	spec := &protocol.Job{ID: "run-000077", Class: "c", Team: "free", Shape: protocol.ShapeArray, Priority: "normal", Tasks: 98, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1}
	record := &storage.Job{Spec: spec, SubmittedAtMs: 1_800_000_000_000, SubmissionRevision: 5, TasksPerBaseRecord: 98}
	for i := range spec.Tasks {
		task := storage.Task{Index: i, Attempt: 1 + protocol.AttemptNumber(i%3), Machine: "i-000231", Incarnation: 1}
		if i%5 == 0 {
			task = storage.Task{Index: i, Attempt: 1, Done: true}
		}
		record.Tasks = append(record.Tasks, task)
	}
	return record
}

// jobWithLargeSpec returns a job whose specification leaves space for few tasks in its main
// record.
func jobWithLargeSpec(shape protocol.Shape) *storage.Job {
	spec := &protocol.Job{ID: "run-000077", Class: "c", Team: "free", Shape: shape, Priority: "normal", Tasks: 98, CPUs: 0.1, MemoryGB: 0.1,
		Image: "img", ImageGB: 1, Types: []protocol.MachineTypeName{"big", protocol.MachineTypeName(strings.Repeat("x", 1450))}}
	record := &storage.Job{Writer: "w-1", Spec: spec, SubmittedAtMs: 1_800_000_000_000, SubmissionRevision: 5, Attempt: 2, TasksPerBaseRecord: 98}
	for i := range spec.Tasks {
		task := storage.Task{Index: i, Attempt: 2, Machine: hostID, Incarnation: 1}
		if shape == protocol.ShapeArray && i%5 == 0 {
			task = storage.Task{Index: i, Attempt: 1, Done: true}
		}
		record.Tasks = append(record.Tasks, task)
	}
	return record
}

// storeWithJob returns a store that holds a job and the machine of all its tasks.
func storeWithJob(record *storage.Job) *testStore {
	s := newTestStore()
	s.put(storage.JobKey(record.Spec.ID), record, 9)
	s.put("g/m/one", storage.MachineRecord{Writer: "w-2", Machines: []storage.MachineEntry{{ID: hostID, Address: "h:1", Type: "big", Zone: "a"}}}, 8)
	return s
}

// checkTasks checks that the tasks a leader has loaded are those of a record.
func checkTasks(t *testing.T, l *leader, record *storage.Job) {
	t.Helper()
	job := l.Jobs[record.Spec.ID]
	if job == nil {
		t.Fatal("the leader does not know the job")
	}
	for _, want := range record.Tasks {
		got := &job.Tasks[want.Index]
		if got.LastAttempt != want.Attempt || got.Done != want.Done || (got.Active != nil) != (want.Machine != "") {
			t.Fatalf("task %d is loaded as %+v, stored as %+v", want.Index, got, want)
		}
	}
}

// checkSizes checks that a transaction and its values keep within the lowered limits.
func checkSizes(t *testing.T, txn *sentTransaction) {
	t.Helper()
	if len(txn.Changes) > loweredLimits.TxnOps || len(txn.Conditions) > kv.ConditionsPerChange*loweredLimits.TxnOps {
		t.Fatalf("the transaction has %d changes and %d conditions", len(txn.Changes), len(txn.Conditions))
	}
	for _, change := range txn.Changes {
		if len(change.Value) > loweredValueBytes {
			t.Fatalf("a value of %d bytes is written under %s", len(change.Value), change.Set)
		}
	}
}

// leaderWithOversizedJob returns a leader whose store will lower its limits. Its peer has not yet
// announced a feature level. The leader has sent a job record that exceeds the new limits.
func leaderWithOversizedJob(t *testing.T) (*leader, *cluster.Job) {
	t.Helper()
	l := newLeader(newTestStore(), loweredLimits, 0)
	job := l.loader.AddJob(oversizedJob(), 9)
	l.committer.MarkDirty(job, 0)
	l.commitAfter(tuning.MaxCompletionWriteDelay + time.Second)
	return l, job
}

// TestRecordIsSplitOnceAllPeersReadParts: while a peer may run version 0.2, which would not find
// the parts, a job's record is written without a split. Afterwards it is written in parts, by one
// transaction and within the lowered limits. Another leader reads the same tasks from the parts.
func TestRecordIsSplitOnceAllPeersReadParts(t *testing.T) {
	l, job := leaderWithOversizedJob(t)
	l.peerUp = false
	txn := l.lastSent(t)
	if len(txn.Changes) != 1 || len(txn.Changes[0].Value) <= loweredValueBytes {
		t.Fatalf("want one oversized record, got %d changes, the first of %d bytes", len(txn.Changes), len(txn.Changes[0].Value))
	}
	txn.respond(kv.TransactionResult{Outcome: kv.Done, Revision: 20})
	l.peerLevel = protocol.CurrentFeatureLevel
	split := l.nextTransaction(t)
	checkSizes(t, split)
	mainRecord := split.Changes[len(split.Changes)-1]
	if len(split.Changes) < 2 || mainRecord.Set != storage.JobKey(job.ID) {
		t.Fatalf("want several parts with the main record last, got %d changes", len(split.Changes))
	}
	checkReadBack(t, job, split)
	// When a concurrent write causes a conflict, all parts are sent again.
	split.respond(kv.TransactionResult{Outcome: kv.ConditionFailed, Failed: []string{storage.JobKey(job.ID)}})
	l.commitAfter(tuning.MaxCompletionWriteDelay + time.Second)
	if second := l.lastSent(t); len(second.Changes) != len(split.Changes) {
		t.Errorf("the split is sent with %d changes, then with %d", len(split.Changes), len(second.Changes))
	}
}

// checkReadBack checks that another leader reads the same tasks from a transaction that wrote all
// records of a job.
func checkReadBack(t *testing.T, job *cluster.Job, txn *sentTransaction) {
	t.Helper()
	other := newLeader(newTestStore(), loweredLimits, protocol.CurrentFeatureLevel)
	mainRecord, err := storage.DecodeJob(txn.Changes[len(txn.Changes)-1].Value)
	if err != nil {
		t.Fatal(err)
	}
	reloaded := other.loader.AddJob(mainRecord, 21)
	for _, change := range txn.Changes[:len(txn.Changes)-1] {
		var part storage.TaskRecord
		if err := json.Unmarshal(change.Value, &part); err != nil {
			t.Fatal(err)
		}
		_, r, _ := storage.ParseTaskRecordKey(change.Set)
		if r >= len(reloaded.Records.Revisions) {
			t.Fatalf("%s is not one of the job's %d records", change.Set, len(reloaded.Records.Revisions))
		}
		other.loader.AddTasks(reloaded, r, part.Tasks)
	}
	for i := range job.Tasks {
		want, got := &job.Tasks[i], &reloaded.Tasks[i]
		if want.LastAttempt != got.LastAttempt || want.Done != got.Done || (want.Active == nil) != (got.Active == nil) || job.RecordOf(i) != reloaded.RecordOf(i) {
			t.Fatalf("task %d: want %+v in record %d, got %+v in record %d", i, want, job.RecordOf(i), got, reloaded.RecordOf(i))
		}
	}
}

// TestRejectedRecordIsNotResentUnsplit: a store that rejects a value has lowered its limits. It
// does so only after all controllers run the new version. The record is therefore split and not
// resent unchanged, whatever feature level a peer that is down has announced. While a peer that
// is up may run version 0.2, which would delete the parts, the record is not sent at all.
func TestRejectedRecordIsNotResentUnsplit(t *testing.T) {
	for _, up := range []bool{false, true} {
		l, _ := leaderWithOversizedJob(t)
		l.peerUp = up
		l.lastSent(t).respond(kv.TransactionResult{Outcome: kv.Rejected, Detail: "too large"})
		l.commitAfter(tuning.MaxCompletionWriteDelay + time.Second)
		if up {
			if l.committer.InFlight() {
				t.Error("the record is sent while a peer may run version 0.2")
			}
			l.peerLevel = protocol.CurrentFeatureLevel
			l.commitAfter(tuning.MaxCompletionWriteDelay + time.Second)
		}
		if txn := l.lastSent(t); len(txn.Changes) < 2 {
			t.Errorf("peer up: %v: the record is not split: %d changes, the first of %d bytes", up, len(txn.Changes), len(txn.Changes[0].Value))
		}
	}
}

// TestStagedSplitLoadsTheSameTasksAfterEveryTransaction: a record that needs more parts than one
// transaction may have changes is split by several transactions. After each of them, another
// leader that loads the stored records reads the same tasks and can complete the split. Every
// value and transaction keeps within the lowered limits. Without staging, a leader would send the
// unsplit record again and again, and the store would reject it each time.
func TestStagedSplitLoadsTheSameTasksAfterEveryTransaction(t *testing.T) {
	for _, shape := range []protocol.Shape{protocol.ShapeArray, protocol.ShapeGang} {
		for failoverAfter := range 6 {
			record := jobWithLargeSpec(shape)
			s := storeWithJob(record)
			if steps := splitInSteps(t, s, record, failoverAfter); steps < 2 {
				t.Errorf("%s: split by %d transactions, want several", shape, steps)
			}
			for key, entry := range s.entries {
				if len(entry.Value) > loweredValueBytes {
					t.Errorf("%s: the value of %s still has %d bytes", shape, key, len(entry.Value))
				}
			}
			mainRecord, err := storage.DecodeJob(s.entries[storage.JobKey(record.Spec.ID)].Value)
			if err != nil || mainRecord.TotalRecords < 5 {
				t.Errorf("%s: the main record has error %v and %d parts, want at least 5", shape, err, mainRecord.TotalRecords)
			}
		}
	}
}

// splitInSteps lets a leader write all its changes and returns the number of transactions. After
// failoverAfter of them another leader takes over.
func splitInSteps(t *testing.T, s *testStore, record *storage.Job, failoverAfter int) (steps int) {
	t.Helper()
	l := newLeader(s, loweredLimits, protocol.CurrentFeatureLevel)
	for range 40 {
		if steps == failoverAfter {
			l = newLeader(s, loweredLimits, protocol.CurrentFeatureLevel)
			checkTasks(t, l, record)
		}
		txn := l.nextTransaction(t)
		if txn == nil {
			break
		}
		steps++
		checkSizes(t, txn)
		l.applyAndRespond(t, txn)
		checkTasks(t, newLeader(s, loweredLimits, protocol.CurrentFeatureLevel), record)
	}
	return steps
}

// TestTaskDoneDuringSplitIsStored: when a task ends while its part is being staged or afterwards,
// the part is written again before the job's main record references it. Nothing is placed in the
// meantime.
func TestTaskDoneDuringSplitIsStored(t *testing.T) {
	for _, staged := range []bool{false, true} {
		record := jobWithLargeSpec(protocol.ShapeArray)
		s := storeWithJob(record)
		l := newLeader(s, loweredLimits, protocol.CurrentFeatureLevel)
		job := l.Jobs[record.Spec.ID]
		if txn := l.nextTransaction(t); txn == nil || len(job.Records.UnreferencedParts) < 8 {
			t.Fatalf("no transaction, or only %d new parts", len(job.Records.UnreferencedParts))
		}
		first := job.TasksOf(1) // the first transaction stages the first part
		if staged {
			l.applyAndRespond(t, l.nextTransaction(t))
			if !job.Records.StagedParts[1] || !job.Records.Splitting {
				t.Fatal("the first part is not staged")
			}
		}
		ended, lost := first[len(first)-1], first[len(first)-2]
		endedAttempt, lostAttempt := job.Tasks[ended].Active, job.Tasks[lost].Active
		if endedAttempt == nil || lostAttempt == nil {
			t.Fatal("the tasks have no active attempts")
		}
		l.lifecycle.MarkDone(job, ended)
		l.lifecycle.RemoveGone(endedAttempt, lifecycle.ExitReported)
		l.lifecycle.RemoveGone(lostAttempt, lifecycle.ExitReported)
		if l.scheduler.WaitingTasks(job) != 0 {
			t.Error("tasks wait for placement while the record is being split")
		}
		for range 10 {
			if job.Records.Splitting {
				l.applyAndRespond(t, l.nextTransaction(t))
			}
		}
		// The end must be stored by now: the parts are valid from the moment at which the main
		// record references them.
		if job.Records.Splitting {
			t.Fatal("the split is never completed")
		}
		if !newLeader(s, loweredLimits, protocol.CurrentFeatureLevel).Jobs[record.Spec.ID].Tasks[ended].Done {
			t.Errorf("part staged: %v: the end of the task is lost", staged)
		}
		if l.scheduler.WaitingTasks(job) == 0 {
			t.Error("the lost task does not wait for placement")
		}
	}
}

// TestNothingIsStagedWhilePeerMayRunEarlierVersion: version 0.3 deletes parts that a job's main
// record does not reference. While a peer may run that version, no part is staged.
func TestNothingIsStagedWhilePeerMayRunEarlierVersion(t *testing.T) {
	record := jobWithLargeSpec(protocol.ShapeArray)
	s := storeWithJob(record)
	l := newLeader(s, loweredLimits, protocol.FeatureLevelCancellations)
	l.limits.NoteRejection()
	for range 5 {
		txn := l.nextTransaction(t)
		if txn == nil {
			break
		}
		writesMainRecord := false
		for _, change := range txn.Changes {
			writesMainRecord = writesMainRecord || change.Set == storage.JobKey(record.Spec.ID)
		}
		for _, change := range txn.Changes {
			if _, r, isPart := storage.ParseTaskRecordKey(change.Set); isPart && !writesMainRecord {
				t.Errorf("part %d is written without the main record", r)
			}
		}
		l.applyAndRespond(t, txn)
	}
	checkTasks(t, newLeader(s, loweredLimits, protocol.CurrentFeatureLevel), record)
}

// TestAbandonedPartsAreReusedOrDeletedWithJob: parts that a previous leader staged but that no
// main record references do not belong to the job's state. The next split reuses their keys, and
// they are deleted with the job. They are not deleted earlier, because a deletion may be applied
// late.
func TestAbandonedPartsAreReusedOrDeletedWithJob(t *testing.T) {
	record := jobWithLargeSpec(protocol.ShapeArray)
	s := storeWithJob(record)
	key := storage.TaskRecordKey(record.Spec.ID, 1)
	s.put(key, storage.TaskRecord{Writer: "w-3", Tasks: storage.Tasks{{Index: 40, Attempt: 1}}}, 7)
	l := newLeader(s, loweredLimits, protocol.CurrentFeatureLevel)
	checkTasks(t, l, record)
	for range 40 {
		txn := l.nextTransaction(t)
		if txn == nil {
			break
		}
		for _, change := range txn.Changes {
			if change.Delete == key {
				t.Error("the part is deleted while the job exists")
			}
		}
		l.applyAndRespond(t, txn) // refused unless the abandoned part's revision is used
	}
	checkTasks(t, newLeader(s, loweredLimits, protocol.CurrentFeatureLevel), record)
	job := l.Jobs[record.Spec.ID]
	l.CancelJob(job)
	for _, attempt := range job.SortedAttempts() {
		l.lifecycle.RemoveGone(attempt, lifecycle.ExitReported)
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
		t.Error("the part is not deleted with the job")
	}
}

// TestRecordThatCannotBeSplitIsQuarantined: a record whose specification alone exceeds the lowered
// limits is not sent to the store any more once the store has rejected a transaction. It stays
// readable, and other records are still written.
func TestRecordThatCannotBeSplitIsQuarantined(t *testing.T) {
	record := jobWithLargeSpec(protocol.ShapeArray)
	record.Spec.Types[1] = protocol.MachineTypeName(strings.Repeat("x", 2100))
	s := storeWithJob(record)
	l := newLeader(s, loweredLimits, protocol.CurrentFeatureLevel)
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
		t.Errorf("quarantined: %v, %d tasks wait for placement", job.Records.Quarantined, l.scheduler.WaitingTasks(job))
	}
	checkTasks(t, newLeader(s, loweredLimits, protocol.CurrentFeatureLevel), record)
}

// TestMachineIsAlwaysInSomeRecord: machines move out of an oversized machine record into other
// records. These are written first, so that every machine is in a stored record at any time.
func TestMachineIsAlwaysInSomeRecord(t *testing.T) {
	l, _ := leaderWithOversizedJob(t)
	l.lastSent(t).respond(kv.TransactionResult{Outcome: kv.Done, Revision: 20})
	oversized := storage.MachineRecord{}
	recordKeyOf := map[protocol.MachineID]string{}
	for i := range 90 {
		id := protocol.MachineID("i-0000" + string(rune('a'+i/26)) + string(rune('a'+i%26)))
		oversized.Machines = append(oversized.Machines, storage.MachineEntry{ID: id, Address: "10.1.0.232:9000", Type: "big", Zone: "a"})
		recordKeyOf[id] = "g/m/old"
	}
	l.committer.Machines.Load("g/m/old", 9, &oversized)
	old := l.Machines[oversized.Machines[0].ID].Record
	l.committer.Machines.SplitOversized()
	l.RecordMachine(old.Members[0]) // the old record is due to be written at once
	for step := range 10 {
		l.commitAfter(time.Second)
		if !l.committer.InFlight() {
			break
		}
		txn := l.lastSent(t)
		checkSizes(t, txn)
		trackMachineRecords(recordKeyOf, txn)
		for id, key := range recordKeyOf {
			if key == "" {
				t.Fatalf("machine %s is in no stored record", id)
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

// trackMachineRecords updates which machine record lists each machine after a transaction. The key
// is empty for a machine that its record no longer lists.
func trackMachineRecords(recordKeyOf map[protocol.MachineID]string, txn *sentTransaction) {
	for _, change := range txn.Changes {
		var record storage.MachineRecord
		if json.Unmarshal(change.Value, &record) != nil || len(record.Machines) == 0 {
			continue
		}
		for id, key := range recordKeyOf {
			if key == change.Set {
				recordKeyOf[id] = ""
			}
		}
		for _, machine := range record.Machines {
			recordKeyOf[machine.ID] = change.Set
		}
	}
}
