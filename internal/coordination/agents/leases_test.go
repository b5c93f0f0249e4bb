package agents_test

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// incarnationMessages are the messages that can show a newer incarnation of an agent to the leader.
var incarnationMessages = []struct {
	name    string
	deliver func(l *testLeader, machine *cluster.Machine, heartbeat *protocol.Heartbeat)
}{
	{"heartbeat", func(l *testLeader, _ *cluster.Machine, heartbeat *protocol.Heartbeat) { l.Heartbeats.Accept(heartbeat) }},
	{"response to a probe", func(l *testLeader, _ *cluster.Machine, heartbeat *protocol.Heartbeat) {
		l.Liveness.Tick() // probes the silent agent
		l.endCalls(agents.CallResult{Outcome: agents.Executed, Heartbeat: heartbeat})
	}},
	{"refused call", func(l *testLeader, machine *cluster.Machine, heartbeat *protocol.Heartbeat) {
		machine.Agent.LastHeartbeat = l.state.Now() // heard in an earlier call: others are not sent commands
		l.Stop(machine.Attempts[firstAttempt], 0)
		l.Delivery.SendPending()
		l.endCalls(agents.CallResult{Outcome: agents.Refused, Heartbeat: heartbeat})
	}},
}

// firstAttempt is the attempt that the machine of a test runs when its agent's incarnation ends.
var firstAttempt = cluster.AttemptID{Job: "run-000001", Index: 0, Number: 1}

// endCalls ends all calls in flight with a result.
func (l *testLeader) endCalls(result agents.CallResult) {
	calls := l.calls
	l.calls = nil
	for _, call := range calls {
		call.done(result)
	}
}

// TestLeaseIsNotPresumedExpiredBeforeThatOfIncarnation guards against a lease that is counted from the
// last response to an earlier incarnation, whichever message shows the new one.
func TestLeaseIsNotPresumedExpiredBeforeThatOfIncarnation(t *testing.T) {
	for _, message := range incarnationMessages {
		t.Run(message.name, func(t *testing.T) {
			l := newTestLeader()
			machine := l.machine("i-1", "a")
			job, _ := l.runningAttempt(machine)
			lease := config.Seconds(l.state.Config.Cluster.Agents.LeaseS)
			l.state.Advance(testGrace + lease/2)

			next := heartbeat(machine, testTerm)
			next.Incarnation, next.Sequence = 2, 1
			message.deliver(l, machine, next)
			if machine.Agent.Incarnation != 2 || len(job.Attempts) != 0 {
				t.Fatalf("incarnation %d, %d attempts, want the earlier one ended", machine.Agent.Incarnation, len(job.Attempts))
			}
			l.state.AddAttempt(job, 0, 2, machine, 2)
			l.state.Advance(lease)
			l.Liveness.Tick()
			if len(job.Attempts) != 1 {
				t.Error("attempt released before the lease of its incarnation has expired")
			}
			l.state.Advance(3 * time.Second)
			l.Liveness.Tick()
			if len(job.Attempts) != 0 {
				t.Error("attempt not released after the lease of its incarnation has expired")
			}
		})
	}
}

// runningAttempt adds an attempt of a new job that the machine's agent has reported as running.
func (l *testLeader) runningAttempt(machine *cluster.Machine) (*cluster.Job, protocol.TaskStatus) {
	job := l.job(protocol.ShapeArray, 1)
	attempt := l.state.AddAttempt(job, 0, firstAttempt.Number, machine, machine.Agent.Incarnation)
	attempt.MarkCommitted()
	attempt.MarkStartSent()
	attempt.ObserveState(protocol.TaskRunning, l.state.Now())
	running := protocol.TaskStatus{Task: protocol.TaskName(job.ID, 0), Attempt: firstAttempt.Number, State: protocol.TaskRunning}
	return job, running
}

// TestLeaseIsPresumedExpiredOnlyAfterLastResponse guards against a lease that is presumed to have
// expired while the agent, by a slow clock, still holds it.
func TestLeaseIsPresumedExpiredOnlyAfterLastResponse(t *testing.T) {
	l := newTestLeader()
	machine := l.machine("i-1", "a")
	job, running := l.runningAttempt(machine)
	lease := config.Seconds(l.state.Config.Cluster.Agents.LeaseS)
	l.state.Advance(2 * (lease + testGrace))
	l.accept(t, heartbeat(machine, testTerm, running))

	l.state.Advance(config.WithClockDrift(lease))
	l.Liveness.Tick()
	if len(job.Attempts) != 1 {
		t.Error("attempt released before the lease has expired by the agent's clock")
	}
	l.state.Advance(3 * time.Second)
	l.Liveness.Tick()
	if len(job.Attempts) != 0 {
		t.Error("attempt not released after the lease has expired")
	}
	next := heartbeat(machine, testTerm)
	next.Incarnation, next.Sequence = 2, 1
	l.accept(t, next)
	if !l.state.ConfirmedAlive(machine) {
		t.Error("not alive though its next incarnation has been heard")
	}
}

// TestRunningTaskShownInCallIsNotReleased guards against a lease that is presumed to have expired
// although the agent shows the task in its responses to calls.
func TestRunningTaskShownInCallIsNotReleased(t *testing.T) {
	l := newTestLeader()
	machine := l.machine("i-1", "a")
	job, running := l.runningAttempt(machine)
	lease := config.Seconds(l.state.Config.Cluster.Agents.LeaseS)
	for range int(2 * (lease + testGrace) / time.Second) {
		l.state.Advance(time.Second)
		l.Heartbeats.ObserveCallResult(machine, agents.CallResult{Outcome: agents.Executed, Heartbeat: heartbeat(machine, testTerm, running)})
		machine.Agent.IneffectiveResponses = tuning.MaxIneffectiveResponses // has its lease checked although it was heard
		l.Liveness.Tick()
	}
	if len(job.Attempts) != 1 {
		t.Error("attempt released although the agent shows it")
	}
}

// TestStartInResponseIsNotProvenAbsentByCall guards against a task that is started elsewhere while a
// response with its start is on its way, because a call shows the agent without it.
func TestStartInResponseIsNotProvenAbsentByCall(t *testing.T) {
	l := newTestLeader()
	machine := l.machine("i-1", "a")
	job := l.job(protocol.ShapeArray, 1)
	attempt := l.state.AddAttempt(job, 0, firstAttempt.Number, machine, machine.Agent.Incarnation)
	attempt.MarkCommitted()
	if got := l.accept(t, heartbeat(machine, testTerm)); got != "start " {
		t.Fatalf("commands %q, want the start", got)
	}
	l.Stop(attempt, 0) // the leader no longer sends the start again
	l.Heartbeats.ObserveCallResult(machine, agents.CallResult{Outcome: agents.Executed, Heartbeat: heartbeat(machine, testTerm)})
	if len(job.Attempts) != 1 {
		t.Error("attempt released by a call while the response with its start is on its way")
	}
	l.accept(t, heartbeat(machine, testTerm))
	if len(job.Attempts) != 0 {
		t.Error("attempt not released by the next heartbeat, which was sent after the response")
	}
}
