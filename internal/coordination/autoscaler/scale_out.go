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
func (as *Autoscaler) serves(r *capacitySlot, j *cluster.Job) bool {
	return cluster.Allows(j.Spec, r.offer.TypeName, r.offer.Zone, r.offer.Spot) && (r.machine == nil || !as.state.Avoids(j, r.machine))
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
		as.reserveNotBefore = as.state.Now().Add(tuning.ReserveEvery)
		as.PlanReserve(k.want)
	}
	as.sendRentals(k.want)
}

// newScaleOutPlan begins with the room that is there and on its way.
func (as *Autoscaler) newScaleOutPlan() *scaleOutPlan {
	as.machinesIn = map[protocol.ZoneName]int{}
	k := &scaleOutPlan{autoscaler: as, slots: map[protocol.ZoneName][]*capacitySlot{}, want: map[Offer]int{},
		anyWithoutGPUs: slices.ContainsFunc(as.Demand, func(d scheduler.Demand) bool { return d.Job.Spec.GPUs == 0 })}
	for _, m := range as.state.OrderedMachines {
		as.machinesIn[m.Zone]++
		t := as.state.TypeOf(m)
		if t == nil || m.Deleting || m.Cordoned {
			continue
		}
		// What is booting, or has yet to report to a new leader, is not rented again.
		booting := as.Booting(m) || !m.Agent.Heard && as.state.Now().Sub(as.state.LeadingSince) < as.state.SilenceTimeout()
		if !booting && (!as.state.HeardRecently(m) || as.state.NotReceiving(m) || as.state.NotReporting(m) || !m.Agent.TokenConfirmed && !m.Recorded) {
			continue
		}
		left := as.state.FreeResources(m)
		for _, c := range m.Attempts {
			if c.Stopping || as.endsWithin(c, config.Seconds(t.BootS)) {
				left.AddTasks(c.Job.Spec, 1) // free before a rented machine would be up
			}
		}
		k.add(&capacitySlot{m, Offer{m.TypeName, m.Zone, m.Spot}, left})
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
func (as *Autoscaler) endsWithin(c *cluster.Attempt, d time.Duration) bool {
	if c.RunningSince.IsZero() || c.Job.Spec.Service() {
		return false
	}
	estimate := config.Seconds(c.Job.Spec.EstimateS * tuning.EstimateSlack)
	left := estimate - as.state.Now().Sub(c.RunningSince)
	return left > 0 && left <= d
}

// hasSlack says whether a job's deadline leaves time to wait for machines that
// others free: renting later would still do.
func (as *Autoscaler) hasSlack(j *cluster.Job) bool {
	if j.Spec.DeadlineS <= 0 || j.Spec.Gang() || j.Spec.Service() {
		return false
	}
	boot := 0.0
	for _, t := range as.state.Types {
		if t.Fits(j.Spec) {
			boot = max(boot, t.BootS)
		}
	}
	need := config.Seconds(j.Spec.EstimateS*tuning.EstimateSlack + as.state.ImageFetchSeconds(j.Spec) + boot*tuning.BootSlackShare)
	return as.state.Now().Add(need).Before(j.SubmittedAt.Add(config.Seconds(j.Spec.DeadlineS)))
}
