package coordination

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// These tests hold one guard each that whole days break too rarely to show.

func (l *leader) testHeartbeat(machine *cluster.Machine, token protocol.Term, tasks ...protocol.TaskStatus) []protocol.Command {
	return l.agents.Heartbeats.Accept(&protocol.Heartbeat{Machine: machine.ID, Address: "h:1", Type: machine.TypeName, Zone: machine.Zone, Spot: machine.Spot,
		Incarnation: 1, Sequence: machine.Agent.Sequence + 1, FencingToken: token, Tasks: tasks}).Commands
}

func commandKinds(cmds []protocol.Command) (s string) {
	for _, c := range cmds {
		s += string(c.Kind) + " "
	}
	return s
}

// lastRequest is the newest request to a system.
func (n *Node) lastRequest(t *testing.T, to Target) Request {
	t.Helper()
	for i := len(n.out) - 1; i >= 0; i-- {
		if r, ok := n.out[i].(Request); ok && r.To == to {
			return r
		}
	}
	t.Fatal("no request")
	return Request{}
}

// TestNoStartBeforeCommit: a placement is guarded on the leader lease, the job and the capacity it
// takes, and no start leaves before it is committed.
func TestNoStartBeforeCommit(t *testing.T) {
	t.Run(string(protocol.ShapeGang), func(t *testing.T) {
		checkNoStartBeforeCommit(t, protocol.ShapeGang, func(l *leader, job *cluster.Job) bool { return l.cycleFullyPlaces(job) })
	})
	t.Run(string(protocol.ShapeArray), func(t *testing.T) {
		checkNoStartBeforeCommit(t, protocol.ShapeArray, func(l *leader, job *cluster.Job) bool { return l.cycleFullyPlaces(job) })
	})
}

func checkNoStartBeforeCommit(t *testing.T, shape protocol.Shape, place func(*leader, *cluster.Job) bool) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	machine := l.testMachine("i-1", "big", "a")
	s := gangOf(2, 1)
	s.Shape = shape
	job := l.testJob(s)
	stamp := job.Records.Revisions[0]
	if !place(l, job) {
		t.Fatal("not placed")
	}
	if got := commandKinds(l.testHeartbeat(machine, l.n.election.Term())); got != "" {
		t.Fatalf("orders %q before the commit", got)
	}
	l.committer.Commit()
	r := l.n.lastRequest(t, ToStore)
	txn, _ := parse[protocol.Transaction](r.Body)
	guards := map[string]protocol.Revision{}
	for _, c := range txn.Conditions {
		guards[c.Key] = c.Revision
	}
	for key, want := range map[string]protocol.Revision{storage.LeaderKey: protocol.Revision(l.n.election.Term()), storage.JobKey(job.ID): stamp, machine.Record.Key: machine.Record.Revision} {
		if got, ok := guards[key]; !ok || got != want {
			t.Errorf("%s is guarded on %d (%v), want %d", key, got, ok, want)
		}
	}
	if got := commandKinds(l.testHeartbeat(machine, l.n.election.Term())); got != "" {
		t.Fatalf("orders %q during the commit", got)
	}
	l.n.handle(Response{ID: r.ID, Status: 200, Body: []byte(`{"ledger":99}`)})
	if direct := l.n.lastRequest(t, ToAgent); strings.Count(string(direct.Body), `"start"`) != 2 {
		t.Errorf("sent at once after it: %s", direct.Body)
	}
	if got := commandKinds(l.testHeartbeat(machine, l.n.election.Term())); got != "" {
		t.Errorf("orders %q while the same are on their way", got)
	}
	l.n.now = l.n.now.Add(tuning.DirectStartSettleTime)
	if got := commandKinds(l.testHeartbeat(machine, l.n.election.Term())); got != "start start " {
		t.Errorf("orders %q after it", got)
	}
}

// TestSubmissionIsRefusedWhenBudgetIsSpent: a submission of the largest job for which the budget is
// too small is refused at once, with a time to come back, and not held.
func TestSubmissionIsRefusedWhenBudgetIsSpent(t *testing.T) {
	n := testLeader(time.Unix(1_800_000_000, 0)).n
	n.mirror.BeginLoad()
	n.mirror.LoadPage(&protocol.Entries{Revision: 1})
	n.storeAccess.lastServedAt = n.now
	for _, spent := range []bool{false, true} {
		if spent {
			n.budgets.users.AllowN(n.now, n.budgets.users.Burst()-1)
			n.budgets.relay.AllowN(n.now, n.budgets.relay.Burst())
		}
		s := gangOf(protocol.MaxTasks, 0)
		s.ID, s.Priority, s.Shape = "run-000001", "normal", protocol.ShapeArray
		n.out = nil
		n.handle(Submit{ID: 5, Job: &s})
		if !spent {
			n.lastRequest(t, ToStore)
			continue
		}
		if len(n.out) != 1 {
			t.Fatalf("%d actions", len(n.out))
		}
		r, ok := n.out[0].(Reply)
		if !ok || r.Status != 503 || r.RetryAfter <= 0 {
			t.Errorf("%+v", n.out[0])
		}
	}
}

// TestRequestIDsDifferAcrossRestarts: a process that is back at once numbers its requests
// apart from those of its earlier life, whose answers may still come.
func TestRequestIDsDifferAcrossRestarts(t *testing.T) {
	cfg := testLeader(time.Unix(1_800_000_000, 0)).n.cfg
	seen := map[uint64]bool{}
	for seed := range uint64(50) {
		n := New(cfg, slog.New(slog.DiscardHandler), seed, "boot")
		for range 1000 {
			n.nextID++
			if seen[n.nextID] {
				t.Fatal("a number of an earlier life")
			}
			seen[n.nextID] = true
		}
	}
}
