package scheduler

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// markWithinGuarantee sets WithinGuarantee for each job: whether its unfinished tasks, together
// with those of the team's earlier jobs, fit into the team's guaranteed quota.
func markWithinGuarantee(queue []*cluster.Job, quotas map[protocol.TeamName]*cluster.Quota) {
	byArrival := slices.Clone(queue)
	slices.SortFunc(byArrival, func(a, b *cluster.Job) int {
		return cmp.Or(cmp.Compare(a.ArrivalOrder, b.ArrivalOrder), cmp.Compare(a.ID, b.ID))
	})
	unfinished := map[protocol.TeamName]cluster.Resources{}
	for _, job := range byArrival {
		quota := quotas[job.Spec.Team]
		if quota == nil || job.Cancelled {
			continue
		}
		sum := unfinished[job.Spec.Team]
		sum.AddTasks(job.Spec, len(job.Tasks)-job.DoneTasks)
		unfinished[job.Spec.Team] = sum
		job.Queue.WithinGuarantee = quota.Guarantees(sum)
	}
}

// markMayReclaim marks the jobs for which other teams' work may be preempted: jobs that were
// within their team's guarantee when they were first queued, and all jobs of a team whose
// whole backlog is within its guarantee. A job that comes within the guarantee later, while
// its team has jobs beyond it, waits its turn instead. Otherwise the teams of an overloaded
// deployment would preempt each other for the same machines again and again.
func markMayReclaim(queue []*cluster.Job) {
	exceedsGuarantee := map[protocol.TeamName]bool{}
	for _, job := range queue {
		if !job.Cancelled && !job.Queue.WithinGuarantee {
			exceedsGuarantee[job.Spec.Team] = true
		}
	}
	for _, job := range queue {
		if !job.Queue.ReclaimDecided {
			job.Queue.ReclaimDecided = true
			job.Queue.MayReclaim = job.Queue.WithinGuarantee
		}
		job.Queue.MayReclaim = job.Queue.MayReclaim || job.Queue.WithinGuarantee && !exceedsGuarantee[job.Spec.Team]
	}
}
