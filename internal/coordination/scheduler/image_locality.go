package scheduler

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// waitsForImageLocalMachines says whether a gang that could start on machines without its image
// had better wait a moment for machines that have it, which work of lower
// priority can leave sooner than the image would arrive.
func (sc *Scheduler) waitsForImageLocalMachines(j *cluster.Job) bool {
	if sc.preempting(j) {
		return true
	}
	fetch := sc.state.ImageFetchSeconds(j.Spec)
	if fetch < tuning.WarmFetch || len(j.Reserved) > 0 || sc.state.Now().Before(j.Queue.ImageLocalNotBefore) || sc.state.TasksWithinLimit(j) < len(j.Tasks) ||
		sc.currentCycle().exhausted() || sc.preemptionIsHopeless(j, len(j.Tasks)) {
		return false
	}
	warm := 0
	for _, s := range sc.candidates(j, "") {
		if s.imageLocal {
			warm += s.tasks
		}
	}
	if warm >= len(j.Tasks) {
		return false // the placement finds them
	}
	j.Queue.ImageLocalNotBefore = sc.state.Now().Add(tuning.SearchPause)
	list := sc.findPreemptions(j, len(j.Tasks), true)
	cost := 0.0
	for _, e := range list {
		cost += e.cost
		for _, c := range e.victims {
			if CheckpointPays(c.Job.Spec) && c.Job.Spec.SaveS > fetch*tuning.WarmSave {
				return false
			}
		}
	}
	if len(list) == 0 || cost > fetch*tuning.WarmLoss*max(1, j.Spec.GPUs)*float64(len(j.Tasks)) {
		return false
	}
	sc.stopVictims(j, list)
	return true
}
