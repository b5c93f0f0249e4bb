package autoscaler

import (
	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// scaleIn marks the machines to be deleted that failed or that nothing needs.
func (as *Autoscaler) scaleIn() {
	spares := as.countSpares()
	for _, machine := range as.state.OrderedMachines {
		as.evaluateScaleIn(machine, spares)
	}
}

// evaluateScaleIn decides whether a machine is to go.
func (as *Autoscaler) evaluateScaleIn(machine *cluster.Machine, spares map[protocol.ZoneName]int) {
	if machine.Deleting {
		return
	}
	switch {
	case machine.Phase == protocol.MachineFailed:
		as.DeleteMachine(machine, "failed")
	case as.bootTimedOut(machine):
		as.DeleteMachine(machine, "never came up")
	case len(machine.Attempts) > 0 || !machine.Agent.Heard || machine.Agent.LeaseExpired:
	case machine.Cordoned:
		as.DeleteMachine(machine, "emptied")
	case machine.ReservedFor == nil && as.state.Now().Sub(machine.IdleSince) > as.state.Config.Operator.MachineIdleTimeout &&
		!as.keepAsSpare(machine, spares) && !as.zoneReserve[machine]:
		as.DeleteMachine(machine, "idle")
	}
}

// bootTimedOut says whether a machine has had time enough to boot and its agent never
// reported.
func (as *Autoscaler) bootTimedOut(machine *cluster.Machine) bool {
	machineType := as.state.TypeOf(machine)
	if machine.Agent.Heard || machine.Agent.Incarnation != 0 || machineType == nil {
		return false
	}
	return as.state.Now().Sub(machine.CreatedAt) > config.Seconds(machineType.BootS*tuning.BootTimeoutFactor)+tuning.BootTimeoutSlack
}

// countSpares counts the machines of every zone that could serve as spares. Spares
// are kept while jobs come; a machine that only carries work of the lowest
// priority is a spare too, for that is preempted at once. Jobs that may not use spot
// machines need spares that are none.
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

// qualifiesAsSpare says whether a machine could take a job that comes now.
func (as *Autoscaler) qualifiesAsSpare(machine *cluster.Machine) bool {
	mustNotBeSpot := as.state.Now().Sub(as.lastNonSpotSubmission) <= tuning.SpareRetention
	return as.state.Schedulable(machine) && !(mustNotBeSpot && machine.Spot) && machine.OnlyLowestPriority()
}

// keepAsSpare says whether an idle machine is one of its zone's spares. One
// that is not no longer counts as such.
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
