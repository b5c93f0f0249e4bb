package cluster_test

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/protocol"
)

// TestAttemptUsesCapacityAndQuotaUntilRemoved: an attempt takes capacity, slots and quota while
// it exists, and nothing once it is removed, however often that happens.
func TestAttemptUsesCapacityAndQuotaUntilRemoved(t *testing.T) {
	c := clustertest.New()
	machine := c.AddMachine("i-1", "big", "a")
	job := c.AddJob(clustertest.Gang(2, 1.5))
	free, slots := c.FreeResources(machine), machine.Slots.Free()
	c.PlaceAll(job, machine)
	if quota := c.Quotas["free"]; machine.Used.GPUs != 3 || quota.UsedGPUs != 3 || machine.Slots.Free() != slots-4 || !job.FullyPlaced() {
		t.Fatalf("the machine has %+v in use, the team %v GPUs, %d slots are free", machine.Used, quota.UsedGPUs, machine.Slots.Free())
	}
	c.Advance(time.Minute)
	for _, attempt := range job.SortedAttempts() {
		if !c.RemoveAttempt(attempt) || c.RemoveAttempt(attempt) {
			t.Error("an attempt is not removed exactly once")
		}
	}
	if c.FreeResources(machine) != free || machine.Slots.Free() != slots || c.Quotas["free"].UsedGPUs != 0 {
		t.Errorf("%+v are free, %d slots, the team uses %v GPUs", c.FreeResources(machine), machine.Slots.Free(), c.Quotas["free"].UsedGPUs)
	}
	if !machine.IdleSince.Equal(c.Now()) || job.Tasks[0].Active != nil || job.Tasks[0].LiveAttempts != 0 {
		t.Errorf("idle since %v, task %+v", machine.IdleSince, job.Tasks[0])
	}
}

// TestSlotsAreAllocatedOnceMachineTypeIsKnown: attempts that were entered before the type of
// their machine was known have slots once it is.
func TestSlotsAreAllocatedOnceMachineTypeIsKnown(t *testing.T) {
	c := clustertest.New()
	machine := c.EnsureMachine("i-1", "", "", "", false)
	c.PlaceAll(c.AddJob(clustertest.Gang(1, 2)), machine)
	if c.TypeOf(machine) != nil {
		t.Fatal("the type is known")
	}
	c.EnsureMachine("i-1", "h:1", "big", "a", false)
	if c.TypeOf(machine) == nil || machine.Slots.Free() != 2 {
		t.Errorf("type %v, %d slots are free", machine.Type, machine.Slots.Free())
	}
}

// TestMachinesAreOrderedByName: whatever the order in which they come, and without a change
// of a list that was handed out.
func TestMachinesAreOrderedByName(t *testing.T) {
	c := clustertest.New()
	c.AddMachine("i-1", "big", "a")
	c.AddMachine("i-3", "big", "a")
	before := c.OrderedMachines
	c.AddMachine("i-2", "big", "a")
	if len(before) != 2 || before[1].ID != "i-3" {
		t.Errorf("the earlier list has changed: %s", before[1].ID)
	}
	for i, want := range []protocol.MachineID{"i-1", "i-2", "i-3"} {
		if got := c.OrderedMachines[i].ID; got != want {
			t.Errorf("%s at place %d, want %s", got, i, want)
		}
	}
}

// TestMachineIsReservedForOneJobAtATime: a machine is reserved for the last job that asked, and the
// accounts of both jobs agree.
func TestMachineIsReservedForOneJobAtATime(t *testing.T) {
	c := clustertest.New()
	machine := c.AddMachine("i-1", "big", "a")
	first, second := c.AddJob(clustertest.Gang(1, 1)), c.AddJob(clustertest.Gang(1, 1))
	machine.ReserveFor(first, c.Now())
	if c.Eligible(second, machine) || !c.Eligible(first, machine) {
		t.Error("the reservation does not keep others out")
	}
	machine.ReserveFor(second, c.Now())
	if machine.ReservedFor != second || len(first.Reserved) != 0 || len(second.Reserved) != 1 {
		t.Errorf("reserved for %s, lists of %d and %d", machine.ReservedFor.ID, len(first.Reserved), len(second.Reserved))
	}
	machine.ReleaseReservation()
	if machine.ReservedFor != nil || len(second.Reserved) != 0 {
		t.Error("the reservation is not released")
	}
}

// TestFitIsBoundedByScarcestResource: what fits is bounded by the scarcest kind, and rounding of decimal
// amounts takes no task away.
func TestFitIsBoundedByScarcestResource(t *testing.T) {
	for _, c := range []struct {
		name string
		free cluster.Resources
		spec protocol.Job
		want int
	}{
		{name: "processors are scarce", free: cluster.Resources{CPUs: 4, GPUs: 8, MemoryGB: 64}, spec: protocol.Job{CPUs: 2, GPUs: 1, MemoryGB: 8}, want: 2},
		{name: "memory is scarce", free: cluster.Resources{CPUs: 16, GPUs: 8, MemoryGB: 8}, spec: protocol.Job{CPUs: 2, GPUs: 1, MemoryGB: 8}, want: 1},
		{name: "rounding", free: cluster.Resources{CPUs: 0.1 + 0.2}, spec: protocol.Job{CPUs: 0.1}, want: 3},
		{name: "at most the limit", free: cluster.Resources{CPUs: 100}, spec: protocol.Job{CPUs: 1}, want: 5},
		{name: "over-full", free: cluster.Resources{CPUs: -1}, spec: protocol.Job{CPUs: 1}},
	} {
		if got := c.free.Fit(&c.spec, 5); got != c.want {
			t.Errorf("%s: %d tasks fit, want %d", c.name, got, c.want)
		}
	}
}

// TestQuotaLimitAndGuarantee: limits and guarantees, of which 0 means none.
func TestQuotaLimitAndGuarantee(t *testing.T) {
	c := clustertest.New()
	spec := clustertest.Gang(8, 2)
	spec.Team = "tight"
	job := c.AddJob(spec)
	if got := c.TasksWithinLimit(job); got != clustertest.LimitedTeamGPUs/2 {
		t.Errorf("%d tasks within the limit", got)
	}
	quota := c.Quotas["tight"]
	if !quota.Guarantees(cluster.Resources{CPUs: 1000, GPUs: 2}) || quota.Guarantees(cluster.Resources{GPUs: 2.5}) {
		t.Error("the guarantee is not two GPUs")
	}
	if c.Quotas["free"].Guarantees(cluster.Resources{}) {
		t.Error("a team without a guarantee has one")
	}
	c.AddAttempt(job, 0, 1, c.AddMachine("i-1", "big", "a"), 1)
	if quota.ExceedsGuarantee() {
		t.Error("the guarantee itself exceeds it")
	}
	c.AddAttempt(job, 1, 1, c.Machines["i-1"], 1)
	if !quota.ExceedsGuarantee() || c.TasksWithinLimit(job) != 1 {
		t.Errorf("exceeds %v, %d tasks within the limit", quota.ExceedsGuarantee(), c.TasksWithinLimit(job))
	}
}

// TestZoneLimits: spread leaves half to each zone; one zone binds the job to where its
// attempts are and admits none while they are in two, or nobody knows where.
func TestZoneLimits(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(spec *protocol.Job)
		zones  []protocol.ZoneName // of the attempts that exist
		want   map[protocol.ZoneName]bool
		left   int // in zone a
	}{
		{name: "free", zones: []protocol.ZoneName{"a"}, want: map[protocol.ZoneName]bool{"a": true, "b": true, "c": true}, left: 4},
		{name: "spread", change: func(spec *protocol.Job) { spec.Spread = true }, zones: []protocol.ZoneName{"a", "a"}, want: map[protocol.ZoneName]bool{"a": true, "b": true, "c": true}, left: 1},
		{name: "one zone", change: func(spec *protocol.Job) { spec.OneZone = true }, zones: []protocol.ZoneName{"a"}, want: map[protocol.ZoneName]bool{"a": true}, left: 4},
		{name: "one zone, in two", change: func(spec *protocol.Job) { spec.OneZone = true }, zones: []protocol.ZoneName{"a", "b"}},
		{name: "one zone, place unknown", change: func(spec *protocol.Job) { spec.OneZone = true }, zones: []protocol.ZoneName{""}},
	} {
		t.Run(c.name, func(t *testing.T) {
			model := clustertest.New()
			spec := clustertest.Array(5)
			if c.change != nil {
				c.change(&spec)
			}
			job := model.AddJob(spec)
			for index, zone := range c.zones {
				machine := model.EnsureMachine(protocol.MachineID(rune('i'+index)), "", "", "", false)
				machine.Zone = zone
				model.AddAttempt(job, index, 1, machine, 1)
			}
			limits := model.ZoneLimits(job)
			if limits.Remaining["a"] != c.left {
				t.Errorf("%d tasks are left to zone a, want %d", limits.Remaining["a"], c.left)
			}
			for _, zone := range model.Config.Cluster.Zones {
				if got := limits.Allow(zone); got != c.want[zone] {
					t.Errorf("zone %s is allowed %v", zone, got)
				}
			}
		})
	}
}
