package coordination

import (
	"maps"
	"slices"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// A job's tasks are in records of a fixed number of tasks, its chunk. When the
// state service's limits are lowered, a record may have outgrown them: it is split,
// as a node of a B-tree is, before it is next written. What it gives away is in a
// further record, whose tasks are named in it; both and the job's own record, which
// has the number of all, are written by one guarded transaction.

// maySplit says whether records may be written that version 0.2 does not read whole:
// it takes the parts for leftovers and deletes them.
func (l *leader) maySplit() bool { return l.peersKnow(protocol.PeerKnowsCancelled) }

// mayStage says whether the parts of a record may be written over several
// transactions. An earlier version that takes over deletes parts that the job's own
// record does not name, perhaps after it has split the record itself.
func (l *leader) mayStage() bool { return l.peersKnow(protocol.PeerKnowsStaged) }

// peersKnow says whether every peer has announced a level. Once the limits are known
// to be lowered, which happens after the upgrade, a peer that is down does not count:
// a job must not wait for its return.
func (l *leader) peersKnow(level uint64) bool {
	if l.n.limitsLowered {
		return l.n.peers.AllLinkedKnow(level)
	}
	return l.n.peers.AllKnow(level)
}

// limits are those that a record must keep within now.
func (l *leader) limits() config.StoreLimits {
	if l.maySplit() {
		return l.n.cfg.Cluster.State
	}
	return l.n.cfg.Cluster.StateNow()
}

// outgrown says whether a record must be split before it is written.
func (l *leader) outgrown(job *cluster.Job, r int, limits config.StoreLimits) bool {
	list := job.TasksOf(r)
	if len(list) < 2 {
		return false
	}
	if job.Spec.Gang() && len(list) > storage.GangRecordTasks(limits.TxnOps) {
		return true
	}
	room := int(limits.ValueKB * 1024)
	if r == 0 {
		if job.Records.SpecSize == 0 {
			job.Records.SpecSize = len(storage.Encode(job.Spec))
		}
		room -= job.Records.SpecSize
	}
	if len(list)*tuning.BytesPerTask+tuning.RecordHeaderBytes <= room {
		return false // with entries of any size
	}
	tasks, _ := recordContent(job, r)
	return len(storage.Encode(tasks))+tuning.RecordHeaderBytes > room
}

// splitDirty starts the split of one of a job's changed records that has outgrown
// the limits.
func (l *leader) splitDirty(job *cluster.Job, limits config.StoreLimits) {
	if len(job.Records.UnnamedParts) > 0 || !l.maySplit() {
		return
	}
	for _, r := range slices.Sorted(maps.Keys(job.Write.Dirty)) {
		if l.outgrown(job, r, limits) {
			l.splitUp(job, r, limits)
			return
		}
	}
}

// splitRecords lists the records that must be written in the transaction that
// completes a split, the job's own last; nil if no record is being split. Parts that
// are staged need not be written again.
func (l *leader) splitRecords(job *cluster.Job) []int {
	limits := l.limits()
	l.splitDirty(job, limits)
	if len(job.Records.UnnamedParts) == 0 {
		return nil
	}
	// The job's own record, which is always written, may have outgrown them too.
	if l.outgrown(job, 0, limits) {
		l.splitUp(job, 0, limits)
	}
	var list []int
	for part, source := range job.Records.UnnamedParts {
		if !job.Records.Staged[part] || job.Write.Dirty[part] {
			list = append(list, part)
		}
		if _, isNew := job.Records.UnnamedParts[source]; !isNew {
			list = append(list, source)
		}
	}
	slices.Sort(list)
	list = slices.Compact(list)
	return append(slices.DeleteFunc(list, func(r int) bool { return r == 0 }), 0)
}

// splitUp splits a record until every part keeps within the limits. Unless parts may
// be staged it stops at what one transaction can write; of a gang's parts the rest
// may then be split in the next.
func (l *leader) splitUp(job *cluster.Job, r int, limits config.StoreLimits) {
	most := limits.TxnOps - 2
	if l.mayStage() {
		most = len(job.Tasks)
	}
	open := []int{r}
	for len(open) > 0 && len(job.Records.UnnamedParts) < most {
		r := open[0]
		open = open[1:]
		if l.outgrown(job, r, limits) {
			open = append(open, r, job.SplitRecord(r))
		}
	}
	l.n.log.Info("record split", "job", job.ID, "record", r, "records", len(job.Records.Revisions))
}

// AwaitsRecordSplit says whether a gang has a record that must be split before its places
// are written, and sees to it.
func (l *leader) AwaitsRecordSplit(job *cluster.Job) bool {
	if !l.maySplit() || job.Records.TasksPerRecord <= storage.GangRecordTasks(l.n.cfg.Cluster.State.TxnOps) {
		return false
	}
	first := len(job.Records.UnnamedParts) > 0
	for r := range job.Records.Revisions {
		if l.outgrown(job, r, l.n.cfg.Cluster.State) {
			l.RecordChanged(job, r)
			first = true
		}
	}
	return first
}

// splitOutgrown has all records that have outgrown the limits split, once they may be:
// nobody knows when the limits are lowered, and a peer that marks a job as
// cancelled writes its first record as it is.
func (l *leader) splitOutgrown() {
	if l.splitSearched || !l.maySplit() {
		return
	}
	l.splitSearched = true
	for _, job := range l.scheduler.Queue() {
		for r := range job.Records.Revisions {
			if l.outgrown(job, r, l.n.cfg.Cluster.State) {
				l.RecordChanged(job, r)
			}
		}
	}
}

// recordsWritten notes that a job's records are committed. The job's own record
// names all parts, so that a write of it completes a split.
func recordsWritten(job *cluster.Job, w *jobWrite) {
	if !w.staging {
		job.Records.UnnamedParts, job.Records.Staged, job.Records.Splitting = nil, nil, false
		return
	}
	if job.Records.Staged == nil {
		job.Records.Staged = map[int]bool{}
	}
	for _, r := range w.records {
		job.Records.Staged[r] = true // until it changes again
	}
}

// dropUncommitted gives up the places of a job that are not written yet; they are
// planned again.
func (l *leader) dropUncommitted(job *cluster.Job) {
	for _, attempt := range job.SortedAttempts() {
		if !attempt.Committed {
			l.lifecycle.RemoveGone(attempt)
		}
	}
}

// refusedForSize says whether the state service would refuse a value, now that it
// has lowered its limits.
func (l *leader) refusedForSize(size int) bool {
	return l.n.limitsLowered && float64(size) > l.n.cfg.Cluster.State.ValueKB*1024
}

// postpone gives up the places of a job whose record the state service would refuse:
// it waits until it may be split. One that cannot be split further, because of its
// description, is never written again. What is stored stays readable, and the job can
// still end.
func (l *leader) postpone(job *cluster.Job, record int) {
	l.dropUncommitted(job)
	if len(job.TasksOf(record)) < 2 && !job.Records.Quarantined {
		job.Records.Quarantined = true
		l.n.log.Error("record cannot be brought under the limits of the state service", "job", job.ID, "record", record)
	}
}
