package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
)

// Queue returns the jobs by priority, then by queue time (see Job.QueueTime in package cluster),
// then by order of arrival. During a recovery the largest gangs of each priority come first.
func (sc *Scheduler) Queue() []*cluster.Job {
	type entry struct {
		job  *cluster.Job
		time time.Time
	}
	largestFirst := sc.env.Recovering()
	entries := make([]entry, 0, len(sc.state.Jobs))
	for _, job := range sc.state.Jobs {
		entries = append(entries, entry{job: job, time: job.QueueTime(sc.state.Now())})
	}
	slices.SortFunc(entries, func(a, b entry) int {
		bySize := 0
		if largestFirst {
			bySize = cmp.Compare(b.job.GangSize(), a.job.GangSize())
		}
		return cmp.Or(
			cmp.Compare(b.job.Priority, a.job.Priority),
			bySize,
			a.time.Compare(b.time),
			cmp.Compare(a.job.ArrivalOrder, b.job.ArrivalOrder),
			cmp.Compare(a.job.ID, b.job.ID))
	})
	queue := make([]*cluster.Job, len(entries))
	for i, e := range entries {
		queue[i] = e.job
	}
	return queue
}

// WaitingTasks returns how many tasks of a job wait to be placed.
func (sc *Scheduler) WaitingTasks(job *cluster.Job) int {
	if !sc.mayStart(job) {
		return 0
	}
	if job.Spec.Gang() {
		if len(job.Attempts) > 0 {
			return 0
		}
		return len(job.Tasks)
	}
	waiting := 0
	for i := range job.Tasks {
		task := &job.Tasks[i]
		if !task.Done && task.LiveAttempts == 0 && !sc.state.Now().Before(task.RetryAt) {
			waiting++
		}
	}
	return waiting
}

// mayStart reports whether a job may start any tasks now.
func (sc *Scheduler) mayStart(job *cluster.Job) bool {
	switch {
	case job.Cancelled, job.Finished, job.Complete(), job.Stopping:
		return false
	case job.Records.Splitting, job.Records.Quarantined:
		return false
	}
	return !sc.state.Now().Before(job.RetryAt) && !sc.env.StartsWithheld(job)
}
