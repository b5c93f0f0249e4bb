package transport

import (
	"sync"

	"github.com/gappond/gappond/internal/coordination"
)

// delivery is a reply on its way to the handler that writes it.
type delivery struct {
	coordination.Reply
	turn *turn // in the order of the replies about its job; nil if it may be written at any time
}

// end lets the next reply about the same job be written.
func (d delivery) end() {
	if d.turn != nil {
		d.turn.end()
	}
}

// pendingRequests are the requests of users and agents that wait for the node's reply.
type pendingRequests struct {
	order   *replyOrder
	mu      sync.Mutex
	lastID  uint64
	replies map[uint64]chan delivery
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{order: newReplyOrder(), replies: map[uint64]chan delivery{}}
}

// register assigns an ID to a request and returns the channel that receives its reply.
func (p *pendingRequests) register() (id uint64, reply <-chan delivery) {
	ch := make(chan delivery, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	p.replies[p.lastID] = ch
	return p.lastID, ch
}

// remove drops a request because nobody waits for its reply any more, and the reply if it has come.
func (p *pendingRequests) remove(id uint64, reply <-chan delivery) {
	p.mu.Lock()
	delete(p.replies, id)
	p.mu.Unlock()
	select {
	case d := <-reply:
		d.end()
	default:
	}
}

// isPending reports whether the reply to a request is still awaited.
func (p *pendingRequests) isPending(id uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replies[id] != nil
}

// deliver passes a reply to the handler that waits for it, if there still is one. It never blocks.
func (p *pendingRequests) deliver(r coordination.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ch := p.replies[r.ID]
	if ch == nil {
		return
	}
	delete(p.replies, r.ID)
	d := delivery{Reply: r}
	if r.Job != "" {
		d.turn = p.order.take(r.Job)
	}
	ch <- d
}
