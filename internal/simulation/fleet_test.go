package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// fleet is a deployment of two thousand machines on controllers and budgets not
// much larger than those of a thousand.
func fleet() Shape {
	s := grown()
	s.Machines, s.Capacity = 420, 2000
	for i := range s.Teams {
		s.Teams[i].GPUs, s.Teams[i].MaxGPUs = 380, 1350
	}
	s.State = config.StoreLimits{RPS: 300, WriteRPS: 35, ValueKB: 8, TxnOps: 24}
	s.Cloud = config.CloudLimits{RPS: 9, ListLagS: 5}
	s.Resources = config.ProcessLimits{Cores: 0.25, MemoryMB: 271, FDLimit: 2127}
	return s
}

// fleet4000 is a deployment of four thousand machines and half as many again that a
// burst can rent, on controllers and budgets that are wider by about the same.
func fleet4000() Shape {
	s := fleet()
	s.Machines, s.Capacity = 4000, 6000
	for i := range s.Teams {
		s.Teams[i].GPUs, s.Teams[i].MaxGPUs = 1000, 4000
	}
	s.State = config.StoreLimits{RPS: 600, WriteRPS: 70, ValueKB: 8, TxnOps: 24}
	s.Cloud = config.CloudLimits{RPS: 12, ListLagS: 5}
	s.Resources = config.ProcessLimits{Cores: 0.5, MemoryMB: 540, FDLimit: 4200}
	return s
}

// TestFleetFallsTogether plays a day of two thousand machines.
func TestFleetFallsTogether(t *testing.T) {
	if testing.Short() {
		t.Skip("a day of two thousand machines")
	}
	t.Parallel()
	w := NewShaped(1, logs(), fleet())
	w.crowd(200, 70*time.Second)
	w.fallsTogether(t, 150)
}

// TestFleetOf4000 plays one of four thousand, which work takes whole at once and half as
// many again after: arrays of thousands of tasks beside gangs.
func TestFleetOf4000(t *testing.T) {
	if testing.Short() {
		t.Skip("a day of four thousand machines")
	}
	t.Parallel()
	w := NewShaped(1, logs(), fleet4000())
	w.crowd(300, 70*time.Second)
	for i := range 8 {
		spec := array(protocol.JobID(fmt.Sprintf("run-%06d", 900+i)), 1300)
		spec.Class, spec.Team, spec.Priority, spec.Spot, spec.EstimateS = "array", w.shape.Teams[i].Name, "idle", true, 40
		w.submit(w.between(0, 20*time.Second), spec, 30+20*w.rng.Float64(), 0, false)
	}
	w.fallsTogether(t, 1400)
}

// fallsTogether goes on with a day: a zone goes dark, many machines die together, the
// state service is out for 25 s and all controllers are lost at its end. Every rule
// holds, everybody is served, and what is done and asked keeps within bounds that are
// counted, not timed.
func (w *World) fallsTogether(t *testing.T, die int) {
	shape, jobs := w.shape, len(w.users)
	w.Run(40 * time.Second)
	dark := shape.Zones[2]
	w.interrupt(40*time.Second, true, func(a, b string) bool {
		return (w.zoneOf[a] == dark) != (w.zoneOf[b] == dark)
	})
	w.Run(42 * time.Second)
	lost := 0
	for _, h := range w.cloud.hosts {
		if k := w.workers[h.ID]; k != nil && lost < die {
			lost++
			k.kill()
			delete(w.workers, h.ID)
		}
	}
	w.Run(10 * time.Second)
	w.state.outage(25 * time.Second)
	w.Run(24 * time.Second)
	for _, c := range w.nodes {
		c.crash(4 * time.Second)
	}
	before := w.steps
	calls, requests, changed := w.calls, w.state.requests, w.state.changed
	returned := w.Now
	accepted := w.submit(0, array("run-000001", 1), 10, 0, false)
	accepted.j.spec.Team = shape.Teams[0].Name
	w.waitFor(t, 20*time.Second, "a submission is accepted", func() bool { return accepted.accepted })
	t.Logf("%d machines of %d lost, then all controllers: a submission is accepted after %v", lost, len(w.workers)+lost, w.Now.Sub(returned))
	starts := w.rules.started
	w.waitFor(t, 20*time.Second, "something is placed", func() bool { return w.rules.started > starts })
	t.Logf("a task starts after %v", w.Now.Sub(returned))
	w.Run(returned.Add(20 * time.Second).Sub(w.Now))
	t.Logf("in the 20 s after the loss: %d steps, %d calls to workers, %d requests, %d changes", w.steps-before, w.calls-calls, w.state.requests-requests, w.state.changed-changed)
	if n, limit := w.calls-calls, int(21*shape.Resources.Cores*tuning.AgentCallCPUShare/tuning.AgentCallCPUCost.Seconds()); n > limit {
		t.Errorf("%d calls to workers in 20 s, %d fit the controllers' share", n, limit)
	}
	w.faultsOver = w.Now
	w.finish(t, 700*time.Second)
	span := w.Now.Sub(time.Unix(1_800_000_000, 0)).Seconds()
	t.Logf("%.0f s: %d steps, %d requests, %d changes, %d bytes, %d refused; at most %d calls to workers at once", span, w.steps, w.state.requests, w.state.changed, w.state.bytes, w.state.refused, w.most)
	if limit := int(float64(shape.Resources.FDLimit) * tuning.AgentCallConnectionShare); w.most > limit {
		t.Errorf("%d calls to workers under way at once", w.most)
	}
	if w.state.refused > 40 {
		t.Errorf("the state service refuses %d requests beyond its budget", w.state.refused)
	}
	if limit := int(span * shape.State.WriteRPS); w.state.changed > limit {
		t.Errorf("%d changes in %.0f s", w.state.changed, span)
	}
	if limit := 40_000 * jobs; w.state.bytes > limit {
		t.Errorf("%d bytes for %d jobs", w.state.bytes, jobs)
	}
	if limit := int(span) * (30 + shape.Capacity/2); w.steps > limit {
		t.Errorf("%d steps in %.0f s", w.steps, span)
	}
}
