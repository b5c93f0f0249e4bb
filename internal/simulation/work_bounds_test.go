package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
)

// thousandMachineShape returns a deployment in three zones that can grow to about a thousand
// machines.
func thousandMachineShape() Shape {
	s := SmallShape()
	s.Zones = []protocol.ZoneName{"east", "north", "west"}
	s.Machines, s.Capacity = 260, 1200
	s.Type = protocol.MachineType{Name: "two", CPUs: 24, GPUs: 2, MemoryGB: 144, CacheGB: 120, FetchGBPerS: 0.6, Price: 5, SpotPrice: 2, BootS: 20, Zones: s.Zones}
	s.Teams = nil
	for i := range 8 {
		s.Teams = append(s.Teams, config.Team{Name: protocol.TeamName(fmt.Sprint("team-", i)), GPUs: 200, MaxGPUs: 800})
	}
	s.Agents = config.AgentTimings{ReportS: 5, LeaseS: 31, GangWaitS: 50, GangPeerS: 8, CancelS: 51}
	s.Store = config.StoreLimits{RPS: 250, WriteRPS: 30, ValueKB: 8, TxnOps: 24}
	s.Cloud = config.CloudLimits{RPS: 8, ListLagS: 5}
	s.Resources = config.ProcessLimits{Cores: 0.24, MemoryMB: 234, FDLimit: 2000}
	return s
}

// threeZoneShape returns a deployment of a few machines in three zones. The resources of its
// controllers are not limited.
func threeZoneShape(machines int) Shape {
	s := thousandMachineShape()
	s.Machines, s.Capacity, s.Resources = machines, 60, config.ProcessLimits{}
	return s
}

// submitJobBurst submits gangs and arrays of many sizes at random times within span.
func (w *World) submitJobBurst(jobs int, span time.Duration) {
	for i := range jobs {
		spec := array(jobID(100+i), 1+w.rng.IntN(40))
		withQueue(spec, "array", w.shape.Teams[w.rng.IntN(len(w.shape.Teams))].Name, "idle").Spot = true
		spec.Image, spec.ImageGB, spec.EstimateS, spec.DeadlineS = fmt.Sprint("img-", w.rng.IntN(12)), 6, 40, 150
		spec.MemoryGB = 54
		if w.rng.IntN(3) == 0 {
			spec.Class, spec.Shape, spec.Priority, spec.Tasks = "gang", protocol.ShapeGang, "high", 1<<w.rng.IntN(6)
			withCheckpoints(withTaskResources(spec, 20, w.shape.Type.GPUs, 110), 45, 4)
			spec.OneZone, spec.Spot, spec.DeadlineS, spec.EstimateS = true, false, 0, 120
		}
		w.submit(arrival{after: w.between(0, span), job: spec, run: spec.EstimateS * (0.5 + w.rng.Float64())})
	}
}

// smallestBudgetShape returns a deployment with the smallest budgets, which can grow to about two
// hundred machines.
func smallestBudgetShape() Shape {
	s := SmallShape()
	s.Machines, s.Capacity = 36, 218
	s.Teams = []config.Team{{Name: "red"}, {Name: "blue"}, {Name: "free"}}
	s.Agents.ReportS = 5
	return s
}

// TestControllerWorkKeepsWithinCountedBounds: on a thousand machines, and with the smallest
// budgets, all jobs are served, and the controllers' work and their requests to the key-value store
// stay within bounds. The bounds are counts, not durations.
func TestControllerWorkKeepsWithinCountedBounds(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		shape Shape
		jobs  int
	}{{"thousand machines", thousandMachineShape(), 200}, {"smallest budgets", smallestBudgetShape(), 60}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := NewWithShape(1, logs(), c.shape)
			w.submitJobBurst(c.jobs, 120*time.Second)
			w.finishAndCheck(t, 600*time.Second)
			w.expectWithin(t, workBounds{refused: 20, changes: 25 * c.jobs, bytes: 40_000 * c.jobs})
		})
	}
}

// workBounds are upper bounds on the controllers' requests to the key-value store.
type workBounds struct {
	refused int // requests refused because they exceed the store's budget
	changes int // changed keys
	bytes   int // bytes in requests
}

// expectWithin checks that the controllers' work and requests since the start stay within bounds.
func (w *World) expectWithin(t *testing.T, bounds workBounds) {
	t.Helper()
	span := w.elapsed().Seconds()
	t.Logf("%.0f s: %d steps, %d requests, %d changed keys, %d bytes, %d requests refused", span, w.steps, w.store.requests, w.store.changed, w.store.bytes, w.store.refused)
	if w.store.refused > bounds.refused {
		t.Errorf("the key-value store refused %d requests beyond its budget", w.store.refused)
	}
	if w.store.changed > bounds.changes {
		t.Errorf("%d changed keys, want at most %d", w.store.changed, bounds.changes)
	}
	if w.store.bytes > bounds.bytes {
		t.Errorf("%d bytes in requests, want at most %d", w.store.bytes, bounds.bytes)
	}
	// Ten ticks a second at each of the three controllers, and the steps that handle events.
	if limit := int(span) * (30 + w.shape.Capacity/2); w.steps > limit {
		t.Errorf("%d steps in %.0f s", w.steps, span)
	}
}
