package cluster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/protocol"
)

// TestZoneIsSuspectedWhenManyMachinesAreSilent: if more than half of a zone's machines, and more
// than two, are silent at once, the zone is suspected instead of the machines.
func TestZoneIsSuspectedWhenManyMachinesAreSilent(t *testing.T) {
	for _, c := range []struct {
		name                 string
		silent               int
		suspected, reachable bool
	}{{"none silent", 0, false, true}, {"one silent", 1, false, true}, {"two silent", 2, false, false}, {"five silent", 5, true, false}} {
		t.Run(c.name, func(t *testing.T) {
			model := clustertest.New()
			for i := range 6 {
				model.AddMachine(protocol.MachineID(fmt.Sprintf("i-a%d", i)), "big", "a")
				model.AddMachine(protocol.MachineID(fmt.Sprintf("i-b%d", i)), "big", "b")
				model.AddMachine(protocol.MachineID(fmt.Sprintf("i-c%d", i)), "big", "c")
			}
			model.Advance(model.SilenceTimeout() + time.Second)
			model.Heartbeat(model.OrderedMachines[c.silent:]...)
			suspected, reachable := model.SuspectedZones(model.SilenceTimeout())
			if suspected["a"] != c.suspected || reachable["a"] != c.reachable || suspected["b"] || !reachable["b"] {
				t.Errorf("suspected zones %v, reachable zones %v", suspected, reachable)
			}
			if model.AnyZoneSuspected() != c.suspected {
				t.Errorf("AnyZoneSuspected returns %v", model.AnyZoneSuspected())
			}
		})
	}
}

// TestNewLeaderSuspectsNoZoneAtFirst: soon after a failover agents may not have found the new
// leader yet, so silence does not count.
func TestNewLeaderSuspectsNoZoneAtFirst(t *testing.T) {
	model := clustertest.New()
	for i := range 6 {
		model.AddMachine(protocol.MachineID(fmt.Sprintf("i-%d", i)), "big", "a").Agent.Heard = false
	}
	if suspected, _ := model.SuspectedZones(model.SilenceTimeout()); suspected["a"] {
		t.Error("a zone is suspected right after the failover")
	}
	model.Advance(model.SilenceTimeout() + time.Second)
	if suspected, _ := model.SuspectedZones(model.SilenceTimeout()); !suspected["a"] {
		t.Error("the zone is not suspected although no heartbeat arrived within the silence time-out")
	}
}

// TestMachineIsSchedulableOnlyWhileConfirmedAlive: a machine accepts tasks only if it is in a machine
// record, a recent heartbeat of its agent has this leader's token and responses reach the agent.
func TestMachineIsSchedulableOnlyWhileConfirmedAlive(t *testing.T) {
	model := clustertest.New()
	machine := model.AddMachine("i-1", "big", "a")
	if !model.Schedulable(machine) {
		t.Fatal("a confirmed machine accepts no tasks")
	}
	machine.Recorded = false
	if model.Schedulable(machine) {
		t.Error("a machine in no record accepts tasks, which a later leader would take to be gone")
	}
	machine.Recorded = true
	machine.Agent.TokenConfirmed = false
	if model.Schedulable(machine) {
		t.Error("a machine whose agent has not shown the token accepts tasks")
	}
	machine.Agent.TokenConfirmed = true
	model.Advance(model.SilenceTimeout())
	if model.Schedulable(machine) {
		t.Error("a silent machine accepts tasks")
	}
	model.Heartbeat()
	for range 10 {
		machine.Agent.EverResponded, machine.Agent.TokenConfirmed = true, false
		machine.CountIneffectiveResponses(&protocol.Heartbeat{})
	}
	machine.Agent.TokenConfirmed = true
	if !model.NotReceiving(machine) || model.Schedulable(machine) {
		t.Errorf("after %d ineffective responses the machine still counts as receiving or accepts tasks", machine.Agent.IneffectiveResponses)
	}
}
