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

// TestZoneReserve: a machine is requested for the loss of a zone only if the zone's replicas may
// run in the other zone and find neither free nor preemptible capacity there. An idle machine
// that they would need is kept.
func TestZoneReserve(t *testing.T) {
	for _, c := range []struct {
		name          string
		changeSpec    func(spec *protocol.Job)                   // changes the service
		other         func(h *harness, machine *cluster.Machine) // puts tasks on the machine in zone b
		hasMachineInB bool                                       // there is a machine in zone b
		disabled      bool
		wantRequested int
		wantReserved  bool
	}{
		{name: "no machine in the other zone", wantRequested: 1},
		{name: "idle machine in the other zone", hasMachineInB: true, wantReserved: true},
		{name: "service bound to its zone", changeSpec: func(spec *protocol.Job) { spec.Zone = "a" }},
		{name: "service spread over zones, half may move", changeSpec: func(spec *protocol.Job) { spec.Spread = true }, wantRequested: 1},
		{name: "machine full of preemptible tasks", hasMachineInB: true, other: fillWith("idle", protocol.ShapeArray)},
		{name: "machine full of tasks of the same priority", hasMachineInB: true, other: fillWith("critical", protocol.ShapeArray), wantRequested: 1},
		{name: "machine full of gang tasks", hasMachineInB: true, other: fillWith("idle", protocol.ShapeGang), wantRequested: 1},
		{name: "zone reserve disabled", disabled: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			h.cluster.Config.Operator.ZoneReserve = !c.disabled
			h.cluster.Config.Cluster.Zones = []protocol.ZoneName{"a", "b"}
			spec := clustertest.Service(4, 4)
			if c.changeSpec != nil {
				c.changeSpec(&spec)
			}
			h.cluster.PlaceAll(h.cluster.AddJob(spec), h.cluster.AddMachine("i-1", "big", "a"))
			var other *cluster.Machine
			if c.hasMachineInB {
				other = h.cluster.AddMachine("i-2", "big", "b")
				if c.other != nil {
					c.other(h, other)
				}
			}
			h.Tick()
			checkRequestedInZoneB(t, h, c.wantRequested)
			if other != nil && h.zoneReserve[other] != c.wantReserved {
				t.Errorf("machine kept for the reserve: %v, want the opposite", h.zoneReserve[other])
			}
			if c.wantReserved {
				h.cluster.Advance(h.cluster.Config.Operator.MachineIdleTimeout + time.Second)
				h.cluster.Heartbeat()
				h.Tick()
				if other.Deleting {
					t.Error("the reserved machine is scaled in")
				}
			}
		})
	}
}

// checkRequestedInZoneB checks that the given number of machines was requested, all in zone b.
func checkRequestedInZoneB(t *testing.T, h *harness, want int) {
	t.Helper()
	total := 0
	for offer, count := range h.requested() {
		total += count
		if offer.Zone != "b" {
			t.Errorf("machine requested in zone %s, want b", offer.Zone)
		}
	}
	if total != want {
		t.Errorf("%d machines requested, want %d", total, want)
	}
}

// fillWith returns a function that fills a machine with tasks that take all of its CPUs.
func fillWith(priority string, shape protocol.Shape) func(*harness, *cluster.Machine) {
	return func(h *harness, machine *cluster.Machine) {
		job := h.cluster.AddJob(protocol.Job{Class: "c", Team: "free", Shape: shape, Priority: priority, Tasks: 8,
			CPUs: 4, MemoryGB: 4, Image: "other", ImageGB: 1})
		h.cluster.PlaceAll(job, machine)
	}
}

// TestIdleMachineIsDeletedUnlessSpare: a machine that is idle for longer than the idle time-out
// is deleted. While jobs are being submitted, one idle machine per zone is kept as a spare.
func TestIdleMachineIsDeletedUnlessSpare(t *testing.T) {
	for _, c := range []struct {
		name         string
		jobSubmitted bool
		want         int
	}{{name: "no jobs submitted", want: 2}, {name: "job submitted", jobSubmitted: true, want: 1}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			h.cluster.AddMachine("i-1", "big", "a")
			h.cluster.AddMachine("i-2", "big", "a")
			if c.jobSubmitted {
				spec := clustertest.Gang(1, 1)
				h.JobSubmitted(&spec)
			}
			h.cluster.Advance(h.cluster.Config.Operator.MachineIdleTimeout + time.Second)
			h.cluster.Heartbeat()
			h.Tick()
			if len(h.cloud.deletions) != 1 || len(h.cloud.deletions[0].machines) != c.want {
				t.Fatalf("deletion calls %+v, want one with %d machines", h.cloud.deletions, c.want)
			}
			h.cloud.deletions[0].done(true)
			if !slices.Equal(h.environment.deleted, h.cloud.deletions[0].machines) {
				t.Errorf("machines removed from the model: %v, want those of the deletion call", h.environment.deleted)
			}
		})
	}
}

// TestFailedDeletionIsRetried: machines whose deletion failed are not removed from the model, and
// the deletion is sent again a second later.
func TestFailedDeletionIsRetried(t *testing.T) {
	h := newHarness()
	h.DeleteMachine(h.cluster.AddMachine("i-1", "big", "a"), "a test")
	h.Tick()
	h.cloud.deletions[0].done(false)
	h.Tick()
	if len(h.cloud.deletions) != 1 || len(h.environment.deleted) != 0 {
		t.Fatalf("%d deletion calls before the retry is due, machines removed from the model: %v", len(h.cloud.deletions), h.environment.deleted)
	}
	h.cluster.Advance(time.Second)
	h.Tick()
	if len(h.cloud.deletions) != 2 {
		t.Errorf("%d deletion calls after a second, want 2", len(h.cloud.deletions))
	}
}

// TestDeletedMachineIsNotAddedAgainFromLaggingList: the machine list may lag behind a deletion. A
// deleted machine that it still contains is not added to the model again, nor is an entry with an
// invalid name.
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
		t.Errorf("%d machines in the model, want only i-2", len(h.cluster.Machines))
	}
}

// TestConsolidationDrainsHalfEmptyMachine: a machine is drained if its tasks can save their
// progress and fit on another machine that costs no more. It is not drained if they cannot save
// their progress.
func TestConsolidationDrainsHalfEmptyMachine(t *testing.T) {
	for _, c := range []struct {
		name        string
		checkpointS float64
		want        int
	}{{name: "tasks can save their progress", checkpointS: 10, want: 1}, {name: "tasks cannot save their progress", checkpointS: 0}} {
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
				t.Errorf("%d machines drained, want %d", len(h.environment.drained), c.want)
			}
		})
	}
}
