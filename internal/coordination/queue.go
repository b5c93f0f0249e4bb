package coordination

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// demand is a job that waits, and for how many tasks.
type demand struct {
	j     *cluster.Job
	tasks int
}

// wants is how many tasks of a job wait for a place.
func (l *leader) wants(j *cluster.Job) int {
	if j.Cancelled || j.Finished || j.Complete() || j.Stopping || j.Records.Splitting || j.Records.Quarantined || l.n.now.Before(j.RetryAt) || l.isHeld(j) {
		return 0
	}
	if j.Spec.Gang() {
		if len(j.Attempts) > 0 {
			return 0
		}
		return len(j.Tasks)
	}
	n := 0
	for i := range j.Tasks {
		if t := &j.Tasks[i]; !t.Done && t.LiveAttempts == 0 && !l.n.now.Before(t.RetryAt) {
			n++
		}
	}
	return n
}

// schedule is one pass over the queue: by priority, then in order of arrival,
// within the teams' limits.
func (l *leader) schedule() {
	now := l.n.now
	for _, m := range l.cluster.OrderedMachines {
		if m.ReservedFor != nil && (now.After(m.ReservedUntil) || m.ReservedFor.Finished || m.ReservedFor.Cancelled || !m.ReservedFor.Stopping && l.wants(m.ReservedFor) == 0) {
			m.ReleaseReservation()
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
		if !j.Spec.Gang() && (i == 0 || queue[i-1].Spec.Gang() || queue[i-1].Priority != j.Priority) {
			l.placeWarm(queue[i:])
		}
		n := l.wants(j)
		if n == 0 {
			continue
		}
		if j.Spec.Gang() {
			if j.Failures.Attributed == 0 && l.waitsForCachedImage(j) {
				continue
			}
			if l.placeGang(j) {
				continue
			}
		} else if n = l.placeTasks(j, false); n == 0 {
			continue
		}
		if n = min(n, l.cluster.TasksWithinLimit(j)); n == 0 || j.Spec.Gang() && n < len(j.Tasks) {
			continue // its team's limit is in the way, not the machines
		}
		if j.Failures.Attributed > 0 {
			continue // no machine is emptied or rented for it
		}
		waiting = append(waiting, demand{j, n})
		l.makeRoom(j, n)
		if j.Spec.Gang() && now.Sub(j.Queue.WaitingSince) > l.n.cfg.Operator.ReserveAfter {
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
func (l *leader) placeWarm(queue []*cluster.Job) {
	for _, j := range queue {
		if j.Spec.Gang() || j.Priority != queue[0].Priority {
			return
		}
		if l.wants(j) > 0 {
			l.placeTasks(j, l.canWaitForImage(j))
		}
	}
}

// canWaitForImage says whether an array can wait for machines that have its image.
func (l *leader) canWaitForImage(j *cluster.Job) bool {
	if j.Spec.Service() {
		return false
	}
	fetch := config.Seconds(l.cluster.ImageFetchSeconds(j.Spec) * tuning.WarmPatience)
	for _, at := range j.StartDeadlines {
		if !l.n.now.After(at) {
			return l.n.now.Before(at.Add(-fetch))
		}
	}
	return len(j.StartDeadlines) > 0 || l.n.now.Sub(j.SubmittedAt) < fetch
}

// reserveMachines keeps the free machines of the zone where the gang lacks least from
// jobs behind it in the queue, no more of them than it needs.
func (l *leader) reserveMachines(j *cluster.Job) {
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
	for _, s := range fill(best, len(j.Tasks)) {
		if s.m.ReservedFor == nil {
			s.m.ReserveFor(j, l.n.now.Add(2*tuning.PlanIdle))
		}
	}
}

// markGuaranteed tells the jobs that fit into their team's guarantee together
// with the team's earlier unfinished jobs.
func (l *leader) markGuaranteed(queue []*cluster.Job) {
	byArrival := slices.Clone(queue)
	slices.SortFunc(byArrival, func(a, b *cluster.Job) int {
		return cmp.Or(cmp.Compare(a.ArrivalOrder, b.ArrivalOrder), cmp.Compare(a.ID, b.ID))
	})
	type sum struct{ cpus, gpus float64 }
	used := map[protocol.TeamName]sum{}
	for _, j := range byArrival {
		t := l.cluster.Quotas[j.Spec.Team]
		if t == nil || j.Cancelled {
			continue
		}
		n := float64(len(j.Tasks) - j.DoneTasks)
		u := used[j.Spec.Team]
		u.cpus += j.Spec.CPUs * n
		u.gpus += j.Spec.GPUs * n
		used[j.Spec.Team] = u
		some := t.GuaranteedCPUs > 0 || t.GuaranteedGPUs > 0
		j.Queue.WithinGuarantee = some && (t.GuaranteedCPUs == 0 || u.cpus <= t.GuaranteedCPUs+cluster.AmountTolerance) &&
			(t.GuaranteedGPUs == 0 || u.gpus <= t.GuaranteedGPUs+cluster.AmountTolerance)
	}
}

// markReclaimers tells the jobs that other teams' work must yield to: those that were
// within their team's guarantee when they came, and all of a team whose whole
// backlog is. A job that only comes within it while others of its team wait
// behind takes its turn: else the teams of an overloaded deployment would
// take the same machines from each other again and again.
func (l *leader) markReclaimers(queue []*cluster.Job) {
	over := map[protocol.TeamName]bool{}
	for _, j := range queue {
		if !j.Cancelled && !j.Queue.WithinGuarantee {
			over[j.Spec.Team] = true
		}
	}
	for _, j := range queue {
		if !j.Queue.ReclaimDecided {
			j.Queue.ReclaimDecided = true
			j.Queue.MayReclaim = j.Queue.WithinGuarantee
		}
		j.Queue.MayReclaim = j.Queue.MayReclaim || j.Queue.WithinGuarantee && !over[j.Spec.Team]
	}
}
