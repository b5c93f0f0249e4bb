package cluster

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// MachineRecord is a stored record that several machines of a zone share, so that scaling out
// or in by many machines takes one or two writes instead of one for each machine.
type MachineRecord struct {
	Key      string
	Zone     protocol.ZoneName
	Revision protocol.Revision // 0 if it was never written
	Members  []*Machine
	Bytes    int  // upper bound of the record's size
	Queued   bool // must be written soon because machines were added or cordoned
	// StaleSince is the time since which the stored record has contained machines that do not
	// belong in it, or zero if there are none. These machines were removed, were moved to
	// another record, or are also listed in another record. A stale record is rewritten when
	// there is time.
	StaleSince time.Time
	// MovedOut are machines that the stored record contains and that were moved to other
	// machine records. The other records are written first: a machine in no record would
	// count as gone.
	MovedOut []*Machine
}

// Add adds a machine whose entry takes up to entryBytes bytes.
func (r *MachineRecord) Add(machine *Machine, entryBytes int) {
	machine.Record, machine.RecordEntryBytes = r, entryBytes
	r.Members = append(r.Members, machine)
	r.Bytes += entryBytes
}
