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

// testLeader is a fake of the leader and its store. It records the calls that the monitor makes.
type testLeader struct {
	*clustertest.Cluster
	monitor *Monitor
	budget  *rate.Limiter

	sent             []protocol.Transaction
	respond          func(kv.TransactionResult) // responds to the last transaction sent
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

// checkGuarded checks that the last transaction sent is guarded on the leader lease.
func (l *testLeader) checkGuarded(t *testing.T) {
	t.Helper()
	last := l.sent[len(l.sent)-1]
	if len(last.Conditions) != 1 || last.Conditions[0] != (protocol.Condition{Key: storage.LeaderKey, Revision: protocol.Revision(testTerm)}) {
		t.Errorf("guarded on %+v", last.Conditions)
	}
}

// showToken has the monitor observe a heartbeat with the given token, which is above the term.
func (l *testLeader) showToken(token protocol.Term) {
	l.monitor.ObserveHigherToken(&protocol.Heartbeat{Machine: "i-1", Address: "h:1", Type: "big", Zone: "a", FencingToken: token})
}

// confirmTerm has the store confirm that the term is the newest.
func (l *testLeader) confirmTerm() {
	l.respond(kv.TransactionResult{Outcome: kv.Done, Revision: 10})
}

// TestHigherTokenMakesMonitorCheckTerm: when an agent shows a token above the term, the monitor
// checks the term with the store. If the store has a newer term, the leader steps down. If not,
// the token is from a discarded history. Without a valid response the check is repeated at the
// next heartbeat.
func TestHigherTokenMakesMonitorCheckTerm(t *testing.T) {
	for name, test := range map[string]struct {
		result    kv.TransactionResult
		stepsDown bool
		writes    bool          // whether the marker is written at the next tick
		nextToken protocol.Term // token of a later heartbeat that repeats the check; 0 for none
	}{
		"newer term":                  {result: kv.TransactionResult{Outcome: kv.ConditionFailed}, stepsDown: true},
		"term is still the newest":    {result: kv.TransactionResult{Outcome: kv.Done, Revision: 10}, writes: true},
		"no response":                 {result: kv.TransactionResult{Outcome: kv.Unknown}, nextToken: 90},
		"malformed response":          {result: kv.TransactionResult{Outcome: kv.Done, Malformed: true, Revision: 10}, nextToken: 90},
		"response without a revision": {result: kv.TransactionResult{Outcome: kv.Done}, nextToken: 90},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLeader()
			l.showToken(90)
			l.showToken(95) // no second check while one is in flight
			if len(l.sent) != 1 || len(l.sent[0].Changes) != 0 {
				t.Fatalf("%+v", l.sent)
			}
			l.checkGuarded(t)
			l.respond(test.result)
			if (l.steppedDown != "") != test.stepsDown {
				t.Errorf("stepped down with reason %q", l.steppedDown)
			}
			l.monitor.Tick()
			if wrote := len(l.sent) > 1; wrote != test.writes {
				t.Errorf("marker written: %v", wrote)
			}
			if test.nextToken != 0 {
				l.showToken(test.nextToken)
				if len(l.sent) != 2 {
					t.Error("the check is not repeated")
				}
			}
		})
	}
}

// TestRevisionIsRaisedAboveTokens: the marker is written until the store's revision has reached
// the token, then the leader steps down. A failed write is repeated after a pause.
func TestRevisionIsRaisedAboveTokens(t *testing.T) {
	l := newTestLeader()
	l.showToken(12)
	l.confirmTerm()
	l.monitor.Tick()
	l.checkGuarded(t)
	l.respond(kv.TransactionResult{Outcome: kv.Unavailable})
	l.monitor.Tick()
	if len(l.sent) != 2 || len(l.timers) != 1 {
		t.Fatalf("%d transactions sent, %d timers set", len(l.sent), len(l.timers))
	}
	l.timers[0]()
	for revision := protocol.Revision(11); revision <= 12; revision++ {
		l.monitor.Tick()
		if last := l.sent[len(l.sent)-1]; len(last.Changes) != 1 || last.Changes[0].Set != storage.RestoreMarkerKey {
			t.Fatalf("%+v", last)
		}
		if l.steppedDown != "" {
			t.Fatal("stepped down while the revision is below the token")
		}
		l.respond(kv.TransactionResult{Outcome: kv.Done, Revision: revision})
	}
	if l.steppedDown == "" {
		t.Error("did not step down after the revision reached the token")
	}
}

// TestRevisionIsRaisedWithinHalfTheBudget: half of the write budget is left for other writes.
func TestRevisionIsRaisedWithinHalfTheBudget(t *testing.T) {
	l := newTestLeader()
	l.showToken(12)
	l.confirmTerm()
	l.budget.AllowN(l.Now(), 6)
	l.monitor.Tick()
	if len(l.sent) != 1 {
		t.Error("the marker is written although half of the write budget is used up")
	}
}

// TestMachineWithUnreachableTokenIsDeleted: if the revision cannot reach an agent's token within
// half a lease, its machine is deleted once the agent's lease has expired.
func TestMachineWithUnreachableTokenIsDeleted(t *testing.T) {
	l := newTestLeader()
	l.showToken(1_000_000)
	l.confirmTerm()
	l.monitor.Tick()
	l.respond(kv.TransactionResult{Outcome: kv.Done, Revision: 11})
	l.monitor.Tick()
	if len(l.deleted) != 0 {
		t.Fatal("machine deleted before the lease of its agent has expired")
	}
	l.Advance(25 * time.Second)
	l.monitor.Tick()
	if len(l.deleted) != 1 || l.deleted[0].ID != "i-1" {
		t.Fatalf("%d machines deleted", len(l.deleted))
	}
	delete(l.Machines, "i-1")
	l.OrderedMachines = nil
	l.monitor.Tick() // no token from a discarded history is left
	l.recovering = false
	l.monitor.Tick()
	if last := l.sent[len(l.sent)-1]; last.Changes[0].Delete != storage.RestoreMarkerKey {
		t.Errorf("%+v", last)
	}
}

// TestMarkerIsRemovedAfterRecovery: the marker of an earlier leader is kept until the recovery
// has ended, and then deleted.
func TestMarkerIsRemovedAfterRecovery(t *testing.T) {
	l := newTestLeader()
	l.monitor.LoadMarker(protocol.Entry{Key: storage.RestoreMarkerKey})
	l.monitor.Tick()
	if len(l.sent) != 0 {
		t.Fatal("marker removed during the recovery")
	}
	l.recovering = false
	l.monitor.Tick()
	l.monitor.Tick() // one write at a time
	if len(l.sent) != 1 || l.sent[0].Changes[0].Delete != storage.RestoreMarkerKey {
		t.Fatalf("%+v", l.sent)
	}
	l.checkGuarded(t)
	l.respond(kv.TransactionResult{Outcome: kv.Done, Revision: 11})
	if l.monitor.HasMarker() {
		t.Error("the monitor still has the marker after its deletion")
	}
}

// TestStartsWithheld: recorded jobs start nothing while attempts in no record may run.
func TestStartsWithheld(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(l *testLeader)
		newJob  bool
		want    bool
	}{
		"no agent has accepted the token":                         {prepare: func(*testLeader) {}, want: true},
		"job submitted to this leader":                            {prepare: func(*testLeader) {}, newJob: true},
		"no recovery":                                             {prepare: func(l *testLeader) { l.recovering = false }},
		"no machine records":                                      {prepare: func(l *testLeader) { l.machinesRecorded = false }},
		"a recorded agent has accepted the token":                 {prepare: func(l *testLeader) { l.confirmToken() }},
		"no agent reports within the silence timeout":             {prepare: func(l *testLeader) { l.Advance(l.SilenceTimeout()) }},
		"store restored, a recorded agent has accepted the token": {prepare: func(l *testLeader) { l.confirmToken(); l.showToken(90); l.confirmTerm() }, want: true},
		"marker stored, a recorded agent has accepted the token":  {prepare: func(l *testLeader) { l.confirmToken(); l.monitor.LoadMarker(protocol.Entry{}) }, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLeader()
			job := l.AddJob(clustertest.Gang(1, 1))
			job.Recovered = !test.newJob
			test.prepare(l)
			if got := l.monitor.WithholdsStarts(job); got != test.want {
				t.Errorf("starts withheld: %v", got)
			}
		})
	}
}

// confirmToken has the agent of a recorded machine accept this leader's token.
func (l *testLeader) confirmToken() {
	machine := l.AddMachine("i-2", "big", "a")
	machine.Recovered = true
	l.monitor.ObserveConfirmedToken(machine)
	if !l.scheduling {
		panic("no scheduling requested although jobs may start")
	}
}
