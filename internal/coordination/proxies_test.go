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

// connect makes a link to a peer that says so of itself.
func (n *Node) connect(name protocol.NodeName, status protocol.PeerStatus) {
	n.peers.LinkUp(name)
	n.peers.Receive(name, 1, status)
}

// connectTwoPeers adds two peers that are linked to each other and to the node.
func (n *Node) connectTwoPeers() {
	n.cfg.Peers = []config.Peer{{Name: "o"}, {Name: "p"}}
	for _, s := range n.cfg.Peers {
		n.peers.Add(s.Name)
		n.connect(s.Name, protocol.PeerStatus{Links: []protocol.NodeName{"n", "x"}})
	}
}

// connectedFollower is one of three nodes, each linked to the others, while "a" leads
// and keeps so many of a thousand agents.
func connectedFollower(name protocol.NodeName, keeps uint64) *Node {
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
			status.DirectShare, status.Links = keeps, []protocol.NodeName{"b", "c"}
		}
		n.connect(s.Name, status)
	}
	return n
}

// heartbeatOutcome tells what becomes of a machine's heartbeat at a node: where the agent
// is sent, "forwarded", or the status.
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

// TestLeaderRedirectsAgentsToProxies: a leader whose share of a core pays for some of
// its agents sends the others to their proxies, once; one that
// comes back is answered. A large share keeps all.
func TestLeaderRedirectsAgentsToProxies(t *testing.T) {
	for cores, sends := range map[float64]bool{0.018: true, 0.24: false} {
		l := testLeader(time.Unix(1_800_000_000, 0))
		n := l.n
		n.cfg.Cluster.Process.Cores = cores
		n.connectTwoPeers()
		for i := range 300 {
			l.testMachine(protocol.MachineID(fmt.Sprintf("i-%06d", i)), "big", "a")
		}
		away := 0
		for i := range 300 {
			m := protocol.MachineID(fmt.Sprintf("i-%06d", i))
			switch got := heartbeatOutcome(n, m); got {
			case "200":
			case "o", "p":
				away++
				if got := heartbeatOutcome(n, m); got != "200" {
					t.Fatalf("%s came back and has %s", m, got)
				}
			default:
				t.Fatalf("%s: %s", m, got)
			}
		}
		if sends != (away > 0) || away > 290 {
			t.Errorf("on %v of a core %d of 300 agents are redirected", cores, away)
		}
	}
}

// TestHeartbeatsAreAnsweredByNextLeader: while nobody leads, agents' heartbeats wait for the
// next leader instead of going round the nodes, but not for longer than an agent
// waits.
func TestHeartbeatsAreAnsweredByNextLeader(t *testing.T) {
	b := connectedFollower("b", 0)
	b.election.ObserveRelease()
	// A node that has just started takes a peer's confirmation.
	if got := heartbeatOutcome(b, "i-1"); got != "a" {
		t.Fatalf("a peer knows the leader: %s", got)
	}
	b.connect("a", protocol.PeerStatus{Term: 9, Links: []protocol.NodeName{"b", "c"}})
	b.connect("c", protocol.PeerStatus{Term: 9, Links: []protocol.NodeName{"x", "y"}})
	if got := heartbeatOutcome(b, "i-1"); got != "queued" {
		t.Fatalf("without a leader: %s", got)
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
					t.Errorf("%d after %v", r.Status, d)
				}
				return
			}
		}
	}
	t.Error("never answered")
}

// TestCommandsAreDelegatedToProxies: where agents have proxies, their commands go by way of the
// peers; an answer ends the call, none in time counts as lost, and while a link
// is missing, and for probes, the leader calls itself.
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
	send := func(call func(done func(agents.CallResult))) (action Action, ended *agents.CallOutcome) {
		n.out = nil
		ended = new(agents.CallOutcome)
		*ended = pending
		call(func(result agents.CallResult) { *ended = result.Outcome })
		return n.out[len(n.out)-1], ended
	}
	commands := func(done func(agents.CallResult)) {
		l.agents.Calls.SendCommands(machine, protocol.CommandBatch{FencingToken: 7}, done)
	}
	probe := func(done func(agents.CallResult)) { l.agents.Calls.RequestHeartbeat(machine, done) }
	a, ended := send(commands)
	toPeer, ok := a.(PeerSend)
	if !ok {
		t.Fatalf("commands leave as %T", a)
	}
	call := toPeer.Message.(protocol.PeerAgentCall)
	n.deliver(protocol.PeerResponse{ID: call.ID, Target: "n", Status: 200, Body: []byte("{}")})
	if *ended != agents.Executed || l.agents.Calls.InFlight != 0 {
		t.Errorf("answered 200: ended with %d, %d under way", *ended, l.agents.Calls.InFlight)
	}
	_, ended = send(commands)
	n.Step(n.now.Add(tuning.ProbeTimeout+tuning.DelegatedCallMargin+tuning.MinTimerInterval), nil)
	if *ended != agents.NoResponse || l.agents.Calls.InFlight != 0 {
		t.Errorf("not answered: ended with %d, %d under way", *ended, l.agents.Calls.InFlight)
	}
	if a, _ := send(probe); a.(Request).To != ToAgent {
		t.Errorf("a probe leaves as %+v", a)
	}
	n.peers.LinkDown("p")
	if a, _ := send(commands); a.(Request).To != ToAgent {
		t.Errorf("with a link missing commands leave as %+v", a)
	}
	// The peer's part.
	b := connectedFollower("b", 0)
	b.out = nil
	b.deliver(protocol.PeerAgentCall{ID: 5, Origin: "a", Address: "h:1", Body: []byte(`{"x":1}`)})
	r := b.out[0].(Request)
	if r.To != ToAgent || r.Address != "h:1" || string(r.Body) != `{"x":1}` {
		t.Fatalf("sent to the agent: %+v", r)
	}
	b.handle(Response{ID: r.ID, Status: 409, Body: []byte("{}")})
	back := b.out[len(b.out)-1].(PeerSend)
	if got := back.Message.(protocol.PeerResponse); back.Peer != "a" || got.ID != 5 || got.Status != 409 {
		t.Errorf("the answer goes back as %+v", back)
	}
}
