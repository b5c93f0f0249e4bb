package coordination

import (
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/protocol"
)

// removeMachines removes machines that are known to be deleted, with their attempts and their
// entries in the machine records.
func (l *leader) removeMachines(names ...protocol.MachineID) {
	for _, id := range names {
		machine := l.cluster.Machines[id]
		if machine == nil {
			continue
		}
		l.autoscaler.MachineDeleted(id)
		attempts := cluster.SortedAttemptsOn(machine)
		l.lifecycle.LogGone(machine, attempts, lifecycle.MachineDeleted)
		for _, attempt := range attempts {
			l.lifecycle.RemoveGone(attempt, lifecycle.MachineDeleted)
		}
		machine.ReleaseReservation()
		delete(l.cluster.Machines, id)
		l.committer.Machines.Remove(machine)
		l.recovery.AgentAccountedFor(id)
		l.schedulingRequested = true
	}
	l.cluster.OrderedMachines = slices.DeleteFunc(slices.Clone(l.cluster.OrderedMachines), func(machine *cluster.Machine) bool { return l.cluster.Machines[machine.ID] != machine })
}
