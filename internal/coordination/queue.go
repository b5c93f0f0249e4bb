package coordination

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// demand is a job that waits, and for how many tasks.
type demand struct {
	j     *job
	tasks int
}

// wants is how many tasks of a job wait for a place.
func (l *leader) wants(j *job) int {
	if j.cancelled || j.gone || j.complete() || j.stopping || l.n.now.Before(j.retryAt) {
		return 0
	}
	if j.spec.Gang() {
		if len(j.copies) > 0 {
			return 0
		}
		return len(j.tasks)
	}
	n := 0
	for i := range j.tasks {
		if t := &j.tasks[i]; !t.done && t.copies == 0 && !l.n.now.Before(t.retryAt) {
			n++
		}
	}
	return n
}

// schedule is one pass over the queue: by priority, then in order of arrival,
// within the teams' limits.
func (l *leader) schedule() {
	now := l.n.now
	for _, m := range l.roster {
		if m.hold != nil && (now.After(m.holdTill) || m.hold.gone || m.hold.cancelled || !m.hold.stopping && l.wants(m.hold) == 0) {
			m.release()
		}
	}
	l.pass = l.newPass()
	l.reckonGPUs()
	defer func() { l.looks, l.pass = l.pass.looks, nil }()
	queue := l.ordered()
	l.withinGuarantee(queue)
	l.entitle(queue)
	var waiting []demand
	for i, j := range queue {
		if !j.spec.Gang() && (i == 0 || queue[i-1].spec.Gang() || queue[i-1].rank != j.rank) {
			l.placeWarm(queue[i:])
		}
		n := l.wants(j)
		if n == 0 {
			continue
		}
		if j.spec.Gang() {
			if j.blamed == 0 && l.warmer(j) {
				continue
			}
			if l.placeGang(j) {
				continue
			}
		} else if n = l.placeTasks(j, false); n == 0 {
			continue
		}
		if n = min(n, l.teamRoom(j)); n == 0 || j.spec.Gang() && n < len(j.tasks) {
			continue // its team's limit is in the way, not the machines
		}
		if j.blamed > 0 {
			continue // no machine is emptied or rented for it
		}
		waiting = append(waiting, demand{j, n})
		l.makeRoom(j, n)
		if j.spec.Gang() && now.Sub(j.waits) > l.n.cfg.Operator.BarAfter {
			l.bar(j)
		}
	}
	l.waiting = len(waiting)
	l.fleet.demand = waiting
}

// placeWarm lets the arrays that come next in the queue, of one priority and
// with no gang between, have the machines that hold their image, in their turn:
// an array that would fetch its image there leaves them to one behind it that
// need not. One whose time runs out takes what there is.
func (l *leader) placeWarm(queue []*job) {
	for _, j := range queue {
		if j.spec.Gang() || j.rank != queue[0].rank {
			return
		}
		if l.wants(j) > 0 {
			l.placeTasks(j, l.patient(j))
		}
	}
}

// patient says whether an array can wait for machines that have its image.
func (l *leader) patient(j *job) bool {
	if j.spec.Service() {
		return false
	}
	fetch := seconds(l.fetchSeconds(j.spec) * tuning.WarmPatience)
	for _, at := range j.startBy {
		if !l.n.now.After(at) {
			return l.n.now.Before(at.Add(-fetch))
		}
	}
	return len(j.startBy) > 0 || l.n.now.Sub(j.at) < fetch
}

// fetchSeconds is how long a job's image takes to fetch on the slowest type.
func (l *leader) fetchSeconds(s *protocol.Job) float64 {
	fetch := 0.0
	for _, t := range l.n.types {
		if t.Fits(s) && t.FetchGBPerS > 0 {
			fetch = max(fetch, s.ImageGB/t.FetchGBPerS)
		}
	}
	return fetch
}

// bar keeps the free machines of the zone where the gang lacks least from
// jobs behind it in the queue, no more of them than it needs.
func (l *leader) bar(j *job) {
	var best []site
	count := 0
	for _, zone := range l.n.cfg.Cluster.Zones {
		list := l.sites(j, zone)
		n := 0
		for _, s := range list {
			n += s.count
		}
		if n > count {
			best, count = list, n
		}
	}
	for _, s := range fill(best, len(j.tasks)) {
		if s.m.hold == nil {
			s.m.keep(j, l.n.now.Add(2*tuning.PlanIdle))
		}
	}
}

// withinGuarantee tells the jobs that fit into their team's guarantee together
// with the team's earlier unfinished jobs.
func (l *leader) withinGuarantee(queue []*job) {
	byArrival := slices.Clone(queue)
	slices.SortFunc(byArrival, func(a, b *job) int { return cmp.Or(cmp.Compare(a.seq, b.seq), cmp.Compare(a.id, b.id)) })
	type sum struct{ cpus, gpus float64 }
	used := map[string]sum{}
	for _, j := range byArrival {
		t := l.teams[j.spec.Team]
		if t == nil || j.cancelled {
			continue
		}
		n := float64(len(j.tasks) - j.done)
		u := used[j.spec.Team]
		u.cpus += j.spec.CPUs * n
		u.gpus += j.spec.GPUs * n
		used[j.spec.Team] = u
		some := t.guaranteeCPUs > 0 || t.guaranteeGPUs > 0
		j.guaranteed = some && (t.guaranteeCPUs == 0 || u.cpus <= t.guaranteeCPUs+amountSlack) &&
			(t.guaranteeGPUs == 0 || u.gpus <= t.guaranteeGPUs+amountSlack)
	}
}

// entitle tells the jobs that other teams' work must yield to: those that were
// within their team's guarantee when they came, and all of a team whose whole
// backlog is. A job that only comes within it while others of its team wait
// behind takes its turn: else the teams of an overloaded deployment would
// take the same machines from each other again and again.
func (l *leader) entitle(queue []*job) {
	over := map[string]bool{}
	for _, j := range queue {
		if !j.cancelled && !j.guaranteed {
			over[j.spec.Team] = true
		}
	}
	for _, j := range queue {
		if !j.judged {
			j.judged = true
			j.entitled = j.guaranteed
		}
		j.entitled = j.entitled || j.guaranteed && !over[j.spec.Team]
	}
}

// beyond says whether a team uses more than its guarantee.
func (t *team) beyond() bool {
	return t.gpus > t.guaranteeGPUs+amountSlack || t.guaranteeGPUs == 0 && t.cpus > t.guaranteeCPUs+amountSlack
}

// mayStop says whether a copy may be stopped to make room for the job.
func (l *leader) mayStop(c *taskCopy, j *job) bool {
	if c.stop || c.j == j || c.j.gone || c.j.complete() {
		return false
	}
	if c.j.rank < j.rank {
		return true
	}
	// What fits into its own team's guarantee never yields to another's, and
	// what has a higher priority never yields to a lower one, though it might:
	// the queue would give the machines back, and so in turn for ever.
	t := l.teams[c.j.spec.Team]
	return j.entitled && c.j.spec.Team != j.spec.Team && t != nil && t.beyond() && !c.j.guaranteed && c.j.rank <= j.rank
}

// eviction is what must stop on one machine so that count tasks fit.
type eviction struct {
	m       *machine
	count   int
	victims []*taskCopy
	rank    protocol.Rank // the highest of the victims'
	cost    float64
}

// makeRoom stops work that must yield to a waiting job, where that frees
// enough room for it, and holds the room for it. A search that found nothing
// is not repeated at once: it looks at every machine.
func (l *leader) makeRoom(j *job, n int) {
	if l.evicting(j) || l.n.now.Before(j.searchAt) || l.present().spent() || l.hopeless(j, n) {
		return
	}
	list := l.evictions(j, n, false)
	if len(list) == 0 {
		j.searchAt = l.n.now.Add(tuning.SearchPause)
	}
	l.yield(j, list)
}

// evicting says whether room is being made for a job already.
func (l *leader) evicting(j *job) bool {
	for _, m := range j.held {
		for _, c := range m.copies {
			if c.stop {
				return true
			}
		}
	}
	return false
}

// yield carries evictions out.
func (l *leader) yield(j *job, list []eviction) {
	for _, e := range list {
		e.m.keep(j, l.n.now.Add(tuning.HoldFor))
		for _, c := range e.victims {
			l.n.metrics.Preemptions++
			l.makeWay(c)
		}
	}
}

// warmer says whether a gang that could start on machines without its image
// had better wait a moment for machines that have it, which work of lower
// priority can leave sooner than the image would arrive.
func (l *leader) warmer(j *job) bool {
	if l.evicting(j) {
		return true
	}
	fetch := l.fetchSeconds(j.spec)
	if fetch < tuning.WarmFetch || len(j.held) > 0 || l.n.now.Before(j.warmAt) || l.teamRoom(j) < len(j.tasks) ||
		l.present().spent() || l.hopeless(j, len(j.tasks)) {
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
	l.yield(j, list)
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
		per := map[string]int{}
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
	p := l.present()
	collect := func(zone string) (list []eviction) {
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

// yields says whether anything on a machine may be stopped for a job or is on
// its way out.
func (l *leader) yields(m *machine, j *job) bool {
	for _, c := range m.copies {
		if c.stop || l.mayStop(c, j) {
			return true
		}
	}
	return false
}

// evict works out what to stop on a machine so that up to count tasks fit:
// the lowest priority first, then what loses least.
func (l *leader) evict(j *job, m *machine, count int) eviction {
	left := l.left(m)
	if left.holds(j.spec, 1) == 0 && !l.yields(m, j) {
		return eviction{m: m} // most machines: nothing is sorted for them
	}
	var can []*taskCopy
	for _, c := range sortedCopies(m) {
		if c.stop {
			left.add(c.j.spec, 1) // on its way out already
		} else if l.mayStop(c, j) {
			can = append(can, c)
		}
	}
	slices.SortStableFunc(can, func(a, b *taskCopy) int {
		return cmp.Or(cmp.Compare(a.j.rank, b.j.rank), cmp.Compare(l.loss(a), l.loss(b)))
	})
	e := eviction{m: m, count: left.holds(j.spec, count)}
	for _, c := range can {
		if e.count >= count {
			break
		}
		left.add(c.j.spec, 1)
		e.victims = append(e.victims, c)
		e.count = left.holds(j.spec, count)
	}
	// A victim that is not needed after all stays.
	for i := len(e.victims) - 1; i >= 0; i-- {
		left.add(e.victims[i].j.spec, -1)
		if left.holds(j.spec, count) < e.count {
			left.add(e.victims[i].j.spec, 1)
			continue
		}
		e.victims = slices.Delete(e.victims, i, i+1)
	}
	for _, c := range e.victims {
		e.cost += 1 + l.loss(c)
		e.rank = max(e.rank, c.j.rank)
	}
	if t := l.kind(m); t != nil && t.FetchGBPerS > 0 && !m.hasImage(j.spec.Image) {
		e.cost += float64(e.count) * max(1, j.spec.GPUs) * j.spec.ImageGB / t.FetchGBPerS
	}
	return e
}

// loss is about how much work is lost when a copy is stopped, in GPU seconds.
// With one task of a gang all stop, save, and gather again.
func (l *leader) loss(c *taskCopy) float64 {
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
