package scheduler

import (
	"slices"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// imageRequirement says which machines a search takes into account.
type imageRequirement int

const (
	imageOptional imageRequirement = iota // also machines that would have to fetch the image
	imageRequired                         // only machines that have the image
)

// placeTasks places waiting tasks of an array or a service where there is free capacity;
// it returns how many still wait.
func (sc *Scheduler) placeTasks(job *cluster.Job, image imageRequirement) (waiting int) {
	if job.Spec.Service() {
		return sc.placeService(job)
	}
	return sc.placeArray(job, image)
}

// placeArray places each waiting task on the best machine with free capacity; it returns
// how many still wait.
func (sc *Scheduler) placeArray(job *cluster.Job, image imageRequirement) (waiting int) {
	quota := arrayPlacementLimit(job, sc.state)
	var choice arrayCandidateList
	for index := range job.Tasks {
		task := &job.Tasks[index]
		if task.Done || task.LiveAttempts > 0 {
			continue
		}
		if waiting > 0 || quota == 0 {
			waiting++
			continue
		}
		if choice.list == nil {
			choice = sc.currentCycle().newArrayCandidateList(job, image)
		}
		best := choice.best()
		if best == nil {
			waiting++
			continue
		}
		sc.assign(job, index, task.LastAttempt+1, best.machine)
		quota--
		choice.zones.Take(job, best.machine.Zone)
		best.tasks = sc.state.FreeResources(best.machine).Fit(job.Spec, len(job.Tasks))
	}
	return waiting
}

// arrayPlacementLimit is how many tasks an array may place now: an overdue one goes first with one
// task, then takes its turn again.
func arrayPlacementLimit(job *cluster.Job, state *cluster.State) int {
	quota := state.TasksWithinLimit(job)
	if job.Overdue(state.Now()) {
		return min(quota, 1)
	}
	return quota
}

// arrayCandidateList is the machines that an array's tasks are placed on one after the other.
type arrayCandidateList struct {
	list  []candidate // the best first
	next  int         // candidates before this one are full or not allowed
	zones cluster.ZoneLimits
}

// newArrayCandidateList lists the machines for an array.
func (c *cycle) newArrayCandidateList(job *cluster.Job, image imageRequirement) arrayCandidateList {
	zones := c.state.ZoneLimits(job)
	list := c.candidates(job, zones.Only)
	if image == imageRequired {
		list = slices.DeleteFunc(list, func(place candidate) bool { return !place.imageLocal })
	}
	slices.SortFunc(list, compareByImage)
	return arrayCandidateList{list: list, zones: zones}
}

// best is the machine for the next task, nil if there is none. One that was taken stays
// the best until it is full: it has the image then, and less free capacity.
func (a *arrayCandidateList) best() *candidate {
	for ; a.next < len(a.list); a.next++ {
		if c := &a.list[a.next]; c.tasks > 0 && a.zones.Allow(c.machine.Zone) {
			return c
		}
	}
	return nil
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
		if sc.WaitingTasks(job) == 0 {
			continue
		}
		if canWaitForImageLocalMachine(job, sc.state) {
			sc.placeTasks(job, imageRequired)
		} else {
			sc.placeTasks(job, imageOptional)
		}
	}
}

// canWaitForImageLocalMachine says whether an array can wait for machines that have its image.
func canWaitForImageLocalMachine(job *cluster.Job, state *cluster.State) bool {
	if job.Spec.Service() {
		return false
	}
	now := state.Now()
	fetch := config.Seconds(state.ImageFetchSeconds(job.Spec) * tuning.ImageLocalWaitFactor)
	for _, deadline := range job.StartDeadlines {
		if !now.After(deadline) {
			return now.Before(deadline.Add(-fetch))
		}
	}
	return len(job.StartDeadlines) > 0 || now.Sub(job.SubmittedAt) < fetch
}
