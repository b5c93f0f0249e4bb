package api

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// submissions stores the jobs that users submit.
type submissions struct {
	cfg      *config.Config
	mirror   *storage.Mirror
	store    kv.Client
	budgets  Budgets
	env      Environment
	replies  *responder
	finished *finishedJobs
	lookups  *lookups
	queries  *statusQueries // also holds repeated submissions that wait to be checked
	runnable *runnableCheck
}

// answer handles a submission: it stores the job unless the job is already known.
func (s *submissions) answer(requestID uint64, spec *protocol.Job) {
	if status, ok := s.finished.status(spec.ID); ok {
		s.replies.Accepted(requestID, protocol.Accepted{ID: spec.ID, Phase: status.Phase})
		return
	}
	if s.replies.refuseIfUnavailable(requestID, s.mirror.Ready() && s.runnable.ready()) {
		return
	}
	if _, ok := s.mirror.Get(storage.JobKey(spec.ID)); ok {
		s.queries.enqueue(statusQuery{requestID: requestID, job: spec.ID, resubmission: true})
		return
	}
	if reason := s.runnable.unrunnableReason(spec); reason != "" {
		s.refuseUnrunnable(requestID, spec.ID, reason)
		return
	}
	if !s.budgets.TakeUserWrite(s.env.Now()) {
		if !s.env.ForwardSubmission(requestID, spec) {
			s.replies.shedLoad(requestID)
		}
		return
	}
	s.storeSubmission(requestID, spec.ID, s.submissionTxn(spec), s.env.Now().Add(tuning.UserRequestTimeout))
}

// refuseUnrunnable refuses a job that can never run, unless the store has a record of it: a
// peer may have accepted the job, and it may even be finished.
func (s *submissions) refuseUnrunnable(requestID uint64, jobID protocol.JobID, reason string) {
	s.lookups.readStatus(requestID, jobID, s.env.Now().Add(tuning.UserRequestTimeout), func(status *protocol.Status) {
		if status != nil {
			s.replies.Accepted(requestID, protocol.Accepted{ID: jobID, Phase: status.Phase})
			return
		}
		s.replies.Unrunnable(requestID, reason)
	})
}

// submissionTxn returns the encoded transaction that makes a submission durable. It requires
// that the job has neither a main record nor a final record.
func (s *submissions) submissionTxn(spec *protocol.Job) []byte {
	limits := s.cfg.Cluster.Store
	record := storage.Job{Writer: s.env.UniqueName(), Spec: spec, SubmittedAtMs: s.env.Now().UnixMilli(),
		TasksPerBaseRecord: storage.TasksPerRecord(limits.ValueKB, limits.TxnOps, spec)}
	return storage.Encode(protocol.Transaction{
		Conditions: []protocol.Condition{{Key: storage.JobKey(spec.ID)}, {Key: storage.FinalRecordKey(spec.ID)}},
		Changes:    []protocol.Change{{Set: storage.JobKey(spec.ID), Value: storage.Encode(record)}},
	})
}

// storeSubmission sends the transaction, and sends it again, until the deadline, while its
// response is lost: the lost transaction may still be applied. If it was, the conditions of
// the repeated one fail, which shows that the job is stored.
func (s *submissions) storeSubmission(requestID uint64, jobID protocol.JobID, txn []byte, deadline time.Time) {
	s.store.TransactEncoded(txn, func(result kv.TransactionResult) {
		switch {
		case result.Outcome == kv.Done:
			s.replies.Created(requestID, protocol.Accepted{ID: jobID, Phase: protocol.PhasePending})
		case result.Outcome == kv.ConditionFailed:
			s.lookups.answerResubmission(requestID, jobID, deadline)
		case result.Outcome == kv.Unknown && s.env.Now().Before(deadline):
			s.storeSubmission(requestID, jobID, txn, deadline)
		default:
			s.replies.Unavailable(requestID, reasonStoreNotResponding)
		}
	})
}
