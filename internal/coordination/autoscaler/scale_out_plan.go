package autoscaler

import (
	"math"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/protocol"
)

// capacitySlot is a machine, there or on its way, as a place for what waits.
type capacitySlot struct {
	machine *cluster.Machine // nil while it is only asked for
	offer   Offer
	free    cluster.Resources
}

// canHost says whether a job could use a slot. What the job avoids must not count, or it
// would wait for that instead of for a further machine.
func (as *Autoscaler) canHost(slot *capacitySlot, job *cluster.Job) bool {
	return cluster.SpecAllows(job.Spec, slot.offer.TypeName, slot.offer.Zone, slot.offer.Spot) &&
		(slot.machine == nil || !as.state.Avoids(job, slot.machine))
}

// scaleOutPlan compares what waits with what is there and on its way. Slots that are used
// up are left out at once: with the machines full, that is nearly all of them, and every
// job that waits examines the rest.
type scaleOutPlan struct {
	autoscaler     *Autoscaler
	slots          map[protocol.ZoneName][]*capacitySlot // of every zone
	toRequest      map[Offer]int                         // machines to ask for
	anyWithoutGPUs bool                                  // something that waits takes no GPUs
}

// submit enters a slot.
func (p *scaleOutPlan) addSlot(slot *capacitySlot) {
	if !p.exhausted(slot) {
		p.slots[slot.offer.Zone] = append(p.slots[slot.offer.Zone], slot)
	}
}

// exhausted says whether nothing that waits can have any of a slot.
func (p *scaleOutPlan) exhausted(slot *capacitySlot) bool {
	if slot.free.CPUs < cluster.AmountTolerance || slot.free.MemoryGB < cluster.AmountTolerance {
		return true
	}
	machineType := p.autoscaler.state.Types[slot.offer.TypeName]
	return !p.anyWithoutGPUs && machineType.GPUs > 0 && slot.free.GPUs < cluster.AmountTolerance
}

// shortage is how many of some tasks find no capacity in a zone.
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

// allocate gives up to so many tasks capacity in a zone and returns how many have it.
func (p *scaleOutPlan) allocate(job *cluster.Job, zone protocol.ZoneName, tasks int) (taken int) {
	someExhausted := false
	for _, slot := range p.slots[zone] {
		if taken == tasks {
			break
		}
		if p.autoscaler.canHost(slot, job) {
			fits := slot.free.Fit(job.Spec, tasks-taken)
			slot.free.AddTasks(job.Spec, -fits)
			taken += fits
			someExhausted = someExhausted || fits > 0 && p.exhausted(slot)
		}
	}
	if someExhausted {
		p.slots[zone] = slices.DeleteFunc(p.slots[zone], p.exhausted)
	}
	return taken
}

// addMachines wants machines of an offer for so many tasks.
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

// planGang finds the zone where a gang lacks least and takes what it needs there,
// capacity that is there first.
func (p *scaleOutPlan) planGang(demand scheduler.Demand) {
	zone, offers := p.zoneWithSmallestShortage(demand)
	if zone == "" {
		return
	}
	if need := demand.Tasks - p.allocate(demand.Job, zone, demand.Tasks); need > 0 {
		p.addMachines(demand.Job, offers[0], need)
	}
}

// zoneWithSmallestShortage finds the zone where a job lacks least, and the offers for what it
// lacks there; zone "" if none has capacity or offers enough.
func (p *scaleOutPlan) zoneWithSmallestShortage(demand scheduler.Demand) (best protocol.ZoneName, offers []Offer) {
	least := math.MaxInt
	for _, zone := range p.autoscaler.state.Config.Cluster.Zones {
		shortage := p.shortage(demand.Job, zone, demand.Tasks)
		if shortage == 0 {
			return zone, nil
		}
		available := p.autoscaler.offers(demand.Job, zone)
		if len(available) > 0 && shortage < least {
			best, least, offers = zone, shortage, available
		}
	}
	return best, offers
}

// planTasks takes capacity for tasks that may be anywhere, within what the job allows
// of each zone.
func (p *scaleOutPlan) planTasks(demand scheduler.Demand) {
	job, need := demand.Job, demand.Tasks
	limits := p.autoscaler.state.ZoneLimits(job)
	for _, zone := range p.autoscaler.state.Config.Cluster.Zones {
		if limits.Only == "" || limits.Only == zone {
			taken := p.allocate(job, zone, min(need, limits.Remaining[zone]))
			need -= taken
			limits.Remaining[zone] -= taken
		}
	}
	if need == 0 {
		return
	}
	mayWait := p.autoscaler.hasSlack(job)
	for _, offer := range p.autoscaler.offers(job, limits.Only) {
		if mayWait && !offer.Spot {
			continue // an ordinary machine is for when time runs out
		}
		tasks := min(need, limits.Remaining[offer.Zone])
		p.addMachines(job, offer, tasks)
		need -= tasks
		limits.Remaining[offer.Zone] -= tasks
	}
}
