package scheduler

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// reserveMachines keeps the free machines of the zone where the gang lacks least from
// jobs behind it in the queue, no more of them than it needs.
func (sc *Scheduler) reserveMachines(job *cluster.Job) {
	var best []Candidate
	count := 0
	for _, zone := range sc.state.Config.Cluster.Zones {
		list := sc.candidates(job, zone)
		n := 0
		for _, s := range list {
			n += s.tasks
		}
		if n > count {
			best, count = list, n
		}
	}
	for _, s := range pack(best, len(job.Tasks)) {
		if s.machine.ReservedFor == nil {
			s.machine.ReserveFor(job, sc.state.Now().Add(2*tuning.MaxSchedulingInterval))
		}
	}
}
