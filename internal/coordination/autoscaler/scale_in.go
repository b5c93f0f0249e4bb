package autoscaler

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// EvaluateScaleIn decides whether a machine is to go.
func (as *Autoscaler) EvaluateScaleIn(m *cluster.Machine, spares map[protocol.ZoneName]int) {
	if m.Deleting {
		return
	}
	now := as.state.Now()
	t := as.state.TypeOf(m)
	switch {
	case m.Phase == protocol.MachineFailed:
		as.ReturnMachine(m, "failed")
	case !m.Agent.Heard && m.Agent.Incarnation == 0 && t != nil && now.Sub(m.CreatedAt) > config.Seconds(t.BootS*tuning.BootPatience)+tuning.BootSlack:
		as.ReturnMachine(m, "never came up")
	case len(m.Attempts) > 0 || !m.Agent.Heard || m.Agent.LeaseExpired:
	case m.Cordoned:
		as.ReturnMachine(m, "emptied")
	case m.ReservedFor == nil && now.Sub(m.IdleSince) > as.state.Config.Operator.IdleReturn && !as.isWantedSpare(m, spares) && !as.zoneReserve[m]:
		as.ReturnMachine(m, "idle")
	}
}

// Spares counts the machines of every zone that could serve as spares. Spares
// are kept while jobs come; a machine that only carries work of the lowest
// priority is a spare too, for it yields at once. Jobs that may not use spot
// machines need spares that are none.
func (as *Autoscaler) Spares() map[protocol.ZoneName]int {
	count := map[protocol.ZoneName]int{}
	if as.state.Now().Sub(as.lastSubmission) > tuning.SpareMemory {
		return count
	}
	for _, m := range as.state.OrderedMachines {
		if as.mayBeSpare(m) {
			count[m.Zone]++
		}
	}
	return count
}

func (as *Autoscaler) mayBeSpare(m *cluster.Machine) bool {
	ordinary := as.state.Now().Sub(as.lastNonSpotSubmission) <= tuning.SpareMemory
	return as.state.Schedulable(m) && !(ordinary && m.Spot) && m.OnlyLowestPriority()
}

// isWantedSpare says whether an idle machine is one of its zone's spares. One
// that is not no longer counts as such.
func (as *Autoscaler) isWantedSpare(m *cluster.Machine, spares map[protocol.ZoneName]int) bool {
	if spares[m.Zone] == 0 || !as.mayBeSpare(m) {
		return false
	}
	if spares[m.Zone] <= as.state.Config.Operator.SparesPerZone {
		return true
	}
	spares[m.Zone]--
	return false
}

// ReturnMachine marks a machine to be returned.
func (as *Autoscaler) ReturnMachine(m *cluster.Machine, why string) {
	if m.Deleting {
		return
	}
	m.Deleting = true
	as.log.Info("returning machine", "machine", m.ID, "why", why)
}

func (as *Autoscaler) sendDeletes() {
	var names []protocol.MachineID
	for _, m := range as.state.OrderedMachines {
		if m.Deleting && len(names) < tuning.DeleteCount {
			names = append(names, m.ID)
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
