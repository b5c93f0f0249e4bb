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
	supply map[string]*supply
}

// supply is the most that a zone could give to a job: what is free or on its
// way out, and what runs there, by its priority.
type supply struct {
	free room
	work [protocol.RankCritical + 1]room
}

// newPass looks every machine over.
func (l *leader) newPass() *pass {
	p := &pass{looks: len(l.roster), most: len(l.roster) + tuning.LooksLeast}
	if cores := l.n.cfg.Cluster.Resources.Cores; cores > 0 {
		p.most = max(p.most, int(cores*float64(tuning.PassLength/tuning.LookCost)))
	}
	for _, m := range l.roster {
		if !l.open(m) {
			continue
		}
		p.open = append(p.open, m)
		if m.roomy(l.kind(m)) {
			p.vacant = append(p.vacant, m)
		}
	}
	return p
}

// present is the pass under way, or one just for the caller.
func (l *leader) present() *pass {
	if l.pass != nil {
		return l.pass
	}
	return l.newPass()
}

// spent says whether the pass has looked at so much that the rest of the queue
// takes its turn at making room in the next one.
func (p *pass) spent() bool { return p.looks >= p.most }

// supplies adds up what the zones could give.
func (l *leader) supplies(p *pass) map[string]*supply {
	if p.supply != nil {
		return p.supply
	}
	p.supply = map[string]*supply{}
	p.looks += len(p.open)
	for _, m := range p.open {
		s := p.supply[m.zone]
		if s == nil {
			s = &supply{}
			p.supply[m.zone] = s
		}
		s.free.plus(l.left(m))
		for _, c := range m.copies {
			if c.stop {
				s.free.add(c.j.spec, 1)
			} else {
				s.work[c.j.rank].add(c.j.spec, 1)
			}
		}
	}
	return p.supply
}

// hopeless says that no search can make room for n tasks of a job: all that
// may be stopped for it, whoever runs it, and all that is free are not enough.
// With the machines full of work that does not yield, which is when most jobs
// wait, this spares a look at every machine for each of them.
func (l *leader) hopeless(j *job, n int) bool {
	if !j.spec.Gang() {
		n = 1
	}
	yielding := j.rank // work below this priority may be stopped
	if j.entitled {
		yielding++
	}
	if yielding == protocol.RankIdle && !j.spec.Gang() {
		return true
	}
	var all room
	for zone, s := range l.supplies(l.present()) {
		if j.spec.Zone != "" && zone != j.spec.Zone {
			continue
		}
		r := s.free
		for rank := protocol.RankIdle; rank < yielding && int(rank) < len(s.work); rank++ {
			r.plus(s.work[rank])
		}
		if r.holds(j.spec, n) == n {
			return false
		}
		all.plus(r)
	}
	return j.spec.OneZone || all.holds(j.spec, n) < n
}

// planPause is the pause after a pass over the queue: longer the more machines
// it had to look at and the smaller the controller's share of a core is, so
// that planning leaves time for reports and commits.
func (l *leader) planPause() time.Duration {
	pause := l.n.cfg.Cluster.Resources.Pause(time.Duration(l.looks)*tuning.LookCost, tuning.PlanShare)
	return min(max(pause, tuning.PlanEvery), tuning.PlanIdle)
}
