package commit

import (
	"log/slog"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// MachineRecords are the records that the machines of a zone share. No machine takes a
// task before a stored record has it, so that every leader finds the machines on which
// something may run.
type MachineRecords struct {
	state   *cluster.State
	env     Environment
	log     *slog.Logger
	records []*cluster.MachineRecord
}

// machineRecordWrite is a machine record's part of a transaction.
type machineRecordWrite struct {
	record  *cluster.MachineRecord
	members []*cluster.Machine // none if the record is deleted
}

// machineEntry is a machine's entry in its machine record.
func machineEntry(machine *cluster.Machine) storage.MachineEntry {
	return storage.MachineEntry{ID: machine.ID, Address: machine.Address, Type: machine.TypeName, Zone: machine.Zone, Spot: machine.Spot, Cordoned: machine.Cordoned}
}

// isQueued selects the machine records that are to be written soon.
func isQueued(record *cluster.MachineRecord) bool { return record.Queued }

// isStale selects the machine records that have long named machines that are gone.
func (mr *MachineRecords) isStale(record *cluster.MachineRecord) bool {
	return !record.StaleSince.IsZero() && mr.state.Now().Sub(record.StaleSince) > tuning.StaleMachineRecordDelay
}

// Empty says whether there are none.
func (mr *MachineRecords) Empty() bool { return len(mr.records) == 0 }

// Record has a machine's entry written anew.
func (mr *MachineRecords) Record(machine *cluster.Machine) {
	if machine.Record == nil {
		mr.Assign(machine)
	}
	machine.Record.Queued = true
}

// Assign gives a machine its place in a record of its zone.
func (mr *MachineRecords) Assign(machine *cluster.Machine) {
	entry := machineEntry(machine)
	capacity := mr.capacity()
	at := slices.IndexFunc(mr.records, func(record *cluster.MachineRecord) bool {
		return record.Zone == machine.Zone && record.Bytes+entry.Size() <= capacity
	})
	if at < 0 {
		at = len(mr.records)
		mr.records = append(mr.records, &cluster.MachineRecord{Key: storage.MachineRecordKey(mr.env.UniqueName()), Zone: machine.Zone})
	}
	mr.records[at].Add(machine, entry.Size())
}

func (mr *MachineRecords) capacity() int {
	return storage.MachineRecordCapacity(mr.state.Config.Cluster.Store.ValueKB)
}

// Remove takes a machine that is gone out of its record.
func (mr *MachineRecords) Remove(machine *cluster.Machine) {
	record := machine.Record
	if record == nil {
		return
	}
	machine.Record, machine.Recorded = nil, false
	record.Members = slices.DeleteFunc(record.Members, func(member *cluster.Machine) bool { return member == machine })
	record.Bytes -= machine.RecordEntryBytes
	if record.StaleSince.IsZero() {
		record.StaleSince = mr.state.Now()
	}
}

// Load takes a stored machine record at a failover.
func (mr *MachineRecords) Load(key string, revision protocol.Revision, stored *storage.MachineRecord) {
	record := &cluster.MachineRecord{Key: key, Revision: revision}
	for _, entry := range stored.Machines {
		machine := mr.state.EnsureMachine(entry.ID, entry.Address, entry.Type, entry.Zone, entry.Spot)
		if machine.Record != nil {
			record.StaleSince = mr.state.Now() // recorded twice: the first will do
			machine.Cordoned = machine.Cordoned || entry.Cordoned
			continue
		}
		record.Zone = entry.Zone
		machine.Cordoned, machine.Recorded, machine.Recovered = machine.Cordoned || entry.Cordoned, true, true
		record.Add(machine, entry.Size())
	}
	mr.records = append(mr.records, record)
}

// MarkOversizedRecords moves machines out of records that have outgrown the limits. Until
// the new record is written such a machine takes no task; then both name it.
func (mr *MachineRecords) SplitOversized() {
	capacity := mr.capacity()
	for _, record := range slices.Clone(mr.records) {
		for record.Bytes > capacity && len(record.Members) > 1 {
			machine := record.Members[len(record.Members)-1]
			record.Members = record.Members[:len(record.Members)-1]
			record.Bytes -= machine.RecordEntryBytes
			record.MovedOut = append(record.MovedOut, machine)
			record.StaleSince = mr.state.Now()
			machine.Recorded = false
			mr.Assign(machine)
			machine.Record.Queued = true
		}
	}
}

// movesRecorded says whether all machines that have moved out of a machine record are
// recorded in another, or gone.
func (mr *MachineRecords) movesRecorded(record *cluster.MachineRecord) bool {
	record.MovedOut = slices.DeleteFunc(record.MovedOut, func(machine *cluster.Machine) bool {
		return machine.Recorded || mr.state.Machines[machine.ID] != machine
	})
	return len(record.MovedOut) == 0
}

// deleteOrphaned has a machine record deleted that this leader does not have: its creation
// was carried out late, when the record had served its time.
func (mr *MachineRecords) deleteOrphaned(key string, revision protocol.Revision) {
	mr.log.Info("orphaned machine record", "key", key, "revision", revision)
	mr.records = append(mr.records, &cluster.MachineRecord{Key: key, Revision: revision, StaleSince: mr.state.Now()})
}

func (mr *MachineRecords) has(key string) bool {
	return slices.ContainsFunc(mr.records, func(record *cluster.MachineRecord) bool { return record.Key == key })
}

// setRevision takes the revision that a machine record was found to have, 0 if there is none.
func (mr *MachineRecords) setRevision(key string, revision protocol.Revision) {
	for _, record := range mr.records {
		if record.Key == key {
			record.Revision = revision
			record.Queued = record.Queued || revision == 0
		}
	}
}

// noteCommitted takes the new revision of a machine record that was written or deleted.
func (mr *MachineRecords) noteCommitted(write machineRecordWrite, revision protocol.Revision) {
	record := write.record
	if len(write.members) == 0 {
		// The key is gone. Machines that came meanwhile are written under another:
		// a late creation of the old one must find no guard that it meets.
		record.Key, record.Revision = storage.MachineRecordKey(mr.env.UniqueName()), 0
		if len(record.Members) == 0 {
			mr.records = slices.DeleteFunc(mr.records, func(other *cluster.MachineRecord) bool { return other == record })
		}
		return
	}
	record.Revision = max(record.Revision, revision)
	for _, machine := range write.members {
		if machine.Record == record {
			machine.Recorded = true
		}
	}
}

// addMachineRecords adds those of the machine records that are selected and fit.
func (b *transactionBuilder) addMachineRecords(machines *MachineRecords, selected func(*cluster.MachineRecord) bool) {
	for _, record := range machines.records {
		if !selected(record) || !machines.movesRecorded(record) {
			continue
		}
		if len(record.Members) == 0 {
			if record.Revision != 0 && b.fits(1, 1, smallRecordBytes) {
				b.guardMachineRecord(record)
				b.remove(record.Key)
				b.tx.machineRecords = append(b.tx.machineRecords, machineRecordWrite{record: record})
				record.Queued, record.StaleSince = false, time.Time{}
			}
			continue
		}
		stored := storage.MachineRecord{Writer: b.tx.writer}
		for _, machine := range record.Members {
			stored.Machines = append(stored.Machines, machineEntry(machine))
		}
		value := storage.Encode(stored)
		if !b.fits(1, 1, len(value)+smallRecordBytes) {
			continue
		}
		b.guardMachineRecord(record)
		b.set(record.Key, value)
		b.tx.machineRecords = append(b.tx.machineRecords, machineRecordWrite{record, slices.Clone(record.Members)})
		record.Queued, record.StaleSince = false, time.Time{}
	}
}

// guardMachineRecord demands once in a transaction that a machine record is unchanged.
func (b *transactionBuilder) guardMachineRecord(record *cluster.MachineRecord) {
	if !b.guarded[record] {
		b.guarded[record] = true
		b.guard(record.Key, record.Revision)
	}
}
