package agents_test

import (
	"testing"

	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// startDirectly places a gang of one task on the only machine and sends its start in a call.
func (l *testLeader) startDirectly(t *testing.T, machine *cluster.Machine) *cluster.Job {
	t.Helper()
	job := l.job(protocol.ShapeGang, 1)
	l.scheduler.RunCycle()
	clear(job.Write.Dirty)
	job.SortedAttempts()[0].MarkCommitted()
	l.Delivery.Enqueue(machine)
	l.Delivery.SendPending()
	if len(l.calls) != 1 {
		t.Fatalf("%d calls, want one", len(l.calls))
	}
	return job
}

// endCall ends the call in flight. The agent's state after it shows the leader's term and the given
// tasks.
func (l *testLeader) endCall(outcome agents.CallOutcome, tasks ...protocol.TaskStatus) {
	call := l.calls[0]
	l.calls = nil
	call.done(agents.CallResult{Outcome: outcome, Heartbeat: heartbeat(call.machine, testTerm, tasks...)})
}

// stoppedTask returns the status of a job's first attempt after it was stopped.
func stoppedTask(job *cluster.Job) protocol.TaskStatus {
	return protocol.TaskStatus{Task: protocol.TaskName(job.ID, 0), Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseStopped}
}

// expectResponse processes a heartbeat and checks the token and the commands of the response.
func (l *testLeader) expectResponse(t *testing.T, heartbeat *protocol.Heartbeat, token protocol.Term, kinds string) {
	t.Helper()
	if l.Heartbeats.RefuseHigherToken(heartbeat) {
		t.Fatalf("heartbeat with token %d refused", heartbeat.FencingToken)
	}
	result := l.Heartbeats.Accept(heartbeat)
	got := ""
	for _, command := range result.Commands {
		got += string(command.Kind) + " "
	}
	if result.Outcome != agents.Accepted || result.FencingToken != token || got != kinds {
		t.Errorf("response %+v with token %d and commands %q, want token %d and %q", result.Outcome, result.FencingToken, got, token, kinds)
	}
}

// TestAttemptIsForgottenOnlyUnderNewerToken guards against an agent that forgets an attempt while it
// would still execute a copy of the attempt's direct start.
func TestAttemptIsForgottenOnlyUnderNewerToken(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome agents.CallOutcome
	}{{"answered", agents.Executed}, {"unanswered", agents.NoResponse}} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLeader()
			machine := l.machine("i-1", "a")
			job := l.startDirectly(t, machine)
			if c.outcome == agents.Executed {
				l.endCall(c.outcome, protocol.TaskStatus{Task: protocol.TaskName(job.ID, 0), Attempt: 1, State: protocol.TaskRunning})
			} else {
				l.failCalls()
			}
			l.expectResponse(t, heartbeat(machine, testTerm, stoppedTask(job)), testTerm, "")
			const newer = testTerm + 5
			l.Delivery.ObserveCommit(protocol.Revision(newer))
			l.expectResponse(t, heartbeat(machine, testTerm, stoppedTask(job)), newer, "reap ")
			l.state.Advance(tuning.CommandResendDelay)
			l.expectResponse(t, heartbeat(machine, testTerm, stoppedTask(job)), newer, "reap ") // the response was lost
			l.expectResponse(t, heartbeat(machine, newer), newer, "")
			if len(machine.Delivery.DirectStarts) != 0 {
				t.Errorf("%d direct starts remembered, want none", len(machine.Delivery.DirectStarts))
			}
		})
	}
}

// TestStartInResponseNeedsNoNewerToken: a start in the response to a heartbeat is never executed
// late, so its attempt is forgotten at once.
func TestStartInResponseNeedsNoNewerToken(t *testing.T) {
	l := newTestLeader()
	machine, job := l.machine("i-1", "a"), l.job(protocol.ShapeGang, 1)
	l.scheduler.RunCycle()
	clear(job.Write.Dirty)
	job.SortedAttempts()[0].MarkCommitted()
	l.Delivery.ObserveCommit(protocol.Revision(testTerm + 5))
	l.expectResponse(t, heartbeat(machine, testTerm), testTerm, "start ")
	l.expectResponse(t, heartbeat(machine, testTerm, stoppedTask(job)), testTerm, "reap ")
}

// TestTokenIsNotRaisedDuringCall: a call in flight would be refused under a newer token.
func TestTokenIsNotRaisedDuringCall(t *testing.T) {
	l := newTestLeader()
	machine := l.machine("i-1", "a")
	job := l.startDirectly(t, machine)
	l.Delivery.ObserveCommit(protocol.Revision(testTerm + 5))
	l.expectResponse(t, heartbeat(machine, testTerm, stoppedTask(job)), testTerm, "")
	l.endCall(agents.Executed, stoppedTask(job))
	l.expectResponse(t, heartbeat(machine, testTerm, stoppedTask(job)), testTerm+5, "reap ")
}

// TestRefusedStartIsSentAgain: a start that the agent refuses is part of the response to its next
// heartbeat, and the agent is not blamed.
func TestRefusedStartIsSentAgain(t *testing.T) {
	l := newTestLeader()
	machine := l.machine("i-1", "a")
	l.startDirectly(t, machine)
	l.endCall(agents.Refused)
	l.state.Advance(tuning.DirectStartSettleTime)
	l.expectResponse(t, heartbeat(machine, testTerm), testTerm, "start ")
	if machine.Agent.IneffectiveResponses != 0 || machine.Agent.FailedProbes != 0 || !l.state.Schedulable(machine) {
		t.Errorf("the agent is blamed: %+v", machine.Agent)
	}
}

// TestUnansweredStartEndsWithNewerToken: once the agent shows a token above that of an unanswered
// start, a heartbeat without the attempt proves it gone.
func TestUnansweredStartEndsWithNewerToken(t *testing.T) {
	l := newTestLeader()
	machine := l.machine("i-1", "a")
	done := l.startDirectly(t, machine)
	l.endCall(agents.Executed, stoppedTask(done))
	unanswered := l.startDirectly(t, machine)
	l.failCalls()
	l.Delivery.ObserveCommit(protocol.Revision(testTerm + 5))
	l.expectResponse(t, heartbeat(machine, testTerm, stoppedTask(done)), testTerm+5, "reap start ")
	l.Stop(unanswered.SortedAttempts()[0], 0)
	l.expectResponse(t, heartbeat(machine, testTerm+5), testTerm+5, "halt ")
	l.expectResponse(t, heartbeat(machine, testTerm+5), testTerm+5, "")
	if len(unanswered.Attempts) != 0 {
		t.Error("attempt kept although its start would be refused")
	}
}

// TestForgottenAttemptThatReturnsIsCounted: an agent that reports an attempt which it has forgotten
// has executed a late start. It is told to stop the attempt.
func TestForgottenAttemptThatReturnsIsCounted(t *testing.T) {
	l := newTestLeader()
	machine := l.machine("i-1", "a")
	job := l.startDirectly(t, machine)
	l.endCall(agents.Executed, stoppedTask(job))
	l.Delivery.ObserveCommit(protocol.Revision(testTerm + 5))
	l.expectResponse(t, heartbeat(machine, testTerm, stoppedTask(job)), testTerm+5, "reap ")
	l.expectResponse(t, heartbeat(machine, testTerm+5, stoppedTask(job)), testTerm+5, "") // not executed yet
	l.expectResponse(t, heartbeat(machine, testTerm+5), testTerm+5, "")
	if l.counters.ForgottenReported != 0 {
		t.Fatalf("%d attempts counted before one returned", l.counters.ForgottenReported)
	}
	running := stoppedTask(job)
	running.State, running.Cause = protocol.TaskRunning, ""
	for range 2 {
		l.Heartbeats.Accept(heartbeat(machine, testTerm+5, running))
	}
	if l.counters.ForgottenReported != 1 || !machine.Attempts[cluster.AttemptID{Job: job.ID, Number: 1}].Stopping {
		t.Errorf("%d attempts counted, want one, which is stopped", l.counters.ForgottenReported)
	}
}

// TestOnlyUnknownTokensAreHigher: a heartbeat with a token that this leader has sent to the agent,
// or a copy of one from a deleted machine, does not show that another controller leads.
func TestOnlyUnknownTokensAreHigher(t *testing.T) {
	l := newTestLeader()
	machine := l.machine("i-1", "a")
	job := l.startDirectly(t, machine)
	l.endCall(agents.Executed, stoppedTask(job))
	l.Delivery.ObserveCommit(protocol.Revision(testTerm + 5))
	l.expectResponse(t, heartbeat(machine, testTerm, stoppedTask(job)), testTerm+5, "reap ")
	other := l.machine("i-2", "a")
	for _, c := range []struct {
		name    string
		machine *cluster.Machine
		token   protocol.Term
		want    bool
	}{{"own token", machine, testTerm + 5, false}, {"above the own token", machine, testTerm + 6, true}, {"sent to another agent", other, testTerm + 5, true}} {
		if got := l.Heartbeats.RefuseHigherToken(heartbeat(c.machine, c.token)); got != c.want {
			t.Errorf("%s: refused %v, want %v", c.name, got, c.want)
		}
	}
	l.deleted = map[protocol.MachineID]bool{machine.ID: true}
	delete(l.state.Machines, machine.ID)
	if l.Heartbeats.RefuseHigherToken(heartbeat(machine, testTerm+5)) {
		t.Error("a copy of a deleted machine's heartbeat counts as one with a higher token")
	}
}
