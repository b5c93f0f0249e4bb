package simulation

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// TestCancellationUnknownToLeaderTakesEffectInOutage: the leader's watches hang while its renewals pass, others confirm
// cancellations, and the key-value store is then away for longer than cancel_s. The
// leader's workers must be without those tasks in time all the same: its authority
// counts from when it last knew all cancellations, not from its renewal.
func TestCancellationUnknownToLeaderTakesEffectInOutage(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		for _, blindFor := range []time.Duration{3 * time.Second, 7 * time.Second, 11 * time.Second, 30 * time.Second} {
			t.Run(fmt.Sprintf("seed %d, blind for %v", seed, blindFor), func(t *testing.T) {
				t.Parallel()
				w, u, c := leaderWithHungWatches(t, 600+seed, 8)
				for _, o := range w.otherControllers(c) { // no word over the links
					w.disconnect(100*time.Second, packetsDropped, oneWay(c, o))
				}

				w.cancelUntilConfirmed(u)
				w.Run(blindFor)
				w.store.outage(61 * time.Second)
				w.Run(100 * time.Second)

				w.expectRulesHeld(t)
			})
		}
	}
}

// leaderWithHungWatches has an array run under a leader whose watches have hung for a moment.
func leaderWithHungWatches(t *testing.T, seed uint64, tasks int) (*World, *user, *controller) {
	t.Helper()
	w := startWorld(seed, SmallShape(), 6*time.Second)
	u := w.submitAndWaitUntilRunning(t, 20*time.Second, array("run-000001", tasks), 500)
	c := w.leader()
	w.store.nodeWithoutWatches = c
	w.Run(400 * time.Millisecond)
	return w, u, c
}

// cancelUntilConfirmed has a user ask for a cancellation until it is confirmed.
func (w *World) cancelUntilConfirmed(u *user) {
	for !u.over {
		u.cancel()
		w.Run(100 * time.Millisecond)
	}
}

// oneWay matches packets from one node to another.
func oneWay(from, to *controller) func(a, b string) bool {
	return func(a, b string) bool { return a == from.name && b == to.name }
}

// TestLeaderRefusedByStoreStopsTasksCancelledAtPeer: a leader that the key-value store refuses stops a job's
// tasks as soon as a peer that has confirmed the cancellation tells it.
func TestLeaderRefusedByStoreStopsTasksCancelledAtPeer(t *testing.T) {
	t.Parallel()
	w := startWorld(610, SmallShape(), 6*time.Second)
	u := w.submitAndWaitUntilRunning(t, 20*time.Second, array("run-000001", 4), 500)
	c := w.leader()
	w.store.nodeWithoutWatches = c
	w.store.refuseNode(c, 60*time.Second)

	status := 0
	u.cancelRequested = true
	w.otherControllers(c)[0].ask(cancellation(u.job.spec.ID), func(s int, _ []byte) { status = s })

	took := w.waitFor(t, 2*time.Second, "its tasks are gone", func() bool { return w.rules.placed["run-000001/0"] == nil && w.rules.placed["run-000001/3"] == nil })
	t.Logf("answered %d, gone after %v", cmp.Or(status, -1), took)
	if status != 200 {
		t.Errorf("the cancellation is answered %d", status)
	}
	w.expectRulesHeld(t)
}

// TestOutageLongerThanAuthorityKeepsTasksRunning: the key-value store is out for far longer than a leader's
// authority. All controllers are there and confirm for one another, so nothing that
// runs is lost, and what was cancelled a moment before is gone in time.
func TestOutageLongerThanAuthorityKeepsTasksRunning(t *testing.T) {
	t.Parallel()
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprint("leader refused ", refused), func(t *testing.T) {
			t.Parallel()
			w := startWorld(620, SmallShape(), 6*time.Second)
			u := w.submit(arrival{job: array("run-000001", 6), run: 200})
			cancelled := w.submit(arrival{job: array("run-000002", 2), run: 500})
			w.waitUntilRunning(t, 20*time.Second, u, cancelled)
			c, starts := w.leader(), w.rules.started
			if refused {
				w.store.refuseNode(c, 100*time.Second)
				w.store.nodeWithoutWatches = c
				// The message about the cancellation is lost: only the confirmation names it.
				w.disconnect(1500*time.Millisecond, packetsDropped, func(a, b string) bool {
					return a == c.name && b != storeHost && w.agents[protocol.MachineID(b)] == nil
				})
				w.Run(200 * time.Millisecond)
			}

			w.cancelUntilConfirmed(cancelled)
			w.store.outage(80 * time.Second)
			w.Run(85 * time.Second)
			w.store.nodeWithoutWatches = nil

			w.waitUntilOver(t, 200*time.Second, u)
			w.expectStarts(t, starts, 0, "across the outage")
			w.expectRulesHeld(t)
		})
	}
}

// TestRestartedPeerCannotConfirmForEarlierProcess: a peer confirms a cancellation that the leader does
// not hear of, ends, and is back in an outage that all share. It can't confirm for its
// earlier life: the leader gives up within its authority, and the cancelled tasks
// are gone in time.
func TestRestartedPeerCannotConfirmForEarlierProcess(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w, u, c := leaderWithHungWatches(t, 630+seed, 6)
			peer := w.otherControllers(c)[1]
			cutOff := &partition{match: oneWay(peer, c)}
			w.partitions = append(w.partitions, cutOff)

			w.cancelAtController(peer, u)
			w.store.outage(100 * time.Second)
			peer.crash(200 * time.Millisecond)
			w.Run(100 * time.Millisecond)
			w.heal(cutOff)
			w.Run(60 * time.Second)

			if c.node.Leading() {
				t.Error("it still leads")
			}
			w.Run(60 * time.Second)
			w.expectRulesHeld(t)
		})
	}
}

// cancelAtController has a user ask one node for a cancellation until it confirms.
func (w *World) cancelAtController(c *controller, u *user) {
	u.cancelRequested = true
	for status := 0; status != 200; {
		c.ask(cancellation(u.job.spec.ID), func(got int, body []byte) {
			if status = got; got == 200 && !u.over {
				u.handleResponse(body)
			}
		})
		w.Run(30 * time.Millisecond)
	}
}
