package scheduler

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// reserveMachines reserves free machines for a gang, so that jobs behind it in the queue cannot
// take them. It chooses the zone in which most of the gang's tasks fit, and reserves no
// more machines there than the gang needs.
func (c *cycle) reserveMachines(job *cluster.Job) {
	var best []candidate
	maxTasks := 0
	for _, zone := range c.state.Config.Cluster.Zones {
		list := c.candidates(job, zone)
		if tasks := countTasks(list); tasks > maxTasks {
			best, maxTasks = list, tasks
		}
	}
	for _, cand := range pack(best, len(job.Tasks)) {
		if cand.machine.ReservedFor == nil {
			cand.machine.ReserveFor(job, c.state.Now().Add(2*tuning.MaxSchedulingInterval))
		}
	}
}

// releaseObsoleteReservations releases the reservations that have expired and those whose job
// has ended or no longer waits.
func (sc *Scheduler) releaseObsoleteReservations() {
	now := sc.state.Now()
	for _, machine := range sc.state.OrderedMachines {
		if job := machine.ReservedFor; job != nil && (now.After(machine.ReservedUntil) || !sc.needsReservation(job)) {
			machine.ReleaseReservation()
		}
	}
}

// needsReservation reports whether a job waits, or will wait once its current attempt has ended.
func (sc *Scheduler) needsReservation(job *cluster.Job) bool {
	if job.Finished || job.Cancelled {
		return false
	}
	return job.Stopping || sc.WaitingTasks(job) > 0
}
