package api

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/answers"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
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
func (c *cancellations) answer(req request) {
	if state, ok := c.finished.state(req.job); ok {
		c.replies.tell(req, state)
		return
	}
	if c.replies.refuseIfUnavailable(req, c.mirror.Ready()) {
		return
	}
	if !c.budgets.TakeUserWrite(c.env.Now()) {
		c.replies.shedLoad(req)
		return
	}
	if entry, ok := c.mirror.Get(storage.JobKey(req.job)); ok {
		c.cancelRecord(req, &entry)
		return
	}
	c.cancelFromStore(req)
}

// cancelFromStore reads a job's current record from the store and cancels the job. A job without a
// main record is finished or does not exist.
func (c *cancellations) cancelFromStore(req request) {
	c.lookups.read(req, storage.JobKey(req.job), func(entry *protocol.Entry, _ time.Time) {
		if entry != nil {
			c.cancelRecord(req, entry)
			return
		}
		c.lookups.answer(req)
	})
}

// cancelRecord marks a job's main record as cancelled, unless it is marked already.
func (c *cancellations) cancelRecord(req request, entry *protocol.Entry) {
	record, err := storage.DecodeJob(entry.Value)
	if err != nil {
		c.replies.unavailable(req, reasonMalformedRecord)
		return
	}
	if record.Cancelled { // perhaps by a transaction whose response was lost
		c.confirm(req, record, entry.Revision)
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
			c.confirm(req, record, result.Revision)
		case (result.Outcome == kv.ConditionFailed || result.Outcome == kv.Unknown) && c.env.Now().Before(req.deadline):
			c.cancelFromStore(req)
		default:
			c.replies.unavailable(req, reasonStoreNotResponding)
		}
	})
}

// confirm notifies the leader of a stored cancellation and confirms it to the user.
func (c *cancellations) confirm(req request, record *storage.Job, revision protocol.Revision) {
	c.env.AnnounceCancellation(req.job)
	c.replies.tell(req, answers.State{Status: record.Status(), Revision: revision, ReachedBy: revision})
}
