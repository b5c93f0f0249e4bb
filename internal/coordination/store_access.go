package coordination

import (
	"net/http"
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// storeAccess tracks whether the key-value store serves this node, from the responses to its calls.
type storeAccess struct {
	lastServedAt time.Time // when the store last served this node
	lastCallAt   time.Time // when it was last called
	noResponse   bool      // the last call got no response
}

// recordResponse records the status of a response, 0 if none arrived.
func (sa *storeAccess) recordResponse(now time.Time, status int) {
	sa.noResponse = status == 0
	if status != 0 && status != http.StatusServiceUnavailable {
		sa.lastServedAt = now
	}
}

// servedWithin reports whether the store served this node within the period before now.
func (sa *storeAccess) servedWithin(now time.Time, period time.Duration) bool {
	return now.Sub(sa.lastServedAt) < period
}

// unreachable reports whether calls to the store time out: the last one got no response, and none
// was served within StoreUnreachableTimeout.
func (sa *storeAccess) unreachable(now time.Time) bool {
	return sa.noResponse && !sa.servedWithin(now, tuning.StoreUnreachableTimeout)
}

// nextProbeAt returns when the store is probed, if it is not called before.
func (sa *storeAccess) nextProbeAt() time.Time { return sa.lastCallAt.Add(tuning.StoreProbeInterval) }

// CallStore implements kv.Transport. Except for watches, it records whether the store serves this
// node.
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

// probeStore reads a small value if the store was not called lately, so that every node knows
// whether the store serves it.
func (n *Node) probeStore() {
	if n.mirror.Ready() && !n.now.Before(n.storeAccess.nextProbeAt()) {
		n.store.Get(storage.LeaderKey, func(kv.GetResult) {})
	}
}
