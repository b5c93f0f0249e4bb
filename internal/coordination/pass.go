package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// pass is one pass over the queue. What every job would have to look up in the
// whole fleet is looked up once; what no look can find is not looked for.
type pass struct {
	open   []*machine // machines that take tasks
	vacant []*machine // those of them that have room for a task that takes GPUs, if they have any
	looks  int        // machines looked at so far
	most   int        // looks after which no more room is made in this pass
	supply map[protocol.ZoneName]*supply
	// free room of every zone's machines that have yet to report in a recovery
	awaited map[protocol.ZoneName]resources
}

// supply is the most that a zone could give to a job: what is free or on its
// way out, and what runs there, by its priority.
type supply struct {
	free resources
	work [protocol.RankCritical + 1]resources
}

// newPass looks every machine over.
func (l *leader) newPass() *pass {
	p := &pass{looks: len(l.roster), most: len(l.roster) + tuning.LooksLeast}
	if cores := l.n.cfg.Cluster.Resources.Cores; cores > 0 {
		p.most = max(p.most, int(cores*float64(tuning.PassLength/tuning.LookCost)))
	}
	for _, m := range l.roster {
		if !l.takesTasks(m) {
			continue
		}
		p.open = append(p.open, m)
		if m.hasFree(l.kind(m)) {
			p.vacant = append(p.vacant, m)
		}
	}
	return p
}

// currentPass is the pass under way, or one just for the caller.
func (l *leader) currentPass() *pass {
	if l.pass != nil {
		return l.pass
	}
	return l.newPass()
}

// isExhausted says whether the pass has looked at so much that the rest of the queue
// takes its turn at making room in the next one.
func (p *pass) isExhausted() bool { return p.looks >= p.most }

// zoneSupplies adds up what the zones could give.
func (l *leader) zoneSupplies(p *pass) map[protocol.ZoneName]*supply {
	if p.supply != nil {
		return p.supply
	}
	p.supply = map[protocol.ZoneName]*supply{}
	p.looks += len(p.open)
	for _, m := range p.open {
		s := p.supply[m.zone]
		if s == nil {
			s = &supply{}
			p.supply[m.zone] = s
		}
		s.free.add(l.freeResources(m))
		for _, c := range m.attempts {
			if c.stop {
				s.free.addTasks(c.j.spec, 1)
			} else {
				s.work[c.j.rank].addTasks(c.j.spec, 1)
			}
		}
	}
	return p.supply
}

// isRoomAwaited says whether, in a recovery, machines that have yet to report to this leader
// may have room for n tasks of a job. Nothing is stopped for it until they have reported,
// or could have: else work would be stopped beside room that is free.
func (l *leader) isRoomAwaited(j *job, n int) bool {
	if !l.recovering() || l.n.now.Sub(l.since) > l.silence() {
		return false
	}
	var all resources
	for zone, room := range l.awaitedRoom(l.currentPass()) {
		if j.spec.Zone != "" && zone != j.spec.Zone {
			continue
		}
		if room.fit(j.spec, n) == n {
			return true
		}
		all.add(room)
	}
	return !j.spec.OneZone && all.fit(j.spec, n) == n
}

// awaitedRoom adds up what machines have free that have yet to report.
func (l *leader) awaitedRoom(p *pass) map[protocol.ZoneName]resources {
	if p.awaited != nil {
		return p.awaited
	}
	p.awaited = map[protocol.ZoneName]resources{}
	p.looks += len(l.roster)
	for _, m := range l.roster {
		if m.loaded && !m.tokenConfirmed && !m.deleting && !m.cordoned && !m.lapsed {
			room := p.awaited[m.zone]
			room.add(l.freeResources(m))
			p.awaited[m.zone] = room
		}
	}
	return p.awaited
}

// cannotMakeRoom says that no search can make room for n tasks of a job: all that
// may be stopped for it, whoever runs it, and all that is free are not enough.
// With the machines full of work that does not yield, which is when most jobs
// wait, this spares a look at every machine for each of them.
func (l *leader) cannotMakeRoom(j *job, n int) bool {
	if !j.spec.Gang() {
		n = 1
	}
	yielding := j.rank // work below this priority may be stopped
	if j.mayReclaim {
		yielding++
	}
	if yielding == protocol.RankIdle && !j.spec.Gang() {
		return true
	}
	var all resources
	for zone, s := range l.zoneSupplies(l.currentPass()) {
		if j.spec.Zone != "" && zone != j.spec.Zone {
			continue
		}
		r := s.free
		for rank := protocol.RankIdle; rank < yielding && int(rank) < len(s.work); rank++ {
			r.add(s.work[rank])
		}
		if r.fit(j.spec, n) == n {
			return false
		}
		all.add(r)
	}
	return j.spec.OneZone || all.fit(j.spec, n) < n
}

// planPause is the pause after a pass over the queue: longer the more machines
// it had to look at and the smaller the controller's share of a core is, so
// that planning leaves time for reports and commits.
func (l *leader) planPause() time.Duration {
	pause := l.n.cfg.Cluster.Resources.Pause(time.Duration(l.looks)*tuning.LookCost, tuning.PlanShare)
	return min(max(pause, tuning.PlanEvery), tuning.PlanIdle)
}
