package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// finishAndCheck runs the world until all jobs are over, for at most limit. It checks that at least
// half of the jobs of every class and team were done, that the largest jobs started in time and
// that no rule was broken.
func (w *World) finishAndCheck(t *testing.T, limit time.Duration) {
	t.Helper()
	for end := w.Now.Add(limit); !over(w.users...) && w.Now.Before(end); {
		w.Run(time.Second)
	}
	w.checkServed(maxLargestJobWait)
	w.expectRulesHeld(t)
	if !over(w.users...) {
		t.Errorf("not all jobs are over within %v", limit)
	}
}

// TestMachineThatReceivesNothingIsDeleted: a machine's heartbeats arrive, but no response and no
// command reaches the machine, so that its lease expires again and again. The leader must notice
// this, place nothing on the machine and delete it. Neither a gang nor a cancellation may be
// delayed by the machine.
func TestMachineThatReceivesNothingIsDeleted(t *testing.T) {
	t.Parallel()
	for _, busy := range []bool{true, false} {
		for _, handling := range []packetHandling{packetsHeld, packetsDropped} {
			t.Run(fmt.Sprintf("busy %v, %v", busy, handling), func(t *testing.T) {
				t.Parallel()
				shape := SmallShape()
				shape.Machines, shape.Capacity = 2, 3 // one per zone, and one more that can be created
				w := startWorld(21, shape, 6*time.Second)
				id := w.cloud.hosts[0].ID
				zone := w.zoneOf[string(id)]
				if busy {
					job := array("run-000001", 2)
					job.Zone = zone
					u := w.submitAndWaitUntilRunning(t, 20*time.Second, job, 500)
					w.after(time.Second+time.Millisecond, u.cancel)
				}

				w.blockInbound(id, 600*time.Second, handling)
				w.Run(time.Second)
				wholeMachine := gangJob("run-000010", 4)
				wholeMachine.Zone = zone
				u := w.submit(arrival{job: wholeMachine, run: 15})

				took := w.waitUntilOver(t, 100*time.Second, u)
				t.Logf("gang done after %v", took)
				if w.agents[id] != nil {
					t.Error("the machine that receives nothing is not deleted")
				}
				w.Run(secs(w.shape.Agents.CancelS))
				w.expectRulesHeld(t)
			})
		}
	}
}

// TestGangMovesOffMachineThatReceivesNothing: the attempts on a machine that receives nothing are
// released when the machine reports a newer incarnation or is deleted. The gang, which waits for
// this, must then start on other machines.
func TestGangMovesOffMachineThatReceivesNothing(t *testing.T) {
	t.Parallel()
	w := startWorld(22, SmallShape(), 6*time.Second)
	job := withCheckpoints(gangJob("run-000001", 4), 10, 2)
	job.OneZone = true
	u := w.submitAndWaitUntilRunning(t, 20*time.Second, job, 80)
	id := w.agentOf("run-000001", 0).host.ID

	w.blockInbound(id, 400*time.Second, packetsDropped)
	w.Run(secs(w.shape.Agents.LeaseS) + 2*time.Second)

	took := w.waitFor(t, 60*time.Second, "run-000001 runs on another machine", func() bool {
		return w.running(u) && w.agentOf("run-000001", 0).host.ID != id
	})
	t.Logf("the gang runs again %v after the agent lease expired", took)
	w.waitUntilOver(t, 120*time.Second, u)
	w.expectRulesHeld(t)
}

// TestLateHeartbeatCopiesBreakNoRule: copies of heartbeats, up to four agent leases late, reach
// random controllers while leaders change and machines are lost and deleted.
func TestLateHeartbeatCopiesBreakNoRule(t *testing.T) {
	t.Parallel()
	w := New(23, logs())
	w.maxCopyDelay = 4 * secs(w.shape.Agents.LeaseS)
	w.submitMixedJobs(24, 120*time.Second)

	for range 5 {
		w.Run(25 * time.Second)
		if c := w.leader(); c != nil {
			c.crash(time.Second)
		}
		if list := w.agentsInCreationOrder(); len(list) > 0 {
			w.cloud.destroy(list[0].host)
		}
	}

	w.waitFor(t, 500*time.Second, "all jobs are over", func() bool {
		return !slices.ContainsFunc(w.users, func(u *user) bool { return !u.over && !u.job.alwaysFails })
	})
	w.expectRulesHeld(t)
}

// TestHeartbeatCopyDoesNotReviveDeletedMachine: a late copy of a heartbeat comes from a machine
// that was deleted under an earlier leader. The current leader must not take the copy as proof that
// the machine is up: it may respond with stop commands only, and it neither records the machine,
// nor places work on it, nor keeps its ID in use.
func TestHeartbeatCopyDoesNotReviveDeletedMachine(t *testing.T) {
	t.Parallel()
	w := startWorld(24, SmallShape(), 6*time.Second)
	u := w.submitAndWaitUntilRunning(t, 20*time.Second, array("run-000001", 4), 10)
	agent := w.agentOf("run-000001", 0)
	oldHeartbeat := encode(agent.heartbeat())
	w.waitUntilOver(t, 60*time.Second, u)
	w.waitFor(t, 300*time.Second, "the machine is deleted", func() bool { return w.agents[agent.host.ID] == nil })
	w.Run(20 * time.Second)
	w.leader().crash(time.Second)
	w.waitForLeader(t, 10*time.Second)
	starts, created := w.rules.started, len(w.cloud.created)

	for _, c := range w.nodes {
		w.expectOnlyStopCommands(t, c, oldHeartbeat)
	}
	w.Run(2 * time.Second)

	w.expectNoMachineRecord(t, agent.host.ID)
	next := w.submit(arrival{after: time.Second, job: array("run-000002", 2), run: 10})
	w.waitUntilOver(t, 120*time.Second, next)
	w.expectStarts(t, starts, 2, "for the 2 tasks of the next job")
	if n := len(w.cloud.created) - created; n > 2 {
		t.Errorf("%d requests to create machines, want at most 2", n)
	}
	w.expectRulesHeld(t)
}

// expectOnlyStopCommands sends a copy of a heartbeat to a controller and checks that the
// response contains no commands except stops.
func (w *World) expectOnlyStopCommands(t *testing.T, c *controller, heartbeatCopy []byte) {
	t.Helper()
	r, err := protocol.ParseHeartbeat(heartbeatCopy)
	if err != nil {
		t.Fatal(err)
	}
	c.ask(func(id uint64) coordination.Event { return coordination.AgentHeartbeat{ID: id, Heartbeat: r} }, func(status int, body []byte) {
		var a protocol.HeartbeatResponse
		if status == 200 {
			decode(body, &a)
		}
		for _, o := range a.Commands {
			if o.Kind != protocol.CommandStop {
				t.Errorf("%s responds to the copy with the command %s", c.name, o.Kind)
			}
		}
	})
}

// expectNoMachineRecord checks that no machine record in the store contains a machine.
func (w *World) expectNoMachineRecord(t *testing.T, id protocol.MachineID) {
	t.Helper()
	for key, e := range w.store.keys {
		if strings.HasPrefix(key, storage.MachineRecordPrefix) && containsMachine(e.Value, id) {
			t.Errorf("%s still contains the deleted machine: %s", key, e.Value)
		}
	}
}

// containsMachine reports whether an encoded machine record contains a machine.
func containsMachine(value []byte, id protocol.MachineID) bool {
	var record storage.MachineRecord
	decode(value, &record)
	return slices.ContainsFunc(record.Machines, func(m storage.MachineEntry) bool { return m.ID == id })
}

// TestHeartbeatCopyOfDeadMachineGetsNoWork: a machine and the leader fail together, and the first
// heartbeat of the machine that the next leader gets is a late copy of an old one. The leader must
// place no work on the machine.
func TestHeartbeatCopyOfDeadMachineGetsNoWork(t *testing.T) {
	t.Parallel()
	w := startWorld(26, SmallShape(), 6*time.Second)
	u := w.submitAndWaitUntilRunning(t, 20*time.Second, array("run-000001", 4), 10)
	agent := w.agentOf("run-000001", 0)
	w.waitUntilOver(t, 60*time.Second, u)
	oldHeartbeat := encode(agent.heartbeat())

	w.loseAgent(agent)
	w.leader().crash(time.Second)
	w.waitForLeader(t, 10*time.Second)
	w.Run(4 * time.Second)
	w.deliverHeartbeatCopy(w.leader(), oldHeartbeat)

	// The machine has the image, so the scheduler would prefer it.
	w.submitAndWaitUntilRunning(t, 5*time.Second, array("run-000002", 4), 10)
	w.expectRulesHeld(t)
}

// TestIsolatedLeaderRefusesUsersAndAgents: a leader is cut off from the store and the other
// controllers but still reaches its agents. It must respond to users at once with 503, so that they
// go to another controller. It must stop accepting heartbeats when its authority ends, and send the
// agents to another controller.
func TestIsolatedLeaderRefusesUsersAndAgents(t *testing.T) {
	t.Parallel()
	for _, handling := range []packetHandling{packetsHeld, packetsDropped} {
		t.Run(handling.String(), func(t *testing.T) {
			t.Parallel()
			w := startWorld(25, SmallShape(), 6*time.Second)
			u := w.submitAndWaitUntilRunning(t, 20*time.Second, array("run-000001", 6), 100)
			c, starts := w.leader(), w.rules.started

			w.isolate(c, 100*time.Second, handling)

			w.waitFor(t, 10*time.Second, "another controller leads", func() bool {
				return slices.ContainsFunc(w.otherControllers(c), func(o *controller) bool { return o.node.Leading() })
			})
			w.expectRefusals(t, c)
			w.waitUntilOver(t, 200*time.Second, u)
			w.expectStarts(t, starts, 0, "during the isolation")
			w.expectRulesHeld(t)
		})
	}
}

// expectRefusals checks that an isolated leader refuses users at once, and agents when its
// authority has ended.
func (w *World) expectRefusals(t *testing.T, c *controller) {
	t.Helper()
	w.Run(8 * time.Second)
	if c.node.Ready() {
		t.Error("the isolated controller reports that it is ready")
	}
	status, askedAt := 0, w.Now
	recordStatus := func(s int, _ []byte) { status = s }
	c.ask(statusQuery("run-000001"), recordStatus)
	w.waitFor(t, 200*time.Millisecond, "the user gets a response", func() bool { return status != 0 })
	if status != 503 {
		t.Errorf("the user gets status %d after %v, want 503", status, w.Now.Sub(askedAt))
	}
	w.Run(secs(w.shape.Agents.CancelS) - secs(w.shape.Agents.LeaseS))
	if c.node.Leading() {
		t.Error("the isolated controller still leads")
	}
	status = 0
	agentHeartbeat := w.agentOf("run-000001", 0).heartbeat()
	c.ask(func(id uint64) coordination.Event {
		return coordination.AgentHeartbeat{ID: id, Heartbeat: agentHeartbeat}
	}, recordStatus)
	w.waitFor(t, 4*time.Second, "the agent is sent to another controller", func() bool { return status == 421 || status == 503 })
}

// TestLeaderIsElectedInTimeAfterRapidRestarts: controllers crash during elections and transactions,
// also several at once, and restart within a fraction of a second. Afterwards a leader must be
// elected within 6 s.
func TestLeaderIsElectedInTimeAfterRapidRestarts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := New(30+seed, logs())
			w.maxCopyDelay = 5 * time.Second // heartbeats from before a restart also arrive late
			w.Run(5 * time.Second)
			for i := range 8 {
				w.submit(arrival{after: time.Duration(i) * 2 * time.Second, job: array(jobID(i), 3), run: 10})
			}

			w.restartRepeatedly(12)
			w.maxCopyDelay = 0
			w.faultsEndedAt = w.Now

			if took := w.waitForLeader(t, 15*time.Second); took > 6*time.Second {
				t.Errorf("a leader is elected only after %v", took)
			}
			w.waitUntilOver(t, 200*time.Second, w.users...)
			w.checkServed(maxLargestJobWait)
			w.expectRulesHeld(t)
		})
	}
}

// restartRepeatedly crashes leaders during transactions and other controllers during elections. All
// restart within a fraction of a second.
func (w *World) restartRepeatedly(rounds int) {
	for i := range rounds {
		if c := w.leader(); c != nil && i%3 == 0 {
			c.crash(w.between(5*time.Millisecond, 300*time.Millisecond))
		}
		w.Run(w.between(time.Millisecond, 60*time.Millisecond))
		for _, c := range w.nodes[:1+i%3] {
			c.crash(w.between(5*time.Millisecond, 400*time.Millisecond))
		}
		w.Run(w.between(100*time.Millisecond, 3*time.Second))
	}
}

// TestLargestGangsStartAfterLossOfThirdOfMachines: in a deployment for a thousand machines, a third
// of the machines fails at once while a burst of gangs arrives. The largest gangs must start in
// time, and no class or team may starve.
func TestLargestGangsStartAfterLossOfThirdOfMachines(t *testing.T) {
	t.Parallel()
	w := NewWithShape(3, logs(), thousandMachineShape())
	w.submitJobBurst(120, 60*time.Second)
	w.Run(60 * time.Second)

	w.loseOldestAgents(len(w.cloud.hosts) / 3)
	for i := range 12 {
		job := withQueue(largeGang(jobID(900+i)), "gang", "team-0", "high")
		w.submit(arrival{after: time.Duration(i) * time.Second, job: job, run: 60})
	}
	w.Run(30 * time.Second)
	w.leader().crash(time.Second)
	w.Run(10 * time.Second)
	w.faultsEndedAt = w.Now
	w.finishAndCheck(t, 500*time.Second)
}
