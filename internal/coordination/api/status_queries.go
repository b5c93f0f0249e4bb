package api

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/answers"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// statusQueries handles status queries. Queries about unfinished jobs and repeated submissions
// of such jobs wait until the mirror's record has been compared with the store, because the mirror may
// be behind. The records of those that wait are checked in one transaction.
type statusQueries struct {
	cfg      *config.Config
	mirror   *storage.Mirror
	store    kv.Client
	budgets  Budgets
	env      Environment
	replies  *responder
	finished *finishedJobs
	lookups  *lookups

	waiting     []request
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
func (sq *statusQueries) answer(req request) {
	if state, ok := sq.finished.state(req.job); ok {
		sq.replies.tell(req, state)
		return
	}
	if sq.replies.refuseIfUnavailable(req, sq.mirror.Ready()) {
		return
	}
	if _, ok := sq.mirror.Get(storage.JobKey(req.job)); !ok && !sq.budgets.AllowsUserRead(sq.env.Now()) {
		sq.replies.shedLoad(req)
		return
	}
	sq.checkOrRead(req)
}

// checkOrRead has the mirror's record of a request's job compared with the store, or reads the record
// from the store if the mirror has none.
func (sq *statusQueries) checkOrRead(req request) {
	if _, ok := sq.mirror.Get(storage.JobKey(req.job)); ok {
		sq.enqueue(req)
		return
	}
	sq.lookups.answer(req)
}

// shedExpired refuses the status queries whose deadline passed while they waited for the budget.
func (sq *statusQueries) shedExpired() {
	kept := sq.waiting[:0]
	for _, query := range sq.waiting {
		if sq.env.Now().Before(query.deadline) {
			kept = append(kept, query)
		} else {
			sq.replies.shedLoad(query)
		}
	}
	sq.waiting = kept
}

// enqueue adds a request to those that wait to be checked together, or refuses it if too many
// are waiting.
func (sq *statusQueries) enqueue(req request) {
	resources := sq.cfg.Cluster.Process
	if len(sq.waiting) >= resources.MaxUserRequests() {
		sq.replies.shedLoad(req)
		return
	}
	if len(sq.waiting) == 0 {
		sq.nextCheckAt = sq.env.Now().Add(resources.RequestDelay(tuning.StatusQueryBatchDelay, tuning.StatusQueryCPUShare))
	}
	sq.waiting = append(sq.waiting, req)
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
				sq.replies.unavailable(query, reasonStoreNotResponding)
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
	queries    []request
	comparison protocol.Transaction
	states     map[protocol.JobID]answers.State // by job, according to the mirror
	stale      map[string]bool                  // keys whose records have changed in the store
}

// takeBatch removes up to limit queries from the front of the queue.
func (sq *statusQueries) takeBatch(limit int) *queryBatch {
	count := min(limit, len(sq.waiting))
	batch := &queryBatch{queries: sq.waiting[:count], states: map[protocol.JobID]answers.State{}, stale: map[string]bool{}}
	sq.waiting = append([]request(nil), sq.waiting[count:]...)
	for _, query := range batch.queries {
		if _, ok := batch.states[query.job]; ok {
			continue
		}
		key := storage.JobKey(query.job)
		status, ok := sq.mirror.Status(key)
		if !ok {
			continue
		}
		batch.states[query.job] = answers.State{Status: status.Status, Revision: status.Revision,
			ReachedBy: status.ReachedBy, SentAt: sq.env.Now()}
		batch.comparison.Conditions = append(batch.comparison.Conditions, protocol.Condition{Key: key, Revision: status.Revision})
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
			clear(qb.states) // no record is known to be current
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
func (sq *statusQueries) answerChecked(query request, batch *queryBatch) {
	state, ok := batch.states[query.job]
	if !ok || batch.stale[storage.JobKey(query.job)] {
		sq.lookups.answer(query)
		return
	}
	sq.replies.tell(query, state)
}
