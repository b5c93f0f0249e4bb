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

// recovering is the small shape with recoveries followed.
func recovering() Shape {
	s := Small()
	s.Recovery = true
	return s
}

// coldWorld is a world with work of every kind that runs, about to lose its controllers.
type coldWorld struct {
	*World
	t      *testing.T
	gang   *user
	array  *user
	before [3]int // orders
	starts int
}

// newColdWorld has a gang over two machines and an array run.
func newColdWorld(t *testing.T, seed uint64, shape Shape) *coldWorld {
	t.Helper()
	w := NewShaped(seed, logs(), shape)
	w.Run(6 * time.Second)
	g := gangJob("run-000001", 6)
	g.CheckpointS, g.SaveS = 10, 2
	c := &coldWorld{World: w, t: t, gang: w.submit(0, g, 150, 0, false), array: w.submit(0, array("run-000002", 5), 150, 0, false)}
	w.waitFor(t, 40*time.Second, "both run", func() bool { return w.running(c.gang) && w.running(c.array) })
	w.Run(4 * time.Second)
	c.mark()
	return c
}

// mark has orders and starts count from now on.
func (c *coldWorld) mark() { c.before, c.starts = c.Audit.Orders, c.rules.started }

// loseAll ends all controllers; they are back some time later, one after the other.
func (c *coldWorld) loseAll(away, apart time.Duration) {
	for i, n := range c.nodes {
		n.crash(away + time.Duration(i)*apart)
	}
}

// idleWorker is a worker without tasks.
func (c *coldWorld) idleWorker() *worker {
	for _, h := range c.cloud.hosts {
		if k := c.workers[h.ID]; k != nil && len(k.tasks) == 0 {
			return k
		}
	}
	c.t.Fatal("no worker is idle")
	return nil
}

// ordered counts the orders of a kind since the mark.
func (c *coldWorld) ordered(kind int) int { return c.Audit.Orders[kind] - c.before[kind] }

// expectKept checks that nothing was started, stopped or ordered in vain since the mark.
func (c *coldWorld) expectKept(what string) {
	c.t.Helper()
	if n := c.rules.started - c.starts; n != 0 {
		c.t.Errorf("%s: %d tasks were started", what, n)
	}
	if starts, stops := c.ordered(needStart), c.ordered(needStop); starts+stops > 0 {
		c.t.Errorf("%s: %d starts and %d stops were ordered", what, starts, stops)
	}
}

// summary is what the leader's recovery has found.
func (c *coldWorld) summary() reconcile.Summary {
	if n := c.leader(); n != nil {
		return n.node.TakeMetrics().Recovery
	}
	return reconcile.Summary{}
}

// recovered waits for the end of the leader's recovery.
func (c *coldWorld) recovered(limit time.Duration) reconcile.Summary {
	c.t.Helper()
	var s reconcile.Summary
	c.waitFor(c.t, limit, "the recovery ends", func() bool {
		s = c.summary()
		return !s.Began.IsZero() && !s.Active()
	})
	return s
}

// finishBoth waits until both jobs are done and checks the rules.
func (c *coldWorld) finishBoth() {
	c.t.Helper()
	c.waitFor(c.t, 400*time.Second, "both are done", func() bool { return c.gang.over && c.array.over })
	c.Run(5 * time.Second)
	c.check(c.t)
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
			c := newColdWorld(t, 41, recovering())
			for i, r := range play.earlier {
				c.release[c.nodes[i].name] = r
			}
			c.loseAll(play.away, play.apart)
			c.Run(play.away)
			s := c.recovered(20 * time.Second)
			if s.Reason != reconcile.EndAllKnown || s.Classes[reconcile.Matching] != 11 || s.Stored != 11 {
				t.Errorf("%+v", s)
			}
			c.Run(15 * time.Second)
			c.expectKept(name)
			c.finishBoth()
		})
	}
}

// TestColdRestartNewSessions: the controllers are away for longer than the workers' lease.
// Every task is started once again, and nothing is stopped.
func TestColdRestartNewSessions(t *testing.T) {
	t.Parallel()
	c := newColdWorld(t, 42, recovering())
	c.loseAll(secs(c.shape.Workers.LeaseS)+9*time.Second, 0)
	c.Run(secs(c.shape.Workers.LeaseS) + 9*time.Second)
	c.waitFor(t, 60*time.Second, "both run again", func() bool { return c.running(c.gang) && c.running(c.array) })
	if n := c.rules.started - c.starts; n != 11 {
		t.Errorf("%d starts for 11 tasks", n)
	}
	if n := c.ordered(needStop); n != 0 {
		t.Errorf("%d stops", n)
	}
	c.finishBoth()
}

// TestColdRestartHalfReported: half of a gang's machines report much later than the
// others. It is not taken for broken.
func TestColdRestartHalfReported(t *testing.T) {
	t.Parallel()
	c := newColdWorld(t, 43, recovering())
	c.loseAll(time.Second, 0)
	late := c.rules.onAt["run-000001/0"].k
	late.mute = true
	c.after(14*time.Second, func() { late.mute = false })
	c.Run(25 * time.Second)
	c.expectKept("half reported")
	c.finishBoth()
}

// TestColdRestartEndOfTask: an end that only the dead leader was told, or that was in a
// transaction of its, is recorded once; the task is not started again.
func TestColdRestartEndOfTask(t *testing.T) {
	t.Parallel()
	for _, lost := range []bool{true, false} {
		c := newColdWorld(t, 44, recovering())
		short := c.submit(0, array("run-000003", 2), 6, 0, false)
		c.waitFor(t, 20*time.Second, "it runs", func() bool { return c.running(short) })
		if lost {
			c.state.lose(1, false, 20*time.Second) // transactions are carried out late
		} else {
			c.state.outage(9 * time.Second)
		}
		c.waitFor(t, 20*time.Second, "it is done", func() bool { return short.j.done[0] && short.j.done[1] })
		c.Run(700 * time.Millisecond) // the leader has the reports
		c.mark()
		c.loseAll(2*time.Second, 0)
		c.waitFor(t, 40*time.Second, "it is called done", func() bool { return short.over })
		c.expectKept(fmt.Sprint("late transactions ", lost))
		c.finishBoth()
	}
}

// TestColdRestartCancelled: a cancellation that was confirmed the moment before the loss
// takes effect in time, and nothing of the job starts again.
func TestColdRestartCancelled(t *testing.T) {
	t.Parallel()
	c := newColdWorld(t, 45, recovering())
	c.array.cancel()
	c.waitFor(t, 5*time.Second, "confirmed", func() bool { return c.array.over })
	c.loseAll(3*time.Second, time.Second)
	c.Run(secs(c.shape.Workers.CancelS) + time.Second)
	if c.rules.late > 0 {
		t.Errorf("%d starts after the cancellation", c.rules.late)
	}
	c.finishBoth()
}

// TestColdRestartLateCopies: copies of reports from before reach the new leader before the
// workers do: they show tasks that have ended since, and lack those that run. They stop
// nothing and prove nothing.
func TestColdRestartLateCopies(t *testing.T) {
	t.Parallel()
	w := NewShaped(46, logs(), recovering())
	w.Run(6 * time.Second)
	waves := array("run-000009", 12)
	waves.Team = "red" // whose limit has room for ten tasks at once
	u := w.submit(0, waves, 25, 0, false)
	w.waitFor(t, 60*time.Second, "ten tasks run", func() bool { return w.rules.use["red"] == 10 })
	w.Run(10 * time.Second)
	w.keep = true
	w.Run(4 * time.Second)
	w.keep = false
	copies := w.kept
	w.waitFor(t, 60*time.Second, "the last two run", func() bool { return w.rules.onAt["run-000009/11"] != nil && w.rules.use["red"] == 2 })
	w.Run(3 * time.Second)
	c := &coldWorld{World: w, t: t, gang: u, array: u}
	c.mark()
	c.loseAll(time.Second, 0)
	w.waitFor(t, 10*time.Second, "another leads", func() bool { return w.leader() != nil })
	for _, body := range copies {
		w.copyReport(w.leader(), body)
	}
	w.Run(12 * time.Second)
	c.expectKept("late copies")
	if s := c.summary(); s.Commands.Stops > 0 {
		t.Errorf("%d stops were ordered in the answers to copies", s.Commands.Stops)
	}
	c.finishBoth()
}

// TestColdRestartNeverRecorded: a worker runs an attempt of a job that the records never
// had. It is stopped, once, and takes room and place from nothing that is recorded. An
// attempt that is on no record of a known job comes with a restored state service alone.
func TestColdRestartNeverRecorded(t *testing.T) {
	t.Parallel()
	c := newColdWorld(t, 47, recovering())
	ghost := array("run-000077", 1)
	c.rules.jobs[ghost.ID] = &simJob{spec: ghost, run: 500, progress: []float64{0}, done: []bool{false}, gangs: map[protocol.AttemptNumber]*gang{}}
	c.loseAll(4*time.Second, 0)
	c.idleWorker().execute([]protocol.Command{{Kind: protocol.CommandStart, Task: "run-000077/0", Attempt: 4}})
	c.Run(3 * time.Second)
	c.mark()
	c.Run(20 * time.Second)
	if c.rules.onAt["run-000077/0"] != nil {
		t.Error("the unknown job runs on")
	}
	if n := c.ordered(needStop); n != 1 {
		t.Errorf("%d stops for one unknown attempt", n)
	}
	if n := c.rules.started - c.starts; n != 0 {
		t.Errorf("%d starts", n)
	}
	c.finishBoth()
}

// TestColdRestartSecondLoss: the new leader, or the state service, is lost at every stage
// of the recovery. Nothing is started or stopped.
func TestColdRestartSecondLoss(t *testing.T) {
	t.Parallel()
	for i := range 12 {
		for _, state := range []bool{false, true} {
			t.Run(fmt.Sprint("after ", i*400, " ms, state service ", state), func(t *testing.T) {
				t.Parallel()
				c := newColdWorld(t, uint64(48+i), recovering())
				c.loseAll(time.Second, 300*time.Millisecond)
				c.Run(time.Second + time.Duration(i)*400*time.Millisecond)
				if state {
					c.state.outage(4 * time.Second)
				} else if n := c.leader(); n != nil {
					n.crash(time.Second)
				} else {
					c.nodes[i%3].crash(time.Second)
				}
				c.Run(20 * time.Second)
				c.expectKept("second loss")
				c.finishBoth()
			})
		}
	}
}

// TestColdRestartDarkZone: a zone stays dark after the restart. New jobs start at once
// elsewhere, the recovery ends when its workers' leases have lapsed, and what ran there
// starts again after that.
func TestColdRestartDarkZone(t *testing.T) {
	t.Parallel()
	shape := recovering()
	shape.Machines = 8
	c := newColdWorld(t, 49, shape)
	c.loseAll(time.Second, 0)
	c.interrupt(130*time.Second, false, func(a, b string) bool { return (c.zoneOf[a] == "west") != (c.zoneOf[b] == "west") })
	c.Run(2 * time.Second)
	fresh := array("run-000006", 2)
	fresh.Zone = "east"
	u := c.submit(0, fresh, 10, 0, false)
	if took := c.waitFor(t, 15*time.Second, "a new job runs", func() bool { return c.running(u) }); took > 8*time.Second {
		t.Errorf("a new job waits %v", took)
	}
	s := c.recovered(90 * time.Second)
	t.Logf("the recovery ends after %v: %s, %d silent", s.Ended.Sub(s.Began), s.Reason, s.Silent)
	c.finishBoth()
}

// TestRestoredStore: the state service comes back with the controllers in a state of some
// seconds or of long before. Workers hold tokens that it never gave, and attempts that it
// does not have. If the revision can be raised above the tokens in time all goes on, but
// for what is on no record, which is stopped once; else the workers are returned and the
// work starts on others. Nothing runs twice, and it is logged by name.
func TestRestoredStore(t *testing.T) {
	t.Parallel()
	for name, play := range map[string]struct {
		lacks protocol.Revision // revisions beyond those of the last seconds
		hangs bool              // a worker with attempts that are on no record
		wild  bool              // a worker holds a token beyond reason
		keeps bool              // the workers go on
	}{
		"seconds old":        {keeps: true},
		"a little more":      {lacks: 60, keeps: true},
		"long ago":           {lacks: 1_000_000},
		"a worker is silent": {hangs: true},
		"a wild token":       {wild: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			shape := recovering()
			shape.Capacity = 24
			c := newColdWorld(t, 50, shape)
			old := c.state.backup()
			lost := c.submit(0, array("run-000008", 3), 60, 0, false)
			later := c.submit(0, array("run-000007", 3), 60, 0, false)
			c.waitFor(t, 30*time.Second, "later jobs run", func() bool { return c.running(lost) && c.running(later) })
			c.Run(5 * time.Second)
			c.state.revision += play.lacks
			c.leader().crash(time.Second) // workers get the token of the next leader
			c.Run(12 * time.Second)
			c.loseAll(2*time.Second, 0)
			c.Run(time.Second)
			// The record of the later job was there before its places were.
			e := old.keys["g/j/run-000002"]
			e.Value = encode(pendingRecord(later.j.spec, c.Now))
			e.Key = "g/j/run-000007"
			old.keys[e.Key] = e
			c.state.restore(old)
			lost.left, later.left = true, true // what they were told is lost
			c.mark()
			due := 3 // starts of the job whose places are lost
			if play.wild {
				k := c.rules.onAt["run-000008/0"].k
				k.token = 1 << 60
				due += c.tasksLostWith(k)
				for _, other := range c.workers {
					if other != k {
						other.hang(6 * time.Second) // so that it is heard first
					}
				}
				c.after(4*time.Second, k.noteChange)
			}
			if play.hangs {
				c.rules.onAt["run-000007/0"].k.hang(20 * time.Second)
			}
			c.Run(90 * time.Second)
			if n := c.rules.started - c.starts; (play.keeps || play.wild) && n != due {
				t.Errorf("%d starts, of which %d are due", n, due)
			}
			if n := c.ordered(needStop); play.keeps && n != 6 {
				t.Errorf("%d stops for six attempts on no record", n)
			}
			if c.rules.onAt["run-000008/0"] != nil {
				t.Error("a job that no record has runs on")
			}
			if c.leader() == nil {
				t.Error("nobody leads")
			}
			c.Run(200 * time.Second)
			for i, done := range later.j.done {
				if !done {
					t.Errorf("task %d of the job without places never ran", i)
				}
			}
			if _, stays := c.state.keys[storage.RestoredKey]; stays {
				t.Error("the marker stays")
			}
			c.check(t)
		})
	}
}

// tasksLostWith counts the tasks of the recorded jobs that start again if a worker is lost: a
// gang's all together.
func (c *coldWorld) tasksLostWith(k *worker) (n int) {
	for _, u := range []*user{c.gang, c.array} {
		on := 0
		for i := range u.j.spec.Tasks {
			if c.rules.onAt[protocol.TaskName(u.j.spec.ID, i)].k == k {
				on++
			}
		}
		if on > 0 && u == c.gang {
			on = u.j.spec.Tasks
		}
		n += on
	}
	return n
}

// pendingRecord is a job's record before any place.
func pendingRecord(spec *protocol.Job, now time.Time) storage.Job {
	return storage.Job{Writer: "before", Spec: spec, AtMs: now.UnixMilli(), Seq: 1, RecordTasks: 60}
}

// TestColdRestartBadRecords: a job's record that cannot be read, one of a later version, and a
// damaged machine record leave what they name alone: it runs on, the rest goes its way, a
// new job starts and the recovery ends.
func TestColdRestartBadRecords(t *testing.T) {
	t.Parallel()
	for name, value := range map[string]string{"damaged": `{"w":"x","spec":7}`, "later version": `{"w":"x","v":9}`, "empty": `null`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			shape := recovering()
			shape.Machines = 8
			c := newColdWorld(t, 51, shape)
			c.gang.left = true // its user would get no answer
			c.loseAll(3*time.Second, 0)
			c.damage("g/j/run-000001", value)
			c.damage("g/m/nobody", value)
			c.Run(4 * time.Second)
			u := c.submit(0, array("run-000006", 2), 10, 0, false)
			c.waitFor(t, 30*time.Second, "a new job is done", func() bool { return u.over })
			if s := c.recovered(60 * time.Second); s.Classes[reconcile.Unreadable] != 6 || s.Commands.Stops > 0 {
				t.Errorf("%+v", s)
			}
			if !c.running(c.gang) || !c.running(c.array) {
				t.Error("what ran does not go on")
			}
			c.check(t)
		})
	}
}

// damage writes a value that makes no sense under a key.
func (w *World) damage(key, value string) {
	w.state.apply([]protocol.Change{{Set: key, Value: []byte(value)}})
}
