package commit

import (
	"strings"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// recordReader reads stored records again after a refused transaction. Their revisions may differ
// from those that the leader expected.
type recordReader struct {
	state    *cluster.State
	store    Store
	machines *MachineRecords
	outcomes Outcomes
	finish   func(*cluster.Job, storage.FinalRecord) // called for jobs whose final record is stored
}

// reread reads the current revision of a key whose condition may have failed.
func (rr *recordReader) reread(key string) {
	rr.store.Get(key, func(result kv.GetResult) {
		if result.Outcome != kv.Done && result.Outcome != kv.NotFound || result.Malformed {
			return
		}
		id, r, isTaskRecord := storage.ParseTaskRecordKey(key)
		switch {
		case isTaskRecord:
			if job := rr.state.Jobs[id]; job != nil && r < len(job.Records.Revisions) {
				job.Records.Revisions[r] = result.Entry.Revision
			}
		case strings.HasPrefix(key, storage.MachineRecordPrefix):
			rr.machines.setRevision(key, result.Entry.Revision)
		default:
			rr.rereadJob(key, result)
		}
	})
}

// rereadJob handles the result of reading a job's main record.
func (rr *recordReader) rereadJob(key string, result kv.GetResult) {
	id, _ := storage.ParseJobKey(key)
	job := rr.state.Jobs[id]
	if job == nil {
		return
	}
	if result.Outcome == kv.NotFound {
		// A transaction that seemed to be refused was applied after all: it has replaced the
		// main record by the job's final record.
		rr.lookUpFinal(job)
		return
	}
	record, err := storage.DecodeJob(result.Entry.Value)
	if err != nil {
		rr.outcomes.QuarantineJob(id, err)
		return
	}
	rr.outcomes.MergeRecord(job, record, result.Entry.Revision)
}

// lookUpFinal finishes a job whose main record no longer exists, if its final record is stored.
func (rr *recordReader) lookUpFinal(job *cluster.Job) {
	rr.store.Get(storage.FinalRecordKey(job.ID), func(result kv.GetResult) {
		if result.Outcome != kv.Done || result.Malformed || job.Finished {
			return
		}
		var final storage.FinalRecord
		if protocol.Unmarshal(result.Entry.Value, &final) == nil && final.Phase != "" {
			rr.finish(job, final)
		}
	})
}
