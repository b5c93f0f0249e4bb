package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
)

// Queue lists the jobs in order of priority and arrival; in a recovery the largest
// gangs of a priority come first.
func (sc *Scheduler) Queue() []*cluster.Job {
	type entry struct {
		j    *cluster.Job
		turn time.Time
	}
	largestFirst := sc.env.Recovering()
	entries := make([]entry, 0, len(sc.state.Jobs))
	for _, job := range sc.state.Jobs {
		entries = append(entries, entry{job, job.QueueTime(sc.state.Now())})
	}
	slices.SortFunc(entries, func(a, b entry) int {
		bySize := 0
		if largestFirst {
			bySize = cmp.Compare(b.j.GangSize(), a.j.GangSize())
		}
		return cmp.Or(cmp.Compare(b.j.Priority, a.j.Priority), bySize, a.turn.Compare(b.turn), cmp.Compare(a.j.ArrivalOrder, b.j.ArrivalOrder), cmp.Compare(a.j.ID, b.j.ID))
	})
	list := make([]*cluster.Job, len(entries))
	for i, e := range entries {
		list[i] = e.j
	}
	return list
}

// Demand is a job that waits, and for how many tasks.
type Demand struct {
	Job   *cluster.Job
	Tasks int
}

// WaitingTasks is how many tasks of a job wait for a place.
func (sc *Scheduler) WaitingTasks(job *cluster.Job) int {
	if job.Cancelled || job.Finished || job.Complete() || job.Stopping || job.Records.Splitting || job.Records.Quarantined || sc.state.Now().Before(job.RetryAt) || sc.env.Held(job) {
		return 0
	}
	if job.Spec.Gang() {
		if len(job.Attempts) > 0 {
			return 0
		}
		return len(job.Tasks)
	}
	n := 0
	for i := range job.Tasks {
		if task := &job.Tasks[i]; !task.Done && task.LiveAttempts == 0 && !sc.state.Now().Before(task.RetryAt) {
			n++
		}
	}
	return n
}

// RunCycle is one pass over the queue: by priority, then in order of arrival,
// within the teams' limits.
func (sc *Scheduler) RunCycle() (demand []Demand) {
	now := sc.state.Now()
	for _, machine := range sc.state.OrderedMachines {
		if machine.ReservedFor != nil && (now.After(machine.ReservedUntil) || machine.ReservedFor.Finished || machine.ReservedFor.Cancelled || !machine.ReservedFor.Stopping && sc.WaitingTasks(machine.ReservedFor) == 0) {
			machine.ReleaseReservation()
		}
	}
	sc.cycle = sc.newCycle()
	sc.measureGPUNeeds()
	defer func() { sc.Examined, sc.cycle = sc.cycle.examined, nil }()
	queue := sc.Queue()
	sc.markWithinGuarantee(queue)
	sc.markReclaimers(queue)
	var waiting []Demand
	for i, job := range queue {
		if !job.Spec.Gang() && (i == 0 || queue[i-1].Spec.Gang() || queue[i-1].Priority != job.Priority) {
			sc.placeImageLocal(queue[i:])
		}
		n := sc.WaitingTasks(job)
		if n == 0 {
			continue
		}
		if job.Spec.Gang() {
			if job.Failures.Attributed == 0 && sc.waitsForImageLocalMachines(job) {
				continue
			}
			if sc.PlaceGang(job) {
				continue
			}
		} else if n = sc.placeTasks(job, false); n == 0 {
			continue
		}
		if n = min(n, sc.state.TasksWithinLimit(job)); n == 0 || job.Spec.Gang() && n < len(job.Tasks) {
			continue // its team's limit is in the way, not the machines
		}
		if job.Failures.Attributed > 0 {
			continue // no machine is emptied or rented for it
		}
		waiting = append(waiting, Demand{Job: job, Tasks: n})
		sc.PreemptFor(job, n)
		if job.Spec.Gang() && now.Sub(job.Queue.WaitingSince) > sc.state.Config.Operator.BackfillBarrierDelay {
			sc.reserveMachines(job)
		}
	}
	sc.Waiting = len(waiting)
	return waiting
}
