package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// TestSlowControllersKeepLeaseUnderLoad: in this simulation the controllers' work takes time. Each
// controller has 1.8% of a core. There may be half as many machines again as in the deployment with
// such controllers. Under a burst of jobs, a flood of status queries, and the crash of one
// controller and then of all, every rule holds, all jobs are served, and a leader loses its leader
// lease only by its own crash.
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
			leaderLeaseRevision := w.leaderLeaseRevision()
			w.submitJobBurst(60, 100*time.Second)
			// Users send fifty status queries a second for jobs that nobody submitted.
			for i := range 500 {
				w.after(40*time.Second+time.Duration(i)*20*time.Millisecond, func() {
					c := w.nodes[i%len(w.nodes)]
					c.ask(statusQuery(jobID(900_000+i)), func(status int, _ []byte) {
						if status == 200 {
							t.Error("a status query for a job that nobody submitted finds it")
						}
					})
				})
			}
			w.Run(60 * time.Second)
			if got := w.leaderLeaseRevision(); got != leaderLeaseRevision {
				t.Errorf("the leader lease was lost under load: revision %d, then %d", leaderLeaseRevision, got)
			}
			w.leader().crash(4 * time.Second)
			w.Run(20 * time.Second)
			w.crashAll(4 * time.Second)
			w.Run(20 * time.Second)
			leaderLeaseRevision = w.leaderLeaseRevision()
			w.faultsEndedAt = w.Now
			w.finishAndCheck(t, 700*time.Second)
			if got := w.leaderLeaseRevision(); got != leaderLeaseRevision {
				t.Errorf("the leader lease was lost after the faults: revision %d, then %d", leaderLeaseRevision, got)
			}
			for _, c := range w.nodes {
				t.Logf("%s: at most %v responses and peer messages, agents' heartbeats and users' requests waited", c.name, c.backlog.maxQueued)
			}
		})
	}
}

// leaderLeaseRevision returns the revision of the leader lease's record, which changes whenever the
// lease is acquired.
func (w *World) leaderLeaseRevision() protocol.Revision {
	return w.store.keys[storage.LeaderKey].Revision
}
