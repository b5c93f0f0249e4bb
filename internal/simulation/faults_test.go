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

// finishAndCheck lets a day come to its end and checks whom it served.
func (w *World) finishAndCheck(t *testing.T, limit time.Duration) {
	t.Helper()
	for end := w.Now.Add(limit); !over(w.users...) && w.Now.Before(end); {
		w.Run(time.Second)
	}
	w.checkServed(maxLargestJobWait)
	w.expectRulesHeld(t)
	if !over(w.users...) {
		t.Errorf("not all is over within %v", limit)
	}
}

// TestMachineThatReceivesNothingIsDeleted: a machine whose reports arrive, but which no answer and no
// order reaches, keeps neither a gang nor a cancellation waiting. Its lease
// runs out again and again; it is noticed, takes no work and is returned.
func TestMachineThatReceivesNothingIsDeleted(t *testing.T) {
	t.Parallel()
	for _, busy := range []bool{true, false} {
		for _, fate := range []packetHandling{packetsHeld, packetsDropped} {
			t.Run(fmt.Sprintf("busy %v, %v", busy, fate), func(t *testing.T) {
				t.Parallel()
				shape := SmallShape()
				shape.Machines, shape.Capacity = 2, 3 // one a zone, and one that can be rented
				w := startWorld(21, shape, 6*time.Second)
				id := w.cloud.hosts[0].ID
				zone := w.zoneOf[string(id)]
				if busy {
					job := array("run-000001", 2)
					job.Zone = zone
					u := w.submitAndWaitUntilRunning(t, 20*time.Second, job, 500)
					w.after(time.Second+time.Millisecond, u.cancel)
				}

				w.blockInbound(id, 600*time.Second, fate)
				w.Run(time.Second)
				wholeMachine := gangJob("run-000010", 4)
				wholeMachine.Zone = zone
				u := w.submit(arrival{job: wholeMachine, run: 15})

				took := w.waitUntilOver(t, 100*time.Second, u)
				t.Logf("done after %v", took)
				if w.agents[id] != nil {
					t.Error("the machine that receives nothing is still rented")
				}
				w.Run(secs(w.shape.Agents.CancelS))
				w.expectRulesHeld(t)
			})
		}
	}
}

// TestGangMovesOffMachineThatReceivesNothing: work on a not receiving machine is given back by its own
// newer session or its deletion, and a job that waits is started elsewhere.
func TestGangMovesOffMachineThatReceivesNothing(t *testing.T) {
	t.Parallel()
	w := startWorld(22, SmallShape(), 6*time.Second)
	job := withCheckpoints(gangJob("run-000001", 4), 10, 2)
	job.OneZone = true
	u := w.submitAndWaitUntilRunning(t, 20*time.Second, job, 80)
	id := w.agentOf("run-000001", 0).host.ID

	w.blockInbound(id, 400*time.Second, packetsDropped)
	w.Run(secs(w.shape.Agents.LeaseS) + 2*time.Second)

	took := w.waitFor(t, 60*time.Second, "it runs elsewhere", func() bool {
		return w.running(u) && w.agentOf("run-000001", 0).host.ID != id
	})
	t.Logf("repaired %v after the lease ran out", took)
	w.waitUntilOver(t, 120*time.Second, u)
	w.expectRulesHeld(t)
}

// TestLateHeartbeatCopiesBreakNoRule: copies of reports, late by up to four leases, reach every
// controller while leaders change and machines are lost and returned.
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

	w.waitFor(t, 500*time.Second, "all is over", func() bool {
		return !slices.ContainsFunc(w.users, func(u *user) bool { return !u.over && !u.job.alwaysFails })
	})
	w.expectRulesHeld(t)
}

// TestHeartbeatCopyDoesNotReviveDeletedMachine: a copy of a report of a machine that was returned
// under an earlier leader is no sign of life to a later one: it gets no order
// that means anything, no record, no work, and does not keep the name alive.
func TestHeartbeatCopyDoesNotReviveDeletedMachine(t *testing.T) {
	t.Parallel()
	w := startWorld(24, SmallShape(), 6*time.Second)
	u := w.submitAndWaitUntilRunning(t, 20*time.Second, array("run-000001", 4), 10)
	agent := w.agentOf("run-000001", 0)
	old := encode(agent.heartbeat())
	w.waitUntilOver(t, 60*time.Second, u)
	w.waitFor(t, 300*time.Second, "the machine is returned", func() bool { return w.agents[agent.host.ID] == nil })
	w.Run(20 * time.Second)
	w.leader().crash(time.Second)
	w.waitForLeader(t, 10*time.Second)
	starts, rented := w.rules.started, len(w.cloud.rented)

	for _, c := range w.nodes {
		w.expectOnlyStopCommands(t, c, old)
	}
	w.Run(2 * time.Second)

	w.expectNoMachineRecord(t, agent.host.ID)
	next := w.submit(arrival{after: time.Second, job: array("run-000002", 2), run: 10})
	w.waitUntilOver(t, 120*time.Second, next)
	w.expectStarts(t, starts, 2, "for the 2 tasks of the next job")
	if n := len(w.cloud.rented) - rented; n > 2 {
		t.Errorf("%d rentals", n)
	}
	w.expectRulesHeld(t)
}

// expectOnlyStopCommands shows a node a copy of a report and checks that its answer orders nothing
// but stops.
func (w *World) expectOnlyStopCommands(t *testing.T, c *controller, copied []byte) {
	t.Helper()
	r, err := protocol.ParseHeartbeat(copied)
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
				t.Errorf("%s answers the copy with %s", c.name, o.Kind)
			}
		}
	})
}

// expectNoMachineRecord checks that no record of machines names one.
func (w *World) expectNoMachineRecord(t *testing.T, id protocol.MachineID) {
	t.Helper()
	for key, e := range w.store.keys {
		if strings.HasPrefix(key, storage.MachineRecordPrefix) && containsMachine(e.Value, id) {
			t.Errorf("%s names the machine that is gone: %s", key, e.Value)
		}
	}
}

// containsMachine says whether a record of machines names one.
func containsMachine(value []byte, id protocol.MachineID) bool {
	var record storage.MachineRecord
	decode(value, &record)
	return slices.ContainsFunc(record.Machines, func(m storage.MachineEntry) bool { return m.ID == id })
}

// TestHeartbeatCopyOfDeadMachineGetsNoWork: a machine dies with its leader, and the next leader's
// first sign of it is a late duplicate of an old report. It gets no work.
func TestHeartbeatCopyOfDeadMachineGetsNoWork(t *testing.T) {
	t.Parallel()
	w := startWorld(26, SmallShape(), 6*time.Second)
	u := w.submitAndWaitUntilRunning(t, 20*time.Second, array("run-000001", 4), 10)
	agent := w.agentOf("run-000001", 0)
	w.waitUntilOver(t, 60*time.Second, u)
	old := encode(agent.heartbeat())

	w.loseAgent(agent)
	w.leader().crash(time.Second)
	w.waitForLeader(t, 10*time.Second)
	w.Run(4 * time.Second)
	w.deliverHeartbeatCopy(w.leader(), old)

	// Its image is there, so it would be the first choice.
	w.submitAndWaitUntilRunning(t, 5*time.Second, array("run-000002", 4), 10)
	w.expectRulesHeld(t)
}

// TestIsolatedLeaderRefusesUsersAndAgents: a leader without the key-value store and the other
// controllers, but with its workers, stops answering them within its bound and
// sends them away; users who ask it are told at once to come back elsewhere.
func TestIsolatedLeaderRefusesUsersAndAgents(t *testing.T) {
	t.Parallel()
	for _, fate := range []packetHandling{packetsHeld, packetsDropped} {
		t.Run(fate.String(), func(t *testing.T) {
			t.Parallel()
			w := startWorld(25, SmallShape(), 6*time.Second)
			u := w.submitAndWaitUntilRunning(t, 20*time.Second, array("run-000001", 6), 100)
			c, starts := w.leader(), w.rules.started

			w.isolate(c, 100*time.Second, fate)

			w.waitFor(t, 10*time.Second, "another leads", func() bool {
				return slices.ContainsFunc(w.otherControllers(c), func(o *controller) bool { return o.node.Leading() })
			})
			w.expectRefusals(t, c)
			w.waitUntilOver(t, 200*time.Second, u)
			w.expectStarts(t, starts, 0, "across the isolation")
			w.expectRulesHeld(t)
		})
	}
}

// expectRefusals checks that an isolated leader refuses users at once, and once its
// authority is over its workers.
func (w *World) expectRefusals(t *testing.T, c *controller) {
	t.Helper()
	w.Run(8 * time.Second)
	if c.node.Ready() {
		t.Error("the isolated node says it is ready")
	}
	status, began := 0, w.Now
	note := func(s int, _ []byte) { status = s }
	c.ask(statusQuery("run-000001"), note)
	w.waitFor(t, 200*time.Millisecond, "the user is told to go elsewhere", func() bool { return status != 0 })
	if status != 503 {
		t.Errorf("answered %d after %v", status, w.Now.Sub(began))
	}
	w.Run(secs(w.shape.Agents.CancelS) - secs(w.shape.Agents.LeaseS))
	if c.node.Leading() {
		t.Error("it still leads")
	}
	status = 0
	report := w.agentOf("run-000001", 0).heartbeat()
	c.ask(func(id uint64) coordination.Event { return coordination.AgentHeartbeat{ID: id, Heartbeat: report} }, note)
	w.waitFor(t, 4*time.Second, "the worker is sent away", func() bool { return status == 421 || status == 503 })
}

// TestLeaderIsElectedInTimeAfterRapidRestarts: processes that are back within a fraction of a second, in the
// middle of an election, of a transaction, and several at once.
func TestLeaderIsElectedInTimeAfterRapidRestarts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := New(30+seed, logs())
			w.maxCopyDelay = 5 * time.Second // reports of their former lives come late
			w.Run(5 * time.Second)
			for i := range 8 {
				w.submit(arrival{after: time.Duration(i) * 2 * time.Second, job: array(jobID(i), 3), run: 10})
			}

			w.restartRepeatedly(12)
			w.maxCopyDelay = 0
			w.faultsEndedAt = w.Now

			if took := w.waitForLeader(t, 15*time.Second); took > 6*time.Second {
				t.Errorf("a leader after %v", took)
			}
			w.waitUntilOver(t, 200*time.Second, w.users...)
			w.checkServed(maxLargestJobWait)
			w.expectRulesHeld(t)
		})
	}
}

// restartRepeatedly ends leaders in the middle of transactions and other nodes in the middle of
// elections; all are back within a fraction of a second.
func (w *World) restartRepeatedly(times int) {
	for i := range times {
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

// TestLargestGangsStartAfterLossOfThirdOfMachines: a third of a thousand machines dies at once while a burst of
// gangs comes; the largest gangs begin in time, nobody starves.
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
