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

// leaderBeforeLoweredLimits returns a leader whose store will lower its limits, with a peer that
// has not announced its feature level yet, and a job from an earlier version whose record exceeds
// the new limits.
func leaderBeforeLoweredLimits(t *testing.T) (*leader, *cluster.Job) {
	t.Helper()
	l := testLeader(time.Unix(1_800_000_000, 0))
	n := l.n
	present := n.cfg.Cluster.Store
	n.cfg.Cluster.Present = &present
	n.cfg.Cluster.Store = config.StoreLimits{RPS: 80, WriteRPS: 15, ValueKB: 2, TxnOps: 4}
	n.peers.Add("s")
	n.peers.Receive("s", 1, protocol.PeerHello{Node: "s"})
	s := protocol.Job{ID: "run-000077", Class: "c", Team: "free", Shape: protocol.ShapeArray, Priority: "normal", Tasks: 98, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1}
	rec := &storage.Job{Spec: &s, SubmittedAtMs: n.now.UnixMilli(), SubmissionRevision: 5, TasksPerBaseRecord: 98}
	for i := range s.Tasks {
		task := storage.Task{Index: i, Attempt: 1 + protocol.AttemptNumber(i%3), Machine: "i-000231", Incarnation: 1}
		if i%5 == 0 {
			task = storage.Task{Index: i, Attempt: 1, Done: true}
		}
		rec.Tasks = append(rec.Tasks, task)
	}
	return l, l.loader.AddJob(rec, 9)
}

// commitAfter advances the clock and commits what is to be written.
func (l *leader) commitAfter(d time.Duration) {
	l.n.now = l.n.now.Add(d)
	l.n.renewAuthority()
	l.committer.Commit()
}

// lastTransaction returns the transaction that the leader sent last.
func (l *leader) lastTransaction(t *testing.T) (protocol.Transaction, Request) {
	t.Helper()
	r := l.n.lastRequest(t, ToStore)
	var txn protocol.Transaction
	if err := json.Unmarshal(r.Body, &txn); err != nil {
		t.Fatal(err)
	}
	return txn, r
}

// TestRejectedRecordIsSplit: a store that refuses a value as too large has lowered its limits,
// which happens only after all controllers were upgraded. So the record is split, and not sent
// unchanged again, whatever a peer without a link has announced. A connected peer that may have
// version 0.2 would delete the task records. As long as there is one, the record is not sent at
// all.
func TestRejectedRecordIsSplit(t *testing.T) {
	for _, connected := range []bool{false, true} {
		l, job := leaderBeforeLoweredLimits(t)
		if connected {
			l.n.peers.LinkUp("s")
		}
		l.committer.MarkDirty(job, 0)
		l.commitAfter(tuning.MaxCompletionWriteDelay + time.Second)
		_, r := l.lastTransaction(t)
		l.n.handle(Response{ID: r.ID, Status: 400, Body: []byte(`{"error":"too large"}`)})
		l.commitAfter(tuning.MaxCompletionWriteDelay + time.Second)
		if connected {
			if l.committer.InFlight() {
				t.Error("sent again while a connected peer may have version 0.2")
			}
			l.n.handle(PeerReceive{Peer: "s", Link: 1, Message: protocol.FeatureLevelAnnouncement("n")})
			l.commitAfter(tuning.MaxCompletionWriteDelay + time.Second)
		}
		if txn, _ := l.lastTransaction(t); len(txn.Changes) < 2 {
			t.Errorf("connected %v: %d changes, the first of %d bytes, want a split record", connected, len(txn.Changes), len(txn.Changes[0].Value))
		}
	}
}

// TestThrottledTransactionWaitsForTheBudget: after a response 429 the write budget is emptied. The
// same transaction is sent again once the refilled budget allows its changes.
func TestThrottledTransactionWaitsForTheBudget(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	l.n.budgets.writes.SetLimit(1)
	machine := l.testMachine(hostName, "big", "a")
	l.commitMachineRecord(machine)
	_, r := l.lastTransaction(t)
	l.n.handle(Response{ID: r.ID, Status: 429})
	if tokens := l.n.budgets.writes.TokensAt(l.n.now); tokens >= 1 {
		t.Errorf("%v writes are left in the budget", tokens)
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

// commitMachineRecord marks a machine's record as changed and commits it.
func (l *leader) commitMachineRecord(machine *cluster.Machine) {
	l.committer.Machines.Record(machine)
	l.commitAfter(time.Second)
}
