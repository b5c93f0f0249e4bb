package commit

import (
	"cmp"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// urgency is a class of how soon a job's changes must be written.
type urgency int

// Classes of urgency, most urgent first.
const (
	// urgent changes are new placements of gangs and services, record splits in progress, and
	// changes that have waited long. Part of the write budget is reserved for them.
	urgent urgency = iota
	// ordinary changes are new placements of arrays and ends of jobs.
	ordinary
	// taskCompletions are changes without new placements to jobs that have not ended, mostly
	// completions of single tasks. Agents keep reporting these tasks until their completion is
	// stored.
	taskCompletions
	// notDue changes are recent changes of the class taskCompletions. They can wait: the tasks of
	// an array end one after the other, and their record is usually written with the next
	// placement anyway.
	notDue
)

// dirtyJobs holds the jobs with unwritten changes.
type dirtyJobs []*cluster.Job

// rankedJob is a job with unwritten changes and their urgency.
type rankedJob struct {
	job     *cluster.Job
	urgency urgency
}

// urgencyOf returns the urgency of a job's unwritten changes.
func urgencyOf(job *cluster.Job, now time.Time) urgency {
	age := now.Sub(job.Write.DirtySince)
	switch {
	case job.Records.Splitting, age > tuning.MaxCompletionWriteDelay:
		return urgent
	case job.HasUncommitted():
		if job.Spec.Gang() || job.Spec.Service() || age > tuning.MaxWriteDelay {
			return urgent
		}
		return ordinary
	case job.FinalPhase() != "":
		if age > tuning.MaxWriteDelay {
			return urgent
		}
		return ordinary
	case age > tuning.CompletionWriteDelay:
		return taskCompletions
	}
	return notDue
}

// byUrgency returns the jobs that still have changes to write, by urgency, and notes that the
// others are no longer queued. Urgent jobs are ordered by priority. Among equals, the job that
// has been dirty longest comes first.
func (dj dirtyJobs) byUrgency(now time.Time) []rankedJob {
	var ranked []rankedJob
	for _, job := range dj {
		if job.Finished || len(job.Write.Dirty) == 0 {
			job.Write.Queued = false
			continue
		}
		ranked = append(ranked, rankedJob{job, urgencyOf(job, now)})
	}
	slices.SortStableFunc(ranked, func(a, b rankedJob) int {
		byPriority := 0
		if a.urgency == urgent {
			byPriority = cmp.Compare(b.job.Priority, a.job.Priority)
		}
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), byPriority, a.job.Write.DirtySince.Compare(b.job.Write.DirtySince))
	})
	return ranked
}
