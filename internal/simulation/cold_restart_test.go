package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// These tests crash all controllers at once while the agents keep running, and restart them.
// Valid attempts keep running, and nothing is started or stopped twice.

// smallWithRecovery returns the small shape with the recovery phase enabled.
func smallWithRecovery() Shape {
	s := SmallShape()
	s.Recovery = true
	return s
}

// coldRestartWorld is a world that runs a gang and an array when its controllers are lost.
type coldRestartWorld struct {
	*World
	t              *testing.T
	gang           *user
	array          *user
	commandsBefore [3]int // commands executed before resetCounts, by kind
	starts         int    // tasks started before resetCounts
}

// newColdRestartWorld returns a world in which a gang on two machines and an array run.
func newColdRestartWorld(t *testing.T, seed uint64, shape Shape) *coldRestartWorld {
	t.Helper()
	w := startWorld(seed, shape, 6*time.Second)
	g := gangJob("run-000001", 6)
	withCheckpoints(g, 10, 2)
	c := &coldRestartWorld{World: w, t: t, gang: w.submit(arrival{job: g, run: 150}), array: w.submit(arrival{job: array("run-000002", 5), run: 150})}
	w.waitUntilRunning(t, 40*time.Second, c.gang, c.array)
	w.Run(4 * time.Second)
	c.resetCounts()
	return c
}

// resetCounts makes the counts of commands and starts begin at zero.
func (c *coldRestartWorld) resetCounts() {
	c.commandsBefore, c.starts = c.Audit.Orders, c.rules.started
}

// crashAllStaggered crashes all controllers. The first one restarts after downFor, each further
// one after another stagger.
func (c *coldRestartWorld) crashAllStaggered(downFor, stagger time.Duration) {
	for i, n := range c.nodes {
		n.crash(downFor + time.Duration(i)*stagger)
	}
}

// idleAgent returns an agent without tasks.
func (c *coldRestartWorld) idleAgent() *agent {
	for _, h := range c.cloud.hosts {
		if agent := c.agents[h.ID]; agent != nil && len(agent.tasks) == 0 {
			return agent
		}
	}
	c.t.Fatal("no agent is idle")
	return nil
}

// commandsExecuted returns how many commands of a kind the agents have executed since
// resetCounts.
func (c *coldRestartWorld) commandsExecuted(kind int) int {
	return c.Audit.Orders[kind] - c.commandsBefore[kind]
}

// expectNothingStartedOrStopped checks that since resetCounts no task has started, and the agents
// have executed no start or stop command.
func (c *coldRestartWorld) expectNothingStartedOrStopped(what string) {
	c.t.Helper()
	c.expectStarts(c.t, c.starts, 0, what)
	if starts, stops := c.commandsExecuted(needStart), c.commandsExecuted(needStop); starts+stops > 0 {
		c.t.Errorf("%s: %d start and %d stop commands executed, want none", what, starts, stops)
	}
}

// recoverySummary returns the leader's summary of its recovery, an empty one if no controller
// leads.
func (c *coldRestartWorld) recoverySummary() reconcile.Summary {
	if n := c.leader(); n != nil {
		return n.node.TakeMetrics().Recovery
	}
	return reconcile.Summary{}
}

// waitUntilRecovered waits until the leader's recovery ends, and returns its summary.
func (c *coldRestartWorld) waitUntilRecovered(limit time.Duration) reconcile.Summary {
	c.t.Helper()
	var s reconcile.Summary
	c.waitFor(c.t, limit, "the recovery ends", func() bool {
		s = c.recoverySummary()
		return !s.Began.IsZero() && !s.Active()
	})
	return s
}

// finishBothJobs waits until both jobs are done, and checks the rules.
func (c *coldRestartWorld) finishBothJobs() {
	c.t.Helper()
	c.waitUntilOver(c.t, 400*time.Second, c.gang, c.array)
	c.Run(5 * time.Second)
	c.expectRulesHeld(c.t)
}

// TestColdRestartKeepsWork: all controllers crash and restart within the agents' lease, at once
// or seconds apart, all in the current version or some in version 0.3. All tasks keep running.
func TestColdRestartKeepsWork(t *testing.T) {
	t.Parallel()
	for name, scenario := range map[string]struct {
		downFor, stagger time.Duration
		releases         []release
	}{
		"at once":                      {2 * time.Second, 0, nil},
		"a fraction of a second apart": {100 * time.Millisecond, 70 * time.Millisecond, nil},
		"seconds apart":                {4 * time.Second, 3 * time.Second, nil},
		"mixed with 0.3":               {2 * time.Second, 2 * time.Second, []release{release03, current, release03}},
		"two in 0.3 restart first":     {time.Second, 4 * time.Second, []release{release03, release03, current}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newColdRestartWorld(t, 41, smallWithRecovery())
			for i, r := range scenario.releases {
				c.release[c.nodes[i].name] = r
			}
			c.crashAllStaggered(scenario.downFor, scenario.stagger)
			c.Run(scenario.downFor)
			s := c.waitUntilRecovered(20 * time.Second)
			if s.Reason != reconcile.EndAllAccountedFor || s.Classes[reconcile.Matching] != 11 || s.RecordedAttempts != 11 {
				t.Errorf("unexpected recovery summary: %+v", s)
			}
			c.Run(15 * time.Second)
			c.expectNothingStartedOrStopped(name)
			c.finishBothJobs()
		})
	}
}

// TestColdRestartBeyondLeaseStartsEachTaskOnce: the controllers are down for longer than the
// agents' lease. Every task starts again exactly once, and nothing is stopped.
func TestColdRestartBeyondLeaseStartsEachTaskOnce(t *testing.T) {
	t.Parallel()
	c := newColdRestartWorld(t, 42, smallWithRecovery())
	c.crashAllStaggered(secs(c.shape.Agents.LeaseS)+9*time.Second, 0)
	c.Run(secs(c.shape.Agents.LeaseS) + 9*time.Second)
	c.waitUntilRunning(t, 60*time.Second, c.gang, c.array)
	c.expectStarts(t, c.starts, 11, "after the agents' leases expired")
	if n := c.commandsExecuted(needStop); n != 0 {
		t.Errorf("%d stop commands executed, want none", n)
	}
	c.finishBothJobs()
}

// TestColdRestartHalfReportedGangIsNotBroken: after the restart, one of a gang's two machines
// sends its first heartbeat much later than the other. The gang must not be treated as broken.
func TestColdRestartHalfReportedGangIsNotBroken(t *testing.T) {
	t.Parallel()
	c := newColdRestartWorld(t, 43, smallWithRecovery())
	c.crashAllStaggered(time.Second, 0)
	lateAgent := c.agentOf("run-000001", 0)
	lateAgent.opensNoConnections = true
	c.after(14*time.Second, func() { lateAgent.opensNoConnections = false })
	c.Run(25 * time.Second)
	c.expectNothingStartedOrStopped("half of the gang reported")
	c.finishBothJobs()
}

// TestColdRestartRecordsEndOfTaskOnce: tasks end, and only the leader that then crashes learns of
// it. Its transaction that records the ends fails in a store outage, or is committed late and
// without a response. The ends are recorded once, and the tasks do not start again.
func TestColdRestartRecordsEndOfTaskOnce(t *testing.T) {
	t.Parallel()
	for _, late := range []bool{true, false} {
		t.Run(fmt.Sprint("late transactions ", late), func(t *testing.T) {
			t.Parallel()
			c := newColdRestartWorld(t, 44, smallWithRecovery())
			short := c.submitAndWaitUntilRunning(t, 20*time.Second, array("run-000003", 2), 6)
			if late {
				c.store.delayTransactions(1, 20*time.Second)
			} else {
				c.store.outage(9 * time.Second)
			}
			c.waitFor(t, 20*time.Second, "the short tasks are done", func() bool { return short.job.done[0] && short.job.done[1] })
			c.Run(700 * time.Millisecond) // the leader receives the heartbeats
			c.resetCounts()

			c.crashAllStaggered(2*time.Second, 0)

			c.waitUntilOver(t, 40*time.Second, short)
			c.expectNothingStartedOrStopped("after the tasks ended")
			c.finishBothJobs()
		})
	}
}

// TestColdRestartHonoursConfirmedCancellation: a cancellation is confirmed just before all
// controllers crash. It takes effect in time, and no task of the job starts again.
func TestColdRestartHonoursConfirmedCancellation(t *testing.T) {
	t.Parallel()
	c := newColdRestartWorld(t, 45, smallWithRecovery())
	c.array.cancel()
	c.waitUntilOver(t, 5*time.Second, c.array)
	c.crashAllStaggered(3*time.Second, time.Second)
	c.Run(secs(c.shape.Agents.CancelS) + time.Second)
	if c.rules.startsAfterCancellation > 0 {
		t.Errorf("%d tasks started after the cancellation", c.rules.startsAfterCancellation)
	}
	c.finishBothJobs()
}

// TestColdRestartLateHeartbeatCopiesStopNothing: copies of heartbeats from before the crash reach
// the new leader before any agent does. They contain tasks that have ended since, and lack tasks
// that run now. They must not cause a stop, and must not count as evidence of what runs.
func TestColdRestartLateHeartbeatCopiesStopNothing(t *testing.T) {
	t.Parallel()
	w := NewWithShape(46, logs(), smallWithRecovery())
	w.Run(6 * time.Second)
	waves := array("run-000009", 12)
	waves.Team = "red" // the team's limit allows ten tasks at once
	u := w.submit(arrival{job: waves, run: 25})
	w.waitFor(t, 60*time.Second, "ten tasks run", func() bool { return w.rules.gpusInUse["red"] == 10 })
	w.Run(10 * time.Second)
	w.recordHeartbeats = true
	w.Run(4 * time.Second)
	w.recordHeartbeats = false
	copies := w.recordedHeartbeats
	w.waitFor(t, 60*time.Second, "the last two tasks run", func() bool { return w.rules.placed["run-000009/11"] != nil && w.rules.gpusInUse["red"] == 2 })
	w.Run(3 * time.Second)
	c := &coldRestartWorld{World: w, t: t, gang: u, array: u}
	c.resetCounts()
	c.crashAllStaggered(time.Second, 0)
	w.waitForLeader(t, 10*time.Second)
	for _, body := range copies {
		w.deliverHeartbeatCopy(w.leader(), body)
	}
	w.Run(12 * time.Second)
	c.expectNothingStartedOrStopped("late heartbeat copies")
	if s := c.recoverySummary(); s.Commands.Stops > 0 {
		t.Errorf("%d stop commands sent in the responses to copies", s.Commands.Stops)
	}
	c.finishBothJobs()
}

// TestColdRestartStopsUnrecordedAttemptOnce: an agent runs an attempt of a job that was never
// recorded. The attempt is stopped once, and takes neither capacity nor a placement from recorded
// tasks. Unrecorded attempts of a recorded job occur only after a restore of the key-value store.
func TestColdRestartStopsUnrecordedAttemptOnce(t *testing.T) {
	t.Parallel()
	c := newColdRestartWorld(t, 47, smallWithRecovery())
	unrecorded := array("run-000077", 1)
	c.rules.jobs[unrecorded.ID] = newSimJob(unrecorded)
	c.rules.jobs[unrecorded.ID].run = 500
	c.crashAllStaggered(4*time.Second, 0)
	c.idleAgent().execute([]protocol.Command{{Kind: protocol.CommandStart, Task: "run-000077/0", Attempt: 4}})
	c.Run(3 * time.Second)
	c.resetCounts()
	c.Run(20 * time.Second)
	if c.rules.placed["run-000077/0"] != nil {
		t.Error("the unrecorded attempt still runs")
	}
	if n := c.commandsExecuted(needStop); n != 1 {
		t.Errorf("%d stop commands for one unrecorded attempt", n)
	}
	c.expectStarts(t, c.starts, 0, "while stopping the unrecorded attempt")
	c.finishBothJobs()
}

// TestColdRestartSecondFailureStartsOrStopsNothing: the new leader or the key-value store fails
// at any stage of the recovery. Nothing is started or stopped.
func TestColdRestartSecondFailureStartsOrStopsNothing(t *testing.T) {
	t.Parallel()
	for i := range 12 {
		for _, loseStore := range []bool{false, true} {
			t.Run(fmt.Sprint("after ", i*400, " ms, store outage ", loseStore), func(t *testing.T) {
				t.Parallel()
				c := newColdRestartWorld(t, uint64(48+i), smallWithRecovery())
				c.crashAllStaggered(time.Second, 300*time.Millisecond)
				c.Run(time.Second + time.Duration(i)*400*time.Millisecond)
				if loseStore {
					c.store.outage(4 * time.Second)
				} else if n := c.leader(); n != nil {
					n.crash(time.Second)
				} else {
					c.nodes[i%3].crash(time.Second)
				}
				c.Run(20 * time.Second)
				c.expectNothingStartedOrStopped("second failure")
				c.finishBothJobs()
			})
		}
	}
}

// TestColdRestartWithUnreachableZoneEndsAfterLeases: a zone stays unreachable after the restart.
// New jobs start in the other zone at once. The recovery ends when the leases of the unreachable
// agents have expired, and only then do their tasks start again.
func TestColdRestartWithUnreachableZoneEndsAfterLeases(t *testing.T) {
	t.Parallel()
	shape := smallWithRecovery()
	shape.Machines = 8
	c := newColdRestartWorld(t, 49, shape)
	c.crashAllStaggered(time.Second, 0)
	c.disconnect(130*time.Second, packetsDropped, c.acrossZoneBoundary("west"))
	c.Run(2 * time.Second)
	newJob := array("run-000006", 2)
	newJob.Zone = "east"
	u := c.submit(arrival{job: newJob, run: 10})
	if took := c.waitUntilRunning(t, 15*time.Second, u); took > 8*time.Second {
		t.Errorf("the new job started after %v, want at most 8 s", took)
	}
	s := c.waitUntilRecovered(90 * time.Second)
	t.Logf("recovery ended after %v: %s, %d silent agents", s.Ended.Sub(s.Began), s.Reason, s.SilentAgents)
	c.finishBothJobs()
}

// storeRestore is a restore of the key-value store to an earlier state.
type storeRestore struct {
	name           string
	extraRevisions protocol.Revision // discarded in addition to those of the last seconds
	agentHangs     bool              // an agent with unrecorded attempts hangs
	excessiveToken bool              // an agent holds a token far above every revision
	tasksContinue  bool              // the agents keep their recorded tasks
}

var storeRestores = []storeRestore{
	{name: "backup is seconds old", tasksContinue: true},
	{name: "60 more revisions discarded", extraRevisions: 60, tasksContinue: true},
	{name: "1000000 more revisions discarded", extraRevisions: 1_000_000},
	{name: "an agent hangs", agentHangs: true},
	{name: "an agent holds an excessive token", excessiveToken: true},
}

// TestStoreRestoreDuringColdRestartRunsNothingTwice: while all controllers are down, the
// key-value store is restored to a state from seconds or from long before. Agents then hold
// tokens that the restored store never issued, and attempts that it has no record of. If the
// leader can raise the revision above these tokens in time, all recorded attempts keep running,
// and each unrecorded attempt is stopped once. Otherwise the agents' machines are deleted, and
// their tasks start on others. Nothing runs twice, and the log names the restore as the cause.
func TestStoreRestoreDuringColdRestartRunsNothingTwice(t *testing.T) {
	t.Parallel()
	for _, restore := range storeRestores {
		t.Run(restore.name, func(t *testing.T) {
			t.Parallel()
			shape := smallWithRecovery()
			shape.Capacity = 24
			c := newColdRestartWorld(t, 50, shape)
			later := c.restoreOlderBackup(restore.extraRevisions)
			wantStarts := 3 // for the tasks of the job whose placements are lost
			if restore.excessiveToken {
				wantStarts += c.giveExcessiveToken(c.agentOf("run-000008", 0))
			}
			if restore.agentHangs {
				c.agentOf("run-000007", 0).hang(20 * time.Second)
			}

			c.Run(90 * time.Second)

			c.expectRestored(restore, wantStarts)
			c.Run(200 * time.Second)
			for i, done := range later.job.done {
				if !done {
					t.Errorf("task %d of the job without placements never completed", i)
				}
			}
			if _, stays := c.store.keys[storage.RestoreMarkerKey]; stays {
				t.Error("the restore marker was not deleted")
			}
			c.expectRulesHeld(t)
		})
	}
}

// restoreOlderBackup restores the store to an earlier state while all controllers are down. Two
// jobs were submitted after that state. The restored store has no record of run-000008. It has
// the main record of run-000007, but without placements. The user of run-000007 is returned.
func (c *coldRestartWorld) restoreOlderBackup(extraRevisions protocol.Revision) (later *user) {
	c.t.Helper()
	old := c.store.backup()
	lost := c.submit(arrival{job: array("run-000008", 3), run: 60})
	later = c.submit(arrival{job: array("run-000007", 3), run: 60})
	c.waitUntilRunning(c.t, 30*time.Second, lost, later)
	c.Run(5 * time.Second)
	c.store.revision += extraRevisions
	c.leader().crash(time.Second) // agents get the token of the next leader
	c.Run(12 * time.Second)
	c.crashAllStaggered(2*time.Second, 0)
	c.Run(time.Second)
	// The main record of the later job was written before its placements were.
	e := old.keys["g/j/run-000002"]
	e.Value = encode(pendingRecord(later.job.spec, c.Now))
	e.Key = "g/j/run-000007"
	old.keys[e.Key] = e
	c.store.restore(old)
	lost.stoppedAsking, later.stoppedAsking = true, true // the store has lost what these users were told
	c.resetCounts()
	return later
}

// giveExcessiveToken gives an agent a token far above every revision, and makes the agent send a
// heartbeat before all others do. It returns how many tasks of recorded jobs start again as a
// result.
func (c *coldRestartWorld) giveExcessiveToken(agent *agent) int {
	agent.token = 1 << 60
	for _, other := range c.agentsInCreationOrder() {
		if other != agent {
			other.hang(6 * time.Second)
		}
	}
	c.after(4*time.Second, agent.reportChange)
	return c.tasksRestartedIfLost(agent)
}

// expectRestored checks which tasks were started and stopped after the restore.
func (c *coldRestartWorld) expectRestored(restore storeRestore, wantStarts int) {
	c.t.Helper()
	if restore.tasksContinue || restore.excessiveToken {
		c.expectStarts(c.t, c.starts, wantStarts, "after the restore of the store")
	}
	if n := c.commandsExecuted(needStop); restore.tasksContinue && n != 6 {
		c.t.Errorf("%d stop commands for six unrecorded attempts", n)
	}
	if c.rules.placed["run-000008/0"] != nil {
		c.t.Error("the job without a record still runs")
	}
	if c.leader() == nil {
		c.t.Error("no controller leads")
	}
}

// tasksRestartedIfLost returns how many tasks of the recorded jobs start again if an agent is
// lost. If any task of the gang is on it, the whole gang starts again.
func (c *coldRestartWorld) tasksRestartedIfLost(agent *agent) (n int) {
	for _, u := range []*user{c.gang, c.array} {
		onAgent := 0
		for i := range u.job.spec.Tasks {
			if c.agentOf(u.job.spec.ID, i) == agent {
				onAgent++
			}
		}
		if onAgent > 0 && u == c.gang {
			onAgent = u.job.spec.Tasks
		}
		n += onAgent
	}
	return n
}

// pendingRecord returns a job's main record without any placements.
func pendingRecord(spec *protocol.Job, now time.Time) storage.Job {
	return storage.Job{Writer: "before", Spec: spec, SubmittedAtMs: now.UnixMilli(), SubmissionRevision: 1, TasksPerBaseRecord: 60}
}

// TestColdRestartKeepsTasksOfUnreadableRecords: a job record is malformed or has a later format
// version, and a machine record is malformed. The tasks of that job keep running, other jobs are
// not affected, a new job starts, and the recovery ends.
func TestColdRestartKeepsTasksOfUnreadableRecords(t *testing.T) {
	t.Parallel()
	for name, value := range map[string]string{"malformed": `{"w":"x","spec":7}`, "later version": `{"w":"x","v":9}`, "empty": `null`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			shape := smallWithRecovery()
			shape.Machines = 8
			c := newColdRestartWorld(t, 51, shape)
			c.gang.stoppedAsking = true // its user would get no response
			c.crashAllStaggered(3*time.Second, 0)
			c.writeMalformedRecord("g/j/run-000001", value)
			c.writeMalformedRecord("g/m/nobody", value)
			c.Run(4 * time.Second)
			u := c.submit(arrival{job: array("run-000006", 2), run: 10})
			c.waitUntilOver(t, 30*time.Second, u)
			if s := c.waitUntilRecovered(60 * time.Second); s.Classes[reconcile.Unreadable] != 6 || s.Commands.Stops > 0 {
				t.Errorf("unexpected recovery summary: %+v", s)
			}
			if !c.running(c.gang) || !c.running(c.array) {
				t.Error("tasks that ran before the restart no longer run")
			}
			c.expectRulesHeld(t)
		})
	}
}

// writeMalformedRecord writes a malformed value under a key.
func (w *World) writeMalformedRecord(key, value string) {
	w.store.apply([]protocol.Change{{Set: key, Value: []byte(value)}})
}
