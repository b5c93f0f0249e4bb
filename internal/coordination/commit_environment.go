package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"golang.org/x/time/rate"
)

// leaderStore is the key-value store as a leader uses it: what is answered after it has
// stepped down is dropped.
type leaderStore struct{ l *leader }

// Transact carries out a transaction on conditions.
func (s leaderStore) Transact(txn protocol.Transaction, done func(kv.TransactionResult)) {
	s.l.n.store.Transact(txn, func(result kv.TransactionResult) {
		if s.l.n.lead == s.l {
			done(result)
		}
	})
}

// TransactEncoded implements commit.Store.
func (s leaderStore) TransactEncoded(txn []byte, done func(kv.TransactionResult)) {
	s.l.n.store.TransactEncoded(txn, func(result kv.TransactionResult) {
		if s.l.n.lead == s.l {
			done(result)
		}
	})
}

// Get implements commit.Store.
func (s leaderStore) Get(key string, done func(kv.GetResult)) {
	s.l.n.store.Get(key, func(result kv.GetResult) {
		if s.l.n.lead == s.l {
			done(result)
		}
	})
}

// WriteBudget implements commit.Store.
func (s leaderStore) WriteBudget() *rate.Limiter { return s.l.n.budgets.writes }

// NoteThrottled implements commit.Store.
func (s leaderStore) NoteThrottled(changes int) time.Duration {
	return s.l.n.budgets.throttled(s.l.n.now, changes)
}

// PeersKnow implements commit.Environment. Once the store's limits are known to be lowered,
// which happens after the upgrade, a peer that is down does not count: a job must not wait
// for its return.
func (l *leader) PeersKnow(level uint64) bool {
	if l.n.storeLimits.Lowered() {
		return l.n.peers.AllLinkedKnow(level)
	}
	return l.n.peers.AllKnow(level)
}

// StepDown implements commit.Environment.
func (l *leader) StepDown(reason string) { l.n.election.StepDown(reason) }

// DropAttempt implements commit.Outcomes.
func (l *leader) DropAttempt(attempt *cluster.Attempt) { l.lifecycle.RemoveGone(attempt) }

// DropUncommitted implements commit.Outcomes: the places are planned again.
func (l *leader) DropUncommitted(job *cluster.Job) {
	for _, attempt := range job.SortedAttempts() {
		if !attempt.Committed {
			l.lifecycle.RemoveGone(attempt)
		}
	}
}

// JobCommitted implements commit.Outcomes: commands that waited for the records leave.
func (l *leader) JobCommitted(job *cluster.Job, placed []*cluster.Attempt) {
	for _, attempt := range placed {
		if job.Attempts[attempt.Key] != attempt {
			continue
		}
		attempt.MarkCommitted()
		l.CommandsPending(attempt.Machine)
	}
	for _, attempt := range placed {
		if attempt.Stopping && !attempt.StartSent {
			l.lifecycle.RemoveGone(attempt) // stopped before its start could leave
		}
	}
	for _, attempt := range job.SortedAttempts() {
		l.CommandsPending(attempt.Machine) // a gang's starts wait for all of its records
	}
	l.lifecycle.CheckEnded(job)
}

// JobFinished implements commit.Outcomes.
func (l *leader) JobFinished(id protocol.JobID, final storage.Final) { l.n.api.JobFinished(id, final) }

// MergeRecord implements commit.Outcomes.
func (l *leader) MergeRecord(job *cluster.Job, record *storage.Job, revision protocol.Revision) {
	l.loader.Merge(job, record, revision)
}

// QuarantineJob implements commit.Outcomes.
func (l *leader) QuarantineJob(id protocol.JobID, err error) { l.loader.Quarantine(id, err) }

// TransactionCommitted implements commit.Outcomes.
func (l *leader) TransactionCommitted(latency time.Duration) {
	l.n.metrics.Commits++
	l.n.metrics.CommitSeconds = append(l.n.metrics.CommitSeconds, latency.Seconds())
	l.agents.Delivery.SendPending()
}

// TransactionConflicted implements commit.Outcomes.
func (l *leader) TransactionConflicted() { l.n.metrics.CommitConflicts++ }
