package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// TestPassIsBounded: with two thousand machines full of work, a pass over a long
// queue looks at each machine a few times, not once for every job, and every
// job still has its turn at a search. Unbounded passes once took longer than
// the leader lease lasts; each new leader fared no better than the last.
func TestPassIsBounded(t *testing.T) {
	for _, high := range []bool{true, false} {
		l := fullFleet(0)
		if high {
			for _, job := range l.cluster.Jobs {
				job.Priority = protocol.PriorityCritical // nothing yields
			}
		}
		l.n.cfg.Cluster.Resources.Cores = 0.2
		var waiting []*cluster.Job
		for i := range 600 {
			s := gangOf(64, 4)
			s.OneZone, s.Spot, s.Image = true, true, fmt.Sprint("img-", i%7)
			waiting = append(waiting, l.testJob(s))
		}
		for range 60 {
			l.n.now = l.n.now.Add(tuning.MinSchedulingInterval)
			for _, machine := range l.cluster.OrderedMachines {
				machine.Agent.LastHeartbeat = l.n.now
			}
			l.runSchedulingCycle()
			limit := 4 * len(l.cluster.OrderedMachines) // what is open, vacant and could yield
			if !high {
				limit += int(0.2*float64(tuning.MaxSchedulingCycle/tuning.CandidateCPUCost)) + len(l.cluster.OrderedMachines)*len(l.n.cfg.Cluster.Zones)
			}
			if l.scheduler.Examined > limit {
				t.Fatalf("nothing yields %v: %d looks at %d machines in one pass", high, l.scheduler.Examined, len(l.cluster.OrderedMachines))
			}
		}
		searched := 0
		for _, job := range waiting {
			if !job.Queue.PreemptionNotBefore.IsZero() || len(job.Reserved) > 0 {
				searched++
			}
		}
		if !high && searched < len(waiting)/2 {
			t.Errorf("room was looked for for %d of %d jobs", searched, len(waiting))
		}
	}
}

// TestRoomBesideGPUs: a task that takes no GPUs has the processors that are left
// on a machine whose GPUs are all taken; nothing is rented for it. One that
// takes GPUs has none there.
func TestRoomBesideGPUs(t *testing.T) {
	for gpus, rentals := range map[float64]int{0: 0, 1: 1} {
		l := testLeader(time.Unix(1_800_000_000, 0))
		l.testMachine("i-1", "big", "a", false)
		full := gangOf(1, bigType.GPUs)
		if !l.scheduler.PlaceGang(l.testJob(full)) {
			t.Fatal("the machine does not hold the first gang")
		}
		s := gangOf(1, gpus)
		s.Zone = "a"
		job := l.testJob(s)
		l.runSchedulingCycle()
		if placed := len(job.Attempts) == 1; placed != (gpus == 0) {
			t.Errorf("%v GPUs: placed %v", gpus, placed)
		}
		if len(job.Attempts) == 0 {
			l.autoscaler.Demand = []scheduler.Demand{{Job: job, Tasks: 1}}
		}
		l.autoscaler.ScaleOut()
		if l.autoscaler.PendingRentals() != rentals {
			t.Errorf("%v GPUs: %d rentals", gpus, l.autoscaler.PendingRentals())
		}
	}
}
