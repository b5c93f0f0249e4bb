package scheduler

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// markWithinGuarantee tells the jobs that fit into their team's guarantee together
// with the team's earlier unfinished jobs.
func markWithinGuarantee(queue []*cluster.Job, quotas map[protocol.TeamName]*cluster.Quota) {
	byArrival := slices.Clone(queue)
	slices.SortFunc(byArrival, func(a, b *cluster.Job) int {
		return cmp.Or(cmp.Compare(a.ArrivalOrder, b.ArrivalOrder), cmp.Compare(a.ID, b.ID))
	})
	used := map[protocol.TeamName]cluster.Resources{}
	for _, job := range byArrival {
		quota := quotas[job.Spec.Team]
		if quota == nil || job.Cancelled {
			continue
		}
		sum := used[job.Spec.Team]
		sum.AddTasks(job.Spec, len(job.Tasks)-job.DoneTasks)
		used[job.Spec.Team] = sum
		job.Queue.WithinGuarantee = quota.Guarantees(sum)
	}
}

// markMayReclaim tells the jobs that other teams' work may be preempted for: those that were
// within their team's guarantee when they came, and all of a team whose whole
// backlog is. A job that only comes within it while others of its team wait
// behind takes its turn: else the teams of an overloaded deployment would
// take the same machines from each other again and again.
func markMayReclaim(queue []*cluster.Job) {
	over := map[protocol.TeamName]bool{}
	for _, job := range queue {
		if !job.Cancelled && !job.Queue.WithinGuarantee {
			over[job.Spec.Team] = true
		}
	}
	for _, job := range queue {
		if !job.Queue.ReclaimDecided {
			job.Queue.ReclaimDecided = true
			job.Queue.MayReclaim = job.Queue.WithinGuarantee
		}
		job.Queue.MayReclaim = job.Queue.MayReclaim || job.Queue.WithinGuarantee && !over[job.Spec.Team]
	}
}
