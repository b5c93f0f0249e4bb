package api

import (
	"slices"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// confirmedCancellations are the cancellations that users were told of and that may not
// have taken effect yet.
type confirmedCancellations struct {
	cfg             *config.Config
	env             Environment
	jobs            map[protocol.JobID]time.Time // and since when
	expireThreshold int                          // how many of them are kept before old ones are dropped
}

// list is the jobs whose cancellation may not have taken effect yet, in order.
func (cc *confirmedCancellations) list() []protocol.JobID {
	cc.expire()
	var jobs []protocol.JobID
	for jobID := range cc.jobs {
		jobs = append(jobs, jobID)
	}
	slices.Sort(jobs)
	return jobs
}

// recordIfCancelled records a cancellation that a user is being told of.
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

// expire drops the cancellations that have taken effect.
func (cc *confirmedCancellations) expire() {
	now, effective := cc.env.Now(), config.WithClockDrift(config.Seconds(cc.cfg.Cluster.Agents.CancelS))
	for jobID, at := range cc.jobs {
		if now.Sub(at) > effective {
			delete(cc.jobs, jobID)
		}
	}
}
