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

// capacitySlot is a machine, there or on its way, in the reckoning of demand.
type capacitySlot struct {
	machine *cluster.Machine // nil while it is only asked for
	offer   Offer
	free    cluster.Resources
}

// serves says whether a job could use the room. Room that the job avoids must
// not count, or it would wait for it instead of for a machine to rent.
func (as *Autoscaler) serves(r *capacitySlot, job *cluster.Job) bool {
	return cluster.Allows(job.Spec, r.offer.TypeName, r.offer.Zone, r.offer.Spot) && (r.machine == nil || !as.state.Avoids(job, r.machine))
}

// ScaleOut asks for the machines that waiting jobs lack, beyond those that are
// there, on their way or being emptied for them.
func (as *Autoscaler) ScaleOut() {
	k := as.newScaleOutPlan()
	for _, d := range as.Demand {
		if d.Job.Finished || d.Job.Cancelled {
			continue
		}
		if d.Job.Spec.Gang() && d.Job.Spec.OneZone {
			k.planGang(d)
		} else {
			k.planTasks(d)
		}
	}
	as.Demand = nil
	as.env.RequestScheduling()
	if !as.state.Now().Before(as.reserveNotBefore) {
		as.reserveNotBefore = as.state.Now().Add(tuning.ZoneReserveInterval)
		as.PlanReserve(k.want)
	}
	as.sendRentals(k.want)
}

// newScaleOutPlan begins with the room that is there and on its way.
func (as *Autoscaler) newScaleOutPlan() *scaleOutPlan {
	as.machinesIn = map[protocol.ZoneName]int{}
	k := &scaleOutPlan{autoscaler: as, slots: map[protocol.ZoneName][]*capacitySlot{}, want: map[Offer]int{},
		anyWithoutGPUs: slices.ContainsFunc(as.Demand, func(d scheduler.Demand) bool { return d.Job.Spec.GPUs == 0 })}
	for _, machine := range as.state.OrderedMachines {
		as.machinesIn[machine.Zone]++
		machineType := as.state.TypeOf(machine)
		if machineType == nil || machine.Deleting || machine.Cordoned {
			continue
		}
		// What is booting, or has yet to report to a new leader, is not rented again.
		booting := as.Booting(machine) || !machine.Agent.Heard && as.state.Now().Sub(as.state.LeadingSince) < as.state.SilenceTimeout()
		if !booting && (!as.state.HeardRecently(machine) || as.state.NotReceiving(machine) || as.state.NotReporting(machine) || !machine.Agent.TokenConfirmed && !machine.Recorded) {
			continue
		}
		left := as.state.FreeResources(machine)
		for _, attempt := range machine.Attempts {
			if attempt.Stopping || as.endsWithin(attempt, config.Seconds(machineType.BootS)) {
				left.AddTasks(attempt.Job.Spec, 1) // free before a rented machine would be up
			}
		}
		k.add(&capacitySlot{machine, Offer{machine.TypeName, machine.Zone, machine.Spot}, left})
	}
	for _, r := range as.rentals {
		for range r.count {
			k.add(&capacitySlot{nil, r.offer, cluster.CapacityOf(as.state.Types[r.offer.TypeName])})
		}
	}
	return k
}

// endsWithin says whether an attempt is likely to end within a span, by its
// owner's estimate; one that has outrun its estimate may take as long again.
func (as *Autoscaler) endsWithin(attempt *cluster.Attempt, d time.Duration) bool {
	if attempt.RunningSince.IsZero() || attempt.Job.Spec.Service() {
		return false
	}
	estimate := config.Seconds(attempt.Job.Spec.EstimateS * tuning.EstimateSlackFactor)
	left := estimate - as.state.Now().Sub(attempt.RunningSince)
	return left > 0 && left <= d
}

// hasSlack says whether a job's deadline leaves time to wait for machines that
// others free: renting later would still do.
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
