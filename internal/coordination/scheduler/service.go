package scheduler

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// The replicas of a service run until their user cancels it. They take what free capacity
// there is, as the tasks of an array do, but no two of a service on one machine if there
// is a choice, and they leave GPUs the processors and memory that work on them needs.

// PlaceService finds each waiting replica the best place.
func (sc *Scheduler) PlaceService(job *cluster.Job) (waiting int) {
	quota := sc.state.TasksWithinLimit(job)
	var list []Candidate
	var limit map[protocol.ZoneName]int
	var only protocol.ZoneName
	for i := range job.Tasks {
		task := &job.Tasks[i]
		if task.LiveAttempts > 0 || sc.state.Now().Before(task.RetryAt) {
			continue
		}
		if waiting > 0 || quota == 0 {
			waiting++
			continue
		}
		if list == nil {
			limit, only = sc.state.ZoneLimits(job)
			list = sc.ReplicaCandidates(job, only)
		}
		list = slices.DeleteFunc(list, func(s Candidate) bool {
			return s.tasks == 0 || limit[s.machine.Zone] == 0 || only != "" && s.machine.Zone != only
		})
		if len(list) == 0 {
			waiting++
			continue
		}
		s := &list[0]
		for k := range list {
			if compareForReplica(list[k], *s) < 0 {
				s = &list[k]
			}
		}
		sc.Assign(job, i, task.LastAttempt+1, s.machine)
		quota--
		limit[s.machine.Zone]--
		if job.Spec.OneZone {
			only = s.machine.Zone
		}
		s.tasks, s.siblingReplicas, s.imageLocal = sc.state.FreeResources(s.machine).Fit(job.Spec, 1), s.siblingReplicas+1, true
		s.starvesGPUs = sc.starvesGPUs(job.Spec, s.machine)
	}
	return waiting
}

// ReplicaCandidates lists the machines that can take a replica. One whose report is late
// may be lost with its zone, and its loss is noticed later than that of a machine that
// has replicas.
func (sc *Scheduler) ReplicaCandidates(job *cluster.Job, zone protocol.ZoneName) []Candidate {
	list := slices.DeleteFunc(sc.candidates(job, zone), func(s Candidate) bool {
		return sc.state.Now().Sub(s.machine.Agent.LastHeartbeat) > sc.state.ReplicaSilenceTimeout()
	})
	for i := range list {
		s := &list[i]
		s.starvesGPUs = sc.starvesGPUs(job.Spec, s.machine)
		s.suspected = s.suspected || sc.lostMachineRecently(s.machine.Zone)
		for _, attempt := range s.machine.Attempts {
			if attempt.Job == job {
				s.siblingReplicas++
			}
		}
	}
	return list
}

// lostMachineRecently says whether a machine of a zone was given up as silent a moment
// ago: the rest of the zone may be lost too and only not missed yet.
func (sc *Scheduler) lostMachineRecently(zone protocol.ZoneName) bool {
	at, ok := sc.LostMachineAt[zone]
	return ok && sc.state.Now().Sub(at) < tuning.ZoneSuspicionTime
}

// compareForReplica orders sites for a replica: no machine under suspicion, none that has
// another replica of the service, none whose GPUs would lack processors or memory;
// then the image, the price, and the least room left.
func compareForReplica(a, b Candidate) int {
	return cmp.Or(cluster.TrueFirst(b.suspected, a.suspected), cmp.Compare(a.siblingReplicas, b.siblingReplicas), cluster.TrueFirst(b.starvesGPUs, a.starvesGPUs),
		cluster.TrueFirst(a.imageLocal, b.imageLocal), cmp.Compare(a.price, b.price), cmp.Compare(a.residualSlots, b.residualSlots), cmp.Compare(a.machine.ID, b.machine.ID))
}

// measureGPUNeeds finds what the work that takes GPUs needs beside each of them.
func (sc *Scheduler) measureGPUNeeds() {
	var need cluster.Resources
	for _, job := range sc.state.Jobs {
		if spec := job.Spec; spec.GPUs > 0 {
			need.CPUs = max(need.CPUs, spec.CPUs/spec.GPUs)
			need.MemoryGB = max(need.MemoryGB, spec.MemoryGB/spec.GPUs)
		}
	}
	if need.CPUs > 0 || need.MemoryGB > 0 {
		sc.gpuNeeds = need // else as it was: more such work may come
	}
}

// starvesGPUs says whether one more task without GPUs would leave a machine's GPUs
// without the processors or memory that work on them needs.
func (sc *Scheduler) starvesGPUs(spec *protocol.Job, machine *cluster.Machine) bool {
	machineType := sc.state.TypeOf(machine)
	if machineType == nil || machineType.GPUs == 0 || spec.GPUs > 0 {
		return false
	}
	rest := cluster.CapacityOf(machineType)
	rest.AddTasks(spec, -1)
	for _, attempt := range machine.Attempts {
		if attempt.Job.Spec.GPUs == 0 {
			rest.AddTasks(attempt.Job.Spec, -1)
		}
	}
	return rest.CPUs+cluster.AmountTolerance < sc.gpuNeeds.CPUs*machineType.GPUs || rest.MemoryGB+cluster.AmountTolerance < sc.gpuNeeds.MemoryGB*machineType.GPUs
}
