package membership

import (
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// controller is one of three controllers. What it sends and replies is recorded in order.
type controller struct {
	*Peers
	*Forwarder
	*HeartbeatRouter
	now           time.Time
	lastID        uint64
	holder        protocol.NodeName
	term          protocol.Term
	loaded        bool
	noRelayBudget bool
	storeServedAt time.Time
	log           []string
	sent          []protocol.PeerMessage
	delivered     []protocol.PeerMessage
	calls         []pendingCall
}

type pendingCall struct {
	kv.Call
	done func(status int, body []byte)
}

// newController returns a controller that may use this share of a core, 0 for no limit. It has
// links to the other two, which are linked to each other. "a" leads under term 9 and responds to
// directShare of every 1000 agents itself.
func newController(t *testing.T, cores float64, name protocol.NodeName, directShare uint64) *controller {
	t.Helper()
	cfg := &config.Config{Name: name, Operator: tuning.Defaults()}
	cfg.Cluster.Process.Cores = cores
	cfg.Cluster.Store = config.StoreLimits{RPS: 80, WriteRPS: 15, ValueKB: 8, TxnOps: 12}
	for _, peer := range []protocol.NodeName{"a", "b", "c"} {
		if peer != name {
			cfg.Peers = append(cfg.Peers, config.Peer{Name: peer})
		}
	}
	c := &controller{now: time.Unix(1_800_000_000, 0), holder: "a", term: 9}
	c.Peers = NewPeers(cfg, slog.New(slog.DiscardHandler), kv.New(c), c)
	c.Forwarder = NewForwarder(name, c.Peers, c)
	c.HeartbeatRouter = NewHeartbeatRouter(cfg, c.Peers, c.Forwarder, c, c)
	for _, peer := range cfg.Peers {
		status := protocol.PeerStatus{Term: 9, Leader: "a", Links: []protocol.NodeName{"x", "y"}}
		if peer.Name == "a" {
			status.DirectShare, status.Links = directShare, []protocol.NodeName{"b", "c"}
		}
		c.connect(peer.Name, status)
	}
	return c
}

// connect sets up a link to a peer, which sends this status.
func (c *controller) connect(name protocol.NodeName, status protocol.PeerStatus) {
	c.LinkUp(name)
	c.Receive(name, 1, status)
}

func (c *controller) record(format string, a ...any) {
	c.log = append(c.log, fmt.Sprintf(format, a...))
}

func (c *controller) CallStore(call kv.Call, done func(status int, body []byte)) {
	c.calls = append(c.calls, pendingCall{call, done})
}
func (c *controller) Now() time.Time           { return c.now }
func (c *controller) UniqueName() string       { return fmt.Sprint("n-", c.NextID()) }
func (c *controller) NextID() uint64           { c.lastID++; return c.lastID }
func (c *controller) StoreServedAt() time.Time { return c.storeServedAt }
func (c *controller) TakeRelayWrite() bool     { return !c.noRelayBudget }
func (c *controller) Deliver(message protocol.PeerMessage) {
	c.delivered = append(c.delivered, message)
}
func (c *controller) ResetLink(peer protocol.NodeName)        { c.record("reset %s", peer) }
func (c *controller) Leading() bool                           { return false }
func (c *controller) Holder() protocol.NodeName               { return c.holder }
func (c *controller) HolderTerm() protocol.Term               { return c.term }
func (c *controller) DirectShare() uint64                     { return tuning.DirectShareScale }
func (c *controller) RecordsLoaded() bool                     { return c.loaded }
func (c *controller) Answer(id uint64, _ *protocol.Heartbeat) { c.record("%d answered", id) }
func (c *controller) Redirect(id uint64, to protocol.NodeName) {
	c.record("%d redirected to %s", id, to)
}
func (c *controller) Refuse(id uint64, reason string) { c.record("%d refused: %s", id, reason) }
func (c *controller) Unavailable(id uint64, reason string) {
	c.record("%d unavailable: %s", id, reason)
}
func (c *controller) Forwarded(request ForwardedRequest, r protocol.PeerResponse) {
	c.record("%d got response %d", request.ID, r.Status)
}
func (c *controller) Send(peer protocol.NodeName, message protocol.PeerMessage) {
	c.sent = append(c.sent, message)
	c.record("%T to %s", message, peer)
}

const (
	forwardedToLeader = "protocol.PeerForwardedHeartbeat to a"
	redirectedToA     = "1 redirected to a"
	redirectedToB     = "1 redirected to b"
	redirectedToC     = "1 redirected to c"
)

// heartbeat routes a machine's heartbeat and returns what was done with it, "" if it waits.
func (c *controller) heartbeat(machineID protocol.MachineID) string {
	c.log = nil
	c.Route(1, &protocol.Heartbeat{Machine: machineID, Incarnation: 1, Sequence: 1})
	if len(c.log) == 0 {
		return ""
	}
	return c.log[0]
}

func machine(i int) protocol.MachineID { return protocol.MachineID(fmt.Sprintf("i-%06d", i)) }

// TestAgentsAreSpreadOverProxies: the leader responds to its direct share of the agents itself,
// and the other controllers are proxies for equal parts of the rest. All controllers redirect an
// agent to the same controller.
func TestAgentsAreSpreadOverProxies(t *testing.T) {
	b, c := newController(t, 0, "b", 250), newController(t, 0, "c", 250)
	count := map[string]int{}
	for i := range 2000 {
		m := machine(i)
		atB, atC := b.heartbeat(m), c.heartbeat(m)
		switch {
		case atB == redirectedToA && atC == redirectedToA:
			count["a"]++
		case atB == forwardedToLeader && atC == redirectedToB:
			count["b"]++
		case atB == redirectedToC && atC == forwardedToLeader:
			count["c"]++
		default:
			t.Fatalf("%s: %s at b, %s at c", m, atB, atC)
		}
		if atB == redirectedToC && b.heartbeat(m) != forwardedToLeader {
			t.Fatalf("%s cannot reach c, and b does not forward its heartbeat", m)
		}
	}
	if count["a"] < 400 || count["a"] > 600 || count["b"] < 650 || count["c"] < 650 {
		t.Errorf("agents by controller: %v", count)
	}
}

// TestAnyControllerActsAsProxyWhileLinkIsDown: while a link is down, every controller forwards
// the heartbeats that agents send to it. When an agent's proxy has lost its link to the leader, the
// agent is redirected to the leader itself, because third controllers and the store could carry the
// heartbeats of only some agents.
func TestAnyControllerActsAsProxyWhileLinkIsDown(t *testing.T) {
	b := newController(t, 0, "b", 0)
	var own, other protocol.MachineID
	for i := 0; own == "" || other == ""; i++ {
		if m := machine(i); b.ProxyFor(m, "a", 0) == "b" {
			own = m
		} else {
			other = m
		}
	}
	if got := b.heartbeat(own); got != forwardedToLeader {
		t.Fatalf("heartbeat of its own agent: %s", got)
	}
	b.LinkDown("c")
	if got := b.heartbeat(other); got != forwardedToLeader {
		t.Errorf("heartbeat of c's agent without a link to c: %s", got)
	}
	b.LinkDown("a")
	if got := b.heartbeat(own); got != redirectedToA {
		t.Errorf("heartbeat of its own agent without a link to the leader: %s", got)
	}
	if got := b.heartbeat(own); got == redirectedToA {
		t.Error("redirected to the leader again at once, although the agent came back")
	}
	if got := newController(t, 0, "b", tuning.DirectShareScale).heartbeat(own); got != redirectedToA {
		t.Errorf("heartbeat while the leader responds to all agents itself: %s", got)
	}
}

// TestHeartbeatsWaitForLeader: while no leader is known, heartbeats wait for the next
// leader, so that the agents need not try one controller after another. They wait no longer than
// an agent waits for its response.
func TestHeartbeatsWaitForLeader(t *testing.T) {
	b := newController(t, 0, "b", 0)
	b.holder, b.term = "", 0
	// A controller that has just started relies on what a peer knows.
	if got := b.heartbeat("i-1"); got != redirectedToA {
		t.Fatalf("heartbeat while a peer knows the leader: %s", got)
	}
	b.connect("a", protocol.PeerStatus{Term: 9, Links: []protocol.NodeName{"b", "c"}})
	b.connect("c", protocol.PeerStatus{Term: 9, Links: []protocol.NodeName{"x", "y"}})
	if got := b.heartbeat("i-1"); got != "" || b.Queued() != 1 {
		t.Fatalf("heartbeat without a leader: %s", got)
	}
	b.RouteQueued(false)
	if len(b.log) > 0 || b.Queued() != 1 {
		t.Fatalf("queued heartbeat without a leader, before its deadline: %s", b.log)
	}
	b.holder, b.term = "a", 10
	b.RouteQueued(false)
	if !slices.Equal(b.log, []string{forwardedToLeader}) || b.Queued() != 0 {
		t.Errorf("queued heartbeat with a new leader: %s", b.log)
	}
	b.holder, b.term = "", 0
	b.heartbeat("i-2")
	start := b.now
	for b.Queued() > 0 && b.now.Sub(start) < time.Minute {
		b.now = b.now.Add(tuning.MinTimerInterval)
		b.RouteQueued(true)
	}
	if waited := b.now.Sub(start); waited > tuning.HeartbeatForwardTimeout+tuning.MinTimerInterval || !slices.Equal(b.log, []string{"1 refused: no leader known"}) {
		t.Errorf("queued heartbeat without a leader after %v: %s", waited, b.log)
	}
}

// TestRedirectsAreRateLimited: after all controllers have been down, agents send their
// heartbeats to any controller. They are redirected to their proxies at a limited rate, and
// their heartbeats are forwarded until then.
func TestRedirectsAreRateLimited(t *testing.T) {
	const cores = 0.018
	b := newController(t, cores, "b", 250)
	redirected := 0
	for i := range 600 {
		if got := b.heartbeat(machine(i)); got == redirectedToA || got == redirectedToC {
			redirected++
		} else if got != forwardedToLeader {
			t.Fatalf("heartbeat %d: %s", i, got)
		}
	}
	if redirected != tuning.MaxRedirectBurst {
		t.Errorf("%d agents redirected at once", redirected)
	}
	more := 0
	for i := range 600 {
		if i%120 == 0 { // five times
			b.now = b.now.Add(time.Second)
			b.Receive("a", 1, protocol.PeerHello{Node: "a"})
			b.Receive("c", 1, protocol.PeerHello{Node: "c"})
		}
		if got := b.heartbeat(machine(1000 + i)); got == redirectedToA || got == redirectedToC {
			more++
		}
	}
	pause := config.ProcessLimits{Cores: cores}.ThrottleInterval(tuning.RedirectCPUCost, tuning.RedirectCPUShare)
	if want := int(5 / pause.Seconds()); more < want-1 || more > want+1 {
		t.Errorf("%d agents redirected in 5 s, want %d", more, want)
	}
}

// TestExpiredForwardsAreRefusedInOrder: requests that expire in the same step are refused in the
// order of their IDs. In the random order of a map, simulations with the same seed would differ.
func TestExpiredForwardsAreRefusedInOrder(t *testing.T) {
	for range 20 {
		b := newController(t, 0, "b", 0)
		b.connect("c", protocol.PeerStatus{HasStoreAccess: true})
		var want []string
		for id := range uint64(8) {
			if !b.ForwardRequest(100+id, protocol.PeerUserRequest{Job: "run-000001"}) {
				t.Fatal("not forwarded")
			}
			want = append(want, fmt.Sprintf("%d unavailable: leader does not answer", 100+id))
		}
		b.log = nil
		b.now = b.now.Add(tuning.UserRequestTimeout + time.Millisecond)
		b.Expire()
		if !slices.Equal(b.log, want) {
			t.Fatalf("%q, want %q", b.log, want)
		}
	}
}

// TestForwardedRequestIsAnsweredOnce: a peer's response is passed on once, for the request that
// was forwarded. The response to a request that a peer forwarded here goes to that peer, and the
// request is not forwarded again.
func TestForwardedRequestIsAnsweredOnce(t *testing.T) {
	b := newController(t, 0, "b", 0)
	if b.ForwardRequest(7, protocol.PeerUserRequest{}) {
		t.Error("forwarded though the store serves no peer")
	}
	b.connect("c", protocol.PeerStatus{HasStoreAccess: true})
	b.ForwardRequest(7, protocol.PeerUserRequest{Job: "run-000001"})
	request := b.sent[len(b.sent)-1].(protocol.PeerUserRequest)
	b.log = nil
	for range 2 {
		b.HandleResponse(protocol.PeerResponse{ID: request.ID, Target: "b", Status: http.StatusCreated})
	}
	if !slices.Equal(b.log, []string{"7 got response 201"}) {
		t.Errorf("replies %q", b.log)
	}
	id := b.ReceiveRequest(protocol.PeerUserRequest{ID: 33, Origin: "c"})
	if b.ForwardRequest(id, protocol.PeerUserRequest{}) {
		t.Error("a peer's request is forwarded again")
	}
	if !b.Respond(id, http.StatusOK, nil) || b.Respond(id, http.StatusOK, nil) || b.Respond(7, http.StatusOK, nil) {
		t.Error("not responded to exactly once")
	}
	if got := b.sent[len(b.sent)-1].(protocol.PeerResponse); got.ID != 33 || got.Target != "c" || got.Status != http.StatusOK {
		t.Errorf("response %+v", got)
	}
}

// TestFeatureLevelAppliesToLinkThatAnnouncedIt: a feature level applies only to the link on which
// it was announced. A peer that restarts with an older version announces nothing on its new
// link, and a delayed announcement from an earlier link does not apply to it.
func TestFeatureLevelAppliesToLinkThatAnnouncedIt(t *testing.T) {
	c := newController(t, 0, "n", 0)
	c.Peers = NewPeers(&config.Config{Name: "n", Peers: []config.Peer{{Name: "s"}}}, slog.New(slog.DiscardHandler), kv.New(c), c)
	for i, step := range []struct {
		link    uint64
		message protocol.PeerMessage
		want    bool
	}{
		{3, protocol.PeerHello{Node: "s"}, false},
		{3, protocol.FeatureLevelAnnouncement("n"), true},
		{3, protocol.PeerStatus{}, true},
		{4, protocol.PeerHello{Node: "s"}, false}, // restarted with an older version
		{3, protocol.FeatureLevelAnnouncement("n"), false},
		{4, protocol.PeerStatus{}, false},
		{4, protocol.FeatureLevelAnnouncement("n"), true},
	} {
		c.Receive("s", step.link, step.message)
		if got := c.AllSupport(protocol.CurrentFeatureLevel); got != step.want {
			t.Errorf("step %d: %v", i, got)
		}
	}
}

// TestMessagesWithoutPathAreRelayedThroughStore: a message goes over the link to its target, or
// through a third controller, or, if no path is left, through the store in one value for each
// peer. Messages from the store are delivered; a malformed value counts as lost.
func TestMessagesWithoutPathAreRelayedThroughStore(t *testing.T) {
	b := newController(t, 0, "b", 0)
	message := protocol.PeerCancellation{Job: "run-000001"}
	b.connect("c", protocol.PeerStatus{Links: []protocol.NodeName{"a"}})
	for _, step := range []struct {
		change func()
		want   []string
	}{
		{func() {}, []string{"protocol.PeerCancellation to a"}},
		{func() { b.LinkDown("a") }, []string{"protocol.PeerCancellation to c"}},
		{func() { b.LinkDown("c") }, nil},
	} {
		b.log = nil
		step.change()
		b.Peers.Send("a", message)
		if !slices.Equal(b.log, step.want) {
			t.Errorf("%q, want %q", b.log, step.want)
		}
	}
	b.storeServedAt = b.now
	for range 2 {
		if !b.Peers.Send("a", message) {
			t.Error("message not queued for the store")
		}
	}
	if b.Peers.Send("nobody", message) {
		t.Error("message to an unknown peer was queued")
	}
	b.noRelayBudget = true
	b.WriteRelayed()
	if len(b.calls) > 0 {
		t.Error("messages written to the store beyond the budget")
	}
	b.noRelayBudget = false
	b.WriteRelayed()
	b.Peers.Send("a", message)
	b.WriteRelayed()
	if len(b.calls) != 1 {
		t.Fatalf("%d calls to the store, want one at a time", len(b.calls))
	}
	change := b.calls[0].Body.(protocol.Transaction).Changes[0]
	a := newController(t, 0, "a", 0)
	a.ReceiveRelayed(&protocol.WatchEvent{Set: change.Set, Value: change.Value})
	a.ReceiveRelayed(&protocol.WatchEvent{Set: change.Set, Value: storage.Encode(storage.RelayedFrames{Frames: []byte("x")})})
	a.ReceiveRelayed(&protocol.WatchEvent{Set: storage.RelayKey("a", "b"), Value: change.Value})
	if !slices.Equal(a.delivered, []protocol.PeerMessage{message, message}) {
		t.Errorf("delivered messages: %+v", a.delivered)
	}
}

// TestSilentLinkIsReset: a controller sends its peers heartbeats at intervals. It resets the link
// to a peer that has been silent for twice the time after which the peer counts as unreachable. The
// next reset comes only after another such silence.
func TestSilentLinkIsReset(t *testing.T) {
	b := newController(t, 0, "b", 0)
	b.now = b.now.Add(2*tuning.PeerSilenceTimeout + time.Millisecond)
	b.Receive("c", 1, protocol.PeerHello{Node: "c"})
	for _, want := range [][]string{
		{"reset a", "protocol.PeerResponse to c", "protocol.PeerStatus to c"},
		{"protocol.PeerResponse to a", "protocol.PeerStatus to a", "protocol.PeerResponse to c", "protocol.PeerStatus to c"},
	} {
		b.log = nil
		b.TriggerHeartbeat()
		if !b.HeartbeatDue() {
			t.Fatal("no heartbeat due")
		}
		b.SendHeartbeats(protocol.PeerStatus{})
		if !slices.Equal(b.log, want) || b.HeartbeatDue() {
			t.Errorf("%q, want %q", b.log, want)
		}
	}
}
