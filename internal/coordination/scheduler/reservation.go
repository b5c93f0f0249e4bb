package scheduler

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// reserveMachines reserves free machines for a gang, so that jobs behind it in the queue cannot
// take them. It chooses the zone in which most of the gang's tasks fit, and reserves no
// more machines there than the gang needs. It reserves none where the gang cannot be expected to
// get the rest, and none that gangs have held for long: these go to the jobs behind the gang, which
// keeps its place in the queue. The chosen machines are not deleted meanwhile.
func (sc *Scheduler) reserveMachines(job *cluster.Job) {
	now := sc.state.Now()
	list, mayComplete := sc.machinesForGang(job)
	for _, cand := range pack(list, len(job.Tasks)) {
		machine := cand.machine
		machine.KeepUntil = now.Add(holdTime)
		if mayComplete && machine.ReservedFor == nil && machine.Hold.Extend(now, holdTime, tuning.MaxHoldTime, tuning.HoldPause) {
			machine.ReserveFor(job, now.Add(2*tuning.MaxSchedulingInterval))
		}
	}
}

// holdTime is how long a reservation for a waiting gang lasts at most unless it is renewed: it ends
// in the first cycle after two of the longest pauses between cycles.
const holdTime = 3 * tuning.MaxSchedulingInterval

// machinesForGang returns the machines with free capacity for a gang in the zone in which most of
// its tasks fit, and whether the gang can be expected to get the rest. Zones in which it can come
// first.
func (sc *Scheduler) machinesForGang(job *cluster.Job) (best []candidate, mayComplete bool) {
	boundToZone := job.Spec.OneZone || job.Spec.Zone != ""
	completeAnywhere := !boundToZone && sc.mayComplete(job, "")
	maxTasks := 0
	for _, zone := range sc.state.Config.Cluster.Zones {
		list := sc.currentCycle().candidates(job, zone)
		tasks := countTasks(list)
		if tasks == 0 {
			continue
		}
		complete := completeAnywhere || boundToZone && sc.mayComplete(job, zone)
		if complete && !mayComplete || complete == mayComplete && tasks > maxTasks {
			best, maxTasks, mayComplete = list, tasks, complete
		}
	}
	return best, mayComplete
}

// mayComplete reports whether all tasks of a gang can be expected to fit in a zone, or in all zones
// together if zone is "", before long: on capacity that is free, preemptible or used by tasks that
// end soon, on machines that boot, or on machines that the cloud may still create.
func (sc *Scheduler) mayComplete(job *cluster.Job, zone protocol.ZoneName) bool {
	if sc.env.MachinesObtainable(job, zone) {
		return true
	}
	missing := len(job.Tasks)
	sc.currentCycle().machinesExamined += len(sc.state.OrderedMachines)
	for _, machine := range sc.state.OrderedMachines {
		if zone != "" && machine.Zone != zone || !sc.mayServe(machine, job) {
			continue
		}
		capacity := sc.capacitySoon(machine, job)
		if missing -= capacity.Fit(job.Spec, missing); missing == 0 {
			return true
		}
	}
	return false
}

// mayServe reports whether a machine can be expected to take tasks of a job. A machine that boots
// counts.
func (sc *Scheduler) mayServe(machine *cluster.Machine, job *cluster.Job) bool {
	if machine.Cordoned || machine.Deleting || sc.state.TypeOf(machine) == nil || machine.ReservedFor != nil && machine.ReservedFor != job {
		return false
	}
	if machine.Agent.Heard && !sc.state.HeardRecently(machine) {
		return false
	}
	return cluster.SpecAllows(job.Spec, machine.TypeName, machine.Zone, machine.Spot)
}

// capacitySoon returns the capacity of a machine that is free for a job, will be soon, or can be
// preempted for it.
func (sc *Scheduler) capacitySoon(machine *cluster.Machine, job *cluster.Job) cluster.Resources {
	capacity := sc.state.FreeResources(machine)
	for _, attempt := range machine.Attempts {
		if attempt.Stopping || sc.endsSoon(attempt) || mayPreempt(attempt, job, sc.state.Quotas) {
			capacity.AddTasks(attempt.Job.Spec, 1)
		}
	}
	return capacity
}

// endsSoon reports whether an attempt can be expected to end within tuning.ReservationHorizon. One
// that has run for twice its estimate may go on for any time.
func (sc *Scheduler) endsSoon(attempt *cluster.Attempt) bool {
	spec := attempt.Job.Spec
	if spec.Service() {
		return false
	}
	estimate, ran := config.Seconds(spec.EstimateS), time.Duration(0)
	if !attempt.RunningSince.IsZero() {
		ran = sc.state.Now().Sub(attempt.RunningSince)
	}
	return ran <= 2*estimate && estimate-ran <= tuning.ReservationHorizon
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
