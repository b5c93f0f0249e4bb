package coordination

import (
	"cmp"
	"slices"
	"time"

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
func (l *leader) replicaEnded(c *taskAttempt) (stable bool) {
	t := &c.j.tasks[c.key.index]
	if !c.running.IsZero() && l.n.now.Sub(c.running) >= tuning.ReplicaStable {
		t.earlyEnds = 0
		return true
	}
	if t.earlyEnds > 0 {
		t.retryAt = l.n.now.Add(tuning.ReplicaPause << min(t.earlyEnds-1, tuning.ReplicaDoublings))
	}
	t.earlyEnds++
	return false
}

// placeTasks gives waiting tasks of an array or a service the first free room; it
// returns how many still wait.
func (l *leader) placeTasks(j *job, warm bool) (waiting int) {
	if j.spec.Service() {
		return l.placeService(j)
	}
	return l.placeArray(j, warm)
}

// placeService finds each waiting replica the best place.
func (l *leader) placeService(j *job) (waiting int) {
	quota := l.teamQuota(j)
	var list []site
	var limit map[protocol.ZoneName]int
	var only protocol.ZoneName
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.liveAttempts > 0 || l.n.now.Before(t.retryAt) {
			continue
		}
		if waiting > 0 || quota == 0 {
			waiting++
			continue
		}
		if list == nil {
			limit, only = l.zoneLimits(j)
			list = l.replicaSites(j, only)
		}
		list = slices.DeleteFunc(list, func(s site) bool { return s.count == 0 || limit[s.m.zone] == 0 || only != "" && s.m.zone != only })
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
		l.assign(j, i, t.lastAttempt+1, s.m)
		quota--
		limit[s.m.zone]--
		if j.spec.OneZone {
			only = s.m.zone
		}
		s.count, s.siblingReplicas, s.cached = l.freeResources(s.m).fit(j.spec, 1), s.siblingReplicas+1, true
		s.starvesGPUs = l.starvesGPUs(j.spec, s.m)
	}
	return waiting
}

// replicaSites lists the machines that can take a replica. One whose report is late
// may be lost with its zone, and its loss is noticed later than that of a machine that
// has replicas.
func (l *leader) replicaSites(j *job, zone protocol.ZoneName) []site {
	list := slices.DeleteFunc(l.sites(j, zone), func(s site) bool {
		return l.n.now.Sub(s.m.lastReport) > l.replicaSilence()
	})
	for i := range list {
		s := &list[i]
		s.starvesGPUs = l.starvesGPUs(j.spec, s.m)
		s.suspect = s.suspect || l.lostMachineLately(s.m.zone)
		for _, c := range s.m.attempts {
			if c.j == j {
				s.siblingReplicas++
			}
		}
	}
	return list
}

// lostMachineLately says whether a machine of a zone was given up as silent a moment
// ago: the rest of the zone may be lost too and only not missed yet.
func (l *leader) lostMachineLately(zone protocol.ZoneName) bool {
	at, ok := l.fleet.lostIn[zone]
	return ok && l.n.now.Sub(at) < tuning.ZoneDistrust
}

// byReplica orders sites for a replica: no machine under suspicion, none that has
// another replica of the service, none whose GPUs would lack processors or memory;
// then the image, the price, and the least room left.
func byReplica(a, b site) int {
	return cmp.Or(trueFirst(b.suspect, a.suspect), cmp.Compare(a.siblingReplicas, b.siblingReplicas), trueFirst(b.starvesGPUs, a.starvesGPUs),
		trueFirst(a.cached, b.cached), cmp.Compare(a.price, b.price), cmp.Compare(a.residual, b.residual), cmp.Compare(a.m.id, b.m.id))
}

// measureGPUNeeds finds what the work that takes GPUs needs beside each of them.
func (l *leader) measureGPUNeeds() {
	var need resources
	for _, j := range l.jobs {
		if s := j.spec; s.GPUs > 0 {
			need.cpus = max(need.cpus, s.CPUs/s.GPUs)
			need.memory = max(need.memory, s.MemoryGB/s.GPUs)
		}
	}
	if need.cpus > 0 || need.memory > 0 {
		l.perGPU = need // else as it was: more such work may come
	}
}

// starvesGPUs says whether one more task without GPUs would leave a machine's GPUs
// without the processors or memory that work on them needs.
func (l *leader) starvesGPUs(s *protocol.Job, m *machine) bool {
	t := l.kind(m)
	if t == nil || t.GPUs == 0 || s.GPUs > 0 {
		return false
	}
	rest := capacityOf(t)
	rest.addTasks(s, -1)
	for _, c := range m.attempts {
		if c.j.spec.GPUs == 0 {
			rest.addTasks(c.j.spec, -1)
		}
	}
	return rest.cpus+amountSlack < l.perGPU.cpus*t.GPUs || rest.memory+amountSlack < l.perGPU.memory*t.GPUs
}

// moveReplicas moves replicas away from machines that are to go, or whose lease is
// about to lapse: two attempts must never run, so the old one ends first, when there
// is a place for its successor, on a machine that has its image if there is one.
// Of a service one moves at a time, unless the cloud takes the machine away.
func (l *leader) moveReplicas() {
	for _, m := range l.roster {
		if !m.cordoned && !l.notReporting(m) || m.deleting || !l.isConfirmedAlive(m) {
			continue
		}
		for _, c := range sortedAttempts(m) {
			j := c.j
			if !j.spec.Service() || c.stop || !c.committed || j.cancelled || c.stray || !m.spotNotice && !j.isFullyPlaced() {
				continue
			}
			if target := l.successor(c); target != nil {
				l.n.log.Info("replica moves", "job", j.id, "task", c.key.index, "from", m.id, "to", target.id)
				target.keep(j, l.n.now.Add(tuning.HoldFor))
				l.stop(c, 0)
			}
		}
	}
}

// isFullyPlaced says whether every task of a job has a place and none is on its way out.
func (j *job) isFullyPlaced() bool {
	for i := range j.tasks {
		c := j.tasks[i].active
		if c == nil || c.stop {
			return false
		}
	}
	return true
}

// successor is the machine that a replica would best move to, nil if there is none.
func (l *leader) successor(c *taskAttempt) *machine { return l.successorMachine(c, 1) }

// successorInOtherZone is the same in other zones alone.
func (l *leader) successorInOtherZone(c *taskAttempt) *machine { return l.successorMachine(c, 0) }

// successorMachine finds a machine for a replica whose own place is given up; here is how
// many of its zone's places it may take in turn.
func (l *leader) successorMachine(c *taskAttempt, here int) *machine {
	j := c.j
	limit, only := l.zoneLimits(j)
	limit[c.m.zone] = here * (limit[c.m.zone] + 1)
	if j.spec.OneZone && len(j.attempts) == 1 {
		only = ""
		for z := range limit {
			limit[z] = 1
		}
	}
	var best *site
	list := l.replicaSites(j, only)
	for i := range list {
		if s := &list[i]; s.m != c.m && limit[s.m.zone] > 0 && (best == nil || byReplica(*s, *best) < 0) {
			best = s
		}
	}
	if best == nil {
		return nil
	}
	return best.m
}

// hasReplicas says whether a machine has replicas of services.
func (l *leader) hasReplicas(m *machine) bool {
	for _, c := range m.attempts {
		if c.j.spec.Service() && !c.stop {
			return true
		}
	}
	return false
}

// replicaSilence is how long such a machine may be silent before it is probed.
func (l *leader) replicaSilence() time.Duration {
	return min(seconds(l.n.cfg.Cluster.Workers.ReportS*tuning.ReplicaReports), l.silence())
}

// isReplaceable says whether a machine behind a suspected cut is better given up for
// its replicas' sake: another zone is heard, so it is not this controller's own
// network, and most of them have places there that their limits allow. The others are
// back only with the cut's end, and then where a machine is rented for them.
func (l *leader) isReplaceable(m *machine, heard map[protocol.ZoneName]bool) bool {
	if !slices.ContainsFunc(l.n.cfg.Cluster.Zones, func(z protocol.ZoneName) bool { return z != m.zone && heard[z] }) {
		return false
	}
	gain := 0
	for _, c := range m.attempts {
		switch {
		case !c.j.spec.Service() || c.stop:
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
func (l *leader) hasPlaceInOtherZone(c *taskAttempt) bool {
	if l.successorInOtherZone(c) != nil {
		return true
	}
	j := c.j
	limit, _ := l.zoneLimits(j)
	for _, m := range l.currentPass().open {
		if m.zone == c.m.zone || limit[m.zone] == 0 || !l.suits(j, m) || l.n.now.Sub(m.lastReport) > l.replicaSilence() {
			continue
		}
		room := l.freeResources(m)
		for _, o := range m.attempts {
			if l.mayStop(o, j) && !o.j.spec.Gang() {
				room.addTasks(o.j.spec, 1)
			}
		}
		if room.fit(j.spec, 1) > 0 {
			return true
		}
	}
	return false
}
