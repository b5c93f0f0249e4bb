package api

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// statusQuery is a question about an unfinished job that waits to be checked: the
// mirror's record may be old, and no user may get an older answer than one
// that any controller has given.
type statusQuery struct {
	requestID    uint64
	job          protocol.JobID
	resubmission bool // a repeated one, which has the short answer
	deadline     time.Time
}

// statusQueries answers status queries. The queries about unfinished jobs, and the repeated
// submissions of such jobs, wait to be checked together.
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
	nextCheckAt time.Time // when those that wait are checked
}

// due tells when queries that wait are to be checked.
func (sq *statusQueries) due(by func(time.Time)) {
	if len(sq.waiting) > 0 {
		by(sq.nextCheckAt)
	}
}

// answer answers a status query, at once or after the records have been checked.
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

// shedExpired turns away the status queries that have waited too long for the budget.
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

// enqueue has a query wait to be checked with others.
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

// check checks the records of the waiting status queries by one transaction that
// only compares: when it succeeds, the mirror's records are the newest there are.
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

// queryBatch is a number of status queries that are checked together.
type queryBatch struct {
	queries    []statusQuery
	comparison protocol.Transaction
	status     map[protocol.JobID]protocol.Status // by job, as the mirror has it
	stale      map[string]bool                    // keys whose records have changed since
}

// takeBatch takes the first of the waiting status queries.
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

// applyResult takes the answer to the comparison; false if there is none.
func (qb *queryBatch) applyResult(result kv.TransactionResult) bool {
	switch result.Outcome {
	case kv.Done:
		return true
	case kv.ConditionFailed:
		if result.Malformed || len(result.Failed) == 0 {
			clear(qb.status) // nothing is known to be fresh
		}
		for _, key := range result.Failed {
			qb.stale[key] = true
		}
		return true
	}
	return false
}

// answerChecked answers from the mirror's record if that was the newest, else after
// another look.
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
