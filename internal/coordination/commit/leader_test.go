package commit_test

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/coordination/commit"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/coordination/loader"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// testTerm is the term of the leaders in these tests.
const testTerm = 7

// The store's limits before and after it lowers them.
var (
	originalLimits = config.StoreLimits{RPS: 80, WriteRPS: 15, ValueKB: 8, TxnOps: 12}
	loweredLimits  = config.StoreLimits{RPS: 80, WriteRPS: 15, ValueKB: 2, TxnOps: 4}
)

// loweredValueBytes is the size of the largest value that the lowered limits allow.
const loweredValueBytes = 2048

// testStore is the content of a key-value store. New leaders load their state from it.
type testStore struct {
	entries  map[string]protocol.Entry
	revision protocol.Revision
}

func newTestStore() *testStore {
	return &testStore{entries: map[string]protocol.Entry{}, revision: 9}
}

// Each implements loader.Mirror.
func (s *testStore) Each(prefix string, do func(protocol.Entry)) {
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			do(entry)
		}
	}
}

// put stores a record at a revision.
func (s *testStore) put(key string, record any, revision protocol.Revision) {
	s.entries[key] = protocol.Entry{Key: key, Value: storage.Encode(record), Revision: revision}
}

// apply applies a transaction if its conditions hold. The condition on the leader lease is not
// checked.
func (s *testStore) apply(txn *protocol.Transaction) bool {
	for _, condition := range txn.Conditions {
		if condition.Key != storage.LeaderKey && s.entries[condition.Key].Revision != condition.Revision {
			return false
		}
	}
	s.revision++
	for _, change := range txn.Changes {
		if change.Delete != "" {
			delete(s.entries, change.Delete)
			continue
		}
		s.entries[change.Set] = protocol.Entry{Key: change.Set, Value: change.Value, Revision: s.revision}
	}
	return true
}

// sentTransaction is a transaction that a leader has sent, with the callback for the response.
type sentTransaction struct {
	protocol.Transaction
	body    string
	respond func(kv.TransactionResult)
}

// leader is a minimal leader around a committer. It contains the parts that decide what is
// written, and has one peer. It responds to store requests only when a test does so. It
// implements the interfaces that its parts need.
type leader struct {
	*clustertest.Cluster
	store     *testStore
	limits    *commit.KnownLimits
	budget    *rate.Limiter
	committer *commit.Committer
	loader    *loader.Loader
	lifecycle *lifecycle.Manager
	scheduler *scheduler.Scheduler

	peerLevel uint64 // feature level that the peer has announced
	peerUp    bool

	sent        []sentTransaction
	reads       map[string]func(kv.GetResult)
	timers      []func()
	names       int
	steppedDown string
}

// newLeader returns a leader that has loaded its state from the store. Limits other than
// originalLimits are announced: the store has yet to lower its limits to them.
func newLeader(store *testStore, limits config.StoreLimits, peerLevel uint64) *leader {
	l := &leader{Cluster: clustertest.New(), store: store, peerLevel: peerLevel, peerUp: true, reads: map[string]func(kv.GetResult){}}
	settings := &l.Config.Cluster
	settings.Store = limits
	if limits != originalLimits {
		present := originalLimits
		settings.Present = &present
	}
	log := slog.New(slog.DiscardHandler)
	l.limits = commit.NewKnownLimits(l.Config)
	writes := limits.WriteRPS * tuning.WriteBudgetShare
	l.budget = rate.NewLimiter(rate.Limit(writes), int(writes))
	l.lifecycle = lifecycle.New(l.State, reconcile.NewRecoveryPhase(), l, log, &lifecycle.Counters{})
	l.scheduler = scheduler.New(l.State, l, log)
	l.committer = commit.New(commit.Dependencies{State: l.State, Store: l, Limits: l.limits, Environment: l, Outcomes: l, Log: log, Term: testTerm})
	l.loader = loader.New(l.State, l.committer, l, log)
	l.loader.LoadAll(store)
	return l
}

// commitAfter advances the clock and lets the committer send the next transaction.
func (l *leader) commitAfter(pause time.Duration) {
	l.Advance(pause)
	l.committer.Commit()
}

// lastSent returns the transaction that was sent last.
func (l *leader) lastSent(t *testing.T) *sentTransaction {
	t.Helper()
	if len(l.sent) == 0 {
		t.Fatal("no transaction was sent")
	}
	return &l.sent[len(l.sent)-1]
}

// nextTransaction returns the transaction in flight, after letting the leader commit if there is
// none. It returns nil if nothing is in flight then either.
func (l *leader) nextTransaction(t *testing.T) *sentTransaction {
	t.Helper()
	if !l.committer.InFlight() {
		l.committer.MarkOversizedRecords(l.scheduler)
		l.commitAfter(tuning.MaxCompletionWriteDelay + time.Second)
	}
	if !l.committer.InFlight() {
		return nil
	}
	return l.lastSent(t)
}

// applyAndRespond applies a sent transaction to the store and responds to it.
func (l *leader) applyAndRespond(t *testing.T, txn *sentTransaction) {
	t.Helper()
	if !l.store.apply(&txn.Transaction) {
		t.Fatal("the store refused the transaction")
	}
	txn.respond(kv.TransactionResult{Outcome: kv.Done, Revision: l.store.revision})
}

// addMachine adds a machine that a stored machine record lists.
func (l *leader) addMachine(id protocol.MachineID) *cluster.Machine {
	machine := l.AddMachine(id, "big", "a")
	l.committer.Machines.Assign(machine)
	machine.Record.Revision = 1
	return machine
}

// TransactEncoded implements commit.Store.
func (l *leader) TransactEncoded(body []byte, respond func(kv.TransactionResult)) {
	txn := sentTransaction{body: string(body), respond: respond}
	if err := json.Unmarshal(body, &txn.Transaction); err != nil {
		panic(err)
	}
	l.sent = append(l.sent, txn)
}

// Get implements commit.Store.
func (l *leader) Get(key string, respond func(kv.GetResult)) { l.reads[key] = respond }

// WriteBudget implements commit.Store.
func (l *leader) WriteBudget() *rate.Limiter { return l.budget }

// NoteThrottled implements commit.Store.
func (l *leader) NoteThrottled(int) time.Duration { return time.Second }

// After implements commit.Environment.
func (l *leader) After(_ time.Duration, do func()) { l.timers = append(l.timers, do) }

// UniqueName implements commit.Environment.
func (l *leader) UniqueName() string {
	l.names++
	return fmt.Sprintf("boot-%d", l.names)
}

// PeersSupport implements commit.Environment.
func (l *leader) PeersSupport(level uint64) bool {
	return l.peerLevel >= level || !l.peerUp && l.limits.Lowered()
}

// RequestScheduling implements commit.Environment.
func (l *leader) RequestScheduling() {}

// StepDown implements commit.Environment.
func (l *leader) StepDown(reason string) { l.steppedDown = reason }

// DropAttempt implements commit.Outcomes.
func (l *leader) DropAttempt(attempt *cluster.Attempt) {
	l.lifecycle.RemoveGone(attempt, lifecycle.ExitReported)
}

// DropUncommitted implements commit.Outcomes.
func (l *leader) DropUncommitted(job *cluster.Job) {
	for _, attempt := range job.SortedAttempts() {
		if !attempt.Committed {
			l.lifecycle.RemoveGone(attempt, lifecycle.ExitReported)
		}
	}
}

// JobCommitted implements commit.Outcomes.
func (l *leader) JobCommitted(job *cluster.Job, placed []*cluster.Attempt) {
	for _, attempt := range placed {
		if job.Attempts[attempt.Key] == attempt {
			attempt.MarkCommitted()
		}
	}
	l.lifecycle.CheckEnded(job)
}

// JobFinished implements commit.Outcomes.
func (l *leader) JobFinished(protocol.JobID, storage.FinalRecord) {}

// MergeRecord implements commit.Outcomes.
func (l *leader) MergeRecord(job *cluster.Job, record *storage.Job, revision protocol.Revision) {
	l.loader.Merge(job, record, revision)
}

// QuarantineJob implements commit.Outcomes.
func (l *leader) QuarantineJob(id protocol.JobID, err error) { l.loader.Quarantine(id, err) }

// TransactionCommitted implements commit.Outcomes.
func (l *leader) TransactionCommitted(protocol.Revision, time.Duration) {}

// TransactionConflicted implements commit.Outcomes.
func (l *leader) TransactionConflicted() {}

// JobLoaded implements loader.Environment.
func (l *leader) JobLoaded(*protocol.Job) {}

// CheckEnded implements loader.Environment.
func (l *leader) CheckEnded(job *cluster.Job) { l.lifecycle.CheckEnded(job) }

// CancelJob implements loader.Environment.
func (l *leader) CancelJob(job *cluster.Job) {
	job.Cancel()
	l.lifecycle.CheckEnded(job)
}

// MachinesDeleted implements loader.Environment.
func (l *leader) MachinesDeleted(ids ...protocol.MachineID) {
	for _, id := range ids {
		l.committer.Machines.Remove(l.Machines[id])
		delete(l.Machines, id)
	}
}

// RecordChanged implements lifecycle.Environment.
func (l *leader) RecordChanged(job *cluster.Job, record int) { l.committer.MarkDirty(job, record) }

// RecordMachine implements lifecycle.Environment.
func (l *leader) RecordMachine(machine *cluster.Machine) { l.committer.Machines.Record(machine) }

// CommandsPending implements lifecycle.Environment.
func (l *leader) CommandsPending(*cluster.Machine) {}

// Unreadable implements lifecycle.Environment.
func (l *leader) Unreadable(id protocol.JobID) bool { return l.loader.Quarantined(id) }

// Recovering implements scheduler.Environment.
func (l *leader) Recovering() bool { return false }

// StartsWithheld implements scheduler.Environment.
func (l *leader) StartsWithheld(*cluster.Job) bool { return false }

// AwaitsRecordSplit implements scheduler.Environment.
func (l *leader) AwaitsRecordSplit(job *cluster.Job) bool { return l.committer.AwaitsRecordSplit(job) }

// TaskPlaced implements scheduler.Environment.
func (l *leader) MachinesObtainable(*cluster.Job, protocol.ZoneName) bool { return true }
func (l *leader) TaskPlaced(attempt *cluster.Attempt) {
	l.committer.MarkDirty(attempt.Job, attempt.Job.RecordOf(attempt.Key.Index))
}

// Preempt implements scheduler.Environment.
func (l *leader) Preempt(victim *cluster.Attempt) { l.lifecycle.Preempt(victim) }

// Stop implements scheduler.Environment.
func (l *leader) Stop(attempt *cluster.Attempt, graceS float64) { l.lifecycle.Stop(attempt, graceS) }
