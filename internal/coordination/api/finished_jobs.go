package api

import (
	"github.com/gappond/gappond/internal/coordination/answers"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// finishedJobs caches the final states of jobs, which never change.
type finishedJobs struct {
	finals map[protocol.JobID]storage.FinalRecord
}

// add caches the final state of a job. A full cache is cleared first.
func (fj *finishedJobs) add(jobID protocol.JobID, final storage.FinalRecord) {
	if len(fj.finals) >= tuning.MaxCachedFinalStates {
		clear(fj.finals)
	}
	fj.finals[jobID] = final
}

// state returns the final state of a job and whether it is cached.
func (fj *finishedJobs) state(jobID protocol.JobID) (answers.State, bool) {
	final, ok := fj.finals[jobID]
	return finishedState(jobID, final), ok
}

// finishedState returns the state that a final record shows.
func finishedState(jobID protocol.JobID, final storage.FinalRecord) answers.State {
	return answers.State{Status: protocol.Status{ID: jobID, Phase: final.Phase, Done: final.Done}}
}
