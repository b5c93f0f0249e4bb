package api

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// cancellations marks jobs as cancelled in their records.
type cancellations struct {
	mirror   *storage.Mirror
	store    kv.Client
	budgets  Budgets
	env      Environment
	replies  *responder
	finished *finishedJobs
	lookups  *lookups
}

// answer handles a cancellation: it marks the job as cancelled in a conditional transaction.
// The leader learns of it from its watch.
func (c *cancellations) answer(requestID uint64, jobID protocol.JobID) {
	if status, ok := c.finished.status(jobID); ok {
		c.replies.Accepted(requestID, protocol.Accepted{ID: jobID, Phase: status.Phase})
		return
	}
	if c.replies.refuseIfUnavailable(requestID, c.mirror.Ready()) {
		return
	}
	if !c.budgets.TakeUserWrite(c.env.Now()) {
		c.replies.shedLoad(requestID)
		return
	}
	deadline := c.env.Now().Add(tuning.UserRequestTimeout)
	if entry, ok := c.mirror.Get(storage.JobKey(jobID)); ok {
		c.cancelRecord(requestID, jobID, &entry, deadline)
		return
	}
	c.cancelFromStore(requestID, jobID, deadline)
}

// cancelFromStore reads a job's current record from the store and cancels the job.
func (c *cancellations) cancelFromStore(requestID uint64, jobID protocol.JobID, deadline time.Time) {
	c.lookups.read(requestID, storage.JobKey(jobID), deadline, func(entry *protocol.Entry) {
		if entry != nil {
			c.cancelRecord(requestID, jobID, entry, deadline)
			return
		}
		c.answerFinished(requestID, jobID, deadline)
	})
}

// answerFinished replies to the cancellation of a job that had no main record when it was
// read: the job is finished or does not exist.
func (c *cancellations) answerFinished(requestID uint64, jobID protocol.JobID, deadline time.Time) {
	c.lookups.readStatus(requestID, jobID, deadline, func(status *protocol.Status) {
		switch {
		case status == nil:
			c.replies.UnknownJob(requestID)
		case status.Phase != protocol.PhaseDone && status.Phase != protocol.PhaseCancelled:
			c.replies.Unavailable(requestID, reasonTryAgain)
		default:
			c.replies.Accepted(requestID, protocol.Accepted{ID: jobID, Phase: status.Phase})
		}
	})
}

// cancelRecord marks a job's main record as cancelled, unless it is marked already.
func (c *cancellations) cancelRecord(requestID uint64, jobID protocol.JobID, entry *protocol.Entry, deadline time.Time) {
	record, err := storage.DecodeJob(entry.Value)
	if err != nil {
		c.replies.Unavailable(requestID, reasonMalformedRecord)
		return
	}
	if record.Cancelled {
		c.confirmCancellation(requestID, jobID) // perhaps by a transaction whose response was lost
		return
	}
	record.Cancelled, record.Writer = true, c.env.UniqueName()
	if record.SubmissionRevision == 0 {
		record.SubmissionRevision = entry.Revision
	}
	txn := protocol.Transaction{
		Conditions: []protocol.Condition{{Key: entry.Key, Revision: entry.Revision}},
		Changes:    []protocol.Change{{Set: entry.Key, Value: storage.Encode(record)}},
	}
	c.store.Transact(txn, func(result kv.TransactionResult) {
		switch {
		case result.Outcome == kv.Done:
			c.confirmCancellation(requestID, jobID)
		case (result.Outcome == kv.ConditionFailed || result.Outcome == kv.Unknown) && c.env.Now().Before(deadline):
			c.cancelFromStore(requestID, jobID, deadline)
		default:
			c.replies.Unavailable(requestID, reasonStoreNotResponding)
		}
	})
}

// confirmCancellation notifies the leader of a stored cancellation and confirms it to the user.
func (c *cancellations) confirmCancellation(requestID uint64, jobID protocol.JobID) {
	c.env.AnnounceCancellation(jobID)
	c.replies.Accepted(requestID, protocol.Accepted{ID: jobID, Phase: protocol.PhaseCancelled})
}
