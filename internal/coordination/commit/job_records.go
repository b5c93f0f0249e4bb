package commit

import (
	"encoding/json"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// addJob adds as many of a job's changes as fit. The main record is written last, so that a
// gang's new epoch becomes visible only when the placements of all its tasks are written.
func (b *transactionBuilder) addJob(job *cluster.Job) {
	if phase := job.FinalPhase(); phase != "" {
		b.addFinal(job, phase)
		return
	}
	if job.Records.Quarantined {
		return
	}
	write := &jobWrite{job: job}
	if split := b.splitter.pendingSplit(job); split != nil {
		b.addSplit(write, split)
	} else {
		b.addDirtyRecords(write)
	}
	if len(write.records) > 0 {
		if write.records[len(write.records)-1] != 0 {
			job.Write.Dirty[0] = true
		}
		job.Write.InFlight = true
		b.tx.jobs = append(b.tx.jobs, write)
	}
}

// addFinal adds the end of a job: its final record replaces its main record.
func (b *transactionBuilder) addFinal(job *cluster.Job, phase protocol.Phase) {
	final := &storage.FinalRecord{Writer: b.tx.writer, Phase: phase, Done: job.DoneTasks}
	if !b.fits(2, 2, finalRecordBytes) {
		return
	}
	b.guard(storage.JobKey(job.ID), job.Records.Revisions[0])
	b.guard(storage.FinalRecordKey(job.ID), 0)
	b.set(storage.FinalRecordKey(job.ID), storage.Encode(final))
	b.remove(storage.JobKey(job.ID))
	clear(job.Write.Dirty)
	job.Write.InFlight = true
	b.tx.jobs = append(b.tx.jobs, &jobWrite{job: job, final: final})
}

// recordWrite is a write of one of a job's records that is to be added to a transaction.
type recordWrite struct {
	record         int
	value          json.RawMessage
	placed         []*cluster.Attempt              // attempts whose placements it stores
	machineRecords map[*cluster.MachineRecord]bool // of the machines of these attempts
}

// recordWrite returns the write of one of a job's records. If its placements concern more machine
// records than a transaction has conditions for, the excess placements are dropped and planned
// again. Those of a gang are kept: storage.MaxGangTasksPerRecord limits its tasks in a record.
func (b *transactionBuilder) recordWrite(job *cluster.Job, r int) recordWrite {
	tasks, placed := recordContent(job, r)
	write := recordWrite{record: r, placed: placed, machineRecords: map[*cluster.MachineRecord]bool{}}
	maxMachineRecords, dropped := storage.MaxGangTasksPerRecord(b.limits.TxnOps), false
	for _, attempt := range placed {
		if attempt.Machine.Record == nil || write.machineRecords[attempt.Machine.Record] {
			continue
		}
		if len(write.machineRecords) >= maxMachineRecords && !job.Spec.Gang() {
			b.outcomes.DropAttempt(attempt)
			dropped = true
			continue
		}
		write.machineRecords[attempt.Machine.Record] = true
	}
	if dropped {
		tasks, write.placed = recordContent(job, r)
	}
	if r == 0 {
		record := jobRecord(job, b.tx.writer, tasks)
		job.Write.ShowsRunning = record.Placed > 0
		write.value = storage.Encode(record)
	} else {
		write.value = storage.Encode(storage.TaskRecord{Writer: b.tx.writer, Tasks: tasks})
	}
	return write
}

// conditions returns the number of conditions that the writes would add.
func (b *transactionBuilder) conditions(writes []recordWrite) int {
	added := map[*cluster.MachineRecord]bool{}
	for _, write := range writes {
		for record := range write.machineRecords {
			if !b.guarded[record] {
				added[record] = true
			}
		}
	}
	return len(writes) + len(added)
}

// addRecordWrites adds writes of a job's records. It returns false and adds nothing if they do
// not all fit.
func (b *transactionBuilder) addRecordWrites(write *jobWrite, records ...recordWrite) bool {
	conditions, bytes := b.conditions(records), 0
	for _, r := range records {
		if b.splitter.limits.rejects(len(r.value)) {
			b.postpone(write.job, r.record)
			return false
		}
		bytes += len(r.value)
	}
	if !b.fits(len(records), conditions, bytes+conditions*tuning.BytesPerCondition) {
		return false
	}
	job := write.job
	for _, r := range records {
		key := recordKey(job.ID, r.record)
		b.guard(key, job.Records.Revisions[r.record])
		b.set(key, r.value)
		for _, attempt := range r.placed {
			if attempt.Machine.Record != nil {
				b.guardMachineRecord(attempt.Machine.Record)
			}
		}
		write.records = append(write.records, r.record)
		write.placed = append(write.placed, r.placed...)
		delete(job.Write.Dirty, r.record)
	}
	return true
}

// postpone drops the uncommitted placements of a job with a record that the store would reject.
// The job waits until the record may be split. If the record cannot be split further, because
// the job's specification is too large, the job is quarantined: it is not written any more. The
// stored records stay readable, and the job can still end.
func (b *transactionBuilder) postpone(job *cluster.Job, record int) {
	b.outcomes.DropUncommitted(job)
	if len(job.TasksOf(record)) < 2 && !job.Records.Quarantined {
		job.Records.Quarantined = true
		b.splitter.log.Error("record exceeds the store's limits and cannot be split further", "job", job.ID, "record", record)
	}
}

// addDirtyRecords adds as many of a job's changed records as fit.
func (b *transactionBuilder) addDirtyRecords(write *jobWrite) {
	job := write.job
	var records []int
	for r := range job.Write.Dirty {
		records = append(records, r)
	}
	slices.Sort(records)
	// The main record holds the job's counts. It is therefore always written, and last.
	if records[0] == 0 {
		records = records[1:]
	}
	for _, r := range records {
		if !b.addRecordWrites(write, b.recordWrite(job, r)) {
			return // the main record has to wait for the remaining records
		}
	}
	b.addRecordWrites(write, b.recordWrite(job, 0))
}

// addSplit adds the records that complete a split. If one transaction cannot hold all of them,
// it adds as many of the new parts as fit.
func (b *transactionBuilder) addSplit(write *jobWrite, records []int) {
	job := write.job
	otherwiseEmpty := b.changes() == 0
	var writes []recordWrite
	for _, r := range records {
		writes = append(writes, b.recordWrite(job, r))
	}
	if b.addRecordWrites(write, writes...) {
		return
	}
	for _, r := range records {
		job.Write.Dirty[r] = true
	}
	switch {
	case b.fitsOneTransaction(writes):
		if otherwiseEmpty && b.remainingChanges() >= len(writes) {
			b.outcomes.DropUncommitted(job) // too many conditions: nothing is placed until the record is split
		}
	case b.splitter.mayStage():
		b.stage(write, records)
	case otherwiseEmpty:
		b.outcomes.DropUncommitted(job)
	}
}

// fitsOneTransaction reports whether the writes of one job would fit into a transaction that
// holds nothing else.
func (b *transactionBuilder) fitsOneTransaction(writes []recordWrite) bool {
	bytes := 0
	for _, write := range writes {
		bytes += len(write.value) + tuning.BytesPerCondition
	}
	return len(writes) <= b.limits.TxnOps && bytes <= tuning.MaxTransactionBytes-tuning.BytesPerCondition
}

// stage writes new parts that the job's main record does not reference yet. The main record is
// written last. Until then the old records are valid, and readers ignore the parts. Therefore
// no task of the job is placed in the meantime.
func (b *transactionBuilder) stage(write *jobWrite, records []int) {
	job := write.job
	job.Records.Splitting = true
	b.outcomes.DropUncommitted(job)
	for _, r := range records {
		if _, isPart := job.Records.UnreferencedParts[r]; !isPart {
			continue
		}
		if !b.addRecordWrites(write, b.recordWrite(job, r)) {
			break
		}
		delete(job.Records.StagedParts, r)
	}
	write.staging = len(write.records) > 0
}

// recordKey returns the key of a job's record r; record 0 is the main record.
func recordKey(id protocol.JobID, r int) string {
	if r == 0 {
		return storage.JobKey(id)
	}
	return storage.TaskRecordKey(id, r)
}

// recordContent returns the entries of the tasks in a job's record r, and the uncommitted
// attempts whose placements the record stores.
func recordContent(job *cluster.Job, r int) (tasks []storage.Task, placed []*cluster.Attempt) {
	for _, i := range job.TasksOf(r) {
		task := &job.Tasks[i]
		if task.LastAttempt == 0 && !task.Done {
			continue
		}
		entry := storage.Task{Index: i, Attempt: task.LastAttempt, Done: task.Done}
		if attempt := task.Active; attempt != nil && !task.Done {
			entry.Machine, entry.Incarnation = attempt.Machine.ID, attempt.Incarnation
			if !attempt.Committed {
				placed = append(placed, attempt)
			}
		}
		tasks = append(tasks, entry)
	}
	return tasks, placed
}

// jobRecord returns the content of a job's main record.
func jobRecord(job *cluster.Job, writer string, tasks []storage.Task) storage.Job {
	placed := 0
	for i := range job.Tasks {
		if job.Tasks[i].Active != nil && !job.Tasks[i].Done {
			placed++
		}
	}
	parts := 0
	if len(job.Records.ExtraParts) > 0 {
		parts = len(job.Records.Revisions)
	}
	return storage.Job{Writer: writer, Spec: job.Spec, SubmittedAtMs: job.SubmittedAt.UnixMilli(), SubmissionRevision: job.ArrivalOrder, Attempt: job.Epoch,
		Cancelled: job.Cancelled, Done: job.DoneTasks, Placed: placed, TasksPerBaseRecord: job.Records.TasksPerRecord, TotalRecords: parts, Tasks: tasks}
}
