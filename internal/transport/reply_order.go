package transport

import (
	"sync"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// replyOrder keeps the replies about each job in the order in which the event loop decided them, up to
// the socket. Each reply is written by a goroutine of its own, so that without an order a later one may
// be written first.
type replyOrder struct {
	mu   sync.Mutex
	last map[protocol.JobID]*turn // the latest reply about a job that may not be written yet
}

// turn is the place of a reply in the order of the replies about its job.
type turn struct {
	order    *replyOrder
	job      protocol.JobID
	previous <-chan struct{} // closed when the reply before it is written or dropped; nil if there is none
	done     chan struct{}
}

func newReplyOrder() *replyOrder { return &replyOrder{last: map[protocol.JobID]*turn{}} }

// take returns the next turn of a job. Its holder must end it.
func (o *replyOrder) take(job protocol.JobID) *turn {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := &turn{order: o, job: job, previous: o.pending(job), done: make(chan struct{})}
	o.last[job] = t
	return t
}

// pending returns a channel that is closed when every reply about a job that was decided so far is
// written or dropped, or nil if none is pending. The caller holds mu.
func (o *replyOrder) pending(job protocol.JobID) <-chan struct{} {
	if latest := o.last[job]; latest != nil {
		return latest.done
	}
	return nil
}

// written returns a channel that is closed when every reply about a job that was decided so far is
// written or dropped, or nil if none is pending.
func (o *replyOrder) written(job protocol.JobID) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pending(job)
}

// wait waits until the replies before this one are written or dropped. It returns false if that takes
// too long, because the client of one of them does not read.
func (t *turn) wait() bool { return waitFor(t.previous) }

// end lets the next reply about the job be written, once those before this one are.
func (t *turn) end() {
	select {
	case <-t.previous:
		t.pass()
	default:
		if t.previous == nil {
			t.pass()
			return
		}
		go func() {
			<-t.previous
			t.pass()
		}()
	}
}

// pass lets the next reply about the job be written.
func (t *turn) pass() {
	t.order.mu.Lock()
	if t.order.last[t.job] == t {
		delete(t.order.last, t.job)
	}
	t.order.mu.Unlock()
	close(t.done)
}

// waitFor waits until a channel is closed, or not at all if it is nil. It returns false after
// ReplyOrderTimeout.
func waitFor(closed <-chan struct{}) bool {
	if closed == nil {
		return true
	}
	timer := time.NewTimer(tuning.ReplyOrderTimeout)
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-timer.C:
		return false
	}
}
