package autoscaler

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// When a zone is lost, its replicas must run again in the other zones without waiting for a
// machine to boot. So for every zone, the other zones together keep the capacity that its
// replicas would need there: free capacity, or capacity used by tasks of lower priority, which
// are preempted at once. The reserve assumes that only one zone is lost at a time. It consists
// of what is needed in addition to the capacity that exists anyway: idle machines that are not
// scaled in, and requested machines.

// zoneReservePlan computes the reserve.
type zoneReservePlan struct {
	autoscaler *Autoscaler
	slots      []*reserveSlot
	neededIdle map[*cluster.Machine]bool // idle machines that the reserve needs
	toRequest  map[Offer]int             // number of machines to request
}

// reserveSlot is the capacity of an existing or requested machine that replicas may use.
type reserveSlot struct {
	capacitySlot
	preemptible []preemptibleTask // tasks on it that stop at once for a higher priority
	remaining   cluster.Resources // capacity left while the loss of one zone is evaluated
}

// preemptibleTask holds the resources that a task frees when it is preempted by a higher
// priority.
type preemptibleTask struct {
	priority  protocol.Priority
	resources cluster.Resources
}

// planZoneReserve determines which idle machines the reserve needs, and adds the machines that
// must be requested to toRequest.
func (as *Autoscaler) planZoneReserve(toRequest map[Offer]int) {
	if as.state.AnyZoneSuspected() {
		return // the reserve is in use now, and the silent machines may come back
	}
	services := as.servicesByZone()
	as.zoneReserve = nil
	if len(services) == 0 || !as.state.Config.Operator.ZoneReserve {
		return
	}
	plan := &zoneReservePlan{autoscaler: as, neededIdle: map[*cluster.Machine]bool{}, toRequest: toRequest}
	plan.addSlots()
	for _, zone := range as.state.Config.Cluster.Zones {
		plan.planLossOfZone(zone, services[zone])
	}
	as.zoneReserve = plan.neededIdle
}

// zoneReplicas is a service and the number of its replicas in a zone that may run in other zones.
type zoneReplicas struct {
	job   *cluster.Job
	count int
}

// servicesByZone lists, for each zone, the services with replicas there that may run in other
// zones, the largest replicas first.
func (as *Autoscaler) servicesByZone() map[protocol.ZoneName][]zoneReplicas {
	services := map[protocol.ZoneName][]zoneReplicas{}
	for _, job := range as.state.Jobs {
		if !job.Spec.Service() || job.Cancelled || job.Failures.AtFault {
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

// activePerZone counts a job's active attempts in each zone that are not stopping.
func activePerZone(job *cluster.Job) map[protocol.ZoneName]int {
	perZone := map[protocol.ZoneName]int{}
	for i := range job.Tasks {
		if attempt := job.Tasks[i].Active; attempt != nil && !attempt.Stopping {
			perZone[attempt.Machine.Zone]++
		}
	}
	return perZone
}

// compareReplicas orders the largest replicas first.
func compareReplicas(a, b zoneReplicas) int {
	return cmp.Or(
		cmp.Compare(b.job.Spec.CPUs, a.job.Spec.CPUs),
		cmp.Compare(b.job.Spec.MemoryGB, a.job.Spec.MemoryGB),
		cmp.Compare(a.job.ID, b.job.ID))
}

// addSlots adds the slots of existing machines and then those of requested machines. Among the
// existing machines, those with tasks come first, so that no more idle machines are kept than
// needed.
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

// newReserveSlot returns the slot of a machine. Tasks of gangs do not count as preemptible,
// because they do not free their resources at once.
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

// addRequested adds the slot of a machine that is only requested.
func (p *zoneReservePlan) addRequested(offer Offer) *reserveSlot {
	slot := &reserveSlot{capacitySlot: capacitySlot{offer: offer, free: p.autoscaler.capacityOf(offer)}}
	p.slots = append(p.slots, slot)
	return slot
}

// capacityFor returns the capacity of a slot for tasks of a priority: what is free and what
// tasks of lower priority use.
func (s *reserveSlot) capacityFor(priority protocol.Priority) cluster.Resources {
	capacity := s.free
	for _, task := range s.preemptible {
		if task.priority < priority {
			capacity.Add(task.resources)
		}
	}
	return capacity
}

// planLossOfZone plans capacity in the other zones for the replicas of a zone that is lost.
func (p *zoneReservePlan) planLossOfZone(lost protocol.ZoneName, services []zoneReplicas) {
	if len(services) == 0 {
		return
	}
	for _, slot := range p.slots {
		slot.remaining = slot.capacityFor(services[0].job.Priority)
	}
	next := 0 // the slots before this one have no CPUs left
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

// allocate assigns a slot's capacity to replicas and returns how many fit.
func (p *zoneReservePlan) allocate(slot *reserveSlot, job *cluster.Job, need int) int {
	allocated := slot.remaining.Fit(job.Spec, need)
	slot.remaining.AddTasks(job.Spec, -allocated)
	if allocated > 0 && slot.machine != nil && len(slot.machine.Attempts) == 0 {
		p.neededIdle[slot.machine] = true
	}
	return allocated
}

// addMachines plans requests for machines for replicas that find no capacity outside the lost
// zone.
func (p *zoneReservePlan) addMachines(lost protocol.ZoneName, job *cluster.Job, need int) {
	for need > 0 && len(p.slots) < tuning.MaxZoneReserveMachines {
		offer, ok := p.bestOffer(lost, job)
		if !ok {
			return
		}
		slot := p.addRequested(offer)
		slot.remaining = slot.free
		allocated := p.allocate(slot, job, need)
		if allocated == 0 {
			return
		}
		need -= allocated
		p.toRequest[offer]++
		p.autoscaler.machinesPerZone[offer.Zone]++
	}
}

// bestOffer returns the cheapest offer in the zone that has the fewest machines, among the zones
// other than the lost one that have an offer for the job.
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
