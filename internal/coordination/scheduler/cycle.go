package scheduler

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// cycle is one pass over the queue. What every job would have to look up in the
// whole fleet is looked up once; what no look can find is not looked for.
type cycle struct {
	schedulable  []*cluster.Machine // machines that take tasks
	vacant       []*cluster.Machine // those of them that have room for a task that takes GPUs, if they have any
	examined     int                // machines looked at so far
	examineLimit int                // looks after which no more room is made in this pass
	supply       map[protocol.ZoneName]*zoneSupply
	// free room of every zone's machines that have yet to report in a recovery
	awaited map[protocol.ZoneName]cluster.Resources
}

// zoneSupply is the most that a zone could give to a job: what is free or on its
// way out, and what runs there, by its priority.
type zoneSupply struct {
	free        cluster.Resources
	preemptible [protocol.PriorityCritical + 1]cluster.Resources
}

// newCycle looks every machine over.
func (sc *Scheduler) newCycle() *cycle {
	p := &cycle{examined: len(sc.state.OrderedMachines), examineLimit: len(sc.state.OrderedMachines) + tuning.MinExaminedMachines}
	if cores := sc.state.Config.Cluster.Resources.Cores; cores > 0 {
		p.examineLimit = max(p.examineLimit, int(cores*float64(tuning.MaxSchedulingCycle/tuning.CandidateCPUCost)))
	}
	for _, machine := range sc.state.OrderedMachines {
		if !sc.state.Schedulable(machine) {
			continue
		}
		p.schedulable = append(p.schedulable, machine)
		if machine.HasFree(sc.state.TypeOf(machine)) {
			p.vacant = append(p.vacant, machine)
		}
	}
	return p
}

// currentCycle is the pass under way, or one just for the caller.
func (sc *Scheduler) currentCycle() *cycle {
	if sc.cycle != nil {
		return sc.cycle
	}
	return sc.newCycle()
}

// exhausted says whether the pass has looked at so much that the rest of the queue
// takes its turn at making room in the next one.
func (p *cycle) exhausted() bool { return p.examined >= p.examineLimit }

// zoneSupplies adds up what the zones could give.
func (sc *Scheduler) zoneSupplies(p *cycle) map[protocol.ZoneName]*zoneSupply {
	if p.supply != nil {
		return p.supply
	}
	p.supply = map[protocol.ZoneName]*zoneSupply{}
	p.examined += len(p.schedulable)
	for _, machine := range p.schedulable {
		s := p.supply[machine.Zone]
		if s == nil {
			s = &zoneSupply{}
			p.supply[machine.Zone] = s
		}
		s.free.Add(sc.state.FreeResources(machine))
		for _, attempt := range machine.Attempts {
			if attempt.Stopping {
				s.free.AddTasks(attempt.Job.Spec, 1)
			} else {
				s.preemptible[attempt.Job.Priority].AddTasks(attempt.Job.Spec, 1)
			}
		}
	}
	return p.supply
}

// awaitsUnreportedCapacity says whether, in a recovery, machines that have yet to report to this leader
// may have room for n tasks of a job. Nothing is stopped for it until they have reported,
// or could have: else work would be stopped beside room that is free.
func (sc *Scheduler) awaitsUnreportedCapacity(job *cluster.Job, n int) bool {
	if !sc.env.Recovering() || sc.state.Now().Sub(sc.state.LeadingSince) > sc.state.SilenceTimeout() {
		return false
	}
	var all cluster.Resources
	for zone, room := range sc.unreportedCapacity(sc.currentCycle()) {
		if job.Spec.Zone != "" && zone != job.Spec.Zone {
			continue
		}
		if room.Fit(job.Spec, n) == n {
			return true
		}
		all.Add(room)
	}
	return !job.Spec.OneZone && all.Fit(job.Spec, n) == n
}

// unreportedCapacity adds up what machines have free that have yet to report.
func (sc *Scheduler) unreportedCapacity(p *cycle) map[protocol.ZoneName]cluster.Resources {
	if p.awaited != nil {
		return p.awaited
	}
	p.awaited = map[protocol.ZoneName]cluster.Resources{}
	p.examined += len(sc.state.OrderedMachines)
	for _, machine := range sc.state.OrderedMachines {
		if machine.Recovered && !machine.Agent.TokenConfirmed && !machine.Deleting && !machine.Cordoned && !machine.Agent.LeaseExpired {
			room := p.awaited[machine.Zone]
			room.Add(sc.state.FreeResources(machine))
			p.awaited[machine.Zone] = room
		}
	}
	return p.awaited
}

// preemptionIsHopeless says that no search can make room for n tasks of a job: all that
// may be stopped for it, whoever runs it, and all that is free are not enough.
// With the machines full of work that does not yield, which is when most jobs
// wait, this spares a look at every machine for each of them.
func (sc *Scheduler) preemptionIsHopeless(job *cluster.Job, n int) bool {
	if !job.Spec.Gang() {
		n = 1
	}
	yielding := job.Priority // work below this priority may be stopped
	if job.Queue.MayReclaim {
		yielding++
	}
	if yielding == protocol.PriorityIdle && !job.Spec.Gang() {
		return true
	}
	var all cluster.Resources
	for zone, s := range sc.zoneSupplies(sc.currentCycle()) {
		if job.Spec.Zone != "" && zone != job.Spec.Zone {
			continue
		}
		r := s.free
		for rank := protocol.PriorityIdle; rank < yielding && int(rank) < len(s.preemptible); rank++ {
			r.Add(s.preemptible[rank])
		}
		if r.Fit(job.Spec, n) == n {
			return false
		}
		all.Add(r)
	}
	return job.Spec.OneZone || all.Fit(job.Spec, n) < n
}

// CyclePause is the pause after a pass over the queue: longer the more machines
// it had to look at and the smaller the controller's share of a core is, so
// that planning leaves time for reports and commits.
func (sc *Scheduler) CyclePause() time.Duration {
	pause := sc.state.Config.Cluster.Resources.Pause(time.Duration(sc.Examined)*tuning.CandidateCPUCost, tuning.SchedulingCPUShare)
	return min(max(pause, tuning.MinSchedulingInterval), tuning.MaxSchedulingInterval)
}
