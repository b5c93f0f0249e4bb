package scheduler

import (
	"fmt"
	"testing"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// fillFleet adds two thousand machines, all taken by arrays of the lowest priority.
func (h *harness) fillFleet() {
	for i := range 2000 {
		h.cluster.AddMachine(protocol.MachineID(fmt.Sprintf("i-%06d", i)), "big", []protocol.ZoneName{"a", "b", "c"}[i%3])
	}
	spec := clustertest.Gang(100, 2)
	spec.Shape, spec.Priority = protocol.ShapeArray, "idle"
	for range 40 {
		job := h.cluster.AddJob(spec)
		h.placeArray(job, imageOptional)
		h.cluster.Run(job)
	}
}

// TestCycleExaminesBoundedNumberOfMachines: with two thousand machines full of work, a
// cycle over a long queue examines each machine a few times, not once for every job, and
// every job still has its turn at a search. Unbounded cycles once took longer than the
// leader lease lasts; each new leader fared no better than the last.
func TestCycleExaminesBoundedNumberOfMachines(t *testing.T) {
	const cores = 0.2
	budget := int(cores * float64(tuning.MaxSchedulingCycle/tuning.CandidateCPUCost))
	t.Run("nothing preemptible", func(t *testing.T) {
		h := newHarness()
		h.fillFleet()
		for _, job := range h.cluster.Jobs {
			job.Priority = protocol.PriorityCritical
		}
		h.cluster.Config.Cluster.Process.Cores = cores
		h.checkExamined(t, h.addWaitingGangs(), 4*len(h.cluster.OrderedMachines)) // schedulable, vacant and preemptible ones
	})
	t.Run("all preemptible", func(t *testing.T) {
		h := newHarness()
		h.fillFleet()
		h.cluster.Config.Cluster.Process.Cores = cores
		waiting := h.addWaitingGangs()
		h.checkExamined(t, waiting, 4*len(h.cluster.OrderedMachines)+budget+len(h.cluster.OrderedMachines)*len(h.cluster.Config.Cluster.Zones))
		searched := 0
		for _, job := range waiting {
			if !job.Queue.PreemptionSearchNotBefore.IsZero() || len(job.Reserved) > 0 {
				searched++
			}
		}
		if searched < len(waiting)/2 {
			t.Errorf("victims were searched for %d of %d jobs", searched, len(waiting))
		}
	})
}

// addWaitingGangs adds six hundred gangs that do not fit.
func (h *harness) addWaitingGangs() (waiting []*cluster.Job) {
	for i := range 600 {
		spec := clustertest.Gang(64, 4)
		spec.OneZone, spec.Spot, spec.Image = true, true, fmt.Sprint("img-", i%7)
		waiting = append(waiting, h.cluster.AddJob(spec))
	}
	return waiting
}

// checkExamined checks how many machines each of sixty cycles examines.
func (h *harness) checkExamined(t *testing.T, waiting []*cluster.Job, limit int) {
	t.Helper()
	for range 60 {
		h.cluster.Advance(tuning.MinSchedulingInterval)
		h.cluster.Heartbeat()
		h.RunCycle()
		if h.MachinesExamined() > limit {
			t.Fatalf("%d machines examined of %d in one cycle with %d jobs waiting", h.MachinesExamined(), len(h.cluster.OrderedMachines), len(waiting))
		}
	}
}

// TestQueueOrder: by priority, then in order of arrival; in a recovery the largest gangs of
// a priority come first.
func TestQueueOrder(t *testing.T) {
	h := newHarness()
	small, large := h.cluster.AddJob(clustertest.Gang(1, 1)), h.cluster.AddJob(clustertest.Gang(8, 1))
	spec := clustertest.Gang(2, 1)
	spec.Priority = "high"
	high := h.cluster.AddJob(spec)
	for _, c := range []struct {
		inRecovery bool
		want       []*cluster.Job
	}{
		{inRecovery: false, want: []*cluster.Job{high, small, large}},
		{inRecovery: true, want: []*cluster.Job{high, large, small}},
	} {
		h.environment.InRecovery = c.inRecovery
		for i, job := range h.Queue() {
			if job != c.want[i] {
				t.Errorf("in recovery %v: %s at place %d, want %s", c.inRecovery, job.ID, i, c.want[i].ID)
			}
		}
	}
}

// TestJobWhoseStartsAreWithheldIsNotPlaced: a job that must not start anything yet keeps no place and asks
// for no machine.
func TestJobWhoseStartsAreWithheldIsNotPlaced(t *testing.T) {
	h := newHarness()
	h.cluster.AddMachine("i-1", "big", "a")
	job := h.cluster.AddJob(clustertest.Gang(1, 1))
	h.environment.Withheld = map[*cluster.Job]bool{job: true}
	if demand := h.RunCycle(); len(demand) != 0 || len(job.Attempts) != 0 {
		t.Errorf("%d jobs want machines, %d places", len(demand), len(job.Attempts))
	}
}
