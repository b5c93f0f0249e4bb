package commit

import (
	"cmp"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// urgency says how soon a job's changes are to be written.
type urgency int

// Classes of urgency, the most urgent first.
const (
	// urgent changes are new places of gangs and services, record splits under way, and
	// what has waited long. A part of the write budget is kept for them.
	urgent urgency = iota
	// ordinary changes are new places of arrays and ends of jobs.
	ordinary
	// taskCompletions of single tasks that are done, which their agents go on reporting until they
	// are stored.
	taskCompletions
	// notDue are marks that can wait: the tasks of an array end one after the other, and
	// mostly their record is written with the next place anyway.
	notDue
)

// dirtyJobs are jobs with unwritten changes, in the order that they came.
type dirtyJobs []*cluster.Job

// rankedJob is a job with unwritten changes of some urgency.
type rankedJob struct {
	job     *cluster.Job
	urgency urgency
}

// urgencyOf classifies the unwritten changes of a job.
func urgencyOf(job *cluster.Job, now time.Time) urgency {
	age := now.Sub(job.Write.DirtySince)
	switch {
	case job.Records.Splitting, age > tuning.MaxDoneMarkDelay:
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
	case age > tuning.DoneMarkDelay:
		return taskCompletions
	}
	return notDue
}

// byUrgency orders the jobs: the urgent ones by priority, the others in the order that they
// came.
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
