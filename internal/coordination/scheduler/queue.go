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
	for _, j := range sc.state.Jobs {
		entries = append(entries, entry{j, j.QueueTime(sc.state.Now())})
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
func (sc *Scheduler) WaitingTasks(j *cluster.Job) int {
	if j.Cancelled || j.Finished || j.Complete() || j.Stopping || j.Records.Splitting || j.Records.Quarantined || sc.state.Now().Before(j.RetryAt) || sc.env.Held(j) {
		return 0
	}
	if j.Spec.Gang() {
		if len(j.Attempts) > 0 {
			return 0
		}
		return len(j.Tasks)
	}
	n := 0
	for i := range j.Tasks {
		if t := &j.Tasks[i]; !t.Done && t.LiveAttempts == 0 && !sc.state.Now().Before(t.RetryAt) {
			n++
		}
	}
	return n
}

// RunCycle is one pass over the queue: by priority, then in order of arrival,
// within the teams' limits.
func (sc *Scheduler) RunCycle() (demand []Demand) {
	now := sc.state.Now()
	for _, m := range sc.state.OrderedMachines {
		if m.ReservedFor != nil && (now.After(m.ReservedUntil) || m.ReservedFor.Finished || m.ReservedFor.Cancelled || !m.ReservedFor.Stopping && sc.WaitingTasks(m.ReservedFor) == 0) {
			m.ReleaseReservation()
		}
	}
	sc.cycle = sc.newCycle()
	sc.measureGPUNeeds()
	defer func() { sc.Examined, sc.cycle = sc.cycle.examined, nil }()
	queue := sc.Queue()
	sc.markWithinGuarantee(queue)
	sc.markReclaimers(queue)
	var waiting []Demand
	for i, j := range queue {
		if !j.Spec.Gang() && (i == 0 || queue[i-1].Spec.Gang() || queue[i-1].Priority != j.Priority) {
			sc.placeImageLocal(queue[i:])
		}
		n := sc.WaitingTasks(j)
		if n == 0 {
			continue
		}
		if j.Spec.Gang() {
			if j.Failures.Attributed == 0 && sc.waitsForImageLocalMachines(j) {
				continue
			}
			if sc.PlaceGang(j) {
				continue
			}
		} else if n = sc.placeTasks(j, false); n == 0 {
			continue
		}
		if n = min(n, sc.state.TasksWithinLimit(j)); n == 0 || j.Spec.Gang() && n < len(j.Tasks) {
			continue // its team's limit is in the way, not the machines
		}
		if j.Failures.Attributed > 0 {
			continue // no machine is emptied or rented for it
		}
		waiting = append(waiting, Demand{Job: j, Tasks: n})
		sc.PreemptFor(j, n)
		if j.Spec.Gang() && now.Sub(j.Queue.WaitingSince) > sc.state.Config.Operator.ReserveAfter {
			sc.reserveMachines(j)
		}
	}
	sc.Waiting = len(waiting)
	return waiting
}
