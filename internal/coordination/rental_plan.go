package coordination

import (
	"math"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/protocol"
)

// rentalPlan compares what waits with what is there and on its way. Room that
// is used up is left out at once: with the machines full, that is nearly all of
// it, and every job that waits looks at the rest.
type rentalPlan struct {
	l     *leader
	slots map[protocol.ZoneName][]*demandSlot // of every zone
	want  map[offer]int                       // machines to rent
	plain bool                                // something that waits takes no GPUs
}

// add enters room that is there.
func (k *rentalPlan) add(r *demandSlot) {
	if !k.usedUp(r) {
		k.slots[r.offer.zone] = append(k.slots[r.offer.zone], r)
	}
}

// usedUp says whether nothing that waits can have any of the room.
func (k *rentalPlan) usedUp(r *demandSlot) bool {
	t := k.l.n.types[r.offer.typeName]
	return r.left.CPUs < cluster.AmountTolerance || r.left.MemoryGB < cluster.AmountTolerance || !k.plain && t.GPUs > 0 && r.left.GPUs < cluster.AmountTolerance
}

// lack is how many of n tasks find no room in a zone.
func (k *rentalPlan) lack(j *cluster.Job, zone protocol.ZoneName, n int) int {
	for _, r := range k.slots[zone] {
		if n == 0 {
			break
		}
		if k.l.serves(r, j) {
			n -= r.left.Fit(j.Spec, n)
		}
	}
	return n
}

// take gives up to n tasks room in a zone and returns how many have it.
func (k *rentalPlan) take(j *cluster.Job, zone protocol.ZoneName, n int) (taken int) {
	used := false
	for _, r := range k.slots[zone] {
		if taken == n {
			break
		}
		if k.l.serves(r, j) {
			fits := r.left.Fit(j.Spec, n-taken)
			r.left.AddTasks(j.Spec, -fits)
			taken += fits
			used = used || fits > 0 && k.usedUp(r)
		}
	}
	if used {
		k.slots[zone] = slices.DeleteFunc(k.slots[zone], k.usedUp)
	}
	return taken
}

// rent wants machines for n tasks.
func (k *rentalPlan) rent(j *cluster.Job, o offer, n int) {
	for n > 0 {
		r := &demandSlot{nil, o, cluster.CapacityOf(k.l.n.types[o.typeName])}
		fits := r.left.Fit(j.Spec, n)
		r.left.AddTasks(j.Spec, -fits)
		n -= fits
		k.want[o]++
		k.add(r)
	}
}

// gang finds the zone where a gang lacks least and takes what it needs there,
// room that is there first.
func (k *rentalPlan) gang(d scheduler.Demand) {
	bestZone, bestLack, bestOffers := protocol.ZoneName(""), math.MaxInt, []offer(nil)
	for _, z := range k.l.n.cfg.Cluster.Zones {
		lack := k.lack(d.Job, z, d.Tasks)
		var offers []offer
		if lack > 0 {
			if offers = k.l.offers(d.Job, z); len(offers) == 0 {
				continue
			}
		}
		if lack < bestLack {
			bestZone, bestLack, bestOffers = z, lack, offers
		}
		if lack == 0 {
			break
		}
	}
	if bestZone == "" {
		return
	}
	if need := d.Tasks - k.take(d.Job, bestZone, d.Tasks); need > 0 {
		k.rent(d.Job, bestOffers[0], need)
	}
}

// tasks takes room for tasks that may be anywhere, within what the job allows
// of each zone.
func (k *rentalPlan) tasks(d scheduler.Demand) {
	j, need := d.Job, d.Tasks
	limit, only := k.l.cluster.ZoneLimits(j)
	for _, z := range k.l.n.cfg.Cluster.Zones {
		if only == "" || only == z {
			n := k.take(j, z, min(need, limit[z]))
			need -= n
			limit[z] -= n
		}
	}
	if need == 0 {
		return
	}
	wait := k.l.hasSlack(j)
	for _, o := range k.l.offers(j, only) {
		if wait && !o.spot {
			continue // an ordinary machine is for when time runs out
		}
		n := min(need, limit[o.zone])
		k.rent(j, o, n)
		need -= n
		limit[o.zone] -= n
	}
}
