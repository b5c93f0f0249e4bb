package autoscaler

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// deletions are the calls that delete machines.
type deletions struct {
	dependencies
	deleted   map[protocol.MachineID]bool // machines that are gone for certain
	inFlight  bool
	notBefore time.Time
}

// DeleteMachine marks a machine to be deleted.
func (as *Autoscaler) DeleteMachine(machine *cluster.Machine, reason string) {
	if !machine.MarkDeleting() {
		return
	}
	as.log.Info("deleting machine", "machine", machine.ID, "reason", reason)
}

// MachineDeleted notes that a machine is gone for certain.
func (as *Autoscaler) MachineDeleted(machineID protocol.MachineID) {
	as.deletions.deleted[machineID] = true
}

// Deleted says whether a machine is gone for certain.
func (as *Autoscaler) Deleted(machineID protocol.MachineID) bool {
	return as.deletions.deleted[machineID]
}

// send has the cloud delete machines that are marked, several with one call.
func (d *deletions) send() {
	if d.inFlight || d.state.Now().Before(d.notBefore) {
		return
	}
	var names []protocol.MachineID
	for _, machine := range d.state.OrderedMachines {
		if machine.Deleting && len(names) < tuning.MaxMachinesPerDeletion {
			names = append(names, machine.ID)
		}
	}
	if len(names) == 0 || !d.calls.AllowN(d.state.Now(), 1) {
		return
	}
	d.inFlight = true
	d.cloud.DeleteMachines(names, func(deleted bool) {
		d.inFlight = false
		if !deleted {
			d.notBefore = d.state.Now().Add(time.Second)
			return
		}
		d.env.MachinesDeleted(names...)
	})
}
