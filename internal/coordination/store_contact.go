package coordination

import (
	"net/http"
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// storeAccess is whether the key-value store serves this node, as its calls show.
type storeAccess struct {
	lastServedAt time.Time // when the store last served this node
	lastCallAt   time.Time // when it was last asked
	noResponse   bool      // it did not answer the last call
}

// recordResponse takes the status of an answer, 0 if none came.
func (sc *storeAccess) recordResponse(now time.Time, status int) {
	sc.noResponse = status == 0
	if status != 0 && status != http.StatusServiceUnavailable {
		sc.lastServedAt = now
	}
}

// servedWithin says whether the store served this node within a time.
func (sc *storeAccess) servedWithin(now time.Time, span time.Duration) bool {
	return now.Sub(sc.lastServedAt) < span
}

// unreachable says whether calls hang.
func (sc *storeAccess) unreachable(now time.Time) bool {
	return sc.noResponse && !sc.servedWithin(now, tuning.StoreUnreachableTimeout)
}

// nextProbeAt is when the store is asked if nothing else is asked before.
func (sc *storeAccess) nextProbeAt() time.Time { return sc.lastCallAt.Add(tuning.StoreProbeInterval) }

// CallStore implements kv.Transport. It keeps note of whether the store serves this node.
func (n *Node) CallStore(call kv.Call, done func(status int, body []byte)) {
	if call.Connection == kv.Watching {
		n.request(ToStore, "", call.Method, call.Path, call.Body, tuning.WatchLongPoll+tuning.WatchTimeoutMargin, done)
		return
	}
	to := ToStore
	if call.Connection == kv.LeaderLease {
		to = ToLeaderLease
	}
	n.storeAccess.lastCallAt = n.now
	n.budgets.countCall(n.now)
	n.request(to, "", call.Method, call.Path, call.Body, tuning.StoreRequestTimeout, func(status int, body []byte) {
		n.storeAccess.recordResponse(n.now, status)
		done(status, body)
	})
}

// probeStore asks the store for something small when nothing else has been asked lately,
// so that every node knows whether it is served.
func (n *Node) probeStore() {
	if n.mirror.Ready() && !n.now.Before(n.storeAccess.nextProbeAt()) {
		n.store.Get(storage.LeaderKey, func(kv.GetResult) {})
	}
}
