package coordination

import (
	"encoding/json"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// jobWrite is a job's part of a transaction.
type jobWrite struct {
	j       *cluster.Job
	records []int
	final   *storage.Final
	placed  []*cluster.Attempt // by this transaction
	staging bool               // the records are parts that the job's own record does not name yet
}

// batch builds a transaction within the state service's limits.
type batch struct {
	l          *leader
	txn        protocol.Transaction
	bytes      int
	tx         *commit
	guarded    map[*cluster.MachineRecord]bool
	maxChanges int // changes that it may have
}

func (b *batch) remainingChanges() int { return b.maxChanges - len(b.txn.Changes) }

func (b *batch) fits(ops, conditions, bytes int) bool {
	return b.remainingChanges() >= ops && len(b.txn.Conditions)+conditions <= kv.ConditionsPerChange*b.l.limits().TxnOps && b.bytes+bytes <= tuning.MaxTransactionBytes
}

func (b *batch) guard(key string, revision protocol.Revision) {
	b.txn.Conditions = append(b.txn.Conditions, protocol.Condition{Key: key, Revision: revision})
	b.bytes += len(key) + 40
}

func (b *batch) set(key string, value json.RawMessage) {
	b.txn.Changes = append(b.txn.Changes, protocol.Change{Set: key, Value: value})
	b.bytes += len(key) + len(value) + 40
	if b.tx.probe == "" {
		b.tx.probe = key
	}
}

func (b *batch) remove(key string) {
	b.txn.Changes = append(b.txn.Changes, protocol.Change{Delete: key})
	b.bytes += len(key) + 40
}

// addJob adds as much of a job as fits. A job's own record goes last, so that
// a gang's new epoch shows only when every task's place is written.
func (b *batch) addJob(job *cluster.Job) {
	if phase := job.FinalPhase(); phase != "" {
		f := &storage.Final{Writer: b.tx.writer, Phase: phase, Done: job.DoneTasks}
		if !b.fits(2, 2, 400) {
			return
		}
		b.guard(storage.JobKey(job.ID), job.Records.Revisions[0])
		b.guard(storage.FinalKey(job.ID), 0)
		b.set(storage.FinalKey(job.ID), storage.Encode(f))
		b.remove(storage.JobKey(job.ID))
		clear(job.Write.Dirty)
		job.Write.InFlight = true
		b.tx.jobs = append(b.tx.jobs, &jobWrite{j: job, final: f})
		return
	}
	if job.Records.Quarantined {
		return
	}
	w := &jobWrite{j: job}
	if parts := b.l.splitRecords(job); parts != nil {
		b.addParts(w, parts)
	} else {
		b.addRecords(w)
	}
	if len(w.records) > 0 {
		if w.records[len(w.records)-1] != 0 {
			job.Write.Dirty[0] = true
		}
		job.Write.InFlight = true
		b.tx.jobs = append(b.tx.jobs, w)
	}
}

// recordWrite is one of a job's records on its way into a transaction.
type recordWrite struct {
	record         int
	value          json.RawMessage
	placed         []*cluster.Attempt // that it places
	machineRecords map[*cluster.MachineRecord]bool
}

// recordWrite makes one. An array's places in more machine records than a transaction has
// conditions for are given up, and planned again.
func (b *batch) recordWrite(job *cluster.Job, r int) recordWrite {
	tasks, placed := recordContent(job, r)
	p := recordWrite{record: r, placed: placed, machineRecords: map[*cluster.MachineRecord]bool{}}
	most, dropped := storage.GangRecordTasks(b.l.limits().TxnOps), false
	for _, attempt := range placed {
		if attempt.Machine.Record == nil || p.machineRecords[attempt.Machine.Record] {
			continue
		}
		if len(p.machineRecords) >= most && !job.Spec.Gang() {
			b.l.lifecycle.RemoveGone(attempt)
			dropped = true
			continue
		}
		p.machineRecords[attempt.Machine.Record] = true
	}
	if dropped {
		tasks, p.placed = recordContent(job, r)
	}
	if r == 0 {
		p.value = storage.Encode(jobRecord(job, b.tx.writer, tasks))
	} else {
		p.value = storage.Encode(storage.TaskRecord{Writer: b.tx.writer, Tasks: tasks})
	}
	return p
}

// conditions is how many conditions the pieces add.
func (b *batch) conditions(pieces []recordWrite) int {
	records := map[*cluster.MachineRecord]bool{}
	for _, p := range pieces {
		for r := range p.machineRecords {
			records[r] = records[r] || !b.guarded[r]
		}
	}
	n := len(pieces)
	for _, added := range records {
		if added {
			n++
		}
	}
	return n
}

// addRecordWrites adds pieces of a job, all or none.
func (b *batch) addRecordWrites(w *jobWrite, pieces ...recordWrite) bool {
	conditions, bytes := b.conditions(pieces), 0
	for _, p := range pieces {
		if b.l.refusedForSize(len(p.value)) {
			b.l.postpone(w.j, p.record)
			return false
		}
		bytes += len(p.value)
	}
	if !b.fits(len(pieces), conditions, bytes+conditions*tuning.BytesPerCondition) {
		return false
	}
	job := w.j
	for _, p := range pieces {
		key := storage.JobKey(job.ID)
		if p.record > 0 {
			key = storage.TaskRecordKey(job.ID, p.record)
		}
		b.guard(key, job.Records.Revisions[p.record])
		b.set(key, p.value)
		for _, attempt := range p.placed {
			if attempt.Machine.Record != nil {
				b.guardMachineRecord(attempt.Machine.Record)
			}
		}
		w.records = append(w.records, p.record)
		w.placed = append(w.placed, p.placed...)
		delete(job.Write.Dirty, p.record)
	}
	return true
}

// addRecords adds as many of a job's changed records as fit.
func (b *batch) addRecords(w *jobWrite) {
	job := w.j
	var records []int
	for r := range job.Write.Dirty {
		records = append(records, r)
	}
	slices.Sort(records)
	// The first record carries the counts: it is always written, and last.
	if records[0] == 0 {
		records = records[1:]
	}
	for _, r := range records {
		if !b.addRecordWrites(w, b.recordWrite(job, r)) {
			return // further records first
		}
	}
	b.addRecordWrites(w, b.recordWrite(job, 0))
}

// addParts adds the records that complete a split, or as many of the new parts as
// fit if one transaction cannot hold all of them.
func (b *batch) addParts(w *jobWrite, records []int) {
	job := w.j
	alone := len(b.txn.Changes) == 0
	var writes []recordWrite
	for _, r := range records {
		writes = append(writes, b.recordWrite(job, r))
	}
	if b.addRecordWrites(w, writes...) {
		return
	}
	for _, r := range records {
		job.Write.Dirty[r] = true
	}
	switch {
	case b.fitsOneTransaction(writes):
		if alone && b.remainingChanges() >= len(writes) {
			b.l.dropUncommitted(job) // too many conditions: its places wait until it is split
		}
	case b.l.mayStage():
		b.stage(w, records)
	case alone:
		b.l.dropUncommitted(job)
	}
}

// fitsOneTransaction says whether writes of one job would fit a transaction that
// holds nothing else.
func (b *batch) fitsOneTransaction(writes []recordWrite) bool {
	bytes := 0
	for _, p := range writes {
		bytes += len(p.value) + tuning.BytesPerCondition
	}
	return len(writes) <= b.l.limits().TxnOps && bytes <= tuning.MaxTransactionBytes-tuning.BytesPerCondition
}

// stage writes new parts that the job's own record does not name yet. Until that
// record is written, last, what the old records say holds, and whoever reads them
// passes over the parts. So nothing is placed meanwhile.
func (b *batch) stage(w *jobWrite, records []int) {
	job := w.j
	job.Records.Splitting = true
	b.l.dropUncommitted(job)
	for _, r := range records {
		if _, isPart := job.Records.UnnamedParts[r]; !isPart {
			continue
		}
		if !b.addRecordWrites(w, b.recordWrite(job, r)) {
			break
		}
		delete(job.Records.Staged, r)
	}
	w.staging = len(w.records) > 0
}

// recordContent lists the tasks of one of a job's records and the attempts that it places.
func recordContent(job *cluster.Job, r int) (tasks []storage.Task, placed []*cluster.Attempt) {
	for _, i := range job.TasksOf(r) {
		task := &job.Tasks[i]
		if task.LastAttempt == 0 && !task.Done {
			continue
		}
		rec := storage.Task{Index: i, Attempt: task.LastAttempt, Done: task.Done}
		if attempt := task.Active; attempt != nil && !task.Done {
			rec.Machine, rec.Incarnation = attempt.Machine.ID, attempt.Incarnation
			if !attempt.Committed {
				placed = append(placed, attempt)
			}
		}
		tasks = append(tasks, rec)
	}
	return tasks, placed
}

// jobRecord is the content of a job's own record.
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
	return storage.Job{Writer: writer, Spec: job.Spec, AtMs: job.SubmittedAt.UnixMilli(), Seq: job.ArrivalOrder, Attempt: job.Epoch,
		Cancelled: job.Cancelled, Done: job.DoneTasks, Placed: placed, RecordTasks: job.Records.TasksPerRecord, Parts: parts, Tasks: tasks}
}
