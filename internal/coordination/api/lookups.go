package api

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/answers"
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
// not exist, and with the time when the read was sent. It retries until the request's deadline while
// responses are lost. If the store gives no usable response, it replies that the request is
// unavailable and does not call done.
func (l *lookups) read(req request, key string, done func(entry *protocol.Entry, sentAt time.Time)) {
	sentAt := l.env.Now()
	l.store.Get(key, func(result kv.GetResult) {
		switch {
		case result.Outcome == kv.Done && !result.Malformed:
			done(&result.Entry, sentAt)
		case result.Outcome == kv.NotFound:
			done(nil, sentAt)
		case result.Outcome == kv.Unknown && l.env.Now().Before(req.deadline):
			l.read(req, key, done)
		default:
			l.replies.unavailable(req, reasonStoreNotResponding)
		}
	})
}

// answer replies to a request with the state of its job in the store. It reads the main record first:
// a job moves from its main record to its final record and never back, so one of the two reads finds
// it.
func (l *lookups) answer(req request) {
	l.read(req, storage.JobKey(req.job), func(entry *protocol.Entry, sentAt time.Time) {
		if entry == nil {
			l.answerFinished(req, sentAt)
			return
		}
		record, err := storage.DecodeJob(entry.Value)
		if err != nil {
			l.replies.unavailable(req, reasonMalformedRecord)
			return
		}
		l.replies.tell(req, answers.State{Status: record.Status(), Revision: entry.Revision,
			ReachedBy: record.ReachedBy(entry.Revision), SentAt: sentAt})
	})
}

// answerFinished replies to a request whose job had no main record in a read that was sent at the
// given time: the job is finished, or does not exist.
func (l *lookups) answerFinished(req request, sentAt time.Time) {
	l.read(req, storage.FinalRecordKey(req.job), func(entry *protocol.Entry, _ time.Time) {
		if entry == nil {
			l.replies.tell(req, answers.State{Status: protocol.Status{ID: req.job}, SentAt: sentAt})
			return
		}
		var final storage.FinalRecord
		if protocol.Unmarshal(entry.Value, &final) != nil || final.Phase == "" {
			l.replies.unavailable(req, reasonMalformedRecord)
			return
		}
		l.replies.tell(req, l.finished.add(req.job, final, entry.Revision))
	})
}

// confirmUnknown replies to a request whose job had no record, if it still has none. One comparison shows
// that sooner than two reads.
func (l *lookups) confirmUnknown(req request) {
	sentAt := l.env.Now()
	txn := protocol.Transaction{Conditions: unknownConditions(req.job)}
	l.store.Transact(txn, func(result kv.TransactionResult) {
		switch {
		case result.Outcome == kv.Done:
			l.replies.tell(req, answers.State{Status: protocol.Status{ID: req.job}, SentAt: sentAt})
		case result.Outcome == kv.ConditionFailed || result.Outcome == kv.Unknown:
			l.replies.readAgain(req)
		default:
			l.replies.unavailable(req, reasonStoreNotResponding)
		}
	})
}

// unknownConditions returns the conditions that a job has neither a main record nor a final record.
func unknownConditions(job protocol.JobID) []protocol.Condition {
	return []protocol.Condition{{Key: storage.JobKey(job)}, {Key: storage.FinalRecordKey(job)}}
}
