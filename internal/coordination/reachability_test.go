package coordination

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// TestUnresponsiveAgentIsDeletedDespiteHeartbeats: an agent whose heartbeats arrive, but never show
// an effect of the responses, gets no new tasks. If it does not respond to calls either, its
// machine is deleted, which proves that its tasks are gone. If it responds to a call, its machine
// is kept.
func TestUnresponsiveAgentIsDeletedDespiteHeartbeats(t *testing.T) {
	for _, responds := range []bool{false, true} {
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
			t.Fatal("accepts new tasks")
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
				if responds {
					l.n.handle(Response{ID: r.ID, Status: 200, Body: storage.Encode(protocol.Heartbeat{Machine: machine.ID, Address: "h:1", Type: machine.TypeName,
						Zone: machine.Zone, Incarnation: 1, Sequence: machine.Agent.Sequence + 1, FencingToken: l.n.election.Term()})})
				} else {
					l.n.handle(Response{ID: r.ID})
				}
			}
		}
		if machine.Deleting == responds || l.cluster.Schedulable(machine) != responds {
			t.Errorf("responds to calls %v: deleting %v, schedulable %v", responds, machine.Deleting, l.cluster.Schedulable(machine))
		}
		if l.removeMachines(machine.ID); len(job.Attempts) != 0 {
			t.Errorf("%d attempts are left after the machine was removed", len(job.Attempts))
		}
	}
}
