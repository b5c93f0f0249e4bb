package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// commitOutcomes implements commit.Outcomes.
type commitOutcomes struct{ l *leader }

// DropAttempt implements commit.Outcomes.
func (co commitOutcomes) DropAttempt(attempt *cluster.Attempt) {
	co.l.lifecycle.RemoveGone(attempt, lifecycle.StartNotSent)
}

// DropUncommitted implements commit.Outcomes.
func (co commitOutcomes) DropUncommitted(job *cluster.Job) { co.l.dropUncommitted(job) }

// JobCommitted implements commit.Outcomes. It releases the commands that waited for the commit.
func (co commitOutcomes) JobCommitted(job *cluster.Job, placed []*cluster.Attempt) {
	for _, attempt := range placed {
		if job.Attempts[attempt.Key] != attempt {
			continue
		}
		attempt.MarkCommitted()
		co.l.agents.Delivery.Enqueue(attempt.Machine)
	}
	for _, attempt := range placed {
		if attempt.Stopping && !attempt.StartSent {
			co.l.lifecycle.RemoveGone(attempt, lifecycle.StartNotSent) // stopped before its start was sent
		}
	}
	for _, attempt := range job.SortedAttempts() {
		co.l.agents.Delivery.Enqueue(attempt.Machine) // a gang's starts wait for all of its records
	}
	co.l.lifecycle.CheckEnded(job)
}

// JobFinished implements commit.Outcomes.
func (co commitOutcomes) JobFinished(id protocol.JobID, final storage.FinalRecord) {
	co.l.n.api.JobFinished(id, final)
}

// MergeRecord implements commit.Outcomes.
func (co commitOutcomes) MergeRecord(job *cluster.Job, record *storage.Job, revision protocol.Revision) {
	co.l.loader.Merge(job, record, revision)
}

// QuarantineJob implements commit.Outcomes.
func (co commitOutcomes) QuarantineJob(id protocol.JobID, err error) { co.l.loader.Quarantine(id, err) }

// TransactionCommitted implements commit.Outcomes.
func (co commitOutcomes) TransactionCommitted(revision protocol.Revision, latency time.Duration) {
	co.l.agents.Delivery.ObserveCommit(revision)
	co.l.n.metrics.Commits++
	co.l.n.metrics.CommitSeconds = append(co.l.n.metrics.CommitSeconds, latency.Seconds())
	co.l.agents.Delivery.SendPending()
}

// TransactionConflicted implements commit.Outcomes.
func (co commitOutcomes) TransactionConflicted() { co.l.n.metrics.CommitConflicts++ }
