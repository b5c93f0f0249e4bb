package scheduler

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// markWithinGuarantee tells the jobs that fit into their team's guarantee together
// with the team's earlier unfinished jobs.
func (sc *Scheduler) markWithinGuarantee(queue []*cluster.Job) {
	byArrival := slices.Clone(queue)
	slices.SortFunc(byArrival, func(a, b *cluster.Job) int {
		return cmp.Or(cmp.Compare(a.ArrivalOrder, b.ArrivalOrder), cmp.Compare(a.ID, b.ID))
	})
	type sum struct{ cpus, gpus float64 }
	used := map[protocol.TeamName]sum{}
	for _, j := range byArrival {
		t := sc.state.Quotas[j.Spec.Team]
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
func (sc *Scheduler) markReclaimers(queue []*cluster.Job) {
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
