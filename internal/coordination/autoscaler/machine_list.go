package autoscaler

import (
	"strings"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// ListInterval is the interval between two machine lists. The pages of a large fleet's
// list take no more than their part of the calls.
func (as *Autoscaler) ListInterval() time.Duration {
	perPage := config.Seconds(1 / (float64(as.calls.Limit()) * tuning.MachineListBudgetShare))
	return max(tuning.MachineListInterval, time.Duration(as.listPages)*perPage)
}

// listNextPage asks for the next page when the budget of calls allows it.
func (as *Autoscaler) listNextPage(after protocol.MachineID) {
	pause := as.calls.ReserveN(as.state.Now(), 1).DelayFrom(as.state.Now())
	if pause == 0 {
		as.listPage(after)
		return
	}
	as.env.After(pause, func() { as.listPage(after) })
}

// listPage reads the machine list, page by page.
func (as *Autoscaler) listPage(after protocol.MachineID) {
	as.listPages++
	as.cloud.ListMachines(after, func(page *protocol.MachineList) {
		if page == nil {
			as.listing, as.listNotBefore = false, as.state.Now().Add(time.Second)
			return
		}
		last := protocol.MachineID("")
		for i := range page.Machines {
			as.observeListed(&page.Machines[i])
			last = page.Machines[i].ID
		}
		if page.More && last != "" {
			as.listNextPage(last)
			return
		}
		as.listing, as.listNotBefore = false, as.state.Now().Add(as.ListInterval())
	})
}

// observeListed takes one machine of the list. Machines that nobody expected are
// used like any other, and returned when they are idle.
func (as *Autoscaler) observeListed(e *protocol.Machine) {
	if e.ID == "" || strings.ContainsAny(string(e.ID), " /") {
		return
	}
	if _, gone := as.deleted[e.ID]; gone {
		return
	}
	machine := as.state.Machines[e.ID]
	if machine == nil {
		machine = as.state.EnsureMachine(e.ID, e.Address, e.Type, e.Zone, e.Spot)
		machine.CreatedAt = as.state.Now().Add(-config.Seconds(min(max(e.AgeS, 0), 1e6)))
		if e.Phase == protocol.MachineRunning {
			// It is up but has yet to report to this leader: it gets its time.
			machine.CreatedAt = as.state.Now()
		}
	}
	if machine.Address == "" {
		machine.Address = e.Address
	}
	machine.Phase = e.Phase
}

// Booting says whether a machine that never reported is still expected to. One
// that a predecessor recorded may have been returned since; unless the machine
// list shows it, it is not waited for.
func (as *Autoscaler) Booting(machine *cluster.Machine) bool {
	if machine.Agent.Heard || machine.Agent.Incarnation > 0 {
		return false
	}
	if !machine.Recovered || machine.Phase == protocol.MachineBooting {
		return true
	}
	lag := 2*config.Seconds(as.state.Config.Cluster.Cloud.ListLagS) + as.ListInterval()
	return as.state.Now().Sub(as.state.LeadingSince) < as.state.SilenceTimeout()+lag
}
