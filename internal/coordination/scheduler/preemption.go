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
func CheckpointPays(spec *protocol.Job) bool {
	return spec.CheckpointS > 0 && (spec.Gang() || spec.CheckpointS/2 > tuning.MinCheckpointBenefit*spec.SaveS)
}

// mayPreempt says whether an attempt may be stopped to make room for the job.
func (sc *Scheduler) mayPreempt(attempt *cluster.Attempt, job *cluster.Job) bool {
	if attempt.Stopping || attempt.Job == job || attempt.Job.Finished || attempt.Job.Complete() {
		return false
	}
	if attempt.Job.Priority < job.Priority {
		return true
	}
	// What fits into its own team's guarantee never yields to another's, and
	// what has a higher priority never yields to a lower one, though it might:
	// the queue would give the machines back, and so in turn for ever.
	quota := sc.state.Quotas[attempt.Job.Spec.Team]
	return job.Queue.MayReclaim && attempt.Job.Spec.Team != job.Spec.Team && quota != nil && quota.ExceedsGuarantee() && !attempt.Job.Queue.WithinGuarantee && attempt.Job.Priority <= job.Priority
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
func (sc *Scheduler) PreemptFor(job *cluster.Job, n int) {
	if sc.preempting(job) || sc.state.Now().Before(job.Queue.PreemptionNotBefore) || sc.currentCycle().exhausted() || sc.awaitsUnreportedCapacity(job, n) || sc.preemptionIsHopeless(job, n) {
		return
	}
	list := sc.findPreemptions(job, n, false)
	if len(list) == 0 {
		job.Queue.PreemptionNotBefore = sc.state.Now().Add(tuning.PreemptionSearchBackoff)
	}
	sc.stopVictims(job, list)
}

// preempting says whether room is being made for a job already.
func (sc *Scheduler) preempting(job *cluster.Job) bool {
	for _, machine := range job.Reserved {
		for _, attempt := range machine.Attempts {
			if attempt.Stopping {
				return true
			}
		}
	}
	return false
}

// stopVictims carries evictions out.
func (sc *Scheduler) stopVictims(job *cluster.Job, list []preemption) {
	for _, e := range list {
		e.machine.ReserveFor(job, sc.state.Now().Add(tuning.ReservationTimeout))
		for _, attempt := range e.victims {
			sc.env.Preempt(attempt)
		}
	}
}

// findPreemptions finds what to stop, and where, so that n tasks of a job fit; for a
// gang all of them or nothing. warm: only on machines that have its image.
func (sc *Scheduler) findPreemptions(job *cluster.Job, n int, warm bool) []preemption {
	limit, only := sc.state.ZoneLimits(job)
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
			e = sc.victimsOn(job, e.machine, c)
			per[e.machine.Zone] += c
			need -= e.tasks
			cost += e.cost
			taken = append(taken, e)
		}
		if need > 0 && job.Spec.Gang() || len(taken) == 0 {
			return
		}
		if best == nil || cost < bestCost {
			best, bestCost = taken, cost
		}
	}
	p := sc.currentCycle()
	collect := func(zone protocol.ZoneName) (list []preemption) {
		p.examined += len(p.schedulable)
		for _, machine := range p.schedulable {
			if zone != "" && machine.Zone != zone || only != "" && machine.Zone != only || !sc.state.Suits(job, machine) || warm && !machine.HasImage(job.Spec.Image) {
				continue
			}
			if e := sc.victimsOn(job, machine, n); e.tasks > 0 {
				list = append(list, e)
			}
		}
		return list
	}
	if !job.Spec.OneZone {
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
func (sc *Scheduler) hasPreemptible(machine *cluster.Machine, job *cluster.Job) bool {
	for _, attempt := range machine.Attempts {
		if attempt.Stopping || sc.mayPreempt(attempt, job) {
			return true
		}
	}
	return false
}

// victimsOn works out what to stop on a machine so that up to count tasks fit:
// the lowest priority first, then what loses least.
func (sc *Scheduler) victimsOn(job *cluster.Job, machine *cluster.Machine, count int) preemption {
	left := sc.state.FreeResources(machine)
	if left.Fit(job.Spec, 1) == 0 && !sc.hasPreemptible(machine, job) {
		return preemption{machine: machine} // most machines: nothing is sorted for them
	}
	var can []*cluster.Attempt
	for _, attempt := range cluster.SortedAttemptsOn(machine) {
		if attempt.Stopping {
			left.AddTasks(attempt.Job.Spec, 1) // on its way out already
		} else if sc.mayPreempt(attempt, job) {
			can = append(can, attempt)
		}
	}
	slices.SortStableFunc(can, func(a, b *cluster.Attempt) int {
		return cmp.Or(cmp.Compare(a.Job.Priority, b.Job.Priority), cmp.Compare(sc.workLost(a), sc.workLost(b)))
	})
	e := preemption{machine: machine, tasks: left.Fit(job.Spec, count)}
	for _, attempt := range can {
		if e.tasks >= count {
			break
		}
		left.AddTasks(attempt.Job.Spec, 1)
		e.victims = append(e.victims, attempt)
		e.tasks = left.Fit(job.Spec, count)
	}
	// A victim that is not needed after all stays.
	for i := len(e.victims) - 1; i >= 0; i-- {
		left.AddTasks(e.victims[i].Job.Spec, -1)
		if left.Fit(job.Spec, count) < e.tasks {
			left.AddTasks(e.victims[i].Job.Spec, 1)
			continue
		}
		e.victims = slices.Delete(e.victims, i, i+1)
	}
	for _, attempt := range e.victims {
		e.cost += 1 + sc.workLost(attempt)
		e.priority = max(e.priority, attempt.Job.Priority)
	}
	if machineType := sc.state.TypeOf(machine); machineType != nil && machineType.FetchGBPerS > 0 && !machine.HasImage(job.Spec.Image) {
		e.cost += float64(e.tasks) * max(1, job.Spec.GPUs) * job.Spec.ImageGB / machineType.FetchGBPerS
	}
	return e
}

// workLost is about how much work is lost when an attempt is stopped, in GPU seconds.
// With one task of a gang all stop, save, and gather again.
func (sc *Scheduler) workLost(attempt *cluster.Attempt) float64 {
	spec := attempt.Job.Spec
	gpus := max(1, spec.GPUs)
	switch {
	case spec.Gang() && spec.CheckpointS > 0:
		return (spec.SaveS + tuning.GangRestartSeconds) * gpus * float64(spec.Tasks)
	case attempt.RunningSince.IsZero():
		return 0
	case spec.Gang():
		return sc.state.Now().Sub(attempt.RunningSince).Seconds() * gpus * float64(spec.Tasks)
	case spec.CheckpointS > 0:
		return min(spec.SaveS, spec.CheckpointS/2) * gpus
	}
	return sc.state.Now().Sub(attempt.RunningSince).Seconds() * gpus
}
