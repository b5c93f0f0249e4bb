package simulation

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// TestCancellationUnknownToLeaderTakesEffectInOutage: the leader's watches hang while it can
// still renew the leader lease, and other controllers confirm cancellations. Then the key-value
// store is down for longer than cancel_s. The cancelled tasks must nevertheless be gone from the
// leader's agents in time. This requires that the leader's authority counts from the time when it
// last knew all cancellations, not from its last renewal.
func TestCancellationUnknownToLeaderTakesEffectInOutage(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		for _, hungFor := range []time.Duration{3 * time.Second, 7 * time.Second, 11 * time.Second, 30 * time.Second} {
			t.Run(fmt.Sprintf("seed %d, watches hang for %v", seed, hungFor), func(t *testing.T) {
				t.Parallel()
				w, u, c := leaderWithHungWatches(t, 600+seed, 8)
				for _, o := range w.otherControllers(c) { // no messages over the links to its peers
					w.disconnect(100*time.Second, packetsDropped, oneWay(c, o))
				}

				w.cancelUntilConfirmed(u)
				w.Run(hungFor)
				w.store.outage(61 * time.Second)
				w.Run(100 * time.Second)

				w.expectRulesHeld(t)
			})
		}
	}
}

// leaderWithHungWatches returns a world that runs an array, the array's user, and the leader,
// whose watches have hung for 400 ms.
func leaderWithHungWatches(t *testing.T, seed uint64, tasks int) (*World, *user, *controller) {
	t.Helper()
	w := startWorld(seed, SmallShape(), 6*time.Second)
	u := w.submitAndWaitUntilRunning(t, 20*time.Second, array("run-000001", tasks), 500)
	c := w.leader()
	w.store.nodeWithoutWatches = c
	w.Run(400 * time.Millisecond)
	return w, u, c
}

// cancelUntilConfirmed has a user request a cancellation until it is confirmed.
func (w *World) cancelUntilConfirmed(u *user) {
	for !u.over {
		u.cancel()
		w.Run(100 * time.Millisecond)
	}
}

// oneWay matches packets from one controller to another.
func oneWay(from, to *controller) func(a, b string) bool {
	return func(a, b string) bool { return a == from.name && b == to.name }
}

// TestLeaderRefusedByStoreStopsTasksCancelledAtPeer: the key-value store refuses the leader's
// requests. The leader stops a job's tasks as soon as a peer that has confirmed the cancellation
// tells it.
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

	took := w.waitFor(t, 2*time.Second, "the tasks are gone", func() bool { return w.rules.placed["run-000001/0"] == nil && w.rules.placed["run-000001/3"] == nil })
	t.Logf("cancellation status %d, tasks gone after %v", cmp.Or(status, -1), took)
	if status != 200 {
		t.Errorf("status of the cancellation is %d, want 200", status)
	}
	w.expectRulesHeld(t)
}

// TestOutageLongerThanAuthorityKeepsTasksRunning: the key-value store is down for far longer than
// a leader's authority. All controllers are up and confirm the leader's authority, so no running
// task is lost. A job that was cancelled just before is gone in time.
func TestOutageLongerThanAuthorityKeepsTasksRunning(t *testing.T) {
	t.Parallel()
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprint("store refuses leader ", refused), func(t *testing.T) {
			t.Parallel()
			w := startWorld(620, SmallShape(), 6*time.Second)
			u := w.submit(arrival{job: array("run-000001", 6), run: 200})
			cancelled := w.submit(arrival{job: array("run-000002", 2), run: 500})
			w.waitUntilRunning(t, 20*time.Second, u, cancelled)
			c, starts := w.leader(), w.rules.started
			if refused {
				w.store.refuseNode(c, 100*time.Second)
				w.store.nodeWithoutWatches = c
				// The message about the cancellation is lost. Only the peers' confirmations of
				// the leader's authority name the cancelled job.
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
			w.expectStarts(t, starts, 0, "during the outage")
			w.expectRulesHeld(t)
		})
	}
}

// TestRestartedPeerCannotConfirmForEarlierProcess: a peer confirms a cancellation that the leader
// does not learn of. The peer then crashes, and restarts during a store outage that affects all
// controllers. Its confirmation of the leader's authority does not count, because it does not
// name the cancellations that its earlier process confirmed. So the leader steps down before its
// authority ends, and the cancelled tasks are gone in time.
func TestRestartedPeerCannotConfirmForEarlierProcess(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w, u, c := leaderWithHungWatches(t, 630+seed, 6)
			peer := w.otherControllers(c)[1]
			fromPeer := &partition{match: oneWay(peer, c)}
			w.partitions = append(w.partitions, fromPeer)

			w.cancelAtController(peer, u)
			w.store.outage(100 * time.Second)
			peer.crash(200 * time.Millisecond)
			w.Run(100 * time.Millisecond)
			w.heal(fromPeer)
			w.Run(60 * time.Second)

			if c.node.Leading() {
				t.Error("the leader did not step down")
			}
			w.Run(60 * time.Second)
			w.expectRulesHeld(t)
		})
	}
}

// cancelAtController has a user request a cancellation from one controller until it is confirmed.
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
