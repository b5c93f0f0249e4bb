package loader

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// LoadAll loads all records at a failover.
func (ld *Loader) LoadAll(mirror Mirror) {
	outcome := ld.loadMachineRecords(mirror)
	ld.loadJobs(mirror)
	ld.loadTaskRecords(mirror)
	ld.committer.Machines.SplitOversized()
	if outcome == allRead {
		ld.removeUnrecordedMachines()
	}
}

// readOutcome is the result of reading a set of records.
type readOutcome int

const (
	allRead readOutcome = iota
	someUnreadable
)

// storedMachineRecord is a machine record with its key and revision.
type storedMachineRecord struct {
	protocol.Entry
	record storage.MachineRecord
}

// loadMachineRecords loads the machines.
func (ld *Loader) loadMachineRecords(mirror Mirror) readOutcome {
	outcome := allRead
	var records []storedMachineRecord
	var ids []protocol.MachineID
	mirror.Each(storage.MachineRecordPrefix, func(entry protocol.Entry) {
		var record storage.MachineRecord
		// Empty machine records are deleted, so one without machines is malformed.
		if protocol.Unmarshal(entry.Value, &record) != nil || len(record.Machines) == 0 {
			outcome = someUnreadable
			ld.log.Error("machine record does not parse", "key", entry.Key)
			return
		}
		records = append(records, storedMachineRecord{entry, record})
		for _, machine := range record.Machines {
			ids = append(ids, machine.ID)
		}
	})
	slices.SortFunc(records, func(a, b storedMachineRecord) int { return cmp.Compare(a.Key, b.Key) })
	slices.Sort(ids)
	for _, id := range ids { // in sorted order, so that each is appended without copying the list
		ld.state.EnsureMachine(id, "", "", "", false)
	}
	for _, stored := range records {
		ld.committer.Machines.Load(stored.Key, stored.Revision, &stored.record)
	}
	return outcome
}

// loadJobs loads the jobs' main records.
func (ld *Loader) loadJobs(mirror Mirror) {
	mirror.Each(storage.JobPrefix, func(entry protocol.Entry) {
		record, err := storage.DecodeJob(entry.Value)
		if err != nil {
			id, _ := storage.ParseJobKey(entry.Key)
			ld.Quarantine(id, err)
			return
		}
		ld.AddJob(record, entry.Revision).Recovered = true
	})
}

// loadTaskRecords loads the task records of the jobs.
func (ld *Loader) loadTaskRecords(mirror Mirror) {
	var orphaned []string
	mirror.Each(storage.TaskRecordPrefix, func(entry protocol.Entry) {
		id, r, isTaskRecord := storage.ParseTaskRecordKey(entry.Key)
		if isTaskRecord && ld.quarantined[id] {
			return
		}
		job := ld.state.Jobs[id]
		if !isTaskRecord || job == nil {
			orphaned = append(orphaned, entry.Key) // left behind by a finished job
			return
		}
		if r >= len(job.Records.Revisions) {
			// Written by a previous leader that did not complete the split of a record. The
			// next split reuses the key, or it is deleted with the job. It is not deleted
			// now, because a late deletion could be applied after that split.
			job.Records.AbandonedParts[r] = entry.Revision
			return
		}
		var record storage.TaskRecord
		if err := protocol.Unmarshal(entry.Value, &record); err != nil {
			ld.Quarantine(id, err)
			return
		}
		job.Records.Revisions[r] = entry.Revision
		ld.AddTasks(job, r, record.Tasks)
	})
	slices.Sort(orphaned)
	ld.committer.DeleteLater(orphaned...)
}

// removeUnrecordedMachines removes the machines that only the records of jobs name. Attempts are
// committed only on machines that are in a machine record, and a machine is taken out of its
// record only after the cloud has confirmed its deletion. So a previous leader has proven
// these machines gone.
func (ld *Loader) removeUnrecordedMachines() {
	var ids []protocol.MachineID
	for _, machine := range ld.state.OrderedMachines {
		if machine.Record == nil {
			ids = append(ids, machine.ID)
		}
	}
	ld.env.MachinesDeleted(ids...)
}
