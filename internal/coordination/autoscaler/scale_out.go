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

// scaleOut asks for the machines that waiting jobs lack, beyond those that are
// there, on their way or being emptied for them.
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

// newScaleOutPlan begins with the capacity that is there and on its way.
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

// countsAsCapacity says whether jobs can expect to have a machine. What is booting, or has
// yet to report to a new leader, is not asked for again.
func (as *Autoscaler) countsAsCapacity(machine *cluster.Machine) bool {
	if as.state.TypeOf(machine) == nil || machine.Deleting || machine.Cordoned {
		return false
	}
	if as.Booting(machine) || !machine.Agent.Heard && as.state.Now().Sub(as.state.LeadingSince) < as.state.SilenceTimeout() {
		return true
	}
	return as.state.HeardRecently(machine) && !as.state.NotReceiving(machine) && !as.state.NotReporting(machine) &&
		(machine.Agent.TokenConfirmed || machine.Recorded)
}

// freeSoon is what is free on a machine, or will be before another would be up.
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

// endsWithin says whether an attempt is likely to end within a span, by its
// owner's estimate; one that has outrun its estimate may take as long again.
func (as *Autoscaler) endsWithin(attempt *cluster.Attempt, span time.Duration) bool {
	if attempt.RunningSince.IsZero() || attempt.Job.Spec.Service() {
		return false
	}
	estimate := config.Seconds(attempt.Job.Spec.EstimateS * tuning.EstimateSlackFactor)
	left := estimate - as.state.Now().Sub(attempt.RunningSince)
	return left > 0 && left <= span
}

// hasSlack says whether a job's deadline leaves time to wait for machines that
// others free: asking for one later would still do.
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
