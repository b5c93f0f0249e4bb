package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// TestSlowControllersKeepLeaseUnderLoad plays days of controllers that take time for what they do,
// on 1.8% of a core each and with half as many machines again as the deployment
// of such controllers has: a crowd of jobs, a flood of questions, and the loss of
// one controller and then of all. Every rule holds, everybody is served, and a
// leader loses its leader lease to nothing but its own end.
func TestSlowControllersKeepLeaseUnderLoad(t *testing.T) {
	t.Parallel()
	shape := smallestBudgetShape()
	shape.Slow = true
	shape.Capacity = 328
	shape.Resources.Cores, shape.Resources.MemoryMB = 0.018, 65
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := startWorld(seed, shape, 3*time.Second)
			terms := w.leaderLeaseRevision()
			w.submitJobBurst(60, 100*time.Second)
			// Users ask about jobs that nobody submitted, fifty a second.
			for i := range 500 {
				w.after(40*time.Second+time.Duration(i)*20*time.Millisecond, func() {
					c := w.nodes[i%len(w.nodes)]
					c.ask(statusQuery(jobID(900_000+i)), func(status int, _ []byte) {
						if status == 200 {
							t.Error("a job that nobody submitted is known")
						}
					})
				})
			}
			w.Run(60 * time.Second)
			if got := w.leaderLeaseRevision(); got != terms {
				t.Errorf("the leader lease was lost to load: revision %d, then %d", terms, got)
			}
			w.leader().crash(4 * time.Second)
			w.Run(20 * time.Second)
			w.crashAll(4 * time.Second)
			w.Run(20 * time.Second)
			terms = w.leaderLeaseRevision()
			w.faultsEndedAt = w.Now
			w.finishAndCheck(t, 700*time.Second)
			if got := w.leaderLeaseRevision(); got != terms {
				t.Errorf("the leader lease was lost after the faults: revision %d, then %d", terms, got)
			}
			for _, c := range w.nodes {
				t.Logf("%s: at most %v answers, reports and users' requests waited", c.name, c.backlog.maxQueued)
			}
		})
	}
}

// leaderLeaseRevision is the revision of the leader lease that stands.
func (w *World) leaderLeaseRevision() protocol.Revision {
	return w.store.keys[storage.LeaderKey].Revision
}
