package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// ShouldCheckpointOnPreemption reports whether a preempted task should save a checkpoint before it
// stops. Saving costs time on the machine and delays the waiting job. Without it, the work of
// about half a checkpoint interval is lost. Tasks of a gang that makes checkpoints always save,
// others only if that work is worth the time.
func ShouldCheckpointOnPreemption(spec *protocol.Job) bool {
	return spec.CheckpointIntervalS > 0 && (spec.Gang() || spec.CheckpointIntervalS/2 > tuning.MinCheckpointBenefit*spec.CheckpointSaveS)
}

// mayPreempt reports whether an attempt may be stopped to free capacity for the job.
func mayPreempt(attempt *cluster.Attempt, job *cluster.Job, quotas map[protocol.TeamName]*cluster.Quota) bool {
	if attempt.Stopping || attempt.Job == job || attempt.Job.Finished || attempt.Job.Complete() {
		return false
	}
	return attempt.Job.Priority < job.Priority || mayReclaim(job, attempt.Job, quotas[attempt.Job.Spec.Team])
}

// mayReclaim reports whether a job may preempt another team's job to get its own team's
// guaranteed quota. A job that is within its own team's guarantee is never preempted for
// another team. Nor is a job of higher priority preempted for one of lower priority, although
// the guarantee would justify it: the queue would give the machines back to the higher
// priority, and the two jobs would preempt each other endlessly.
func mayReclaim(job, victim *cluster.Job, victimQuota *cluster.Quota) bool {
	if !job.Queue.MayReclaim || victim.Spec.Team == job.Spec.Team {
		return false
	}
	return victimQuota != nil && victimQuota.ExceedsGuarantee() && !victim.Queue.WithinGuarantee && victim.Priority <= job.Priority
}

// machinePreemption lists the attempts to stop on one machine so that some tasks fit there.
type machinePreemption struct {
	machine  *cluster.Machine
	tasks    int // how many tasks then fit
	victims  []*cluster.Attempt
	priority protocol.Priority // the highest priority of the victims
	cost     float64           // approximate, in GPU seconds
}

// preemptFor preempts work for a waiting job where that frees enough capacity for it, and reserves
// that capacity. A search that found nothing is repeated only after a pause, because it examines
// every machine.
func (sc *Scheduler) preemptFor(job *cluster.Job, tasks int) {
	if preemptionInProgress(job) || sc.state.Now().Before(job.Queue.PreemptionSearchNotBefore) || sc.currentCycle().examineLimitReached() ||
		sc.awaitsUnreportedCapacity(job, tasks) || sc.currentCycle().preemptionImpossible(job, tasks) {
		return
	}
	plan := sc.currentCycle().findPreemptions(job, tasks, imageOptional)
	if len(plan.machines) == 0 {
		job.Queue.PreemptionSearchNotBefore = sc.state.Now().Add(tuning.PreemptionSearchBackoff)
	}
	sc.executePreemptions(job, plan)
}

// preemptionInProgress reports whether attempts are stopping on machines reserved for a job.
func preemptionInProgress(job *cluster.Job) bool {
	for _, machine := range job.Reserved {
		for _, attempt := range machine.Attempts {
			if attempt.Stopping {
				return true
			}
		}
	}
	return false
}

// executePreemptions reserves the machines of a plan for a job and preempts the victims on them.
func (sc *Scheduler) executePreemptions(job *cluster.Job, plan preemptionPlan) {
	for i := range plan.machines {
		p := &plan.machines[i]
		p.machine.ReserveFor(job, sc.state.Now().Add(tuning.ReservationTimeout))
		for _, attempt := range p.victims {
			sc.env.Preempt(attempt)
		}
	}
}

// preemptionPlan lists what to preempt on which machines so that tasks of a job fit.
type preemptionPlan struct {
	machines []machinePreemption // empty if no plan was found
	cost     float64
}

// preemptionSearch searches for victims whose preemption makes room for tasks of a job.
type preemptionSearch struct {
	state *cluster.State
	cycle *cycle
	job   *cluster.Job
	tasks int
	image imageRequirement
	zones cluster.ZoneLimits
}

// findPreemptions returns a plan to make room for the given number of tasks of a job. For a gang
// the plan makes room for all of these tasks or is empty.
func (c *cycle) findPreemptions(job *cluster.Job, tasks int, image imageRequirement) preemptionPlan {
	search := preemptionSearch{
		state: c.state, cycle: c,
		job: job, tasks: tasks, image: image, zones: c.state.ZoneLimits(job),
	}
	if !job.Spec.OneZone {
		return search.choosePlan(search.machineOptions(""))
	}
	var best preemptionPlan
	for _, zone := range c.state.Config.Cluster.Zones {
		plan := search.choosePlan(search.machineOptions(zone))
		if plan.machines != nil && (best.machines == nil || plan.cost < best.cost) {
			best = plan
		}
	}
	return best
}

// machineOptions returns the machines on which some of the tasks would fit after preemption. Zone
// "" stands for all zones.
func (s *preemptionSearch) machineOptions(zone protocol.ZoneName) (list []machinePreemption) {
	s.cycle.machinesExamined += len(s.cycle.schedulable)
	for _, machine := range s.cycle.schedulable {
		if zone != "" && machine.Zone != zone || s.zones.Only != "" && machine.Zone != s.zones.Only || !s.state.MeetsConstraints(s.job, machine) {
			continue
		}
		if s.image == imageRequired && !machine.HasImage(s.job.Spec.Image) {
			continue
		}
		if p := s.selectVictims(machine, s.tasks); p.tasks > 0 {
			list = append(list, p)
		}
	}
	return list
}

// choosePlan takes the cheapest machines until all tasks fit. If too few machines are available,
// it returns an empty plan for a gang, and a plan for some of the tasks for other jobs.
func (s *preemptionSearch) choosePlan(list []machinePreemption) preemptionPlan {
	slices.SortStableFunc(list, comparePreemptions)
	var plan preemptionPlan
	remaining := s.tasks
	perZone := map[protocol.ZoneName]int{}
	for i := range list {
		machine := list[i].machine
		tasks := min(list[i].tasks, remaining, s.zones.Remaining[machine.Zone]-perZone[machine.Zone])
		if tasks <= 0 {
			continue
		}
		p := s.selectVictims(machine, tasks)
		perZone[machine.Zone] += tasks
		remaining -= p.tasks
		plan.cost += p.cost
		plan.machines = append(plan.machines, p)
	}
	if remaining > 0 && s.job.Spec.Gang() {
		return preemptionPlan{}
	}
	return plan
}

// comparePreemptions orders machines by the loss from preemption there, the least loss first.
func comparePreemptions(a, b machinePreemption) int {
	return cmp.Or(
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.cost/float64(a.tasks), b.cost/float64(b.tasks)),
		cmp.Compare(b.tasks, a.tasks))
}

// selectVictims selects the attempts to stop on a machine so that up to the given number of tasks
// fit.
func (s *preemptionSearch) selectVictims(machine *cluster.Machine, tasks int) machinePreemption {
	job := s.job
	free := s.state.FreeResources(machine)
	if free.Fit(job.Spec, 1) == 0 && !s.hasPreemptible(machine) {
		return machinePreemption{machine: machine} // true of most machines: returning here avoids the sort
	}
	var preemptible []*cluster.Attempt
	for _, attempt := range cluster.SortedAttemptsOn(machine) {
		if attempt.Stopping {
			free.AddTasks(attempt.Job.Spec, 1) // will soon be free
		} else if mayPreempt(attempt, s.job, s.state.Quotas) {
			preemptible = append(preemptible, attempt)
		}
	}
	s.sortByLoss(preemptible)
	p := machinePreemption{machine: machine, tasks: free.Fit(job.Spec, tasks)}
	p.addVictims(job.Spec, tasks, preemptible, &free)
	p.removeUnneededVictims(job.Spec, tasks, &free)
	for _, victim := range p.victims {
		p.cost += 1 + workLost(victim, s.state.Now())
		p.priority = max(p.priority, victim.Job.Priority)
	}
	p.cost += fetchCost(job.Spec, machine, s.state.TypeOf(machine), p.tasks)
	return p
}

// hasPreemptible reports whether a machine has an attempt that is already stopping or may be
// stopped for the job.
func (s *preemptionSearch) hasPreemptible(machine *cluster.Machine) bool {
	for _, attempt := range machine.Attempts {
		if attempt.Stopping || mayPreempt(attempt, s.job, s.state.Quotas) {
			return true
		}
	}
	return false
}

// sortByLoss sorts attempts by priority, the lowest first, then by the work lost, the least
// first.
func (s *preemptionSearch) sortByLoss(attempts []*cluster.Attempt) {
	now := s.state.Now()
	slices.SortStableFunc(attempts, func(a, b *cluster.Attempt) int {
		return cmp.Or(cmp.Compare(a.Job.Priority, b.Job.Priority), cmp.Compare(workLost(a, now), workLost(b, now)))
	})
}

// addVictims adds victims until the given number of tasks fits.
func (p *machinePreemption) addVictims(spec *protocol.Job, tasks int, preemptible []*cluster.Attempt, free *cluster.Resources) {
	for _, attempt := range preemptible {
		if p.tasks >= tasks {
			return
		}
		free.AddTasks(attempt.Job.Spec, 1)
		p.victims = append(p.victims, attempt)
		p.tasks = free.Fit(spec, tasks)
	}
}

// removeUnneededVictims removes victims whose capacity is not needed for the tasks to fit.
func (p *machinePreemption) removeUnneededVictims(spec *protocol.Job, tasks int, free *cluster.Resources) {
	for i := len(p.victims) - 1; i >= 0; i-- {
		victim := p.victims[i]
		free.AddTasks(victim.Job.Spec, -1)
		if free.Fit(spec, tasks) < p.tasks {
			free.AddTasks(victim.Job.Spec, 1)
			continue
		}
		p.victims = slices.Delete(p.victims, i, i+1)
	}
}

// fetchCost returns the GPU seconds that tasks lose while their image is fetched on a machine.
func fetchCost(spec *protocol.Job, machine *cluster.Machine, machineType *protocol.MachineType, tasks int) float64 {
	if machineType == nil || machineType.FetchGBPerS <= 0 || machine.HasImage(spec.Image) {
		return 0
	}
	return float64(tasks) * max(1, spec.GPUs) * spec.ImageGB / machineType.FetchGBPerS
}

// workLost returns the approximate work, in GPU seconds, that is lost when an attempt is stopped.
// Stopping one task of a gang stops all of them. They save first if the job makes checkpoints,
// and have to restart together.
func workLost(attempt *cluster.Attempt, now time.Time) float64 {
	spec := attempt.Job.Spec
	gpus := max(1, spec.GPUs)
	switch {
	case spec.Gang() && spec.CheckpointIntervalS > 0:
		return (spec.CheckpointSaveS + tuning.GangRestartSeconds) * gpus * float64(spec.Tasks)
	case attempt.RunningSince.IsZero():
		return 0
	case spec.Gang():
		return now.Sub(attempt.RunningSince).Seconds() * gpus * float64(spec.Tasks)
	case spec.CheckpointIntervalS > 0:
		return min(spec.CheckpointSaveS, spec.CheckpointIntervalS/2) * gpus
	}
	return now.Sub(attempt.RunningSince).Seconds() * gpus
}
