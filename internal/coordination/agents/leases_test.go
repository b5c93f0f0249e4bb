package agents_test

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
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
			machine, job := l.machine("i-1", "a"), l.job(protocol.ShapeArray, 1)
			attempt := l.state.AddAttempt(job, 0, firstAttempt.Number, machine, 1)
			attempt.MarkCommitted()
			attempt.MarkStartSent()
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
