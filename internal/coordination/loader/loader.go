// Package loader builds the cluster model from the stored records. At a failover it loads all
// records; afterwards it applies the changes by other nodes that the watch delivers. A job with
// a record that cannot be read is quarantined: it is left as it is.
//
// The package writes nothing and sends nothing. It passes the keys of obsolete records to the
// committer for deletion.
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
	// Each calls do for every record whose key has the prefix, in no particular order.
	Each(prefix string, do func(protocol.Entry))
}

// Environment is what the Loader needs from the leader.
type Environment interface {
	// JobLoaded notes that a job was added to the model.
	JobLoaded(spec *protocol.Job)
	// CheckEnded checks whether a job's attempt, or the whole job, has ended.
	CheckEnded(job *cluster.Job)
	// CancelJob marks a job as cancelled and stops its tasks.
	CancelJob(job *cluster.Job)
	// DropUncommitted removes a job's uncommitted attempts from the model.
	DropUncommitted(job *cluster.Job)
	// MachinesDeleted removes machines that are proven gone from the model.
	MachinesDeleted(machines ...protocol.MachineID)
	// RequestScheduling requests that a scheduling cycle runs soon.
	RequestScheduling()
}

// Loader keeps the cluster model up to date with the stored records.
type Loader struct {
	state     *cluster.State
	committer *commit.Committer
	env       Environment
	log       *slog.Logger

	quarantined     map[protocol.JobID]bool // jobs with a record that cannot be read
	loggedMalformed map[protocol.JobID]bool // jobs for which a malformed record was logged
}

// New returns a loader for a cluster model that is still empty.
func New(state *cluster.State, committer *commit.Committer, env Environment, log *slog.Logger) *Loader {
	return &Loader{
		state: state, committer: committer, env: env, log: log,
		quarantined: map[protocol.JobID]bool{}, loggedMalformed: map[protocol.JobID]bool{},
	}
}

// ObserveChange handles a change of a record that the watch delivers.
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
		return // written by this leader; the response is still in transit
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

// Merge merges a job's main record that a peer may have written. The only change that a peer
// makes is to mark the job as cancelled.
func (ld *Loader) Merge(job *cluster.Job, record *storage.Job, revision protocol.Revision) {
	job.Records.Revisions[0] = max(job.Records.Revisions[0], revision)
	if record.Cancelled {
		ld.env.CancelJob(job)
	}
}

// Quarantine leaves a job as it is because one of its records cannot be read: the record is of a
// later version, or malformed. None of the job's records is written or deleted, and none of its
// tasks is placed or stopped. Only a job whose main record was read can still be cancelled.
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

// Quarantined reports whether a job has a record that cannot be read.
func (ld *Loader) Quarantined(id protocol.JobID) bool { return ld.quarantined[id] }

// logMalformed logs a malformed entry in the records of a job, once for each job.
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
