package scheduler

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// reserveMachines keeps the free machines of the zone where the gang lacks least from
// jobs behind it in the queue, no more of them than it needs.
func (c *cycle) reserveMachines(job *cluster.Job) {
	var best []candidate
	most := 0
	for _, zone := range c.state.Config.Cluster.Zones {
		list := c.candidates(job, zone)
		if tasks := countTasks(list); tasks > most {
			best, most = list, tasks
		}
	}
	for _, place := range pack(best, len(job.Tasks)) {
		if place.machine.ReservedFor == nil {
			place.machine.ReserveFor(job, c.state.Now().Add(2*tuning.MaxSchedulingInterval))
		}
	}
}

// releaseObsoleteReservations ends the reservations that have expired or whose job is over or does
// not wait any more.
func (sc *Scheduler) releaseObsoleteReservations() {
	now := sc.state.Now()
	for _, machine := range sc.state.OrderedMachines {
		if job := machine.ReservedFor; job != nil && (now.After(machine.ReservedUntil) || !sc.needsReservation(job)) {
			machine.ReleaseReservation()
		}
	}
}

// needsReservation says whether a job waits, or will once its present attempt has ended.
func (sc *Scheduler) needsReservation(job *cluster.Job) bool {
	if job.Finished || job.Cancelled {
		return false
	}
	return job.Stopping || sc.WaitingTasks(job) > 0
}
