package transport

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
)

// orderedReply delivers a reply about a job and returns it as its handler receives it.
func orderedReply(p *pendingRequests, expires time.Time) (id uint64, reply <-chan delivery) {
	id, reply = p.register()
	p.deliver(coordination.Reply{ID: id, Status: http.StatusOK, Job: "run-000001", Expires: expires})
	return id, reply
}

// TestRepliesAboutJobAreWrittenInOrder guards against an older answer whose handler writes it after the
// handler of a newer one.
func TestRepliesAboutJobAreWrittenInOrder(t *testing.T) {
	p := newPendingRequests()
	_, first := orderedReply(p, time.Time{})
	droppedID, dropped := orderedReply(p, time.Time{})
	_, second := orderedReply(p, time.Time{})
	p.remove(droppedID, dropped) // its client has gone
	written := make(chan struct{})
	go func() {
		writeDelivery(httptest.NewRecorder(), <-second)
		close(written)
	}()
	select {
	case <-written:
		t.Fatal("a reply is written before an earlier one about the same job")
	case <-time.After(50 * time.Millisecond):
	}
	writeDelivery(httptest.NewRecorder(), <-first)
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("a reply is not written although the earlier ones are")
	}
	if left := len(p.order.last); left > 0 {
		t.Errorf("%d jobs are kept after their replies were written", left)
	}
}

// TestExpiredReplyIsNotWritten guards against an answer that is written long after it was decided, when
// another controller may have told a newer one.
func TestExpiredReplyIsNotWritten(t *testing.T) {
	p := newPendingRequests()
	for expires, want := range map[time.Duration]int{time.Minute: http.StatusOK, -time.Nanosecond: http.StatusServiceUnavailable} {
		_, reply := orderedReply(p, time.Now().Add(expires))
		out := httptest.NewRecorder()
		writeDelivery(out, <-reply)
		if out.Code != want {
			t.Errorf("expires in %v: status %d, want %d", expires, out.Code, want)
		}
	}
}

// TestConfirmationFollowsReplies guards against a confirmation that reaches a peer before an older answer
// has left this controller.
func TestConfirmationFollowsReplies(t *testing.T) {
	link := &outgoingLink{queue: make(chan protocol.PeerMessage, 1)}
	l := &eventLoop{pending: newPendingRequests(), peers: &peerLinks{outgoing: map[protocol.NodeName]*outgoingLink{"b": link}}}
	_, reply := orderedReply(l.pending, time.Time{})
	confirmation := protocol.PeerAnswerConfirmation{ID: 1, Origin: "a", Target: "b", Job: "run-000001"}
	l.execute(context.Background(), coordination.PeerSend{Peer: "b", Message: confirmation})
	select {
	case <-link.queue:
		t.Fatal("the confirmation is sent before the reply is written")
	case <-time.After(50 * time.Millisecond):
	}
	writeDelivery(httptest.NewRecorder(), <-reply)
	l.running.Wait()
	select {
	case <-link.queue:
	default:
		t.Error("the confirmation is not sent after the reply is written")
	}
}
