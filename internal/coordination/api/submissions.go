package api

import (
	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/answers"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
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
func (s *submissions) answer(req request, spec *protocol.Job) {
	if state, ok := s.finished.state(req.job); ok {
		s.replies.tell(req, state)
		return
	}
	if s.replies.refuseIfUnavailable(req, s.mirror.Ready() && s.runnable.ready()) {
		return
	}
	if _, ok := s.mirror.Get(storage.JobKey(req.job)); ok {
		s.queries.enqueue(req)
		return
	}
	if req.unrunnable = s.runnable.unrunnableReason(spec); req.unrunnable != "" {
		s.lookups.answer(req) // a peer may have accepted the job, and it may even be finished
		return
	}
	if !s.budgets.TakeUserWrite(s.env.Now()) {
		if !s.env.ForwardSubmission(req.id, spec) {
			s.replies.shedLoad(req)
		}
		return
	}
	s.storeSubmission(req, s.submissionTxn(spec))
}

// submissionTxn returns the encoded transaction that makes a submission durable. It requires
// that the job has neither a main record nor a final record.
func (s *submissions) submissionTxn(spec *protocol.Job) []byte {
	limits := s.cfg.Cluster.Store
	record := storage.Job{Writer: s.env.UniqueName(), Spec: spec, SubmittedAtMs: s.env.Now().UnixMilli(),
		TasksPerBaseRecord: storage.TasksPerRecord(limits.ValueKB, limits.TxnOps, spec)}
	return storage.Encode(protocol.Transaction{
		Conditions: unknownConditions(spec.ID),
		Changes:    []protocol.Change{{Set: storage.JobKey(spec.ID), Value: storage.Encode(record)}},
	})
}

// storeSubmission sends the transaction, and sends it again, until the deadline, while its
// response is lost: the lost transaction may still be applied. If it was, the conditions of
// the repeated one fail, which shows that the job is stored.
func (s *submissions) storeSubmission(req request, txn []byte) {
	sentAt := s.env.Now()
	s.store.TransactEncoded(txn, func(result kv.TransactionResult) {
		switch {
		case result.Outcome == kv.Done:
			req.created = true
			pending := protocol.Status{ID: req.job, Phase: protocol.PhasePending}
			s.replies.tell(req, answers.State{Status: pending, Revision: result.Revision, ReachedBy: result.Revision, SentAt: sentAt})
		case result.Outcome == kv.ConditionFailed:
			s.lookups.answer(req)
		case result.Outcome == kv.Unknown && s.env.Now().Before(req.deadline):
			s.storeSubmission(req, txn)
		default:
			s.replies.unavailable(req, reasonStoreNotResponding)
		}
	})
}
