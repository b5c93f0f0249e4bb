package coordination

import (
	"encoding/json"
	"slices"

	"github.com/gappond/gappond/internal/bookkeeping"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// jobWrite is a job's part of a transaction.
type jobWrite struct {
	j       *job
	records []int
	final   *bookkeeping.Final
	placed  []*taskAttempt // by this transaction
	staging bool           // the records are parts that the job's own record does not name yet
}

// batch builds a transaction within the state service's limits.
type batch struct {
	l          *leader
	txn        protocol.Txn
	bytes      int
	tx         *commit
	guarded    map[*machineRecord]bool
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
func (b *batch) addJob(j *job) {
	if phase := j.finalPhase(); phase != "" {
		f := &bookkeeping.Final{Writer: b.tx.writer, Phase: phase, Done: j.done}
		if !b.fits(2, 2, 400) {
			return
		}
		b.guard(bookkeeping.JobKey(j.id), j.revisions[0])
		b.guard(bookkeeping.FinalKey(j.id), 0)
		b.set(bookkeeping.FinalKey(j.id), bookkeeping.Encode(f))
		b.remove(bookkeeping.JobKey(j.id))
		clear(j.dirty)
		j.writing = true
		b.tx.jobs = append(b.tx.jobs, &jobWrite{j: j, final: f})
		return
	}
	if j.unwritable {
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
			j.dirty[0] = true
		}
		j.writing = true
		b.tx.jobs = append(b.tx.jobs, w)
	}
}

// recordWrite is one of a job's records on its way into a transaction.
type recordWrite struct {
	record         int
	value          json.RawMessage
	placed         []*taskAttempt // that it places
	machineRecords map[*machineRecord]bool
}

// recordWrite makes one. An array's places in more machine records than a transaction has
// conditions for are given up, and planned again.
func (b *batch) recordWrite(j *job, r int) recordWrite {
	tasks, placed := j.record(r)
	p := recordWrite{record: r, placed: placed, machineRecords: map[*machineRecord]bool{}}
	most, dropped := bookkeeping.GangRecordTasks(b.l.limits().TxnOps), false
	for _, c := range placed {
		if c.m.record == nil || p.machineRecords[c.m.record] {
			continue
		}
		if len(p.machineRecords) >= most && !j.spec.Gang() {
			b.l.dropAttempt(c)
			dropped = true
			continue
		}
		p.machineRecords[c.m.record] = true
	}
	if dropped {
		tasks, p.placed = j.record(r)
	}
	if r == 0 {
		p.value = bookkeeping.Encode(j.header(b.tx.writer, tasks))
	} else {
		p.value = bookkeeping.Encode(bookkeeping.TaskRecord{Writer: b.tx.writer, Tasks: tasks})
	}
	return p
}

// conditions is how many conditions the pieces add.
func (b *batch) conditions(pieces []recordWrite) int {
	records := map[*machineRecord]bool{}
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
		key := bookkeeping.JobKey(j.id)
		if p.record > 0 {
			key = bookkeeping.TaskRecordKey(j.id, p.record)
		}
		b.guard(key, j.revisions[p.record])
		b.set(key, p.value)
		for _, c := range p.placed {
			if c.m.record != nil {
				b.guardMachineRecord(c.m.record)
			}
		}
		w.records = append(w.records, p.record)
		w.placed = append(w.placed, p.placed...)
		delete(j.dirty, p.record)
	}
	return true
}

// addRecords adds as many of a job's changed records as fit.
func (b *batch) addRecords(w *jobWrite) {
	j := w.j
	var records []int
	for r := range j.dirty {
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
		j.dirty[r] = true
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
	j.splitting = true
	b.l.dropUncommitted(j)
	for _, r := range records {
		if _, isPart := j.newParts[r]; !isPart {
			continue
		}
		if !b.addRecordWrites(w, b.recordWrite(j, r)) {
			break
		}
		delete(j.staged, r)
	}
	w.staging = len(w.records) > 0
}

// finalPhase is the phase in which the job has ended, or "".
func (j *job) finalPhase() protocol.Phase {
	switch {
	case j.cancelled && len(j.attempts) == 0:
		return protocol.PhaseCancelled
	case !j.cancelled && j.isComplete():
		return protocol.PhaseDone
	}
	return ""
}

// record lists the tasks of one of the job's records and the attempts that it
// places.
func (j *job) record(r int) (tasks []bookkeeping.Task, placed []*taskAttempt) {
	for _, i := range j.tasksOf(r) {
		t := &j.tasks[i]
		if t.lastAttempt == 0 && !t.done {
			continue
		}
		rec := bookkeeping.Task{Index: i, Attempt: t.lastAttempt, Done: t.done}
		if c := t.active; c != nil && !t.done {
			rec.Machine, rec.Incarnation = c.m.id, c.incarnation
			if !c.committed {
				placed = append(placed, c)
			}
		}
		tasks = append(tasks, rec)
	}
	return tasks, placed
}

func (j *job) header(writer string, tasks []bookkeeping.Task) bookkeeping.Job {
	placed := 0
	for i := range j.tasks {
		if j.tasks[i].active != nil && !j.tasks[i].done {
			placed++
		}
	}
	parts := 0
	if len(j.extraParts) > 0 {
		parts = len(j.revisions)
	}
	return bookkeeping.Job{Writer: writer, Spec: j.spec, AtMs: j.at.UnixMilli(), Seq: j.seq, Attempt: j.epoch,
		Cancelled: j.cancelled, Done: j.done, Placed: placed, RecordTasks: j.chunk, Parts: parts, Tasks: tasks}
}
