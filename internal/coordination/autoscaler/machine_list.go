package autoscaler

import (
	"strings"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// longestAgeS is the greatest age, in seconds, that is believed of a listed machine: more
// would be a fault of the list.
const longestAgeS = 1e6

// machineList is the reading of the cloud's machine list, page by page.
type machineList struct {
	inFlight  bool
	pages     int // of the list under way, or of the last one
	notBefore time.Time
}

// refreshList begins to read the machine list if that is due.
func (as *Autoscaler) refreshList() {
	now := as.state.Now()
	if as.list.inFlight || now.Before(as.list.notBefore) || !as.calls.AllowN(now, 1) {
		return
	}
	as.list.inFlight, as.list.pages = true, 0
	as.requestPage("")
}

// listInterval is the interval between two machine lists. The pages of a large fleet's
// list take no more than their part of the calls.
func (as *Autoscaler) listInterval() time.Duration {
	perPage := config.Seconds(1 / (float64(as.calls.Limit()) * tuning.MachineListBudgetShare))
	return max(tuning.MachineListInterval, time.Duration(as.list.pages)*perPage)
}

// requestNextPage asks for the next page when the budget of calls allows it.
func (as *Autoscaler) requestNextPage(after protocol.MachineID) {
	pause := as.calls.ReserveN(as.state.Now(), 1).DelayFrom(as.state.Now())
	if pause == 0 {
		as.requestPage(after)
		return
	}
	as.env.After(pause, func() { as.requestPage(after) })
}

// requestPage asks for the page after a machine.
func (as *Autoscaler) requestPage(after protocol.MachineID) {
	as.list.pages++
	as.cloud.ListMachines(after, as.handlePage)
}

// handlePage takes a page of the list; nil if it could not be read.
func (as *Autoscaler) handlePage(page *protocol.MachineList) {
	if page == nil {
		as.list.inFlight, as.list.notBefore = false, as.state.Now().Add(time.Second)
		return
	}
	last := protocol.MachineID("")
	for i := range page.Machines {
		as.observeListed(&page.Machines[i])
		last = page.Machines[i].ID
	}
	if page.More && last != "" {
		as.requestNextPage(last)
		return
	}
	as.list.inFlight, as.list.notBefore = false, as.state.Now().Add(as.listInterval())
}

// observeListed takes one machine of the list. Machines that nobody expected are
// used like any other, and deleted when they are idle.
func (as *Autoscaler) observeListed(listed *protocol.Machine) {
	if listed.ID == "" || strings.ContainsAny(string(listed.ID), " /") || as.Deleted(listed.ID) {
		return
	}
	machine := as.state.Machines[listed.ID]
	if machine == nil {
		machine = as.enterListed(listed)
	}
	if machine.Address == "" {
		machine.Address = listed.Address
	}
	machine.Phase = listed.Phase
}

// enterListed enters a machine that only the list names.
func (as *Autoscaler) enterListed(listed *protocol.Machine) *cluster.Machine {
	machine := as.state.EnsureMachine(listed.ID, listed.Address, listed.Type, listed.Zone, listed.Spot)
	if listed.Phase == protocol.MachineRunning {
		// It is up but has yet to report to this leader: it gets its time.
		machine.CreatedAt = as.state.Now()
	} else {
		machine.CreatedAt = as.state.Now().Add(-config.Seconds(min(max(listed.AgeS, 0), longestAgeS)))
	}
	return machine
}

// Booting says whether a machine that never reported is still expected to. One
// that a predecessor recorded may have been deleted since; unless the machine
// list shows it, it is not waited for.
func (as *Autoscaler) Booting(machine *cluster.Machine) bool {
	if machine.Agent.Heard || machine.Agent.Incarnation > 0 {
		return false
	}
	if !machine.Recovered || machine.Phase == protocol.MachineBooting {
		return true
	}
	lag := 2*config.Seconds(as.state.Config.Cluster.Cloud.ListLagS) + as.listInterval()
	return as.state.Now().Sub(as.state.LeadingSince) < as.state.SilenceTimeout()+lag
}
