package coordination

import (
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// MachinesDeleted takes machines out that are gone for certain.
func (l *leader) MachinesDeleted(names ...protocol.MachineID) {
	for _, id := range names {
		m := l.cluster.Machines[id]
		if m == nil {
			continue
		}
		l.autoscaler.NoteDeleted(id)
		for _, c := range cluster.SortedAttemptsOn(m) {
			l.dropAttempt(c)
		}
		m.ReleaseReservation()
		delete(l.cluster.Machines, id)
		l.leaveMachineRecord(m)
		l.recovery.Known(id)
		l.plan = true
	}
	l.cluster.OrderedMachines = slices.DeleteFunc(slices.Clone(l.cluster.OrderedMachines), func(m *cluster.Machine) bool { return l.cluster.Machines[m.ID] != m })
}
