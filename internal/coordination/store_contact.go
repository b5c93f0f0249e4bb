package coordination

import (
	"net/http"
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// storeContact is whether the key-value store serves this node, as its calls show.
type storeContact struct {
	servedAt   time.Time // when the store last served this node
	askedAt    time.Time // when it was last asked
	unanswered bool      // it did not answer the last call
}

// answered takes the status of an answer, 0 if none came.
func (sc *storeContact) answered(now time.Time, status int) {
	sc.unanswered = status == 0
	if status != 0 && status != http.StatusServiceUnavailable {
		sc.servedAt = now
	}
}

// servedWithin says whether the store served this node within a time.
func (sc *storeContact) servedWithin(now time.Time, span time.Duration) bool {
	return now.Sub(sc.servedAt) < span
}

// unreachable says whether calls hang.
func (sc *storeContact) unreachable(now time.Time) bool {
	return sc.unanswered && !sc.servedWithin(now, tuning.StoreUnreachableTimeout)
}

// probeAt is when the store is asked if nothing else is asked before.
func (sc *storeContact) probeAt() time.Time { return sc.askedAt.Add(tuning.StoreProbeInterval) }

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
	n.storeContact.askedAt = n.now
	n.budgets.countCall(n.now)
	n.request(to, "", call.Method, call.Path, call.Body, tuning.StoreRequestTimeout, func(status int, body []byte) {
		n.storeContact.answered(n.now, status)
		done(status, body)
	})
}

// probeStore asks the store for something small when nothing else has been asked lately,
// so that every node knows whether it is served.
func (n *Node) probeStore() {
	if n.mirror.Ready() && !n.now.Before(n.storeContact.probeAt()) {
		n.store.Get(storage.LeaderKey, func(kv.GetResult) {})
	}
}
