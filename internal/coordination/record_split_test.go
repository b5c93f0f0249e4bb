package coordination

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// lowering is a leader whose state service will lower its limits, with a peer
// that has yet to say what it knows, and a job of an earlier version whose record
// has outgrown the new limits.
func lowering(t *testing.T) (*leader, *cluster.Job) {
	t.Helper()
	l := testLeader(time.Unix(1_800_000_000, 0))
	n := l.n
	present := n.cfg.Cluster.State
	n.cfg.Cluster.Present = &present
	n.cfg.Cluster.State = config.State{RPS: 80, WriteRPS: 15, ValueKB: 2, TxnOps: 4}
	n.peers.Add("s")
	n.peers.Receive("s", 1, protocol.PeerHello{Node: "s"})
	s := protocol.Job{ID: "run-000077", Class: "c", Team: "free", Shape: protocol.ShapeArray, Priority: "normal", Tasks: 98, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1}
	rec := &storage.Job{Spec: &s, AtMs: n.now.UnixMilli(), Seq: 5, RecordTasks: 98}
	for i := range s.Tasks {
		task := storage.Task{Index: i, Attempt: 1 + protocol.AttemptNumber(i%3), Machine: "i-000231", Incarnation: 1}
		if i%5 == 0 {
			task = storage.Task{Index: i, Attempt: 1, Done: true}
		}
		rec.Tasks = append(rec.Tasks, task)
	}
	return l, l.addJob(rec, 9)
}

// commitLater sends what there is to write after a while.
func (l *leader) commitLater(d time.Duration) {
	l.n.now = l.n.now.Add(d)
	l.n.keepAuthority()
	l.commitNext()
}

// sentTxn is the transaction that the leader sent last.
func (l *leader) sentTxn(t *testing.T) (protocol.Transaction, Request) {
	t.Helper()
	r := l.n.lastRequest(t, ToStore)
	var txn protocol.Transaction
	if err := json.Unmarshal(r.Body, &txn); err != nil {
		t.Fatal(err)
	}
	return txn, r
}

// TestSplitRecord: as long as a peer may be of version 0.2, which would
// not find a further record, a job's record is written whole; then in parts, within
// the lowered limits and in one transaction, and what another leader reads is the
// same.
func TestSplitRecord(t *testing.T) {
	l, job := lowering(t)
	l.RecordChanged(job, 0)
	l.commitLater(tuning.MaxDoneMarkDelay + time.Second)
	txn, r := l.sentTxn(t)
	if len(txn.Changes) != 1 || len(txn.Changes[0].Value) <= 2048 {
		t.Fatalf("%d changes, the first of %d bytes", len(txn.Changes), len(txn.Changes[0].Value))
	}
	l.n.handle(Response{ID: r.ID, Status: 200, Body: storage.Encode(protocol.TransactionResponse{Revision: 20})})
	l.n.handle(PeerReceive{Peer: "s", Link: 1, Message: protocol.Announcement("n")})
	l.splitOutgrown()
	l.commitLater(tuning.MaxDoneMarkDelay + time.Second)
	txn, r = l.sentTxn(t)
	if len(txn.Changes) < 2 || len(txn.Changes) > 4 || txn.Changes[len(txn.Changes)-1].Set != storage.JobKey(job.ID) {
		t.Fatalf("%d changes", len(txn.Changes))
	}
	next := testLeader(l.n.now)
	for _, c := range txn.Changes {
		if len(c.Value) > 2048 {
			t.Errorf("%s of %d bytes", c.Set, len(c.Value))
		}
	}
	head, err := storage.DecodeJob(txn.Changes[len(txn.Changes)-1].Value)
	if err != nil {
		t.Fatal(err)
	}
	again := next.addJob(head, 21)
	for _, c := range txn.Changes[:len(txn.Changes)-1] {
		var chunk storage.TaskRecord
		if err := json.Unmarshal(c.Value, &chunk); err != nil {
			t.Fatal(err)
		}
		_, num, _ := storage.ParseTaskRecordKey(c.Set)
		if num >= len(again.Records.Revisions) {
			t.Fatalf("%s is not among the %d records", c.Set, len(again.Records.Revisions))
		}
		next.addTasks(again, num, chunk.Tasks)
	}
	for i := range job.Tasks {
		a, b := &job.Tasks[i], &again.Tasks[i]
		if a.LastAttempt != b.LastAttempt || a.Done != b.Done || (a.Active == nil) != (b.Active == nil) || job.RecordOf(i) != again.RecordOf(i) {
			t.Fatalf("task %d: %+v in %d, %+v in %d", i, a, job.RecordOf(i), b, again.RecordOf(i))
		}
	}
	// Refused by a race, it is sent again with all its parts.
	l.n.handle(Response{ID: r.ID, Status: 409, Body: storage.Encode(protocol.TransactionResponse{Revision: 22, Failed: []string{storage.JobKey(job.ID)}})})
	l.commitLater(tuning.MaxDoneMarkDelay + time.Second)
	if second, _ := l.sentTxn(t); len(second.Changes) != len(txn.Changes) {
		t.Errorf("%d changes, then %d", len(txn.Changes), len(second.Changes))
	}
}

// TestRefusedForSize: a state service that refuses a value has lowered its limits,
// which it does only once all controllers have the new version: the record is split
// and not sent again as it was, whatever the leader has heard of a peer that is down.
// While one is up that may be of version 0.2, which would delete the parts, the record
// waits, and is not sent again either.
func TestRefusedForSize(t *testing.T) {
	for _, up := range []bool{false, true} {
		l, job := lowering(t)
		if up {
			l.n.peers.Up("s")
		}
		l.RecordChanged(job, 0)
		l.commitLater(tuning.MaxDoneMarkDelay + time.Second)
		_, r := l.sentTxn(t)
		l.n.handle(Response{ID: r.ID, Status: 400, Body: []byte(`{"error":"too large"}`)})
		l.commitLater(tuning.MaxDoneMarkDelay + time.Second)
		if up {
			if l.inFlight != nil {
				t.Error("sent again beside a peer that may be of version 0.2")
			}
			l.n.handle(PeerReceive{Peer: "s", Link: 1, Message: protocol.Announcement("n")})
			l.commitLater(tuning.MaxDoneMarkDelay + time.Second)
		}
		if txn, _ := l.sentTxn(t); len(txn.Changes) < 2 {
			t.Errorf("up %v: %d changes, the first of %d bytes", up, len(txn.Changes), len(txn.Changes[0].Value))
		}
	}
}

// TestSplitMachineRecords: machines move out of a machine record that has outgrown the limits
// into others, which are written first: none may be in no record for a moment.
func TestSplitMachineRecords(t *testing.T) {
	l, _ := lowering(t)
	rec := storage.MachineRecord{}
	for i := range 90 {
		rec.Machines = append(rec.Machines, storage.MachineEntry{ID: protocol.MachineID("i-0000" + string(rune('a'+i/26)) + string(rune('a'+i%26))), Address: "10.1.0.232:9000", Type: "big", Zone: "a"})
	}
	l.loadMachineRecord("g/m/old", 9, &rec)
	l.splitMachineRecords()
	old := l.machineRecords[0]
	l.RecordMachine(old.Members[0]) // it is to be written at once
	named := map[protocol.MachineID]string{}
	for _, m := range rec.Machines {
		named[m.ID] = "g/m/old"
	}
	for range 10 {
		l.commitLater(time.Second)
		if l.inFlight == nil {
			break
		}
		txn, r := l.sentTxn(t)
		for _, c := range txn.Changes {
			var rack storage.MachineRecord
			if json.Unmarshal(c.Value, &rack) != nil || len(rack.Machines) == 0 {
				continue
			}
			if len(c.Value) > 2048 || len(txn.Changes) > 4 {
				t.Errorf("%s of %d bytes, one of %d changes", c.Set, len(c.Value), len(txn.Changes))
			}
			for id, key := range named {
				if key == c.Set {
					named[id] = ""
				}
			}
			for _, m := range rack.Machines {
				named[m.ID] = c.Set
			}
		}
		for id, key := range named {
			if key == "" {
				t.Fatalf("%s is in no record", id)
			}
		}
		l.n.handle(Response{ID: r.ID, Status: 200, Body: storage.Encode(protocol.TransactionResponse{Revision: protocol.Revision(l.n.election.Term()) + protocol.Revision(l.n.now.Unix()%1000)})})
	}
	if len(old.MovedOut) > 0 && !l.movesRecorded(old) {
		t.Error("the old record is never written")
	}
}
