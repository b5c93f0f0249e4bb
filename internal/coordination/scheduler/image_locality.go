package scheduler

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// waitsForImageLocalMachines says whether a gang that could start on machines without its image
// had better wait a moment for machines that have it, which work of lower
// priority can leave sooner than the image would arrive.
func (sc *Scheduler) waitsForImageLocalMachines(job *cluster.Job) bool {
	if sc.preempting(job) {
		return true
	}
	fetch := sc.state.ImageFetchSeconds(job.Spec)
	if fetch < tuning.ImageLocalFetchSeconds || len(job.Reserved) > 0 || sc.state.Now().Before(job.Queue.ImageLocalNotBefore) || sc.state.TasksWithinLimit(job) < len(job.Tasks) ||
		sc.currentCycle().exhausted() || sc.preemptionIsHopeless(job, len(job.Tasks)) {
		return false
	}
	warm := 0
	for _, s := range sc.candidates(job, "") {
		if s.imageLocal {
			warm += s.tasks
		}
	}
	if warm >= len(job.Tasks) {
		return false // the placement finds them
	}
	job.Queue.ImageLocalNotBefore = sc.state.Now().Add(tuning.PreemptionSearchBackoff)
	list := sc.findPreemptions(job, len(job.Tasks), true)
	cost := 0.0
	for _, e := range list {
		cost += e.cost
		for _, attempt := range e.victims {
			if CheckpointPays(attempt.Job.Spec) && attempt.Job.Spec.SaveS > fetch*tuning.MaxImageLocalSaveShare {
				return false
			}
		}
	}
	if len(list) == 0 || cost > fetch*tuning.MaxImageLocalLossFactor*max(1, job.Spec.GPUs)*float64(len(job.Tasks)) {
		return false
	}
	sc.stopVictims(job, list)
	return true
}
