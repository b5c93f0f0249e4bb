package scheduler

import (
	"fmt"
	"testing"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// fillFleet adds two thousand machines and fills them with arrays of the lowest priority.
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

// TestCycleExaminesBoundedNumberOfMachines: on two thousand full machines with a long queue, a
// cycle examines each machine a few times, not once per job. Over many cycles the jobs still
// get their turn to search for victims. A cycle without this bound can take longer than the
// leader lease lasts, and then every new leader loses its lease in the same way.
func TestCycleExaminesBoundedNumberOfMachines(t *testing.T) {
	const cores = 0.2
	budget := int(cores * float64(tuning.MaxSchedulingCycleTime/tuning.CandidateCPUCost))
	t.Run("nothing preemptible", func(t *testing.T) {
		h := newHarness()
		h.fillFleet()
		for _, job := range h.cluster.Jobs {
			job.Priority = protocol.PriorityCritical
		}
		h.cluster.Config.Cluster.Process.Cores = cores
		// Allows for passes to find schedulable machines, free capacity and preemptible work.
		h.checkExamined(t, h.addWaitingGangs(), 4*len(h.cluster.OrderedMachines))
	})
	t.Run("all preemptible", func(t *testing.T) {
		h := newHarness()
		h.fillFleet()
		h.cluster.Config.Cluster.Process.Cores = cores
		waiting := h.addWaitingGangs()
		// The last search may exceed the limit by one pass per zone.
		h.checkExamined(t, waiting, 4*len(h.cluster.OrderedMachines)+budget+len(h.cluster.OrderedMachines)*len(h.cluster.Config.Cluster.Zones))
		searched := 0
		for _, job := range waiting {
			if !job.Queue.PreemptionSearchNotBefore.IsZero() || len(job.Reserved) > 0 {
				searched++
			}
		}
		if searched < len(waiting)/2 {
			t.Errorf("only %d of %d jobs searched for victims", searched, len(waiting))
		}
	})
}

// addWaitingGangs adds six hundred gangs that do not fit into the free capacity.
func (h *harness) addWaitingGangs() (waiting []*cluster.Job) {
	for i := range 600 {
		spec := clustertest.Gang(64, 4)
		spec.OneZone, spec.Spot, spec.Image = true, true, fmt.Sprint("img-", i%7)
		waiting = append(waiting, h.cluster.AddJob(spec))
	}
	return waiting
}

// checkExamined checks that each of sixty cycles examines at most limit machines.
func (h *harness) checkExamined(t *testing.T, waiting []*cluster.Job, limit int) {
	t.Helper()
	for range 60 {
		h.cluster.Advance(tuning.MinSchedulingInterval)
		h.cluster.Heartbeat()
		h.RunCycle()
		if h.MachinesExamined() > limit {
			t.Fatalf("one cycle examined machines %d times in a fleet of %d, with %d jobs waiting", h.MachinesExamined(), len(h.cluster.OrderedMachines), len(waiting))
		}
	}
}

// TestQueueOrder: jobs are queued by priority, then in order of arrival. During a recovery the
// largest gangs of each priority come first.
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
				t.Errorf("recovering %v: %s at position %d, want %s", c.inRecovery, job.ID, i, c.want[i].ID)
			}
		}
	}
}

// TestJobWhoseStartsAreWithheldIsNotPlaced: a job that must not start any task yet is not placed
// and requests no machines.
func TestJobWhoseStartsAreWithheldIsNotPlaced(t *testing.T) {
	h := newHarness()
	h.cluster.AddMachine("i-1", "big", "a")
	job := h.cluster.AddJob(clustertest.Gang(1, 1))
	h.environment.Withheld = map[*cluster.Job]bool{job: true}
	if demand := h.RunCycle(); len(demand) != 0 || len(job.Attempts) != 0 {
		t.Errorf("%d jobs request machines, %d attempts are placed", len(demand), len(job.Attempts))
	}
}
