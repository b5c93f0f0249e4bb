package scheduler

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// CheckpointPays says whether a task that yields should save first. Saving takes
// its machine's time and the waiting job's; without it half of the interval
// between two checkpoints is lost, about.
func CheckpointPays(s *protocol.Job) bool {
	return s.CheckpointS > 0 && (s.Gang() || s.CheckpointS/2 > tuning.SavePays*s.SaveS)
}

// mayPreempt says whether an attempt may be stopped to make room for the job.
func (sc *Scheduler) mayPreempt(c *cluster.Attempt, j *cluster.Job) bool {
	if c.Stopping || c.Job == j || c.Job.Finished || c.Job.Complete() {
		return false
	}
	if c.Job.Priority < j.Priority {
		return true
	}
	// What fits into its own team's guarantee never yields to another's, and
	// what has a higher priority never yields to a lower one, though it might:
	// the queue would give the machines back, and so in turn for ever.
	t := sc.state.Quotas[c.Job.Spec.Team]
	return j.Queue.MayReclaim && c.Job.Spec.Team != j.Spec.Team && t != nil && t.ExceedsGuarantee() && !c.Job.Queue.WithinGuarantee && c.Job.Priority <= j.Priority
}

// preemption is what must stop on one machine so that count tasks fit.
type preemption struct {
	machine  *cluster.Machine
	tasks    int
	victims  []*cluster.Attempt
	priority protocol.Priority // the highest of the victims'
	cost     float64
}

// PreemptFor stops work that must yield to a waiting job, where that frees
// enough room for it, and holds the room for it. A search that found nothing
// is not repeated at once: it looks at every machine.
func (sc *Scheduler) PreemptFor(j *cluster.Job, n int) {
	if sc.preempting(j) || sc.state.Now().Before(j.Queue.PreemptionNotBefore) || sc.currentCycle().exhausted() || sc.awaitsUnreportedCapacity(j, n) || sc.preemptionIsHopeless(j, n) {
		return
	}
	list := sc.findPreemptions(j, n, false)
	if len(list) == 0 {
		j.Queue.PreemptionNotBefore = sc.state.Now().Add(tuning.SearchPause)
	}
	sc.stopVictims(j, list)
}

// preempting says whether room is being made for a job already.
func (sc *Scheduler) preempting(j *cluster.Job) bool {
	for _, m := range j.Reserved {
		for _, c := range m.Attempts {
			if c.Stopping {
				return true
			}
		}
	}
	return false
}

// stopVictims carries evictions out.
func (sc *Scheduler) stopVictims(j *cluster.Job, list []preemption) {
	for _, e := range list {
		e.machine.ReserveFor(j, sc.state.Now().Add(tuning.HoldFor))
		for _, c := range e.victims {
			sc.env.Preempt(c)
		}
	}
}

// findPreemptions finds what to stop, and where, so that n tasks of a job fit; for a
// gang all of them or nothing. warm: only on machines that have its image.
func (sc *Scheduler) findPreemptions(j *cluster.Job, n int, warm bool) []preemption {
	limit, only := sc.state.ZoneLimits(j)
	var best []preemption
	bestCost := 0.0
	consider := func(list []preemption, need int) {
		slices.SortStableFunc(list, func(a, b preemption) int {
			return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.cost/float64(a.tasks), b.cost/float64(b.tasks)), cmp.Compare(b.tasks, a.tasks))
		})
		var taken []preemption
		cost := 0.0
		per := map[protocol.ZoneName]int{}
		for _, e := range list {
			c := min(e.tasks, need, limit[e.machine.Zone]-per[e.machine.Zone])
			if c <= 0 {
				continue
			}
			e = sc.victimsOn(j, e.machine, c)
			per[e.machine.Zone] += c
			need -= e.tasks
			cost += e.cost
			taken = append(taken, e)
		}
		if need > 0 && j.Spec.Gang() || len(taken) == 0 {
			return
		}
		if best == nil || cost < bestCost {
			best, bestCost = taken, cost
		}
	}
	p := sc.currentCycle()
	collect := func(zone protocol.ZoneName) (list []preemption) {
		p.examined += len(p.schedulable)
		for _, m := range p.schedulable {
			if zone != "" && m.Zone != zone || only != "" && m.Zone != only || !sc.state.Suits(j, m) || warm && !m.HasImage(j.Spec.Image) {
				continue
			}
			if e := sc.victimsOn(j, m, n); e.tasks > 0 {
				list = append(list, e)
			}
		}
		return list
	}
	if !j.Spec.OneZone {
		consider(collect(""), n)
		return best
	}
	for _, z := range sc.state.Config.Cluster.Zones {
		consider(collect(z), n)
	}
	return best
}

// hasPreemptible says whether anything on a machine may be stopped for a job or is on
// its way out.
func (sc *Scheduler) hasPreemptible(m *cluster.Machine, j *cluster.Job) bool {
	for _, c := range m.Attempts {
		if c.Stopping || sc.mayPreempt(c, j) {
			return true
		}
	}
	return false
}

// victimsOn works out what to stop on a machine so that up to count tasks fit:
// the lowest priority first, then what loses least.
func (sc *Scheduler) victimsOn(j *cluster.Job, m *cluster.Machine, count int) preemption {
	left := sc.state.FreeResources(m)
	if left.Fit(j.Spec, 1) == 0 && !sc.hasPreemptible(m, j) {
		return preemption{machine: m} // most machines: nothing is sorted for them
	}
	var can []*cluster.Attempt
	for _, c := range cluster.SortedAttemptsOn(m) {
		if c.Stopping {
			left.AddTasks(c.Job.Spec, 1) // on its way out already
		} else if sc.mayPreempt(c, j) {
			can = append(can, c)
		}
	}
	slices.SortStableFunc(can, func(a, b *cluster.Attempt) int {
		return cmp.Or(cmp.Compare(a.Job.Priority, b.Job.Priority), cmp.Compare(sc.workLost(a), sc.workLost(b)))
	})
	e := preemption{machine: m, tasks: left.Fit(j.Spec, count)}
	for _, c := range can {
		if e.tasks >= count {
			break
		}
		left.AddTasks(c.Job.Spec, 1)
		e.victims = append(e.victims, c)
		e.tasks = left.Fit(j.Spec, count)
	}
	// A victim that is not needed after all stays.
	for i := len(e.victims) - 1; i >= 0; i-- {
		left.AddTasks(e.victims[i].Job.Spec, -1)
		if left.Fit(j.Spec, count) < e.tasks {
			left.AddTasks(e.victims[i].Job.Spec, 1)
			continue
		}
		e.victims = slices.Delete(e.victims, i, i+1)
	}
	for _, c := range e.victims {
		e.cost += 1 + sc.workLost(c)
		e.priority = max(e.priority, c.Job.Priority)
	}
	if t := sc.state.TypeOf(m); t != nil && t.FetchGBPerS > 0 && !m.HasImage(j.Spec.Image) {
		e.cost += float64(e.tasks) * max(1, j.Spec.GPUs) * j.Spec.ImageGB / t.FetchGBPerS
	}
	return e
}

// workLost is about how much work is lost when an attempt is stopped, in GPU seconds.
// With one task of a gang all stop, save, and gather again.
func (sc *Scheduler) workLost(c *cluster.Attempt) float64 {
	s := c.Job.Spec
	gpus := max(1, s.GPUs)
	switch {
	case s.Gang() && s.CheckpointS > 0:
		return (s.SaveS + tuning.GangRestart) * gpus * float64(s.Tasks)
	case c.RunningSince.IsZero():
		return 0
	case s.Gang():
		return sc.state.Now().Sub(c.RunningSince).Seconds() * gpus * float64(s.Tasks)
	case s.CheckpointS > 0:
		return min(s.SaveS, s.CheckpointS/2) * gpus
	}
	return sc.state.Now().Sub(c.RunningSince).Seconds() * gpus
}
