package coordination

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// commit is the transaction under way. The leader has one at a time: what
// changes meanwhile goes into the next, as a batch.
type commit struct {
	writer         string
	body           []byte
	changes        int
	probe          string // a key that it sets, by which a lost answer is found out
	sent           time.Time
	lost           bool // an answer was lost: it may have been applied
	jobs           []*jobWrite
	machineRecords []machineRecordWrite
	deletes        []string
}

// commitNext sends the next transaction, if there is something to write.
func (l *leader) commitNext() {
	if l.inFlight != nil || l.n.now.Before(l.commitAt) {
		return
	}
	burst := float64(l.n.budgets.writes.Burst())
	// The end of a job takes two changes, however few a second there are.
	tokens := l.n.budgets.writes.TokensAt(l.n.now) - min(burst*tuning.UserBurstReserve, burst-2)
	if tokens < 1 {
		return
	}
	tx := &commit{writer: l.n.unique(), sent: l.n.now}
	b := &batch{l: l, tx: tx, guarded: map[*cluster.MachineRecord]bool{}, maxChanges: min(l.n.cfg.Cluster.State.TxnOps, int(tokens))}
	b.guard(storage.LeaderKey, protocol.Revision(l.n.election.Term()))
	b.addMachineRecords(func(r *cluster.MachineRecord) bool { return r.Queued })
	var later []*cluster.Job
	list, urgent, ready := l.byUrgency()
	reserve := burst * tuning.GangBurstReserve
	for i, job := range list {
		job.Write.Queued = false
		if i < urgent || i < ready && float64(len(b.txn.Changes)+2) <= tokens-reserve {
			b.addJob(job)
		}
		if len(job.Write.Dirty) > 0 {
			job.Write.Queued = true
			later = append(later, job)
		}
	}
	l.dirty = later
	if tokens >= burst/2 {
		b.addMachineRecords(func(r *cluster.MachineRecord) bool {
			return !r.StaleSince.IsZero() && l.n.now.Sub(r.StaleSince) > tuning.StaleMachineRecordDelay
		})
		for len(l.cleanup) > 0 && b.fits(1, 0, 200) {
			b.remove(l.cleanup[0])
			tx.deletes = append(tx.deletes, l.cleanup[0])
			l.cleanup = l.cleanup[1:]
		}
	}
	if len(b.txn.Changes) == 0 {
		return
	}
	l.n.budgets.writes.AllowN(l.n.now, len(b.txn.Changes))
	tx.body, tx.changes = storage.Encode(b.txn), len(b.txn.Changes)
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
func (l *leader) byUrgency() (list []*cluster.Job, urgent, ready int) {
	type entry struct {
		j     *cluster.Job
		class int
	}
	var entries []entry
	for _, job := range l.dirty {
		if job.Finished || len(job.Write.Dirty) == 0 {
			job.Write.Queued = false
			continue
		}
		e := entry{job, 3}
		switch age := l.n.now.Sub(job.Write.DirtySince); {
		case job.Records.Splitting || (job.Spec.Gang() || job.Spec.Service()) && job.HasUncommitted() || age > tuning.MaxDoneMarkDelay || age > tuning.MaxWriteDelay && (job.HasUncommitted() || job.FinalPhase() != ""):
			e.class = 0
			urgent++
			ready++
		case job.HasUncommitted() || job.FinalPhase() != "":
			e.class = 1
			ready++
		case age > tuning.DoneMarkDelay:
			e.class = 2
			ready++
		}
		entries = append(entries, e)
	}
	slices.SortStableFunc(entries, func(a, b entry) int {
		byRank := 0
		if a.class == 0 {
			byRank = cmp.Compare(b.j.Priority, a.j.Priority)
		}
		return cmp.Or(cmp.Compare(a.class, b.class), byRank, a.j.Write.DirtySince.Compare(b.j.Write.DirtySince))
	})
	for _, e := range entries {
		list = append(list, e.j)
	}
	return list, urgent, ready
}

func (l *leader) send(tx *commit) {
	l.n.store.TransactEncoded(tx.body, func(result kv.TransactionResult) {
		if l.n.lead != l || l.inFlight != tx {
			return // the watch has shown it meanwhile
		}
		switch outcome := result.Outcome; {
		case outcome == kv.Done && !result.Malformed:
			l.committed(tx, result.Revision)
		case outcome == kv.ConditionFailed && !result.Malformed && tx.lost && tx.probe != "":
			l.resolveLost(tx)
		case outcome == kv.ConditionFailed && !result.Malformed:
			l.conflict(tx, result.Failed)
		case outcome == kv.Unknown:
			// The transaction may have been applied, or may be yet. The same
			// one again can be applied only once.
			tx.lost = true
			l.resend(tx, tuning.StoreRetryDelay)
		case outcome == kv.Throttled:
			l.resend(tx, l.n.budgets.throttled(l.n.now, tx.changes))
		case outcome == kv.Rejected:
			l.n.log.Error("transaction rejected", "detail", result.Detail)
			l.n.limitsLowered = l.n.limitsLowered || l.n.cfg.Cluster.Present != nil
			l.conflict(tx, nil)
			l.commitAt = l.n.now.Add(time.Second)
		default:
			l.resend(tx, tuning.StoreRetryDelay)
		}
	})
}

// resend sends the same transaction again after a pause.
func (l *leader) resend(tx *commit, pause time.Duration) {
	l.n.after(pause, func() {
		if l.n.lead == l && l.inFlight == tx {
			l.send(tx)
		}
	})
}

// resolveLost reads back whether a transaction whose answer was lost was applied.
func (l *leader) resolveLost(tx *commit) {
	l.n.store.Get(tx.probe, func(result kv.GetResult) {
		if l.n.lead != l || l.inFlight != tx {
			return
		}
		switch result.Outcome {
		case kv.Done:
			w, ok := parse[struct {
				Writer string `json:"w"`
			}](result.Entry.Value)
			if !result.Malformed && ok && w.Writer == tx.writer {
				l.committed(tx, result.Entry.Revision)
				return
			}
			l.conflict(tx, nil)
		case kv.NotFound:
			l.conflict(tx, nil)
		default:
			l.n.after(tuning.StoreRetryDelay, func() {
				if l.n.lead == l && l.inFlight == tx {
					l.resolveLost(tx)
				}
			})
		}
	})
}

func (l *leader) committed(tx *commit, revision protocol.Revision) {
	l.inFlight = nil
	l.n.metrics.Commits++
	l.n.metrics.CommitSeconds = append(l.n.metrics.CommitSeconds, l.n.now.Sub(tx.sent).Seconds())
	for _, w := range tx.machineRecords {
		l.machineRecordWritten(w, revision)
		l.plan = true
	}
	for _, w := range tx.jobs {
		job := w.j
		job.Write.InFlight = false
		if w.final != nil {
			l.finish(job, *w.final)
			continue
		}
		for _, r := range w.records {
			job.Records.Revisions[r] = max(job.Records.Revisions[r], revision)
		}
		recordsWritten(job, w)
		for _, attempt := range w.placed {
			if job.Attempts[attempt.Key] != attempt {
				continue
			}
			attempt.MarkCommitted()
			l.CommandsPending(attempt.Machine)
		}
		for _, attempt := range w.placed {
			if attempt.Stopping && !attempt.StartSent {
				l.lifecycle.RemoveGone(attempt) // stopped before its start could leave
			}
		}
		for _, attempt := range job.SortedAttempts() {
			l.CommandsPending(attempt.Machine) // a gang's starts wait for all of its records
		}
		l.lifecycle.CheckEnded(job)
	}
	l.agents.Delivery.SendPending()
	l.commitNext()
}

// finish forgets a job whose final record is committed.
func (l *leader) finish(job *cluster.Job, f storage.Final) {
	job.Finish()
	delete(l.cluster.Jobs, job.ID)
	l.n.api.JobFinished(job.ID, f)
	for r := 1; r < len(job.Records.Revisions); r++ {
		if job.Records.Revisions[r] != 0 {
			l.cleanup = append(l.cleanup, storage.TaskRecordKey(job.ID, r))
		}
	}
	for _, r := range slices.Sorted(maps.Keys(job.Records.Abandoned)) {
		if r >= len(job.Records.Revisions) {
			l.cleanup = append(l.cleanup, storage.TaskRecordKey(job.ID, r))
		}
	}
	l.plan = true
}

// conflict undoes a transaction that was refused: the loser plans again.
func (l *leader) conflict(tx *commit, failed []string) {
	l.inFlight = nil
	l.n.metrics.CommitConflicts++
	for _, k := range failed {
		if k == storage.LeaderKey {
			l.n.election.StepDown("leader lease is no longer ours")
			return
		}
	}
	l.cleanup = append(l.cleanup, tx.deletes...)
	for _, w := range tx.machineRecords {
		w.record.Queued = true
		if len(failed) == 0 {
			l.rereadRevision(w.record.Key) // which key was in the way is not known
		}
	}
	for _, k := range failed {
		if strings.HasPrefix(k, storage.MachinePrefix) {
			l.rereadRevision(k)
		}
	}
	for _, w := range tx.jobs {
		job := w.j
		job.Write.InFlight = false
		if w.final != nil {
			w.records = []int{0}
		}
		for _, r := range w.records {
			l.RecordChanged(job, r)
		}
		for _, attempt := range w.placed {
			if job.Attempts[attempt.Key] == attempt && !attempt.Committed {
				l.lifecycle.RemoveGone(attempt)
			}
		}
		l.rereadRevision(storage.JobKey(job.ID))
		for _, r := range w.records {
			if r > 0 {
				l.rereadRevision(storage.TaskRecordKey(job.ID, r))
			}
		}
	}
	l.commitAt = l.n.now.Add(tuning.ConflictRetryDelay)
	l.plan = true
}

// rereadRevision looks up the present revision of a key whose guard may have failed.
func (l *leader) rereadRevision(key string) {
	l.n.store.Get(key, func(result kv.GetResult) {
		if l.n.lead != l || result.Outcome != kv.Done && result.Outcome != kv.NotFound || result.Malformed {
			return
		}
		e := result.Entry
		if id, n, ok := storage.ParseTaskRecordKey(key); ok {
			if job := l.cluster.Jobs[id]; job != nil && n < len(job.Records.Revisions) {
				job.Records.Revisions[n] = e.Revision
			}
			return
		}
		if strings.HasPrefix(key, storage.MachinePrefix) {
			for _, r := range l.machineRecords {
				if r.Key == key {
					r.Revision = e.Revision
					r.Queued = r.Queued || r.Revision == 0
				}
			}
			return
		}
		id, _ := storage.ParseJobKey(key)
		job := l.cluster.Jobs[id]
		if job == nil {
			return
		}
		if result.Outcome == kv.NotFound {
			// Its final record was written by a transaction thought lost.
			l.n.lookUpFinal(l, job)
			return
		}
		rec, err := storage.DecodeJob(e.Value)
		if err != nil {
			l.leaveAlone(id, err)
			return
		}
		l.merge(job, rec, e.Revision)
	})
}

// lookUpFinal finishes a job whose record has turned out to be gone.
func (n *Node) lookUpFinal(l *leader, job *cluster.Job) {
	n.store.Get(storage.FinalKey(job.ID), func(result kv.GetResult) {
		if n.lead != l || result.Outcome != kv.Done || result.Malformed || job.Finished {
			return
		}
		f, ok := parse[storage.Final](result.Entry.Value)
		if ok && f.Phase != "" {
			l.finish(job, f)
		}
	})
}
