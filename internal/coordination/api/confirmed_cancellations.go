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
	jobs            map[protocol.JobID]time.Time // with the time of the first confirmation
	expireThreshold int                          // the number of entries at which old ones are removed
}

// list returns, sorted by ID, the jobs whose cancellation may not have taken effect yet.
func (cc *confirmedCancellations) list() []protocol.JobID {
	cc.expire()
	var jobs []protocol.JobID
	for jobID := range cc.jobs {
		jobs = append(jobs, jobID)
	}
	slices.Sort(jobs)
	return jobs
}

// recordIfCancelled records a job as cancelled if its phase says so. It is called before a user
// is told the phase.
func (cc *confirmedCancellations) recordIfCancelled(jobID protocol.JobID, phase protocol.Phase) {
	if phase == protocol.PhaseCancelled {
		cc.env.CancellationConfirmed(jobID)
		cc.add(jobID)
	}
}

func (cc *confirmedCancellations) add(jobID protocol.JobID) {
	if _, known := cc.jobs[jobID]; known {
		return
	}
	if len(cc.jobs) >= cc.expireThreshold {
		cc.expire()
		cc.expireThreshold = max(tuning.MaxRememberedCancellations, 2*len(cc.jobs))
	}
	cc.jobs[jobID] = cc.env.Now()
}

// expire removes the cancellations that have taken effect: a cancellation takes CancelS
// seconds at most, plus clock drift.
func (cc *confirmedCancellations) expire() {
	now, maxDelay := cc.env.Now(), config.WithClockDrift(config.Seconds(cc.cfg.Cluster.Agents.CancelS))
	for jobID, at := range cc.jobs {
		if now.Sub(at) > maxDelay {
			delete(cc.jobs, jobID)
		}
	}
}
