package simulation

import (
	"testing"
	"time"
)

// TestTaskOfSessionLearnedFromCallIsNotStartedElsewhere guards against a lease that is presumed to
// have expired although a call has shown that the agent's session began later.
func TestTaskOfSessionLearnedFromCallIsNotStartedElsewhere(t *testing.T) {
	t.Parallel()
	shape := SmallShape()
	shape.Machines, shape.Capacity = 2, 2
	w := startWorld(91, shape, 6*time.Second)
	wholeMachine := withTaskResources(array("run-000001", 1), 4, 4, 20)
	u := w.submitAndWaitUntilRunning(t, 20*time.Second, wholeMachine, 500)
	silent := w.agentOf("run-000001", 0)
	w.submitAndWaitUntilRunning(t, 20*time.Second, gangJob("run-000002", 4), 40)
	w.cloud.down = true

	// The agent's last heartbeats arrive, but the responses to them are lost, so its lease expires.
	silent.opensNoConnections = true
	for w.Now.Before(silent.leaseEnd().Add(-7 * time.Second)) {
		w.Run(time.Second)
		w.deliverHeartbeatCopy(w.leader(), encode(silent.heartbeat()))
	}
	w.waitFor(t, 10*time.Second, "the next session begins", func() bool { return silent.incarnation == 2 })
	w.waitUntilRunning(t, 20*time.Second, u)
	if w.agentOf("run-000001", 0) != silent {
		t.Fatal("the task does not run in the next session")
	}

	silent.hang(time.Minute)
	w.waitFor(t, time.Minute, "the task runs elsewhere", func() bool {
		return w.running(u) && w.agentOf("run-000001", 0) != silent
	})
	w.expectRulesHeld(t)
}

// TestRulesHoldDespiteSessionsLearnedFromCalls: every rule holds in random runs with overlapping
// faults, among which are sessions that the leader learns of from calls only.
func TestRulesHoldDespiteSessionsLearnedFromCalls(t *testing.T) {
	t.Parallel()
	checkRandomRunsWith(t, 90_000, lateSessionKind)
}
