package api

import (
	"slices"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// confirmedCancellations tracks the cancellations that were confirmed to users and that may
// not have taken effect yet.
type confirmedCancellations struct {
	cfg             *config.Config
	env             Environment
	confirmedAt     map[protocol.JobID]time.Time // when each was first confirmed
	expireThreshold int                          // the number of entries at which old ones are removed
}

// list returns, sorted by ID, the jobs whose cancellation may not have taken effect yet.
func (cc *confirmedCancellations) list() []protocol.JobID {
	cc.expire()
	var jobs []protocol.JobID
	for jobID := range cc.confirmedAt {
		jobs = append(jobs, jobID)
	}
	slices.Sort(jobs)
	return jobs
}

// recordIfCancelled records the job if the phase that a user is about to be told is cancelled.
func (cc *confirmedCancellations) recordIfCancelled(jobID protocol.JobID, phase protocol.Phase) {
	if phase == protocol.PhaseCancelled {
		cc.env.CancellationConfirmed(jobID)
		cc.add(jobID)
	}
}

func (cc *confirmedCancellations) add(jobID protocol.JobID) {
	if _, known := cc.confirmedAt[jobID]; known {
		return
	}
	if len(cc.confirmedAt) >= cc.expireThreshold {
		cc.expire()
		cc.expireThreshold = max(tuning.MaxRememberedCancellations, 2*len(cc.confirmedAt))
	}
	cc.confirmedAt[jobID] = cc.env.Now()
}

// expire removes the cancellations that have taken effect: a cancellation takes CancelS
// seconds at most, plus clock drift.
func (cc *confirmedCancellations) expire() {
	now, maxDelay := cc.env.Now(), config.WithClockDrift(config.Seconds(cc.cfg.Cluster.Agents.CancelS))
	for jobID, at := range cc.confirmedAt {
		if now.Sub(at) > maxDelay {
			delete(cc.confirmedAt, jobID)
		}
	}
}
