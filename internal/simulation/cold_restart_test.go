package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// These tests lose all controllers at once while workers go on, and bring them back:
// what is valid goes on, nothing is started or stopped twice.

// smallWithRecovery is the small shape with recoveries followed.
func smallWithRecovery() Shape {
	s := SmallShape()
	s.Recovery = true
	return s
}

// coldRestartWorld is a world with work of every kind that runs, about to lose its controllers.
type coldRestartWorld struct {
	*World
	t              *testing.T
	gang           *user
	array          *user
	commandsBefore [3]int // orders
	starts         int
}

// newColdRestartWorld has a gang over two machines and an array run.
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

// resetCounts has orders and starts count from now on.
func (c *coldRestartWorld) resetCounts() {
	c.commandsBefore, c.starts = c.Audit.Orders, c.rules.started
}

// crashAllStaggered ends all controllers; they are back some time later, one after the other.
func (c *coldRestartWorld) crashAllStaggered(away, apart time.Duration) {
	for i, n := range c.nodes {
		n.crash(away + time.Duration(i)*apart)
	}
}

// idleAgent is a worker without tasks.
func (c *coldRestartWorld) idleAgent() *agent {
	for _, h := range c.cloud.hosts {
		if agent := c.agents[h.ID]; agent != nil && len(agent.tasks) == 0 {
			return agent
		}
	}
	c.t.Fatal("no worker is idle")
	return nil
}

// commandsExecuted counts the orders of a kind since the mark.
func (c *coldRestartWorld) commandsExecuted(kind int) int {
	return c.Audit.Orders[kind] - c.commandsBefore[kind]
}

// expectNothingStartedOrStopped checks that nothing was started, stopped or ordered in vain since the mark.
func (c *coldRestartWorld) expectNothingStartedOrStopped(what string) {
	c.t.Helper()
	c.expectStarts(c.t, c.starts, 0, what)
	if starts, stops := c.commandsExecuted(needStart), c.commandsExecuted(needStop); starts+stops > 0 {
		c.t.Errorf("%s: %d starts and %d stops were ordered", what, starts, stops)
	}
}

// recoverySummary is what the leader's recovery has found.
func (c *coldRestartWorld) recoverySummary() reconcile.Summary {
	if n := c.leader(); n != nil {
		return n.node.TakeMetrics().Recovery
	}
	return reconcile.Summary{}
}

// waitUntilRecovered waits for the end of the leader's recovery.
func (c *coldRestartWorld) waitUntilRecovered(limit time.Duration) reconcile.Summary {
	c.t.Helper()
	var s reconcile.Summary
	c.waitFor(c.t, limit, "the recovery ends", func() bool {
		s = c.recoverySummary()
		return !s.Began.IsZero() && !s.Active()
	})
	return s
}

// finishBothJobs waits until both jobs are done and checks the rules.
func (c *coldRestartWorld) finishBothJobs() {
	c.t.Helper()
	c.waitUntilOver(c.t, 400*time.Second, c.gang, c.array)
	c.Run(5 * time.Second)
	c.expectRulesHeld(c.t)
}

// TestColdRestartKeepsWork: all controllers are lost and back within the workers' lease,
// at once or seconds apart, in this version or mixed with 0.3: everything goes on.
func TestColdRestartKeepsWork(t *testing.T) {
	t.Parallel()
	for name, play := range map[string]struct {
		away, apart time.Duration
		earlier     []release
	}{
		"at once":         {2 * time.Second, 0, nil},
		"a fraction":      {100 * time.Millisecond, 70 * time.Millisecond, nil},
		"seconds apart":   {4 * time.Second, 3 * time.Second, nil},
		"mixed with 0.3":  {2 * time.Second, 2 * time.Second, []release{release03, current, release03}},
		"0.3 comes first": {time.Second, 4 * time.Second, []release{release03, release03, current}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newColdRestartWorld(t, 41, smallWithRecovery())
			for i, r := range play.earlier {
				c.release[c.nodes[i].name] = r
			}
			c.crashAllStaggered(play.away, play.apart)
			c.Run(play.away)
			s := c.waitUntilRecovered(20 * time.Second)
			if s.Reason != reconcile.EndAllAccountedFor || s.Classes[reconcile.Matching] != 11 || s.RecordedAttempts != 11 {
				t.Errorf("%+v", s)
			}
			c.Run(15 * time.Second)
			c.expectNothingStartedOrStopped(name)
			c.finishBothJobs()
		})
	}
}

// TestColdRestartBeyondLeaseStartsEachTaskOnce: the controllers are away for longer than the workers' lease.
// Every task is started once again, and nothing is stopped.
func TestColdRestartBeyondLeaseStartsEachTaskOnce(t *testing.T) {
	t.Parallel()
	c := newColdRestartWorld(t, 42, smallWithRecovery())
	c.crashAllStaggered(secs(c.shape.Agents.LeaseS)+9*time.Second, 0)
	c.Run(secs(c.shape.Agents.LeaseS) + 9*time.Second)
	c.waitUntilRunning(t, 60*time.Second, c.gang, c.array)
	c.expectStarts(t, c.starts, 11, "for 11 tasks")
	if n := c.commandsExecuted(needStop); n != 0 {
		t.Errorf("%d stops", n)
	}
	c.finishBothJobs()
}

// TestColdRestartHalfReportedGangIsNotBroken: half of a gang's machines report much later than the
// others. It is not taken for broken.
func TestColdRestartHalfReportedGangIsNotBroken(t *testing.T) {
	t.Parallel()
	c := newColdRestartWorld(t, 43, smallWithRecovery())
	c.crashAllStaggered(time.Second, 0)
	late := c.agentOf("run-000001", 0)
	late.opensNoConnections = true
	c.after(14*time.Second, func() { late.opensNoConnections = false })
	c.Run(25 * time.Second)
	c.expectNothingStartedOrStopped("half reported")
	c.finishBothJobs()
}

// TestColdRestartRecordsEndOfTaskOnce: an end that only the dead leader was told, or that was in a
// transaction of its, is recorded once; the task is not started again.
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
			c.waitFor(t, 20*time.Second, "it is done", func() bool { return short.job.done[0] && short.job.done[1] })
			c.Run(700 * time.Millisecond) // the leader has the reports
			c.resetCounts()

			c.crashAllStaggered(2*time.Second, 0)

			c.waitUntilOver(t, 40*time.Second, short)
			c.expectNothingStartedOrStopped("end of a task")
			c.finishBothJobs()
		})
	}
}

// TestColdRestartHonoursConfirmedCancellation: a cancellation that was confirmed the moment before the loss
// takes effect in time, and nothing of the job starts again.
func TestColdRestartHonoursConfirmedCancellation(t *testing.T) {
	t.Parallel()
	c := newColdRestartWorld(t, 45, smallWithRecovery())
	c.array.cancel()
	c.waitUntilOver(t, 5*time.Second, c.array)
	c.crashAllStaggered(3*time.Second, time.Second)
	c.Run(secs(c.shape.Agents.CancelS) + time.Second)
	if c.rules.startsAfterCancellation > 0 {
		t.Errorf("%d starts after the cancellation", c.rules.startsAfterCancellation)
	}
	c.finishBothJobs()
}

// TestColdRestartLateHeartbeatCopiesStopNothing: copies of reports from before reach the new leader before the
// workers do: they show tasks that have ended since, and lack those that run. They stop
// nothing and prove nothing.
func TestColdRestartLateHeartbeatCopiesStopNothing(t *testing.T) {
	t.Parallel()
	w := NewWithShape(46, logs(), smallWithRecovery())
	w.Run(6 * time.Second)
	waves := array("run-000009", 12)
	waves.Team = "red" // whose limit allows ten tasks at once
	u := w.submit(arrival{job: waves, run: 25})
	w.waitFor(t, 60*time.Second, "ten tasks run", func() bool { return w.rules.gpusInUse["red"] == 10 })
	w.Run(10 * time.Second)
	w.recordHeartbeats = true
	w.Run(4 * time.Second)
	w.recordHeartbeats = false
	copies := w.recordedHeartbeats
	w.waitFor(t, 60*time.Second, "the last two run", func() bool { return w.rules.placed["run-000009/11"] != nil && w.rules.gpusInUse["red"] == 2 })
	w.Run(3 * time.Second)
	c := &coldRestartWorld{World: w, t: t, gang: u, array: u}
	c.resetCounts()
	c.crashAllStaggered(time.Second, 0)
	w.waitForLeader(t, 10*time.Second)
	for _, body := range copies {
		w.deliverHeartbeatCopy(w.leader(), body)
	}
	w.Run(12 * time.Second)
	c.expectNothingStartedOrStopped("late copies")
	if s := c.recoverySummary(); s.Commands.Stops > 0 {
		t.Errorf("%d stops were ordered in the answers to copies", s.Commands.Stops)
	}
	c.finishBothJobs()
}

// TestColdRestartStopsUnrecordedAttemptOnce: a worker runs an attempt of a job that the records never
// had. It is stopped, once, and takes capacity and place from nothing that is recorded. An
// attempt that is on no record of a known job comes with a restored key-value store alone.
func TestColdRestartStopsUnrecordedAttemptOnce(t *testing.T) {
	t.Parallel()
	c := newColdRestartWorld(t, 47, smallWithRecovery())
	ghost := array("run-000077", 1)
	c.rules.jobs[ghost.ID] = newSimJob(ghost)
	c.rules.jobs[ghost.ID].run = 500
	c.crashAllStaggered(4*time.Second, 0)
	c.idleAgent().execute([]protocol.Command{{Kind: protocol.CommandStart, Task: "run-000077/0", Attempt: 4}})
	c.Run(3 * time.Second)
	c.resetCounts()
	c.Run(20 * time.Second)
	if c.rules.placed["run-000077/0"] != nil {
		t.Error("the unknown job runs on")
	}
	if n := c.commandsExecuted(needStop); n != 1 {
		t.Errorf("%d stops for one unknown attempt", n)
	}
	c.expectStarts(t, c.starts, 0, "beside the unknown attempt")
	c.finishBothJobs()
}

// TestColdRestartSecondFailureStartsOrStopsNothing: the new leader, or the key-value store, is lost at every stage
// of the recovery. Nothing is started or stopped.
func TestColdRestartSecondFailureStartsOrStopsNothing(t *testing.T) {
	t.Parallel()
	for i := range 12 {
		for _, loseStore := range []bool{false, true} {
			t.Run(fmt.Sprint("after ", i*400, " ms, key-value store ", loseStore), func(t *testing.T) {
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
				c.expectNothingStartedOrStopped("second loss")
				c.finishBothJobs()
			})
		}
	}
}

// TestColdRestartWithUnreachableZoneEndsAfterLeases: a zone stays dark after the restart. New jobs start at once
// elsewhere, the recovery ends when its agents' leases have expired, and what ran there
// starts again after that.
func TestColdRestartWithUnreachableZoneEndsAfterLeases(t *testing.T) {
	t.Parallel()
	shape := smallWithRecovery()
	shape.Machines = 8
	c := newColdRestartWorld(t, 49, shape)
	c.crashAllStaggered(time.Second, 0)
	c.disconnect(130*time.Second, packetsDropped, c.acrossZoneBoundary("west"))
	c.Run(2 * time.Second)
	fresh := array("run-000006", 2)
	fresh.Zone = "east"
	u := c.submit(arrival{job: fresh, run: 10})
	if took := c.waitUntilRunning(t, 15*time.Second, u); took > 8*time.Second {
		t.Errorf("a new job waits %v", took)
	}
	s := c.waitUntilRecovered(90 * time.Second)
	t.Logf("the recovery ends after %v: %s, %d silent", s.Ended.Sub(s.Began), s.Reason, s.SilentAgents)
	c.finishBothJobs()
}

// storeRestore is a return of the key-value store to an earlier state.
type storeRestore struct {
	name           string
	extraRevisions protocol.Revision // revisions beyond those of the last seconds
	agentHangs     bool              // a worker with attempts that are on no record
	excessiveToken bool              // a worker holds a token beyond reason
	tasksContinue  bool              // the workers go on
}

var storeRestores = []storeRestore{
	{name: "seconds old", tasksContinue: true},
	{name: "a little more", extraRevisions: 60, tasksContinue: true},
	{name: "long ago", extraRevisions: 1_000_000},
	{name: "a worker is silent", agentHangs: true},
	{name: "a wild token", excessiveToken: true},
}

// TestStoreRestoreDuringColdRestartRunsNothingTwice: the key-value store comes back with the controllers in a state of some
// seconds or of long before. Workers hold tokens that it never gave, and attempts that it
// does not have. If the revision can be raised above the tokens in time all goes on, but
// for what is on no record, which is stopped once; else the workers are returned and the
// work starts on others. Nothing runs twice, and it is logged by name.
func TestStoreRestoreDuringColdRestartRunsNothingTwice(t *testing.T) {
	t.Parallel()
	for _, restore := range storeRestores {
		t.Run(restore.name, func(t *testing.T) {
			t.Parallel()
			shape := smallWithRecovery()
			shape.Capacity = 24
			c := newColdRestartWorld(t, 50, shape)
			later := c.restoreOlderBackup(restore.extraRevisions)
			due := 3 // starts of the job whose places are lost
			if restore.excessiveToken {
				due += c.giveExcessiveToken(c.agentOf("run-000008", 0))
			}
			if restore.agentHangs {
				c.agentOf("run-000007", 0).hang(20 * time.Second)
			}

			c.Run(90 * time.Second)

			c.expectRestored(restore, due)
			c.Run(200 * time.Second)
			for i, done := range later.job.done {
				if !done {
					t.Errorf("task %d of the job without places never ran", i)
				}
			}
			if _, stays := c.store.keys[storage.RestoreMarkerKey]; stays {
				t.Error("the marker stays")
			}
			c.expectRulesHeld(t)
		})
	}
}

// restoreOlderBackup puts the store back while all controllers are away. Of the two jobs
// submitted since, run-000008 is on no record then, and run-000007, which it returns,
// has its record and no places.
func (c *coldRestartWorld) restoreOlderBackup(lacks protocol.Revision) (later *user) {
	c.t.Helper()
	old := c.store.backup()
	lost := c.submit(arrival{job: array("run-000008", 3), run: 60})
	later = c.submit(arrival{job: array("run-000007", 3), run: 60})
	c.waitUntilRunning(c.t, 30*time.Second, lost, later)
	c.Run(5 * time.Second)
	c.store.revision += lacks
	c.leader().crash(time.Second) // workers get the token of the next leader
	c.Run(12 * time.Second)
	c.crashAllStaggered(2*time.Second, 0)
	c.Run(time.Second)
	// The record of the later job was there before its places were.
	e := old.keys["g/j/run-000002"]
	e.Value = encode(pendingRecord(later.job.spec, c.Now))
	e.Key = "g/j/run-000007"
	old.keys[e.Key] = e
	c.store.restore(old)
	lost.stoppedAsking, later.stoppedAsking = true, true // what they were told is lost
	c.resetCounts()
	return later
}

// giveExcessiveToken has a worker hold a token beyond reason, and be heard before all others. It
// returns how many tasks of recorded jobs start again for it.
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

// expectRestored checks what was started and stopped after the store came back.
func (c *coldRestartWorld) expectRestored(restore storeRestore, due int) {
	c.t.Helper()
	if restore.tasksContinue || restore.excessiveToken {
		c.expectStarts(c.t, c.starts, due, "after the return of the store")
	}
	if n := c.commandsExecuted(needStop); restore.tasksContinue && n != 6 {
		c.t.Errorf("%d stops for six attempts on no record", n)
	}
	if c.rules.placed["run-000008/0"] != nil {
		c.t.Error("a job that no record has runs on")
	}
	if c.leader() == nil {
		c.t.Error("nobody leads")
	}
}

// tasksRestartedIfLost counts the tasks of the recorded jobs that start again if a worker is lost: a
// gang's all together.
func (c *coldRestartWorld) tasksRestartedIfLost(agent *agent) (n int) {
	for _, u := range []*user{c.gang, c.array} {
		on := 0
		for i := range u.job.spec.Tasks {
			if c.agentOf(u.job.spec.ID, i) == agent {
				on++
			}
		}
		if on > 0 && u == c.gang {
			on = u.job.spec.Tasks
		}
		n += on
	}
	return n
}

// pendingRecord is a job's record before any place.
func pendingRecord(spec *protocol.Job, now time.Time) storage.Job {
	return storage.Job{Writer: "before", Spec: spec, SubmittedAtMs: now.UnixMilli(), SubmissionRevision: 1, TasksPerBaseRecord: 60}
}

// TestColdRestartKeepsTasksOfUnreadableRecords: a job's record that cannot be read, one of a later version, and a
// damaged machine record leave what they name alone: it runs on, the rest goes its way, a
// new job starts and the recovery ends.
func TestColdRestartKeepsTasksOfUnreadableRecords(t *testing.T) {
	t.Parallel()
	for name, value := range map[string]string{"damaged": `{"w":"x","spec":7}`, "later version": `{"w":"x","v":9}`, "empty": `null`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			shape := smallWithRecovery()
			shape.Machines = 8
			c := newColdRestartWorld(t, 51, shape)
			c.gang.stoppedAsking = true // its user would get no answer
			c.crashAllStaggered(3*time.Second, 0)
			c.writeMalformedRecord("g/j/run-000001", value)
			c.writeMalformedRecord("g/m/nobody", value)
			c.Run(4 * time.Second)
			u := c.submit(arrival{job: array("run-000006", 2), run: 10})
			c.waitUntilOver(t, 30*time.Second, u)
			if s := c.waitUntilRecovered(60 * time.Second); s.Classes[reconcile.Unreadable] != 6 || s.Commands.Stops > 0 {
				t.Errorf("%+v", s)
			}
			if !c.running(c.gang) || !c.running(c.array) {
				t.Error("what ran does not go on")
			}
			c.expectRulesHeld(t)
		})
	}
}

// writeMalformedRecord writes a value that makes no sense under a key.
func (w *World) writeMalformedRecord(key, value string) {
	w.store.apply([]protocol.Change{{Set: key, Value: []byte(value)}})
}
