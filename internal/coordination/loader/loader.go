// Package loader builds the cluster model from the stored records: all of them at a
// failover, then what others write, as the watch shows it. A job with a record that cannot
// be read is quarantined: kept as it is.
//
// It writes nothing and sends nothing. What it finds that no record needs any more it
// leaves to the committer.
package loader

import (
	"log/slog"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/commit"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// Mirror is the node's copy of the stored records.
type Mirror interface {
	// Each goes over the records with a prefix, in no order.
	Each(prefix string, do func(protocol.Entry))
}

// Environment is what loading needs of the leader.
type Environment interface {
	// JobLoaded says that a job was entered into the model.
	JobLoaded(spec *protocol.Job)
	// CheckEnded checks whether a job's attempt, or the whole job, is over.
	CheckEnded(job *cluster.Job)
	// CancelJob takes a job's cancellation.
	CancelJob(job *cluster.Job)
	// DropUncommitted gives up a job's attempts that are not committed.
	DropUncommitted(job *cluster.Job)
	// MachinesDeleted takes machines out of all accounts that are gone for certain.
	MachinesDeleted(machines ...protocol.MachineID)
	// RequestScheduling has the next scheduling cycle run soon.
	RequestScheduling()
}

// Loader keeps the model up with the stored records.
type Loader struct {
	state     *cluster.State
	committer *commit.Committer
	env       Environment
	log       *slog.Logger

	quarantined     map[protocol.JobID]bool // jobs with a record that cannot be read
	loggedMalformed map[protocol.JobID]bool // jobs of which a record that makes no sense was logged
}

// New makes a loader of records into a model that is empty yet.
func New(state *cluster.State, committer *commit.Committer, env Environment, log *slog.Logger) *Loader {
	return &Loader{
		state: state, committer: committer, env: env, log: log,
		quarantined: map[protocol.JobID]bool{}, loggedMalformed: map[protocol.JobID]bool{},
	}
}

// ObserveChange takes a change of a record that the watch shows.
func (ld *Loader) ObserveChange(change *protocol.WatchEvent) {
	if ld.committer.ObserveChange(change) {
		return
	}
	id, isJob := storage.ParseJobKey(change.Set)
	if !isJob {
		return
	}
	job := ld.state.Jobs[id]
	if job != nil && change.Revision <= job.Records.Revisions[0] {
		return
	}
	if job != nil && ld.committer.Wrote(change.Value) {
		return // our own write, whose answer is on its way
	}
	record, err := storage.DecodeJob(change.Value)
	if err != nil {
		ld.Quarantine(id, err)
		return
	}
	if job == nil {
		ld.env.CheckEnded(ld.AddJob(record, change.Revision))
		ld.env.RequestScheduling()
		return
	}
	ld.Merge(job, record, change.Revision)
}

// Merge takes a job's own record that a peer may have written: what it may have changed is
// that the job is cancelled.
func (ld *Loader) Merge(job *cluster.Job, record *storage.Job, revision protocol.Revision) {
	job.Records.Revisions[0] = max(job.Records.Revisions[0], revision)
	if record.Cancelled {
		ld.env.CancelJob(job)
	}
}

// Quarantine has a job kept as it is because a record of it cannot be read: one of a
// later version, or a damaged one. Nothing of it is written, deleted, placed or stopped
// except that a job whose own record was read can still be cancelled.
func (ld *Loader) Quarantine(id protocol.JobID, err error) {
	if ld.quarantined[id] {
		return
	}
	ld.quarantined[id] = true
	ld.log.Error("record cannot be read, job is quarantined", "job", id, "error", err)
	if job := ld.state.Jobs[id]; job != nil {
		job.Records.Quarantined = true
		ld.env.DropUncommitted(job)
	}
}

// Quarantined says whether a job has a record that cannot be read.
func (ld *Loader) Quarantined(id protocol.JobID) bool { return ld.quarantined[id] }

// logMalformed logs what makes no sense in the records of a job, once for each job.
func (ld *Loader) logMalformed(event string, job *cluster.Job, task int) {
	if ld.loggedMalformed[job.ID] {
		return
	}
	if len(ld.loggedMalformed) >= tuning.MaxRememberedLogKeys {
		clear(ld.loggedMalformed)
	}
	ld.loggedMalformed[job.ID] = true
	ld.log.Error(event, "job", job.ID, "task", task)
}
