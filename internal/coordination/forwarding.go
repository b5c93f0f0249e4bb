package coordination

import (
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// forwardedRequest is a request that was sent on to a peer.
type forwardedRequest struct {
	reply  uint64
	expire time.Time
}

// receivedRequest is a request that a peer sent on to this node.
type receivedRequest struct {
	origin protocol.NodeName
	id     uint64
}

// receivedID marks the ids of forwarded requests, which the transport does not
// know.
const receivedID = 1 << 63

// What a user's forwarded request asks for.
const (
	verbSubmit = "submit"
	verbQuery  = "query"
	verbCancel = "cancel"
)

// forwardIfUnserved sends a user's request on to a peer that the state service
// serves while it does not serve this node.
func (n *Node) forwardIfUnserved(id uint64, r protocol.PeerUserRequest) bool {
	return n.now.Sub(n.servedAt) >= tuning.StoreServedFreshness && n.forwardToPeer(id, r)
}

// forwardToPeer sends a user's request on to a peer that the state service serves,
// to each in turn. What a peer sent here goes no further.
func (n *Node) forwardToPeer(id uint64, r protocol.PeerUserRequest) bool {
	if id&receivedID != 0 {
		return false
	}
	list := slices.DeleteFunc(n.reachablePeers(), func(name protocol.NodeName) bool { return !n.peers[name].status.StateOK })
	if len(list) == 0 {
		return false
	}
	n.nextID++
	r.ID, r.Origin, r.Target = n.nextID, n.cfg.Name, list[n.nextID%uint64(len(list))]
	n.forwarded[r.ID] = forwardedRequest{reply: id, expire: n.now.Add(tuning.UserRequestTimeout)}
	return n.sendTo(r.Target, r)
}

// handleForwarded answers a user's request that a peer sent on.
func (n *Node) handleForwarded(m protocol.PeerUserRequest) {
	n.nextID++
	id := n.nextID | receivedID
	n.received[id] = receivedRequest{m.Origin, m.ID}
	switch m.Operation {
	case verbSubmit:
		spec, err := protocol.ParseJob(m.Body)
		if err != nil {
			n.reply(id, 400, protocol.ErrorBody{Error: err.Error()})
			return
		}
		n.submit(id, spec)
	case verbQuery:
		n.query(id, m.Job)
	case verbCancel:
		n.cancel(id, m.Job)
	default:
		n.refuse(id, "unknown request")
	}
}
