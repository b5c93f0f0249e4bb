package autoscaler

import (
	"math"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/protocol"
)

// capacitySlot is the capacity of an existing or requested machine that waiting tasks may use. It
// is not a slot in the sense of package buddy.
type capacitySlot struct {
	machine *cluster.Machine // nil while the machine is only requested
	offer   Offer
	free    cluster.Resources
}

// canHost reports whether a job could use a slot. A machine that the job avoids must not count:
// the job would wait for it instead of getting another machine.
func (as *Autoscaler) canHost(slot *capacitySlot, job *cluster.Job) bool {
	return cluster.SpecAllows(job.Spec, slot.offer.TypeName, slot.offer.Zone, slot.offer.Spot) &&
		(slot.machine == nil || !as.state.Avoids(job, slot.machine))
}

// scaleOutPlan matches the waiting jobs with the capacity that exists or has been requested.
// Exhausted slots are removed immediately, because every waiting job examines the remaining ones.
// When the machines are full, nearly all slots are exhausted.
type scaleOutPlan struct {
	autoscaler     *Autoscaler
	slots          map[protocol.ZoneName][]*capacitySlot // by zone
	toRequest      map[Offer]int                         // number of machines to request
	anyWithoutGPUs bool                                  // some waiting job takes no GPUs
}

// addSlot adds a slot unless it is exhausted.
func (p *scaleOutPlan) addSlot(slot *capacitySlot) {
	if !p.exhausted(slot) {
		p.slots[slot.offer.Zone] = append(p.slots[slot.offer.Zone], slot)
	}
}

// exhausted reports whether no waiting job can use what is left of a slot.
func (p *scaleOutPlan) exhausted(slot *capacitySlot) bool {
	if slot.free.CPUs < cluster.AmountTolerance || slot.free.MemoryGB < cluster.AmountTolerance {
		return true
	}
	machineType := p.autoscaler.state.Types[slot.offer.TypeName]
	return !p.anyWithoutGPUs && machineType.GPUs > 0 && slot.free.GPUs < cluster.AmountTolerance
}

// shortage returns how many of the given number of tasks find no capacity in a zone.
func (p *scaleOutPlan) shortage(job *cluster.Job, zone protocol.ZoneName, tasks int) int {
	for _, slot := range p.slots[zone] {
		if tasks == 0 {
			break
		}
		if p.autoscaler.canHost(slot, job) {
			tasks -= slot.free.Fit(job.Spec, tasks)
		}
	}
	return tasks
}

// allocate assigns capacity in a zone to at most the given number of tasks and returns the number
// of tasks that got it.
func (p *scaleOutPlan) allocate(job *cluster.Job, zone protocol.ZoneName, tasks int) (allocated int) {
	someExhausted := false
	for _, slot := range p.slots[zone] {
		if allocated == tasks {
			break
		}
		if p.autoscaler.canHost(slot, job) {
			fits := slot.free.Fit(job.Spec, tasks-allocated)
			slot.free.AddTasks(job.Spec, -fits)
			allocated += fits
			someExhausted = someExhausted || fits > 0 && p.exhausted(slot)
		}
	}
	if someExhausted {
		p.slots[zone] = slices.DeleteFunc(p.slots[zone], p.exhausted)
	}
	return allocated
}

// addMachines plans requests for as many machines of an offer as the tasks need.
func (p *scaleOutPlan) addMachines(job *cluster.Job, offer Offer, tasks int) {
	for tasks > 0 {
		slot := &capacitySlot{offer: offer, free: p.autoscaler.capacityOf(offer)}
		fits := slot.free.Fit(job.Spec, tasks)
		slot.free.AddTasks(job.Spec, -fits)
		tasks -= fits
		p.toRequest[offer]++
		p.addSlot(slot)
	}
}

// planGang finds the zone with the smallest shortage for a gang and allocates the capacity that
// the gang needs there, existing capacity first.
func (p *scaleOutPlan) planGang(demand scheduler.Demand) {
	zone, offers := p.zoneWithSmallestShortage(demand)
	if zone == "" {
		return
	}
	if need := demand.Tasks - p.allocate(demand.Job, zone, demand.Tasks); need > 0 {
		p.addMachines(demand.Job, offers[0], need)
	}
}

// zoneWithSmallestShortage finds the zone with the smallest shortage for a job, and the offers
// that could cover the shortage. The zone is "" if no zone has enough capacity or any offer.
func (p *scaleOutPlan) zoneWithSmallestShortage(demand scheduler.Demand) (best protocol.ZoneName, offers []Offer) {
	smallest := math.MaxInt
	for _, zone := range p.autoscaler.state.Config.Cluster.Zones {
		shortage := p.shortage(demand.Job, zone, demand.Tasks)
		if shortage == 0 {
			return zone, nil
		}
		available := p.autoscaler.offers(demand.Job, zone)
		if len(available) > 0 && shortage < smallest {
			best, smallest, offers = zone, shortage, available
		}
	}
	return best, offers
}

// planTasks allocates capacity for tasks that need not all be in one zone, within the job's
// limits for each zone.
func (p *scaleOutPlan) planTasks(demand scheduler.Demand) {
	job, need := demand.Job, demand.Tasks
	limits := p.autoscaler.state.ZoneLimits(job)
	for _, zone := range p.autoscaler.state.Config.Cluster.Zones {
		if limits.Only == "" || limits.Only == zone {
			allocated := p.allocate(job, zone, min(need, limits.Remaining[zone]))
			need -= allocated
			limits.Remaining[zone] -= allocated
		}
	}
	if need == 0 {
		return
	}
	mayWait := p.autoscaler.hasSlack(job)
	for _, offer := range p.autoscaler.offers(job, limits.Only) {
		if mayWait && !offer.Spot {
			continue // on-demand machines are requested only when time runs out
		}
		tasks := min(need, limits.Remaining[offer.Zone])
		p.addMachines(job, offer, tasks)
		need -= tasks
		limits.Remaining[offer.Zone] -= tasks
	}
}
