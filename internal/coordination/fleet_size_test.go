package coordination

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// countRequests counts the requests to an external system among a step's actions, and those of them
// with the given path.
func countRequests(out []Action, to Target, path string) (all, withPath int) {
	for _, a := range out {
		if r, ok := a.(Request); ok && r.To == to {
			all++
			if r.Path == path {
				withPath++
			}
		}
	}
	return all, withPath
}

// TestNewLeaderPacesAgentCalls: a new leader of two thousand machines calls agents no faster than
// its share of a core allows, and renews its leader lease meanwhile. A leader that calls all agents
// at once does not renew its lease in time and is replaced, and the same then happens to each new
// one.
func TestNewLeaderPacesAgentCalls(t *testing.T) {
	l := fullFleet(0)
	n := l.n
	n.cfg.Cluster.Process = largeProcessLimits
	l.agents.Calls.Limiter = agents.NewLimiter(largeProcessLimits)
	for _, machine := range l.cluster.OrderedMachines {
		machine.Agent.Heard, machine.Agent.TokenConfirmed, machine.Agent.LastHeartbeat = false, false, time.Time{}
	}
	start := n.now
	calls, renewals := 0, 0
	inFlight := map[uint64]time.Time{}
	for n.now.Sub(start) < 5*time.Second {
		var events []Event
		for id, at := range inFlight {
			if n.now.Sub(at) >= tuning.ProbeTimeout {
				delete(inFlight, id)
				events = append(events, Response{ID: id}) // no agent responds
			}
		}
		out := n.Step(n.now.Add(tuning.MinTimerInterval), events)
		for _, a := range out {
			r, ok := a.(Request)
			switch {
			case ok && r.To == ToAgent:
				calls++
				inFlight[r.ID] = n.now
			case ok && r.Path == protocol.RenewPath(testLease):
				renewals++
				n.pending[r.ID](200, nil)
			}
		}
		if limit := int(float64(largeProcessLimits.FDLimit) * tuning.AgentCallConnectionShare); len(inFlight) > limit {
			t.Fatalf("%d calls in flight", len(inFlight))
		}
	}
	maxCalls := 5*largeProcessLimits.Cores*tuning.AgentCallCPUShare/tuning.AgentCallCPUCost.Seconds() + float64(l.agents.Calls.Limiter.Burst())
	if calls == 0 || float64(calls) > maxCalls {
		t.Errorf("%d calls in 5 s, want 1 to %v", calls, maxCalls)
	}
	if renewals < 4 {
		t.Errorf("%d renewals in 5 s, want at least 4", renewals)
	}
}

// TestProbesLeaveCallsForCommands: however many silent machines are probed, half of the concurrent
// calls are left for commands.
func TestProbesLeaveCallsForCommands(t *testing.T) {
	l := fullFleet(0)
	l.n.cfg.Cluster.Process = largeProcessLimits
	l.agents.Calls.Limiter = agents.NewLimiter(largeProcessLimits)
	l.cluster.LeadingSince = l.n.now.Add(-time.Minute)
	for _, machine := range l.cluster.OrderedMachines[1:] {
		machine.Agent.LastHeartbeat = l.n.now.Add(-time.Minute)
	}
	l.agents.Liveness.Tick()
	probes, _ := countRequests(l.n.out, ToAgent, protocol.PathInspect)
	if sockets := int(float64(largeProcessLimits.FDLimit) * tuning.AgentCallConnectionShare); probes == 0 || probes > sockets/2 {
		t.Fatalf("%d probes at once", probes)
	}
	for _, attempt := range cluster.SortedAttemptsOn(l.cluster.OrderedMachines[0]) {
		l.lifecycle.Stop(attempt, 0)
	}
	l.agents.Delivery.SendPending()
	if _, commandCalls := countRequests(l.n.out, ToAgent, protocol.PathCommands); commandCalls != 1 {
		t.Errorf("%d command calls are sent, want 1", commandCalls)
	}
}

// TestNoCoreLimitAndFewWrites: calls to agents are not paced if the settings limit no CPU
// time, and with two writes a second the end of a job is still stored.
func TestNoCoreLimitAndFewWrites(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	if !l.agents.Calls.MaySendCommands() || !l.agents.Calls.MayProbe() {
		t.Error("agents may not be called")
	}
	n := l.n
	n.cfg.Cluster.Store.WriteRPS = 2
	n.budgets = newStoreBudgets(n.cfg)
	job := l.testJob(gangOf(1, 1))
	l.lifecycle.MarkDone(job, 0)
	for range 30 {
		n.now = n.now.Add(tuning.MinTimerInterval)
		l.committer.Commit()
	}
	_, writes := countRequests(n.out, ToStore, protocol.PathTransactions)
	if txn, _ := l.lastTransaction(t); writes != 1 || !l.committer.InFlight() || txn.Changes[0].Set != storage.FinalRecordKey(job.ID) {
		t.Errorf("%d transactions, want one that writes the end of the job", writes)
	}
}

// TestWritesOfOthersReduceBudget: the leader's decisions may use what other processes leave of the
// store's write limit. The leader counts writes of others when its watch shows them, and its own
// writes when it sends them.
func TestWritesOfOthersReduceBudget(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	n := l.n
	available := func() int { return int(n.budgets.writes.TokensAt(n.now) + 0.5) }
	before := available()
	watch := protocol.WatchResponse{Revision: 90}
	for i, writer := range []string{n.uniqueName(), "other-1", "other-2"} {
		s := gangOf(1, 1)
		s.ID, s.Priority = protocol.JobID(fmt.Sprintf("run-%06d", 50+i)), "high"
		watch.Events = append(watch.Events, protocol.WatchEvent{Set: storage.JobKey(s.ID), Revision: protocol.Revision(80 + i),
			Value: storage.Encode(storage.Job{Writer: writer, Spec: &s, TasksPerBaseRecord: 60})})
	}
	n.mirror.BeginLoad()
	n.mirror.LoadPage(&protocol.Entries{Revision: 70})
	n.mirror.Tick()
	n.handle(Response{ID: n.lastRequest(t, ToStore).ID, Status: 200, Body: storage.Encode(watch)})
	if got := before - available(); got != 2 {
		t.Errorf("%d writes counted, want the two by others and not its own", got)
	}
}

// TestPausedLeaderWaitsForLeaseRenewal: a leader whose process was paused for seconds, while its
// clocks continued to run, accepts no heartbeat, sends no command and writes nothing before
// its leader lease is renewed. If the lease must have expired during the pause, it steps down.
func TestPausedLeaderWaitsForLeaseRenewal(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	n := l.n
	machine := l.testMachine("i-1", "big", "a")
	heartbeat := func(id uint64) Event {
		machine.Agent.Sequence++
		return AgentHeartbeat{ID: id, Heartbeat: &protocol.Heartbeat{Machine: machine.ID, Address: "h:1", Type: "big", Zone: "a", Incarnation: 1, Sequence: machine.Agent.Sequence + 10, FencingToken: n.election.Term()}}
	}
	status := func(out []Action, id uint64) int {
		for _, a := range out {
			if r, ok := a.(Reply); ok && r.ID == id {
				return r.Status
			}
		}
		return 0
	}
	n.Step(n.now.Add(tuning.MinTimerInterval), nil)
	job := l.testJob(gangOf(1, 1))
	l.schedulingRequested = true
	out := n.Step(n.now.Add(10*time.Second), []Event{heartbeat(1)})
	if got := status(out, 1); got != 503 {
		t.Errorf("status %d for the heartbeat that waited during the pause, want 503", got)
	}
	if calls, _ := countRequests(out, ToAgent, ""); calls > 0 {
		t.Errorf("%d calls to agents", calls)
	}
	// It may send transactions without changes, which ask for the store's revision.
	for _, a := range out {
		var txn protocol.Transaction
		if r, ok := a.(Request); ok && r.Path == protocol.PathTransactions && (json.Unmarshal(r.Body, &txn) != nil || len(txn.Changes) > 0) {
			t.Errorf("writes before the renewal: %s", r.Body)
		}
	}
	if len(job.Attempts) > 0 {
		t.Errorf("%d tasks placed", len(job.Attempts))
	}
	_, renewals := countRequests(out, ToLeaderLease, protocol.RenewPath(testLease))
	if renewals != 1 {
		t.Fatalf("%d renewals", renewals)
	}
	renew := Request{}
	for _, a := range out {
		if r, ok := a.(Request); ok && r.Path == protocol.RenewPath(testLease) {
			renew = r
		}
	}
	out = n.Step(n.now.Add(time.Millisecond), []Event{Response{ID: renew.ID, Status: 200}, heartbeat(2)})
	if got := status(out, 2); got != 200 || !n.mayAct() {
		t.Errorf("status %d for a heartbeat after the renewal, want 200", got)
	}
	n.Step(n.now.Add(n.election.LeaseTTL()+n.election.LeaderGrace()+time.Second), nil)
	if n.Leading() {
		t.Error("leads although its leader lease has expired")
	}
}

// TestForwardedAgentIsRedirectedAgain: heartbeats of an agent that cannot reach the leader are
// forwarded for a limited time. Then the agent is redirected to the leader again, or at once when
// there is another leader.
func TestForwardedAgentIsRedirectedAgain(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	n := l.n
	n.election.StepDown("a test")
	peers := []protocol.NodeName{"first", "second"}
	for _, name := range peers {
		n.peers.Add(name)
	}
	setLeader := func(name protocol.NodeName, revision protocol.Revision) {
		n.election.ObserveLease(storage.Encode(storage.LeaderLease{Node: name}), revision)
	}
	sequence := uint64(0)
	sendHeartbeat := func(after time.Duration) string {
		sequence++
		var events []Event
		for _, name := range peers {
			events = append(events, PeerLinkUp{Peer: name}, PeerReceive{Peer: name, Link: 1, Message: protocol.PeerStatus{Term: n.election.HolderTerm(),
				Leader: n.election.Holder(), DirectShare: tuning.DirectShareScale, Links: []protocol.NodeName{"first", "second"}}})
		}
		out := n.Step(n.now.Add(after), append(events, AgentHeartbeat{ID: sequence, Heartbeat: &protocol.Heartbeat{Machine: "i-1", Incarnation: 1, Sequence: protocol.Sequence(sequence)}}))
		for _, a := range out {
			switch a := a.(type) {
			case Reply:
				if a.ID == sequence {
					return fmt.Sprint(a.Status)
				}
			case PeerSend:
				if _, ok := a.Message.(protocol.PeerForwardedHeartbeat); ok {
					return string("forwarded to " + a.Peer)
				}
			}
		}
		return "nothing"
	}
	setLeader("first", 20)
	for i, step := range []struct {
		after time.Duration
		want  string
	}{
		{time.Second, "421"}, {5 * time.Second, "forwarded to first"}, {5 * time.Second, "forwarded to first"},
		{tuning.RedirectRetention, "421"}, {5 * time.Second, "forwarded to first"},
	} {
		if got := sendHeartbeat(step.after); got != step.want {
			t.Errorf("heartbeat %d: %s, want %s", i, got, step.want)
		}
	}
	setLeader("second", 21)
	if got := sendHeartbeat(time.Second); got != "421" {
		t.Errorf("with another leader: %s, want 421", got)
	}
}

// TestLeaseIsRenewedBeforeFailover: a node that has acquired the leader lease renews it before it
// loads the records, which takes a small controller a second. It runs no scheduling cycle in the
// step in which it loads them.
func TestLeaseIsRenewedBeforeFailover(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	n := l.n
	n.election.StepDown("a test")
	n.mirror.BeginLoad()
	n.mirror.LoadPage(&protocol.Entries{Revision: 1})
	n.election.ObserveRelease()
	n.now = n.now.Add(time.Second)
	request := func(out []Action, path string) Request {
		t.Helper()
		for _, a := range out {
			if r, ok := a.(Request); ok && r.Path == path {
				return r
			}
		}
		t.Fatalf("no request to %s", path)
		return Request{}
	}
	out := n.Step(n.now, nil)
	grant := request(out, protocol.PathLeases)
	out = n.Step(n.now, []Event{Response{ID: grant.ID, Status: 200, Body: []byte(`{"permit":5}`)}})
	claim := request(out, protocol.PathTransactions)
	n.election.ObserveLease(storage.Encode(storage.LeaderLease{Node: "n"}), 9)
	out = n.Step(n.now, []Event{Response{ID: claim.ID, Status: 200, Body: []byte(`{"ledger":9}`)}})
	renewal := request(out, protocol.RenewPath(5))
	if n.Leading() {
		t.Fatal("leads before its lease was renewed")
	}
	out = n.Step(n.now, []Event{AgentHeartbeat{ID: 77, Heartbeat: &protocol.Heartbeat{Machine: "i-1", Incarnation: 1, Sequence: 1}}})
	for _, a := range out {
		if r, ok := a.(Reply); ok {
			t.Fatalf("status %d for a heartbeat before the renewal, want no reply", r.Status)
		}
	}
	n.Step(n.now.Add(10*time.Millisecond), []Event{Response{ID: renewal.ID, Status: 200, Body: []byte(`{}`)}})
	if !n.Leading() || !n.mayAct() || n.ownLeader.nextCycleAt != (time.Time{}) {
		t.Fatalf("leads %v, next scheduling cycle at %v", n.Leading(), n.ownLeader.nextCycleAt)
	}
	answered := false
	for _, a := range n.Step(n.now.Add(tuning.MinTimerInterval), nil) {
		if r, ok := a.(Reply); ok && r.ID == 77 {
			answered = r.Status == 200
		}
	}
	if !answered {
		t.Error("no reply with status 200 to the heartbeat that waited")
	}
}
