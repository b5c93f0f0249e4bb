package coordination

import (
	"slices"
	"time"

	"github.com/gappond/gappond/internal/bookkeeping"
	"github.com/gappond/gappond/internal/protocol"
)

// machineRecord is the machine record that several machines of a zone share: a mass rental
// or a mass return costs a change or two, not one for every machine.
type machineRecord struct {
	key      string
	zone     protocol.ZoneName
	revision protocol.Revision // revision, 0 while it was never written
	members  []*machine
	bytes    int  // of the record, at most
	queued   bool // is to be written soon: machines were added or closed
	// since when it names machines that are gone, to be written when there is time
	stale time.Time
	// machines that it names and that moved to other machine records: it is not written before
	// those are, for a machine that no record names would count as gone
	movedOut []*machine
}

// machineRecordWrite is a machine record's part of a transaction.
type machineRecordWrite struct {
	record  *machineRecord
	members []*machine
}

// entry is a machine's entry in its machine record.
func (m *machine) entry() bookkeeping.MachineEntry {
	return bookkeeping.MachineEntry{ID: m.id, Address: m.address, Type: m.typeName, Zone: m.zone, Spot: m.spot, Cordoned: m.cordoned}
}

// queueMachineRecord has the machine's entry recorded anew.
func (l *leader) queueMachineRecord(m *machine) {
	if m.record == nil {
		l.assignMachineRecord(m)
	}
	m.record.queued = true
}

// assignMachineRecord gives a machine its place in a record of its zone.
func (l *leader) assignMachineRecord(m *machine) {
	entry := m.entry()
	limit := bookkeeping.MachineRecordCapacity(l.n.cfg.Cluster.State.ValueKB)
	at := slices.IndexFunc(l.machineRecords, func(r *machineRecord) bool { return r.zone == m.zone && r.bytes+entry.Size() <= limit })
	if at < 0 {
		at = len(l.machineRecords)
		l.machineRecords = append(l.machineRecords, &machineRecord{key: bookkeeping.MachineRecordKey(l.n.unique()), zone: m.zone})
	}
	l.machineRecords[at].add(m, entry)
}

func (r *machineRecord) add(m *machine, entry bookkeeping.MachineEntry) {
	m.record, m.entrySize = r, entry.Size()
	r.members = append(r.members, m)
	r.bytes += m.entrySize
}

// leaveMachineRecord takes a machine that is gone out of its record.
func (l *leader) leaveMachineRecord(m *machine) {
	r := m.record
	if r == nil {
		return
	}
	m.record, m.recorded = nil, false
	r.members = slices.DeleteFunc(r.members, func(o *machine) bool { return o == m })
	r.bytes -= m.entrySize
	if r.stale.IsZero() {
		r.stale = l.n.now
	}
}

// loadMachineRecord takes a machine record at a takeover.
func (l *leader) loadMachineRecord(key string, revision protocol.Revision, rec *bookkeeping.MachineRecord) {
	r := &machineRecord{key: key, revision: revision}
	for _, entry := range rec.Machines {
		m := l.machine(entry.ID, entry.Address, entry.Type, entry.Zone, entry.Spot)
		if m.record != nil {
			r.stale = l.n.now // recorded twice: the first will do
			m.cordoned = m.cordoned || entry.Cordoned
			continue
		}
		r.zone = entry.Zone
		m.cordoned, m.recorded, m.loaded = m.cordoned || entry.Cordoned, true, true
		r.add(m, entry)
	}
	l.machineRecords = append(l.machineRecords, r)
}

// splitMachineRecords moves machines out of records that have outgrown the limits. Until
// the new record is written such a machine takes no task; then both name it.
func (l *leader) splitMachineRecords() {
	limit := bookkeeping.MachineRecordCapacity(l.n.cfg.Cluster.State.ValueKB)
	for _, r := range slices.Clone(l.machineRecords) {
		for r.bytes > limit && len(r.members) > 1 {
			m := r.members[len(r.members)-1]
			r.members = r.members[:len(r.members)-1]
			r.bytes -= m.entrySize
			r.movedOut = append(r.movedOut, m)
			r.stale = l.n.now
			m.recorded = false
			l.assignMachineRecord(m)
			m.record.queued = true
		}
	}
}

// movesRecorded says whether all machines that have moved out of a machine record are recorded in
// another, or gone.
func (l *leader) movesRecorded(r *machineRecord) bool {
	r.movedOut = slices.DeleteFunc(r.movedOut, func(m *machine) bool { return m.recorded || l.machines[m.id] != m })
	return len(r.movedOut) == 0
}

// deleteStrayRecord has a machine record deleted that this leader does not have: its creation
// was carried out late, when the record had served its time.
func (l *leader) deleteStrayRecord(ev *protocol.WatchEvent) {
	if l.hasMachineRecord(ev.Set) || l.inFlight != nil && bookkeeping.Writer(ev.Value) == l.inFlight.writer {
		return
	}
	l.n.log.Info("machine record of nobody", "key", ev.Set)
	l.machineRecords = append(l.machineRecords, &machineRecord{key: ev.Set, revision: ev.Revision, stale: l.n.now})
}

func (l *leader) hasMachineRecord(key string) bool {
	return slices.ContainsFunc(l.machineRecords, func(r *machineRecord) bool { return r.key == key })
}

// addMachineRecords adds the machine records that are to be written to a transaction.
func (b *batch) addMachineRecords(wanted func(r *machineRecord) bool) {
	for _, r := range b.l.machineRecords {
		if !wanted(r) || !b.l.movesRecorded(r) {
			continue
		}
		if len(r.members) == 0 {
			if r.revision != 0 && b.fits(1, 1, 200) {
				b.guardMachineRecord(r)
				b.remove(r.key)
				b.tx.machineRecords = append(b.tx.machineRecords, machineRecordWrite{record: r})
				r.queued, r.stale = false, time.Time{}
			}
			continue
		}
		rec := bookkeeping.MachineRecord{Writer: b.tx.writer}
		for _, m := range r.members {
			rec.Machines = append(rec.Machines, m.entry())
		}
		value := bookkeeping.Encode(rec)
		if !b.fits(1, 1, len(value)+200) {
			continue
		}
		b.guardMachineRecord(r)
		b.set(r.key, value)
		b.tx.machineRecords = append(b.tx.machineRecords, machineRecordWrite{r, slices.Clone(r.members)})
		r.queued, r.stale = false, time.Time{}
	}
}

// guardMachineRecord demands once in a transaction that a machine record is unchanged.
func (b *batch) guardMachineRecord(r *machineRecord) {
	if !b.guarded[r] {
		b.guarded[r] = true
		b.guard(r.key, r.revision)
	}
}

// machineRecordWritten takes a machine record's new revision.
func (l *leader) machineRecordWritten(w machineRecordWrite, revision protocol.Revision) {
	if len(w.members) == 0 {
		// The key is gone. Machines that came meanwhile are written under another:
		// a late creation of the old one must find no guard that it meets.
		w.record.key, w.record.revision = bookkeeping.MachineRecordKey(l.n.unique()), 0
		if len(w.record.members) == 0 {
			l.machineRecords = slices.DeleteFunc(l.machineRecords, func(r *machineRecord) bool { return r == w.record })
		}
		return
	}
	w.record.revision = max(w.record.revision, revision)
	for _, m := range w.members {
		if m.record == w.record {
			m.recorded = true
		}
	}
}
