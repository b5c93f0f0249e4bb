package coordination

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// offer is what can be rented: a type in a zone, ordinary or spot.
type offer struct {
	typeName protocol.MachineTypeName
	zone     protocol.ZoneName
	spot     bool
}

// rental is a request under way.
type rental struct {
	offer offer
	count int
	body  protocol.Rental
	tries int
}

// demandSlot is a machine, there or on its way, in the reckoning of demand.
type demandSlot struct {
	m     *cluster.Machine // nil while it is only asked for
	offer offer
	left  cluster.Resources
}

// serves says whether a job could use the room. Room that the job avoids must
// not count, or it would wait for it instead of for a machine to rent.
func (l *leader) serves(r *demandSlot, j *cluster.Job) bool {
	return cluster.Allows(j.Spec, r.offer.typeName, r.offer.zone, r.offer.spot) && (r.m == nil || !l.cluster.Avoids(j, r.m))
}

// rent asks for the machines that waiting jobs lack, beyond those that are
// there, on their way or being emptied for them.
func (l *leader) rent() {
	f := &l.fleet
	k := l.newRentalPlan()
	for _, d := range f.demand {
		if d.Job.Finished || d.Job.Cancelled {
			continue
		}
		if d.Job.Spec.Gang() && d.Job.Spec.OneZone {
			k.gang(d)
		} else {
			k.tasks(d)
		}
	}
	f.demand = nil
	l.plan = true
	if !l.n.now.Before(f.reserveAt) {
		f.reserveAt = l.n.now.Add(tuning.ReserveEvery)
		l.planReserve(k.want)
	}
	l.sendRentals(k.want)
}

// newRentalPlan begins with the room that is there and on its way.
func (l *leader) newRentalPlan() *rentalPlan {
	f := &l.fleet
	f.load = map[protocol.ZoneName]int{}
	k := &rentalPlan{l: l, slots: map[protocol.ZoneName][]*demandSlot{}, want: map[offer]int{},
		plain: slices.ContainsFunc(f.demand, func(d scheduler.Demand) bool { return d.Job.Spec.GPUs == 0 })}
	for _, m := range l.cluster.OrderedMachines {
		f.load[m.Zone]++
		t := l.cluster.TypeOf(m)
		if t == nil || m.Deleting || m.Cordoned {
			continue
		}
		// What is booting, or has yet to report to a new leader, is not rented again.
		booting := l.isBooting(m) || !m.Agent.Heard && l.n.now.Sub(l.cluster.LeadingSince) < l.cluster.SilenceTimeout()
		if !booting && (!l.cluster.HeardRecently(m) || l.cluster.NotReceiving(m) || l.cluster.NotReporting(m) || !m.Agent.TokenConfirmed && !m.Recorded) {
			continue
		}
		left := l.cluster.FreeResources(m)
		for _, c := range m.Attempts {
			if c.Stopping || l.endsWithin(c, config.Seconds(t.BootS)) {
				left.AddTasks(c.Job.Spec, 1) // free before a rented machine would be up
			}
		}
		k.add(&demandSlot{m, offer{m.TypeName, m.Zone, m.Spot}, left})
	}
	for _, r := range f.rentals {
		for range r.count {
			k.add(&demandSlot{nil, r.offer, cluster.CapacityOf(l.n.types[r.offer.typeName])})
		}
	}
	return k
}

// sendRentals asks the cloud for machines.
func (l *leader) sendRentals(want map[offer]int) {
	f := &l.fleet
	offers := slices.SortedFunc(maps.Keys(want), func(a, b offer) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.typeName, b.typeName), cluster.TrueFirst(a.spot, b.spot))
	})
	for _, o := range offers {
		if !f.calls.AllowN(l.n.now, 1) {
			return
		}
		n := min(want[o], tuning.RentCount)
		r := &rental{offer: o, count: n, body: protocol.Rental{Request: l.n.unique(), Type: o.typeName, Zone: o.zone, Spot: o.spot, Count: n}}
		f.rentals = append(f.rentals, r)
		l.n.log.Info("renting", "type", o.typeName, "zone", o.zone, "spot", o.spot, "count", n)
		l.sendRental(r)
	}
}

// endsWithin says whether an attempt is likely to end within a span, by its
// owner's estimate; one that has outrun its estimate may take as long again.
func (l *leader) endsWithin(c *cluster.Attempt, d time.Duration) bool {
	if c.RunningSince.IsZero() || c.Job.Spec.Service() {
		return false
	}
	estimate := config.Seconds(c.Job.Spec.EstimateS * tuning.EstimateSlack)
	left := estimate - l.n.now.Sub(c.RunningSince)
	return left > 0 && left <= d
}

// hasSlack says whether a job's deadline leaves time to wait for machines that
// others free: renting later would still do.
func (l *leader) hasSlack(j *cluster.Job) bool {
	if j.Spec.DeadlineS <= 0 || j.Spec.Gang() || j.Spec.Service() {
		return false
	}
	boot := 0.0
	for _, t := range l.n.types {
		if t.Fits(j.Spec) {
			boot = max(boot, t.BootS)
		}
	}
	need := config.Seconds(j.Spec.EstimateS*tuning.EstimateSlack + l.cluster.ImageFetchSeconds(j.Spec) + boot*tuning.BootSlackShare)
	return l.n.now.Add(need).Before(j.SubmittedAt.Add(config.Seconds(j.Spec.DeadlineS)))
}

// offers lists what could be rented for a job, the cheapest first.
func (l *leader) offers(j *cluster.Job, zone protocol.ZoneName) []offer {
	type priced struct {
		offer
		price float64
	}
	var list []priced
	for _, t := range l.n.types {
		if !t.Fits(j.Spec) {
			continue
		}
		for _, z := range t.Zones {
			if zone != "" && z != zone || j.Spec.Zone != "" && z != j.Spec.Zone {
				continue
			}
			for _, spot := range []bool{true, false} {
				o := offer{t.Name, z, spot}
				if spot && !j.Spec.Spot || l.n.now.Before(l.fleet.refused[o]) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				list = append(list, priced{o, price / float64(max(1, cluster.CapacityOf(t).Fit(j.Spec, len(j.Tasks))))})
			}
		}
	}
	load := l.fleet.load
	slices.SortFunc(list, func(a, b priced) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(load[a.zone], load[b.zone]), cmp.Compare(a.zone, b.zone), cmp.Compare(a.typeName, b.typeName))
	})
	out := make([]offer, len(list))
	for i, p := range list {
		out[i] = p.offer
	}
	return out
}

// sendRental sends a request. One whose answer is lost is sent again under the
// same name: the cloud then gives the same machines.
func (l *leader) sendRental(r *rental) {
	f := &l.fleet
	r.tries++
	l.n.request(ToCloud, "", "POST", protocol.PathMachines, r.body, tuning.CloudTimeout, func(status int, body []byte) {
		if l.n.lead != l {
			return
		}
		names, ok := parse[protocol.MachineNames](body)
		refused, _ := parse[protocol.ErrorBody](body)
		switch {
		case status == 200 && ok:
			for _, id := range names.Machines {
				if _, gone := f.deleted[id]; !gone && id != "" {
					m := l.cluster.EnsureMachine(id, "", r.offer.typeName, r.offer.zone, r.offer.spot)
					m.CreatedAt = l.n.now
					if m.Record == nil {
						l.queueMachineRecord(m) // all at once, and before they are up
					}
				}
			}
			if len(names.Machines) < r.count {
				f.refused[r.offer] = l.n.now.Add(tuning.NoCapacityPause)
			}
		case status == 503 && refused.Error == protocol.NoCapacity:
			f.refused[r.offer] = l.n.now.Add(tuning.NoCapacityPause)
		case status != 400 && r.tries < tuning.RentTries:
			l.n.after(time.Second, func() {
				if l.n.lead == l {
					l.sendRental(r)
				}
			})
			return
		default:
			l.n.log.Error("rental failed", "status", status, "body", string(body))
		}
		f.rentals = slices.DeleteFunc(f.rentals, func(o *rental) bool { return o == r })
		l.plan = true
	})
}
