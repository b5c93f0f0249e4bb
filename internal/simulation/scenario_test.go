package simulation

import (
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// TestCrashedLeaderIsReplacedAfterItsLease: a crashed leader is replaced soon after its leader lease expires,
// and what runs goes on running.
func TestCrashedLeaderIsReplacedAfterItsLease(t *testing.T) {
	t.Parallel()
	w := startWorld(1, SmallShape(), 5*time.Second)
	u := w.submitAndWaitUntilRunning(t, 10*time.Second, gangJob("run-000001", 3), 60)
	starts := w.rules.started

	w.leader().crash(time.Minute)

	if took := w.waitForLeader(t, 10*time.Second); took > tuning.LeaderLeaseTTL+time.Second {
		t.Errorf("failover after %v", took)
	}
	w.waitUntilOver(t, 90*time.Second, u)
	w.expectStarts(t, starts, 0, "across the failover")
	w.expectRulesHeld(t)
}

// TestRestartedLeaderReplacesItsOwnLease: a process that is back within a fraction of a second
// replaces its predecessor's leader lease without waiting for it to expire.
func TestRestartedLeaderReplacesItsOwnLease(t *testing.T) {
	t.Parallel()
	w := startWorld(2, SmallShape(), 5*time.Second)
	c := w.leader()

	c.crash(200 * time.Millisecond)
	w.Run(250 * time.Millisecond)

	if took := w.waitForLeader(t, 5*time.Second); took > time.Second {
		t.Errorf("after %v", took)
	}
	if w.leader() != c {
		t.Errorf("%s leads", w.leader().name)
	}
	w.expectRulesHeld(t)
}

// TestDelayedStartDoesNotRunDoneTask: a direct start that is held in the network for a minute
// must not start its task again after it is done and forgotten.
func TestDelayedStartDoesNotRunDoneTask(t *testing.T) {
	t.Parallel()
	w := startWorld(3, SmallShape(), 6*time.Second)
	c := w.leader()
	w.disconnect(60*time.Second, packetsHeld, func(a, b string) bool { return a == c.name && w.agents[protocol.MachineID(b)] != nil })
	u := w.submit(arrival{job: array("run-000001", 4), run: 5})
	w.waitUntilOver(t, 50*time.Second, u)
	starts := w.rules.started

	w.Run(60 * time.Second)

	w.expectStarts(t, starts, 0, "after the job was done")
	w.expectRulesHeld(t)
}

// TestShortStoreOutageLosesNoTaskAndNoLeader: an outage shorter than the leader's grace costs no task,
// takes no node out of the load balancer and changes no leader.
func TestShortStoreOutageLosesNoTaskAndNoLeader(t *testing.T) {
	t.Parallel()
	w := startWorld(4, SmallShape(), 5*time.Second)
	u := w.submitAndWaitUntilRunning(t, 10*time.Second, gangJob("run-000001", 3), 60)
	c, starts := w.leader(), w.rules.started

	w.store.outage(14 * time.Second)

	for range 13 {
		w.Run(time.Second)
		for _, n := range w.nodes {
			if !n.node.Ready() {
				t.Fatalf("%s is not ready in an outage that all share", n.name)
			}
		}
	}
	w.waitUntilOver(t, 90*time.Second, u)
	w.expectStarts(t, starts, 0, "across the outage")
	if w.leader() != c {
		t.Errorf("%s leads", w.leader().name)
	}
	w.expectRulesHeld(t)
}

// TestNodeRefusedByStoreAloneIsNotReady: a node that alone is refused by the key-value store says it
// is not ready.
func TestNodeRefusedByStoreAloneIsNotReady(t *testing.T) {
	t.Parallel()
	w := startWorld(5, SmallShape(), 5*time.Second)
	c := w.otherControllers(w.leader())[1]

	c.refused = true
	w.Run(8 * time.Second)

	if c.node.Ready() {
		t.Error("ready")
	}
	// Users whose connections it still has are answered by a peer.
	if got := w.statusOf(c, submission(array("run-000009", 1))); got != 201 {
		t.Errorf("a submission is answered %d", got)
	}
	if got := w.statusOf(c, statusQuery("run-000009")); got != 200 {
		t.Errorf("a status query is answered %d", got)
	}

	c.refused = false
	w.Run(2 * time.Second)

	if !c.node.Ready() {
		t.Error("not ready once it is served again")
	}
}

// TestLostStoreResponsesApplyNothingTwice: the key-value store carries out what the leader sends, but
// its answers are lost for a while. Nothing is applied twice or forgotten.
func TestLostStoreResponsesApplyNothingTwice(t *testing.T) {
	t.Parallel()
	w := startWorld(6, SmallShape(), 5*time.Second)
	c := w.leader()
	for i := range 6 {
		w.submit(arrival{after: time.Duration(i) * time.Second, job: array(jobID(i), 2), run: 8})
	}

	lossy := &partition{match: func(a, b string) bool { return a == storeHost && b == c.name && w.rng.IntN(2) == 0 }}
	w.partitions = append(w.partitions, lossy)
	w.Run(12 * time.Second)
	w.partitions = nil

	w.waitUntilOver(t, 120*time.Second, w.users...)
	w.expectRulesHeld(t)
}

// TestNodesStartWithoutCloud: nodes that start while the cloud does not answer know
// the machine types from the records and take submissions.
func TestNodesStartWithoutCloud(t *testing.T) {
	t.Parallel()
	w := startWorld(12, SmallShape(), 5*time.Second)

	w.cloud.down = true
	w.crashAll(time.Second)
	w.Run(3 * time.Second)

	for _, c := range w.nodes {
		if !c.node.Ready() {
			t.Errorf("%s is not ready", c.name)
		}
	}
	u := w.submit(arrival{job: array("run-000001", 2), run: 5})
	w.waitFor(t, 5*time.Second, "the submission is accepted", func() bool { return u.accepted })
	w.expectRulesHeld(t)
}

// TestStatusQueriesKeepWithinStoreBudget: far more polls than the key-value store's budget allows neither
// exceed it nor keep the leader from its leader lease; every user gets an answer.
func TestStatusQueriesKeepWithinStoreBudget(t *testing.T) {
	t.Parallel()
	w := startWorld(13, SmallShape(), 5*time.Second)
	w.submitAndWaitUntilRunning(t, 10*time.Second, array("run-000001", 2), 60)
	c, before := w.leader(), w.store.requests

	answers, asked := 0, 0
	for range 400 { // 20 s of 600 queries a second, half for jobs that nobody knows
		for i, n := range w.nodes {
			for k := range 10 {
				asked++
				n.ask(statusQuery(jobID(1+(i+k)%2)), func(int, []byte) { answers++ })
			}
		}
		w.Run(50 * time.Millisecond)
	}
	w.Run(5 * time.Second)

	if answers != asked {
		t.Errorf("%d answers to %d status queries", answers, asked)
	}
	if rate := float64(w.store.requests-before) / 25; rate > 80 {
		t.Errorf("%.0f requests a second", rate)
	}
	if w.leader() != c {
		t.Error("the leader lost its lease")
	}
	w.expectRulesHeld(t)
}

// TestPartitionedLeaderStopsBeforeCancellationMustHold: a leader cut off from everything but some workers does
// not know of a cancellation; its grace ends before the cancellation must hold.
func TestPartitionedLeaderStopsBeforeCancellationMustHold(t *testing.T) {
	t.Parallel()
	w := startWorld(7, SmallShape(), 5*time.Second)
	u := w.submitAndWaitUntilRunning(t, 20*time.Second, array("run-000001", 8), 500)
	c := w.leader()
	inside := map[string]bool{c.name: true}
	for i := range 8 {
		inside[string(w.agentOf("run-000001", i).host.ID)] = true
	}

	w.disconnect(100*time.Second, packetsHeld, func(a, b string) bool { return inside[a] != inside[b] })
	w.Run(2 * time.Second)
	w.waitFor(t, 20*time.Second, "another leads", func() bool { return w.leader() != nil && w.leader() != c })
	u.cancel()
	w.Run(150 * time.Second)

	if !u.over {
		t.Error("not cancelled")
	}
	w.expectRulesHeld(t)
}

// TestPeersRelayHeartbeatsAcrossZonePartition: across a cut between two zones, reports of the far zone's workers
// reach the leader through the controllers, and nothing is lost.
func TestPeersRelayHeartbeatsAcrossZonePartition(t *testing.T) {
	t.Parallel()
	w := startWorld(8, SmallShape(), 5*time.Second)
	u := w.submitAndWaitUntilRunning(t, 60*time.Second, array("run-000001", 12), 120)
	c, starts := w.leader(), w.rules.started
	bridge := w.otherControllers(c)[0].name // reaches everybody, wherever it is

	w.disconnect(60*time.Second, packetsDropped, func(a, b string) bool {
		return a != bridge && b != bridge && w.inDifferentZones(a, b)
	})

	w.waitUntilOver(t, 200*time.Second, u)
	w.expectStarts(t, starts, 0, "across the cut")
	w.expectRulesHeld(t)
}

// TestArrayOfManyRecordsSurvivesFailover: a job whose tasks fill many records keeps the state
// service's limits and survives a change of leader.
func TestArrayOfManyRecordsSurvivesFailover(t *testing.T) {
	t.Parallel()
	w := startWorld(9, SmallShape(), 5*time.Second)
	u := w.submit(arrival{job: withTaskResources(array("run-000001", 700), 0.2, 0, 0.5), run: 10})
	w.Run(20 * time.Second)

	w.leader().crash(2 * time.Second)

	w.waitUntilOver(t, 240*time.Second, u)
	w.Run(20 * time.Second)
	for k := range w.store.keys {
		if k == "g/j/run-000001" || strings.HasPrefix(k, "g/t/") {
			t.Errorf("%s is left", k)
		}
	}
	w.expectRulesHeld(t)
}

// TestLargestJobSurvivesFailoverAndIsCancelled: a job of the largest size is taken, keeps every limit of the
// key-value store, survives a change of leader and is cancelled in time.
func TestLargestJobSurvivesFailoverAndIsCancelled(t *testing.T) {
	t.Parallel()
	w := startWorld(14, SmallShape(), 5*time.Second)
	job := withTaskResources(array("run-000001", 100_000), 0.2, 0, 0.5)
	u := w.submit(arrival{job: job, run: 10, cancelAfter: 30 * time.Second})
	w.Run(15 * time.Second)
	if w.rules.started == 0 {
		t.Error("nothing starts")
	}

	w.leader().crash(2 * time.Second)
	w.Run(15 * time.Second)

	w.waitUntilOver(t, 30*time.Second, u)
	w.Run(60 * time.Second)
	if _, ok := w.store.keys["g/j/run-000001"]; ok {
		t.Error("its record is still among the unfinished")
	}
	w.expectRulesHeld(t)
}

// TestGangRestartsOnSpareFromCheckpoint: a gang that loses a machine runs again at once on a machine
// that is there, keeping its checkpoint.
func TestGangRestartsOnSpareFromCheckpoint(t *testing.T) {
	t.Parallel()
	w := startWorld(10, SmallShape(), 6*time.Second)
	job := withCheckpoints(gangJob("run-000001", 2), 10, 2)
	job.GPUs, job.OneZone = 2, true
	u := w.submitAndWaitUntilRunning(t, 10*time.Second, job, 60)
	w.Run(25 * time.Second)

	w.loseAgent(w.agentOf("run-000001", 0))

	// Silence, two probes and a deletion: well before the lease would expire.
	if took := w.waitUntilRunning(t, 24*time.Second, u); took > 18*time.Second {
		t.Errorf("repaired after %v", took)
	}
	if u.job.progress[0] < 20 {
		t.Errorf("progress %v", u.job.progress[0])
	}
	w.waitUntilOver(t, 120*time.Second, u)
	w.expectRulesHeld(t)
}

// TestZonePartitionedFromAllPeersLosesNoTask: a cut between two zones that leaves no path between their
// controllers costs nothing that runs: the reports of the far zone reach the
// leader by way of the key-value store, and so do its answers.
func TestZonePartitionedFromAllPeersLosesNoTask(t *testing.T) {
	t.Parallel()
	for _, fate := range []packetHandling{packetsHeld, packetsDropped} {
		t.Run(fate.String(), func(t *testing.T) {
			t.Parallel()
			w := startWorld(11, SmallShape(), 5*time.Second)
			u := w.submitAndWaitUntilRunning(t, 60*time.Second, array("run-000001", 12), 150)
			starts := w.rules.started

			w.disconnect(90*time.Second, fate, w.inDifferentZones)
			w.Run(20 * time.Second)
			needsBothZones := w.submit(arrival{job: array("run-000002", 16), run: 10})

			w.waitUntilOver(t, 60*time.Second, needsBothZones)
			w.waitUntilOver(t, 200*time.Second, u)
			w.expectStarts(t, starts, 16, "across the cut")
			w.expectRulesHeld(t)
		})
	}
}
