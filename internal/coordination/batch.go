package coordination

import (
	"encoding/json"
	"slices"

	"github.com/gappond/gappond/internal/bookkeeping"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// jobWrite is a job's part of a transaction.
type jobWrite struct {
	j       *cluster.Job
	records []int
	final   *bookkeeping.Final
	placed  []*cluster.Attempt // by this transaction
	staging bool               // the records are parts that the job's own record does not name yet
}

// batch builds a transaction within the state service's limits.
type batch struct {
	l          *leader
	txn        protocol.Txn
	bytes      int
	tx         *commit
	guarded    map[*cluster.MachineRecord]bool
	maxChanges int // changes that it may have
}

func (b *batch) remainingChanges() int { return b.maxChanges - len(b.txn.Then) }

func (b *batch) fits(ops, conditions, bytes int) bool {
	return b.remainingChanges() >= ops && len(b.txn.If)+conditions <= conditionsPerChange*b.l.limits().TxnOps && b.bytes+bytes <= tuning.TxnBytes
}

func (b *batch) guard(key string, revision protocol.Revision) {
	b.txn.If = append(b.txn.If, protocol.Condition{Key: key, Revision: revision})
	b.bytes += len(key) + 40
}

func (b *batch) set(key string, value json.RawMessage) {
	b.txn.Then = append(b.txn.Then, protocol.Change{Set: key, Value: value})
	b.bytes += len(key) + len(value) + 40
	if b.tx.probe == "" {
		b.tx.probe = key
	}
}

func (b *batch) remove(key string) {
	b.txn.Then = append(b.txn.Then, protocol.Change{Delete: key})
	b.bytes += len(key) + 40
}

// addJob adds as much of a job as fits. A job's own record goes last, so that
// a gang's new epoch shows only when every task's place is written.
func (b *batch) addJob(j *cluster.Job) {
	if phase := j.FinalPhase(); phase != "" {
		f := &bookkeeping.Final{Writer: b.tx.writer, Phase: phase, Done: j.DoneTasks}
		if !b.fits(2, 2, 400) {
			return
		}
		b.guard(bookkeeping.JobKey(j.ID), j.Records.Revisions[0])
		b.guard(bookkeeping.FinalKey(j.ID), 0)
		b.set(bookkeeping.FinalKey(j.ID), bookkeeping.Encode(f))
		b.remove(bookkeeping.JobKey(j.ID))
		clear(j.Write.Dirty)
		j.Write.InFlight = true
		b.tx.jobs = append(b.tx.jobs, &jobWrite{j: j, final: f})
		return
	}
	if j.Records.Quarantined {
		return
	}
	w := &jobWrite{j: j}
	if parts := b.l.splitRecords(j); parts != nil {
		b.addParts(w, parts)
	} else {
		b.addRecords(w)
	}
	if len(w.records) > 0 {
		if w.records[len(w.records)-1] != 0 {
			j.Write.Dirty[0] = true
		}
		j.Write.InFlight = true
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
func (b *batch) recordWrite(j *cluster.Job, r int) recordWrite {
	tasks, placed := recordContent(j, r)
	p := recordWrite{record: r, placed: placed, machineRecords: map[*cluster.MachineRecord]bool{}}
	most, dropped := bookkeeping.GangRecordTasks(b.l.limits().TxnOps), false
	for _, c := range placed {
		if c.Machine.Record == nil || p.machineRecords[c.Machine.Record] {
			continue
		}
		if len(p.machineRecords) >= most && !j.Spec.Gang() {
			b.l.dropAttempt(c)
			dropped = true
			continue
		}
		p.machineRecords[c.Machine.Record] = true
	}
	if dropped {
		tasks, p.placed = recordContent(j, r)
	}
	if r == 0 {
		p.value = bookkeeping.Encode(jobRecord(j, b.tx.writer, tasks))
	} else {
		p.value = bookkeeping.Encode(bookkeeping.TaskRecord{Writer: b.tx.writer, Tasks: tasks})
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
	if !b.fits(len(pieces), conditions, bytes+conditions*tuning.ConditionBytes) {
		return false
	}
	j := w.j
	for _, p := range pieces {
		key := bookkeeping.JobKey(j.ID)
		if p.record > 0 {
			key = bookkeeping.TaskRecordKey(j.ID, p.record)
		}
		b.guard(key, j.Records.Revisions[p.record])
		b.set(key, p.value)
		for _, c := range p.placed {
			if c.Machine.Record != nil {
				b.guardMachineRecord(c.Machine.Record)
			}
		}
		w.records = append(w.records, p.record)
		w.placed = append(w.placed, p.placed...)
		delete(j.Write.Dirty, p.record)
	}
	return true
}

// addRecords adds as many of a job's changed records as fit.
func (b *batch) addRecords(w *jobWrite) {
	j := w.j
	var records []int
	for r := range j.Write.Dirty {
		records = append(records, r)
	}
	slices.Sort(records)
	// The first record carries the counts: it is always written, and last.
	if records[0] == 0 {
		records = records[1:]
	}
	for _, r := range records {
		if !b.addRecordWrites(w, b.recordWrite(j, r)) {
			return // further records first
		}
	}
	b.addRecordWrites(w, b.recordWrite(j, 0))
}

// addParts adds the records that complete a split, or as many of the new parts as
// fit if one transaction cannot hold all of them.
func (b *batch) addParts(w *jobWrite, records []int) {
	j := w.j
	alone := len(b.txn.Then) == 0
	var writes []recordWrite
	for _, r := range records {
		writes = append(writes, b.recordWrite(j, r))
	}
	if b.addRecordWrites(w, writes...) {
		return
	}
	for _, r := range records {
		j.Write.Dirty[r] = true
	}
	switch {
	case b.fitsOneTransaction(writes):
		if alone && b.remainingChanges() >= len(writes) {
			b.l.dropUncommitted(j) // too many conditions: its places wait until it is split
		}
	case b.l.mayStage():
		b.stage(w, records)
	case alone:
		b.l.dropUncommitted(j)
	}
}

// fitsOneTransaction says whether writes of one job would fit a transaction that
// holds nothing else.
func (b *batch) fitsOneTransaction(writes []recordWrite) bool {
	bytes := 0
	for _, p := range writes {
		bytes += len(p.value) + tuning.ConditionBytes
	}
	return len(writes) <= b.l.limits().TxnOps && bytes <= tuning.TxnBytes-tuning.ConditionBytes
}

// stage writes new parts that the job's own record does not name yet. Until that
// record is written, last, what the old records say holds, and whoever reads them
// passes over the parts. So nothing is placed meanwhile.
func (b *batch) stage(w *jobWrite, records []int) {
	j := w.j
	j.Records.Splitting = true
	b.l.dropUncommitted(j)
	for _, r := range records {
		if _, isPart := j.Records.UnnamedParts[r]; !isPart {
			continue
		}
		if !b.addRecordWrites(w, b.recordWrite(j, r)) {
			break
		}
		delete(j.Records.Staged, r)
	}
	w.staging = len(w.records) > 0
}

// recordContent lists the tasks of one of a job's records and the attempts that it places.
func recordContent(j *cluster.Job, r int) (tasks []bookkeeping.Task, placed []*cluster.Attempt) {
	for _, i := range j.TasksOf(r) {
		t := &j.Tasks[i]
		if t.LastAttempt == 0 && !t.Done {
			continue
		}
		rec := bookkeeping.Task{Index: i, Attempt: t.LastAttempt, Done: t.Done}
		if c := t.Active; c != nil && !t.Done {
			rec.Machine, rec.Incarnation = c.Machine.ID, c.Incarnation
			if !c.Committed {
				placed = append(placed, c)
			}
		}
		tasks = append(tasks, rec)
	}
	return tasks, placed
}

// jobRecord is the content of a job's own record.
func jobRecord(j *cluster.Job, writer string, tasks []bookkeeping.Task) bookkeeping.Job {
	placed := 0
	for i := range j.Tasks {
		if j.Tasks[i].Active != nil && !j.Tasks[i].Done {
			placed++
		}
	}
	parts := 0
	if len(j.Records.ExtraParts) > 0 {
		parts = len(j.Records.Revisions)
	}
	return bookkeeping.Job{Writer: writer, Spec: j.Spec, AtMs: j.SubmittedAt.UnixMilli(), Seq: j.ArrivalOrder, Attempt: j.Epoch,
		Cancelled: j.Cancelled, Done: j.DoneTasks, Placed: placed, RecordTasks: j.Records.TasksPerRecord, Parts: parts, Tasks: tasks}
}
