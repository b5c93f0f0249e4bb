package coordination

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// mayStop says whether an attempt may be stopped to make room for the job.
func (l *leader) mayStop(c *cluster.Attempt, j *cluster.Job) bool {
	if c.Stopping || c.Job == j || c.Job.Finished || c.Job.Complete() {
		return false
	}
	if c.Job.Priority < j.Priority {
		return true
	}
	// What fits into its own team's guarantee never yields to another's, and
	// what has a higher priority never yields to a lower one, though it might:
	// the queue would give the machines back, and so in turn for ever.
	t := l.cluster.Quotas[c.Job.Spec.Team]
	return j.Queue.MayReclaim && c.Job.Spec.Team != j.Spec.Team && t != nil && t.ExceedsGuarantee() && !c.Job.Queue.WithinGuarantee && c.Job.Priority <= j.Priority
}

// eviction is what must stop on one machine so that count tasks fit.
type eviction struct {
	m       *cluster.Machine
	count   int
	victims []*cluster.Attempt
	rank    protocol.Priority // the highest of the victims'
	cost    float64
}

// makeRoom stops work that must yield to a waiting job, where that frees
// enough room for it, and holds the room for it. A search that found nothing
// is not repeated at once: it looks at every machine.
func (l *leader) makeRoom(j *cluster.Job, n int) {
	if l.evicting(j) || l.n.now.Before(j.Queue.PreemptionNotBefore) || l.currentPass().isExhausted() || l.isRoomAwaited(j, n) || l.cannotMakeRoom(j, n) {
		return
	}
	list := l.evictions(j, n, false)
	if len(list) == 0 {
		j.Queue.PreemptionNotBefore = l.n.now.Add(tuning.SearchPause)
	}
	l.stopVictims(j, list)
}

// evicting says whether room is being made for a job already.
func (l *leader) evicting(j *cluster.Job) bool {
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
func (l *leader) stopVictims(j *cluster.Job, list []eviction) {
	for _, e := range list {
		e.m.ReserveFor(j, l.n.now.Add(tuning.HoldFor))
		for _, c := range e.victims {
			l.n.metrics.Preemptions++
			l.yieldAttempt(c)
		}
	}
}

// waitsForCachedImage says whether a gang that could start on machines without its image
// had better wait a moment for machines that have it, which work of lower
// priority can leave sooner than the image would arrive.
func (l *leader) waitsForCachedImage(j *cluster.Job) bool {
	if l.evicting(j) {
		return true
	}
	fetch := l.cluster.ImageFetchSeconds(j.Spec)
	if fetch < tuning.WarmFetch || len(j.Reserved) > 0 || l.n.now.Before(j.Queue.ImageLocalNotBefore) || l.cluster.TasksWithinLimit(j) < len(j.Tasks) ||
		l.currentPass().isExhausted() || l.cannotMakeRoom(j, len(j.Tasks)) {
		return false
	}
	warm := 0
	for _, s := range l.sites(j, "") {
		if s.cached {
			warm += s.count
		}
	}
	if warm >= len(j.Tasks) {
		return false // the placement finds them
	}
	j.Queue.ImageLocalNotBefore = l.n.now.Add(tuning.SearchPause)
	list := l.evictions(j, len(j.Tasks), true)
	cost := 0.0
	for _, e := range list {
		cost += e.cost
		for _, c := range e.victims {
			if savingPays(c.Job.Spec) && c.Job.Spec.SaveS > fetch*tuning.WarmSave {
				return false
			}
		}
	}
	if len(list) == 0 || cost > fetch*tuning.WarmLoss*max(1, j.Spec.GPUs)*float64(len(j.Tasks)) {
		return false
	}
	l.stopVictims(j, list)
	return true
}

// evictions finds what to stop, and where, so that n tasks of a job fit; for a
// gang all of them or nothing. warm: only on machines that have its image.
func (l *leader) evictions(j *cluster.Job, n int, warm bool) []eviction {
	limit, only := l.cluster.ZoneLimits(j)
	var best []eviction
	bestCost := 0.0
	consider := func(list []eviction, need int) {
		slices.SortStableFunc(list, func(a, b eviction) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.cost/float64(a.count), b.cost/float64(b.count)), cmp.Compare(b.count, a.count))
		})
		var taken []eviction
		cost := 0.0
		per := map[protocol.ZoneName]int{}
		for _, e := range list {
			c := min(e.count, need, limit[e.m.Zone]-per[e.m.Zone])
			if c <= 0 {
				continue
			}
			e = l.evict(j, e.m, c)
			per[e.m.Zone] += c
			need -= e.count
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
	p := l.currentPass()
	collect := func(zone protocol.ZoneName) (list []eviction) {
		p.looks += len(p.open)
		for _, m := range p.open {
			if zone != "" && m.Zone != zone || only != "" && m.Zone != only || !l.cluster.Suits(j, m) || warm && !m.HasImage(j.Spec.Image) {
				continue
			}
			if e := l.evict(j, m, n); e.count > 0 {
				list = append(list, e)
			}
		}
		return list
	}
	if !j.Spec.OneZone {
		consider(collect(""), n)
		return best
	}
	for _, z := range l.n.cfg.Cluster.Zones {
		consider(collect(z), n)
	}
	return best
}

// hasYielding says whether anything on a machine may be stopped for a job or is on
// its way out.
func (l *leader) hasYielding(m *cluster.Machine, j *cluster.Job) bool {
	for _, c := range m.Attempts {
		if c.Stopping || l.mayStop(c, j) {
			return true
		}
	}
	return false
}

// evict works out what to stop on a machine so that up to count tasks fit:
// the lowest priority first, then what loses least.
func (l *leader) evict(j *cluster.Job, m *cluster.Machine, count int) eviction {
	left := l.cluster.FreeResources(m)
	if left.Fit(j.Spec, 1) == 0 && !l.hasYielding(m, j) {
		return eviction{m: m} // most machines: nothing is sorted for them
	}
	var can []*cluster.Attempt
	for _, c := range cluster.SortedAttemptsOn(m) {
		if c.Stopping {
			left.AddTasks(c.Job.Spec, 1) // on its way out already
		} else if l.mayStop(c, j) {
			can = append(can, c)
		}
	}
	slices.SortStableFunc(can, func(a, b *cluster.Attempt) int {
		return cmp.Or(cmp.Compare(a.Job.Priority, b.Job.Priority), cmp.Compare(l.workLost(a), l.workLost(b)))
	})
	e := eviction{m: m, count: left.Fit(j.Spec, count)}
	for _, c := range can {
		if e.count >= count {
			break
		}
		left.AddTasks(c.Job.Spec, 1)
		e.victims = append(e.victims, c)
		e.count = left.Fit(j.Spec, count)
	}
	// A victim that is not needed after all stays.
	for i := len(e.victims) - 1; i >= 0; i-- {
		left.AddTasks(e.victims[i].Job.Spec, -1)
		if left.Fit(j.Spec, count) < e.count {
			left.AddTasks(e.victims[i].Job.Spec, 1)
			continue
		}
		e.victims = slices.Delete(e.victims, i, i+1)
	}
	for _, c := range e.victims {
		e.cost += 1 + l.workLost(c)
		e.rank = max(e.rank, c.Job.Priority)
	}
	if t := l.cluster.TypeOf(m); t != nil && t.FetchGBPerS > 0 && !m.HasImage(j.Spec.Image) {
		e.cost += float64(e.count) * max(1, j.Spec.GPUs) * j.Spec.ImageGB / t.FetchGBPerS
	}
	return e
}

// workLost is about how much work is lost when an attempt is stopped, in GPU seconds.
// With one task of a gang all stop, save, and gather again.
func (l *leader) workLost(c *cluster.Attempt) float64 {
	s := c.Job.Spec
	gpus := max(1, s.GPUs)
	switch {
	case s.Gang() && s.CheckpointS > 0:
		return (s.SaveS + tuning.GangRestart) * gpus * float64(s.Tasks)
	case c.RunningSince.IsZero():
		return 0
	case s.Gang():
		return l.n.now.Sub(c.RunningSince).Seconds() * gpus * float64(s.Tasks)
	case s.CheckpointS > 0:
		return min(s.SaveS, s.CheckpointS/2) * gpus
	}
	return l.n.now.Sub(c.RunningSince).Seconds() * gpus
}
