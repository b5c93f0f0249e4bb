package coordination

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// TestUnresponsiveAgentIsDeletedDespiteHeartbeats: an agent whose heartbeats go on coming, but never show what the
// answers told it, takes no new work; one that does not answer calls either is
// returned, which proves its tasks gone. One that answers a call is kept.
func TestUnresponsiveAgentIsDeletedDespiteHeartbeats(t *testing.T) {
	for _, answers := range []bool{false, true} {
		l := testLeader(time.Unix(1_800_000_000, 0))
		machine := l.testMachine("i-1", "big", "a")
		job := l.testJob(gangOf(1, 1))
		l.runSchedulingCycle()
		clear(job.Write.Dirty)
		job.SortedAttempts()[0].Committed = true
		for range tuning.MaxIneffectiveResponses + 1 {
			l.testHeartbeat(machine, l.n.election.Term())
		}
		if l.cluster.Schedulable(machine) {
			t.Fatal("takes new work")
		}
		for range 100 {
			l.n.now = l.n.now.Add(tuning.MachineSweepInterval)
			l.n.renewAuthority()
			machine.Agent.LastHeartbeat, machine.Agent.RespondedAt = l.n.now, l.n.now
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
		if l.removeMachines(machine.ID); len(job.Attempts) != 0 {
			t.Errorf("%d copies are left once it is gone", len(job.Attempts))
		}
	}
}
