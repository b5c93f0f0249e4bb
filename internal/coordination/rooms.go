package coordination

import (
	"slices"
	"time"

	"github.com/gappond/gappond/internal/bookkeeping"
	"github.com/gappond/gappond/internal/protocol"
)

// rack is the room record that several machines of a zone share: a mass rental
// or a mass return costs a change or two, not one for every machine.
type rack struct {
	key     string
	zone    string
	stamp   uint64 // revision, 0 while it was never written
	members []*machine
	bytes   int  // of the record, at most
	queued  bool // is to be written soon: machines were added or closed
	// since when it names machines that are gone, to be written when there is time
	stale time.Time
	// machines that it names and that moved to other racks: it is not written before
	// those are, for a machine that no record names would count as gone
	leaving []*machine
}

// rackWrite is a rack's part of a transaction.
type rackWrite struct {
	rack    *rack
	members []*machine
}

// room is a machine's entry in its rack's record.
func (m *machine) room() bookkeeping.Room {
	return bookkeeping.Room{ID: m.id, Address: m.address, Type: m.typeName, Zone: m.zone, Spot: m.spot, Closed: m.closed}
}

// writeRoom has the machine's room recorded anew.
func (l *leader) writeRoom(m *machine) {
	if m.rack == nil {
		l.assignRack(m)
	}
	m.rack.queued = true
}

// assignRack gives a machine its place in a record of its zone.
func (l *leader) assignRack(m *machine) {
	room := m.room()
	limit := bookkeeping.RackBytes(l.n.cfg.Cluster.State.ValueKB)
	at := slices.IndexFunc(l.racks, func(r *rack) bool { return r.zone == m.zone && r.bytes+room.Size() <= limit })
	if at < 0 {
		at = len(l.racks)
		l.racks = append(l.racks, &rack{key: bookkeeping.RackKey(l.n.unique()), zone: m.zone})
	}
	l.racks[at].add(m, room)
}

func (r *rack) add(m *machine, room bookkeeping.Room) {
	m.rack, m.rackBytes = r, room.Size()
	r.members = append(r.members, m)
	r.bytes += m.rackBytes
}

// leaveRack takes a machine that is gone out of its record.
func (l *leader) leaveRack(m *machine) {
	r := m.rack
	if r == nil {
		return
	}
	m.rack, m.recorded = nil, false
	r.members = slices.DeleteFunc(r.members, func(o *machine) bool { return o == m })
	r.bytes -= m.rackBytes
	if r.stale.IsZero() {
		r.stale = l.n.now
	}
}

// loadRack takes a rack's record at a takeover.
func (l *leader) loadRack(key string, stamp uint64, rec *bookkeeping.Rack) {
	r := &rack{key: key, stamp: stamp}
	for _, room := range rec.Machines {
		m := l.machine(room.ID, room.Address, room.Type, room.Zone, room.Spot)
		if m.rack != nil {
			r.stale = l.n.now // recorded twice: the first will do
			m.closed = m.closed || room.Closed
			continue
		}
		r.zone = room.Zone
		m.closed, m.recorded, m.loaded = m.closed || room.Closed, true, true
		r.add(m, room)
	}
	l.racks = append(l.racks, r)
}

// splitRacks moves machines out of records that have outgrown the limits. Until
// the new record is written such a machine takes no task; then both name it.
func (l *leader) splitRacks() {
	limit := bookkeeping.RackBytes(l.n.cfg.Cluster.State.ValueKB)
	for _, r := range slices.Clone(l.racks) {
		for r.bytes > limit && len(r.members) > 1 {
			m := r.members[len(r.members)-1]
			r.members = r.members[:len(r.members)-1]
			r.bytes -= m.rackBytes
			r.leaving = append(r.leaving, m)
			r.stale = l.n.now
			m.recorded = false
			l.assignRack(m)
			m.rack.queued = true
		}
	}
}

// settled says whether all machines that have moved out of a rack are recorded in
// another, or gone.
func (l *leader) settled(r *rack) bool {
	r.leaving = slices.DeleteFunc(r.leaving, func(m *machine) bool { return m.recorded || l.machines[m.id] != m })
	return len(r.leaving) == 0
}

// strayRack has a room record deleted that this leader does not have: its creation
// was carried out late, when the record had served its time.
func (l *leader) strayRack(ev *protocol.WatchEvent) {
	if l.ownRack(ev.Set) || l.inFlight != nil && bookkeeping.Writer(ev.Value) == l.inFlight.writer {
		return
	}
	l.n.log.Info("room record of nobody", "key", ev.Set)
	l.racks = append(l.racks, &rack{key: ev.Set, stamp: ev.Stamp, stale: l.n.now})
}

func (l *leader) ownRack(key string) bool {
	return slices.ContainsFunc(l.racks, func(r *rack) bool { return r.key == key })
}

// addRacks adds the racks that are to be written to a transaction.
func (b *batch) addRacks(wanted func(r *rack) bool) {
	for _, r := range b.l.racks {
		if !wanted(r) || !b.l.settled(r) {
			continue
		}
		if len(r.members) == 0 {
			if r.stamp != 0 && b.fits(1, 1, 200) {
				b.guardRack(r)
				b.remove(r.key)
				b.tx.racks = append(b.tx.racks, rackWrite{rack: r})
				r.queued, r.stale = false, time.Time{}
			}
			continue
		}
		rec := bookkeeping.Rack{Writer: b.tx.writer}
		for _, m := range r.members {
			rec.Machines = append(rec.Machines, m.room())
		}
		value := bookkeeping.Encode(rec)
		if !b.fits(1, 1, len(value)+200) {
			continue
		}
		b.guardRack(r)
		b.set(r.key, value)
		b.tx.racks = append(b.tx.racks, rackWrite{r, slices.Clone(r.members)})
		r.queued, r.stale = false, time.Time{}
	}
}

// guardRack demands once in a transaction that a rack is unchanged.
func (b *batch) guardRack(r *rack) {
	if !b.guarded[r] {
		b.guarded[r] = true
		b.guard(r.key, r.stamp)
	}
}

// written takes a rack's new revision.
func (l *leader) written(w rackWrite, revision uint64) {
	if len(w.members) == 0 {
		// The key is gone. Machines that came meanwhile are written under another:
		// a late creation of the old one must find no guard that it meets.
		w.rack.key, w.rack.stamp = bookkeeping.RackKey(l.n.unique()), 0
		if len(w.rack.members) == 0 {
			l.racks = slices.DeleteFunc(l.racks, func(r *rack) bool { return r == w.rack })
		}
		return
	}
	w.rack.stamp = max(w.rack.stamp, revision)
	for _, m := range w.members {
		if m.rack == w.rack {
			m.recorded = true
		}
	}
}
