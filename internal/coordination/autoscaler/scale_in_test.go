package autoscaler

import (
	"slices"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// TestZoneReserve: what the replicas of a zone need elsewhere is asked for only as far as
// their limits allow them there and neither free capacity, nor that of work of lower
// priority, nor an idle machine is there; the idle machine is kept.
func TestZoneReserve(t *testing.T) {
	for _, c := range []struct {
		name      string
		change    func(spec *protocol.Job)                   // of the service
		other     func(h *harness, machine *cluster.Machine) // fills the machine in the other zone
		idle      bool                                       // there is such a machine at all
		off       bool
		requested int
		kept      bool
	}{
		{name: "nothing elsewhere", requested: 1},
		{name: "an idle machine", idle: true, kept: true},
		{name: "bound to its zone", change: func(spec *protocol.Job) { spec.Zone = "a" }},
		{name: "spread over the zones, half may go there", change: func(spec *protocol.Job) { spec.Spread = true }, requested: 1},
		{name: "a machine full of preemptible work", idle: true, other: fillWith("idle", protocol.ShapeArray)},
		{name: "a machine full of work of the same priority", idle: true, other: fillWith("critical", protocol.ShapeArray), requested: 1},
		{name: "a machine full of a gang", idle: true, other: fillWith("idle", protocol.ShapeGang), requested: 1},
		{name: "turned off", off: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			h.cluster.Config.Operator.ZoneReserve = !c.off
			h.cluster.Config.Cluster.Zones = []protocol.ZoneName{"a", "b"}
			spec := clustertest.Service(4, 4)
			if c.change != nil {
				c.change(&spec)
			}
			h.cluster.PlaceAll(h.cluster.AddJob(spec), h.cluster.AddMachine("i-1", "big", "a"))
			var other *cluster.Machine
			if c.idle {
				other = h.cluster.AddMachine("i-2", "big", "b")
				if c.other != nil {
					c.other(h, other)
				}
			}
			h.Tick()
			checkRequestedInZoneB(t, h, c.requested)
			if other != nil && h.zoneReserve[other] != c.kept {
				t.Errorf("kept %v", h.zoneReserve[other])
			}
			if c.kept {
				h.cluster.Advance(h.cluster.Config.Operator.MachineIdleTimeout + time.Second)
				h.cluster.Heartbeat()
				h.Tick()
				if other.Deleting {
					t.Error("the machine is scaled in")
				}
			}
		})
	}
}

// checkRequestedInZoneB checks how many machines were asked for, all in the other zone.
func checkRequestedInZoneB(t *testing.T, h *harness, want int) {
	t.Helper()
	total := 0
	for offer, count := range h.requested() {
		total += count
		if offer.Zone != "b" {
			t.Errorf("requested in %s", offer.Zone)
		}
	}
	if total != want {
		t.Errorf("%d machines are requested, want %d", total, want)
	}
}

// fillWith puts tasks that take all of a machine's processors onto it.
func fillWith(priority string, shape protocol.Shape) func(*harness, *cluster.Machine) {
	return func(h *harness, machine *cluster.Machine) {
		job := h.cluster.AddJob(protocol.Job{Class: "c", Team: "free", Shape: shape, Priority: priority, Tasks: 8,
			CPUs: 4, MemoryGB: 4, Image: "other", ImageGB: 1})
		h.cluster.PlaceAll(job, machine)
	}
}

// TestIdleMachineIsDeletedUnlessSpare: a machine that is idle for long is deleted; while
// jobs come, one a zone is kept as a spare.
func TestIdleMachineIsDeletedUnlessSpare(t *testing.T) {
	for _, c := range []struct {
		name     string
		jobsCome bool
		want     int
	}{{name: "no jobs", want: 2}, {name: "jobs come", jobsCome: true, want: 1}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			h.cluster.AddMachine("i-1", "big", "a")
			h.cluster.AddMachine("i-2", "big", "a")
			if c.jobsCome {
				spec := clustertest.Gang(1, 1)
				h.JobSubmitted(&spec)
			}
			h.cluster.Advance(h.cluster.Config.Operator.MachineIdleTimeout + time.Second)
			h.cluster.Heartbeat()
			h.Tick()
			if len(h.cloud.deletions) != 1 || len(h.cloud.deletions[0].machines) != c.want {
				t.Fatalf("deletions %+v, want one of %d machines", h.cloud.deletions, c.want)
			}
			h.cloud.deletions[0].done(true)
			if !slices.Equal(h.environment.deleted, h.cloud.deletions[0].machines) {
				t.Errorf("told of %v", h.environment.deleted)
			}
		})
	}
}

// TestFailedDeletionIsRetried: machines whose deletion failed are not taken for gone, and
// it is sent again a little later.
func TestFailedDeletionIsRetried(t *testing.T) {
	h := newHarness()
	h.DeleteMachine(h.cluster.AddMachine("i-1", "big", "a"), "a test")
	h.Tick()
	h.cloud.deletions[0].done(false)
	h.Tick()
	if len(h.cloud.deletions) != 1 || len(h.environment.deleted) != 0 {
		t.Fatalf("%d deletions at once, told of %v", len(h.cloud.deletions), h.environment.deleted)
	}
	h.cluster.Advance(time.Second)
	h.Tick()
	if len(h.cloud.deletions) != 2 {
		t.Errorf("%d deletions", len(h.cloud.deletions))
	}
}

// TestDeletedMachineIsNotAddedAgainFromLaggingList: the list may lag behind a deletion.
func TestDeletedMachineIsNotAddedAgainFromLaggingList(t *testing.T) {
	h := newHarness()
	h.MachineDeleted("i-1")
	h.Tick()
	h.cloud.lists[0].done(&protocol.MachineList{Machines: []protocol.Machine{
		{ID: "i-1", Type: "big", Zone: "a", Phase: protocol.MachineRunning},
		{ID: "i-2", Type: "big", Zone: "a", Phase: protocol.MachineRunning},
		{ID: "not a name", Type: "big", Zone: "a", Phase: protocol.MachineRunning},
	}})
	if len(h.cluster.Machines) != 1 || h.cluster.Machines["i-2"] == nil {
		t.Errorf("%d machines", len(h.cluster.Machines))
	}
}

// TestConsolidationDrainsHalfEmptyMachine: a machine whose work can be saved and fits on
// another that is not dearer is drained; not so if something waits, or if its work cannot
// be saved.
func TestConsolidationDrainsHalfEmptyMachine(t *testing.T) {
	for _, c := range []struct {
		name        string
		checkpointS float64
		want        int
	}{{name: "work that can be saved", checkpointS: 10, want: 1}, {name: "work that cannot", checkpointS: 0}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			spec := clustertest.Array(1)
			spec.CheckpointIntervalS, spec.CheckpointSaveS, spec.EstimateS = c.checkpointS, 1, 2*tuning.MinRemainingSecondsToMove
			for _, id := range []protocol.MachineID{"i-1", "i-2"} {
				job := h.cluster.AddJob(spec)
				h.cluster.PlaceAll(job, h.cluster.AddMachine(id, "big", "a"))
				h.cluster.Run(job)
				job.Tasks[0].Active.RunningSince = h.cluster.Now()
			}
			h.schedule()
			h.Tick()
			if len(h.environment.drained) != c.want {
				t.Errorf("%d machines are drained, want %d", len(h.environment.drained), c.want)
			}
		})
	}
}
