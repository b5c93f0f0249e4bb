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

// MachineRecords holds the machine records. Several machines of a zone share one record. No
// machine is given a task before a stored record lists it, so that every later leader finds the
// machines on which tasks may run.
type MachineRecords struct {
	state   *cluster.State
	env     Environment
	log     *slog.Logger
	records []*cluster.MachineRecord
}

// machineRecordWrite is one machine record's part of a transaction.
type machineRecordWrite struct {
	record  *cluster.MachineRecord
	members []*cluster.Machine // empty if the record is deleted
}

// machineEntry returns a machine's entry in its machine record.
func machineEntry(machine *cluster.Machine) storage.MachineEntry {
	return storage.MachineEntry{ID: machine.ID, Address: machine.Address, Type: machine.TypeName, Zone: machine.Zone, Spot: machine.Spot, Cordoned: machine.Cordoned}
}

// isQueued selects the machine records that are to be written soon.
func isQueued(record *cluster.MachineRecord) bool { return record.Queued }

// isStale selects the machine records that have listed machines that are no longer assigned to
// them for longer than tuning.StaleMachineRecordDelay.
func (mr *MachineRecords) isStale(record *cluster.MachineRecord) bool {
	return !record.StaleSince.IsZero() && mr.state.Now().Sub(record.StaleSince) > tuning.StaleMachineRecordDelay
}

// Empty reports whether there are no machine records.
func (mr *MachineRecords) Empty() bool { return len(mr.records) == 0 }

// Record queues a machine's record to be written soon, so that the machine's current entry is
// stored. A machine that has no record yet is first assigned to one.
func (mr *MachineRecords) Record(machine *cluster.Machine) {
	if machine.Record == nil {
		mr.Assign(machine)
	}
	machine.Record.Queued = true
}

// Assign adds a machine to a record of its zone that has room for it, or to a new record.
func (mr *MachineRecords) Assign(machine *cluster.Machine) {
	entry := machineEntry(machine)
	capacity := mr.capacity()
	index := slices.IndexFunc(mr.records, func(record *cluster.MachineRecord) bool {
		return record.Zone == machine.Zone && record.Bytes+entry.MaxSize() <= capacity
	})
	if index < 0 {
		index = len(mr.records)
		mr.records = append(mr.records, &cluster.MachineRecord{Key: storage.MachineRecordKey(mr.env.UniqueName()), Zone: machine.Zone})
	}
	mr.records[index].Add(machine, entry.MaxSize())
}

func (mr *MachineRecords) capacity() int {
	return storage.MachineRecordCapacity(mr.state.Config.Cluster.Store.ValueKB)
}

// Remove removes a machine that is gone from its record.
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

// Load adds a stored machine record during a failover.
func (mr *MachineRecords) Load(key string, revision protocol.Revision, stored *storage.MachineRecord) {
	record := &cluster.MachineRecord{Key: key, Revision: revision}
	for _, entry := range stored.Machines {
		machine := mr.state.EnsureMachine(entry.ID, entry.Address, entry.Type, entry.Zone, entry.Spot)
		if machine.Record != nil {
			record.StaleSince = mr.state.Now() // listed in two records: it stays in the first one
			mr.inheritCordon(machine, entry)
			continue
		}
		record.Zone = entry.Zone
		mr.inheritCordon(machine, entry)
		machine.Recorded, machine.Recovered = true, true
		record.Add(machine, entry.MaxSize())
	}
	mr.records = append(mr.records, record)
}

// inheritCordon cordons a machine if its stored entry does.
func (mr *MachineRecords) inheritCordon(machine *cluster.Machine, entry storage.MachineEntry) {
	if entry.Cordoned {
		machine.InheritCordon(mr.state.Now())
	}
}

// SplitOversized moves machines out of oversized records into other records. Such a machine is
// given no task until the other record is written. Then both records list it until the oversized
// one is written too.
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

// movesRecorded reports whether every machine that was moved out of a machine record is stored
// in another one, or gone.
func (mr *MachineRecords) movesRecorded(record *cluster.MachineRecord) bool {
	record.MovedOut = slices.DeleteFunc(record.MovedOut, func(machine *cluster.Machine) bool {
		return machine.Recorded || mr.state.Machines[machine.ID] != machine
	})
	return len(record.MovedOut) == 0
}

// deleteOrphaned queues the deletion of a machine record that this leader does not know. Such a
// record appears when its creation is applied late, after the record was no longer needed.
func (mr *MachineRecords) deleteOrphaned(key string, revision protocol.Revision) {
	mr.log.Info("orphaned machine record will be deleted", "key", key, "revision", revision)
	mr.records = append(mr.records, &cluster.MachineRecord{Key: key, Revision: revision, StaleSince: mr.state.Now()})
}

func (mr *MachineRecords) has(key string) bool {
	return slices.ContainsFunc(mr.records, func(record *cluster.MachineRecord) bool { return record.Key == key })
}

// setRevision sets the revision that a machine record was found to have. The revision is 0 if
// the record does not exist; it is then queued to be written.
func (mr *MachineRecords) setRevision(key string, revision protocol.Revision) {
	for _, record := range mr.records {
		if record.Key == key {
			record.Revision = revision
			record.Queued = record.Queued || revision == 0
		}
	}
}

// noteCommitted handles the commit of a written or deleted machine record.
func (mr *MachineRecords) noteCommitted(write machineRecordWrite, revision protocol.Revision) {
	record := write.record
	if len(write.members) == 0 {
		// The key is deleted and not used again. A delayed transaction that creates the old
		// record may still be applied, because its condition requires that the key does not exist.
		// Machines that were added in the meantime are therefore written under a new key.
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

// addMachineRecords adds writes of the selected machine records, and deletions of those without
// machines, as far as they fit.
func (b *transactionBuilder) addMachineRecords(machines *MachineRecords, selected func(*cluster.MachineRecord) bool) {
	for _, record := range machines.records {
		if !selected(record) || !machines.movesRecorded(record) {
			continue
		}
		if len(record.Members) == 0 {
			if record.Revision != 0 && b.fits(1, 1, changeOverheadBytes) {
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
		if !b.fits(1, 1, len(value)+changeOverheadBytes) {
			continue
		}
		b.guardMachineRecord(record)
		b.set(record.Key, value)
		b.tx.machineRecords = append(b.tx.machineRecords, machineRecordWrite{record, slices.Clone(record.Members)})
		record.Queued, record.StaleSince = false, time.Time{}
	}
}

// guardMachineRecord adds the condition that a machine record is unchanged, once per transaction.
func (b *transactionBuilder) guardMachineRecord(record *cluster.MachineRecord) {
	if !b.guarded[record] {
		b.guarded[record] = true
		b.guard(record.Key, record.Revision)
	}
}
