package autoscaler

import (
	"slices"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// scaleOut requests the machines that waiting jobs need in addition to the capacity that
// exists, has been requested or is being freed.
func (as *Autoscaler) scaleOut() {
	plan := as.newScaleOutPlan()
	for _, demand := range as.Demand {
		if demand.Job.Finished || demand.Job.Cancelled {
			continue
		}
		if demand.Job.Spec.Gang() && demand.Job.Spec.OneZone {
			plan.planGang(demand)
		} else {
			plan.planTasks(demand)
		}
	}
	as.Demand = nil
	as.env.RequestScheduling()
	if !as.state.Now().Before(as.reserveNotBefore) {
		as.reserveNotBefore = as.state.Now().Add(tuning.ZoneReserveInterval)
		as.planZoneReserve(plan.toRequest)
	}
	as.requests.submitAll(plan.toRequest)
}

// newScaleOutPlan returns a plan with the capacity that exists or has been requested.
func (as *Autoscaler) newScaleOutPlan() *scaleOutPlan {
	as.machinesPerZone = map[protocol.ZoneName]int{}
	plan := &scaleOutPlan{
		autoscaler:     as,
		slots:          map[protocol.ZoneName][]*capacitySlot{},
		toRequest:      map[Offer]int{},
		anyWithoutGPUs: slices.ContainsFunc(as.Demand, func(d scheduler.Demand) bool { return d.Job.Spec.GPUs == 0 }),
	}
	for _, machine := range as.state.OrderedMachines {
		as.machinesPerZone[machine.Zone]++
		if as.countsAsCapacity(machine) {
			plan.addSlot(&capacitySlot{machine: machine, offer: offerOf(machine), free: as.freeSoon(machine)})
		}
	}
	for _, request := range as.requests.inFlight {
		for range request.body.Count {
			plan.addSlot(&capacitySlot{offer: request.offer, free: as.capacityOf(request.offer)})
		}
	}
	return plan
}

// countsAsCapacity reports whether waiting jobs can expect to use a machine. A machine that is
// booting, or has not sent a new leader a heartbeat yet, counts too: otherwise a replacement
// for it would be requested. One that is tried again after a quarantine does not count.
func (as *Autoscaler) countsAsCapacity(machine *cluster.Machine) bool {
	if as.state.TypeOf(machine) == nil || machine.Deleting || machine.Cordoned || machine.Trial != nil {
		return false
	}
	if as.Booting(machine) || !machine.Agent.Heard && as.state.Now().Sub(as.state.LeadingSince) < as.state.SilenceTimeout() {
		return true
	}
	return as.state.HeardRecently(machine) && !as.state.NotReceiving(machine) && !as.state.NotReporting(machine) &&
		(machine.Agent.TokenConfirmed || machine.Recorded)
}

// freeSoon returns the capacity that is free on a machine or will be before a new machine would
// have booted.
func (as *Autoscaler) freeSoon(machine *cluster.Machine) cluster.Resources {
	free := as.state.FreeResources(machine)
	boot := config.Seconds(as.state.TypeOf(machine).BootS)
	for _, attempt := range machine.Attempts {
		if attempt.Stopping || as.endsWithin(attempt, boot) {
			free.AddTasks(attempt.Job.Spec, 1)
		}
	}
	return free
}

// endsWithin reports whether an attempt is likely to end within a time span, judging by the
// user's estimate. It returns false for an attempt that has exceeded its estimate, which may take
// as long again.
func (as *Autoscaler) endsWithin(attempt *cluster.Attempt, span time.Duration) bool {
	if attempt.RunningSince.IsZero() || attempt.Job.Spec.Service() {
		return false
	}
	estimate := config.Seconds(attempt.Job.Spec.EstimateS * tuning.EstimateSlackFactor)
	remaining := estimate - as.state.Now().Sub(attempt.RunningSince)
	return remaining > 0 && remaining <= span
}

// hasSlack reports whether a job's deadline leaves time to wait for capacity that other jobs
// free: a machine that is requested later would still boot in time.
func (as *Autoscaler) hasSlack(job *cluster.Job) bool {
	if job.Spec.DeadlineS <= 0 || job.Spec.Gang() || job.Spec.Service() {
		return false
	}
	boot := 0.0
	for _, machineType := range as.state.Types {
		if machineType.Fits(job.Spec) {
			boot = max(boot, machineType.BootS)
		}
	}
	need := config.Seconds(job.Spec.EstimateS*tuning.EstimateSlackFactor + as.state.ImageFetchSeconds(job.Spec) + boot*tuning.BootTimeSlackFactor)
	return as.state.Now().Add(need).Before(job.SubmittedAt.Add(config.Seconds(job.Spec.DeadlineS)))
}
