package scheduler

import (
	"slices"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// imageRequirement tells a search whether to consider only machines that have the job's image.
type imageRequirement int

const (
	imageOptional imageRequirement = iota // also consider machines that would have to fetch it
	imageRequired                         // consider only machines that have it
)

// placeTasks places waiting tasks of an array or a service on free capacity and returns how many
// still wait.
func (sc *Scheduler) placeTasks(job *cluster.Job, image imageRequirement) (waiting int) {
	if job.Spec.Service() {
		return sc.placeService(job)
	}
	return sc.placeArray(job, image)
}

// placeArray places each waiting task of an array on the best machine with free capacity and
// returns how many still wait.
func (sc *Scheduler) placeArray(job *cluster.Job, image imageRequirement) (waiting int) {
	allowed := arrayPlacementLimit(job, sc.state)
	var candidates arrayCandidateList
	for index := range job.Tasks {
		task := &job.Tasks[index]
		if task.Done || task.LiveAttempts > 0 {
			continue
		}
		if waiting > 0 || allowed == 0 {
			waiting++
			continue
		}
		if candidates.list == nil {
			candidates = sc.currentCycle().newArrayCandidateList(job, image)
		}
		best := candidates.best()
		if best == nil {
			waiting++
			continue
		}
		sc.assign(job, index, task.LastAttempt+1, best.machine)
		allowed--
		candidates.zones.Take(job, best.machine.Zone)
		best.tasks = sc.state.FreeResources(best.machine).Fit(job.Spec, len(job.Tasks))
	}
	return waiting
}

// arrayPlacementLimit returns how many tasks of an array may be placed now. An overdue array goes
// to the front of the queue for one task only, and then waits its usual turn.
func arrayPlacementLimit(job *cluster.Job, state *cluster.State) int {
	limit := state.TasksWithinLimit(job)
	if job.Overdue(state.Now()) {
		return min(limit, 1)
	}
	return limit
}

// arrayCandidateList holds the machines on which the tasks of an array are placed one by one.
type arrayCandidateList struct {
	list  []candidate // the best candidate first
	next  int         // candidates before this index are full or in a zone that is not allowed
	zones cluster.ZoneLimits
}

// newArrayCandidateList returns the candidates for the tasks of an array.
func (c *cycle) newArrayCandidateList(job *cluster.Job, image imageRequirement) arrayCandidateList {
	zones := c.state.ZoneLimits(job)
	list := c.candidates(job, zones.Only)
	if image == imageRequired {
		list = slices.DeleteFunc(list, func(cand candidate) bool { return !cand.imageLocal })
	}
	slices.SortFunc(list, compareByImage)
	return arrayCandidateList{list: list, zones: zones}
}

// best returns the candidate for the next task, or nil if there is none. A machine that was
// given a task stays the best until it is full, because it then has the image and fewer free
// slots than before.
func (a *arrayCandidateList) best() *candidate {
	for ; a.next < len(a.list); a.next++ {
		if c := &a.list[a.next]; c.tasks > 0 && a.zones.Allow(c.machine.Zone) {
			return c
		}
	}
	return nil
}

// placeImageLocal places tasks of the arrays at the front of the queue, up to the next gang or
// the next lower priority, on machines that already have their image. It runs before these
// arrays may take other machines. So an array that would have to fetch its image on a machine
// leaves that machine to an array behind it that already has its image there. Arrays that cannot
// wait any longer, and services, take any machine.
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

// canWaitForImageLocalMachine reports whether an array has time to wait for machines that have
// its image. An array that has missed all its start deadlines has time. A service never waits.
func canWaitForImageLocalMachine(job *cluster.Job, state *cluster.State) bool {
	if job.Spec.Service() {
		return false
	}
	now := state.Now()
	maxWait := config.Seconds(state.ImageFetchSeconds(job.Spec) * tuning.ImageLocalWaitFactor)
	for _, deadline := range job.StartDeadlines {
		if !now.After(deadline) {
			return now.Before(deadline.Add(-maxWait))
		}
	}
	return len(job.StartDeadlines) > 0 || now.Sub(job.SubmittedAt) < maxWait
}
