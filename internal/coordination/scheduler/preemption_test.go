package scheduler

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/protocol"
)

// TestHigherPriorityPreemptsOnlyWhatItNeeds: a job of higher priority preempts as much as it
// needs and no more. A job of equal priority preempts nothing.
func TestHigherPriorityPreemptsOnlyWhatItNeeds(t *testing.T) {
	h := newHarness()
	machine := h.cluster.AddMachine("i-1", "big", "a")
	spec := clustertest.Array(4)
	spec.Priority = "idle"
	low := h.cluster.AddJob(spec)
	h.RunCycle()
	h.cluster.Run(low)
	same := clustertest.Gang(1, 2)
	same.Priority = "idle"
	h.cluster.AddJob(same)
	h.RunCycle()
	checkStopping(t, low, 0)
	high := clustertest.Gang(1, 2)
	high.Priority = "high"
	h.cluster.AddJob(high)
	h.RunCycle()
	checkStopping(t, low, 2)
	h.RunCycle()
	checkStopping(t, low, 2)
	if machine.ReservedFor == nil {
		t.Error("the freed capacity is not reserved")
	}
}

// TestJobWithAttributedFailuresPreemptsNothing: a job whose failures were attributed to the job
// is placed on free capacity, but preempts nothing and requests no machines.
func TestJobWithAttributedFailuresPreemptsNothing(t *testing.T) {
	h := newHarness()
	h.cluster.AddMachine("i-1", "big", "a")
	spec := clustertest.Array(4)
	spec.Priority = "idle"
	low := h.cluster.AddJob(spec)
	h.RunCycle()
	h.cluster.Run(low)
	high := clustertest.Gang(1, 2)
	high.Priority = "high"
	job := h.cluster.AddJob(high)
	job.Failures.Attribute(h.cluster.Now())
	if demand := h.RunCycle(); len(demand) != 0 {
		t.Errorf("%d jobs request machines", len(demand))
	}
	checkStopping(t, low, 0)
	h.cluster.AddMachine("i-2", "big", "a")
	h.RunCycle()
	if !job.FullyPlaced() {
		t.Error("the job is not placed on the free machine")
	}
}

// TestGuaranteedQuotaIsReclaimed: a team within its guarantee preempts work of a team beyond its
// own guarantee, but no work of higher priority and no work within that team's guarantee.
func TestGuaranteedQuotaIsReclaimed(t *testing.T) {
	for _, c := range []struct {
		name       string
		priority   string
		guaranteed bool
		want       int
	}{
		{name: "work beyond its team's guarantee", priority: "normal", want: 2},
		{name: "work of higher priority", priority: "high"},
		{name: "work within its team's guarantee", priority: "normal", guaranteed: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			h.cluster.AddMachine("i-1", "big", "a")
			spec := clustertest.Array(4)
			spec.Priority = c.priority
			if c.guaranteed {
				h.cluster.Quotas["free"].GuaranteedGPUs = 4
			}
			other := h.cluster.AddJob(spec)
			h.RunCycle()
			h.cluster.Run(other)
			spec.Team, spec.Tasks, spec.Priority = "tight", 2, "normal"
			h.cluster.AddJob(spec)
			h.RunCycle()
			checkStopping(t, other, c.want)
		})
	}
}

// TestJobThatFitsGuaranteeLaterReclaimsNothing: a job that was beyond its team's guarantee when it
// was queued, and comes within it while other jobs of its team still wait, preempts nothing.
// Otherwise the teams of an overloaded deployment would keep preempting each other.
func TestJobThatFitsGuaranteeLaterReclaimsNothing(t *testing.T) {
	h := newHarness()
	h.cluster.AddMachine("i-1", "big", "a")
	spec := clustertest.Gang(4, 1)
	spec.Shape = protocol.ShapeArray
	other := h.cluster.AddJob(spec)
	h.RunCycle()
	h.cluster.Run(other)
	spec.Team, spec.Tasks, spec.Zone = "tight", 2, "b"
	first := h.cluster.AddJob(spec) // uses the team's whole guarantee, waits for zone b
	spec.Zone = ""
	h.cluster.AddJob(spec)
	spec.Tasks = 3
	h.cluster.AddJob(spec)
	h.RunCycle()
	first.Finish()
	delete(h.cluster.Jobs, first.ID)
	h.RunCycle()
	checkStopping(t, other, 0)
}

// TestRecoveryPreemptsNothingBeforeAgentsReport: after a failover, nothing is preempted for a job
// while machines that have not reported yet may have free capacity for it.
func TestRecoveryPreemptsNothingBeforeAgentsReport(t *testing.T) {
	h := newHarness()
	h.cluster.AddMachine("i-1", "big", "a")
	spec := clustertest.Array(4)
	spec.Priority = "idle"
	low := h.cluster.AddJob(spec)
	h.RunCycle()
	h.cluster.Run(low)
	unreported := h.cluster.AddMachine("i-2", "big", "a")
	unreported.Recovered, unreported.Agent.Heard, unreported.Agent.TokenConfirmed = true, false, false
	high := clustertest.Gang(1, 2)
	high.Priority = "high"
	h.cluster.AddJob(high)
	h.environment.InRecovery = true
	h.RunCycle()
	checkStopping(t, low, 0)
	h.cluster.Advance(h.cluster.SilenceTimeout() + time.Second)
	h.cluster.Heartbeat(h.cluster.Machines["i-1"])
	h.RunCycle()
	checkStopping(t, low, 2)
}

// TestLongWaitingGangReservesFreeMachines: a gang that has waited longer than the backfill barrier
// delay reserves the free machines of the zone where most of its tasks fit, so that smaller
// jobs behind it cannot take them.
func TestLongWaitingGangReservesFreeMachines(t *testing.T) {
	h := newHarness()
	h.cluster.AddMachine("i-1", "big", "a")
	spec := clustertest.Gang(2, 4)
	spec.OneZone = true
	job := h.cluster.AddJob(spec)
	h.RunCycle()
	h.cluster.Advance(h.cluster.Config.Operator.BackfillBarrierDelay + time.Second)
	h.cluster.Heartbeat()
	small := h.cluster.AddJob(clustertest.Gang(1, 1))
	h.RunCycle()
	if len(small.Attempts) != 0 || len(job.Attempts) != 0 {
		t.Errorf("the smaller job is placed, or the gang is placed too early")
	}
	h.cluster.AddMachine("i-2", "big", "a")
	h.RunCycle()
	if len(job.Attempts) != 2 {
		t.Errorf("the gang is not placed although it fits")
	}
}
