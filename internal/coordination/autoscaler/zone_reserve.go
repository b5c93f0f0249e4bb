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
// is there anyway: idle machines that are not returned, and machines that are rented.

// zoneReservePlan works the reserve out.
type zoneReservePlan struct {
	autoscaler *Autoscaler
	slots      []*reserveSlot
	idle       map[*cluster.Machine]bool // idle machines that are needed
	want       map[Offer]int             // machines that are missing
}

// reserveSlot is a machine, there or on its way, as a place for replicas.
type reserveSlot struct {
	capacitySlot
	preemptible []preemptibleTask // what work on it leaves when it yields
	rest        cluster.Resources // what is left of the room while the loss of one zone is looked at
}

// preemptibleTask is the room of a task that yields to higher priorities.
type preemptibleTask struct {
	priority  int
	resources cluster.Resources
}

// PlanReserve finds which idle machines the reserve needs, and what must be rented.
func (as *Autoscaler) PlanReserve(want map[Offer]int) {
	if as.state.SomeZoneSilent() {
		return // what is kept is needed now, and what is silent may be back
	}
	services := as.servicesByZone()
	as.zoneReserve = nil
	if len(services) == 0 || !as.state.Config.Operator.ZoneReserve {
		return
	}
	z := &zoneReservePlan{autoscaler: as, idle: map[*cluster.Machine]bool{}, want: want}
	z.addSlots()
	for _, zone := range as.state.Config.Cluster.Zones {
		z.provide(zone, services[zone])
	}
	as.zoneReserve = z.idle
}

// zoneReplicas is how many replicas of a service a zone has.
type zoneReplicas struct {
	job   *cluster.Job
	count int
}

// servicesByZone lists the services that have replicas in each zone, the largest
// replicas first.
func (as *Autoscaler) servicesByZone() map[protocol.ZoneName][]zoneReplicas {
	zones := map[protocol.ZoneName][]zoneReplicas{}
	for _, job := range as.state.Jobs {
		if !job.Spec.Service() || job.Cancelled || job.Failures.Attributed > 0 {
			continue
		}
		per := map[protocol.ZoneName]int{}
		for i := range job.Tasks {
			if attempt := job.Tasks[i].Active; attempt != nil && !attempt.Stopping {
				per[attempt.Machine.Zone]++
			}
		}
		for zone, n := range per {
			if n = min(n, job.MovableFrom(zone, per, as.state.Config.Cluster.Zones)); n > 0 {
				zones[zone] = append(zones[zone], zoneReplicas{job, n})
			}
		}
	}
	for _, list := range zones {
		slices.SortFunc(list, func(a, b zoneReplicas) int {
			return cmp.Or(cmp.Compare(b.job.Spec.CPUs, a.job.Spec.CPUs), cmp.Compare(b.job.Spec.MemoryGB, a.job.Spec.MemoryGB), cmp.Compare(a.job.ID, b.job.ID))
		})
	}
	return zones
}

// addSlots lists what there is and what is on its way: machines with work first, then
// idle ones, so that no more of these are kept than are needed.
func (z *zoneReservePlan) addSlots() {
	as := z.autoscaler
	for _, machine := range as.state.OrderedMachines {
		machineType := as.state.TypeOf(machine)
		if machineType == nil || machine.Deleting || machine.Cordoned || !as.state.Schedulable(machine) && !as.Booting(machine) {
			continue
		}
		s := &reserveSlot{capacitySlot: capacitySlot{machine, Offer{machine.TypeName, machine.Zone, machine.Spot}, as.state.FreeResources(machine)}}
		for _, attempt := range machine.Attempts {
			if !attempt.Job.Spec.Gang() {
				room := cluster.Resources{}
				room.AddTasks(attempt.Job.Spec, 1)
				s.preemptible = append(s.preemptible, preemptibleTask{int(attempt.Job.Priority), room})
			}
		}
		z.slots = append(z.slots, s)
	}
	slices.SortStableFunc(z.slots, func(a, b *reserveSlot) int {
		return cluster.TrueFirst(len(a.machine.Attempts) > 0, len(b.machine.Attempts) > 0)
	})
	for _, r := range as.rentals {
		for range r.count {
			z.addRented(r.offer)
		}
	}
}

// addRented adds a machine that is only asked for.
func (z *zoneReservePlan) addRented(o Offer) *reserveSlot {
	s := &reserveSlot{capacitySlot: capacitySlot{nil, o, cluster.CapacityOf(z.autoscaler.state.Types[o.TypeName])}}
	z.slots = append(z.slots, s)
	return s
}

// capacityFor is what a slot gives to work of a priority.
func (s *reserveSlot) capacityFor(rank int) cluster.Resources {
	room := s.free
	for _, y := range s.preemptible {
		if y.priority < rank {
			room.Add(y.resources)
		}
	}
	return room
}

// provide sees to it that the replicas of one zone have places in the others.
func (z *zoneReservePlan) provide(lost protocol.ZoneName, services []zoneReplicas) {
	if len(services) == 0 {
		return
	}
	for _, s := range z.slots {
		s.rest = s.capacityFor(int(services[0].job.Priority))
	}
	next := 0 // slots before this one have no room left for anything
	for _, r := range services {
		need := r.count
		for i := next; i < len(z.slots) && need > 0; i++ {
			s := z.slots[i]
			if s.offer.Zone == lost || !z.autoscaler.serves(&s.capacitySlot, r.job) {
				continue
			}
			need -= z.take(s, r.job, need)
			if i == next && s.rest.CPUs < cluster.AmountTolerance {
				next++
			}
		}
		z.rent(lost, r.job, need)
	}
}

// take gives replicas a slot's room and returns how many have it.
func (z *zoneReservePlan) take(s *reserveSlot, job *cluster.Job, need int) int {
	n := s.rest.Fit(job.Spec, need)
	s.rest.AddTasks(job.Spec, -n)
	if n > 0 && s.machine != nil && len(s.machine.Attempts) == 0 {
		z.idle[s.machine] = true
	}
	return n
}

// rent wants machines for replicas that have no place outside a zone: in the zone of
// the others that has the fewest machines, of the cheapest kind.
func (z *zoneReservePlan) rent(lost protocol.ZoneName, job *cluster.Job, need int) {
	for need > 0 && len(z.slots) < tuning.MaxZoneReserveMachines {
		var best *Offer
		for _, zone := range z.autoscaler.state.Config.Cluster.Zones {
			if zone == lost {
				continue
			}
			list := z.autoscaler.offers(job, zone)
			if len(list) > 0 && (best == nil || z.autoscaler.machinesIn[zone] < z.autoscaler.machinesIn[best.Zone]) {
				best = &list[0]
			}
		}
		if best == nil {
			return
		}
		s := z.addRented(*best)
		s.rest = s.free
		n := z.take(s, job, need)
		if n == 0 {
			return
		}
		need -= n
		z.want[*best]++
		z.autoscaler.machinesIn[best.Zone]++
	}
}
