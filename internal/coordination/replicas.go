package coordination

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// The replicas of a service run until their user cancels it. They take what room
// there is, as the tasks of an array do, but no two of a service on one machine if
// there is a choice, and they leave GPUs the processors and memory that work on
// them needs.

// replicaEnded notes that a replica ended by itself. It starts again elsewhere at
// once; one that ends again and again does so ever more rarely. One that ran for a
// while is stable: neither it nor its machine is to blame.
func (l *leader) replicaEnded(c *cluster.Attempt) (stable bool) {
	t := &c.Job.Tasks[c.Key.Index]
	if !c.RunningSince.IsZero() && l.n.now.Sub(c.RunningSince) >= tuning.ReplicaStable {
		t.EarlyExits = 0
		return true
	}
	if t.EarlyExits > 0 {
		t.RetryAt = l.n.now.Add(tuning.ReplicaPause << min(t.EarlyExits-1, tuning.ReplicaDoublings))
	}
	t.EarlyExits++
	return false
}

// placeTasks gives waiting tasks of an array or a service the first free room; it
// returns how many still wait.
func (l *leader) placeTasks(j *cluster.Job, warm bool) (waiting int) {
	if j.Spec.Service() {
		return l.placeService(j)
	}
	return l.placeArray(j, warm)
}

// placeService finds each waiting replica the best place.
func (l *leader) placeService(j *cluster.Job) (waiting int) {
	quota := l.cluster.TasksWithinLimit(j)
	var list []site
	var limit map[protocol.ZoneName]int
	var only protocol.ZoneName
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.LiveAttempts > 0 || l.n.now.Before(t.RetryAt) {
			continue
		}
		if waiting > 0 || quota == 0 {
			waiting++
			continue
		}
		if list == nil {
			limit, only = l.cluster.ZoneLimits(j)
			list = l.replicaSites(j, only)
		}
		list = slices.DeleteFunc(list, func(s site) bool { return s.count == 0 || limit[s.m.Zone] == 0 || only != "" && s.m.Zone != only })
		if len(list) == 0 {
			waiting++
			continue
		}
		s := &list[0]
		for k := range list {
			if byReplica(list[k], *s) < 0 {
				s = &list[k]
			}
		}
		l.assign(j, i, t.LastAttempt+1, s.m)
		quota--
		limit[s.m.Zone]--
		if j.Spec.OneZone {
			only = s.m.Zone
		}
		s.count, s.siblingReplicas, s.cached = l.cluster.FreeResources(s.m).Fit(j.Spec, 1), s.siblingReplicas+1, true
		s.starvesGPUs = l.starvesGPUs(j.Spec, s.m)
	}
	return waiting
}

// replicaSites lists the machines that can take a replica. One whose report is late
// may be lost with its zone, and its loss is noticed later than that of a machine that
// has replicas.
func (l *leader) replicaSites(j *cluster.Job, zone protocol.ZoneName) []site {
	list := slices.DeleteFunc(l.sites(j, zone), func(s site) bool {
		return l.n.now.Sub(s.m.Agent.LastHeartbeat) > l.cluster.ReplicaSilenceTimeout()
	})
	for i := range list {
		s := &list[i]
		s.starvesGPUs = l.starvesGPUs(j.Spec, s.m)
		s.suspect = s.suspect || l.lostMachineLately(s.m.Zone)
		for _, c := range s.m.Attempts {
			if c.Job == j {
				s.siblingReplicas++
			}
		}
	}
	return list
}

// lostMachineLately says whether a machine of a zone was given up as silent a moment
// ago: the rest of the zone may be lost too and only not missed yet.
func (l *leader) lostMachineLately(zone protocol.ZoneName) bool {
	at, ok := l.fleet.LostMachineAt[zone]
	return ok && l.n.now.Sub(at) < tuning.ZoneDistrust
}

// byReplica orders sites for a replica: no machine under suspicion, none that has
// another replica of the service, none whose GPUs would lack processors or memory;
// then the image, the price, and the least room left.
func byReplica(a, b site) int {
	return cmp.Or(cluster.TrueFirst(b.suspect, a.suspect), cmp.Compare(a.siblingReplicas, b.siblingReplicas), cluster.TrueFirst(b.starvesGPUs, a.starvesGPUs),
		cluster.TrueFirst(a.cached, b.cached), cmp.Compare(a.price, b.price), cmp.Compare(a.residual, b.residual), cmp.Compare(a.m.ID, b.m.ID))
}

// measureGPUNeeds finds what the work that takes GPUs needs beside each of them.
func (l *leader) measureGPUNeeds() {
	var need cluster.Resources
	for _, j := range l.cluster.Jobs {
		if s := j.Spec; s.GPUs > 0 {
			need.CPUs = max(need.CPUs, s.CPUs/s.GPUs)
			need.MemoryGB = max(need.MemoryGB, s.MemoryGB/s.GPUs)
		}
	}
	if need.CPUs > 0 || need.MemoryGB > 0 {
		l.perGPU = need // else as it was: more such work may come
	}
}

// starvesGPUs says whether one more task without GPUs would leave a machine's GPUs
// without the processors or memory that work on them needs.
func (l *leader) starvesGPUs(s *protocol.Job, m *cluster.Machine) bool {
	t := l.cluster.TypeOf(m)
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
	return rest.CPUs+cluster.AmountTolerance < l.perGPU.CPUs*t.GPUs || rest.MemoryGB+cluster.AmountTolerance < l.perGPU.MemoryGB*t.GPUs
}

// moveReplicas moves replicas away from machines that are to go, or whose lease is
// about to lapse: two attempts must never run, so the old one ends first, when there
// is a place for its successor, on a machine that has its image if there is one.
// Of a service one moves at a time, unless the cloud takes the machine away.
func (l *leader) moveReplicas() {
	for _, m := range l.cluster.OrderedMachines {
		if !m.Cordoned && !l.cluster.NotReporting(m) || m.Deleting || !l.cluster.ConfirmedAlive(m) {
			continue
		}
		for _, c := range cluster.SortedAttemptsOn(m) {
			j := c.Job
			if !j.Spec.Service() || c.Stopping || !c.Committed || j.Cancelled || c.Orphaned || !m.SpotNotice && !j.FullyPlaced() {
				continue
			}
			if target := l.successor(c); target != nil {
				l.n.log.Info("replica moves", "job", j.ID, "task", c.Key.Index, "from", m.ID, "to", target.ID)
				target.ReserveFor(j, l.n.now.Add(tuning.HoldFor))
				l.stop(c, 0)
			}
		}
	}
}

// successor is the machine that a replica would best move to, nil if there is none.
func (l *leader) successor(c *cluster.Attempt) *cluster.Machine { return l.successorMachine(c, 1) }

// successorInOtherZone is the same in other zones alone.
func (l *leader) successorInOtherZone(c *cluster.Attempt) *cluster.Machine {
	return l.successorMachine(c, 0)
}

// successorMachine finds a machine for a replica whose own place is given up; here is how
// many of its zone's places it may take in turn.
func (l *leader) successorMachine(c *cluster.Attempt, here int) *cluster.Machine {
	j := c.Job
	limit, only := l.cluster.ZoneLimits(j)
	limit[c.Machine.Zone] = here * (limit[c.Machine.Zone] + 1)
	if j.Spec.OneZone && len(j.Attempts) == 1 {
		only = ""
		for z := range limit {
			limit[z] = 1
		}
	}
	var best *site
	list := l.replicaSites(j, only)
	for i := range list {
		if s := &list[i]; s.m != c.Machine && limit[s.m.Zone] > 0 && (best == nil || byReplica(*s, *best) < 0) {
			best = s
		}
	}
	if best == nil {
		return nil
	}
	return best.m
}

// isReplaceable says whether a machine behind a suspected cut is better given up for
// its replicas' sake: another zone is heard, so it is not this controller's own
// network, and most of them have places there that their limits allow. The others are
// back only with the cut's end, and then where a machine is rented for them.
func (l *leader) isReplaceable(m *cluster.Machine, heard map[protocol.ZoneName]bool) bool {
	if !slices.ContainsFunc(l.n.cfg.Cluster.Zones, func(z protocol.ZoneName) bool { return z != m.Zone && heard[z] }) {
		return false
	}
	gain := 0
	for _, c := range m.Attempts {
		switch {
		case !c.Job.Spec.Service() || c.Stopping:
		case l.hasPlaceInOtherZone(c):
			gain++
		default:
			gain--
		}
	}
	return gain > 0
}

// hasPlaceInOtherZone says whether a replica could start in another zone at once, on
// room that is free or that work of lower priority leaves.
func (l *leader) hasPlaceInOtherZone(c *cluster.Attempt) bool {
	if l.successorInOtherZone(c) != nil {
		return true
	}
	j := c.Job
	limit, _ := l.cluster.ZoneLimits(j)
	for _, m := range l.currentPass().open {
		if m.Zone == c.Machine.Zone || limit[m.Zone] == 0 || !l.cluster.Suits(j, m) || l.n.now.Sub(m.Agent.LastHeartbeat) > l.cluster.ReplicaSilenceTimeout() {
			continue
		}
		room := l.cluster.FreeResources(m)
		for _, o := range m.Attempts {
			if l.mayStop(o, j) && !o.Job.Spec.Gang() {
				room.AddTasks(o.Job.Spec, 1)
			}
		}
		if room.Fit(j.Spec, 1) > 0 {
			return true
		}
	}
	return false
}
