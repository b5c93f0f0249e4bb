package autoscaler

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// The replicas of a zone that is lost must run again in the others without waiting for a
// machine to boot. So for every zone the others together keep what its replicas would
// need there: free capacity, or that of work of lower priority, which leaves at once.
// Only one zone is lost at a time. The reserve is what it takes beyond the capacity that
// is there anyway: idle machines that are not scaled in, and machines that are asked for.

// zoneReservePlan works the reserve out.
type zoneReservePlan struct {
	autoscaler *Autoscaler
	slots      []*reserveSlot
	neededIdle map[*cluster.Machine]bool // idle machines that are needed
	toRequest  map[Offer]int             // machines that are missing
}

// reserveSlot is a machine, there or on its way, as a place for replicas.
type reserveSlot struct {
	capacitySlot
	preemptible []preemptibleTask // work on it that stops at once for a higher priority
	remaining   cluster.Resources // what is left while the loss of one zone is considered
}

// preemptibleTask is what a task that is preempted for higher priorities leaves.
type preemptibleTask struct {
	priority  protocol.Priority
	resources cluster.Resources
}

// planZoneReserve finds which idle machines the reserve needs, and adds to want what must
// be asked for.
func (as *Autoscaler) planZoneReserve(want map[Offer]int) {
	if as.state.AnyZoneSuspected() {
		return // what is kept is needed now, and what is silent may be back
	}
	services := as.servicesByZone()
	as.zoneReserve = nil
	if len(services) == 0 || !as.state.Config.Operator.ZoneReserve {
		return
	}
	plan := &zoneReservePlan{autoscaler: as, neededIdle: map[*cluster.Machine]bool{}, toRequest: want}
	plan.addSlots()
	for _, zone := range as.state.Config.Cluster.Zones {
		plan.planLossOfZone(zone, services[zone])
	}
	as.zoneReserve = plan.neededIdle
}

// zoneReplicas is how many replicas of a service a zone has.
type zoneReplicas struct {
	job   *cluster.Job
	count int
}

// servicesByZone lists the services that have replicas in each zone, the largest
// replicas first.
func (as *Autoscaler) servicesByZone() map[protocol.ZoneName][]zoneReplicas {
	services := map[protocol.ZoneName][]zoneReplicas{}
	for _, job := range as.state.Jobs {
		if !job.Spec.Service() || job.Cancelled || job.Failures.AttributedToJob > 0 {
			continue
		}
		perZone := activePerZone(job)
		for zone, count := range perZone {
			count = min(count, job.ReplicasMovableFrom(zone, perZone, as.state.Config.Cluster.Zones))
			if count > 0 {
				services[zone] = append(services[zone], zoneReplicas{job: job, count: count})
			}
		}
	}
	for _, list := range services {
		slices.SortFunc(list, compareReplicas)
	}
	return services
}

// activePerZone counts a job's active attempts in each zone.
func activePerZone(job *cluster.Job) map[protocol.ZoneName]int {
	perZone := map[protocol.ZoneName]int{}
	for i := range job.Tasks {
		if attempt := job.Tasks[i].Active; attempt != nil && !attempt.Stopping {
			perZone[attempt.Machine.Zone]++
		}
	}
	return perZone
}

// compareReplicas puts the largest replicas first.
func compareReplicas(a, b zoneReplicas) int {
	return cmp.Or(
		cmp.Compare(b.job.Spec.CPUs, a.job.Spec.CPUs),
		cmp.Compare(b.job.Spec.MemoryGB, a.job.Spec.MemoryGB),
		cmp.Compare(a.job.ID, b.job.ID))
}

// addSlots lists what there is and what is on its way: machines with work first, then
// idle ones, so that no more of these are kept than are needed.
func (p *zoneReservePlan) addSlots() {
	state := p.autoscaler.state
	for _, machine := range state.OrderedMachines {
		if state.TypeOf(machine) == nil || machine.Deleting || machine.Cordoned {
			continue
		}
		if state.Schedulable(machine) || p.autoscaler.Booting(machine) {
			p.slots = append(p.slots, newReserveSlot(machine, state.FreeResources(machine)))
		}
	}
	slices.SortStableFunc(p.slots, func(a, b *reserveSlot) int {
		return cluster.TrueFirst(len(a.machine.Attempts) > 0, len(b.machine.Attempts) > 0)
	})
	for _, request := range p.autoscaler.requests.inFlight {
		for range request.body.Count {
			p.addRequested(request.offer)
		}
	}
}

// newReserveSlot is the slot of a machine. A task of a gang leaves nothing at once.
func newReserveSlot(machine *cluster.Machine, free cluster.Resources) *reserveSlot {
	slot := &reserveSlot{capacitySlot: capacitySlot{machine: machine, offer: offerOf(machine), free: free}}
	for _, attempt := range machine.Attempts {
		if attempt.Job.Spec.Gang() {
			continue
		}
		task := preemptibleTask{priority: attempt.Job.Priority}
		task.resources.AddTasks(attempt.Job.Spec, 1)
		slot.preemptible = append(slot.preemptible, task)
	}
	return slot
}

// addRequested adds a machine that is only asked for.
func (p *zoneReservePlan) addRequested(offer Offer) *reserveSlot {
	slot := &reserveSlot{capacitySlot: capacitySlot{offer: offer, free: p.autoscaler.capacityOf(offer)}}
	p.slots = append(p.slots, slot)
	return slot
}

// capacityFor is what a slot gives to work of a priority.
func (s *reserveSlot) capacityFor(priority protocol.Priority) cluster.Resources {
	capacity := s.free
	for _, task := range s.preemptible {
		if task.priority < priority {
			capacity.Add(task.resources)
		}
	}
	return capacity
}

// planLossOfZone sees to it that the replicas of one zone have places in the others.
func (p *zoneReservePlan) planLossOfZone(lost protocol.ZoneName, services []zoneReplicas) {
	if len(services) == 0 {
		return
	}
	for _, slot := range p.slots {
		slot.remaining = slot.capacityFor(services[0].job.Priority)
	}
	next := 0 // slots before this one have nothing left for anything
	for _, replicas := range services {
		need := replicas.count
		for i := next; i < len(p.slots) && need > 0; i++ {
			slot := p.slots[i]
			if slot.offer.Zone == lost || !p.autoscaler.canHost(&slot.capacitySlot, replicas.job) {
				continue
			}
			need -= p.allocate(slot, replicas.job, need)
			if i == next && slot.remaining.CPUs < cluster.AmountTolerance {
				next++
			}
		}
		p.addMachines(lost, replicas.job, need)
	}
}

// allocate gives replicas a slot's capacity and returns how many have it.
func (p *zoneReservePlan) allocate(slot *reserveSlot, job *cluster.Job, need int) int {
	taken := slot.remaining.Fit(job.Spec, need)
	slot.remaining.AddTasks(job.Spec, -taken)
	if taken > 0 && slot.machine != nil && len(slot.machine.Attempts) == 0 {
		p.neededIdle[slot.machine] = true
	}
	return taken
}

// addMachines wants machines for replicas that have no place outside a zone.
func (p *zoneReservePlan) addMachines(lost protocol.ZoneName, job *cluster.Job, need int) {
	for need > 0 && len(p.slots) < tuning.MaxZoneReserveMachines {
		offer, ok := p.bestOffer(lost, job)
		if !ok {
			return
		}
		slot := p.addRequested(offer)
		slot.remaining = slot.free
		taken := p.allocate(slot, job, need)
		if taken == 0 {
			return
		}
		need -= taken
		p.toRequest[offer]++
		p.autoscaler.machinesPerZone[offer.Zone]++
	}
}

// bestOffer is the cheapest kind of machine in the zone of the others that has the fewest
// machines.
func (p *zoneReservePlan) bestOffer(lost protocol.ZoneName, job *cluster.Job) (best Offer, ok bool) {
	machines := p.autoscaler.machinesPerZone
	for _, zone := range p.autoscaler.state.Config.Cluster.Zones {
		if zone == lost {
			continue
		}
		offers := p.autoscaler.offers(job, zone)
		if len(offers) > 0 && (!ok || machines[zone] < machines[best.Zone]) {
			best, ok = offers[0], true
		}
	}
	return best, ok
}
