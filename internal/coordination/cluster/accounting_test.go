package cluster_test

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/protocol"
)

// TestAttemptUsesCapacityAndQuotaUntilRemoved: an attempt uses capacity, slots and quota until
// it is removed. Removing it again changes nothing.
func TestAttemptUsesCapacityAndQuotaUntilRemoved(t *testing.T) {
	c := clustertest.New()
	machine := c.AddMachine("i-1", "big", "a")
	job := c.AddJob(clustertest.Gang(2, 1.5))
	free, slots := c.FreeResources(machine), machine.Slots.Free()
	c.PlaceAll(job, machine)
	if quota := c.Quotas["free"]; machine.Used.GPUs != 3 || quota.UsedGPUs != 3 || machine.Slots.Free() != slots-4 || !job.FullyPlaced() {
		t.Fatalf("the machine has %+v in use, the team uses %v GPUs, %d slots are free", machine.Used, quota.UsedGPUs, machine.Slots.Free())
	}
	c.Advance(time.Minute)
	for _, attempt := range job.SortedAttempts() {
		if !c.RemoveAttempt(attempt) || c.RemoveAttempt(attempt) {
			t.Error("RemoveAttempt does not return true exactly once")
		}
	}
	if c.FreeResources(machine) != free || machine.Slots.Free() != slots || c.Quotas["free"].UsedGPUs != 0 {
		t.Errorf("after removal: %+v and %d slots are free, the team uses %v GPUs", c.FreeResources(machine), machine.Slots.Free(), c.Quotas["free"].UsedGPUs)
	}
	if !machine.IdleSince.Equal(c.Now()) || job.Tasks[0].Active != nil || job.Tasks[0].LiveAttempts != 0 {
		t.Errorf("after removal: the machine is idle since %v, the task is %+v", machine.IdleSince, job.Tasks[0])
	}
}

// TestSlotsAreAllocatedOnceMachineTypeIsKnown: attempts that were added before the type of
// their machine was known get slots once it is.
func TestSlotsAreAllocatedOnceMachineTypeIsKnown(t *testing.T) {
	c := clustertest.New()
	machine := c.EnsureMachine("i-1", "", "", "", false)
	c.PlaceAll(c.AddJob(clustertest.Gang(1, 2)), machine)
	if c.TypeOf(machine) != nil {
		t.Fatal("the machine's type is known too early")
	}
	c.EnsureMachine("i-1", "h:1", "big", "a", false)
	if c.TypeOf(machine) == nil || machine.Slots.Free() != 2 {
		t.Errorf("type %v, %d slots are free", machine.Type, machine.Slots.Free())
	}
}

// TestMachinesAreOrderedByID: OrderedMachines is sorted by ID in whatever order machines are
// added, and a slice that was handed out does not change.
func TestMachinesAreOrderedByID(t *testing.T) {
	c := clustertest.New()
	c.AddMachine("i-1", "big", "a")
	c.AddMachine("i-3", "big", "a")
	before := c.OrderedMachines
	c.AddMachine("i-2", "big", "a")
	if len(before) != 2 || before[1].ID != "i-3" {
		t.Errorf("the earlier slice has changed: its second machine is %s", before[1].ID)
	}
	for i, want := range []protocol.MachineID{"i-1", "i-2", "i-3"} {
		if got := c.OrderedMachines[i].ID; got != want {
			t.Errorf("machine %s at index %d, want %s", got, i, want)
		}
	}
}

// TestMachineIsReservedForOneJobAtATime: a machine is reserved for the job that last asked for
// it, and the reservation lists of both jobs agree with that.
func TestMachineIsReservedForOneJobAtATime(t *testing.T) {
	c := clustertest.New()
	machine := c.AddMachine("i-1", "big", "a")
	first, second := c.AddJob(clustertest.Gang(1, 1)), c.AddJob(clustertest.Gang(1, 1))
	machine.ReserveFor(first, c.Now())
	if c.Eligible(second, machine) || !c.Eligible(first, machine) {
		t.Error("another job may use the reserved machine, or the job itself may not")
	}
	machine.ReserveFor(second, c.Now())
	if machine.ReservedFor != second || len(first.Reserved) != 0 || len(second.Reserved) != 1 {
		t.Errorf("reserved for %s, the jobs list %d and %d machines", machine.ReservedFor.ID, len(first.Reserved), len(second.Reserved))
	}
	machine.ReleaseReservation()
	if machine.ReservedFor != nil || len(second.Reserved) != 0 {
		t.Error("the reservation was not released")
	}
}

// TestFitIsBoundedByScarcestResource: the scarcest resource bounds how many tasks fit, and
// rounding errors of decimal amounts do not reduce that number.
func TestFitIsBoundedByScarcestResource(t *testing.T) {
	for _, c := range []struct {
		name string
		free cluster.Resources
		spec protocol.Job
		want int
	}{
		{name: "CPUs are scarce", free: cluster.Resources{CPUs: 4, GPUs: 8, MemoryGB: 64}, spec: protocol.Job{CPUs: 2, GPUs: 1, MemoryGB: 8}, want: 2},
		{name: "memory is scarce", free: cluster.Resources{CPUs: 16, GPUs: 8, MemoryGB: 8}, spec: protocol.Job{CPUs: 2, GPUs: 1, MemoryGB: 8}, want: 1},
		{name: "rounding errors of decimal amounts", free: cluster.Resources{CPUs: 0.1 + 0.2}, spec: protocol.Job{CPUs: 0.1}, want: 3},
		{name: "at most the limit", free: cluster.Resources{CPUs: 100}, spec: protocol.Job{CPUs: 1}, want: 5},
		{name: "overcommitted", free: cluster.Resources{CPUs: -1}, spec: protocol.Job{CPUs: 1}},
	} {
		if got := c.free.Fit(&c.spec, 5); got != c.want {
			t.Errorf("%s: %d tasks fit, want %d", c.name, got, c.want)
		}
	}
}

// TestQuotaLimitAndGuarantee checks a team's limit and guarantee. A value of 0 means that there
// is none.
func TestQuotaLimitAndGuarantee(t *testing.T) {
	c := clustertest.New()
	spec := clustertest.Gang(8, 2)
	spec.Team = "tight"
	job := c.AddJob(spec)
	if got := c.TasksWithinLimit(job); got != clustertest.LimitedTeamGPUs/2 {
		t.Errorf("%d tasks are within the limit", got)
	}
	quota := c.Quotas["tight"]
	if !quota.Guarantees(cluster.Resources{CPUs: 1000, GPUs: 2}) || quota.Guarantees(cluster.Resources{GPUs: 2.5}) {
		t.Error("the guarantee is not two GPUs and any number of CPUs")
	}
	if c.Quotas["free"].Guarantees(cluster.Resources{}) {
		t.Error("an amount fits into the guarantee of a team that has none")
	}
	c.AddAttempt(job, 0, 1, c.AddMachine("i-1", "big", "a"), 1)
	if quota.ExceedsGuarantee() {
		t.Error("a use of exactly the guarantee counts as exceeding it")
	}
	c.AddAttempt(job, 1, 1, c.Machines["i-1"], 1)
	if !quota.ExceedsGuarantee() || c.TasksWithinLimit(job) != 1 {
		t.Errorf("exceeds the guarantee: %v, %d tasks are within the limit", quota.ExceedsGuarantee(), c.TasksWithinLimit(job))
	}
}

// TestZoneLimits: a spread job may have half of its tasks in each zone. A one-zone job is bound
// to the zone of its attempts. It may have no further tasks while its attempts are in two
// zones or in an unknown zone.
func TestZoneLimits(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(spec *protocol.Job)
		zones  []protocol.ZoneName // of the existing attempts
		want   map[protocol.ZoneName]bool
		left   int // remaining tasks in zone a
	}{
		{name: "no zone constraint", zones: []protocol.ZoneName{"a"}, want: map[protocol.ZoneName]bool{"a": true, "b": true, "c": true}, left: 4},
		{name: "spread", change: func(spec *protocol.Job) { spec.Spread = true }, zones: []protocol.ZoneName{"a", "a"}, want: map[protocol.ZoneName]bool{"a": true, "b": true, "c": true}, left: 1},
		{name: "one zone", change: func(spec *protocol.Job) { spec.OneZone = true }, zones: []protocol.ZoneName{"a"}, want: map[protocol.ZoneName]bool{"a": true}, left: 4},
		{name: "one zone, attempts in two zones", change: func(spec *protocol.Job) { spec.OneZone = true }, zones: []protocol.ZoneName{"a", "b"}},
		{name: "one zone, attempt in an unknown zone", change: func(spec *protocol.Job) { spec.OneZone = true }, zones: []protocol.ZoneName{""}},
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
				t.Errorf("%d tasks remain for zone a, want %d", limits.Remaining["a"], c.left)
			}
			for _, zone := range model.Config.Cluster.Zones {
				if got := limits.Allow(zone); got != c.want[zone] {
					t.Errorf("zone %s: allowed is %v", zone, got)
				}
			}
		})
	}
}
