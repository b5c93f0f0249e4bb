package commit

import (
	"log/slog"
	"maps"
	"slices"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// recordSplitter splits job records. A job's tasks are in records of a fixed number of
// tasks. When the store's limits are lowered, a record may have outgrown them: it is split,
// as a node of a B-tree is, before it is next written. What it gives away is in a further
// record, whose tasks are named in it; both and the job's own record, which has the number
// of all, are written by one guarded transaction, or the new parts are staged before.
type recordSplitter struct {
	limits *KnownLimits
	env    Environment
	log    *slog.Logger
}

// maySplit says whether records may be written that version 0.2 does not read whole:
// it takes the parts for abandoned ones and deletes them.
func (s *recordSplitter) maySplit() bool { return s.env.PeersSupport(protocol.PeerKnowsCancelled) }

// mayStage says whether the parts of a record may be written over several
// transactions. An earlier version that takes over deletes parts that the job's own
// record does not name, perhaps after it has split the record itself.
func (s *recordSplitter) mayStage() bool { return s.env.PeersSupport(protocol.PeerKnowsStaged) }

// currentLimits are those that a record must keep within now.
func (s *recordSplitter) currentLimits() config.StoreLimits {
	if s.maySplit() {
		return s.limits.afterLowering()
	}
	return s.limits.beforeLowering()
}

// oversized says whether a record must be split before it is written.
func (s *recordSplitter) oversized(job *cluster.Job, r int, limits config.StoreLimits) bool {
	list := job.TasksOf(r)
	if len(list) < 2 {
		return false
	}
	if job.Spec.Gang() && len(list) > storage.GangRecordTasks(limits.TxnOps) {
		return true
	}
	capacity := int(limits.ValueKB * 1024)
	if r == 0 {
		if job.Records.SpecBytes == 0 {
			job.Records.SpecBytes = len(storage.Encode(job.Spec))
		}
		capacity -= job.Records.SpecBytes
	}
	if len(list)*tuning.BytesPerTask+tuning.RecordHeaderBytes <= capacity {
		return false // with entries of any size
	}
	tasks, _ := recordContent(job, r)
	return len(storage.Encode(tasks))+tuning.RecordHeaderBytes > capacity
}

// splitDirty starts the split of one of a job's changed records that has outgrown
// the limits.
func (s *recordSplitter) splitDirty(job *cluster.Job, limits config.StoreLimits) {
	if len(job.Records.UnnamedParts) > 0 || !s.maySplit() {
		return
	}
	for _, r := range slices.Sorted(maps.Keys(job.Write.Dirty)) {
		if s.oversized(job, r, limits) {
			s.split(job, r, limits)
			return
		}
	}
}

// pendingSplit lists the records that must be written in the transaction that
// completes a split, the job's own last; nil if no record is being split. Parts that
// are staged need not be written again.
func (s *recordSplitter) pendingSplit(job *cluster.Job) []int {
	limits := s.currentLimits()
	s.splitDirty(job, limits)
	if len(job.Records.UnnamedParts) == 0 {
		return nil
	}
	// The job's own record, which is always written, may have outgrown them too.
	if s.oversized(job, 0, limits) {
		s.split(job, 0, limits)
	}
	var list []int
	for part, source := range job.Records.UnnamedParts {
		if !job.Records.StagedParts[part] || job.Write.Dirty[part] {
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

// split splits a record until every part keeps within the limits. Unless parts may
// be staged it stops at what one transaction can write; of a gang's parts the rest
// may then be split in the next.
func (s *recordSplitter) split(job *cluster.Job, r int, limits config.StoreLimits) {
	maxParts := limits.TxnOps - 2
	if s.mayStage() {
		maxParts = len(job.Tasks)
	}
	open := []int{r}
	for len(open) > 0 && len(job.Records.UnnamedParts) < maxParts {
		r := open[0]
		open = open[1:]
		if s.oversized(job, r, limits) {
			open = append(open, r, job.SplitRecord(r))
		}
	}
	s.log.Info("record split", "job", job.ID, "record", r, "records", len(job.Records.Revisions))
}

// noteRecordsCommitted notes that a job's records are committed. The job's own record names all
// parts, so that a write of it completes a split.
func noteRecordsCommitted(job *cluster.Job, write *jobWrite) {
	if !write.staging {
		job.Records.UnnamedParts, job.Records.StagedParts, job.Records.Splitting = nil, nil, false
		return
	}
	if job.Records.StagedParts == nil {
		job.Records.StagedParts = map[int]bool{}
	}
	for _, r := range write.records {
		job.Records.StagedParts[r] = true // until it changes again
	}
}
