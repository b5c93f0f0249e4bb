package coordination

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// outbox is what waits to be sent to a peer by way of the state service,
// which belongs to no zone: the last resort when a cut leaves no path over the
// controllers' own links. A zone that is cut off so keeps its leader.
type outbox struct {
	frames  []byte
	sending bool
	sendAt  time.Time
}

// relayViaState queues a message for a peer that no link leads to.
func (n *Node) relayViaState(target protocol.NodeName, m protocol.PeerMessage) bool {
	if _, ok := n.peers[target]; !ok || n.now.Sub(n.servedAt) > tuning.IsolationTimeout {
		return false
	}
	box := n.outboxes[target]
	if box == nil {
		box = &outbox{}
		n.outboxes[target] = box
	}
	frame := protocol.AppendPeerFrame(nil, m)
	if len(box.frames)+len(frame) > storage.RelayCapacity(n.cfg.Cluster.State.ValueKB) {
		return false // the sender tries again, as after a lost packet
	}
	box.frames = append(box.frames, frame...)
	return true
}

// flushOutboxes writes what waits, a value for each peer.
func (n *Node) flushOutboxes() {
	for _, s := range n.cfg.Peers {
		box := n.outboxes[s.Name]
		if box == nil || len(box.frames) == 0 || box.sending || n.now.Before(box.sendAt) || !n.relayWrites.AllowN(n.now, 1) {
			continue
		}
		txn := protocol.Transaction{Changes: []protocol.Change{{Set: storage.RelayKey(n.cfg.Name, s.Name),
			Value: storage.Encode(storage.RelayedFrames{Writer: n.unique(), Frames: box.frames})}}}
		n.countWrite()
		box.frames, box.sending = nil, true
		box.sendAt = n.now.Add(tuning.RelayWriteInterval)
		n.store.Transact(txn, func(kv.TransactionResult) {
			box.sending = false // what was lost is sent again by whoever misses it
		})
	}
}

// receiveRelayed takes a value that a peer wrote for this node.
func (n *Node) receiveRelayed(ev *protocol.WatchEvent) {
	from, to, ok := storage.ParseRelayKey(ev.Set)
	if !ok || to != n.cfg.Name || n.peers[from] == nil {
		return
	}
	var relayed storage.RelayedFrames
	if err := json.Unmarshal(ev.Value, &relayed); err != nil {
		n.log.Error("relayed message does not parse", "from", from, "error", err)
		return
	}
	r := bytes.NewReader(relayed.Frames)
	for r.Len() > 0 {
		m, err := protocol.ReadPeerFrame(r)
		if err != nil {
			n.log.Error("relayed message does not parse", "from", from, "error", err)
			return
		}
		n.deliver(m)
	}
}

// isRelayKey says whether a key is a relay key.
func isRelayKey(key string) bool { return strings.HasPrefix(key, storage.RelayPrefix) }
