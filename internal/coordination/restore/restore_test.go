package restore

import (
	"log/slog"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"golang.org/x/time/rate"
)

const testTerm protocol.Term = 7

// testLeader stands for the leader and its store: it notes what is asked of it.
type testLeader struct {
	*clustertest.Cluster
	monitor *Monitor
	budget  *rate.Limiter

	sent             []protocol.Transaction
	respond          func(kv.TransactionResult) // to the transaction sent last
	timers           []func()
	steppedDown      string
	deleted          []*cluster.Machine
	recovering       bool
	machinesRecorded bool
	scheduling       bool
}

func newTestLeader() *testLeader {
	l := &testLeader{Cluster: clustertest.New(), budget: rate.NewLimiter(10, 10), recovering: true, machinesRecorded: true}
	l.Config.Cluster.Store = config.StoreLimits{RPS: 80, WriteRPS: 15, ValueKB: 8, TxnOps: 12}
	l.monitor = NewMonitor(testTerm, l.State, l, l, slog.New(slog.DiscardHandler))
	return l
}

func (l *testLeader) Transact(txn protocol.Transaction, done func(kv.TransactionResult)) {
	l.sent, l.respond = append(l.sent, txn), done
}
func (l *testLeader) WriteBudget() *rate.Limiter                 { return l.budget }
func (l *testLeader) After(_ time.Duration, do func())           { l.timers = append(l.timers, do) }
func (l *testLeader) UniqueName() string                         { return "boot-1" }
func (l *testLeader) RequestScheduling()                         { l.scheduling = true }
func (l *testLeader) StepDown(reason string)                     { l.steppedDown = reason }
func (l *testLeader) Recovering() bool                           { return l.recovering }
func (l *testLeader) MachinesRecorded() bool                     { return l.machinesRecorded }
func (l *testLeader) DeleteMachine(m *cluster.Machine, _ string) { l.deleted = append(l.deleted, m) }
func (l *testLeader) LeaseExpiresAt(*cluster.Machine) time.Time {
	return l.LeadingSince.Add(24 * time.Second)
}

// checkGuarded checks that the transaction sent last is guarded on the leader lease.
func (l *testLeader) checkGuarded(t *testing.T) {
	t.Helper()
	last := l.sent[len(l.sent)-1]
	if len(last.Conditions) != 1 || last.Conditions[0] != (protocol.Condition{Key: storage.LeaderKey, Revision: protocol.Revision(testTerm)}) {
		t.Errorf("guarded on %+v", last.Conditions)
	}
}

// showToken has an agent show a token above the term.
func (l *testLeader) showToken(token protocol.Term) {
	l.monitor.ObserveHigherToken(&protocol.Heartbeat{Machine: "i-1", Address: "h:1", Type: "big", Zone: "a", FencingToken: token})
}

// confirmTerm has the store confirm the term.
func (l *testLeader) confirmTerm() {
	l.respond(kv.TransactionResult{Outcome: kv.Done, Revision: 10})
}

// TestHigherTokenMakesMonitorCheckTerm: an agent's token above the term ends the term if the
// store has a newer one, and is of a lost history if the store has none. Without an answer
// the next heartbeat asks again.
func TestHigherTokenMakesMonitorCheckTerm(t *testing.T) {
	for name, test := range map[string]struct {
		result      kv.TransactionResult
		stepsDown   bool
		writes      bool // the marker, at the next tick
		asksAgainOn protocol.Term
	}{
		"newer term":         {result: kv.TransactionResult{Outcome: kv.ConditionFailed}, stepsDown: true},
		"term still stands":  {result: kv.TransactionResult{Outcome: kv.Done, Revision: 10}, writes: true},
		"no answer":          {result: kv.TransactionResult{Outcome: kv.Unknown}, asksAgainOn: 90},
		"malformed answer":   {result: kv.TransactionResult{Outcome: kv.Done, Malformed: true, Revision: 10}, asksAgainOn: 90},
		"answer of no store": {result: kv.TransactionResult{Outcome: kv.Done}, asksAgainOn: 90},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLeader()
			l.showToken(90)
			l.showToken(95) // while the store is asked, it is not asked again
			if len(l.sent) != 1 || len(l.sent[0].Changes) != 0 {
				t.Fatalf("%+v", l.sent)
			}
			l.checkGuarded(t)
			l.respond(test.result)
			if (l.steppedDown != "") != test.stepsDown {
				t.Errorf("steps down: %q", l.steppedDown)
			}
			l.monitor.Tick()
			if wrote := len(l.sent) > 1; wrote != test.writes {
				t.Errorf("writes the marker: %v", wrote)
			}
			if test.asksAgainOn != 0 {
				l.showToken(test.asksAgainOn)
				if len(l.sent) != 2 {
					t.Error("does not ask again")
				}
			}
		})
	}
}

// TestRevisionIsRaisedAboveTokens: the marker is written under the term until the store's
// revision is above the token, then the term ends; a failed write is repeated later.
func TestRevisionIsRaisedAboveTokens(t *testing.T) {
	l := newTestLeader()
	l.showToken(12)
	l.confirmTerm()
	l.monitor.Tick()
	l.checkGuarded(t)
	l.respond(kv.TransactionResult{Outcome: kv.Unavailable})
	l.monitor.Tick()
	if len(l.sent) != 2 || len(l.timers) != 1 {
		t.Fatalf("%d sent, %d to be sent later", len(l.sent), len(l.timers))
	}
	l.timers[0]()
	for revision := protocol.Revision(11); revision <= 12; revision++ {
		l.monitor.Tick()
		if last := l.sent[len(l.sent)-1]; len(last.Changes) != 1 || last.Changes[0].Set != storage.RestoredKey {
			t.Fatalf("%+v", last)
		}
		if l.steppedDown != "" {
			t.Fatal("steps down below the token")
		}
		l.respond(kv.TransactionResult{Outcome: kv.Done, Revision: revision})
	}
	if l.steppedDown == "" {
		t.Error("the revision is above the token, and the term goes on")
	}
}

// TestRevisionIsRaisedWithinHalfTheBudget: half of the write budget is left to others.
func TestRevisionIsRaisedWithinHalfTheBudget(t *testing.T) {
	l := newTestLeader()
	l.showToken(12)
	l.confirmTerm()
	l.budget.AllowN(l.Now(), 6)
	l.monitor.Tick()
	if len(l.sent) != 1 {
		t.Error("the marker is written out of the other half")
	}
}

// TestMachineWithUnreachableTokenIsDeleted: a token that the revision cannot reach within half a
// lease costs its machine, once that has given up what it runs.
func TestMachineWithUnreachableTokenIsDeleted(t *testing.T) {
	l := newTestLeader()
	l.showToken(1_000_000)
	l.confirmTerm()
	l.monitor.Tick()
	l.respond(kv.TransactionResult{Outcome: kv.Done, Revision: 11})
	l.monitor.Tick()
	if len(l.deleted) != 0 {
		t.Fatal("deleted before its lease has expired")
	}
	l.Advance(25 * time.Second)
	l.monitor.Tick()
	if len(l.deleted) != 1 || l.deleted[0].ID != "i-1" {
		t.Fatalf("%d machines deleted", len(l.deleted))
	}
	delete(l.Machines, "i-1")
	l.OrderedMachines = nil
	l.monitor.Tick() // the store's history is the only one again
	l.recovering = false
	l.monitor.Tick()
	if last := l.sent[len(l.sent)-1]; last.Changes[0].Delete != storage.RestoredKey {
		t.Errorf("%+v", last)
	}
}

// TestMarkerIsRemovedAfterRecovery: the marker of an earlier leader stands while the recovery
// lasts.
func TestMarkerIsRemovedAfterRecovery(t *testing.T) {
	l := newTestLeader()
	l.monitor.LoadMarker(protocol.Entry{Key: storage.RestoredKey})
	l.monitor.Tick()
	if len(l.sent) != 0 {
		t.Fatal("removed during the recovery")
	}
	l.recovering = false
	l.monitor.Tick()
	l.monitor.Tick() // one write at a time
	if len(l.sent) != 1 || l.sent[0].Changes[0].Delete != storage.RestoredKey {
		t.Fatalf("%+v", l.sent)
	}
	l.checkGuarded(t)
	l.respond(kv.TransactionResult{Outcome: kv.Done, Revision: 11})
	if l.monitor.HasMarker() {
		t.Error("still marked")
	}
}

// TestStartsWithheld: which jobs must not start anything, and for how long.
func TestStartsWithheld(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(l *testLeader)
		newJob  bool
		want    bool
	}{
		"no agent has shown its token":         {prepare: func(*testLeader) {}, want: true},
		"submitted to this leader":             {prepare: func(*testLeader) {}, newJob: true},
		"no recovery":                          {prepare: func(l *testLeader) { l.recovering = false }},
		"no machines":                          {prepare: func(l *testLeader) { l.machinesRecorded = false }},
		"an agent has taken the token":         {prepare: func(l *testLeader) { l.confirmToken() }},
		"no agent reports for long":            {prepare: func(l *testLeader) { l.Advance(l.SilenceTimeout()) }},
		"restored, an agent took the token":    {prepare: func(l *testLeader) { l.confirmToken(); l.showToken(90); l.confirmTerm() }, want: true},
		"marked, an agent has taken the token": {prepare: func(l *testLeader) { l.confirmToken(); l.monitor.LoadMarker(protocol.Entry{}) }, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLeader()
			job := l.AddJob(clustertest.Gang(1, 1))
			job.Recovered = !test.newJob
			test.prepare(l)
			if got := l.monitor.WithholdsStarts(job); got != test.want {
				t.Errorf("holds %v", got)
			}
		})
	}
}

// confirmToken has the agent of a recorded machine take this leader's token.
func (l *testLeader) confirmToken() {
	machine := l.AddMachine("i-2", "big", "a")
	machine.Recovered = true
	l.monitor.ObserveConfirmedToken(machine)
	if !l.scheduling {
		panic("jobs may start and no scheduling is requested")
	}
}
