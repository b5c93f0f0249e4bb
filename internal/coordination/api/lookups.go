package api

import (
	"encoding/json"
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// lookups reads jobs' records from the store itself, for requests that the mirror cannot
// answer. It answers those whose record cannot be read.
type lookups struct {
	store    kv.Client
	env      Environment
	replies  *responder
	finished *finishedJobs
}

// read reads one key; found is called with nil if it does not exist, and not
// at all if the store does not say.
func (l *lookups) read(requestID uint64, key string, deadline time.Time, found func(entry *protocol.Entry)) {
	l.store.Get(key, func(result kv.GetResult) {
		switch {
		case result.Outcome == kv.Done && !result.Malformed:
			found(&result.Entry)
		case result.Outcome == kv.NotFound:
			found(nil)
		case result.Outcome == kv.Unknown && l.env.Now().Before(deadline):
			l.read(requestID, key, deadline, found)
		default:
			l.replies.Unavailable(requestID, reasonStoreNotResponding)
		}
	})
}

// readStatus reads a job's state from the store itself. The unfinished record is read first: a
// job moves from there to its final record and never back, so one of the two reads finds it.
func (l *lookups) readStatus(requestID uint64, jobID protocol.JobID, deadline time.Time, found func(status *protocol.Status)) {
	l.read(requestID, storage.JobKey(jobID), deadline, func(entry *protocol.Entry) {
		if entry == nil {
			l.readFinalStatus(requestID, jobID, deadline, found)
			return
		}
		record, err := storage.DecodeJob(entry.Value)
		if err != nil {
			l.replies.Unavailable(requestID, reasonMalformedRecord)
			return
		}
		status := record.Status()
		found(&status)
	})
}

// readFinalStatus reads a job's final record.
func (l *lookups) readFinalStatus(requestID uint64, jobID protocol.JobID, deadline time.Time, found func(status *protocol.Status)) {
	l.read(requestID, storage.FinalRecordKey(jobID), deadline, func(entry *protocol.Entry) {
		if entry == nil {
			found(nil)
			return
		}
		var final storage.FinalRecord
		if json.Unmarshal(entry.Value, &final) != nil || final.Phase == "" {
			l.replies.Unavailable(requestID, reasonMalformedRecord)
			return
		}
		l.finished.add(jobID, final)
		status := finishedStatus(jobID, final)
		found(&status)
	})
}

// answerStatus answers a status query from the store itself.
func (l *lookups) answerStatus(requestID uint64, jobID protocol.JobID, deadline time.Time) {
	l.readStatus(requestID, jobID, deadline, func(status *protocol.Status) {
		if status == nil {
			l.replies.UnknownJob(requestID)
			return
		}
		l.replies.Status(requestID, *status)
	})
}

// answerResubmission answers the submission of a job that is known already.
func (l *lookups) answerResubmission(requestID uint64, jobID protocol.JobID, deadline time.Time) {
	l.readStatus(requestID, jobID, deadline, func(status *protocol.Status) {
		if status == nil {
			l.replies.Unavailable(requestID, reasonTryAgain)
			return
		}
		l.replies.Accepted(requestID, protocol.Accepted{ID: jobID, Phase: status.Phase})
	})
}
