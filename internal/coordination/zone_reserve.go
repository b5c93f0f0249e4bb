package coordination

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// The replicas of a zone that is lost must run again in the others without waiting for
// a machine to boot. So for every zone the others together keep what its replicas would
// need there: free room, or room that work of lower priority leaves at once. Only one
// zone is lost at a time. The reserve is what it takes beyond the room that is there
// anyway: idle machines that are not returned, and machines that are rented.

// zoneReserve works the reserve out.
type zoneReserve struct {
	l     *leader
	slots []*reserveSlot
	idle  map[*cluster.Machine]bool // idle machines that are needed
	want  map[offer]int             // machines that are missing
}

// reserveSlot is a machine, there or on its way, as a place for replicas.
type reserveSlot struct {
	demandSlot
	yielding []yieldingRoom    // what work on it leaves when it yields
	rest     cluster.Resources // what is left of the room while the loss of one zone is looked at
}

// yieldingRoom is the room of a task that yields to higher priorities.
type yieldingRoom struct {
	rank int
	room cluster.Resources
}

// planReserve finds which idle machines the reserve needs, and what must be rented.
func (l *leader) planReserve(want map[offer]int) {
	if l.cluster.SomeZoneSilent() {
		return // what is kept is needed now, and what is silent may be back
	}
	services := l.servicesByZone()
	l.fleet.reserve = nil
	if len(services) == 0 || !l.n.cfg.Operator.ZoneReserve {
		return
	}
	z := &zoneReserve{l: l, idle: map[*cluster.Machine]bool{}, want: want}
	z.addSlots()
	for _, zone := range l.n.cfg.Cluster.Zones {
		z.provide(zone, services[zone])
	}
	l.fleet.reserve = z.idle
}

// zoneReplicas is how many replicas of a service a zone has.
type zoneReplicas struct {
	j     *cluster.Job
	count int
}

// servicesByZone lists the services that have replicas in each zone, the largest
// replicas first.
func (l *leader) servicesByZone() map[protocol.ZoneName][]zoneReplicas {
	zones := map[protocol.ZoneName][]zoneReplicas{}
	for _, j := range l.cluster.Jobs {
		if !j.Spec.Service() || j.Cancelled || j.Failures.Attributed > 0 {
			continue
		}
		per := map[protocol.ZoneName]int{}
		for i := range j.Tasks {
			if c := j.Tasks[i].Active; c != nil && !c.Stopping {
				per[c.Machine.Zone]++
			}
		}
		for zone, n := range per {
			if n = min(n, j.MovableFrom(zone, per, l.n.cfg.Cluster.Zones)); n > 0 {
				zones[zone] = append(zones[zone], zoneReplicas{j, n})
			}
		}
	}
	for _, list := range zones {
		slices.SortFunc(list, func(a, b zoneReplicas) int {
			return cmp.Or(cmp.Compare(b.j.Spec.CPUs, a.j.Spec.CPUs), cmp.Compare(b.j.Spec.MemoryGB, a.j.Spec.MemoryGB), cmp.Compare(a.j.ID, b.j.ID))
		})
	}
	return zones
}

// addSlots lists what there is and what is on its way: machines with work first, then
// idle ones, so that no more of these are kept than are needed.
func (z *zoneReserve) addSlots() {
	l := z.l
	for _, m := range l.cluster.OrderedMachines {
		t := l.cluster.TypeOf(m)
		if t == nil || m.Deleting || m.Cordoned || !l.cluster.Schedulable(m) && !l.isBooting(m) {
			continue
		}
		s := &reserveSlot{demandSlot: demandSlot{m, offer{m.TypeName, m.Zone, m.Spot}, l.cluster.FreeResources(m)}}
		for _, c := range m.Attempts {
			if !c.Job.Spec.Gang() {
				room := cluster.Resources{}
				room.AddTasks(c.Job.Spec, 1)
				s.yielding = append(s.yielding, yieldingRoom{int(c.Job.Priority), room})
			}
		}
		z.slots = append(z.slots, s)
	}
	slices.SortStableFunc(z.slots, func(a, b *reserveSlot) int {
		return cluster.TrueFirst(len(a.m.Attempts) > 0, len(b.m.Attempts) > 0)
	})
	for _, r := range l.fleet.rentals {
		for range r.count {
			z.addRented(r.offer)
		}
	}
}

// addRented adds a machine that is only asked for.
func (z *zoneReserve) addRented(o offer) *reserveSlot {
	s := &reserveSlot{demandSlot: demandSlot{nil, o, cluster.CapacityOf(z.l.n.types[o.typeName])}}
	z.slots = append(z.slots, s)
	return s
}

// roomFor is what a slot gives to work of a priority.
func (s *reserveSlot) roomFor(rank int) cluster.Resources {
	room := s.left
	for _, y := range s.yielding {
		if y.rank < rank {
			room.Add(y.room)
		}
	}
	return room
}

// provide sees to it that the replicas of one zone have places in the others.
func (z *zoneReserve) provide(lost protocol.ZoneName, services []zoneReplicas) {
	if len(services) == 0 {
		return
	}
	for _, s := range z.slots {
		s.rest = s.roomFor(int(services[0].j.Priority))
	}
	next := 0 // slots before this one have no room left for anything
	for _, r := range services {
		need := r.count
		for i := next; i < len(z.slots) && need > 0; i++ {
			s := z.slots[i]
			if s.offer.zone == lost || !z.l.serves(&s.demandSlot, r.j) {
				continue
			}
			need -= z.take(s, r.j, need)
			if i == next && s.rest.CPUs < cluster.AmountTolerance {
				next++
			}
		}
		z.rent(lost, r.j, need)
	}
}

// take gives replicas a slot's room and returns how many have it.
func (z *zoneReserve) take(s *reserveSlot, j *cluster.Job, need int) int {
	n := s.rest.Fit(j.Spec, need)
	s.rest.AddTasks(j.Spec, -n)
	if n > 0 && s.m != nil && len(s.m.Attempts) == 0 {
		z.idle[s.m] = true
	}
	return n
}

// rent wants machines for replicas that have no place outside a zone: in the zone of
// the others that has the fewest machines, of the cheapest kind.
func (z *zoneReserve) rent(lost protocol.ZoneName, j *cluster.Job, need int) {
	for need > 0 && len(z.slots) < tuning.ReserveSlots {
		var best *offer
		for _, zone := range z.l.n.cfg.Cluster.Zones {
			if zone == lost {
				continue
			}
			list := z.l.offers(j, zone)
			if len(list) > 0 && (best == nil || z.l.fleet.load[zone] < z.l.fleet.load[best.zone]) {
				best = &list[0]
			}
		}
		if best == nil {
			return
		}
		s := z.addRented(*best)
		s.rest = s.left
		n := z.take(s, j, need)
		if n == 0 {
			return
		}
		need -= n
		z.want[*best]++
		z.l.fleet.load[best.zone]++
	}
}
