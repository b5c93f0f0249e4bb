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

// Each of these tests covers one safety rule. Whole simulation runs rarely reach the states in
// which a violation of the rule would show.

// testHeartbeat lets the leader accept a heartbeat of a machine's agent and returns the commands in
// the response.
func (l *leader) testHeartbeat(machine *cluster.Machine, token protocol.Term, tasks ...protocol.TaskStatus) []protocol.Command {
	return l.agents.Heartbeats.Accept(&protocol.Heartbeat{Machine: machine.ID, Address: "h:1", Type: machine.TypeName, Zone: machine.Zone, Spot: machine.Spot,
		Incarnation: 1, Sequence: machine.Agent.Sequence + 1, FencingToken: token, Tasks: tasks}).Commands
}

// commandKinds returns the kinds of the commands, each followed by a space.
func commandKinds(cmds []protocol.Command) (s string) {
	for _, c := range cmds {
		s += string(c.Kind) + " "
	}
	return s
}

// lastRequest returns the latest request to an external system.
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

// TestNoStartBeforeCommit: the transaction that stores a placement has conditions on the leader
// lease, the job's main record and the machine record, which stands for the capacity that the
// placement takes. No start command is sent before the transaction is committed.
func TestNoStartBeforeCommit(t *testing.T) {
	t.Run(string(protocol.ShapeGang), func(t *testing.T) {
		checkNoStartBeforeCommit(t, protocol.ShapeGang, func(l *leader, job *cluster.Job) bool { return l.cycleFullyPlaces(job) })
	})
	t.Run(string(protocol.ShapeArray), func(t *testing.T) {
		checkNoStartBeforeCommit(t, protocol.ShapeArray, func(l *leader, job *cluster.Job) bool { return l.cycleFullyPlaces(job) })
	})
}

func checkNoStartBeforeCommit(t *testing.T, shape protocol.Shape, fullyPlace func(*leader, *cluster.Job) bool) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	machine := l.testMachine("i-1", "big", "a")
	s := gangOf(2, 1)
	s.Shape = shape
	job := l.testJob(s)
	revision := job.Records.Revisions[0]
	if !fullyPlace(l, job) {
		t.Fatal("not placed")
	}
	if got := commandKinds(l.testHeartbeat(machine, l.n.election.Term())); got != "" {
		t.Fatalf("commands %q before the commit", got)
	}
	l.committer.Commit()
	r := l.n.lastRequest(t, ToStore)
	txn, _ := parse[protocol.Transaction](r.Body)
	conditions := map[string]protocol.Revision{}
	for _, c := range txn.Conditions {
		conditions[c.Key] = c.Revision
	}
	for key, want := range map[string]protocol.Revision{storage.LeaderKey: protocol.Revision(l.n.election.Term()), storage.JobKey(job.ID): revision, machine.Record.Key: machine.Record.Revision} {
		if got, ok := conditions[key]; !ok || got != want {
			t.Errorf("the condition on %s has revision %d (%v), want %d", key, got, ok, want)
		}
	}
	if got := commandKinds(l.testHeartbeat(machine, l.n.election.Term())); got != "" {
		t.Fatalf("commands %q during the commit", got)
	}
	l.n.handle(Response{ID: r.ID, Status: 200, Body: []byte(`{"ledger":99}`)})
	if direct := l.n.lastRequest(t, ToAgent); strings.Count(string(direct.Body), `"start"`) != 2 {
		t.Errorf("sent directly after the commit: %s, want two starts", direct.Body)
	}
	if got := commandKinds(l.testHeartbeat(machine, l.n.election.Term())); got != "" {
		t.Errorf("commands %q while direct starts may still arrive", got)
	}
	l.n.now = l.n.now.Add(tuning.DirectStartSettleTime)
	if got := commandKinds(l.testHeartbeat(machine, l.n.election.Term())); got != "start start " {
		t.Errorf("commands %q after the commit, want two starts", got)
	}
}

// TestSubmissionIsRefusedWhenBudgetIsSpent: a submission that the write budget does not allow, here
// of the largest job, is refused at once with a Retry-After time. It is not queued.
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
			t.Fatalf("%d actions, want one reply", len(n.out))
		}
		r, ok := n.out[0].(Reply)
		if !ok || r.Status != 503 || r.RetryAfter <= 0 {
			t.Errorf("%+v", n.out[0])
		}
	}
}

// TestRequestIDsDifferAcrossRestarts: a process that is restarted at once uses other request IDs
// than the earlier process, because responses to that process may still arrive.
func TestRequestIDsDifferAcrossRestarts(t *testing.T) {
	cfg := testLeader(time.Unix(1_800_000_000, 0)).n.cfg
	seen := map[uint64]bool{}
	for seed := range uint64(50) {
		n := New(cfg, slog.New(slog.DiscardHandler), seed, "boot")
		for range 1000 {
			n.nextID++
			if seen[n.nextID] {
				t.Fatal("a request ID was used by an earlier process")
			}
			seen[n.nextID] = true
		}
	}
}
