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
	jobs     map[protocol.JobID]time.Time // and since when
	expireAt int                          // how many of them are kept before old ones are dropped
}

// ConfirmedCancellations lists the jobs that users were told are cancelled, in order,
// without those whose cancellation has taken effect by now.
func (s *Service) ConfirmedCancellations() []protocol.JobID {
	s.expireConfirmed()
	var jobs []protocol.JobID
	for jobID := range s.confirmed.jobs {
		jobs = append(jobs, jobID)
	}
	slices.Sort(jobs)
	return jobs
}

func (s *Service) noteIfCancelled(jobID protocol.JobID, phase protocol.Phase) {
	if phase == protocol.PhaseCancelled {
		s.noteConfirmed(jobID)
	}
}

// noteConfirmed keeps note of a cancellation that a user is being told of.
func (s *Service) noteConfirmed(jobID protocol.JobID) {
	s.env.CancellationConfirmed(jobID)
	c := &s.confirmed
	if _, known := c.jobs[jobID]; known {
		return
	}
	if len(c.jobs) >= c.expireAt {
		s.expireConfirmed()
		c.expireAt = max(tuning.MaxRememberedCancellations, 2*len(c.jobs))
	}
	c.jobs[jobID] = s.env.Now()
}

// expireConfirmed drops the cancellations that have taken effect.
func (s *Service) expireConfirmed() {
	now, effective := s.env.Now(), config.WithClockDrift(config.Seconds(s.cfg.Cluster.Agents.CancelS))
	for jobID, at := range s.confirmed.jobs {
		if now.Sub(at) > effective {
			delete(s.confirmed.jobs, jobID)
		}
	}
}
