package simulation

import (
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// TestCrashedLeaderIsReplacedAfterItsLease: a crashed leader is replaced soon after its leader
// lease expires, and running tasks continue.
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
	w.expectStarts(t, starts, 0, "during the failover")
	w.expectRulesHeld(t)
}

// TestRestartedLeaderReplacesItsOwnLease: a leader that restarts within a fraction of a second
// replaces the leader lease of its previous process without waiting for it to expire.
func TestRestartedLeaderReplacesItsOwnLease(t *testing.T) {
	t.Parallel()
	w := startWorld(2, SmallShape(), 5*time.Second)
	c := w.leader()

	c.crash(200 * time.Millisecond)
	w.Run(250 * time.Millisecond)

	if took := w.waitForLeader(t, 5*time.Second); took > time.Second {
		t.Errorf("a controller leads again after %v", took)
	}
	if w.leader() != c {
		t.Errorf("%s leads", w.leader().name)
	}
	w.expectRulesHeld(t)
}

// TestDelayedStartDoesNotRunDoneTask: a direct start command that the network delays for a minute
// must not start its task again after the task is done and the agent has forgotten it.
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

// TestShortStoreOutageLosesNoTaskAndNoLeader: during an outage of the key-value store that is
// shorter than the leader's grace, no task is lost, no controller is taken out of the load
// balancer, and the leader does not change.
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
				t.Fatalf("%s is not ready in an outage that affects all controllers", n.name)
			}
		}
	}
	w.waitUntilOver(t, 90*time.Second, u)
	w.expectStarts(t, starts, 0, "during the outage")
	if w.leader() != c {
		t.Errorf("%s leads", w.leader().name)
	}
	w.expectRulesHeld(t)
}

// TestNodeRefusedByStoreAloneIsNotReady: a controller that is the only one refused by the
// key-value store reports that it is not ready.
func TestNodeRefusedByStoreAloneIsNotReady(t *testing.T) {
	t.Parallel()
	w := startWorld(5, SmallShape(), 5*time.Second)
	c := w.otherControllers(w.leader())[1]

	c.refused = true
	w.Run(8 * time.Second)

	if c.node.Ready() {
		t.Error("the controller that the store refuses is ready")
	}
	// A peer responds to the requests of users who are still connected to this controller.
	if got := w.statusOf(c, submission(array("run-000009", 1))); got != 201 {
		t.Errorf("status %d for a submission", got)
	}
	if got := w.statusOf(c, statusQuery("run-000009")); got != 200 {
		t.Errorf("status %d for a status query", got)
	}

	c.refused = false
	w.Run(2 * time.Second)

	if !c.node.Ready() {
		t.Error("the controller is not ready after the store serves it again")
	}
}

// TestLostStoreResponsesApplyNothingTwice: for a while, the key-value store executes the leader's
// requests, but half of its responses are lost. No change is applied twice or forgotten.
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

// TestNodesStartWithoutCloud: controllers that start while the cloud does not respond read the
// machine types from the stored records and accept submissions.
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

// TestStatusQueriesKeepWithinStoreBudget: far more status queries than the key-value store's budget
// allows neither exceed it nor keep the leader from renewing its leader lease. Every query gets a
// response.
func TestStatusQueriesKeepWithinStoreBudget(t *testing.T) {
	t.Parallel()
	w := startWorld(13, SmallShape(), 5*time.Second)
	w.submitAndWaitUntilRunning(t, 10*time.Second, array("run-000001", 2), 60)
	c, before := w.leader(), w.store.requests

	responses, queries := 0, 0
	for range 400 { // 20 s of 600 queries a second, half of them for a job that does not exist
		for i, n := range w.nodes {
			for k := range 10 {
				queries++
				n.ask(statusQuery(jobID(1+(i+k)%2)), func(int, []byte) { responses++ })
			}
		}
		w.Run(50 * time.Millisecond)
	}
	w.Run(5 * time.Second)

	if responses != queries {
		t.Errorf("%d responses to %d status queries", responses, queries)
	}
	if rate := float64(w.store.requests-before) / 25; rate > 80 {
		t.Errorf("%.0f requests to the store a second", rate)
	}
	if w.leader() != c {
		t.Error("the leader no longer leads")
	}
	w.expectRulesHeld(t)
}

// TestPartitionedLeaderStopsBeforeCancellationMustHold: a leader that a partition leaves connected
// only to some agents does not know of a cancellation. Its grace ends before the cancellation must
// have taken effect.
func TestPartitionedLeaderStopsBeforeCancellationMustHold(t *testing.T) {
	t.Parallel()
	w := startWorld(7, SmallShape(), 5*time.Second)
	u := w.submitAndWaitUntilRunning(t, 20*time.Second, array("run-000001", 8), 500)
	c := w.leader()
	leaderSide := map[string]bool{c.name: true}
	for i := range 8 {
		leaderSide[string(w.agentOf("run-000001", i).host.ID)] = true
	}

	w.disconnect(100*time.Second, packetsHeld, func(a, b string) bool { return leaderSide[a] != leaderSide[b] })
	w.Run(2 * time.Second)
	w.waitFor(t, 20*time.Second, "another controller leads", func() bool { return w.leader() != nil && w.leader() != c })
	u.cancel()
	w.Run(150 * time.Second)

	if !u.over {
		t.Error("the job is not cancelled")
	}
	w.expectRulesHeld(t)
}

// TestPeersRelayHeartbeatsAcrossZonePartition: during a partition between two zones, the heartbeats
// of agents in the zone without the leader reach the leader through its peers, and no task is lost.
func TestPeersRelayHeartbeatsAcrossZonePartition(t *testing.T) {
	t.Parallel()
	w := startWorld(8, SmallShape(), 5*time.Second)
	u := w.submitAndWaitUntilRunning(t, 60*time.Second, array("run-000001", 12), 120)
	c, starts := w.leader(), w.rules.started
	bridge := w.otherControllers(c)[0].name // is connected to all hosts in both zones

	w.disconnect(60*time.Second, packetsDropped, func(a, b string) bool {
		return a != bridge && b != bridge && w.inDifferentZones(a, b)
	})

	w.waitUntilOver(t, 200*time.Second, u)
	w.expectStarts(t, starts, 0, "during the partition")
	w.expectRulesHeld(t)
}

// TestArrayOfManyRecordsSurvivesFailover: a job whose tasks fill many records stays within the
// key-value store's limits and survives a change of leader.
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
			t.Errorf("the record %s is left", k)
		}
	}
	w.expectRulesHeld(t)
}

// TestLargestJobSurvivesFailoverAndIsCancelled: a job of the largest size is accepted, stays within
// every limit of the key-value store, survives a change of leader and is cancelled in time.
func TestLargestJobSurvivesFailoverAndIsCancelled(t *testing.T) {
	t.Parallel()
	w := startWorld(14, SmallShape(), 5*time.Second)
	job := withTaskResources(array("run-000001", 100_000), 0.2, 0, 0.5)
	u := w.submit(arrival{job: job, run: 10, cancelAfter: 30 * time.Second})
	w.Run(15 * time.Second)
	if w.rules.started == 0 {
		t.Error("no task starts")
	}

	w.leader().crash(2 * time.Second)
	w.Run(15 * time.Second)

	w.waitUntilOver(t, 30*time.Second, u)
	w.Run(60 * time.Second)
	if _, ok := w.store.keys["g/j/run-000001"]; ok {
		t.Error("its main record is still among those of unfinished jobs")
	}
	w.expectRulesHeld(t)
}

// TestGangRestartsOnSpareFromCheckpoint: a gang that loses a machine restarts at once from its
// checkpoint, on a spare machine that is already up.
func TestGangRestartsOnSpareFromCheckpoint(t *testing.T) {
	t.Parallel()
	w := startWorld(10, SmallShape(), 6*time.Second)
	job := withCheckpoints(gangJob("run-000001", 2), 10, 2)
	job.GPUs, job.OneZone = 2, true
	u := w.submitAndWaitUntilRunning(t, 10*time.Second, job, 60)
	w.Run(25 * time.Second)

	w.loseAgent(w.agentOf("run-000001", 0))

	// The machine is silent, two probes fail and it is deleted, well before its lease would expire.
	if took := w.waitUntilRunning(t, 24*time.Second, u); took > 18*time.Second {
		t.Errorf("the gang runs again after %v", took)
	}
	if u.job.progress[0] < 20 {
		t.Errorf("saved progress %v s, want at least 20 s", u.job.progress[0])
	}
	w.waitUntilOver(t, 120*time.Second, u)
	w.expectRulesHeld(t)
}

// TestZonePartitionedFromAllPeersLosesNoTask: a partition between two zones that leaves no path
// between their controllers loses no running task. The heartbeats of the zone without the leader
// reach the leader through the key-value store, and the leader's responses return the same way.
func TestZonePartitionedFromAllPeersLosesNoTask(t *testing.T) {
	t.Parallel()
	for _, handling := range []packetHandling{packetsHeld, packetsDropped} {
		t.Run(handling.String(), func(t *testing.T) {
			t.Parallel()
			w := startWorld(11, SmallShape(), 5*time.Second)
			u := w.submitAndWaitUntilRunning(t, 60*time.Second, array("run-000001", 12), 150)
			starts := w.rules.started

			w.disconnect(90*time.Second, handling, w.inDifferentZones)
			w.Run(20 * time.Second)
			needsBothZones := w.submit(arrival{job: array("run-000002", 16), run: 10})

			w.waitUntilOver(t, 60*time.Second, needsBothZones)
			w.waitUntilOver(t, 200*time.Second, u)
			w.expectStarts(t, starts, 16, "during the partition")
			w.expectRulesHeld(t)
		})
	}
}
