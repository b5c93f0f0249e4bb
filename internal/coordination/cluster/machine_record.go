package cluster

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// MachineRecord is the stored record that several machines of a zone share: scaling out or
// in by many machines costs a change or two, not one for every machine.
type MachineRecord struct {
	Key      string
	Zone     protocol.ZoneName
	Revision protocol.Revision // 0 while it was never written
	Members  []*Machine
	Bytes    int  // of the record, at most
	Queued   bool // to be written soon: machines were added or cordoned
	// StaleSince is since when it names machines that are gone, to be written when there
	// is time.
	StaleSince time.Time
	// MovedOut are machines that it names and that moved to other machine records: it is
	// not written before those are, for a machine that no record names would count as gone.
	MovedOut []*Machine
}

// Add enters a machine whose entry takes up to so many bytes.
func (r *MachineRecord) Add(machine *Machine, entryBytes int) {
	machine.Record, machine.RecordEntryBytes = r, entryBytes
	r.Members = append(r.Members, machine)
	r.Bytes += entryBytes
}
