package membership

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

// outbox is what waits to be sent to a peer by way of the key-value store,
// which belongs to no zone: the last resort when a cut leaves no path over the
// controllers' own links. A zone that is cut off so keeps its leader.
type outbox struct {
	frames      []byte
	writing     bool
	nextWriteAt time.Time
}

// relay queues a message for a peer that no link leads to.
func (p *Peers) relay(target protocol.NodeName, message protocol.PeerMessage) bool {
	peer := p.peers[target]
	if peer == nil || p.env.Now().Sub(p.env.StoreServedAt()) > tuning.IsolationTimeout {
		return false
	}
	frame := protocol.AppendPeerFrame(nil, message)
	if len(peer.outbox.frames)+len(frame) > storage.RelayCapacity(p.cfg.Cluster.Store.ValueKB) {
		return false // the sender tries again, as after a lost packet
	}
	peer.outbox.frames = append(peer.outbox.frames, frame...)
	return true
}

// WriteRelayed writes the store-relayed messages that wait, a value for each peer.
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
			box.writing = false // what was lost is sent again by whoever misses it
		})
	}
}

// ReceiveRelayed takes a value that a peer wrote for this controller.
func (p *Peers) ReceiveRelayed(event *protocol.WatchEvent) {
	from, to, ok := storage.ParseRelayKey(event.Set)
	if !ok || to != p.cfg.Name || p.peers[from] == nil {
		return
	}
	var relayed storage.RelayedFrames
	if err := json.Unmarshal(event.Value, &relayed); err != nil {
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

// IsRelayKey says whether a key is that of store-relayed messages.
func IsRelayKey(key string) bool { return strings.HasPrefix(key, storage.RelayPrefix) }
