package coordination

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// connect makes a link to a peer, on which the peer sends this status.
func (n *Node) connect(name protocol.NodeName, status protocol.PeerStatus) {
	n.peers.LinkUp(name)
	n.peers.Receive(name, 1, status)
}

// connectTwoPeers adds two peers that have links to each other and to the node.
func (n *Node) connectTwoPeers() {
	n.cfg.Peers = []config.Peer{{Name: "o"}, {Name: "p"}}
	for _, s := range n.cfg.Peers {
		n.peers.Add(s.Name)
		n.connect(s.Name, protocol.PeerStatus{Links: []protocol.NodeName{"n", "x"}})
	}
}

// connectedFollower returns one of the three nodes a, b and c, which all have links to each other.
// Node a leads, and this many of a thousand agents send their heartbeats to it directly.
func connectedFollower(name protocol.NodeName, directShare uint64) *Node {
	cfg := &config.Config{Name: name, Operator: tuning.Defaults()}
	for _, s := range []protocol.NodeName{"a", "b", "c"} {
		if s != name {
			cfg.Peers = append(cfg.Peers, config.Peer{Name: s})
		}
	}
	n := New(cfg, slog.New(slog.DiscardHandler), 1, "boot")
	n.now = time.Unix(1_800_000_000, 0)
	n.election.ObserveLease(storage.Encode(storage.LeaderLease{Node: "a"}), 9)
	for _, s := range cfg.Peers {
		status := protocol.PeerStatus{Term: 9, Leader: "a", Links: []protocol.NodeName{"x", "y"}}
		if s.Name == "a" {
			status.DirectShare, status.Links = directShare, []protocol.NodeName{"b", "c"}
		}
		n.connect(s.Name, status)
	}
	return n
}

// heartbeatOutcome returns what a node does with a machine's heartbeat: the target of a redirect,
// "forwarded to" and the peer, the status of any other reply, or "queued".
func heartbeatOutcome(n *Node, machineID protocol.MachineID) string {
	n.nextID++
	id := n.nextID
	n.out = nil
	n.router.Route(id, &protocol.Heartbeat{Machine: machineID, Incarnation: 1, Sequence: protocol.Sequence(id)})
	for _, a := range n.out {
		switch a := a.(type) {
		case Reply:
			if a.ID != id {
				continue
			}
			if r, _ := parse[protocol.Redirect](a.Body); a.Status == 421 {
				return string(r.Target)
			}
			return fmt.Sprint(a.Status)
		case PeerSend:
			return string("forwarded to " + a.Peer)
		}
	}
	return "queued"
}

// TestLeaderRedirectsAgentsToProxies: a leader whose share of a core suffices for only a part of
// the agents redirects the others to their proxies once. The heartbeat of an agent that comes back
// is accepted. With a large share no agent is redirected.
func TestLeaderRedirectsAgentsToProxies(t *testing.T) {
	for cores, redirects := range map[float64]bool{0.018: true, 0.24: false} {
		l := testLeader(time.Unix(1_800_000_000, 0))
		n := l.n
		n.cfg.Cluster.Process.Cores = cores
		n.connectTwoPeers()
		for i := range 300 {
			l.testMachine(protocol.MachineID(fmt.Sprintf("i-%06d", i)), "big", "a")
		}
		redirected := 0
		for i := range 300 {
			m := protocol.MachineID(fmt.Sprintf("i-%06d", i))
			switch got := heartbeatOutcome(n, m); got {
			case "200":
			case "o", "p":
				redirected++
				if got := heartbeatOutcome(n, m); got != "200" {
					t.Fatalf("%s came back: outcome %s, want 200", m, got)
				}
			default:
				t.Fatalf("%s: %s", m, got)
			}
		}
		if redirects != (redirected > 0) || redirected > 290 {
			t.Errorf("with %v cores %d of 300 agents are redirected", cores, redirected)
		}
	}
}

// TestHeartbeatsAreAnsweredByNextLeader: while there is no leader, agents' heartbeats wait for the
// next one, so that agents do not try one node after another. They wait no longer than an agent
// waits for a response.
func TestHeartbeatsAreAnsweredByNextLeader(t *testing.T) {
	b := connectedFollower("b", 0)
	b.election.ObserveRelease()
	// A node that has not loaded the records relies on peers for who leads.
	if got := heartbeatOutcome(b, "i-1"); got != "a" {
		t.Fatalf("a peer knows the leader: %s, want a redirect to a", got)
	}
	b.connect("a", protocol.PeerStatus{Term: 9, Links: []protocol.NodeName{"b", "c"}})
	b.connect("c", protocol.PeerStatus{Term: 9, Links: []protocol.NodeName{"x", "y"}})
	if got := heartbeatOutcome(b, "i-1"); got != "queued" {
		t.Fatalf("without a leader: %s, want queued", got)
	}
	at := b.now
	b.election.ObserveLease(storage.Encode(storage.LeaderLease{Node: "a"}), 10)
	forwarded := false
	for _, a := range b.Step(at.Add(time.Second), nil) {
		if p, ok := a.(PeerSend); ok {
			if r, ok := p.Message.(protocol.PeerForwardedHeartbeat); ok && r.Heartbeat.Machine == "i-1" {
				forwarded = true
			}
		}
	}
	if !forwarded {
		t.Error("the heartbeat that waited is not forwarded to the new leader")
	}
	b.election.ObserveRelease()
	heartbeatOutcome(b, "i-2")
	id := b.nextID
	for d := time.Duration(0); d <= tuning.HeartbeatForwardTimeout+time.Second; d += tuning.MinTimerInterval {
		for _, a := range b.Step(at.Add(time.Second+d), nil) {
			if r, ok := a.(Reply); ok && r.ID == id {
				if r.Status != 503 || d > 4*time.Second {
					t.Errorf("status %d after %v, want 503 within 4 s", r.Status, d)
				}
				return
			}
		}
	}
	t.Error("no reply")
}

// TestCommandsAreDelegatedToProxies: if agents have proxies, the leader sends commands through the
// peers. A response ends the call. A call without a response in time has the outcome unknown. The
// leader itself calls agents for probes, and for commands while a link between nodes is missing.
func TestCommandsAreDelegatedToProxies(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	n := l.n
	n.cfg.Cluster.Process.Cores = 0.001
	n.connectTwoPeers()
	for i := range 60 {
		l.testMachine(protocol.MachineID(fmt.Sprintf("i-%06d", i)), "big", "a")
	}
	machine := l.cluster.OrderedMachines[0]
	pending := agents.CallOutcome(-1)
	send := func(call func(done func(agents.CallResult))) (action Action, outcome *agents.CallOutcome) {
		n.out = nil
		outcome = new(agents.CallOutcome)
		*outcome = pending
		call(func(result agents.CallResult) { *outcome = result.Outcome })
		return n.out[len(n.out)-1], outcome
	}
	commands := func(done func(agents.CallResult)) {
		l.agents.Calls.SendCommands(machine, protocol.CommandBatch{FencingToken: 7}, done)
	}
	probe := func(done func(agents.CallResult)) { l.agents.Calls.RequestHeartbeat(machine, done) }
	a, outcome := send(commands)
	toPeer, ok := a.(PeerSend)
	if !ok {
		t.Fatalf("commands are sent as %T, want a delegated call", a)
	}
	call := toPeer.Message.(protocol.PeerAgentCall)
	n.deliver(protocol.PeerResponse{ID: call.ID, Target: "n", Status: 200, Body: []byte("{}")})
	if *outcome != agents.Executed || l.agents.Calls.InFlight != 0 {
		t.Errorf("response 200: outcome %d, %d calls in flight", *outcome, l.agents.Calls.InFlight)
	}
	_, outcome = send(commands)
	n.Step(n.now.Add(tuning.ProbeTimeout+tuning.DelegatedCallMargin+tuning.MinTimerInterval), nil)
	if *outcome != agents.NoResponse || l.agents.Calls.InFlight != 0 {
		t.Errorf("no response: outcome %d, %d calls in flight", *outcome, l.agents.Calls.InFlight)
	}
	if a, _ := send(probe); a.(Request).To != ToAgent {
		t.Errorf("a probe is sent as %+v", a)
	}
	n.peers.LinkDown("p")
	if a, _ := send(commands); a.(Request).To != ToAgent {
		t.Errorf("with a link missing commands are sent as %+v", a)
	}
	// The peer calls the agent and returns its response.
	b := connectedFollower("b", 0)
	b.out = nil
	b.deliver(protocol.PeerAgentCall{ID: 5, Origin: "a", Address: "h:1", Body: []byte(`{"x":1}`)})
	r := b.out[0].(Request)
	if r.To != ToAgent || r.Address != "h:1" || string(r.Body) != `{"x":1}` {
		t.Fatalf("sent to the agent: %+v", r)
	}
	b.handle(Response{ID: r.ID, Status: 409, Body: []byte("{}")})
	sent := b.out[len(b.out)-1].(PeerSend)
	if got := sent.Message.(protocol.PeerResponse); sent.Peer != "a" || got.ID != 5 || got.Status != 409 {
		t.Errorf("the response is returned as %+v", sent)
	}
}
