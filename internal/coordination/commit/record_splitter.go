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

// recordSplitter splits oversized job records. A job's tasks are stored in records with a fixed
// number of tasks each. When the store's limits are lowered, a record may exceed them. Like a
// node of a B-tree it is then split before it is next written: some of its tasks move to a new
// record, a part, which lists their indexes. Both records are written by one guarded transaction
// together with the job's main record, which holds the number of all records. Alternatively the
// new parts are staged: earlier transactions write them.
type recordSplitter struct {
	limits *KnownLimits
	env    Environment
	log    *slog.Logger
}

// maySplit reports whether records may be written in parts. Version 0.2 does not read the parts:
// it takes them for abandoned records and deletes them. Nodes that read them have announced at
// least FeatureLevelCancellations, which covers more than cancellations.
func (s *recordSplitter) maySplit() bool {
	return s.env.PeersSupport(protocol.FeatureLevelCancellations)
}

// mayStage reports whether the parts of a record may be written by several transactions. When a
// node of an earlier version becomes the leader, it deletes parts that the job's main record
// does not reference. By then that node may have split the record itself and use the same keys.
func (s *recordSplitter) mayStage() bool { return s.env.PeersSupport(protocol.FeatureLevelStagedParts) }

// currentLimits returns the limits that a record must keep within now.
func (s *recordSplitter) currentLimits() config.StoreLimits {
	if s.maySplit() {
		return s.limits.afterLowering()
	}
	return s.limits.beforeLowering()
}

// oversized reports whether a record must be split before it is written.
func (s *recordSplitter) oversized(job *cluster.Job, r int, limits config.StoreLimits) bool {
	taskIndexes := job.TasksOf(r)
	if len(taskIndexes) < 2 {
		return false
	}
	if job.Spec.Gang() && len(taskIndexes) > storage.MaxGangTasksPerRecord(limits.TxnOps) {
		return true
	}
	capacity := int(limits.ValueKB * 1024)
	if r == 0 {
		if job.Records.SpecBytes == 0 {
			job.Records.SpecBytes = len(storage.Encode(job.Spec))
		}
		capacity -= job.Records.SpecBytes
	}
	if len(taskIndexes)*tuning.BytesPerTask+tuning.RecordHeaderBytes <= capacity {
		return false // it fits whatever the size of its entries
	}
	tasks, _ := recordContent(job, r)
	return len(storage.Encode(tasks))+tuning.RecordHeaderBytes > capacity
}

// splitDirty starts the split of one of a job's dirty records if any of them is oversized.
func (s *recordSplitter) splitDirty(job *cluster.Job, limits config.StoreLimits) {
	if len(job.Records.UnreferencedParts) > 0 || !s.maySplit() {
		return
	}
	for _, r := range slices.Sorted(maps.Keys(job.Write.Dirty)) {
		if s.oversized(job, r, limits) {
			s.split(job, r, limits)
			return
		}
	}
}

// pendingSplit starts the split of a job's dirty record if it is oversized. It returns the records
// that must be written by the transaction that completes a split, with the main record last, or
// nil if no record is being split. Staged parts need not be written again unless they are dirty.
func (s *recordSplitter) pendingSplit(job *cluster.Job) []int {
	limits := s.currentLimits()
	s.splitDirty(job, limits)
	if len(job.Records.UnreferencedParts) == 0 {
		return nil
	}
	// The main record is always written, and may be oversized too.
	if s.oversized(job, 0, limits) {
		s.split(job, 0, limits)
	}
	var records []int
	for part, source := range job.Records.UnreferencedParts {
		if !job.Records.StagedParts[part] || job.Write.Dirty[part] {
			records = append(records, part)
		}
		if _, isNew := job.Records.UnreferencedParts[source]; !isNew {
			records = append(records, source)
		}
	}
	slices.Sort(records)
	records = slices.Compact(records)
	return append(slices.DeleteFunc(records, func(r int) bool { return r == 0 }), 0)
}

// split splits a record until every part keeps within the limits. Unless parts may be staged,
// it stops at the number of parts that one transaction can write. Parts of a gang that are still
// oversized then may be split again for the next transaction.
func (s *recordSplitter) split(job *cluster.Job, r int, limits config.StoreLimits) {
	maxParts := limits.TxnOps - 2
	if s.mayStage() {
		maxParts = len(job.Tasks)
	}
	pending := []int{r}
	for len(pending) > 0 && len(job.Records.UnreferencedParts) < maxParts {
		r := pending[0]
		pending = pending[1:]
		if s.oversized(job, r, limits) {
			pending = append(pending, r, job.SplitRecord(r))
		}
	}
	s.log.Info("record split", "job", job.ID, "record", r, "records", len(job.Records.Revisions))
}

// noteRecordsCommitted handles the commit of a job's records. The main record references all
// parts, so that writing it completes a split.
func noteRecordsCommitted(job *cluster.Job, write *jobWrite) {
	if !write.staging {
		job.Records.UnreferencedParts, job.Records.StagedParts, job.Records.Splitting = nil, nil, false
		return
	}
	if job.Records.StagedParts == nil {
		job.Records.StagedParts = map[int]bool{}
	}
	for _, r := range write.records {
		job.Records.StagedParts[r] = true // until the part changes again
	}
}
