package api

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// statusQuery is a query about an unfinished job that waits until the mirror's record has been
// compared with the store: the mirror may be behind, and no user may be told an older state
// than any controller has already reported.
type statusQuery struct {
	requestID    uint64
	job          protocol.JobID
	resubmission bool // a repeated submission; its reply is a protocol.Accepted
	deadline     time.Time
}

// statusQueries handles status queries. Queries about unfinished jobs and repeated submissions
// of such jobs are collected, and their records are checked in one transaction.
type statusQueries struct {
	cfg      *config.Config
	mirror   *storage.Mirror
	store    kv.Client
	budgets  Budgets
	env      Environment
	replies  *responder
	finished *finishedJobs
	lookups  *lookups

	waiting     []statusQuery
	nextCheckAt time.Time // when the waiting queries are checked
}

// due calls wakeBy with the time of the next check, if any queries are waiting.
func (sq *statusQueries) due(wakeBy func(time.Time)) {
	if len(sq.waiting) > 0 {
		wakeBy(sq.nextCheckAt)
	}
}

// answer handles a status query. It replies at once, or after the record has been checked or
// read.
func (sq *statusQueries) answer(requestID uint64, jobID protocol.JobID) {
	if status, ok := sq.finished.status(jobID); ok {
		sq.replies.Status(requestID, status)
		return
	}
	if sq.replies.refuseIfUnavailable(requestID, sq.mirror.Ready()) {
		return
	}
	if _, ok := sq.mirror.Get(storage.JobKey(jobID)); ok {
		sq.enqueue(statusQuery{requestID: requestID, job: jobID})
		return
	}
	if !sq.budgets.AllowsUserRead(sq.env.Now()) {
		sq.replies.shedLoad(requestID)
		return
	}
	sq.lookups.answerStatus(requestID, jobID, sq.env.Now().Add(tuning.UserRequestTimeout))
}

// shedExpired refuses the status queries whose deadline passed while they waited for the budget.
func (sq *statusQueries) shedExpired() {
	kept := sq.waiting[:0]
	for _, query := range sq.waiting {
		if sq.env.Now().Before(query.deadline) {
			kept = append(kept, query)
		} else {
			sq.replies.shedLoad(query.requestID)
		}
	}
	sq.waiting = kept
}

// enqueue adds a query to those that wait to be checked together, or refuses it if too many
// are waiting.
func (sq *statusQueries) enqueue(query statusQuery) {
	resources := sq.cfg.Cluster.Process
	if len(sq.waiting) >= resources.MaxUserRequests() {
		sq.replies.shedLoad(query.requestID)
		return
	}
	if len(sq.waiting) == 0 {
		sq.nextCheckAt = sq.env.Now().Add(resources.RequestDelay(tuning.StatusQueryBatchDelay, tuning.StatusQueryCPUShare))
	}
	query.deadline = sq.env.Now().Add(tuning.UserRequestTimeout)
	sq.waiting = append(sq.waiting, query)
}

// check compares the mirror's records of the waiting queries with the store. It uses a
// transaction with conditions but no changes: if that succeeds, the records are current. The
// check starts at nextCheckAt, or earlier once the queries fill a transaction.
func (sq *statusQueries) check() {
	if len(sq.waiting) == 0 {
		return
	}
	limit := sq.cfg.Cluster.Store.TxnOps * kv.ConditionsPerChange
	if sq.env.Now().Before(sq.nextCheckAt) && len(sq.waiting) < limit {
		return
	}
	if !sq.budgets.AllowsUserRead(sq.env.Now()) {
		sq.shedExpired()
		return
	}
	batch := sq.takeBatch(limit)
	sq.store.Transact(batch.comparison, func(result kv.TransactionResult) {
		if !batch.applyResult(result) {
			for _, query := range batch.queries {
				sq.replies.Unavailable(query.requestID, reasonStoreNotResponding)
			}
			return
		}
		for _, query := range batch.queries {
			sq.answerChecked(query, batch)
		}
	})
}

// queryBatch is a group of status queries that are checked by one transaction.
type queryBatch struct {
	queries    []statusQuery
	comparison protocol.Transaction
	status     map[protocol.JobID]protocol.Status // by job, according to the mirror
	stale      map[string]bool                    // keys whose records have changed in the store
}

// takeBatch removes up to limit queries from the front of the queue.
func (sq *statusQueries) takeBatch(limit int) *queryBatch {
	count := min(limit, len(sq.waiting))
	batch := &queryBatch{queries: sq.waiting[:count], status: map[protocol.JobID]protocol.Status{}, stale: map[string]bool{}}
	sq.waiting = append([]statusQuery(nil), sq.waiting[count:]...)
	for _, query := range batch.queries {
		if _, ok := batch.status[query.job]; ok {
			continue
		}
		key := storage.JobKey(query.job)
		status, revision, ok := sq.mirror.Status(key)
		if !ok {
			continue
		}
		batch.status[query.job] = status
		batch.comparison.Conditions = append(batch.comparison.Conditions, protocol.Condition{Key: key, Revision: revision})
	}
	return batch
}

// applyResult processes the store's response to the comparison. It returns false if there is
// no response that says which records are current.
func (qb *queryBatch) applyResult(result kv.TransactionResult) bool {
	switch result.Outcome {
	case kv.Done:
		return true
	case kv.ConditionFailed:
		if result.Malformed || len(result.Failed) == 0 {
			clear(qb.status) // no record is known to be current
		}
		for _, key := range result.Failed {
			qb.stale[key] = true
		}
		return true
	}
	return false
}

// answerChecked replies from the mirror's record if that was current, and otherwise reads the
// record from the store first.
func (sq *statusQueries) answerChecked(query statusQuery, batch *queryBatch) {
	status, ok := batch.status[query.job]
	fresh := ok && !batch.stale[storage.JobKey(query.job)]
	switch {
	case !fresh && query.resubmission:
		sq.lookups.answerResubmission(query.requestID, query.job, query.deadline)
	case !fresh:
		sq.lookups.answerStatus(query.requestID, query.job, query.deadline)
	case query.resubmission:
		sq.replies.Accepted(query.requestID, protocol.Accepted{ID: query.job, Phase: status.Phase})
	default:
		sq.replies.Status(query.requestID, status)
	}
}
