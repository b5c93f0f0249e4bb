package simulation

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/tuning"
)

// twoThousandMachineShape is a deployment of two thousand machines on controllers and budgets not
// much larger than those of a thousand.
func twoThousandMachineShape() Shape {
	s := thousandMachineShape()
	s.Machines, s.Capacity = 420, 2000
	s.setQuotas(380, 1350)
	s.Store = config.StoreLimits{RPS: 300, WriteRPS: 35, ValueKB: 8, TxnOps: 24}
	s.Cloud = config.CloudLimits{RPS: 9, ListLagS: 5}
	s.Resources = config.ProcessLimits{Cores: 0.25, MemoryMB: 271, FDLimit: 2127}
	return s
}

// fourThousandMachineShape is a deployment of four thousand machines and half as many again that a
// burst can rent, on controllers and budgets that are wider by about the same.
func fourThousandMachineShape() Shape {
	s := twoThousandMachineShape()
	s.Machines, s.Capacity = 4000, 6000
	s.setQuotas(1000, 4000)
	s.Store = config.StoreLimits{RPS: 600, WriteRPS: 70, ValueKB: 8, TxnOps: 24}
	s.Cloud = config.CloudLimits{RPS: 12, ListLagS: 5}
	s.Resources = config.ProcessLimits{Cores: 0.5, MemoryMB: 540, FDLimit: 4200}
	return s
}

// setQuotas gives every team the same quota.
func (s *Shape) setQuotas(guaranteed, limit float64) {
	for i := range s.Teams {
		s.Teams[i].GPUs, s.Teams[i].MaxGPUs = guaranteed, limit
	}
}

// TestTwoThousandMachinesSurviveOverlappingFailures plays a day of two thousand machines.
func TestTwoThousandMachinesSurviveOverlappingFailures(t *testing.T) {
	if testing.Short() {
		t.Skip("a day of two thousand machines")
	}
	t.Parallel()
	w := NewWithShape(1, logs(), twoThousandMachineShape())
	w.submitJobBurst(200, 70*time.Second)
	w.runThroughOverlappingFailures(t, 150)
}

// TestFourThousandMachinesSurviveOverlappingFailures plays one of four thousand, which work takes whole at once and half as
// many again after: arrays of thousands of tasks beside gangs.
func TestFourThousandMachinesSurviveOverlappingFailures(t *testing.T) {
	if testing.Short() {
		t.Skip("a day of four thousand machines")
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

// runThroughOverlappingFailures goes on with a day: a zone goes dark, many machines die together, the
// key-value store is out for 25 s and all controllers are lost at its end. Every rule
// holds, everybody is served, and what is done and asked keeps within bounds that are
// counted, not timed.
func (w *World) runThroughOverlappingFailures(t *testing.T, die int) {
	t.Helper()
	shape, jobs := w.shape, len(w.users)
	w.Run(40 * time.Second)
	w.disconnect(40*time.Second, packetsHeld, w.acrossZoneBoundary(shape.Zones[2]))
	w.Run(42 * time.Second)
	lost := w.loseOldestAgents(die)
	w.Run(10 * time.Second)
	w.store.outage(25 * time.Second)
	w.Run(24 * time.Second)
	w.crashAll(4 * time.Second)
	t.Logf("%d machines of %d lost, then all controllers", lost, len(w.agents)+lost)

	w.expectQuickRecovery(t)
	w.faultsEndedAt = w.Now
	w.finishAndCheck(t, 700*time.Second)

	t.Logf("at most %d calls to workers at once", w.maxConcurrentCalls)
	if limit := int(float64(shape.Resources.FDLimit) * tuning.AgentCallConnectionShare); w.maxConcurrentCalls > limit {
		t.Errorf("%d calls to workers under way at once", w.maxConcurrentCalls)
	}
	changes := int(w.elapsed().Seconds() * shape.Store.WriteRPS)
	w.expectWithin(t, workBounds{refused: 40, changes: changes, bytes: 40_000 * jobs})
}

// expectQuickRecovery checks that controllers that were all lost just now take a submission
// and start a task soon, and that their calls to workers keep within their share.
func (w *World) expectQuickRecovery(t *testing.T) {
	t.Helper()
	steps, calls, requests, changed := w.steps, w.calls, w.store.requests, w.store.changed
	lost := w.Now
	u := w.submit(arrival{job: array("run-000001", 1), run: 10})
	u.job.spec.Team = w.shape.Teams[0].Name
	w.waitFor(t, 20*time.Second, "a submission is accepted", func() bool { return u.accepted })
	t.Logf("a submission is accepted after %v", w.Now.Sub(lost))
	starts := w.rules.started
	w.waitFor(t, 20*time.Second, "something is placed", func() bool { return w.rules.started > starts })
	t.Logf("a task starts after %v", w.Now.Sub(lost))
	w.Run(lost.Add(20 * time.Second).Sub(w.Now))
	t.Logf("in the 20 s after the loss: %d steps, %d calls to workers, %d requests, %d changes", w.steps-steps, w.calls-calls, w.store.requests-requests, w.store.changed-changed)
	if n, limit := w.calls-calls, int(21*w.shape.Resources.Cores*tuning.AgentCallCPUShare/tuning.AgentCallCPUCost.Seconds()); n > limit {
		t.Errorf("%d calls to workers in 20 s, %d fit the controllers' share", n, limit)
	}
}
