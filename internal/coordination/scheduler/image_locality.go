package scheduler

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// preemptOnImageLocalMachines says whether a gang that could start on machines without its
// image had better wait a moment for machines that have it, which work of lower
// priority can leave sooner than the image would arrive. That work is preempted then.
func (sc *Scheduler) preemptOnImageLocalMachines(job *cluster.Job) bool {
	if preemptionInProgress(job) {
		return true
	}
	fetch := sc.state.ImageFetchSeconds(job.Spec)
	if fetch < tuning.ImageLocalFetchSeconds || len(job.Reserved) > 0 || sc.state.Now().Before(job.Queue.ImageLocalSearchNotBefore) ||
		sc.state.TasksWithinLimit(job) < len(job.Tasks) || sc.currentCycle().examineLimitReached() || sc.currentCycle().preemptionImpossible(job, len(job.Tasks)) {
		return false
	}
	if sc.currentCycle().fitsOnImageLocalMachines(job) {
		return false // the placement finds the machines
	}
	job.Queue.ImageLocalSearchNotBefore = sc.state.Now().Add(tuning.PreemptionSearchBackoff)
	plan := sc.currentCycle().findPreemptions(job, len(job.Tasks), imageRequired)
	if len(plan.machines) == 0 || !preferableToFetch(job, plan, fetch) {
		return false
	}
	sc.executePreemptions(job, plan)
	return true
}

// fitsOnImageLocalMachines says whether all tasks of a job fit on free machines with its image.
func (c *cycle) fitsOnImageLocalMachines(job *cluster.Job) bool {
	tasks := 0
	for _, place := range c.candidates(job, "") {
		if place.imageLocal {
			tasks += place.tasks
		}
	}
	return tasks >= len(job.Tasks)
}

// preferableToFetch says whether a plan loses less work, and frees its machines sooner, than
// fetching the image would.
func preferableToFetch(job *cluster.Job, plan preemptionPlan, fetch float64) bool {
	for i := range plan.machines {
		for _, victim := range plan.machines[i].victims {
			if ShouldCheckpointOnPreemption(victim.Job.Spec) && victim.Job.Spec.SaveS > fetch*tuning.MaxImageLocalSaveShare {
				return false
			}
		}
	}
	return plan.cost <= fetch*tuning.MaxImageLocalLossFactor*max(1, job.Spec.GPUs)*float64(len(job.Tasks))
}
