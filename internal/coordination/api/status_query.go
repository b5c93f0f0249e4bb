package api

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// statusQuery is a question about an unfinished job that waits to be checked: the
// mirror's record may be old, and no user may get an older answer than one
// that any controller has given.
type statusQuery struct {
	requestID  uint64
	job        protocol.JobID
	submission bool // a repeated one, which has the short answer
	expire     time.Time
}

// Query answers a status query.
func (s *Service) Query(requestID uint64, jobID protocol.JobID) {
	if status, ok := s.finished.status(jobID); ok {
		s.replies.Status(requestID, status)
		return
	}
	if s.replies.refuseUnserved(requestID, s.mirror.Ready()) {
		return
	}
	if _, ok := s.mirror.Get(storage.JobKey(jobID)); ok {
		s.addQuery(statusQuery{requestID: requestID, job: jobID})
		return
	}
	if !s.budgets.AllowsUserRead(s.env.Now()) {
		s.replies.shedLoad(requestID)
		return
	}
	s.answerFromStore(requestID, jobID, s.env.Now().Add(tuning.UserRequestTimeout))
}

// answerFromStore answers a status query from the store itself.
func (s *Service) answerFromStore(requestID uint64, jobID protocol.JobID, deadline time.Time) {
	s.lookups.job(requestID, jobID, deadline, func(status *protocol.Status) {
		if status == nil {
			s.replies.UnknownJob(requestID)
			return
		}
		s.replies.Status(requestID, *status)
	})
}

// shedExpired turns away the status queries that have waited too long for the budget.
func (s *Service) shedExpired() {
	kept := s.queries[:0]
	for _, query := range s.queries {
		if s.env.Now().Before(query.expire) {
			kept = append(kept, query)
		} else {
			s.replies.shedLoad(query.requestID)
		}
	}
	s.queries = kept
}

func (s *Service) addQuery(query statusQuery) {
	resources := s.cfg.Cluster.Process
	if len(s.queries) >= resources.UserRequests() {
		s.replies.shedLoad(query.requestID)
		return
	}
	if len(s.queries) == 0 {
		s.checkAt = s.env.Now().Add(resources.RequestPause(tuning.StatusQueryBatchDelay, tuning.StatusQueryCPUShare))
	}
	query.expire = s.env.Now().Add(tuning.UserRequestTimeout)
	s.queries = append(s.queries, query)
}

// CheckQueries checks the records of the waiting status queries by one transaction that
// only compares: when it succeeds, the mirror's records are the newest there are.
func (s *Service) CheckQueries() {
	if len(s.queries) == 0 {
		return
	}
	limit := s.cfg.Cluster.Store.TxnOps * kv.ConditionsPerChange
	if s.env.Now().Before(s.checkAt) && len(s.queries) < limit {
		return
	}
	if !s.budgets.AllowsUserRead(s.env.Now()) {
		s.shedExpired()
		return
	}
	batch := s.takeQueries(limit)
	s.store.Transact(batch.compare, func(result kv.TransactionResult) {
		if !batch.checked(result) {
			for _, query := range batch.queries {
				s.replies.Unavailable(query.requestID, reasonStoreSilent)
			}
			return
		}
		for _, query := range batch.queries {
			s.answerQuery(query, batch)
		}
	})
}

// queryBatch is a number of status queries that are checked together.
type queryBatch struct {
	queries []statusQuery
	compare protocol.Transaction
	status  map[protocol.JobID]protocol.Status // by job, as the mirror has it
	stale   map[string]bool                    // keys whose records have changed since
}

// takeQueries takes the first of the waiting status queries.
func (s *Service) takeQueries(limit int) *queryBatch {
	count := min(limit, len(s.queries))
	batch := &queryBatch{queries: s.queries[:count], status: map[protocol.JobID]protocol.Status{}, stale: map[string]bool{}}
	s.queries = append([]statusQuery(nil), s.queries[count:]...)
	for _, query := range batch.queries {
		if _, ok := batch.status[query.job]; ok {
			continue
		}
		key := storage.JobKey(query.job)
		status, revision, ok := s.mirror.Status(key)
		if !ok {
			continue
		}
		batch.status[query.job] = status
		batch.compare.Conditions = append(batch.compare.Conditions, protocol.Condition{Key: key, Revision: revision})
	}
	return batch
}

// checked takes the answer to the comparison; false if there is none.
func (qb *queryBatch) checked(result kv.TransactionResult) bool {
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

// answerQuery answers from the mirror's record if that was the newest, else after
// another look.
func (s *Service) answerQuery(query statusQuery, batch *queryBatch) {
	status, ok := batch.status[query.job]
	fresh := ok && !batch.stale[storage.JobKey(query.job)]
	switch {
	case !fresh && query.submission:
		s.answerRepeated(query.requestID, query.job, query.expire)
	case !fresh:
		s.answerFromStore(query.requestID, query.job, query.expire)
	case query.submission:
		s.replies.Accepted(query.requestID, protocol.Accepted{ID: query.job, Phase: status.Phase})
	default:
		s.replies.Status(query.requestID, status)
	}
}
