package autoscaler

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// EvaluateScaleIn decides whether a machine is to go.
func (as *Autoscaler) EvaluateScaleIn(machine *cluster.Machine, spares map[protocol.ZoneName]int) {
	if machine.Deleting {
		return
	}
	now := as.state.Now()
	machineType := as.state.TypeOf(machine)
	switch {
	case machine.Phase == protocol.MachineFailed:
		as.ReturnMachine(machine, "failed")
	case !machine.Agent.Heard && machine.Agent.Incarnation == 0 && machineType != nil && now.Sub(machine.CreatedAt) > config.Seconds(machineType.BootS*tuning.BootTimeoutFactor)+tuning.BootTimeoutSlack:
		as.ReturnMachine(machine, "never came up")
	case len(machine.Attempts) > 0 || !machine.Agent.Heard || machine.Agent.LeaseExpired:
	case machine.Cordoned:
		as.ReturnMachine(machine, "emptied")
	case machine.ReservedFor == nil && now.Sub(machine.IdleSince) > as.state.Config.Operator.MachineIdleTimeout && !as.isWantedSpare(machine, spares) && !as.zoneReserve[machine]:
		as.ReturnMachine(machine, "idle")
	}
}

// Spares counts the machines of every zone that could serve as spares. Spares
// are kept while jobs come; a machine that only carries work of the lowest
// priority is a spare too, for it yields at once. Jobs that may not use spot
// machines need spares that are none.
func (as *Autoscaler) Spares() map[protocol.ZoneName]int {
	count := map[protocol.ZoneName]int{}
	if as.state.Now().Sub(as.lastSubmission) > tuning.SpareRetention {
		return count
	}
	for _, machine := range as.state.OrderedMachines {
		if as.mayBeSpare(machine) {
			count[machine.Zone]++
		}
	}
	return count
}

func (as *Autoscaler) mayBeSpare(machine *cluster.Machine) bool {
	ordinary := as.state.Now().Sub(as.lastNonSpotSubmission) <= tuning.SpareRetention
	return as.state.Schedulable(machine) && !(ordinary && machine.Spot) && machine.OnlyLowestPriority()
}

// isWantedSpare says whether an idle machine is one of its zone's spares. One
// that is not no longer counts as such.
func (as *Autoscaler) isWantedSpare(machine *cluster.Machine, spares map[protocol.ZoneName]int) bool {
	if spares[machine.Zone] == 0 || !as.mayBeSpare(machine) {
		return false
	}
	if spares[machine.Zone] <= as.state.Config.Operator.SparesPerZone {
		return true
	}
	spares[machine.Zone]--
	return false
}

// ReturnMachine marks a machine to be returned.
func (as *Autoscaler) ReturnMachine(machine *cluster.Machine, why string) {
	if machine.Deleting {
		return
	}
	machine.Deleting = true
	as.log.Info("returning machine", "machine", machine.ID, "why", why)
}

func (as *Autoscaler) sendDeletes() {
	var names []protocol.MachineID
	for _, machine := range as.state.OrderedMachines {
		if machine.Deleting && len(names) < tuning.MaxMachinesPerDeletion {
			names = append(names, machine.ID)
		}
	}
	if len(names) == 0 || !as.calls.AllowN(as.state.Now(), 1) {
		return
	}
	as.deleting = true
	as.cloud.DeleteMachines(names, func(deleted bool) {
		as.deleting = false
		if !deleted {
			as.deleteNotBefore = as.state.Now().Add(time.Second)
			return
		}
		as.env.MachinesDeleted(names...)
	})
}
