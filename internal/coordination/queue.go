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
	if j.cancelled || j.gone || j.isComplete() || j.stopping || j.splitting || j.unwritable || l.n.now.Before(j.retryAt) || l.isHeld(j) {
		return 0
	}
	if j.spec.Gang() {
		if len(j.attempts) > 0 {
			return 0
		}
		return len(j.tasks)
	}
	n := 0
	for i := range j.tasks {
		if t := &j.tasks[i]; !t.done && t.liveAttempts == 0 && !l.n.now.Before(t.retryAt) {
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
	l.measureGPUNeeds()
	defer func() { l.looks, l.pass = l.pass.looks, nil }()
	queue := l.ordered()
	l.markGuaranteed(queue)
	l.markReclaimers(queue)
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
			if j.blamedCount == 0 && l.waitsForCachedImage(j) {
				continue
			}
			if l.placeGang(j) {
				continue
			}
		} else if n = l.placeTasks(j, false); n == 0 {
			continue
		}
		if n = min(n, l.teamQuota(j)); n == 0 || j.spec.Gang() && n < len(j.tasks) {
			continue // its team's limit is in the way, not the machines
		}
		if j.blamedCount > 0 {
			continue // no machine is emptied or rented for it
		}
		waiting = append(waiting, demand{j, n})
		l.makeRoom(j, n)
		if j.spec.Gang() && now.Sub(j.waitingSince) > l.n.cfg.Operator.ReserveAfter {
			l.reserveMachines(j)
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
			l.placeTasks(j, l.canWaitForImage(j))
		}
	}
}

// canWaitForImage says whether an array can wait for machines that have its image.
func (l *leader) canWaitForImage(j *job) bool {
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

// reserveMachines keeps the free machines of the zone where the gang lacks least from
// jobs behind it in the queue, no more of them than it needs.
func (l *leader) reserveMachines(j *job) {
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

// markGuaranteed tells the jobs that fit into their team's guarantee together
// with the team's earlier unfinished jobs.
func (l *leader) markGuaranteed(queue []*job) {
	byArrival := slices.Clone(queue)
	slices.SortFunc(byArrival, func(a, b *job) int { return cmp.Or(cmp.Compare(a.seq, b.seq), cmp.Compare(a.id, b.id)) })
	type sum struct{ cpus, gpus float64 }
	used := map[protocol.TeamName]sum{}
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

// markReclaimers tells the jobs that other teams' work must yield to: those that were
// within their team's guarantee when they came, and all of a team whose whole
// backlog is. A job that only comes within it while others of its team wait
// behind takes its turn: else the teams of an overloaded deployment would
// take the same machines from each other again and again.
func (l *leader) markReclaimers(queue []*job) {
	over := map[protocol.TeamName]bool{}
	for _, j := range queue {
		if !j.cancelled && !j.guaranteed {
			over[j.spec.Team] = true
		}
	}
	for _, j := range queue {
		if !j.reclaimChecked {
			j.reclaimChecked = true
			j.mayReclaim = j.guaranteed
		}
		j.mayReclaim = j.mayReclaim || j.guaranteed && !over[j.spec.Team]
	}
}

// exceedsGuarantee says whether a team uses more than its guarantee.
func (t *team) exceedsGuarantee() bool {
	return t.gpus > t.guaranteeGPUs+amountSlack || t.guaranteeGPUs == 0 && t.cpus > t.guaranteeCPUs+amountSlack
}
