package api

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// lookups reads jobs' records from the store for requests that the mirror cannot answer. If
// a record cannot be read, it replies to the request itself.
type lookups struct {
	store    kv.Client
	env      Environment
	replies  *responder
	finished *finishedJobs
}

// read reads one key from the store and calls done with the entry, or with nil if the key does
// not exist. It retries until the deadline while responses are lost. If the store gives no
// usable response, it replies that the request is unavailable and does not call done.
func (l *lookups) read(requestID uint64, key string, deadline time.Time, done func(entry *protocol.Entry)) {
	l.store.Get(key, func(result kv.GetResult) {
		switch {
		case result.Outcome == kv.Done && !result.Malformed:
			done(&result.Entry)
		case result.Outcome == kv.NotFound:
			done(nil)
		case result.Outcome == kv.Unknown && l.env.Now().Before(deadline):
			l.read(requestID, key, deadline, done)
		default:
			l.replies.Unavailable(requestID, reasonStoreNotResponding)
		}
	})
}

// readStatus reads a job's state from the store. It reads the main record first: a job moves
// from its main record to its final record and never back, so one of the two reads finds it.
func (l *lookups) readStatus(requestID uint64, jobID protocol.JobID, deadline time.Time, done func(status *protocol.Status)) {
	l.read(requestID, storage.JobKey(jobID), deadline, func(entry *protocol.Entry) {
		if entry == nil {
			l.readFinalStatus(requestID, jobID, deadline, done)
			return
		}
		record, err := storage.DecodeJob(entry.Value)
		if err != nil {
			l.replies.Unavailable(requestID, reasonMalformedRecord)
			return
		}
		status := record.Status()
		done(&status)
	})
}

// readFinalStatus reads a job's state from its final record.
func (l *lookups) readFinalStatus(requestID uint64, jobID protocol.JobID, deadline time.Time, done func(status *protocol.Status)) {
	l.read(requestID, storage.FinalRecordKey(jobID), deadline, func(entry *protocol.Entry) {
		if entry == nil {
			done(nil)
			return
		}
		var final storage.FinalRecord
		if protocol.Unmarshal(entry.Value, &final) != nil || final.Phase == "" {
			l.replies.Unavailable(requestID, reasonMalformedRecord)
			return
		}
		l.finished.add(jobID, final)
		status := finishedStatus(jobID, final)
		done(&status)
	})
}

// answerStatus replies to a status query with the job's state in the store.
func (l *lookups) answerStatus(requestID uint64, jobID protocol.JobID, deadline time.Time) {
	l.readStatus(requestID, jobID, deadline, func(status *protocol.Status) {
		if status == nil {
			l.replies.UnknownJob(requestID)
			return
		}
		l.replies.Status(requestID, *status)
	})
}

// answerResubmission replies to the submission of a job that is already known.
func (l *lookups) answerResubmission(requestID uint64, jobID protocol.JobID, deadline time.Time) {
	l.readStatus(requestID, jobID, deadline, func(status *protocol.Status) {
		if status == nil {
			l.replies.Unavailable(requestID, reasonTryAgain)
			return
		}
		l.replies.Accepted(requestID, protocol.Accepted{ID: jobID, Phase: status.Phase})
	})
}
