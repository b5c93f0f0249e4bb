package scheduler

import (
	"slices"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// PlaceArray gives each waiting task the first free room; it returns how many
// still wait. warm: only on machines that have its image.
func (sc *Scheduler) PlaceArray(job *cluster.Job, warm bool) (waiting int) {
	quota := sc.state.TasksWithinLimit(job)
	if job.Overdue(sc.state.Now()) {
		quota = min(quota, 1)
	}
	var list []Candidate
	var limit map[protocol.ZoneName]int
	var only protocol.ZoneName
	next := 0 // sites before this one are full or not allowed
	for i := range job.Tasks {
		task := &job.Tasks[i]
		if task.Done || task.LiveAttempts > 0 {
			continue
		}
		if waiting > 0 || quota == 0 {
			waiting++
			continue
		}
		if list == nil {
			limit, only = sc.state.ZoneLimits(job)
			list = sc.candidates(job, only)
			if warm {
				list = slices.DeleteFunc(list, func(s Candidate) bool { return !s.imageLocal })
			}
			slices.SortFunc(list, compareByImage)
		}
		// A site that was taken stays the best until it is full: it has the
		// image then, and less room left.
		for next < len(list) && (list[next].tasks == 0 || limit[list[next].machine.Zone] == 0 || only != "" && list[next].machine.Zone != only) {
			next++
		}
		if next == len(list) {
			waiting++
			continue
		}
		s := &list[next]
		sc.Assign(job, i, task.LastAttempt+1, s.machine)
		quota--
		limit[s.machine.Zone]--
		if job.Spec.OneZone {
			only = s.machine.Zone
		}
		s.tasks = sc.state.FreeResources(s.machine).Fit(job.Spec, len(job.Tasks))
	}
	return waiting
}

// placeImageLocal lets the arrays that come next in the queue, of one priority and
// with no gang between, have the machines that hold their image, in their turn:
// an array that would fetch its image there leaves them to one behind it that
// need not. One whose time runs out takes what there is.
func (sc *Scheduler) placeImageLocal(queue []*cluster.Job) {
	for _, job := range queue {
		if job.Spec.Gang() || job.Priority != queue[0].Priority {
			return
		}
		if sc.WaitingTasks(job) > 0 {
			sc.placeTasks(job, sc.canWaitForImage(job))
		}
	}
}

// canWaitForImage says whether an array can wait for machines that have its image.
func (sc *Scheduler) canWaitForImage(job *cluster.Job) bool {
	if job.Spec.Service() {
		return false
	}
	fetch := config.Seconds(sc.state.ImageFetchSeconds(job.Spec) * tuning.ImageLocalWaitFactor)
	for _, at := range job.StartDeadlines {
		if !sc.state.Now().After(at) {
			return sc.state.Now().Before(at.Add(-fetch))
		}
	}
	return len(job.StartDeadlines) > 0 || sc.state.Now().Sub(job.SubmittedAt) < fetch
}

// placeTasks gives waiting tasks of an array or a service the first free room; it
// returns how many still wait.
func (sc *Scheduler) placeTasks(job *cluster.Job, warm bool) (waiting int) {
	if job.Spec.Service() {
		return sc.PlaceService(job)
	}
	return sc.PlaceArray(job, warm)
}
