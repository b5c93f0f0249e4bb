package autoscaler

import (
	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// scaleIn marks machines for deletion that have failed or are no longer needed.
func (as *Autoscaler) scaleIn() {
	spares := as.countSpares()
	for _, machine := range as.state.OrderedMachines {
		as.evaluateScaleIn(machine, spares)
	}
}

// evaluateScaleIn decides whether a machine is deleted.
func (as *Autoscaler) evaluateScaleIn(machine *cluster.Machine, spares map[protocol.ZoneName]int) {
	if machine.Deleting {
		return
	}
	switch {
	case machine.Phase == protocol.MachineFailed:
		as.DeleteMachine(machine, "reported as failed by the cloud")
	case as.bootTimedOut(machine):
		as.DeleteMachine(machine, "no heartbeat within the boot time-out")
	case len(machine.Attempts) > 0 || !machine.Agent.Heard || machine.Agent.LeaseExpired:
	case machine.Cordoned:
		as.DeleteMachine(machine, "drained")
	case machine.ReservedFor == nil && !as.state.Now().Before(machine.KeepUntil) && as.state.Now().Sub(machine.IdleSince) > as.state.Config.Operator.MachineIdleTimeout &&
		!as.keepAsSpare(machine, spares) && !as.zoneReserve[machine]:
		as.DeleteMachine(machine, "idle")
	}
}

// bootTimedOut reports whether a machine has had enough time to boot but its agent has never
// sent a heartbeat.
func (as *Autoscaler) bootTimedOut(machine *cluster.Machine) bool {
	machineType := as.state.TypeOf(machine)
	if machine.Agent.Heard || machine.Agent.Incarnation != 0 || machineType == nil {
		return false
	}
	return as.state.Now().Sub(machine.CreatedAt) > config.Seconds(machineType.BootS*tuning.BootTimeoutFactor)+tuning.BootTimeoutSlack
}

// countSpares counts the machines in each zone that could serve as spares. Spares are kept as
// long as jobs are being submitted. A machine whose tasks all have the lowest priority counts as
// a spare too, because such tasks are preempted at once. Jobs that may not use spot machines
// need on-demand spares.
func (as *Autoscaler) countSpares() map[protocol.ZoneName]int {
	count := map[protocol.ZoneName]int{}
	if as.state.Now().Sub(as.lastSubmission) > tuning.SpareRetention {
		return count
	}
	for _, machine := range as.state.OrderedMachines {
		if as.qualifiesAsSpare(machine) {
			count[machine.Zone]++
		}
	}
	return count
}

// qualifiesAsSpare reports whether a machine could take tasks of a job that is submitted now.
func (as *Autoscaler) qualifiesAsSpare(machine *cluster.Machine) bool {
	onDemandOnly := as.state.Now().Sub(as.lastNonSpotSubmission) <= tuning.SpareRetention
	return as.state.Schedulable(machine) && machine.Trial == nil && !(onDemandOnly && machine.Spot) && machine.OnlyLowestPriority()
}

// keepAsSpare reports whether an idle machine is kept as one of its zone's spares. If the zone
// has more spares than it needs, the machine is not kept and is subtracted from spares.
func (as *Autoscaler) keepAsSpare(machine *cluster.Machine, spares map[protocol.ZoneName]int) bool {
	if spares[machine.Zone] == 0 || !as.qualifiesAsSpare(machine) {
		return false
	}
	if spares[machine.Zone] <= as.state.Config.Operator.SparesPerZone {
		return true
	}
	spares[machine.Zone]--
	return false
}
