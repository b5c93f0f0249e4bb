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
func (sc *Scheduler) PlaceArray(j *cluster.Job, warm bool) (waiting int) {
	quota := sc.state.TasksWithinLimit(j)
	if j.Overdue(sc.state.Now()) {
		quota = min(quota, 1)
	}
	var list []Candidate
	var limit map[protocol.ZoneName]int
	var only protocol.ZoneName
	next := 0 // sites before this one are full or not allowed
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.Done || t.LiveAttempts > 0 {
			continue
		}
		if waiting > 0 || quota == 0 {
			waiting++
			continue
		}
		if list == nil {
			limit, only = sc.state.ZoneLimits(j)
			list = sc.candidates(j, only)
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
		sc.Assign(j, i, t.LastAttempt+1, s.machine)
		quota--
		limit[s.machine.Zone]--
		if j.Spec.OneZone {
			only = s.machine.Zone
		}
		s.tasks = sc.state.FreeResources(s.machine).Fit(j.Spec, len(j.Tasks))
	}
	return waiting
}

// placeImageLocal lets the arrays that come next in the queue, of one priority and
// with no gang between, have the machines that hold their image, in their turn:
// an array that would fetch its image there leaves them to one behind it that
// need not. One whose time runs out takes what there is.
func (sc *Scheduler) placeImageLocal(queue []*cluster.Job) {
	for _, j := range queue {
		if j.Spec.Gang() || j.Priority != queue[0].Priority {
			return
		}
		if sc.WaitingTasks(j) > 0 {
			sc.placeTasks(j, sc.canWaitForImage(j))
		}
	}
}

// canWaitForImage says whether an array can wait for machines that have its image.
func (sc *Scheduler) canWaitForImage(j *cluster.Job) bool {
	if j.Spec.Service() {
		return false
	}
	fetch := config.Seconds(sc.state.ImageFetchSeconds(j.Spec) * tuning.WarmPatience)
	for _, at := range j.StartDeadlines {
		if !sc.state.Now().After(at) {
			return sc.state.Now().Before(at.Add(-fetch))
		}
	}
	return len(j.StartDeadlines) > 0 || sc.state.Now().Sub(j.SubmittedAt) < fetch
}

// placeTasks gives waiting tasks of an array or a service the first free room; it
// returns how many still wait.
func (sc *Scheduler) placeTasks(j *cluster.Job, warm bool) (waiting int) {
	if j.Spec.Service() {
		return sc.PlaceService(j)
	}
	return sc.PlaceArray(j, warm)
}
