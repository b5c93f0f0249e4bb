package coordination

import (
	"encoding/json"
	"time"

	"github.com/gappond/gappond/internal/storage"
)

// request calls an outside system. Status 0 stands for no answer.
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

// confirmation gives a reply to whoever asked: a connection of this node, or a
// peer that forwarded the request here.
func (n *Node) sendReply(r Reply) {
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
