package loader

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// LoadAll takes all records, at a failover.
func (ld *Loader) LoadAll(mirror Mirror) {
	outcome := ld.loadMachineRecords(mirror)
	ld.loadJobs(mirror)
	ld.loadTaskRecords(mirror)
	ld.committer.Machines.SplitOversized()
	if outcome == allRead {
		ld.removeUnrecordedMachines()
	}
}

// readOutcome says whether records could be read.
type readOutcome int

const (
	allRead readOutcome = iota
	someUnreadable
)

// storedMachineRecord is a machine record as it was read.
type storedMachineRecord struct {
	protocol.Entry
	record storage.MachineRecord
}

// loadMachineRecords takes the machines.
func (ld *Loader) loadMachineRecords(mirror Mirror) readOutcome {
	outcome := allRead
	var records []storedMachineRecord
	var ids []protocol.MachineID
	mirror.Each(storage.MachinePrefix, func(entry protocol.Entry) {
		var record storage.MachineRecord
		// An empty one is deleted, so one without machines is something else.
		if json.Unmarshal(entry.Value, &record) != nil || len(record.Machines) == 0 {
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
	for _, id := range ids { // in the model's order, which costs nothing but the machine
		ld.state.EnsureMachine(id, "", "", "", false)
	}
	for _, stored := range records {
		ld.committer.Machines.Load(stored.Key, stored.Revision, &stored.record)
	}
	return outcome
}

// loadJobs takes the jobs' own records.
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

// loadTaskRecords takes the further records of the jobs.
func (ld *Loader) loadTaskRecords(mirror Mirror) {
	var orphaned []string
	mirror.Each(storage.TaskPrefix, func(entry protocol.Entry) {
		id, r, isTaskRecord := storage.ParseTaskRecordKey(entry.Key)
		if isTaskRecord && ld.quarantined[id] {
			return
		}
		job := ld.state.Jobs[id]
		if !isTaskRecord || job == nil {
			orphaned = append(orphaned, entry.Key) // of a finished job
			return
		}
		if r >= len(job.Records.Revisions) {
			// Staged by a predecessor that did not complete the split. The key is
			// used by the next split, or deleted with the job: a deletion now might
			// be carried out late, after that split.
			job.Records.AbandonedParts[r] = entry.Revision
			return
		}
		var record storage.TaskRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			ld.Quarantine(id, err)
			return
		}
		job.Records.Revisions[r] = entry.Revision
		ld.AddTasks(job, r, record.Tasks)
	})
	slices.Sort(orphaned)
	ld.committer.DeleteLater(orphaned...)
}

// removeUnrecordedMachines forgets the machines that only jobs' records name. Places are
// committed only on machines that a machine record has, and a machine leaves its record
// only after its deletion was answered: a predecessor has proven it gone.
func (ld *Loader) removeUnrecordedMachines() {
	var ids []protocol.MachineID
	for _, machine := range ld.state.OrderedMachines {
		if machine.Record == nil {
			ids = append(ids, machine.ID)
		}
	}
	ld.env.MachinesDeleted(ids...)
}
