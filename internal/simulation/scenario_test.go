package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// leader is the node that leads, nil while none does.
func (w *World) leader() *controller {
	for _, c := range w.nodes {
		if c.alive && c.node.Leading() {
			return c
		}
	}
	return nil
}

// waitFor runs the world until something holds and returns how long it took.
func (w *World) waitFor(t *testing.T, limit time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	from := w.Now
	for !holds() {
		if w.Now.Sub(from) > limit {
			t.Fatalf("%s: not within %v", what, limit)
		}
		w.Run(20 * time.Millisecond)
	}
	return w.Now.Sub(from)
}

func (w *World) check(t *testing.T) {
	t.Helper()
	for _, f := range w.rules.failures {
		t.Error(f)
	}
}

func array(id protocol.JobID, tasks int) *protocol.Job {
	return &protocol.Job{ID: id, Class: "c", Team: "free", Shape: protocol.ShapeArray, Priority: "normal", Tasks: tasks,
		CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "img", ImageGB: 1, EstimateS: 20}
}

func gangJob(id protocol.JobID, tasks int) *protocol.Job {
	spec := array(id, tasks)
	spec.Shape = protocol.ShapeGang
	return spec
}

func (w *World) running(u *user) bool {
	for i := range u.j.spec.Tasks {
		t := w.rules.onAt[protocol.TaskName(u.j.spec.ID, i)]
		if t == nil || t.state != protocol.TaskRunning {
			return false
		}
	}
	return true
}

// TestCrashedLeader: a crashed leader is replaced soon after its leader lease lapses,
// and what runs goes on running.
func TestCrashedLeader(t *testing.T) {
	t.Parallel()
	w := New(1, logs())
	w.Run(5 * time.Second)
	u := w.submit(0, gangJob("run-000001", 3), 60, 0, false)
	w.waitFor(t, 10*time.Second, "the gang runs", func() bool { return w.running(u) })
	starts := w.rules.started
	w.leader().crash(time.Minute)
	took := w.waitFor(t, 10*time.Second, "another leads", func() bool { return w.leader() != nil })
	if took > tuning.LeaderLeaseTTL+time.Second {
		t.Errorf("takeover after %v", took)
	}
	w.waitFor(t, 90*time.Second, "the gang is done", func() bool { return u.over })
	if w.rules.started != starts {
		t.Errorf("%d tasks were started again", w.rules.started-starts)
	}
	w.check(t)
}

// TestReturnsAtOnce: a process that is back within a fraction of a second
// replaces its predecessor's leader lease without waiting for it to lapse.
func TestReturnsAtOnce(t *testing.T) {
	t.Parallel()
	w := New(2, logs())
	w.Run(5 * time.Second)
	c := w.leader()
	c.crash(200 * time.Millisecond)
	w.Run(250 * time.Millisecond)
	if took := w.waitFor(t, 5*time.Second, "it leads again", func() bool { return w.leader() != nil }); took > time.Second {
		t.Errorf("after %v", took)
	}
	if w.leader() != c {
		t.Errorf("%s leads", w.leader().name)
	}
	w.check(t)
}

// TestLateDirectStart: a direct start that is held in the network for a minute
// must not start its task again after it is done and forgotten.
func TestLateDirectStart(t *testing.T) {
	t.Parallel()
	w := New(3, logs())
	w.Run(6 * time.Second)
	c := w.leader()
	w.interrupt(60*time.Second, true, func(a, b string) bool { return a == c.name && w.workers[protocol.MachineID(b)] != nil })
	u := w.submit(0, array("run-000001", 4), 5, 0, false)
	w.waitFor(t, 50*time.Second, "done across the cut", func() bool { return u.over })
	starts := w.rules.started
	w.Run(60 * time.Second)
	if w.rules.started != starts {
		t.Errorf("%d late starts", w.rules.started-starts)
	}
	w.check(t)
}

// TestStateOutage: an outage shorter than the leader's grace costs no task,
// takes no node out of the load balancer and changes no leader.
func TestStateOutage(t *testing.T) {
	t.Parallel()
	w := New(4, logs())
	w.Run(5 * time.Second)
	u := w.submit(0, gangJob("run-000001", 3), 60, 0, false)
	w.waitFor(t, 10*time.Second, "the gang runs", func() bool { return w.running(u) })
	c, starts := w.leader(), w.rules.started
	w.state.outage(14 * time.Second)
	for range 13 {
		w.Run(time.Second)
		for _, n := range w.nodes {
			if !n.node.Ready() {
				t.Fatalf("%s is not ready in an outage that all share", n.name)
			}
		}
	}
	w.waitFor(t, 90*time.Second, "the gang is done", func() bool { return u.over })
	if w.rules.started != starts || w.leader() != c {
		t.Errorf("%d starts again, %s leads", w.rules.started-starts, w.leader().name)
	}
	w.check(t)
}

// TestAloneRefused: a node that alone is refused by the state service says it
// is not ready.
func TestAloneRefused(t *testing.T) {
	t.Parallel()
	w := New(5, logs())
	w.Run(5 * time.Second)
	var c *controller
	for _, n := range w.nodes {
		if n != w.leader() {
			c = n
		}
	}
	c.refused = true
	w.Run(8 * time.Second)
	if c.node.Ready() {
		t.Error("ready")
	}
	// Users whose connections it still has are answered by a peer.
	got := 0
	c.ask(func(id uint64) coordination.Event { return coordination.Submit{ID: id, Job: array("run-000009", 1)} }, func(status int, _ []byte) { got = status })
	w.Run(time.Second)
	if got != 201 {
		t.Errorf("a submission is answered %d", got)
	}
	c.ask(func(id uint64) coordination.Event { return coordination.StatusQuery{ID: id, Job: "run-000009"} }, func(status int, _ []byte) { got = status })
	w.Run(time.Second)
	if got != 200 {
		t.Errorf("a poll is answered %d", got)
	}
	c.refused = false
	w.Run(2 * time.Second)
	if !c.node.Ready() {
		t.Error("not ready once it is served again")
	}
}

// TestLostAnswers: the state service carries out what the leader sends, but
// its answers are lost for a while. Nothing is applied twice or forgotten.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	w := New(6, logs())
	w.Run(5 * time.Second)
	c := w.leader()
	for i := range 6 {
		w.submit(time.Duration(i)*time.Second, array(protocol.JobID(fmt.Sprintf("run-00000%d", i)), 2), 8, 0, false)
	}
	lossy := &cut{match: func(a, b string) bool { return a == "state" && b == c.name && w.rng.IntN(2) == 0 }}
	w.cuts = append(w.cuts, lossy)
	w.Run(12 * time.Second)
	w.cuts = nil
	w.waitFor(t, 120*time.Second, "all are done", func() bool {
		for _, u := range w.users {
			if !u.over {
				return false
			}
		}
		return true
	})
	w.check(t)
}

// TestCloudOutageAtStart: nodes that start while the cloud does not answer know
// the machine types from the records and take submissions.
func TestCloudOutageAtStart(t *testing.T) {
	t.Parallel()
	w := New(12, logs())
	w.Run(5 * time.Second)
	w.cloud.down = true
	for _, c := range w.nodes {
		c.crash(time.Second)
	}
	w.Run(3 * time.Second)
	for _, c := range w.nodes {
		if !c.node.Ready() {
			t.Errorf("%s is not ready", c.name)
		}
	}
	w.submit(0, array("run-000001", 2), 5, 0, false)
	w.waitFor(t, 5*time.Second, "accepted", func() bool { return w.users[0].accepted })
	w.check(t)
}

// TestManyPolls: far more polls than the state service's budget allows neither
// exceed it nor keep the leader from its leader lease; every user gets an answer.
func TestManyPolls(t *testing.T) {
	t.Parallel()
	w := New(13, logs())
	w.Run(5 * time.Second)
	u := w.submit(0, array("run-000001", 2), 60, 0, false)
	w.waitFor(t, 10*time.Second, "it runs", func() bool { return w.running(u) })
	c, before := w.leader(), w.state.requests
	answers, asked := 0, 0
	for range 400 { // 20 s of 600 polls a second, half for jobs that nobody knows
		for i, n := range w.nodes {
			for k := range 10 {
				asked++
				job := fmt.Sprintf("run-%06d", 1+(i+k)%2)
				n.ask(func(id uint64) coordination.Event { return coordination.StatusQuery{ID: id, Job: protocol.JobID(job)} }, func(int, []byte) { answers++ })
			}
		}
		w.Run(50 * time.Millisecond)
	}
	w.Run(5 * time.Second)
	if answers != asked {
		t.Errorf("%d answers to %d polls", answers, asked)
	}
	if rate := float64(w.state.requests-before) / 25; rate > 80 {
		t.Errorf("%.0f requests a second", rate)
	}
	if w.leader() != c {
		t.Error("the leader lost its claim")
	}
	w.check(t)
}

// TestCancelWhileCutOff: a leader cut off from everything but some workers does
// not know of a cancellation; its grace ends before the cancellation must hold.
func TestCancelWhileCutOff(t *testing.T) {
	t.Parallel()
	w := New(7, logs())
	w.Run(5 * time.Second)
	u := w.submit(0, array("run-000001", 8), 500, 0, false)
	w.waitFor(t, 20*time.Second, "it runs", func() bool { return w.running(u) })
	c := w.leader()
	mine := map[protocol.MachineID]bool{}
	for i := range 8 {
		mine[w.rules.onAt[protocol.TaskName("run-000001", i)].k.h.ID] = true
	}
	w.interrupt(100*time.Second, true, func(a, b string) bool {
		inside := func(h string) bool { return h == c.name || mine[protocol.MachineID(h)] }
		return inside(a) != inside(b)
	})
	w.Run(2 * time.Second)
	w.waitFor(t, 20*time.Second, "another leads", func() bool { return w.leader() != nil && w.leader() != c })
	u.cancel()
	w.Run(150 * time.Second)
	if !u.over {
		t.Error("not cancelled")
	}
	w.check(t)
}

// TestRelay: across a cut between two zones, reports of the far zone's workers
// reach the leader through the controllers, and nothing is lost.
func TestRelay(t *testing.T) {
	t.Parallel()
	w := New(8, logs())
	w.Run(5 * time.Second)
	u := w.submit(0, array("run-000001", 12), 120, 0, false)
	w.waitFor(t, 60*time.Second, "it runs", func() bool { return w.running(u) })
	c, starts := w.leader(), w.rules.started
	// The third controller, wherever it is, still reaches everybody.
	var bridge string
	for _, n := range w.nodes {
		if n != c {
			bridge = n.name
			break
		}
	}
	w.interrupt(60*time.Second, false, func(a, b string) bool {
		return a != bridge && b != bridge && w.zoneOf[a] != w.zoneOf[b] && w.zoneOf[a] != "" && w.zoneOf[b] != ""
	})
	w.waitFor(t, 200*time.Second, "it is done", func() bool { return u.over })
	if w.rules.started != starts {
		t.Errorf("%d tasks were started again", w.rules.started-starts)
	}
	w.check(t)
}

// TestLargeArray: a job whose tasks fill many records keeps the state
// service's limits and survives a change of leader.
func TestLargeArray(t *testing.T) {
	t.Parallel()
	w := New(9, logs())
	w.Run(5 * time.Second)
	spec := array("run-000001", 700)
	spec.CPUs, spec.GPUs, spec.MemoryGB = 0.2, 0, 0.5
	u := w.submit(0, spec, 10, 0, false)
	w.Run(20 * time.Second)
	w.leader().crash(2 * time.Second)
	w.waitFor(t, 240*time.Second, "it is done", func() bool { return u.over })
	w.Run(20 * time.Second)
	for k := range w.state.keys {
		if k == "g/j/run-000001" || len(k) > 4 && k[:4] == "g/t/" {
			t.Errorf("%s is left", k)
		}
	}
	w.check(t)
}

// TestLargestJob: a job of the largest size is taken, keeps every limit of the
// state service, survives a change of leader and is cancelled in time.
func TestLargestJob(t *testing.T) {
	t.Parallel()
	w := New(14, logs())
	w.Run(5 * time.Second)
	spec := array("run-000001", 100_000)
	spec.CPUs, spec.GPUs, spec.MemoryGB = 0.2, 0, 0.5
	u := w.submit(0, spec, 10, 30*time.Second, false)
	w.Run(15 * time.Second)
	if w.rules.started == 0 {
		t.Error("nothing starts")
	}
	w.leader().crash(2 * time.Second)
	w.Run(15 * time.Second)
	w.waitFor(t, 30*time.Second, "it is cancelled", func() bool { return u.over })
	w.Run(60 * time.Second)
	if _, ok := w.state.keys["g/j/run-000001"]; ok {
		t.Error("its record is still among the unfinished")
	}
	w.check(t)
}

// TestSpareRepair: a gang that loses a machine runs again at once on a machine
// that is there, keeping its checkpoint.
func TestSpareRepair(t *testing.T) {
	t.Parallel()
	w := New(10, logs())
	w.Run(6 * time.Second)
	spec := gangJob("run-000001", 2)
	spec.GPUs, spec.OneZone, spec.CheckpointS, spec.SaveS = 2, true, 10, 2
	u := w.submit(0, spec, 60, 0, false)
	w.waitFor(t, 10*time.Second, "it runs", func() bool { return w.running(u) })
	w.Run(25 * time.Second)
	k := w.rules.onAt["run-000001/0"].k
	k.kill()
	delete(w.workers, k.h.ID)
	// Silence, two probes and a deletion: well before the lease would lapse.
	took := w.waitFor(t, 24*time.Second, "it runs again", func() bool { return w.running(u) })
	if took > 18*time.Second {
		t.Errorf("repaired after %v", took)
	}
	if u.j.progress[0] < 20 {
		t.Errorf("progress %v", u.j.progress[0])
	}
	w.waitFor(t, 120*time.Second, "it is done", func() bool { return u.over })
	w.check(t)
}

// TestZoneCutOff: a cut between two zones that leaves no path between their
// controllers costs nothing that runs: the reports of the far zone reach the
// leader by way of the state service, and so do its answers.
func TestZoneCutOff(t *testing.T) {
	t.Parallel()
	for _, hold := range []bool{true, false} {
		w := New(11, logs())
		w.Run(5 * time.Second)
		u := w.submit(0, array("run-000001", 12), 150, 0, false)
		w.waitFor(t, 60*time.Second, "it runs", func() bool { return w.running(u) })
		starts := w.rules.started
		w.interrupt(90*time.Second, hold, func(a, b string) bool {
			return w.zoneOf[a] != w.zoneOf[b] && w.zoneOf[a] != "" && w.zoneOf[b] != ""
		})
		w.Run(20 * time.Second)
		far := w.submit(0, array("run-000002", 16), 10, 0, false)
		w.waitFor(t, 60*time.Second, "a job that needs both zones is done", func() bool { return far.over })
		w.waitFor(t, 200*time.Second, "the first is done", func() bool { return u.over })
		if w.rules.started != starts+16 {
			t.Errorf("hold %v: %d tasks were started again", hold, w.rules.started-starts-16)
		}
		w.check(t)
	}
}
