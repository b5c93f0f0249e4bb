package autoscaler

import (
	"math"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/protocol"
)

// scaleOutPlan compares what waits with what is there and on its way. Room that
// is used up is left out at once: with the machines full, that is nearly all of
// it, and every job that waits looks at the rest.
type scaleOutPlan struct {
	autoscaler     *Autoscaler
	slots          map[protocol.ZoneName][]*capacitySlot // of every zone
	want           map[Offer]int                         // machines to rent
	anyWithoutGPUs bool                                  // something that waits takes no GPUs
}

// add enters room that is there.
func (k *scaleOutPlan) add(r *capacitySlot) {
	if !k.exhausted(r) {
		k.slots[r.offer.Zone] = append(k.slots[r.offer.Zone], r)
	}
}

// exhausted says whether nothing that waits can have any of the room.
func (k *scaleOutPlan) exhausted(r *capacitySlot) bool {
	machineType := k.autoscaler.state.Types[r.offer.TypeName]
	return r.free.CPUs < cluster.AmountTolerance || r.free.MemoryGB < cluster.AmountTolerance || !k.anyWithoutGPUs && machineType.GPUs > 0 && r.free.GPUs < cluster.AmountTolerance
}

// shortage is how many of n tasks find no room in a zone.
func (k *scaleOutPlan) shortage(job *cluster.Job, zone protocol.ZoneName, n int) int {
	for _, r := range k.slots[zone] {
		if n == 0 {
			break
		}
		if k.autoscaler.serves(r, job) {
			n -= r.free.Fit(job.Spec, n)
		}
	}
	return n
}

// take gives up to n tasks room in a zone and returns how many have it.
func (k *scaleOutPlan) take(job *cluster.Job, zone protocol.ZoneName, n int) (taken int) {
	used := false
	for _, r := range k.slots[zone] {
		if taken == n {
			break
		}
		if k.autoscaler.serves(r, job) {
			fits := r.free.Fit(job.Spec, n-taken)
			r.free.AddTasks(job.Spec, -fits)
			taken += fits
			used = used || fits > 0 && k.exhausted(r)
		}
	}
	if used {
		k.slots[zone] = slices.DeleteFunc(k.slots[zone], k.exhausted)
	}
	return taken
}

// rent wants machines for n tasks.
func (k *scaleOutPlan) rent(job *cluster.Job, o Offer, n int) {
	for n > 0 {
		r := &capacitySlot{nil, o, cluster.CapacityOf(k.autoscaler.state.Types[o.TypeName])}
		fits := r.free.Fit(job.Spec, n)
		r.free.AddTasks(job.Spec, -fits)
		n -= fits
		k.want[o]++
		k.add(r)
	}
}

// planGang finds the zone where a gang lacks least and takes what it needs there,
// room that is there first.
func (k *scaleOutPlan) planGang(d scheduler.Demand) {
	bestZone, bestLack, bestOffers := protocol.ZoneName(""), math.MaxInt, []Offer(nil)
	for _, z := range k.autoscaler.state.Config.Cluster.Zones {
		lack := k.shortage(d.Job, z, d.Tasks)
		var offers []Offer
		if lack > 0 {
			if offers = k.autoscaler.offers(d.Job, z); len(offers) == 0 {
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

// planTasks takes room for tasks that may be anywhere, within what the job allows
// of each zone.
func (k *scaleOutPlan) planTasks(d scheduler.Demand) {
	job, need := d.Job, d.Tasks
	limit, only := k.autoscaler.state.ZoneLimits(job)
	for _, z := range k.autoscaler.state.Config.Cluster.Zones {
		if only == "" || only == z {
			n := k.take(job, z, min(need, limit[z]))
			need -= n
			limit[z] -= n
		}
	}
	if need == 0 {
		return
	}
	wait := k.autoscaler.hasSlack(job)
	for _, o := range k.autoscaler.offers(job, only) {
		if wait && !o.Spot {
			continue // an ordinary machine is for when time runs out
		}
		n := min(need, limit[o.Zone])
		k.rent(job, o, n)
		need -= n
		limit[o.Zone] -= n
	}
}
