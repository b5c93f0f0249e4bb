package autoscaler

import (
	"strings"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// maxListedAgeSeconds is the upper limit for the age of a listed machine, in seconds. A higher
// age is an error in the list and is reduced to this limit.
const maxListedAgeSeconds = 1e6

// machineList reads the cloud's machine list, page by page.
type machineList struct {
	dependencies
	deleted   map[protocol.MachineID]bool // machines that are known to be deleted
	inFlight  bool
	pages     int // number of pages requested for the list being read, or for the last one
	notBefore time.Time
}

// refresh starts to read the machine list if that is due.
func (ml *machineList) refresh() {
	now := ml.state.Now()
	if ml.inFlight || now.Before(ml.notBefore) || !ml.calls.AllowN(now, 1) {
		return
	}
	ml.inFlight, ml.pages = true, 0
	ml.requestPage("")
}

// interval returns the pause between two reads of the machine list. It grows with the number of
// pages, so that the list of a large fleet uses no more than its share of the call budget.
func (ml *machineList) interval() time.Duration {
	intervalPerPage := config.Seconds(1 / (float64(ml.calls.Limit()) * tuning.MachineListBudgetShare))
	return max(tuning.MachineListInterval, time.Duration(ml.pages)*intervalPerPage)
}

// requestNextPage requests the next page as soon as the call budget allows it.
func (ml *machineList) requestNextPage(after protocol.MachineID) {
	pause := ml.calls.ReserveN(ml.state.Now(), 1).DelayFrom(ml.state.Now())
	if pause == 0 {
		ml.requestPage(after)
		return
	}
	ml.env.After(pause, func() { ml.requestPage(after) })
}

// requestPage requests the page that begins behind the machine after, or the first page if after
// is empty.
func (ml *machineList) requestPage(after protocol.MachineID) {
	ml.pages++
	ml.cloud.ListMachines(after, ml.handlePage)
}

// handlePage processes a page of the list. The page is nil if it could not be read.
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

// updateFromEntry updates the cluster model from one entry of the list. Machines that this
// leader did not know of are used like any other, and deleted when they are idle.
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

// addListedMachine adds a machine that is known only from the list.
func (ml *machineList) addListedMachine(listed *protocol.Machine) *cluster.Machine {
	machine := ml.state.EnsureMachine(listed.ID, listed.Address, listed.Type, listed.Zone, listed.Spot)
	if listed.Phase == protocol.MachineRunning {
		// It is running but has not sent this leader a heartbeat yet. Its boot time-out starts
		// now, so that it has the time to do so.
		machine.CreatedAt = ml.state.Now()
	} else {
		machine.CreatedAt = ml.state.Now().Add(-config.Seconds(min(max(listed.AgeS, 0), maxListedAgeSeconds)))
	}
	return machine
}

// Booting reports whether a machine whose agent has never sent a heartbeat is still expected to
// send one. A machine that a previous leader recorded may have been deleted since: unless the
// machine list shows it as booting, it is expected only for a limited time after the failover.
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
