package coordination

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/tuning"
)

// TestExpiredForwardsAreRefusedInOrder: requests that expire in one step were refused in
// the order of a map, so that the same seed did not give the same run.
func TestExpiredForwardsAreRefusedInOrder(t *testing.T) {
	for range 20 {
		n := follower("b", 0)
		n.out = nil
		sent := n.now
		for id := range uint64(8) {
			n.forwarded[id+1] = forwardedRequest{reply: 100 + id, expire: sent}
		}
		last := uint64(0)
		for _, action := range n.Step(sent.Add(tuning.ForwardExpiryInterval+time.Second), nil) {
			reply, ok := action.(Reply)
			if !ok {
				continue
			}
			if reply.ID < last {
				t.Fatalf("request %d is refused after %d", reply.ID, last)
			}
			last = reply.ID
		}
		if last != 107 {
			t.Fatalf("the last refusal is of request %d", last)
		}
	}
}
