package coordination

import (
	"slices"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// machineRecordWrite is a machine record's part of a transaction.
type machineRecordWrite struct {
	record  *cluster.MachineRecord
	members []*cluster.Machine
}

// machineEntry is a machine's entry in its machine record.
func machineEntry(machine *cluster.Machine) storage.MachineEntry {
	return storage.MachineEntry{ID: machine.ID, Address: machine.Address, Type: machine.TypeName, Zone: machine.Zone, Spot: machine.Spot, Cordoned: machine.Cordoned}
}

// RecordMachine has the machine's entry recorded anew.
func (l *leader) RecordMachine(machine *cluster.Machine) {
	if machine.Record == nil {
		l.assignMachineRecord(machine)
	}
	machine.Record.Queued = true
}

// assignMachineRecord gives a machine its place in a record of its zone.
func (l *leader) assignMachineRecord(machine *cluster.Machine) {
	entry := machineEntry(machine)
	limit := storage.MachineRecordCapacity(l.n.cfg.Cluster.State.ValueKB)
	at := slices.IndexFunc(l.machineRecords, func(r *cluster.MachineRecord) bool { return r.Zone == machine.Zone && r.Bytes+entry.Size() <= limit })
	if at < 0 {
		at = len(l.machineRecords)
		l.machineRecords = append(l.machineRecords, &cluster.MachineRecord{Key: storage.MachineRecordKey(l.n.unique()), Zone: machine.Zone})
	}
	l.machineRecords[at].Add(machine, entry.Size())
}

// leaveMachineRecord takes a machine that is gone out of its record.
func (l *leader) leaveMachineRecord(machine *cluster.Machine) {
	r := machine.Record
	if r == nil {
		return
	}
	machine.Record, machine.Recorded = nil, false
	r.Members = slices.DeleteFunc(r.Members, func(o *cluster.Machine) bool { return o == machine })
	r.Bytes -= machine.RecordEntrySize
	if r.StaleSince.IsZero() {
		r.StaleSince = l.n.now
	}
}

// loadMachineRecord takes a machine record at a takeover.
func (l *leader) loadMachineRecord(key string, revision protocol.Revision, rec *storage.MachineRecord) {
	r := &cluster.MachineRecord{Key: key, Revision: revision}
	for _, entry := range rec.Machines {
		machine := l.cluster.EnsureMachine(entry.ID, entry.Address, entry.Type, entry.Zone, entry.Spot)
		if machine.Record != nil {
			r.StaleSince = l.n.now // recorded twice: the first will do
			machine.Cordoned = machine.Cordoned || entry.Cordoned
			continue
		}
		r.Zone = entry.Zone
		machine.Cordoned, machine.Recorded, machine.Recovered = machine.Cordoned || entry.Cordoned, true, true
		r.Add(machine, entry.Size())
	}
	l.machineRecords = append(l.machineRecords, r)
}

// splitMachineRecords moves machines out of records that have outgrown the limits. Until
// the new record is written such a machine takes no task; then both name it.
func (l *leader) splitMachineRecords() {
	limit := storage.MachineRecordCapacity(l.n.cfg.Cluster.State.ValueKB)
	for _, r := range slices.Clone(l.machineRecords) {
		for r.Bytes > limit && len(r.Members) > 1 {
			machine := r.Members[len(r.Members)-1]
			r.Members = r.Members[:len(r.Members)-1]
			r.Bytes -= machine.RecordEntrySize
			r.MovedOut = append(r.MovedOut, machine)
			r.StaleSince = l.n.now
			machine.Recorded = false
			l.assignMachineRecord(machine)
			machine.Record.Queued = true
		}
	}
}

// movesRecorded says whether all machines that have moved out of a machine record are recorded in
// another, or gone.
func (l *leader) movesRecorded(r *cluster.MachineRecord) bool {
	r.MovedOut = slices.DeleteFunc(r.MovedOut, func(machine *cluster.Machine) bool {
		return machine.Recorded || l.cluster.Machines[machine.ID] != machine
	})
	return len(r.MovedOut) == 0
}

// deleteStrayRecord has a machine record deleted that this leader does not have: its creation
// was carried out late, when the record had served its time.
func (l *leader) deleteStrayRecord(ev *protocol.WatchEvent) {
	if l.hasMachineRecord(ev.Set) || l.inFlight != nil && storage.Writer(ev.Value) == l.inFlight.writer {
		return
	}
	l.n.log.Info("machine record of nobody", "key", ev.Set)
	l.machineRecords = append(l.machineRecords, &cluster.MachineRecord{Key: ev.Set, Revision: ev.Revision, StaleSince: l.n.now})
}

func (l *leader) hasMachineRecord(key string) bool {
	return slices.ContainsFunc(l.machineRecords, func(r *cluster.MachineRecord) bool { return r.Key == key })
}

// addMachineRecords adds the machine records that are to be written to a transaction.
func (b *batch) addMachineRecords(wanted func(r *cluster.MachineRecord) bool) {
	for _, r := range b.l.machineRecords {
		if !wanted(r) || !b.l.movesRecorded(r) {
			continue
		}
		if len(r.Members) == 0 {
			if r.Revision != 0 && b.fits(1, 1, 200) {
				b.guardMachineRecord(r)
				b.remove(r.Key)
				b.tx.machineRecords = append(b.tx.machineRecords, machineRecordWrite{record: r})
				r.Queued, r.StaleSince = false, time.Time{}
			}
			continue
		}
		rec := storage.MachineRecord{Writer: b.tx.writer}
		for _, machine := range r.Members {
			rec.Machines = append(rec.Machines, machineEntry(machine))
		}
		value := storage.Encode(rec)
		if !b.fits(1, 1, len(value)+200) {
			continue
		}
		b.guardMachineRecord(r)
		b.set(r.Key, value)
		b.tx.machineRecords = append(b.tx.machineRecords, machineRecordWrite{r, slices.Clone(r.Members)})
		r.Queued, r.StaleSince = false, time.Time{}
	}
}

// guardMachineRecord demands once in a transaction that a machine record is unchanged.
func (b *batch) guardMachineRecord(r *cluster.MachineRecord) {
	if !b.guarded[r] {
		b.guarded[r] = true
		b.guard(r.Key, r.Revision)
	}
}

// machineRecordWritten takes a machine record's new revision.
func (l *leader) machineRecordWritten(w machineRecordWrite, revision protocol.Revision) {
	if len(w.members) == 0 {
		// The key is gone. Machines that came meanwhile are written under another:
		// a late creation of the old one must find no guard that it meets.
		w.record.Key, w.record.Revision = storage.MachineRecordKey(l.n.unique()), 0
		if len(w.record.Members) == 0 {
			l.machineRecords = slices.DeleteFunc(l.machineRecords, func(r *cluster.MachineRecord) bool { return r == w.record })
		}
		return
	}
	w.record.Revision = max(w.record.Revision, revision)
	for _, machine := range w.members {
		if machine.Record == w.record {
			machine.Recorded = true
		}
	}
}
