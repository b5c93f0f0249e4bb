package cluster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/protocol"
)

// TestZoneIsSuspectedWhenManyMachinesAreSilent: more than half of a zone's machines that are silent
// at once, and more than two, make the zone suspected, not the machines.
func TestZoneIsSuspectedWhenManyMachinesAreSilent(t *testing.T) {
	for _, c := range []struct {
		name             string
		silent           int
		suspected, heard bool
	}{{"none", 0, false, true}, {"one", 1, false, true}, {"two", 2, false, false}, {"five", 5, true, false}} {
		t.Run(c.name, func(t *testing.T) {
			model := clustertest.New()
			for i := range 6 {
				model.AddMachine(protocol.MachineID(fmt.Sprintf("i-a%d", i)), "big", "a")
				model.AddMachine(protocol.MachineID(fmt.Sprintf("i-b%d", i)), "big", "b")
				model.AddMachine(protocol.MachineID(fmt.Sprintf("i-c%d", i)), "big", "c")
			}
			model.Advance(model.SilenceTimeout() + time.Second)
			model.Heartbeat(model.OrderedMachines[c.silent:]...)
			suspected, heard := model.SuspectedZones(model.SilenceTimeout())
			if suspected["a"] != c.suspected || heard["a"] != c.heard || suspected["b"] || !heard["b"] {
				t.Errorf("suspected %v, heard %v", suspected, heard)
			}
			if model.AnyZoneSuspected() != c.suspected {
				t.Errorf("some zone silent %v", model.AnyZoneSuspected())
			}
		})
	}
}

// TestNewLeaderSuspectsNoZoneAtFirst: soon after a failover agents have yet to find the leader.
func TestNewLeaderSuspectsNoZoneAtFirst(t *testing.T) {
	model := clustertest.New()
	for i := range 6 {
		model.AddMachine(protocol.MachineID(fmt.Sprintf("i-%d", i)), "big", "a").Agent.Heard = false
	}
	if suspected, _ := model.SuspectedZones(model.SilenceTimeout()); suspected["a"] {
		t.Error("suspected at once")
	}
	model.Advance(model.SilenceTimeout() + time.Second)
	if suspected, _ := model.SuspectedZones(model.SilenceTimeout()); !suspected["a"] {
		t.Error("not suspected though nothing was heard in time")
	}
}

// TestMachineIsSchedulableOnlyWhileConfirmedAlive: a machine takes tasks only if its agent has
// shown this leader's token, lately, and if responses reach it.
func TestMachineIsSchedulableOnlyWhileConfirmedAlive(t *testing.T) {
	model := clustertest.New()
	machine := model.AddMachine("i-1", "big", "a")
	if !model.Schedulable(machine) {
		t.Fatal("takes no tasks")
	}
	machine.Agent.TokenConfirmed = false
	if model.Schedulable(machine) {
		t.Error("takes tasks without having shown the token")
	}
	machine.Agent.TokenConfirmed = true
	model.Advance(model.SilenceTimeout())
	if model.Schedulable(machine) {
		t.Error("takes tasks though it is silent")
	}
	model.Heartbeat()
	for range 10 {
		machine.Agent.EverResponded, machine.Agent.TokenConfirmed = true, false
		machine.CountIneffectiveResponses(&protocol.Heartbeat{})
	}
	machine.Agent.TokenConfirmed = true
	if !model.NotReceiving(machine) || model.Schedulable(machine) {
		t.Errorf("%d responses unseen and it takes tasks", machine.Agent.IneffectiveResponses)
	}
}
