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

// These tests cover limits that fleets of several thousand machines reach.

// TestGangStartsAreQueuedInTaskOrder: the starts of a gang are sent in task order, not in map
// order, so that the same seed gives the same simulation run.
func TestGangStartsAreQueuedInTaskOrder(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	for i := range 24 {
		l.testMachine(protocol.MachineID(fmt.Sprintf("i-%02d", i)), "big", "a")
	}
	job := l.testJob(gangOf(24, 4))
	if !l.cycleFullyPlaces(job) {
		t.Fatal("the gang is not placed")
	}
	l.agents.Calls.Limiter.SetBurst(0) // no calls are allowed: pending commands stay in the queue
	l.agents.Calls.Limiter.SetLimit(1)
	commitOutcomes{l}.JobCommitted(job, nil)
	var want []*cluster.Machine
	for _, attempt := range job.SortedAttempts() {
		want = append(want, attempt.Machine)
	}
	if !slices.Equal(l.agents.Delivery.Pending(), want) {
		t.Error("the starts are not queued in task order")
	}
}

// TestConfirmationNamesManyCancellations: a node that has confirmed more than four thousand
// cancellations to users names them all to the leader, as long as they fit in one frame.
func TestConfirmationNamesManyCancellations(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	l.n.peers.Add("p")
	confirmAfterQueries := func(from, to int) protocol.PeerConfirmation {
		for i := from; i < to; i++ {
			jobID := protocol.JobID(fmt.Sprintf("run-%06d", i))
			l.n.api.JobFinished(jobID, storage.FinalRecord{Phase: protocol.PhaseCancelled})
			l.n.api.Query(uint64(i), jobID)
		}
		l.n.out = nil
		l.n.receive("p", 1, protocol.PeerConfirmationRequest{ID: 1})
		return l.n.out[0].(PeerSend).Message.(protocol.PeerConfirmation)
	}
	if m := confirmAfterQueries(0, 9000); !m.Complete || len(m.Cancellations) != 9000 {
		t.Errorf("complete %v, %d cancellations, want all 9000", m.Complete, len(m.Cancellations))
	}
	m := confirmAfterQueries(9000, 60_000)
	if m.Complete || len(m.Cancellations) > 0 {
		t.Errorf("more than a frame holds: complete %v, %d cancellations, want none", m.Complete, len(m.Cancellations))
	}
	l.n.now = l.n.now.Add(2 * config.Seconds(l.n.cfg.Cluster.Agents.CancelS))
	if m := confirmAfterQueries(60_000, 60_001); !m.Complete || len(m.Cancellations) != 1 {
		t.Errorf("after the old ones expired: complete %v, %d cancellations, want 1", m.Complete, len(m.Cancellations))
	}
}
