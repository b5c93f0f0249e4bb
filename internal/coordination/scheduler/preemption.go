package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// ShouldCheckpointOnPreemption says whether a task that is preempted should save first. Saving takes
// its machine's time and the waiting job's; without it half of the interval
// between two checkpoints is lost, about.
func ShouldCheckpointOnPreemption(spec *protocol.Job) bool {
	return spec.CheckpointS > 0 && (spec.Gang() || spec.CheckpointS/2 > tuning.MinCheckpointBenefit*spec.SaveS)
}

// mayPreempt says whether an attempt may be stopped to free capacity for the job.
func mayPreempt(attempt *cluster.Attempt, job *cluster.Job, quotas map[protocol.TeamName]*cluster.Quota) bool {
	if attempt.Stopping || attempt.Job == job || attempt.Job.Finished || attempt.Job.Complete() {
		return false
	}
	return attempt.Job.Priority < job.Priority || mayReclaim(job, attempt.Job, quotas[attempt.Job.Spec.Team])
}

// mayReclaim says whether a job may take back its team's guaranteed quota from another
// team's job. What fits into its own team's guarantee is never preempted for
// another's, and what has a higher priority never for a lower one, though it might: the
// queue would give the machines back, and so in turn for ever.
func mayReclaim(job, victim *cluster.Job, victimQuota *cluster.Quota) bool {
	if !job.Queue.MayReclaim || victim.Spec.Team == job.Spec.Team {
		return false
	}
	return victimQuota != nil && victimQuota.ExceedsGuarantee() && !victim.Queue.WithinGuarantee && victim.Priority <= job.Priority
}

// machinePreemption is what must stop on one machine so that some tasks fit there.
type machinePreemption struct {
	machine  *cluster.Machine
	tasks    int
	victims  []*cluster.Attempt
	priority protocol.Priority // the highest of the victims'
	cost     float64           // in GPU seconds, about
}

// preemptFor stops work that may be preempted for a waiting job, where that frees enough
// capacity for it, and reserves the capacity for it. A search that found nothing is not
// repeated at once: it examines every machine.
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

// preemptionInProgress says whether capacity is being freed for a job already.
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

// executePreemptions carries a plan out: the victims stop and their machines are reserved.
func (sc *Scheduler) executePreemptions(job *cluster.Job, plan preemptionPlan) {
	for i := range plan.machines {
		p := &plan.machines[i]
		p.machine.ReserveFor(job, sc.state.Now().Add(tuning.ReservationTimeout))
		for _, attempt := range p.victims {
			sc.env.Preempt(attempt)
		}
	}
}

// preemptionPlan is what must stop, and where, so that tasks of a job fit.
type preemptionPlan struct {
	machines []machinePreemption // empty if nothing can be done
	cost     float64
}

// preemptionSearch searches for victims so that some tasks of a job fit.
type preemptionSearch struct {
	state *cluster.State
	cycle *cycle
	job   *cluster.Job
	tasks int
	image imageRequirement
	zones cluster.ZoneLimits
}

// findPreemptions finds what to stop, and where, so that so many tasks of a job fit; for a
// gang all of them or nothing.
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

// machineOptions lists the machines on which some of the tasks could fit; zone "" stands for all.
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

// choosePlan takes the cheapest of the machines until all tasks have a place. Without enough of
// them a gang has no plan, others have one for some of their tasks.
func (s *preemptionSearch) choosePlan(list []machinePreemption) preemptionPlan {
	slices.SortStableFunc(list, comparePreemptions)
	var plan preemptionPlan
	need := s.tasks
	perZone := map[protocol.ZoneName]int{}
	for i := range list {
		machine := list[i].machine
		tasks := min(list[i].tasks, need, s.zones.Remaining[machine.Zone]-perZone[machine.Zone])
		if tasks <= 0 {
			continue
		}
		p := s.selectVictims(machine, tasks)
		perZone[machine.Zone] += tasks
		need -= p.tasks
		plan.cost += p.cost
		plan.machines = append(plan.machines, p)
	}
	if need > 0 && s.job.Spec.Gang() {
		return preemptionPlan{}
	}
	return plan
}

// comparePreemptions orders machines by what stops there, the least loss first.
func comparePreemptions(a, b machinePreemption) int {
	return cmp.Or(
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.cost/float64(a.tasks), b.cost/float64(b.tasks)),
		cmp.Compare(b.tasks, a.tasks))
}

// selectVictims works out what to stop on a machine so that up to so many tasks fit.
func (s *preemptionSearch) selectVictims(machine *cluster.Machine, tasks int) machinePreemption {
	job := s.job
	free := s.state.FreeResources(machine)
	if free.Fit(job.Spec, 1) == 0 && !s.hasPreemptible(machine) {
		return machinePreemption{machine: machine} // most machines: nothing is sorted for them
	}
	var preemptible []*cluster.Attempt
	for _, attempt := range cluster.SortedAttemptsOn(machine) {
		if attempt.Stopping {
			free.AddTasks(attempt.Job.Spec, 1) // about to be free
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

// hasPreemptible says whether anything on a machine may be stopped for the job or is
// stopping.
func (s *preemptionSearch) hasPreemptible(machine *cluster.Machine) bool {
	for _, attempt := range machine.Attempts {
		if attempt.Stopping || mayPreempt(attempt, s.job, s.state.Quotas) {
			return true
		}
	}
	return false
}

// sortByLoss sorts attempts that may be stopped: the lowest priority first, then what loses
// least.
func (s *preemptionSearch) sortByLoss(attempts []*cluster.Attempt) {
	now := s.state.Now()
	slices.SortStableFunc(attempts, func(a, b *cluster.Attempt) int {
		return cmp.Or(cmp.Compare(a.Job.Priority, b.Job.Priority), cmp.Compare(workLost(a, now), workLost(b, now)))
	})
}

// addVictims takes victims until so many tasks fit.
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

// removeUnneededVictims lets those victims go on that are not needed after all.
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

// fetchCost is what tasks lose on a machine while their image is fetched, in GPU seconds.
func fetchCost(spec *protocol.Job, machine *cluster.Machine, machineType *protocol.MachineType, tasks int) float64 {
	if machineType == nil || machineType.FetchGBPerS <= 0 || machine.HasImage(spec.Image) {
		return 0
	}
	return float64(tasks) * max(1, spec.GPUs) * spec.ImageGB / machineType.FetchGBPerS
}

// workLost is about how much work is lost when an attempt is stopped, in GPU seconds.
// With one task of a gang all stop, save, and gather again.
func workLost(attempt *cluster.Attempt, now time.Time) float64 {
	spec := attempt.Job.Spec
	gpus := max(1, spec.GPUs)
	switch {
	case spec.Gang() && spec.CheckpointS > 0:
		return (spec.SaveS + tuning.GangRestartSeconds) * gpus * float64(spec.Tasks)
	case attempt.RunningSince.IsZero():
		return 0
	case spec.Gang():
		return now.Sub(attempt.RunningSince).Seconds() * gpus * float64(spec.Tasks)
	case spec.CheckpointS > 0:
		return min(spec.SaveS, spec.CheckpointS/2) * gpus
	}
	return now.Sub(attempt.RunningSince).Seconds() * gpus
}
