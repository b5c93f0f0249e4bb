package agents_test

import (
	"testing"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/protocol"
)

// TestHeartbeatOfDeletedMachineIsIgnored guards against a machine that a late heartbeat returns to the
// model after this leader has deleted it.
func TestHeartbeatOfDeletedMachineIsIgnored(t *testing.T) {
	l := newTestLeader()
	late := heartbeat(l.machine("i-1", "a"), testTerm)
	delete(l.state.Machines, late.Machine)
	l.deleted = map[protocol.MachineID]bool{late.Machine: true}
	if result := l.Heartbeats.Accept(late); result.Outcome != agents.Stale || l.state.Machines[late.Machine] != nil {
		t.Errorf("result %+v, machine %v, want the heartbeat refused", result, l.state.Machines[late.Machine])
	}
}

// TestCallOfAgentWithHigherTokenProvesNothing guards against an attempt that is released because a call
// shows an agent that follows another leader without it.
func TestCallOfAgentWithHigherTokenProvesNothing(t *testing.T) {
	l := newTestLeader()
	machine := l.machine("i-1", "a")
	job, _ := l.runningAttempt(machine)
	l.Heartbeats.ObserveCallResult(machine, agents.CallResult{Outcome: agents.Refused, Heartbeat: heartbeat(machine, testTerm+1)})
	if len(job.Attempts) != 1 {
		t.Error("attempt released by an agent that follows another leader")
	}
}

// TestReadableHeartbeatEndsSeriesOfUnreadableOnes guards against a machine that is deleted for two
// unreadable heartbeats with readable ones in between.
func TestReadableHeartbeatEndsSeriesOfUnreadableOnes(t *testing.T) {
	l := newTestLeader()
	machine := l.machine("i-1", "a")
	job, running := l.runningAttempt(machine)
	unreadable := protocol.TaskStatus{Task: "?", Attempt: 1, State: "dreaming"}
	l.accept(t, heartbeat(machine, testTerm, unreadable))
	l.accept(t, heartbeat(machine, testTerm, running))
	l.state.Advance(2 * config.Seconds(l.state.Config.Cluster.Agents.LeaseS))
	l.accept(t, heartbeat(machine, testTerm, unreadable))
	if machine.Deleting || len(job.Attempts) != 1 {
		t.Errorf("deleting %v, %d attempts, want the machine kept", machine.Deleting, len(job.Attempts))
	}
}
