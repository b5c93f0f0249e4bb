package coordination

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// mayStop says whether an attempt may be stopped to make room for the job.
func (l *leader) mayStop(c *taskAttempt, j *job) bool {
	if c.stop || c.j == j || c.j.gone || c.j.isComplete() {
		return false
	}
	if c.j.rank < j.rank {
		return true
	}
	// What fits into its own team's guarantee never yields to another's, and
	// what has a higher priority never yields to a lower one, though it might:
	// the queue would give the machines back, and so in turn for ever.
	t := l.teams[c.j.spec.Team]
	return j.mayReclaim && c.j.spec.Team != j.spec.Team && t != nil && t.exceedsGuarantee() && !c.j.guaranteed && c.j.rank <= j.rank
}

// eviction is what must stop on one machine so that count tasks fit.
type eviction struct {
	m       *machine
	count   int
	victims []*taskAttempt
	rank    protocol.Rank // the highest of the victims'
	cost    float64
}

// makeRoom stops work that must yield to a waiting job, where that frees
// enough room for it, and holds the room for it. A search that found nothing
// is not repeated at once: it looks at every machine.
func (l *leader) makeRoom(j *job, n int) {
	if l.evicting(j) || l.n.now.Before(j.searchAt) || l.currentPass().isExhausted() || l.isRoomAwaited(j, n) || l.cannotMakeRoom(j, n) {
		return
	}
	list := l.evictions(j, n, false)
	if len(list) == 0 {
		j.searchAt = l.n.now.Add(tuning.SearchPause)
	}
	l.stopVictims(j, list)
}

// evicting says whether room is being made for a job already.
func (l *leader) evicting(j *job) bool {
	for _, m := range j.held {
		for _, c := range m.attempts {
			if c.stop {
				return true
			}
		}
	}
	return false
}

// stopVictims carries evictions out.
func (l *leader) stopVictims(j *job, list []eviction) {
	for _, e := range list {
		e.m.keep(j, l.n.now.Add(tuning.HoldFor))
		for _, c := range e.victims {
			l.n.metrics.Preemptions++
			l.yieldAttempt(c)
		}
	}
}

// waitsForCachedImage says whether a gang that could start on machines without its image
// had better wait a moment for machines that have it, which work of lower
// priority can leave sooner than the image would arrive.
func (l *leader) waitsForCachedImage(j *job) bool {
	if l.evicting(j) {
		return true
	}
	fetch := l.fetchSeconds(j.spec)
	if fetch < tuning.WarmFetch || len(j.held) > 0 || l.n.now.Before(j.warmAt) || l.teamQuota(j) < len(j.tasks) ||
		l.currentPass().isExhausted() || l.cannotMakeRoom(j, len(j.tasks)) {
		return false
	}
	warm := 0
	for _, s := range l.sites(j, "") {
		if s.cached {
			warm += s.count
		}
	}
	if warm >= len(j.tasks) {
		return false // the placement finds them
	}
	j.warmAt = l.n.now.Add(tuning.SearchPause)
	list := l.evictions(j, len(j.tasks), true)
	cost := 0.0
	for _, e := range list {
		cost += e.cost
		for _, c := range e.victims {
			if savingPays(c.j.spec) && c.j.spec.SaveS > fetch*tuning.WarmSave {
				return false
			}
		}
	}
	if len(list) == 0 || cost > fetch*tuning.WarmLoss*max(1, j.spec.GPUs)*float64(len(j.tasks)) {
		return false
	}
	l.stopVictims(j, list)
	return true
}

// evictions finds what to stop, and where, so that n tasks of a job fit; for a
// gang all of them or nothing. warm: only on machines that have its image.
func (l *leader) evictions(j *job, n int, warm bool) []eviction {
	limit, only := l.zoneLimits(j)
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
			c := min(e.count, need, limit[e.m.zone]-per[e.m.zone])
			if c <= 0 {
				continue
			}
			e = l.evict(j, e.m, c)
			per[e.m.zone] += c
			need -= e.count
			cost += e.cost
			taken = append(taken, e)
		}
		if need > 0 && j.spec.Gang() || len(taken) == 0 {
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
			if zone != "" && m.zone != zone || only != "" && m.zone != only || !l.suits(j, m) || warm && !m.hasImage(j.spec.Image) {
				continue
			}
			if e := l.evict(j, m, n); e.count > 0 {
				list = append(list, e)
			}
		}
		return list
	}
	if !j.spec.OneZone {
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
func (l *leader) hasYielding(m *machine, j *job) bool {
	for _, c := range m.attempts {
		if c.stop || l.mayStop(c, j) {
			return true
		}
	}
	return false
}

// evict works out what to stop on a machine so that up to count tasks fit:
// the lowest priority first, then what loses least.
func (l *leader) evict(j *job, m *machine, count int) eviction {
	left := l.freeResources(m)
	if left.fit(j.spec, 1) == 0 && !l.hasYielding(m, j) {
		return eviction{m: m} // most machines: nothing is sorted for them
	}
	var can []*taskAttempt
	for _, c := range sortedAttempts(m) {
		if c.stop {
			left.addTasks(c.j.spec, 1) // on its way out already
		} else if l.mayStop(c, j) {
			can = append(can, c)
		}
	}
	slices.SortStableFunc(can, func(a, b *taskAttempt) int {
		return cmp.Or(cmp.Compare(a.j.rank, b.j.rank), cmp.Compare(l.workLost(a), l.workLost(b)))
	})
	e := eviction{m: m, count: left.fit(j.spec, count)}
	for _, c := range can {
		if e.count >= count {
			break
		}
		left.addTasks(c.j.spec, 1)
		e.victims = append(e.victims, c)
		e.count = left.fit(j.spec, count)
	}
	// A victim that is not needed after all stays.
	for i := len(e.victims) - 1; i >= 0; i-- {
		left.addTasks(e.victims[i].j.spec, -1)
		if left.fit(j.spec, count) < e.count {
			left.addTasks(e.victims[i].j.spec, 1)
			continue
		}
		e.victims = slices.Delete(e.victims, i, i+1)
	}
	for _, c := range e.victims {
		e.cost += 1 + l.workLost(c)
		e.rank = max(e.rank, c.j.rank)
	}
	if t := l.kind(m); t != nil && t.FetchGBPerS > 0 && !m.hasImage(j.spec.Image) {
		e.cost += float64(e.count) * max(1, j.spec.GPUs) * j.spec.ImageGB / t.FetchGBPerS
	}
	return e
}

// workLost is about how much work is lost when an attempt is stopped, in GPU seconds.
// With one task of a gang all stop, save, and gather again.
func (l *leader) workLost(c *taskAttempt) float64 {
	s := c.j.spec
	gpus := max(1, s.GPUs)
	switch {
	case s.Gang() && s.CheckpointS > 0:
		return (s.SaveS + tuning.GangRestart) * gpus * float64(s.Tasks)
	case c.running.IsZero():
		return 0
	case s.Gang():
		return l.n.now.Sub(c.running).Seconds() * gpus * float64(s.Tasks)
	case s.CheckpointS > 0:
		return min(s.SaveS, s.CheckpointS/2) * gpus
	}
	return l.n.now.Sub(c.running).Seconds() * gpus
}
