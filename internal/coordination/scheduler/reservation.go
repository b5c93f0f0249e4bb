package scheduler

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// reserveMachines keeps the free machines of the zone where the gang lacks least from
// jobs behind it in the queue, no more of them than it needs.
func (sc *Scheduler) reserveMachines(j *cluster.Job) {
	var best []Candidate
	count := 0
	for _, zone := range sc.state.Config.Cluster.Zones {
		list := sc.candidates(j, zone)
		n := 0
		for _, s := range list {
			n += s.tasks
		}
		if n > count {
			best, count = list, n
		}
	}
	for _, s := range pack(best, len(j.Tasks)) {
		if s.machine.ReservedFor == nil {
			s.machine.ReserveFor(j, sc.state.Now().Add(2*tuning.PlanIdle))
		}
	}
}
