package scheduler

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// preemptOnImageLocalMachines preempts work on machines that have a gang's image, if these
// machines become free sooner than the image could be fetched elsewhere. It reports whether
// the gang should wait for them, even if it could start on machines without the image. It also
// returns true while an earlier preemption for the gang is in progress.
func (sc *Scheduler) preemptOnImageLocalMachines(job *cluster.Job) bool {
	if preemptionInProgress(job) {
		return true
	}
	fetchSeconds := sc.state.ImageFetchSeconds(job.Spec)
	if fetchSeconds < tuning.MinFetchSecondsForImageLocality || len(job.Reserved) > 0 || sc.state.Now().Before(job.Queue.ImageLocalSearchNotBefore) ||
		sc.state.TasksWithinLimit(job) < len(job.Tasks) || sc.currentCycle().examineLimitReached() || sc.currentCycle().preemptionImpossible(job, len(job.Tasks)) {
		return false
	}
	if sc.currentCycle().fitsOnImageLocalMachines(job) {
		return false // no preemption is needed: placeGang finds these machines
	}
	job.Queue.ImageLocalSearchNotBefore = sc.state.Now().Add(tuning.PreemptionSearchBackoff)
	plan := sc.currentCycle().findPreemptions(job, len(job.Tasks), imageRequired)
	if len(plan.machines) == 0 || !preferableToFetch(job, plan, fetchSeconds) {
		return false
	}
	sc.executePreemptions(job, plan)
	return true
}

// fitsOnImageLocalMachines reports whether all tasks of a job fit into the free capacity of
// machines that have its image.
func (c *cycle) fitsOnImageLocalMachines(job *cluster.Job) bool {
	tasks := 0
	for _, cand := range c.candidates(job, "") {
		if cand.imageLocal {
			tasks += cand.tasks
		}
	}
	return tasks >= len(job.Tasks)
}

// preferableToFetch reports whether carrying out a preemption plan is better than fetching the
// image. Victims that save a checkpoint must do so well within the fetch time, and the work
// lost must not exceed a fixed multiple of the GPU time that would be idle during the fetch.
func preferableToFetch(job *cluster.Job, plan preemptionPlan, fetchSeconds float64) bool {
	for i := range plan.machines {
		for _, victim := range plan.machines[i].victims {
			if ShouldCheckpointOnPreemption(victim.Job.Spec) && victim.Job.Spec.CheckpointSaveS > fetchSeconds*tuning.MaxImageLocalSaveShare {
				return false
			}
		}
	}
	return plan.cost <= fetchSeconds*tuning.MaxImageLocalLossFactor*max(1, job.Spec.GPUs)*float64(len(job.Tasks))
}
