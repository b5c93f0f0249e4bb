package api

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// Cancel marks a job as cancelled by a guarded transaction. Whoever leads
// learns it from its watch.
func (s *Service) Cancel(requestID uint64, jobID protocol.JobID) {
	if status, ok := s.finished.status(jobID); ok {
		s.replies.Accepted(requestID, protocol.Accepted{ID: jobID, Phase: status.Phase})
		return
	}
	if s.replies.refuseUnserved(requestID, s.mirror.Ready()) {
		return
	}
	if !s.budgets.TakeUserWrite(s.env.Now()) {
		s.replies.shedLoad(requestID)
		return
	}
	deadline := s.env.Now().Add(tuning.UserRequestTimeout)
	if entry, ok := s.mirror.Get(storage.JobKey(jobID)); ok {
		s.cancelRecord(requestID, jobID, &entry, deadline)
		return
	}
	s.cancelFromStore(requestID, jobID, deadline)
}

// cancelFromStore cancels a job by the record that the store has now.
func (s *Service) cancelFromStore(requestID uint64, jobID protocol.JobID, deadline time.Time) {
	s.lookups.read(requestID, storage.JobKey(jobID), deadline, func(entry *protocol.Entry) {
		if entry != nil {
			s.cancelRecord(requestID, jobID, entry, deadline)
			return
		}
		s.answerFinished(requestID, jobID, deadline)
	})
}

// answerFinished answers the cancellation of a job that has no unfinished record.
func (s *Service) answerFinished(requestID uint64, jobID protocol.JobID, deadline time.Time) {
	s.lookups.job(requestID, jobID, deadline, func(status *protocol.Status) {
		switch {
		case status == nil:
			s.replies.UnknownJob(requestID)
		case status.Phase != protocol.PhaseDone && status.Phase != protocol.PhaseCancelled:
			s.replies.Unavailable(requestID, reasonTryAgain)
		default:
			s.replies.Accepted(requestID, protocol.Accepted{ID: jobID, Phase: status.Phase})
		}
	})
}

// cancelRecord marks a job's record as cancelled, unless it is.
func (s *Service) cancelRecord(requestID uint64, jobID protocol.JobID, entry *protocol.Entry, deadline time.Time) {
	record, err := storage.DecodeJob(entry.Value)
	if err != nil {
		s.replies.Unavailable(requestID, reasonUnreadableRecord)
		return
	}
	if record.Cancelled {
		s.confirmCancellation(requestID, jobID) // by a transaction whose answer was lost, perhaps
		return
	}
	record.Cancelled, record.Writer = true, s.env.UniqueName()
	if record.Seq == 0 {
		record.Seq = entry.Revision
	}
	txn := protocol.Transaction{
		Conditions: []protocol.Condition{{Key: entry.Key, Revision: entry.Revision}},
		Changes:    []protocol.Change{{Set: entry.Key, Value: storage.Encode(record)}},
	}
	s.store.Transact(txn, func(result kv.TransactionResult) {
		switch {
		case result.Outcome == kv.Done:
			s.confirmCancellation(requestID, jobID)
		case (result.Outcome == kv.ConditionFailed || result.Outcome == kv.Unknown) && s.env.Now().Before(deadline):
			s.cancelFromStore(requestID, jobID, deadline)
		default:
			s.replies.Unavailable(requestID, reasonStoreSilent)
		}
	})
}

// confirmCancellation tells the leader and the user of a cancellation that is in the records.
func (s *Service) confirmCancellation(requestID uint64, jobID protocol.JobID) {
	s.env.AnnounceCancellation(jobID)
	s.replies.Accepted(requestID, protocol.Accepted{ID: jobID, Phase: protocol.PhaseCancelled})
}
