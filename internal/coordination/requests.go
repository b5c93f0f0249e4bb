package coordination

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// tickState asks the state service for something small when nothing else has
// been asked lately, so that every node knows whether it is served.
func (n *Node) tickState() {
	if n.mirror.Ready() && n.now.Sub(n.askedAt) >= tuning.StoreProbeInterval {
		n.store.Get(storage.LeaderKey, func(kv.GetResult) {})
	}
}

func (n *Node) request(to Target, address, method, path string, body any, timeout time.Duration, done func(status int, body []byte)) {
	n.nextID++
	var raw []byte
	switch b := body.(type) {
	case nil:
	case []byte:
		raw = b
	default:
		raw = storage.Encode(b)
	}
	n.pending[n.nextID] = done
	n.out = append(n.out, Request{ID: n.nextID, To: to, Address: address, Method: method, Path: path, Body: raw, Timeout: timeout})
}

// CallStore implements kv.Transport. It keeps note of whether the store serves this node.
func (n *Node) CallStore(call kv.Call, done func(status int, body []byte)) {
	if call.Connection == kv.Watching {
		n.request(ToState, "", call.Method, call.Path, call.Body, tuning.WatchLongPoll+tuning.WatchTimeoutMargin, done)
		return
	}
	to := ToState
	if call.Connection == kv.LeaderLease {
		to = ToLeaderLease
	}
	n.askedAt = n.now
	n.budgets.countCall(n.now)
	n.request(to, "", call.Method, call.Path, call.Body, tuning.StoreRequestTimeout, func(status int, body []byte) {
		n.unanswered = status == 0
		if status != 0 && status != http.StatusServiceUnavailable {
			n.servedAt = n.now
		}
		done(status, body)
	})
}

// answer gives a reply to whoever asked: a connection of this node, or a
// peer that forwarded the request here.
func (n *Node) answer(r Reply) {
	if n.forwarder.Respond(r.ID, r.Status, r.Body) {
		return
	}
	n.out = append(n.out, r)
}

// parse reads a JSON answer.
func parse[T any](body []byte) (T, bool) {
	var v T
	return v, json.Unmarshal(body, &v) == nil
}
