package coordination

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/gappond/gappond/internal/bookkeeping"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// mailbox is what waits to be sent to a sibling by way of the state service,
// which belongs to no zone: the last resort when a cut leaves no path over the
// controllers' own links. A zone that is cut off so keeps its leader.
type mailbox struct {
	frames  []byte
	sending bool
	sendAt  time.Time
}

// post queues a message for a sibling that no link leads to.
func (n *Node) post(target string, m protocol.PeerMessage) bool {
	if _, ok := n.peers[target]; !ok || n.now.Sub(n.served) > tuning.AloneAfter {
		return false
	}
	box := n.mail[target]
	if box == nil {
		box = &mailbox{}
		n.mail[target] = box
	}
	frame := protocol.AppendPeer(nil, m)
	if len(box.frames)+len(frame) > bookkeeping.MailSize(n.cfg.Cluster.State.ValueKB) {
		return false // the sender tries again, as after a lost packet
	}
	box.frames = append(box.frames, frame...)
	return true
}

// tickMail writes what waits, a value for each sibling.
func (n *Node) tickMail() {
	for _, s := range n.cfg.Siblings {
		box := n.mail[s.Name]
		if box == nil || len(box.frames) == 0 || box.sending || n.now.Before(box.sendAt) || !n.letters.AllowN(n.now, 1) {
			continue
		}
		txn := protocol.Txn{Then: []protocol.Change{{Set: bookkeeping.MailKey(n.cfg.Name, s.Name),
			Value: bookkeeping.Encode(bookkeeping.Mail{Writer: n.unique(), Frames: box.frames})}}}
		n.spend()
		box.frames, box.sending = nil, true
		box.sendAt = n.now.Add(tuning.MailEvery)
		n.state("POST", protocol.PathTxn, txn, func(int, []byte) {
			box.sending = false // what was lost is sent again by whoever misses it
		})
	}
}

// mailed takes a value that a sibling wrote for this node.
func (n *Node) mailed(ev *protocol.WatchEvent) {
	from, to, ok := bookkeeping.SplitMailKey(ev.Set)
	if !ok || to != n.cfg.Name || n.peers[from] == nil {
		return
	}
	var mail bookkeeping.Mail
	if err := json.Unmarshal(ev.Value, &mail); err != nil {
		n.log.Error("mail does not parse", "from", from, "error", err)
		return
	}
	r := bytes.NewReader(mail.Frames)
	for r.Len() > 0 {
		m, err := protocol.ReadPeer(r)
		if err != nil {
			n.log.Error("mail does not parse", "from", from, "error", err)
			return
		}
		n.deliver(m)
	}
}

// isMail says whether a key is a mailbox.
func isMail(key string) bool { return strings.HasPrefix(key, bookkeeping.MailPrefix) }
