package scheduler

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// TestReservationNeedsAWayToItsEnd: a gang that could never get the rest of its machines kept the
// free ones from all jobs behind it, for good.
func TestReservationNeedsAWayToItsEnd(t *testing.T) {
	runningWork := func(spec protocol.Job, estimateS float64) func(*harness) {
		return func(h *harness) {
			spec.EstimateS, spec.Priority = estimateS, "critical"
			job := h.cluster.AddJob(spec)
			h.cluster.PlaceAll(job, h.cluster.AddMachine("i-2", "big", "a"))
			h.cluster.Run(job)
		}
	}
	for _, c := range []struct {
		name         string
		other        func(h *harness)
		wantReserved bool
	}{
		{"no other machine", func(*harness) {}, false},
		{"the cloud may create one", func(h *harness) { h.environment.NoMachines = false }, true},
		{"one with tasks that end soon", runningWork(clustertest.Array(4), 50), true},
		{"one with tasks that go on for long", runningWork(clustertest.Array(4), 500), false},
		{"one with replicas", runningWork(clustertest.Service(4, 8), 0), false},
		{"one that boots", func(h *harness) { h.cluster.EnsureMachine("i-2", "h:2", "big", "a", false) }, true},
		{"one that is cordoned", func(h *harness) { h.cluster.AddMachine("i-2", "big", "a").Cordon(h.cluster.Now()) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			h.environment.NoMachines = true
			h.cluster.AddMachine("i-1", "big", "a")
			spec := clustertest.Gang(2, 4)
			spec.OneZone, spec.Zone = true, "a"
			gang := h.cluster.AddJob(spec)
			c.other(h)
			h.RunCycle()
			h.cluster.Advance(h.cluster.Config.Operator.BackfillBarrierDelay + time.Second)
			h.cluster.Heartbeat()
			small := h.cluster.AddJob(clustertest.Gang(1, 1))
			h.RunCycle()
			if reserved := len(small.Attempts) == 0; reserved != c.wantReserved || len(gang.Attempts) != 0 {
				t.Errorf("machine reserved: %v, %d attempts of the gang", reserved, len(gang.Attempts))
			}
		})
	}
}

// TestMachineIsHeldForLimitedTime: gangs that hope for machines one after the other kept a free
// machine from the jobs behind them for longer than any may wait. They hold it again later.
func TestMachineIsHeldForLimitedTime(t *testing.T) {
	h := newHarness()
	machine := h.cluster.AddMachine("i-1", "big", "a")
	spec := clustertest.Gang(2, 4)
	spec.Zone = "a"
	h.cluster.AddJob(spec)
	h.cluster.AddJob(spec)
	var heldFrom, freeFrom time.Time
	for range int((tuning.MaxHoldTime + tuning.HoldPause) / time.Second) {
		h.cluster.Advance(time.Second)
		h.cluster.Heartbeat()
		h.RunCycle()
		switch held := machine.ReservedFor != nil; {
		case held && heldFrom.IsZero():
			heldFrom = h.cluster.Now()
		case !held && !heldFrom.IsZero() && freeFrom.IsZero():
			freeFrom = h.cluster.Now()
		}
	}
	if heldFor := freeFrom.Sub(heldFrom); heldFor <= 0 || heldFor > tuning.MaxHoldTime {
		t.Errorf("held for %v", heldFor)
	}
	h.cluster.Advance(tuning.HoldPause)
	h.cluster.Heartbeat()
	if h.RunCycle(); machine.ReservedFor == nil {
		t.Error("not held again")
	}
}
