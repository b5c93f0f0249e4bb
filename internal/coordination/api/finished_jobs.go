package api

import (
	"github.com/gappond/gappond/internal/coordination/answers"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// finishedJobs caches the final states of jobs, which never change.
type finishedJobs struct {
	env    Environment
	states map[protocol.JobID]answers.State
}

// add caches the final state of a job and returns it. revision is that of its record, 0 if it is not
// known. A full cache is cleared first.
func (fj *finishedJobs) add(jobID protocol.JobID, final storage.FinalRecord, revision protocol.Revision) answers.State {
	status := protocol.Status{ID: jobID, Phase: final.Phase, Done: final.Done}
	if known, ok := fj.states[jobID]; ok && known.Status == status {
		return known
	}
	if len(fj.states) >= tuning.MaxCachedFinalStates {
		clear(fj.states)
	}
	state := answers.State{Status: status, Revision: revision, ReachedBy: revision, KnownSince: fj.env.Now()}
	fj.states[jobID] = state
	return state
}

// state returns the final state of a job and whether it is cached.
func (fj *finishedJobs) state(jobID protocol.JobID) (answers.State, bool) {
	state, ok := fj.states[jobID]
	return state, ok
}
