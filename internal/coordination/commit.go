package coordination

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/gappond/gappond/internal/bookkeeping"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// commit is the transaction under way. The leader has one at a time: what
// changes meanwhile goes into the next, as a batch.
type commit struct {
	writer  string
	body    []byte
	probe   string // a key that it sets, by which a lost answer is found out
	sent    time.Time
	lost    bool // an answer was lost: it may have been applied
	jobs    []*jobWrite
	racks   []rackWrite
	deletes []string
}

// jobWrite is a job's part of a transaction.
type jobWrite struct {
	j       *job
	records []int
	final   *bookkeeping.Final
	copies  []*taskCopy // placed by this transaction
}

// batch builds a transaction within the state service's limits.
type batch struct {
	l       *leader
	txn     protocol.Txn
	bytes   int
	tx      *commit
	guarded map[*rack]bool
	most    int // changes that it may have
}

func (b *batch) room() int { return b.most - len(b.txn.Then) }

func (b *batch) fits(ops, conditions, bytes int) bool {
	return b.room() >= ops && len(b.txn.If)+conditions <= 4*b.l.limits().TxnOps && b.bytes+bytes <= tuning.TxnBytes
}

func (b *batch) guard(key string, stamp uint64) {
	b.txn.If = append(b.txn.If, protocol.Condition{Key: key, Stamp: stamp})
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

// commitNext sends the next transaction, if there is something to write.
func (l *leader) commitNext() {
	if l.inFlight != nil || l.n.now.Before(l.commitAt) {
		return
	}
	burst := float64(l.n.writes.Burst())
	// The end of a job takes two changes, however few a second there are.
	tokens := l.n.writes.TokensAt(l.n.now) - min(burst*tuning.UserFloor, burst-2)
	if tokens < 1 {
		return
	}
	tx := &commit{writer: l.n.unique(), sent: l.n.now}
	b := &batch{l: l, tx: tx, guarded: map[*rack]bool{}, most: min(l.n.cfg.Cluster.State.TxnOps, int(tokens))}
	b.guard(bookkeeping.ClaimKey, l.n.claim.term)
	b.addRacks(func(r *rack) bool { return r.queued })
	var later []*job
	list, urgent, ready := l.byUrgency()
	reserve := burst * tuning.GangReserve
	for i, j := range list {
		j.queued = false
		if i < urgent || i < ready && float64(len(b.txn.Then)+2) <= tokens-reserve {
			b.addJob(j)
		}
		if len(j.dirty) > 0 {
			j.queued = true
			later = append(later, j)
		}
	}
	l.dirty = later
	if tokens >= burst/2 {
		b.addRacks(func(r *rack) bool { return !r.stale.IsZero() && l.n.now.Sub(r.stale) > tuning.StaleWait })
		for len(l.cleanup) > 0 && b.fits(1, 0, 200) {
			b.remove(l.cleanup[0])
			tx.deletes = append(tx.deletes, l.cleanup[0])
			l.cleanup = l.cleanup[1:]
		}
	}
	if len(b.txn.Then) == 0 {
		return
	}
	l.n.writes.AllowN(l.n.now, len(b.txn.Then))
	tx.body = bookkeeping.Encode(b.txn)
	l.inFlight = tx
	l.send(tx)
}

// byUrgency orders the jobs with unwritten changes: gangs with new places
// first, by priority, then arrays with new places and ends in the order that
// they came, then the marks of single tasks that are done, which their workers
// go on reporting until they are stored. The first ones are urgent: a part of
// the budget is kept for them. So is what has waited long. Marks are not ready
// at once: the tasks of an array end one after the other, and mostly their
// record is written with the next place anyway.
func (l *leader) byUrgency() (list []*job, urgent, ready int) {
	type entry struct {
		j     *job
		class int
	}
	var entries []entry
	for _, j := range l.dirty {
		if j.gone || len(j.dirty) == 0 {
			j.queued = false
			continue
		}
		e := entry{j, 3}
		switch age := l.n.now.Sub(j.dirtySince); {
		case (j.spec.Gang() || j.spec.Service()) && j.placing() || age > tuning.MarkLate || age > tuning.WriteWait && (j.placing() || j.finalPhase() != ""):
			e.class = 0
			urgent++
			ready++
		case j.placing() || j.finalPhase() != "":
			e.class = 1
			ready++
		case age > tuning.MarkWait:
			e.class = 2
			ready++
		}
		entries = append(entries, e)
	}
	slices.SortStableFunc(entries, func(a, b entry) int {
		byRank := 0
		if a.class == 0 {
			byRank = cmp.Compare(b.j.rank, a.j.rank)
		}
		return cmp.Or(cmp.Compare(a.class, b.class), byRank, a.j.dirtySince.Compare(b.j.dirtySince))
	})
	for _, e := range entries {
		list = append(list, e.j)
	}
	return list, urgent, ready
}

// placing says whether a job has places that are not written yet.
func (j *job) placing() bool {
	for _, c := range j.copies {
		if !c.committed {
			return true
		}
	}
	return false
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

// piece is one of a job's records on its way into a transaction.
type piece struct {
	record int
	value  json.RawMessage
	copies []*taskCopy // that it places
	racks  map[*rack]bool
}

// piece makes one. An array's places in more racks than a transaction has
// conditions for are given up, and planned again.
func (b *batch) piece(j *job, r int) piece {
	tasks, copies := j.record(r)
	p := piece{record: r, copies: copies, racks: map[*rack]bool{}}
	most, dropped := bookkeeping.GangChunk(b.l.limits().TxnOps), false
	for _, c := range copies {
		if c.m.rack == nil || p.racks[c.m.rack] {
			continue
		}
		if len(p.racks) >= most && !j.spec.Gang() {
			b.l.drop(c)
			dropped = true
			continue
		}
		p.racks[c.m.rack] = true
	}
	if dropped {
		tasks, p.copies = j.record(r)
	}
	if r == 0 {
		p.value = bookkeeping.Encode(j.header(b.tx.writer, tasks))
	} else {
		p.value = bookkeeping.Encode(bookkeeping.Chunk{Writer: b.tx.writer, Tasks: tasks})
	}
	return p
}

// conditions is how many conditions the pieces add.
func (b *batch) conditions(pieces []piece) int {
	racks := map[*rack]bool{}
	for _, p := range pieces {
		for r := range p.racks {
			racks[r] = racks[r] || !b.guarded[r]
		}
	}
	n := len(pieces)
	for _, added := range racks {
		if added {
			n++
		}
	}
	return n
}

// addPieces adds pieces of a job, all or none.
func (b *batch) addPieces(w *jobWrite, pieces ...piece) bool {
	conditions, bytes := b.conditions(pieces), 0
	for _, p := range pieces {
		bytes += len(p.value)
	}
	if !b.fits(len(pieces), conditions, bytes+conditions*80) {
		return false
	}
	j := w.j
	for _, p := range pieces {
		key := bookkeeping.JobKey(j.id)
		if p.record > 0 {
			key = bookkeeping.ChunkKey(j.id, p.record)
		}
		b.guard(key, j.revisions[p.record])
		b.set(key, p.value)
		for _, c := range p.copies {
			if c.m.rack != nil {
				b.guardRack(c.m.rack)
			}
		}
		w.records = append(w.records, p.record)
		w.copies = append(w.copies, p.copies...)
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
		if !b.addPieces(w, b.piece(j, r)) {
			return // further records first
		}
	}
	b.addPieces(w, b.piece(j, 0))
}

// addParts adds the parts of a record that is being split.
func (b *batch) addParts(w *jobWrite, parts []int) {
	var pieces []piece
	for _, r := range parts {
		pieces = append(pieces, b.piece(w.j, r))
	}
	if b.addPieces(w, pieces...) {
		return
	}
	for _, r := range parts {
		w.j.dirty[r] = true
	}
	if len(b.txn.Then) > 0 || b.room() < len(pieces) {
		return
	}
	// Not even alone: its places must wait until it is split.
	for _, c := range w.j.list() {
		if !c.committed {
			b.l.drop(c)
		}
	}
}

// finalPhase is the phase in which the job has ended, or "".
func (j *job) finalPhase() string {
	switch {
	case j.cancelled && len(j.copies) == 0:
		return protocol.PhaseCancelled
	case !j.cancelled && j.complete():
		return protocol.PhaseDone
	}
	return ""
}

// record lists the tasks of one of the job's records and the copies that it
// places.
func (j *job) record(r int) (tasks []bookkeeping.Task, copies []*taskCopy) {
	for _, i := range j.tasksOf(r) {
		t := &j.tasks[i]
		if t.attempt == 0 && !t.done {
			continue
		}
		rec := bookkeeping.Task{Index: i, Attempt: t.attempt, Done: t.done}
		if c := t.active; c != nil && !t.done {
			rec.Machine, rec.Session = c.m.id, c.session
			if !c.committed {
				copies = append(copies, c)
			}
		}
		tasks = append(tasks, rec)
	}
	return tasks, copies
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
	return bookkeeping.Job{Writer: writer, Spec: j.spec, AtMs: j.at.UnixMilli(), Seq: j.seq, Attempt: j.attempt,
		Cancelled: j.cancelled, Done: j.done, Placed: placed, Chunk: j.chunk, Parts: parts, Tasks: tasks}
}

func (l *leader) send(tx *commit) {
	l.n.state("POST", protocol.PathTxn, tx.body, func(status int, body []byte) {
		if l.n.lead != l || l.inFlight != tx {
			return // the watch has shown it meanwhile
		}
		a, sound := parse[protocol.TxnAnswer](body)
		switch {
		case status == 200 && sound:
			l.committed(tx, a.Revision)
		case status == 409 && sound && tx.lost && tx.probe != "":
			l.findOut(tx)
		case status == 409 && sound:
			l.conflict(tx, a.Failed)
		case status == 0:
			// The transaction may have been applied, or may be yet. The same
			// one again can be applied only once.
			tx.lost = true
			l.resend(tx)
		case status == 400:
			l.n.log.Error("transaction refused", "body", string(body))
			l.n.lowered = l.n.lowered || l.n.cfg.Cluster.Present != nil
			l.conflict(tx, nil)
			l.commitAt = l.n.now.Add(time.Second)
		default:
			l.resend(tx)
		}
	})
}

// resend sends the same transaction again after a pause.
func (l *leader) resend(tx *commit) {
	l.n.after(tuning.RetryPause, func() {
		if l.n.lead == l && l.inFlight == tx {
			l.send(tx)
		}
	})
}

// findOut reads back whether a transaction whose answer was lost was applied.
func (l *leader) findOut(tx *commit) {
	l.n.state("GET", protocol.KeyPath(tx.probe), nil, func(status int, body []byte) {
		if l.n.lead != l || l.inFlight != tx {
			return
		}
		switch status {
		case 200:
			e, sound := parse[protocol.Entry](body)
			w, ok := parse[struct {
				Writer string `json:"w"`
			}](e.Value)
			if sound && ok && w.Writer == tx.writer {
				l.committed(tx, e.Stamp)
				return
			}
			l.conflict(tx, nil)
		case 404:
			l.conflict(tx, nil)
		default:
			l.n.after(tuning.RetryPause, func() {
				if l.n.lead == l && l.inFlight == tx {
					l.findOut(tx)
				}
			})
		}
	})
}

func (l *leader) committed(tx *commit, revision uint64) {
	l.inFlight = nil
	l.n.metrics.Commits++
	l.n.metrics.CommitSeconds = append(l.n.metrics.CommitSeconds, l.n.now.Sub(tx.sent).Seconds())
	for _, w := range tx.racks {
		l.written(w, revision)
		l.plan = true
	}
	for _, w := range tx.jobs {
		j := w.j
		j.writing = false
		if w.final != nil {
			l.finish(j, *w.final)
			continue
		}
		for _, r := range w.records {
			j.revisions[r] = max(j.revisions[r], revision)
			delete(j.newParts, r)
		}
		for _, c := range w.copies {
			if j.copies[c.key] != c {
				continue
			}
			c.committed = true
			l.hurry(c.m)
		}
		for _, c := range w.copies {
			if c.stop && !c.sent {
				l.drop(c) // stopped before its start could leave
			}
		}
		for _, c := range j.copies {
			l.hurry(c.m) // a gang's starts wait for all of its records
		}
		l.settle(j)
	}
	l.sendDirect()
	l.commitNext()
}

// finish forgets a job whose final record is committed.
func (l *leader) finish(j *job, f bookkeeping.Final) {
	j.gone = true
	clear(j.dirty)
	delete(l.jobs, j.id)
	l.n.keepFinal(j.id, f)
	for r := 1; r < len(j.revisions); r++ {
		if j.revisions[r] != 0 {
			l.cleanup = append(l.cleanup, bookkeeping.ChunkKey(j.id, r))
		}
	}
	l.plan = true
}

// conflict undoes a transaction that was refused: the loser plans again.
func (l *leader) conflict(tx *commit, failed []string) {
	l.inFlight = nil
	l.n.metrics.CommitConflicts++
	for _, k := range failed {
		if k == bookkeeping.ClaimKey {
			l.n.stepDown("claim is no longer ours")
			return
		}
	}
	l.cleanup = append(l.cleanup, tx.deletes...)
	for _, w := range tx.racks {
		w.rack.queued = true
		if len(failed) == 0 {
			l.reread(w.rack.key) // which key was in the way is not known
		}
	}
	for _, k := range failed {
		if strings.HasPrefix(k, bookkeeping.MachinePrefix) {
			l.reread(k)
		}
	}
	for _, w := range tx.jobs {
		j := w.j
		j.writing = false
		if w.final != nil {
			w.records = []int{0}
		}
		for _, r := range w.records {
			l.touch(j, r)
		}
		for _, c := range w.copies {
			if j.copies[c.key] == c && !c.committed {
				l.drop(c)
			}
		}
		l.reread(bookkeeping.JobKey(j.id))
		for _, r := range w.records {
			if r > 0 {
				l.reread(bookkeeping.ChunkKey(j.id, r))
			}
		}
	}
	l.commitAt = l.n.now.Add(tuning.ConflictPause)
	l.plan = true
}

// reread looks up the present revision of a key whose guard may have failed.
func (l *leader) reread(key string) {
	l.n.state("GET", protocol.KeyPath(key), nil, func(status int, body []byte) {
		if l.n.lead != l || status != 200 && status != 404 {
			return
		}
		var e protocol.Entry
		if status == 200 {
			var ok bool
			if e, ok = parse[protocol.Entry](body); !ok {
				return
			}
		}
		if id, n, ok := bookkeeping.SplitChunkKey(key); ok {
			if j := l.jobs[id]; j != nil && n < len(j.revisions) {
				j.revisions[n] = e.Stamp
			}
			return
		}
		if strings.HasPrefix(key, bookkeeping.MachinePrefix) {
			for _, r := range l.racks {
				if r.key == key {
					r.stamp = e.Stamp
					r.queued = r.queued || r.stamp == 0
				}
			}
			return
		}
		id, _ := strings.CutPrefix(key, bookkeeping.JobPrefix)
		j := l.jobs[id]
		if j == nil {
			return
		}
		if status == 404 {
			// Its final record was written by a transaction thought lost.
			l.n.lookUpFinal(l, j)
			return
		}
		if rec, err := bookkeeping.DecodeJob(e.Value); err == nil {
			l.merge(j, rec, e.Stamp)
		}
	})
}

// lookUpFinal finishes a job whose record has turned out to be gone.
func (n *Node) lookUpFinal(l *leader, j *job) {
	n.state("GET", protocol.KeyPath(bookkeeping.FinalKey(j.id)), nil, func(status int, body []byte) {
		if n.lead != l || status != 200 || j.gone {
			return
		}
		e, ok := parse[protocol.Entry](body)
		f, sound := parse[bookkeeping.Final](e.Value)
		if ok && sound && f.Phase != "" {
			l.finish(j, f)
		}
	})
}
