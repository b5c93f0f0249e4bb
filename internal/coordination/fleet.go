package coordination

import (
	"slices"
	"strings"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// fleet is the leader's dealings with the cloud.
type fleet struct {
	calls   *rate.Limiter
	demand  []scheduler.Demand
	load    map[protocol.ZoneName]int        // machines in every zone, at the last reckoning
	deleted map[protocol.MachineID]time.Time // names that are gone for certain
	rentals []*rental
	refused map[offer]time.Time
	listing bool
	listAt  time.Time
	pages   int // of the machine list under way, or of the last one
	rentAt  time.Time
	// idle machines that the replicas of a zone would need if it were lost
	reserve   map[*cluster.Machine]bool
	reserveAt time.Time
	packAt    time.Time
	deleting  bool
	deleteAt  time.Time
}

func newFleet(rps float64) fleet {
	return fleet{calls: rate.NewLimiter(rate.Limit(rps*tuning.CloudShare), max(1, int(rps))),
		deleted: map[protocol.MachineID]time.Time{}, refused: map[offer]time.Time{}}
}

func (l *leader) tickFleet() {
	f := &l.fleet
	now := l.n.now
	l.scheduler.MoveReplicas()
	spares := l.spares()
	for _, m := range l.cluster.OrderedMachines {
		l.considerReturn(m, spares)
	}
	if !f.deleting && !now.Before(f.deleteAt) {
		l.sendDeletes()
	}
	if !f.listing && !now.Before(f.listAt) && f.calls.AllowN(now, 1) {
		f.listing, f.pages = true, 0
		l.list("")
	}
	if !now.Before(f.packAt) {
		f.packAt = now.Add(tuning.PackEvery)
		l.pack()
	}
	if !now.Before(f.rentAt) && now.Sub(l.cluster.LeadingSince) > tuning.RentAfterTakeover && len(l.n.types) > 0 {
		f.rentAt = now.Add(tuning.RentEvery)
		l.rent()
	}
}

// considerReturn decides whether a machine is to go.
func (l *leader) considerReturn(m *cluster.Machine, spares map[protocol.ZoneName]int) {
	if m.Deleting {
		return
	}
	now := l.n.now
	t := l.cluster.TypeOf(m)
	switch {
	case m.Phase == protocol.MachineFailed:
		l.delete(m, "failed")
	case !m.Agent.Heard && m.Agent.Incarnation == 0 && t != nil && now.Sub(m.CreatedAt) > config.Seconds(t.BootS*tuning.BootPatience)+tuning.BootSlack:
		l.delete(m, "never came up")
	case len(m.Attempts) > 0 || !m.Agent.Heard || m.Agent.LeaseExpired:
	case m.Cordoned:
		l.delete(m, "emptied")
	case m.ReservedFor == nil && now.Sub(m.IdleSince) > l.n.cfg.Operator.IdleReturn && !l.spareWanted(m, spares) && !l.fleet.reserve[m]:
		l.delete(m, "idle")
	}
}

// spares counts the machines of every zone that could serve as spares. Spares
// are kept while jobs come; a machine that only carries work of the lowest
// priority is a spare too, for it yields at once. Jobs that may not use spot
// machines need spares that are none.
func (l *leader) spares() map[protocol.ZoneName]int {
	count := map[protocol.ZoneName]int{}
	if l.n.now.Sub(l.lastJob) > tuning.SpareMemory {
		return count
	}
	for _, m := range l.cluster.OrderedMachines {
		if l.mayBeSpare(m) {
			count[m.Zone]++
		}
	}
	return count
}

func (l *leader) mayBeSpare(m *cluster.Machine) bool {
	ordinary := l.n.now.Sub(l.lastOrdinary) <= tuning.SpareMemory
	return l.cluster.Schedulable(m) && !(ordinary && m.Spot) && m.OnlyLowestPriority()
}

// spareWanted says whether an idle machine is one of its zone's spares. One
// that is not no longer counts as such.
func (l *leader) spareWanted(m *cluster.Machine, spares map[protocol.ZoneName]int) bool {
	if spares[m.Zone] == 0 || !l.mayBeSpare(m) {
		return false
	}
	if spares[m.Zone] <= l.n.cfg.Operator.SparesPerZone {
		return true
	}
	spares[m.Zone]--
	return false
}

// delete marks a machine to be returned.
func (l *leader) delete(m *cluster.Machine, why string) {
	if m.Deleting {
		return
	}
	m.Deleting = true
	l.n.log.Info("returning machine", "machine", m.ID, "why", why)
}

func (l *leader) sendDeletes() {
	f := &l.fleet
	var names []protocol.MachineID
	for _, m := range l.cluster.OrderedMachines {
		if m.Deleting && len(names) < tuning.DeleteCount {
			names = append(names, m.ID)
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
		l.forget(names...)
	})
}

// forget takes machines out that are gone for certain.
func (l *leader) forget(names ...protocol.MachineID) {
	for _, id := range names {
		m := l.cluster.Machines[id]
		if m == nil {
			continue
		}
		l.fleet.deleted[id] = l.n.now
		for _, c := range cluster.SortedAttemptsOn(m) {
			l.dropAttempt(c)
		}
		m.ReleaseReservation()
		delete(l.cluster.Machines, id)
		l.leaveMachineRecord(m)
		l.recovery.Known(id)
		l.plan = true
	}
	l.cluster.OrderedMachines = slices.DeleteFunc(slices.Clone(l.cluster.OrderedMachines), func(m *cluster.Machine) bool { return l.cluster.Machines[m.ID] != m })
}

// listEvery is the interval between two machine lists. The pages of a large fleet's
// list take no more than their part of the calls.
func (l *leader) listEvery() time.Duration {
	perPage := config.Seconds(1 / (float64(l.fleet.calls.Limit()) * tuning.ListShare))
	return max(tuning.ListEvery, time.Duration(l.fleet.pages)*perPage)
}

// listOn asks for the next page when the budget of calls allows it.
func (l *leader) listOn(after protocol.MachineID) {
	pause := l.fleet.calls.ReserveN(l.n.now, 1).DelayFrom(l.n.now)
	if pause == 0 {
		l.list(after)
		return
	}
	l.n.after(pause, func() {
		if l.n.lead == l {
			l.list(after)
		}
	})
}

// list reads the machine list, page by page.
func (l *leader) list(after protocol.MachineID) {
	f := &l.fleet
	f.pages++
	l.n.request(ToCloud, "", "GET", protocol.MachinesPath(after, tuning.ListPage), nil, tuning.CloudTimeout, func(status int, body []byte) {
		if l.n.lead != l {
			return
		}
		page, ok := parse[protocol.MachineList](body)
		if status != 200 || !ok {
			f.listing, f.listAt = false, l.n.now.Add(time.Second)
			return
		}
		last := protocol.MachineID("")
		for i := range page.Machines {
			l.listed(&page.Machines[i])
			last = page.Machines[i].ID
		}
		if page.More && last != "" {
			l.listOn(last)
			return
		}
		f.listing, f.listAt = false, l.n.now.Add(l.listEvery())
	})
}

// listed takes one machine of the list. Machines that nobody expected are
// used like any other, and returned when they are idle.
func (l *leader) listed(e *protocol.Machine) {
	if e.ID == "" || strings.ContainsAny(string(e.ID), " /") {
		return
	}
	if _, gone := l.fleet.deleted[e.ID]; gone {
		return
	}
	m := l.cluster.Machines[e.ID]
	if m == nil {
		m = l.cluster.EnsureMachine(e.ID, e.Address, e.Type, e.Zone, e.Spot)
		m.CreatedAt = l.n.now.Add(-config.Seconds(min(max(e.AgeS, 0), 1e6)))
		if e.Phase == protocol.MachineRunning {
			// It is up but has yet to report to this leader: it gets its time.
			m.CreatedAt = l.n.now
		}
	}
	if m.Address == "" {
		m.Address = e.Address
	}
	m.Phase = e.Phase
}
