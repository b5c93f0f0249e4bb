package autoscaler

import (
	"strings"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// maxListedAgeSeconds is the greatest age, in seconds, that is believed of a listed machine: more
// would be a fault of the list.
const maxListedAgeSeconds = 1e6

// machineList is the reading of the cloud's machine list, page by page.
type machineList struct {
	dependencies
	deleted   map[protocol.MachineID]bool // machines that are gone for certain
	inFlight  bool
	pages     int // of the list under way, or of the last one
	notBefore time.Time
}

// refresh begins to read the machine list if that is due.
func (ml *machineList) refresh() {
	now := ml.state.Now()
	if ml.inFlight || now.Before(ml.notBefore) || !ml.calls.AllowN(now, 1) {
		return
	}
	ml.inFlight, ml.pages = true, 0
	ml.requestPage("")
}

// interval is the interval between two machine lists. The pages of a large fleet's
// list take no more than their part of the calls.
func (ml *machineList) interval() time.Duration {
	perPage := config.Seconds(1 / (float64(ml.calls.Limit()) * tuning.MachineListBudgetShare))
	return max(tuning.MachineListInterval, time.Duration(ml.pages)*perPage)
}

// requestNextPage asks for the next page when the budget of calls allows it.
func (ml *machineList) requestNextPage(after protocol.MachineID) {
	pause := ml.calls.ReserveN(ml.state.Now(), 1).DelayFrom(ml.state.Now())
	if pause == 0 {
		ml.requestPage(after)
		return
	}
	ml.env.After(pause, func() { ml.requestPage(after) })
}

// requestPage asks for the page after a machine.
func (ml *machineList) requestPage(after protocol.MachineID) {
	ml.pages++
	ml.cloud.ListMachines(after, ml.handlePage)
}

// handlePage takes a page of the list; nil if it could not be read.
func (ml *machineList) handlePage(page *protocol.MachineList) {
	if page == nil {
		ml.inFlight, ml.notBefore = false, ml.state.Now().Add(time.Second)
		return
	}
	last := protocol.MachineID("")
	for i := range page.Machines {
		ml.updateFromEntry(&page.Machines[i])
		last = page.Machines[i].ID
	}
	if page.More && last != "" {
		ml.requestNextPage(last)
		return
	}
	ml.inFlight, ml.notBefore = false, ml.state.Now().Add(ml.interval())
}

// updateFromEntry takes one machine of the list. Machines that nobody expected are
// used like any other, and deleted when they are idle.
func (ml *machineList) updateFromEntry(listed *protocol.Machine) {
	if listed.ID == "" || strings.ContainsAny(string(listed.ID), " /") || ml.deleted[listed.ID] {
		return
	}
	machine := ml.state.Machines[listed.ID]
	if machine == nil {
		machine = ml.addListedMachine(listed)
	}
	if machine.Address == "" {
		machine.Address = listed.Address
	}
	machine.Phase = listed.Phase
}

// addListedMachine enters a machine that only the list names.
func (ml *machineList) addListedMachine(listed *protocol.Machine) *cluster.Machine {
	machine := ml.state.EnsureMachine(listed.ID, listed.Address, listed.Type, listed.Zone, listed.Spot)
	if listed.Phase == protocol.MachineRunning {
		// It is up but has yet to report to this leader: it gets its time.
		machine.CreatedAt = ml.state.Now()
	} else {
		machine.CreatedAt = ml.state.Now().Add(-config.Seconds(min(max(listed.AgeS, 0), maxListedAgeSeconds)))
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
	lag := 2*config.Seconds(as.state.Config.Cluster.Cloud.ListLagS) + as.list.interval()
	return as.state.Now().Sub(as.state.LeadingSince) < as.state.SilenceTimeout()+lag
}
