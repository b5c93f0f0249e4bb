package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// pass is one pass over the queue. What every job would have to look up in the
// whole fleet is looked up once; what no look can find is not looked for.
type pass struct {
	open   []*cluster.Machine // machines that take tasks
	vacant []*cluster.Machine // those of them that have room for a task that takes GPUs, if they have any
	looks  int                // machines looked at so far
	most   int                // looks after which no more room is made in this pass
	supply map[protocol.ZoneName]*supply
	// free room of every zone's machines that have yet to report in a recovery
	awaited map[protocol.ZoneName]cluster.Resources
}

// supply is the most that a zone could give to a job: what is free or on its
// way out, and what runs there, by its priority.
type supply struct {
	free cluster.Resources
	work [protocol.PriorityCritical + 1]cluster.Resources
}

// newPass looks every machine over.
func (l *leader) newPass() *pass {
	p := &pass{looks: len(l.cluster.OrderedMachines), most: len(l.cluster.OrderedMachines) + tuning.LooksLeast}
	if cores := l.n.cfg.Cluster.Resources.Cores; cores > 0 {
		p.most = max(p.most, int(cores*float64(tuning.PassLength/tuning.LookCost)))
	}
	for _, m := range l.cluster.OrderedMachines {
		if !l.cluster.Schedulable(m) {
			continue
		}
		p.open = append(p.open, m)
		if m.HasFree(l.cluster.TypeOf(m)) {
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
		s := p.supply[m.Zone]
		if s == nil {
			s = &supply{}
			p.supply[m.Zone] = s
		}
		s.free.Add(l.cluster.FreeResources(m))
		for _, c := range m.Attempts {
			if c.Stopping {
				s.free.AddTasks(c.Job.Spec, 1)
			} else {
				s.work[c.Job.Priority].AddTasks(c.Job.Spec, 1)
			}
		}
	}
	return p.supply
}

// isRoomAwaited says whether, in a recovery, machines that have yet to report to this leader
// may have room for n tasks of a job. Nothing is stopped for it until they have reported,
// or could have: else work would be stopped beside room that is free.
func (l *leader) isRoomAwaited(j *cluster.Job, n int) bool {
	if !l.recovering() || l.n.now.Sub(l.cluster.LeadingSince) > l.cluster.SilenceTimeout() {
		return false
	}
	var all cluster.Resources
	for zone, room := range l.awaitedRoom(l.currentPass()) {
		if j.Spec.Zone != "" && zone != j.Spec.Zone {
			continue
		}
		if room.Fit(j.Spec, n) == n {
			return true
		}
		all.Add(room)
	}
	return !j.Spec.OneZone && all.Fit(j.Spec, n) == n
}

// awaitedRoom adds up what machines have free that have yet to report.
func (l *leader) awaitedRoom(p *pass) map[protocol.ZoneName]cluster.Resources {
	if p.awaited != nil {
		return p.awaited
	}
	p.awaited = map[protocol.ZoneName]cluster.Resources{}
	p.looks += len(l.cluster.OrderedMachines)
	for _, m := range l.cluster.OrderedMachines {
		if m.Recovered && !m.Agent.TokenConfirmed && !m.Deleting && !m.Cordoned && !m.Agent.LeaseExpired {
			room := p.awaited[m.Zone]
			room.Add(l.cluster.FreeResources(m))
			p.awaited[m.Zone] = room
		}
	}
	return p.awaited
}

// cannotMakeRoom says that no search can make room for n tasks of a job: all that
// may be stopped for it, whoever runs it, and all that is free are not enough.
// With the machines full of work that does not yield, which is when most jobs
// wait, this spares a look at every machine for each of them.
func (l *leader) cannotMakeRoom(j *cluster.Job, n int) bool {
	if !j.Spec.Gang() {
		n = 1
	}
	yielding := j.Priority // work below this priority may be stopped
	if j.Queue.MayReclaim {
		yielding++
	}
	if yielding == protocol.PriorityIdle && !j.Spec.Gang() {
		return true
	}
	var all cluster.Resources
	for zone, s := range l.zoneSupplies(l.currentPass()) {
		if j.Spec.Zone != "" && zone != j.Spec.Zone {
			continue
		}
		r := s.free
		for rank := protocol.PriorityIdle; rank < yielding && int(rank) < len(s.work); rank++ {
			r.Add(s.work[rank])
		}
		if r.Fit(j.Spec, n) == n {
			return false
		}
		all.Add(r)
	}
	return j.Spec.OneZone || all.Fit(j.Spec, n) < n
}

// planPause is the pause after a pass over the queue: longer the more machines
// it had to look at and the smaller the controller's share of a core is, so
// that planning leaves time for reports and commits.
func (l *leader) planPause() time.Duration {
	pause := l.n.cfg.Cluster.Resources.Pause(time.Duration(l.looks)*tuning.LookCost, tuning.PlanShare)
	return min(max(pause, tuning.PlanEvery), tuning.PlanIdle)
}
