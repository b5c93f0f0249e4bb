package election

import (
	"log/slog"
	"math/rand/v2"
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

// controller implements everything that an Election depends on. Calls to the store wait until a
// test responds to them.
type controller struct {
	*Election
	now             time.Time
	synced          time.Time
	peerCount       int
	confirmRequests uint64
	revisionFetches int
	leading         bool
	cancelled       []protocol.JobID
	calls           []pendingCall
}

type pendingCall struct {
	kv.Call
	done func(status int, body []byte)
}

const testLease protocol.LeaseID = 5

// newController returns a controller with the given share of a core and number of peers.
func newController(t *testing.T, cores float64, peers int) *controller {
	t.Helper()
	cfg := &config.Config{Name: "n", Operator: tuning.Defaults()}
	cfg.Cluster.Agents = config.AgentTimings{ReportS: 3, LeaseS: 24, GangWaitS: 40, GangPeerS: 4, CancelS: 49}
	cfg.Cluster.Process.Cores = cores
	c := &controller{now: time.Unix(1_800_000_000, 0), peerCount: peers}
	c.Election = New(cfg, slog.New(slog.DiscardHandler), rand.New(rand.NewPCG(1, 1)), kv.New(c), c, c, c)
	return c
}

func (c *controller) CallStore(call kv.Call, done func(status int, body []byte)) {
	c.calls = append(c.calls, pendingCall{call, done})
}
func (c *controller) Now() time.Time          { return c.now }
func (c *controller) UniqueName() string      { return "n-1" }
func (c *controller) Leading() bool           { return c.leading }
func (c *controller) SteppedDown()            { c.leading = false }
func (c *controller) Ready() bool             { return true }
func (c *controller) SyncedAt() time.Time     { return c.synced }
func (c *controller) MarkSynced(at time.Time) { c.synced = at }
func (c *controller) FetchRevision()          { c.revisionFetches++ }
func (c *controller) Count() int              { return c.peerCount }
func (c *controller) RequestConfirmation() uint64 {
	c.confirmRequests++
	return c.confirmRequests
}
func (c *controller) CancellationConfirmed(jobID protocol.JobID) {
	c.cancelled = append(c.cancelled, jobID)
}

// succeed responds with success to the only call in flight.
func (c *controller) succeed(t *testing.T, path string, body any) {
	t.Helper()
	if len(c.calls) != 1 || c.calls[0].Path != path {
		t.Fatalf("calls in flight: %+v, want one to %s", c.calls, path)
	}
	call := c.calls[0]
	c.calls = nil
	call.done(http.StatusOK, storage.Encode(body))
}

// elect makes the controller acquire and renew the leader lease, and lead.
func (c *controller) elect(t *testing.T) {
	t.Helper()
	c.synced = c.now
	c.Tick()
	c.succeed(t, protocol.PathLeases, protocol.LeaseResponse{Lease: testLease})
	c.ObserveLease(storage.Encode(storage.LeaderLease{Node: "n"}), 9)
	c.succeed(t, protocol.PathTransactions, protocol.TransactionResponse{Revision: 9})
	if c.Term() != 9 || c.MayAct() || c.MayStartLeading() {
		t.Fatalf("term %d, may act %v, before the leader lease was renewed", c.Term(), c.MayAct())
	}
	c.Tick()
	c.succeed(t, protocol.RenewPath(testLease), nil)
	if !c.MayAct() || !c.MayStartLeading() {
		t.Fatal("may not act although the leader lease was renewed")
	}
	c.leading = true
}

// TestAuthorityEndsBeforeCancellationDeadline: a smaller share of a core gives the leader
// lease a longer TTL and the leader a shorter grace. So, for every share, the tasks that an
// isolated leader kept alive end within the time that a cancellation may take.
func TestAuthorityEndsBeforeCancellationDeadline(t *testing.T) {
	for _, cores := range []float64{0, 0.018, 0.06, 0.072, 0.24} {
		c := newController(t, cores, 0)
		timings := c.bounds.cluster.Agents
		if got, limit := c.LeaseTTL()+c.LeaderGrace()+config.Seconds(timings.LeaseS), config.Seconds(timings.CancelS)-tuning.AuthorityMargin+tuning.LeaderLeaseTTL; got > limit {
			t.Errorf("%v of a core: tasks stay for %v, want at most %v", cores, got, limit)
		}
		if ttl := c.LeaseTTL(); ttl < tuning.LeaderLeaseTTL || ttl > tuning.LeaderLeaseTTL+tuning.MaxFailoverAllowance {
			t.Errorf("%v of a core: TTL of the leader lease is %v", cores, ttl)
		}
	}
}

// TestAuthorityEndsWithoutRenewal: a leader that cannot renew its leader lease, or that renews it
// but no longer learns of cancellations, steps down when its authority ends and not earlier.
func TestAuthorityEndsWithoutRenewal(t *testing.T) {
	for name, renewed := range map[string]bool{"not renewed": false, "not synced": true} {
		c := newController(t, 0, 0)
		c.elect(t)
		start := c.now
		for c.HasAuthority() && c.now.Sub(start) < time.Hour {
			c.now = c.now.Add(tuning.MinTimerInterval)
			if renewed {
				c.Renewed(c.now)
			} else {
				c.synced = c.now
			}
		}
		if lasted := c.now.Sub(start); lasted < c.bounds.maxSinceRenewal() || lasted > c.bounds.maxSinceRenewal()+2*tuning.MinTimerInterval {
			t.Errorf("%s: authority lasts %v, want %v", name, lasted, c.bounds.maxSinceRenewal())
		}
		c.Tick()
		if c.Term() != 0 || c.leading {
			t.Errorf("%s: still leads", name)
		}
	}
}

// TestProcessPauseRequiresRenewal: after a pause a leader does nothing until a renewal that was
// sent after the pause succeeds. A renewal that was sent before proves nothing.
func TestProcessPauseRequiresRenewal(t *testing.T) {
	c := newController(t, 0, 0)
	c.elect(t)
	c.now = c.now.Add(tuning.LeaderLeaseRenewInterval)
	c.Tick()
	unansweredRenewal := c.calls[0]
	c.calls = nil
	c.now = c.now.Add(5 * time.Second)
	c.ProcessPaused(5 * time.Second)
	unansweredRenewal.done(http.StatusOK, nil)
	if c.MayAct() || c.LeaseConfirmed() || !c.HasAuthority() {
		t.Fatal("a renewal sent before the pause confirms the leader lease, or the authority has ended")
	}
	c.ProcessPaused(0)
	c.Tick()
	c.succeed(t, protocol.RenewPath(testLease), nil)
	if !c.MayAct() {
		t.Error("may not act after the renewal")
	}
	c.now = c.now.Add(c.LeaseTTL() + c.LeaderGrace() + time.Second)
	c.ProcessPaused(time.Minute)
	if c.Term() != 0 || c.leading {
		t.Error("still leads after its authority expired")
	}
}

// TestAuthorityNeedsConfirmationFromAllPeers: while renewals fail, the confirmation of every peer
// extends a leader's authority, and the leader learns the cancellations that they name. One
// peer that has not responded, that leads, or that has started since the leader last knew every
// cancellation prevents this.
func TestAuthorityNeedsConfirmationFromAllPeers(t *testing.T) {
	hour := uint64(time.Hour.Milliseconds())
	for name, test := range map[string]struct {
		secondResponse protocol.PeerConfirmation
		want           bool
	}{
		"all peers confirm":              {protocol.PeerConfirmation{ID: 1, UptimeMs: hour, Complete: true}, true},
		"response to an earlier request": {protocol.PeerConfirmation{ID: 0, UptimeMs: hour, Complete: true}, false},
		"incomplete response":            {protocol.PeerConfirmation{ID: 1, UptimeMs: hour}, false},
		"peer just started":              {protocol.PeerConfirmation{ID: 1, UptimeMs: 1, Complete: true}, false},
		"peer leads under a lower term":  {protocol.PeerConfirmation{ID: 1, UptimeMs: hour, Complete: true, Term: 4}, false},
		"peer leads under a higher term": {protocol.PeerConfirmation{ID: 1, UptimeMs: hour, Complete: true, Term: 10}, false},
	} {
		c := newController(t, 0, 2)
		c.elect(t)
		c.now = c.now.Add(tuning.ConfirmationDelay)
		c.Tick()
		asked := c.now
		c.now = c.now.Add(time.Millisecond)
		c.ReceiveConfirmation("a", protocol.PeerConfirmation{ID: 1, UptimeMs: hour, Complete: true, Cancellations: []protocol.JobID{"run-000001"}})
		if c.confirmation.holds() {
			t.Fatalf("%s: confirmed by one of two peers", name)
		}
		c.ReceiveConfirmation("b", test.secondResponse)
		if got := c.confirmation.holds(); got != test.want || got != c.synced.Equal(asked) {
			t.Errorf("%s: confirmed %v, synced at %v", name, got, c.synced)
		}
		if !slices.Equal(c.cancelled, []protocol.JobID{"run-000001"}) {
			t.Errorf("%s: cancellations %v", name, c.cancelled)
		}
		if leads := c.Term() != 0; leads != (test.secondResponse.Term <= 9) {
			t.Errorf("%s: leads %v", name, leads)
		}
	}
}

// TestUnsolicitedConfirmationIsIgnored: a leader that has not asked yet ignores a confirmation,
// even if its number is 0, as before the first request.
func TestUnsolicitedConfirmationIsIgnored(t *testing.T) {
	c := newController(t, 0, 1)
	c.elect(t)
	synced := c.synced
	c.now = c.now.Add(time.Second)
	c.ReceiveConfirmation("a", protocol.PeerConfirmation{UptimeMs: uint64(time.Hour.Milliseconds()), Complete: true, Cancellations: []protocol.JobID{"run-1"}})
	if c.confirmation.holds() || !c.synced.Equal(synced) || len(c.cancelled) != 0 {
		t.Errorf("confirmed %v, synced at %v, cancelled %v by a peer that was not asked", c.confirmation.holds(), c.synced, c.cancelled)
	}
}

// TestLeaderStepsDownForHigherTerm: a leader lease with a later revision belongs to the next
// leader.
func TestLeaderStepsDownForHigherTerm(t *testing.T) {
	c := newController(t, 0, 0)
	c.elect(t)
	c.ObserveLease(storage.Encode(storage.LeaderLease{Node: "other"}), 12)
	if c.Term() != 0 || c.leading || c.Holder() != "other" || c.HolderTerm() != 12 {
		t.Errorf("term %d, holder %s of term %d", c.Term(), c.Holder(), c.HolderTerm())
	}
	c.now = c.now.Add(time.Minute)
	c.Tick()
	if len(c.calls) > 0 {
		t.Error("tries to acquire a leader lease that another controller holds")
	}
	c.ObserveRelease()
	var due time.Time
	c.Due(func(at time.Time) { due = at })
	c.now = due
	c.Tick()
	if len(c.calls) != 1 || c.calls[0].Path != protocol.PathLeases {
		t.Errorf("calls %+v, want one request for a lease", c.calls)
	}
}
