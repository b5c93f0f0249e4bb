package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// TestNotReceiving: a worker whose reports go on coming, but never show what the
// answers told it, takes no new work; one that does not answer calls either is
// returned, which proves its tasks gone. One that answers a call is kept.
func TestNotReceiving(t *testing.T) {
	for _, answers := range []bool{false, true} {
		l := testLeader(time.Unix(1_800_000_000, 0))
		machine := l.testMachine("i-1", "big", "a", false)
		job := l.testJob(gangOf(1, 1))
		l.runSchedulingCycle()
		clear(job.Write.Dirty)
		job.SortedAttempts()[0].Committed = true
		for range tuning.MaxIneffectiveResponses + 1 {
			l.testReport(machine, l.n.election.Term())
		}
		if l.cluster.Schedulable(machine) {
			t.Fatal("takes new work")
		}
		for range 100 {
			l.n.now = l.n.now.Add(tuning.MachineSweepInterval)
			l.n.keepAuthority()
			machine.Agent.LastHeartbeat, machine.Agent.AnsweredAt = l.n.now, l.n.now
			l.n.out = nil
			l.agents.Liveness.Tick()
			for _, a := range l.n.out {
				r, ok := a.(Request)
				if !ok || r.To != ToAgent {
					continue
				}
				if answers {
					l.n.handle(Response{ID: r.ID, Status: 200, Body: storage.Encode(protocol.Heartbeat{Machine: machine.ID, Address: "h:1", Type: machine.TypeName,
						Zone: machine.Zone, Incarnation: 1, Sequence: machine.Agent.Sequence + 1, FencingToken: l.n.election.Term()})})
				} else {
					l.n.handle(Response{ID: r.ID})
				}
			}
		}
		if machine.Deleting == answers || l.cluster.Schedulable(machine) != answers {
			t.Errorf("answers calls %v: returned %v, takes work %v", answers, machine.Deleting, l.cluster.Schedulable(machine))
		}
		if l.MachinesDeleted(machine.ID); len(job.Attempts) != 0 {
			t.Errorf("%d copies are left once it is gone", len(job.Attempts))
		}
	}
}

// TestLeaseRanOutThoughAnswered: a newer session of a worker that was answered
// all the time shows that the answers do not reach it.
func TestLeaseRanOutThoughAnswered(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	machine := l.testMachine("i-1", "big", "a", false)
	for range 6 {
		l.n.now = l.n.now.Add(4 * time.Second)
		l.testReport(machine, l.n.election.Term())
	}
	if !l.cluster.Schedulable(machine) {
		t.Fatal("takes no work")
	}
	l.n.now = l.n.now.Add(4 * time.Second)
	l.agents.Heartbeats.Accept(&protocol.Heartbeat{Machine: machine.ID, Address: "h:1", Type: machine.TypeName, Zone: machine.Zone, Incarnation: 2, Sequence: 1, FencingToken: l.n.election.Term()})
	if l.cluster.Schedulable(machine) {
		t.Error("takes new work")
	}
}

// TestSilentZone: when a whole zone falls silent its machines are not returned
// at once, though they are only a third of all: they are back when the cut ends.
// Two that die in a zone that goes on reporting are.
func TestSilentZone(t *testing.T) {
	for _, c := range []struct{ silent, returned int }{{2, 2}, {8, 0}} {
		start := time.Unix(1_800_000_000, 0)
		l := testLeader(start)
		for i := range 24 {
			l.testMachine(protocol.MachineID(fmt.Sprintf("i-%02d", i)), "big", []protocol.ZoneName{"a", "b", "c"}[i/8], false)
		}
		lease := config.Seconds(l.n.cfg.Cluster.Workers.LeaseS)
		returned := func(till time.Duration) (n int) {
			for ; l.n.now.Sub(start) < till; l.n.now = l.n.now.Add(tuning.MachineSweepInterval) {
				l.n.out = nil
				l.n.keepAuthority()
				for i, machine := range l.cluster.OrderedMachines {
					if i >= c.silent {
						machine.Agent.LastHeartbeat, machine.Agent.AnsweredAt = l.n.now, l.n.now
					}
				}
				l.agents.Liveness.Tick()
				for _, a := range l.n.out {
					if r, ok := a.(Request); ok && r.To == ToAgent {
						l.n.handle(Response{ID: r.ID})
					}
				}
			}
			for _, machine := range l.cluster.OrderedMachines {
				if machine.Deleting {
					n++
				}
			}
			return n
		}
		if n := returned(lease); n != c.returned {
			t.Errorf("%d silent: %d returned within the lease", c.silent, n)
		}
		if n := returned(3*lease + config.Seconds(bigType.BootS)); n != c.silent {
			t.Errorf("%d silent: %d returned in the end", c.silent, n)
		}
	}
}

// TestNotReporting: a worker that answers calls while no report of it comes loses
// its tasks with its lease, so it gets none; it is asked for none of its room.
func TestNotReporting(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	machine := l.testMachine("i-1", "big", "a", false)
	lease := config.Seconds(l.n.cfg.Cluster.Workers.LeaseS)
	for range int(lease / time.Second) {
		l.n.now = l.n.now.Add(time.Second)
		l.n.keepAuthority()
		l.agents.Heartbeats.ObserveAnswer(machine, agents.CallResult{Outcome: agents.Answered, Heartbeat: &protocol.Heartbeat{Machine: machine.ID, Address: "h:1", Type: machine.TypeName, Zone: machine.Zone, Incarnation: 1, Sequence: machine.Agent.Sequence + 1, FencingToken: l.n.election.Term()}})
	}
	if !l.cluster.ConfirmedAlive(machine) || l.cluster.Schedulable(machine) {
		t.Errorf("alive %v, takes work %v", l.cluster.ConfirmedAlive(machine), l.cluster.Schedulable(machine))
	}
	l.testReport(machine, l.n.election.Term())
	if !l.cluster.Schedulable(machine) {
		t.Error("takes no work though it reports again")
	}
}
