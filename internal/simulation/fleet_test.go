package simulation

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/tuning"
)

// twoThousandMachineShape returns a deployment that can grow to two thousand machines. The
// resources and budgets of its controllers are not much larger than those of thousandMachineShape.
func twoThousandMachineShape() Shape {
	s := thousandMachineShape()
	s.Machines, s.Capacity = 420, 2000
	s.setQuotas(380, 1350)
	s.Store = config.StoreLimits{RPS: 300, WriteRPS: 35, ValueKB: 8, TxnOps: 24}
	s.Cloud = config.CloudLimits{RPS: 9, ListLagS: 5}
	s.Resources = config.ProcessLimits{Cores: 0.25, MemoryMB: 271, FDLimit: 2127}
	return s
}

// fourThousandMachineShape returns a deployment of four thousand machines to which a burst of jobs
// can add half as many. The resources and budgets of its controllers are larger than those of
// twoThousandMachineShape in about the same proportion.
func fourThousandMachineShape() Shape {
	s := twoThousandMachineShape()
	s.Machines, s.Capacity = 4000, 6000
	s.setQuotas(1000, 4000)
	s.Store = config.StoreLimits{RPS: 600, WriteRPS: 70, ValueKB: 8, TxnOps: 24}
	s.Cloud = config.CloudLimits{RPS: 12, ListLagS: 5}
	s.Resources = config.ProcessLimits{Cores: 0.5, MemoryMB: 540, FDLimit: 4200}
	return s
}

// setQuotas sets the same guaranteed quota and limit of GPUs for every team.
func (s *Shape) setQuotas(guaranteed, limit float64) {
	for i := range s.Teams {
		s.Teams[i].GPUs, s.Teams[i].MaxGPUs = guaranteed, limit
	}
}

// TestTwoThousandMachinesSurviveOverlappingFailures: two thousand machines with a burst of jobs
// survive the failures of runThroughOverlappingFailures.
func TestTwoThousandMachinesSurviveOverlappingFailures(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates two thousand machines")
	}
	t.Parallel()
	w := NewWithShape(1, logs(), twoThousandMachineShape())
	w.submitJobBurst(200, 70*time.Second)
	w.runThroughOverlappingFailures(t, 150)
}

// TestFourThousandMachinesSurviveOverlappingFailures: four thousand machines survive the same
// failures. The jobs need all of them at once and then half as many more: arrays of more than a
// thousand tasks each, in addition to gangs.
func TestFourThousandMachinesSurviveOverlappingFailures(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates four thousand machines")
	}
	t.Parallel()
	w := NewWithShape(1, logs(), fourThousandMachineShape())
	w.submitJobBurst(300, 70*time.Second)
	for i := range 8 {
		spec := withQueue(array(jobID(900+i), 1300), "array", w.shape.Teams[i].Name, "idle")
		spec.Spot, spec.EstimateS = true, 40
		w.submit(arrival{after: w.between(0, 20*time.Second), job: spec, run: 30 + 20*w.rng.Float64()})
	}
	w.runThroughOverlappingFailures(t, 1400)
}

// runThroughOverlappingFailures continues a run through overlapping failures: a zone is partitioned
// from the others, many machines die together, the key-value store is down for 25 s, and all
// controllers crash at the end of this outage. It checks that every rule holds, that all jobs are
// served, and that the controllers' work and requests stay within bounds. The bounds are counts,
// not durations.
func (w *World) runThroughOverlappingFailures(t *testing.T, machinesToLose int) {
	t.Helper()
	shape, jobs := w.shape, len(w.users)
	w.Run(40 * time.Second)
	w.disconnect(40*time.Second, packetsHeld, w.acrossZoneBoundary(shape.Zones[2]))
	w.Run(42 * time.Second)
	lost := w.loseOldestAgents(machinesToLose)
	w.Run(10 * time.Second)
	w.store.outage(25 * time.Second)
	w.Run(24 * time.Second)
	w.crashAll(4 * time.Second)
	t.Logf("%d machines of %d lost, then all controllers crashed", lost, len(w.agents)+lost)

	w.expectQuickRecovery(t)
	w.faultsEndedAt = w.Now
	w.finishAndCheck(t, 700*time.Second)

	t.Logf("at most %d calls to agents in progress at once at a controller", w.maxConcurrentCalls)
	if limit := int(float64(shape.Resources.FDLimit) * tuning.AgentCallConnectionShare); w.maxConcurrentCalls > limit {
		t.Errorf("%d calls to agents in progress at once at a controller", w.maxConcurrentCalls)
	}
	changes := int(w.elapsed().Seconds() * shape.Store.WriteRPS)
	w.expectWithin(t, workBounds{refused: 40, changes: changes, bytes: 40_000 * jobs})
}

// expectQuickRecovery checks that controllers that have all just crashed soon accept a submission
// and start a task, and that their calls to agents stay within their share of the CPU time.
func (w *World) expectQuickRecovery(t *testing.T) {
	t.Helper()
	steps, calls, requests, changed := w.steps, w.calls, w.store.requests, w.store.changed
	crashedAt := w.Now
	u := w.submit(arrival{job: array("run-000001", 1), run: 10})
	u.job.spec.Team = w.shape.Teams[0].Name
	w.waitFor(t, 20*time.Second, "a submission is accepted", func() bool { return u.accepted })
	t.Logf("a submission is accepted after %v", w.Now.Sub(crashedAt))
	starts := w.rules.started
	w.waitFor(t, 20*time.Second, "a task starts", func() bool { return w.rules.started > starts })
	t.Logf("a task starts after %v", w.Now.Sub(crashedAt))
	w.Run(crashedAt.Add(20 * time.Second).Sub(w.Now))
	t.Logf("in the 20 s after the crash: %d steps, %d calls to agents, %d requests to the store, %d changed keys", w.steps-steps, w.calls-calls, w.store.requests-requests, w.store.changed-changed)
	if n, limit := w.calls-calls, int(21*w.shape.Resources.Cores*tuning.AgentCallCPUShare/tuning.AgentCallCPUCost.Seconds()); n > limit {
		t.Errorf("%d calls to agents in 20 s, the controllers' share of the CPU time allows %d", n, limit)
	}
}
