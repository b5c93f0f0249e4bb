package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// request sends a request to an external system. done is called with status 0 if no response
// arrives.
func (n *Node) request(to Target, address, method, path string, body any, timeout time.Duration, done func(status int, body []byte)) {
	n.nextID++
	var encoded []byte
	switch b := body.(type) {
	case nil:
	case []byte:
		encoded = b
	default:
		encoded = storage.Encode(b)
	}
	n.pending[n.nextID] = done
	n.out = append(n.out, Request{ID: n.nextID, To: to, Address: address, Method: method, Path: path, Body: encoded, Timeout: timeout})
}

// answer sends a reply to the peer that forwarded the request or, for a request that this node
// received itself, on the connection it came from.
func (n *Node) answer(r Reply) {
	if n.forwarder.Respond(r.ID, r.Status, r.Body) {
		return
	}
	n.out = append(n.out, r)
}

// parse parses JSON and reports whether it succeeded.
func parse[T any](body []byte) (T, bool) {
	var v T
	return v, protocol.Unmarshal(body, &v) == nil
}
