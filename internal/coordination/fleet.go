package coordination

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// fleet is the leader's dealings with the cloud.
type fleet struct {
	calls    *rate.Limiter
	demand   []demand
	load     map[string]int       // machines in every zone, at the last reckoning
	deleted  map[string]time.Time // names that are gone for certain
	rentals  []*rental
	refused  map[offer]time.Time
	listing  bool
	listAt   time.Time
	rentAt   time.Time
	packAt   time.Time
	deleting bool
	deleteAt time.Time
}

// offer is what can be rented: a type in a zone, ordinary or spot.
type offer struct {
	typeName, zone string
	spot           bool
}

// rental is a request under way.
type rental struct {
	offer offer
	count int
	body  protocol.Rental
	tries int
}

// spareRoom is a machine, there or on its way, in the reckoning of demand.
type spareRoom struct {
	m     *machine // nil while it is only asked for
	offer offer
	left  room
}

// serves says whether a job could use the room. Room that the job avoids must
// not count, or it would wait for it instead of for a machine to rent.
func (l *leader) serves(r *spareRoom, j *job) bool {
	return allows(j.spec, r.offer.typeName, r.offer.zone, r.offer.spot) && (r.m == nil || !l.avoids(j, r.m))
}

func newFleet(rps float64) fleet {
	return fleet{calls: rate.NewLimiter(rate.Limit(rps*tuning.CloudShare), max(1, int(rps))),
		deleted: map[string]time.Time{}, refused: map[offer]time.Time{}}
}

func (l *leader) tickFleet() {
	f := &l.fleet
	now := l.n.now
	l.moveReplicas()
	spares := l.spares()
	for _, m := range l.roster {
		l.judge(m, spares)
	}
	if !f.deleting && !now.Before(f.deleteAt) {
		l.sendDeletes()
	}
	if !f.listing && !now.Before(f.listAt) && f.calls.AllowN(now, 1) {
		f.listing = true
		l.list("")
	}
	if !now.Before(f.packAt) {
		f.packAt = now.Add(tuning.PackEvery)
		l.pack()
	}
	if !now.Before(f.rentAt) && now.Sub(l.since) > tuning.RentAfterTakeover && len(l.n.types) > 0 {
		f.rentAt = now.Add(tuning.RentEvery)
		l.rent()
	}
}

// judge decides whether a machine is to go.
func (l *leader) judge(m *machine, spares map[string]int) {
	if m.deleting {
		return
	}
	now := l.n.now
	t := l.kind(m)
	switch {
	case m.phase == protocol.MachineFailed:
		l.delete(m, "failed")
	case !m.reported && m.session == 0 && t != nil && now.Sub(m.born) > seconds(t.BootS*tuning.BootPatience)+tuning.BootSlack:
		l.delete(m, "never came up")
	case len(m.copies) > 0 || !m.reported || m.lapsed:
	case m.closed:
		l.delete(m, "emptied")
	case m.hold == nil && now.Sub(m.idleSince) > l.n.cfg.Operator.IdleReturn && !l.spareWanted(m, spares):
		l.delete(m, "idle")
	}
}

// spares counts the machines of every zone that could serve as spares. Spares
// are kept while jobs come; a machine that only carries work of the lowest
// priority is a spare too, for it yields at once. Jobs that may not use spot
// machines need spares that are none.
func (l *leader) spares() map[string]int {
	count := map[string]int{}
	if l.n.now.Sub(l.lastJob) > tuning.SpareMemory {
		return count
	}
	for _, m := range l.roster {
		if l.mayBeSpare(m) {
			count[m.zone]++
		}
	}
	return count
}

func (l *leader) mayBeSpare(m *machine) bool {
	ordinary := l.n.now.Sub(l.lastOrdinary) <= tuning.SpareMemory
	return l.open(m) && !(ordinary && m.spot) && m.yields()
}

// spareWanted says whether an idle machine is one of its zone's spares. One
// that is not no longer counts as such.
func (l *leader) spareWanted(m *machine, spares map[string]int) bool {
	if spares[m.zone] == 0 || !l.mayBeSpare(m) {
		return false
	}
	if spares[m.zone] <= l.n.cfg.Operator.SparesPerZone {
		return true
	}
	spares[m.zone]--
	return false
}

// yields says whether all that a machine carries is of the lowest priority.
func (m *machine) yields() bool {
	for _, c := range m.copies {
		if c.j.rank > protocol.RankIdle {
			return false
		}
	}
	return true
}

// pack empties machines that waste most money, if nothing waits and what they
// carry can be saved and fits elsewhere: the paper's defragmentation, for the
// sake of returning machines instead of making larger blocks. The larger the
// fleet, the more machines at once.
func (l *leader) pack() {
	if l.waiting > 0 {
		return
	}
	type choice struct {
		m     *machine
		waste float64
	}
	var list []choice
	p := packing{left: map[*machine]room{}, emptied: map[*machine]bool{}}
	for _, m := range l.roster {
		t := l.kind(m)
		if !l.open(m) || m.hold != nil || len(m.copies) == 0 || t.GPUs == 0 {
			continue
		}
		p.targets = append(p.targets, m)
		if m.gpus <= t.GPUs*tuning.PackBelow {
			list = append(list, choice{m, l.price(m) * (t.GPUs - m.gpus)})
		}
	}
	slices.SortStableFunc(list, func(a, b choice) int { return cmp.Compare(b.waste, a.waste) })
	slices.SortStableFunc(p.targets, func(a, b *machine) int { return cmp.Compare(b.gpus, a.gpus) })
	most := max(1, len(l.roster)/tuning.PackFleet)
	for _, c := range list[:min(len(list), tuning.PackTries*most)] {
		if len(p.emptied) == most {
			return
		}
		if _, taken := p.left[c.m]; !taken && c.waste > 0 && l.movable(c.m, &p) {
			p.emptied[c.m] = true
			l.n.log.Info("packing", "machine", c.m.id, "tasks", len(c.m.copies))
			l.drain(c.m)
		}
	}
}

// packing is one round of moves: machines that take tasks, the fullest first,
// what they have left after the moves so far, and those that are emptied.
type packing struct {
	targets []*machine
	left    map[*machine]room
	emptied map[*machine]bool
}

// movable says whether all that a machine carries is worth moving and fits on
// other machines that are not dearer; if so the room is taken there.
func (l *leader) movable(m *machine, p *packing) bool {
	taken := map[*machine]room{}
	for _, c := range sortedCopies(m) {
		s := c.j.spec
		rest := s.EstimateS - l.n.now.Sub(c.running).Seconds()
		if c.stop || c.running.IsZero() || s.Gang() || s.CheckpointS == 0 || rest < tuning.PackWorth {
			return false
		}
		found := false
		for _, o := range p.targets {
			if o == m || p.emptied[o] || l.price(o) > l.price(m) || !l.usable(c.j, o) {
				continue
			}
			r, ok := taken[o]
			if !ok {
				if r, ok = p.left[o]; !ok {
					r = l.left(o)
				}
			}
			if r.holds(s, 1) == 1 {
				r.add(s, -1)
				taken[o], found = r, true
				break
			}
		}
		if !found {
			return false
		}
	}
	maps.Copy(p.left, taken)
	return true
}

// delete marks a machine to be returned.
func (l *leader) delete(m *machine, why string) {
	if m.deleting {
		return
	}
	m.deleting = true
	l.n.log.Info("returning machine", "machine", m.id, "why", why)
}

func (l *leader) sendDeletes() {
	f := &l.fleet
	var names []string
	for _, m := range l.roster {
		if m.deleting && len(names) < tuning.DeleteCount {
			names = append(names, m.id)
		}
	}
	if len(names) == 0 || !f.calls.AllowN(l.n.now, 1) {
		return
	}
	f.deleting = true
	l.n.request(ToCloud, "", "POST", protocol.PathDeleteMachines, protocol.MachineNames{Machines: names}, tuning.CloudTimeout, func(status int, _ []byte) {
		if l.n.lead != l {
			return
		}
		f.deleting = false
		if status != 200 {
			f.deleteAt = l.n.now.Add(time.Second)
			return
		}
		for _, id := range names {
			l.forget(id)
		}
	})
}

// forget takes a machine out that is gone for certain.
func (l *leader) forget(id string) {
	m := l.machines[id]
	if m == nil {
		return
	}
	l.fleet.deleted[id] = l.n.now
	for _, c := range sortedCopies(m) {
		l.drop(c)
	}
	m.release()
	delete(l.machines, id)
	l.roster = slices.DeleteFunc(slices.Clone(l.roster), func(o *machine) bool { return o == m })
	l.leaveRack(m)
	l.plan = true
}

// list reads the machine list, page by page.
func (l *leader) list(after string) {
	f := &l.fleet
	l.n.request(ToCloud, "", "GET", protocol.MachinesPath(after, tuning.ListPage), nil, tuning.CloudTimeout, func(status int, body []byte) {
		if l.n.lead != l {
			return
		}
		page, ok := parse[protocol.MachineList](body)
		if status != 200 || !ok {
			f.listing, f.listAt = false, l.n.now.Add(time.Second)
			return
		}
		last := ""
		for i := range page.Machines {
			l.listed(&page.Machines[i])
			last = page.Machines[i].ID
		}
		if page.More && last != "" {
			l.list(last)
			return
		}
		f.listing, f.listAt = false, l.n.now.Add(tuning.ListEvery)
	})
}

// listed takes one machine of the list. Machines that nobody expected are
// used like any other, and returned when they are idle.
func (l *leader) listed(e *protocol.Machine) {
	if e.ID == "" || strings.ContainsAny(e.ID, " /") {
		return
	}
	if _, gone := l.fleet.deleted[e.ID]; gone {
		return
	}
	m := l.machines[e.ID]
	if m == nil {
		m = l.machine(e.ID, e.Address, e.Type, e.Zone, e.Spot)
		m.born = l.n.now.Add(-seconds(min(max(e.AgeS, 0), 1e6)))
		if e.Phase == protocol.MachineRunning {
			// It is up but has yet to report to this leader: it gets its time.
			m.born = l.n.now
		}
	}
	if m.address == "" {
		m.address = e.Address
	}
	m.phase = e.Phase
}

// rent asks for the machines that waiting jobs lack, beyond those that are
// there, on their way or being emptied for them.
func (l *leader) rent() {
	f := &l.fleet
	now := l.n.now
	f.load = map[string]int{}
	k := &reckoning{l: l, rooms: map[string][]*spareRoom{}, want: map[offer]int{},
		plain: slices.ContainsFunc(f.demand, func(d demand) bool { return d.j.spec.GPUs == 0 })}
	for _, m := range l.roster {
		f.load[m.zone]++
		t := l.kind(m)
		if t == nil || m.deleting || m.closed {
			continue
		}
		// What is booting, or has yet to report to a new leader, is not rented again.
		booting := l.booting(m) || !m.reported && now.Sub(l.since) < l.silence()
		if !booting && (!l.recent(m) || l.deaf(m) || l.mute(m) || !m.fresh && !m.recorded) {
			continue
		}
		left := l.left(m)
		for _, c := range m.copies {
			if c.stop || l.endsWithin(c, seconds(t.BootS)) {
				left.add(c.j.spec, 1) // free before a rented machine would be up
			}
		}
		k.add(&spareRoom{m, offer{m.typeName, m.zone, m.spot}, left})
	}
	for _, r := range f.rentals {
		for range r.count {
			k.add(&spareRoom{nil, r.offer, fullRoom(l.n.types[r.offer.typeName])})
		}
	}
	for _, d := range f.demand {
		if d.j.gone || d.j.cancelled {
			continue
		}
		if d.j.spec.Gang() && d.j.spec.OneZone {
			k.gang(d)
		} else {
			k.tasks(d)
		}
	}
	f.demand = nil
	l.plan = true
	var offers []offer
	for o := range k.want {
		offers = append(offers, o)
	}
	slices.SortFunc(offers, func(a, b offer) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.typeName, b.typeName), trueFirst(a.spot, b.spot))
	})
	for _, o := range offers {
		if !f.calls.AllowN(now, 1) {
			return
		}
		n := min(k.want[o], tuning.RentCount)
		r := &rental{offer: o, count: n, body: protocol.Rental{Request: l.n.unique(), Type: o.typeName, Zone: o.zone, Spot: o.spot, Count: n}}
		f.rentals = append(f.rentals, r)
		l.n.log.Info("renting", "type", o.typeName, "zone", o.zone, "spot", o.spot, "count", n)
		l.sendRental(r)
	}
}

// endsWithin says whether a copy is likely to end within a span, by its
// owner's estimate; one that has outrun its estimate may take as long again.
func (l *leader) endsWithin(c *taskCopy, d time.Duration) bool {
	if c.running.IsZero() || c.j.spec.Service() {
		return false
	}
	estimate := seconds(c.j.spec.EstimateS * tuning.EstimateSlack)
	left := estimate - l.n.now.Sub(c.running)
	return left > 0 && left <= d
}

// canWait says whether a job's deadline leaves time to wait for machines that
// others free: renting later would still do.
func (l *leader) canWait(j *job) bool {
	if j.spec.DeadlineS <= 0 || j.spec.Gang() || j.spec.Service() {
		return false
	}
	boot := 0.0
	for _, t := range l.n.types {
		if t.Fits(j.spec) {
			boot = max(boot, t.BootS)
		}
	}
	need := seconds(j.spec.EstimateS*tuning.EstimateSlack + l.fetchSeconds(j.spec) + boot*tuning.BootSlackShare)
	return l.n.now.Add(need).Before(j.at.Add(seconds(j.spec.DeadlineS)))
}

// offers lists what could be rented for a job, the cheapest first.
func (l *leader) offers(j *job, zone string) []offer {
	type priced struct {
		offer
		price float64
	}
	var list []priced
	for _, t := range l.n.types {
		if !t.Fits(j.spec) {
			continue
		}
		for _, z := range t.Zones {
			if zone != "" && z != zone || j.spec.Zone != "" && z != j.spec.Zone {
				continue
			}
			for _, spot := range []bool{true, false} {
				o := offer{t.Name, z, spot}
				if spot && !j.spec.Spot || l.n.now.Before(l.fleet.refused[o]) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				list = append(list, priced{o, price / float64(max(1, fullRoom(t).holds(j.spec, len(j.tasks))))})
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

// reckoning compares what waits with what is there and on its way. Room that
// is used up is left out at once: with the machines full, that is nearly all of
// it, and every job that waits looks at the rest.
type reckoning struct {
	l     *leader
	rooms map[string][]*spareRoom // of every zone
	want  map[offer]int           // machines to rent
	plain bool                    // something that waits takes no GPUs
}

// add enters room that is there.
func (k *reckoning) add(r *spareRoom) {
	if !k.usedUp(r) {
		k.rooms[r.offer.zone] = append(k.rooms[r.offer.zone], r)
	}
}

// usedUp says whether nothing that waits can have any of the room.
func (k *reckoning) usedUp(r *spareRoom) bool {
	t := k.l.n.types[r.offer.typeName]
	return r.left.cpus < amountSlack || r.left.memory < amountSlack || !k.plain && t.GPUs > 0 && r.left.gpus < amountSlack
}

// lack is how many of n tasks find no room in a zone.
func (k *reckoning) lack(j *job, zone string, n int) int {
	for _, r := range k.rooms[zone] {
		if n == 0 {
			break
		}
		if k.l.serves(r, j) {
			n -= r.left.holds(j.spec, n)
		}
	}
	return n
}

// take gives up to n tasks room in a zone and returns how many have it.
func (k *reckoning) take(j *job, zone string, n int) (taken int) {
	used := false
	for _, r := range k.rooms[zone] {
		if taken == n {
			break
		}
		if k.l.serves(r, j) {
			fits := r.left.holds(j.spec, n-taken)
			r.left.add(j.spec, -fits)
			taken += fits
			used = used || fits > 0 && k.usedUp(r)
		}
	}
	if used {
		k.rooms[zone] = slices.DeleteFunc(k.rooms[zone], k.usedUp)
	}
	return taken
}

// rent wants machines for n tasks.
func (k *reckoning) rent(j *job, o offer, n int) {
	for n > 0 {
		r := &spareRoom{nil, o, fullRoom(k.l.n.types[o.typeName])}
		fits := r.left.holds(j.spec, n)
		r.left.add(j.spec, -fits)
		n -= fits
		k.want[o]++
		k.add(r)
	}
}

// gang finds the zone where a gang lacks least and takes what it needs there,
// room that is there first.
func (k *reckoning) gang(d demand) {
	bestZone, bestLack, bestOffers := "", math.MaxInt, []offer(nil)
	for _, z := range k.l.n.cfg.Cluster.Zones {
		lack := k.lack(d.j, z, d.tasks)
		var offers []offer
		if lack > 0 {
			if offers = k.l.offers(d.j, z); len(offers) == 0 {
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
	if need := d.tasks - k.take(d.j, bestZone, d.tasks); need > 0 {
		k.rent(d.j, bestOffers[0], need)
	}
}

// tasks takes room for tasks that may be anywhere, within what the job allows
// of each zone.
func (k *reckoning) tasks(d demand) {
	j, need := d.j, d.tasks
	limit, only := k.l.zoneLimits(j)
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
	wait := k.l.canWait(j)
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
					m := l.machine(id, "", r.offer.typeName, r.offer.zone, r.offer.spot)
					m.born = l.n.now
					if m.rack == nil {
						l.writeRoom(m) // all at once, and before they are up
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
