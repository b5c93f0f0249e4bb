package transport

import (
	"sync"

	"github.com/gappond/gappond/internal/coordination"
)

// pendingRequests are the requests of users and agents that wait for the node's reply.
type pendingRequests struct {
	mu      sync.Mutex
	lastID  uint64
	replies map[uint64]chan coordination.Reply
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{replies: map[uint64]chan coordination.Reply{}}
}

// register numbers a request and gives the channel to which its reply comes.
func (p *pendingRequests) register() (id uint64, reply <-chan coordination.Reply) {
	ch := make(chan coordination.Reply, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	p.replies[p.lastID] = ch
	return p.lastID, ch
}

// remove gives a request up: nobody waits for its reply any more.
func (p *pendingRequests) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.replies, id)
}

// isPending says whether somebody waits for the reply to a request.
func (p *pendingRequests) isPending(id uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replies[id] != nil
}

// deliver hands a reply to whoever waits for it. It never blocks.
func (p *pendingRequests) deliver(r coordination.Reply) {
	p.mu.Lock()
	ch := p.replies[r.ID]
	delete(p.replies, r.ID)
	p.mu.Unlock()
	if ch != nil {
		ch <- r
	}
}
