package api

import (
	"encoding/json"
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// read reads one key; found is called with nil if it does not exist, and not
// at all if the store does not say.
func (s *Service) read(requestID uint64, key string, deadline time.Time, found func(entry *protocol.Entry)) {
	s.store.Get(key, func(result kv.GetResult) {
		switch {
		case result.Outcome == kv.Done && !result.Malformed:
			found(&result.Entry)
		case result.Outcome == kv.NotFound:
			found(nil)
		case result.Outcome == kv.Unknown && s.env.Now().Before(deadline):
			s.read(requestID, key, deadline, found)
		default:
			s.replies.Unavailable(requestID, reasonStoreSilent)
		}
	})
}

// lookUp reads a job's state from the store itself. The unfinished record is read first: a
// job moves from there to its final record and never back, so one of the two reads finds it.
func (s *Service) lookUp(requestID uint64, jobID protocol.JobID, deadline time.Time, found func(status *protocol.Status)) {
	s.read(requestID, storage.JobKey(jobID), deadline, func(entry *protocol.Entry) {
		if entry == nil {
			s.lookUpFinished(requestID, jobID, deadline, found)
			return
		}
		record, err := storage.DecodeJob(entry.Value)
		if err != nil {
			s.replies.Unavailable(requestID, reasonUnreadableRecord)
			return
		}
		status := record.Status()
		found(&status)
	})
}

// lookUpFinished reads a job's final record.
func (s *Service) lookUpFinished(requestID uint64, jobID protocol.JobID, deadline time.Time, found func(status *protocol.Status)) {
	s.read(requestID, storage.FinalKey(jobID), deadline, func(entry *protocol.Entry) {
		if entry == nil {
			found(nil)
			return
		}
		var final storage.Final
		if json.Unmarshal(entry.Value, &final) != nil || final.Phase == "" {
			s.replies.Unavailable(requestID, reasonUnreadableRecord)
			return
		}
		s.JobFinished(jobID, final)
		status := finishedStatus(jobID, final)
		found(&status)
	})
}

func finishedStatus(jobID protocol.JobID, final storage.Final) protocol.Status {
	return protocol.Status{ID: jobID, Phase: final.Phase, Done: final.Done}
}
