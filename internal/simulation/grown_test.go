package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
)

// Grown is a deployment of a thousand machines and three zones.
func grown() Shape {
	s := Small()
	s.Zones = []protocol.ZoneName{"east", "north", "west"}
	s.Machines, s.Capacity = 260, 1200
	s.Type = protocol.MachineType{Name: "two", CPUs: 24, GPUs: 2, MemoryGB: 144, CacheGB: 120, FetchGBPerS: 0.6, Price: 5, SpotPrice: 2, BootS: 20, Zones: s.Zones}
	s.Teams = nil
	for i := range 8 {
		s.Teams = append(s.Teams, config.Team{Name: protocol.TeamName(fmt.Sprint("team-", i)), GPUs: 200, MaxGPUs: 800})
	}
	s.Workers = config.AgentTimings{ReportS: 5, LeaseS: 31, GangWaitS: 50, GangPeerS: 8, CancelS: 51}
	s.State = config.StoreLimits{RPS: 250, WriteRPS: 30, ValueKB: 8, TxnOps: 24}
	s.Cloud = config.CloudLimits{RPS: 8, ListLagS: 5}
	s.Resources = config.ProcessLimits{Cores: 0.24, MemoryMB: 234, FDLimit: 2000}
	return s
}

// crowd makes gangs and arrays of many sizes come for a while.
func (w *World) crowd(jobs int, span time.Duration) {
	for i := range jobs {
		spec := array(protocol.JobID(fmt.Sprintf("run-%06d", 100+i)), 1+w.rng.IntN(40))
		spec.Class, spec.Team, spec.Priority, spec.Spot = "array", w.shape.Teams[w.rng.IntN(len(w.shape.Teams))].Name, "idle", true
		spec.Image, spec.ImageGB, spec.EstimateS, spec.DeadlineS = fmt.Sprint("img-", w.rng.IntN(12)), 6, 40, 150
		spec.MemoryGB = 54
		if w.rng.IntN(3) == 0 {
			spec.Class, spec.Shape, spec.Priority, spec.Tasks = "gang", protocol.ShapeGang, "high", 1<<w.rng.IntN(6)
			spec.GPUs, spec.CPUs, spec.MemoryGB, spec.OneZone, spec.Spot, spec.DeadlineS = w.shape.Type.GPUs, 20, 110, true, false, 0
			spec.CheckpointS, spec.SaveS, spec.EstimateS = 45, 4, 120
		}
		w.submit(w.between(0, span), spec, spec.EstimateS*(0.5+w.rng.Float64()), 0, false)
	}
}

// weakest is a deployment of two hundred machines behind the smallest budgets.
func weakest() Shape {
	s := Small()
	s.Machines, s.Capacity = 36, 218
	s.Teams = []config.Team{{Name: "red"}, {Name: "blue"}, {Name: "free"}}
	s.Workers.ReportS = 5
	return s
}

// TestSizes plays a day of a thousand machines and one behind the smallest
// budgets: everything is served, and the work that is done and asked of the
// state service keeps within bounds, counted, not timed.
func TestSizes(t *testing.T) {
	t.Parallel()
	for name, day := range map[string]struct {
		shape Shape
		jobs  int
	}{"thousand": {grown(), 200}, "weakest": {weakest(), 60}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := NewShaped(1, logs(), day.shape)
			w.crowd(day.jobs, 120*time.Second)
			w.finish(t, 600*time.Second)
			span := w.Now.Sub(time.Unix(1_800_000_000, 0)).Seconds()
			t.Logf("%.0f s: %d steps, %d requests, %d changes, %d bytes, %d refused", span, w.steps, w.state.requests, w.state.changed, w.state.bytes, w.state.refused)
			if w.state.refused > 20 {
				t.Errorf("the state service refuses %d requests beyond its budget", w.state.refused)
			}
			if limit := 25 * day.jobs; w.state.changed > limit {
				t.Errorf("%d changes for %d jobs", w.state.changed, day.jobs)
			}
			if limit := 40_000 * day.jobs; w.state.bytes > limit {
				t.Errorf("%d bytes for %d jobs", w.state.bytes, day.jobs)
			}
			// Ten ticks a second at each of three nodes, and the events.
			if limit := int(span) * (30 + day.shape.Capacity/2); w.steps > limit {
				t.Errorf("%d steps in %.0f s", w.steps, span)
			}
		})
	}
}
