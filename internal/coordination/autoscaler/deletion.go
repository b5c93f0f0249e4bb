package autoscaler

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// deletions makes the calls that delete machines.
type deletions struct {
	dependencies
	deleted   map[protocol.MachineID]bool // machines that are known to be deleted
	inFlight  bool
	notBefore time.Time
}

// DeleteMachine marks a machine for deletion. The reason is logged.
func (as *Autoscaler) DeleteMachine(machine *cluster.Machine, reason string) {
	if !machine.MarkDeleting() {
		return
	}
	as.log.Info("deleting machine", "machine", machine.ID, "reason", reason)
}

// MachineDeleted notes that a machine is known to be deleted.
func (as *Autoscaler) MachineDeleted(machineID protocol.MachineID) {
	as.deletions.deleted[machineID] = true
}

// Deleted reports whether a machine is known to be deleted.
func (as *Autoscaler) Deleted(machineID protocol.MachineID) bool {
	return as.deletions.deleted[machineID]
}

// send asks the cloud to delete marked machines, several with one call.
func (d *deletions) send() {
	if d.inFlight || d.state.Now().Before(d.notBefore) {
		return
	}
	var ids []protocol.MachineID
	for _, machine := range d.state.OrderedMachines {
		if machine.Deleting && len(ids) < tuning.MaxMachinesPerDeletion {
			ids = append(ids, machine.ID)
		}
	}
	if len(ids) == 0 || !d.calls.AllowN(d.state.Now(), 1) {
		return
	}
	d.inFlight = true
	d.cloud.DeleteMachines(ids, func(deleted bool) {
		d.inFlight = false
		if !deleted {
			d.notBefore = d.state.Now().Add(time.Second)
			return
		}
		d.env.MachinesDeleted(ids...)
	})
}
