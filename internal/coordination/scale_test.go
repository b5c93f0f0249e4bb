package coordination

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// These tests hold the bounds that a fleet of some thousand machines once met.

// TestGangStartsAreQueuedInTaskOrder: the starts of a gang leave in the order of its tasks, not of a
// map, so that the same seed gives the same run.
func TestGangStartsAreQueuedInTaskOrder(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	for i := range 24 {
		l.testMachine(protocol.MachineID(fmt.Sprintf("i-%02d", i)), "big", "a")
	}
	job := l.testJob(gangOf(24, 4))
	if !l.cycleFullyPlaces(job) {
		t.Fatal("no place")
	}
	l.agents.Calls.Limiter.SetBurst(0) // nothing leaves: what is to be sent stays in the queue
	l.agents.Calls.Limiter.SetLimit(1)
	commitOutcomes{l}.JobCommitted(job, nil)
	var want []*cluster.Machine
	for _, attempt := range job.SortedAttempts() {
		want = append(want, attempt.Machine)
	}
	if !slices.Equal(l.agents.Delivery.Pending(), want) {
		t.Error("the starts leave in another order than the tasks have")
	}
}

// TestConfirmationNamesManyCancellations: a node that has told users of more cancellations than four
// thousand names them all, as far as a frame holds them.
func TestConfirmationNamesManyCancellations(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	l.n.peers.Add("p")
	tell := func(from, to int) protocol.PeerConfirmation {
		for i := from; i < to; i++ {
			jobID := protocol.JobID(fmt.Sprintf("run-%06d", i))
			l.n.api.JobFinished(jobID, storage.FinalRecord{Phase: protocol.PhaseCancelled})
			l.n.api.Query(uint64(i), jobID)
		}
		l.n.out = nil
		l.n.receive("p", 1, protocol.PeerConfirmationRequest{ID: 1})
		return l.n.out[0].(PeerSend).Message.(protocol.PeerConfirmation)
	}
	if m := tell(0, 9000); !m.Complete || len(m.Cancellations) != 9000 {
		t.Errorf("complete %v, %d named", m.Complete, len(m.Cancellations))
	}
	m := tell(9000, 60_000)
	if m.Complete || len(m.Cancellations) > 0 {
		t.Errorf("beyond a frame: complete %v, %d named", m.Complete, len(m.Cancellations))
	}
	l.n.now = l.n.now.Add(2 * config.Seconds(l.n.cfg.Cluster.Agents.CancelS))
	if m := tell(60_000, 60_001); !m.Complete || len(m.Cancellations) != 1 {
		t.Errorf("old ones stay: complete %v, %d named", m.Complete, len(m.Cancellations))
	}
}
