package commit

import (
	"encoding/json"
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

// send sends the transaction in flight, for the first time or as a retry.
func (c *Committer) send(tx *transaction) {
	c.store.TransactEncoded(tx.body, func(result kv.TransactionResult) {
		if c.inFlight == tx { // otherwise the watch has confirmed it in the meantime
			c.handleResult(tx, result)
		}
	})
}

// handleResult handles the store's response to a transaction.
func (c *Committer) handleResult(tx *transaction, result kv.TransactionResult) {
	switch outcome := result.Outcome; {
	case outcome == kv.Done && !result.Malformed:
		c.handleCommit(tx, result.Revision)
	case outcome == kv.ConditionFailed && !result.Malformed && tx.responseLost && tx.probeKey != "":
		c.resolveLostResponse(tx)
	case outcome == kv.ConditionFailed && !result.Malformed:
		c.handleConflict(tx, result.Failed)
	case outcome == kv.Unknown:
		// The transaction may have been applied, or may still be applied. Sending the same
		// one again is safe, because it can be applied only once.
		tx.responseLost = true
		c.retryAfter(tx, tuning.StoreRetryDelay, c.send)
	case outcome == kv.Throttled:
		c.retryAfter(tx, c.store.NoteThrottled(tx.changes), c.send)
	case outcome == kv.Rejected:
		c.log.Error("transaction rejected", "detail", result.Detail)
		c.limits.NoteRejection()
		c.handleConflict(tx, nil)
		c.notBefore = c.state.Now().Add(rejectionPause)
	default:
		c.retryAfter(tx, tuning.StoreRetryDelay, c.send)
	}
}

// rejectionPause is how long no transaction is sent after a rejected one: the cause of the
// rejection may also affect the next transaction.
const rejectionPause = time.Second

// retryAfter calls retry for a transaction after a pause, if it is still in flight.
func (c *Committer) retryAfter(tx *transaction, pause time.Duration, retry func(*transaction)) {
	c.env.After(pause, func() {
		if c.inFlight == tx {
			retry(tx)
		}
	})
}

// resolveLostResponse finds out whether a transaction whose response was lost was applied. It
// reads one of the records that the transaction sets.
func (c *Committer) resolveLostResponse(tx *transaction) {
	c.store.Get(tx.probeKey, func(result kv.GetResult) {
		if c.inFlight != tx {
			return
		}
		switch result.Outcome {
		case kv.Done:
			if !result.Malformed && storage.Writer(result.Entry.Value) == tx.writer {
				c.handleCommit(tx, result.Entry.Revision)
				return
			}
			c.handleConflict(tx, nil)
		case kv.NotFound:
			c.handleConflict(tx, nil)
		default:
			c.retryAfter(tx, tuning.StoreRetryDelay, c.resolveLostResponse)
		}
	})
}

// ObserveChange handles a change that the watch reports. handled is true if nobody else needs to
// handle it: it confirms the transaction in flight, whose response may be lost, or it concerns a
// machine record.
func (c *Committer) ObserveChange(change *protocol.WatchEvent) (handled bool) {
	if tx := c.inFlight; tx != nil && change.Set != "" && change.Set == tx.probeKey && c.Wrote(change.Value) {
		c.handleCommit(tx, change.Revision)
		return true
	}
	if !strings.HasPrefix(change.Set, storage.MachineRecordPrefix) {
		return false
	}
	if !c.Machines.has(change.Set) && !c.Wrote(change.Value) {
		c.Machines.deleteOrphaned(change.Set, change.Revision)
	}
	return true
}

// Wrote reports whether a record was written by the transaction in flight, whose response has
// not arrived yet.
func (c *Committer) Wrote(value json.RawMessage) bool {
	return c.inFlight != nil && storage.Writer(value) == c.inFlight.writer
}

// handleCommit handles a transaction that was applied at the given revision.
func (c *Committer) handleCommit(tx *transaction, revision protocol.Revision) {
	c.inFlight = nil
	for _, write := range tx.machineRecords {
		c.Machines.noteCommitted(write, revision)
		c.env.RequestScheduling()
	}
	for _, write := range tx.jobs {
		job := write.job
		job.Write.InFlight = false
		if write.final != nil {
			c.finish(job, *write.final)
			continue
		}
		for _, r := range write.records {
			job.Records.Revisions[r] = max(job.Records.Revisions[r], revision)
		}
		noteRecordsCommitted(job, write)
		c.outcomes.JobCommitted(job, write.placed)
	}
	c.outcomes.TransactionCommitted(revision, c.state.Now().Sub(tx.sentAt))
	c.Commit()
}

// finish removes a job whose final record is committed, and queues its task records for deletion.
func (c *Committer) finish(job *cluster.Job, final storage.FinalRecord) {
	job.Finish()
	delete(c.state.Jobs, job.ID)
	c.outcomes.JobFinished(job.ID, final)
	for r := 1; r < len(job.Records.Revisions); r++ {
		if job.Records.Revisions[r] != 0 {
			c.DeleteLater(storage.TaskRecordKey(job.ID, r))
		}
	}
	for _, r := range slices.Sorted(maps.Keys(job.Records.AbandonedParts)) {
		if r >= len(job.Records.Revisions) {
			c.DeleteLater(storage.TaskRecordKey(job.ID, r))
		}
	}
	c.env.RequestScheduling()
}

// handleConflict undoes a refused transaction. Its changes are planned again. failed lists the
// keys whose conditions did not hold, as far as the store has reported them.
func (c *Committer) handleConflict(tx *transaction, failed []string) {
	c.inFlight = nil
	c.outcomes.TransactionConflicted()
	if slices.Contains(failed, storage.LeaderKey) {
		c.env.StepDown("leader lease is no longer held by this node")
		return
	}
	c.DeleteLater(tx.deletions...)
	for _, write := range tx.machineRecords {
		write.record.Queued = true
		if len(failed) == 0 {
			c.reader.reread(write.record.Key) // it is not known which condition failed
		}
	}
	for _, key := range failed {
		if strings.HasPrefix(key, storage.MachineRecordPrefix) {
			c.reader.reread(key)
		}
	}
	for _, write := range tx.jobs {
		c.undo(write)
	}
	c.notBefore = c.state.Now().Add(tuning.ConflictRetryDelay)
	c.env.RequestScheduling()
}

// undo marks the records of a refused write dirty again, drops the attempts that it would have
// committed and reads the records' current revisions.
func (c *Committer) undo(write *jobWrite) {
	job := write.job
	job.Write.InFlight = false
	if write.final != nil {
		write.records = []int{0}
	}
	for _, r := range write.records {
		c.MarkDirty(job, r)
	}
	for _, attempt := range write.placed {
		if job.Attempts[attempt.Key] == attempt && !attempt.Committed {
			c.outcomes.DropAttempt(attempt)
		}
	}
	c.reader.reread(storage.JobKey(job.ID))
	for _, r := range write.records {
		if r > 0 {
			c.reader.reread(storage.TaskRecordKey(job.ID, r))
		}
	}
}
