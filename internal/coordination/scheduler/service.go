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
func (sc *Scheduler) PlaceService(j *cluster.Job) (waiting int) {
	quota := sc.state.TasksWithinLimit(j)
	var list []Candidate
	var limit map[protocol.ZoneName]int
	var only protocol.ZoneName
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.LiveAttempts > 0 || sc.state.Now().Before(t.RetryAt) {
			continue
		}
		if waiting > 0 || quota == 0 {
			waiting++
			continue
		}
		if list == nil {
			limit, only = sc.state.ZoneLimits(j)
			list = sc.ReplicaCandidates(j, only)
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
		sc.Assign(j, i, t.LastAttempt+1, s.machine)
		quota--
		limit[s.machine.Zone]--
		if j.Spec.OneZone {
			only = s.machine.Zone
		}
		s.tasks, s.siblingReplicas, s.imageLocal = sc.state.FreeResources(s.machine).Fit(j.Spec, 1), s.siblingReplicas+1, true
		s.starvesGPUs = sc.starvesGPUs(j.Spec, s.machine)
	}
	return waiting
}

// ReplicaCandidates lists the machines that can take a replica. One whose report is late
// may be lost with its zone, and its loss is noticed later than that of a machine that
// has replicas.
func (sc *Scheduler) ReplicaCandidates(j *cluster.Job, zone protocol.ZoneName) []Candidate {
	list := slices.DeleteFunc(sc.candidates(j, zone), func(s Candidate) bool {
		return sc.state.Now().Sub(s.machine.Agent.LastHeartbeat) > sc.state.ReplicaSilenceTimeout()
	})
	for i := range list {
		s := &list[i]
		s.starvesGPUs = sc.starvesGPUs(j.Spec, s.machine)
		s.suspected = s.suspected || sc.lostMachineRecently(s.machine.Zone)
		for _, c := range s.machine.Attempts {
			if c.Job == j {
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
	return ok && sc.state.Now().Sub(at) < tuning.ZoneDistrust
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
	for _, j := range sc.state.Jobs {
		if s := j.Spec; s.GPUs > 0 {
			need.CPUs = max(need.CPUs, s.CPUs/s.GPUs)
			need.MemoryGB = max(need.MemoryGB, s.MemoryGB/s.GPUs)
		}
	}
	if need.CPUs > 0 || need.MemoryGB > 0 {
		sc.gpuNeeds = need // else as it was: more such work may come
	}
}

// starvesGPUs says whether one more task without GPUs would leave a machine's GPUs
// without the processors or memory that work on them needs.
func (sc *Scheduler) starvesGPUs(s *protocol.Job, m *cluster.Machine) bool {
	t := sc.state.TypeOf(m)
	if t == nil || t.GPUs == 0 || s.GPUs > 0 {
		return false
	}
	rest := cluster.CapacityOf(t)
	rest.AddTasks(s, -1)
	for _, c := range m.Attempts {
		if c.Job.Spec.GPUs == 0 {
			rest.AddTasks(c.Job.Spec, -1)
		}
	}
	return rest.CPUs+cluster.AmountTolerance < sc.gpuNeeds.CPUs*t.GPUs || rest.MemoryGB+cluster.AmountTolerance < sc.gpuNeeds.MemoryGB*t.GPUs
}
