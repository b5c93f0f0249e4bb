package membership

import (
	"bytes"
	"strings"
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// outbox holds the messages that wait to be sent to a peer through the key-value store. The store
// is the last resort when a network partition leaves no path over the links between controllers.
// It belongs to no zone, so agents in a partitioned zone can still reach the leader through it.
type outbox struct {
	frames      []byte
	writing     bool
	nextWriteAt time.Time
}

// relay queues a message to be sent through the store to a peer that no path over links leads to.
// It reports whether the message was queued.
func (p *Peers) relay(target protocol.NodeName, message protocol.PeerMessage) bool {
	peer := p.peers[target]
	if peer == nil || p.env.Now().Sub(p.env.StoreServedAt()) > tuning.IsolationTimeout {
		return false
	}
	frame := protocol.AppendPeerFrame(nil, message)
	if len(peer.outbox.frames)+len(frame) > storage.RelayCapacity(p.cfg.Cluster.Store.ValueKB) {
		return false // the sender retries, as after a lost packet
	}
	peer.outbox.frames = append(peer.outbox.frames, frame...)
	return true
}

// WriteRelayed writes the queued messages to the store, as one value for each peer.
func (p *Peers) WriteRelayed() {
	now := p.env.Now()
	for _, name := range p.configOrder {
		box := &p.peers[name].outbox
		if len(box.frames) == 0 || box.writing || now.Before(box.nextWriteAt) || !p.env.TakeRelayWrite() {
			continue
		}
		txn := protocol.Transaction{Changes: []protocol.Change{{Set: storage.RelayKey(p.cfg.Name, name),
			Value: storage.Encode(storage.RelayedFrames{Writer: p.env.UniqueName(), Frames: box.frames})}}}
		box.frames, box.writing = nil, true
		box.nextWriteAt = now.Add(tuning.RelayWriteInterval)
		p.store.Transact(txn, func(kv.TransactionResult) {
			// Whatever the outcome, the next messages may be written. If this write was lost, a node
			// that gets no response to its message sends its request again.
			box.writing = false
		})
	}
}

// ReceiveRelayed delivers the messages in a value that a peer wrote to the store for this
// controller. It ignores changes of other keys.
func (p *Peers) ReceiveRelayed(event *protocol.WatchEvent) {
	from, to, ok := storage.ParseRelayKey(event.Set)
	if !ok || to != p.cfg.Name || p.peers[from] == nil {
		return
	}
	var relayed storage.RelayedFrames
	if err := protocol.Unmarshal(event.Value, &relayed); err != nil {
		p.log.Error("relayed message does not parse", "peer", from, "error", err)
		return
	}
	frames := bytes.NewReader(relayed.Frames)
	for frames.Len() > 0 {
		message, err := protocol.ReadPeerFrame(frames)
		if err != nil {
			p.log.Error("relayed message does not parse", "peer", from, "error", err)
			return
		}
		p.env.Deliver(message)
	}
}

// IsRelayKey reports whether a key holds messages that are sent through the store.
func IsRelayKey(key string) bool { return strings.HasPrefix(key, storage.RelayPrefix) }
