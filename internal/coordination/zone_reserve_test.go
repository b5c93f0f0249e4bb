package coordination

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/autoscaler"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// serviceOf is a service of some replicas, each of which takes processors alone.
func serviceOf(replicas int, cpus float64) protocol.Job {
	return protocol.Job{Class: "s", Team: "free", Shape: protocol.ShapeService, Priority: "critical", Tasks: replicas,
		CPUs: cpus, MemoryGB: 4, Image: "img", ImageGB: 1}
}

// TestZoneReserve: what the replicas of a zone need elsewhere is rented only as far as
// their limits allow them there and neither free room, nor room that work of lower
// priority leaves at once, nor an idle machine is there; the idle machine is kept.
func TestZoneReserve(t *testing.T) {
	for _, c := range []struct {
		name   string
		job    func(spec *protocol.Job)
		other  func(l *leader, machine *cluster.Machine) // what the machine in the other zone carries
		idle   bool                                      // there is such a machine at all
		off    bool
		rented int
		kept   bool
	}{
		{name: "nothing elsewhere", rented: 1},
		{name: "an idle machine", idle: true, kept: true},
		{name: "bound to its zone", job: func(spec *protocol.Job) { spec.Zone = "a" }},
		{name: "spread over the zones, half may go there", job: func(spec *protocol.Job) { spec.Spread = true }, rented: 1},
		{name: "a machine full of work that yields", idle: true, other: func(l *leader, machine *cluster.Machine) { l.fillWith(machine, "idle", protocol.ShapeArray) }},
		{name: "a machine full of work of the same priority", idle: true, other: func(l *leader, machine *cluster.Machine) { l.fillWith(machine, "critical", protocol.ShapeArray) }, rented: 1},
		{name: "a machine full of a gang", idle: true, other: func(l *leader, machine *cluster.Machine) { l.fillWith(machine, "idle", protocol.ShapeGang) }, rented: 1},
		{name: "turned off", off: true},
	} {
		l := testLeader(time.Unix(1_800_000_000, 0))
		l.n.cfg.Operator.ZoneReserve = !c.off
		l.n.cfg.Cluster.Zones = []protocol.ZoneName{"a", "b"}
		machine := l.testMachine("i-1", "big", "a", false)
		s := serviceOf(4, 4)
		if c.job != nil {
			c.job(&s)
		}
		j := l.testJob(s)
		for i := range j.Tasks {
			l.scheduler.Assign(j, i, 1, machine)
		}
		var other *cluster.Machine
		if c.idle {
			other = l.testMachine("i-2", "big", "b", false)
			if c.other != nil {
				c.other(l, other)
			}
		}
		want := map[autoscaler.Offer]int{}
		l.autoscaler.PlanReserve(want)
		rented := 0
		for o, n := range want {
			rented += n
			if o.Zone != "b" {
				t.Errorf("%s: rented in %s", c.name, o.Zone)
			}
		}
		if rented != c.rented || other != nil && l.autoscaler.KeptForZoneLoss(other) != c.kept {
			t.Errorf("%s: %d rented, kept %v", c.name, rented, l.autoscaler.KeptForZoneLoss(other))
		}
		if c.kept {
			l.n.now = l.n.now.Add(l.n.cfg.Operator.MachineIdleTimeout + time.Second)
			other.Agent.LastHeartbeat = l.n.now
			l.autoscaler.EvaluateScaleIn(other, map[protocol.ZoneName]int{})
			if other.Deleting {
				t.Errorf("%s: the machine is returned", c.name)
			}
		}
	}
}

// fillWith puts tasks that take all of a machine's processors onto it.
func (l *leader) fillWith(machine *cluster.Machine, priority string, shape protocol.Shape) {
	job := l.testJob(protocol.Job{Class: "c", Team: "free", Shape: shape, Priority: priority, Tasks: 8, CPUs: 4, MemoryGB: 4, Image: "other", ImageGB: 1})
	for i := range job.Tasks {
		l.scheduler.Assign(job, i, 1, machine)
	}
}

// TestReplicasLeaveLostZone: a replica is not placed on a machine whose report is late,
// nor, if there is another place, in a zone that a machine was just lost in: the rest of
// the zone may be lost too and only not missed yet.
func TestReplicasLeaveLostZone(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	late, same, far := l.testMachine("i-1", "big", "a", false), l.testMachine("i-2", "big", "a", false), l.testMachine("i-3", "big", "b", false)
	l.n.now = l.n.now.Add(l.cluster.ReplicaSilenceTimeout() + time.Second)
	same.Agent.LastHeartbeat, far.Agent.LastHeartbeat = l.n.now, l.n.now
	same.Agent.AnsweredAt, far.Agent.AnsweredAt, late.Agent.AnsweredAt = l.n.now, l.n.now, l.n.now
	job := l.testJob(serviceOf(1, 4))
	if list := l.scheduler.ReplicaCandidates(job, ""); len(list) != 2 {
		t.Errorf("%d sites", len(list))
	}
	l.deleteSilent(late, "silent")
	if l.scheduler.PlaceService(job) != 0 || job.Tasks[0].Active.Machine != far {
		t.Errorf("placed on %v", job.Tasks[0].Active)
	}
	l.lifecycle.RemoveGone(job.Tasks[0].Active)
	far.Cordoned = true
	if l.scheduler.PlaceService(job) != 0 || job.Tasks[0].Active.Machine != same {
		t.Error("no place though there is one")
	}
}
