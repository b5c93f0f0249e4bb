package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
)

func service(id protocol.JobID, replicas int) *protocol.Job {
	spec := array(id, replicas)
	spec.Class, spec.Shape, spec.Priority, spec.GPUs, spec.CPUs, spec.MemoryGB, spec.EstimateS, spec.Spread = "service", protocol.ShapeService, "critical", 0, 2, 10, 0, true
	return spec
}

// share is the part of a service's replica time that was served.
func (u *user) share() float64 { return float64(u.up) / float64(u.up+u.away) }

// serviceFault is something that happens to a service's machines or to the controllers.
type serviceFault struct {
	name  string
	play  func(w *World, u *user)
	least float64 // share of 200 s of four replicas that must be served
}

var serviceFaults = []serviceFault{
	{"nothing", func(*World, *user) {}, 1},
	{"the leader ends", func(w *World, _ *user) { w.replace(4 * time.Second) }, 1},
	{"all controllers end", func(w *World, _ *user) {
		for _, c := range w.nodes {
			c.crash(4 * time.Second)
		}
	}, 1},
	{"a machine dies", func(w *World, u *user) {
		k := w.rules.onAt[protocol.TaskName(u.j.spec.ID, 1)].k
		k.kill()
		delete(w.workers, k.h.ID)
	}, 0.97},
	{"a machine is taken away with notice", func(w *World, u *user) {
		k := w.rules.onAt[protocol.TaskName(u.j.spec.ID, 1)].k
		n := 20.0
		k.notice = &n
		k.noteChange()
		w.after(20*time.Second, func() { w.cloud.destroy(k.h) })
	}, 0.994},
	{"a machine fails every task", func(w *World, u *user) {
		w.rules.onAt[protocol.TaskName(u.j.spec.ID, 1)].k.sick = true
		w.submit(time.Second, array("run-000081", 4), 10, 0, false)
		w.submit(2*time.Second, array("run-000082", 4), 10, 0, false)
	}, 0.994},
	{"a machine opens no connection", func(w *World, u *user) {
		k := w.rules.onAt[protocol.TaskName(u.j.spec.ID, 1)].k
		k.mute = true
		w.after(100*time.Second, func() { k.mute = false })
	}, 0.98},
	{"the state service is down", func(w *World, _ *user) { w.state.outage(15 * time.Second) }, 1},
	{"a zone is cut off", func(w *World, _ *user) {
		w.interrupt(25*time.Second, false, func(a, _ string) bool { return w.zoneOf[a] == "east" })
	}, 0.9},
}

// TestServices: what a service's replicas lose under each fault is no more than
// the time that proof of their end and another start take; only its user ends it.
func TestServices(t *testing.T) {
	t.Parallel()
	for _, c := range serviceFaults {
		t.Run(c.name, c.run)
	}
}

// run plays it with one service of four replicas.
func (c serviceFault) run(t *testing.T) {
	w := New(70, logs())
	w.Run(6 * time.Second)
	u := w.submit(0, service("run-000001", 4), 0, 210*time.Second, false)
	w.waitFor(t, 5*time.Second, "it runs", func() bool { return w.running(u) })
	w.submit(time.Second, gangJob("run-000002", 4), 300, 0, false) // no machine but its own goes idle
	w.Run(20 * time.Second)
	c.play(w, u)
	w.Run(200 * time.Second)
	if got := u.share(); got < c.least {
		t.Errorf("%.4f of the replica time is served", got)
	} else {
		t.Logf("%.4f", got)
	}
	w.Run(60 * time.Second)
	if !u.over || u.phase != protocol.PhaseCancelled {
		t.Errorf("it is %s", u.phase)
	}
	w.check(t)
}

// TestReplicaEnds: a replica that ends by itself, whatever its cause, runs again;
// a service whose replicas end at once makes no storm of starts, also when it
// fails on every machine, and takes no machine from others.
func TestReplicaEnds(t *testing.T) {
	t.Parallel()
	w := New(71, logs())
	w.Run(6 * time.Second)
	u := w.submit(0, service("run-000001", 4), 0, 0, false)
	u.j.ends = 60 * time.Second
	w.Run(200 * time.Second)
	if got := u.share(); got < 0.95 {
		t.Errorf("%.4f of the replica time is served", got)
	}
	u.asked = false
	for i, ends := range []time.Duration{200 * time.Millisecond, 0} {
		v := w.submit(0, service(protocol.JobID(fmt.Sprintf("run-00001%d", i)), 6), 0, 0, ends == 0)
		v.j.ends = ends
		w.Run(150 * time.Second)
		n := 0
		for _, s := range v.j.starts {
			n += s
		}
		t.Logf("%d starts in 150 s", n)
		if n > 6*12 || n < 6*4 {
			t.Errorf("%d starts of six replicas in 150 s", n)
		}
		v.cancel()
		w.waitFor(t, 20*time.Second, "it is cancelled", func() bool { return v.over })
	}
	a := w.submit(0, array("run-000020", 4), 10, 0, false)
	w.waitFor(t, 60*time.Second, "others are served", func() bool { return a.over })
	w.check(t)
}

// TestServiceLimit: a service needs room for all its tasks within its team's limit.
func TestServiceLimit(t *testing.T) {
	t.Parallel()
	w := New(72, logs())
	w.Run(6 * time.Second)
	for replicas, want := range map[int]int{2: 201, 3: 422} {
		spec := service(protocol.JobID(fmt.Sprintf("run-00000%d", replicas)), replicas)
		spec.Team, spec.GPUs = "red", 4 // of 10
		got := 0
		w.nodes[0].ask(func(id uint64) coordination.Event { return coordination.Submit{ID: id, Job: spec} }, func(status int, _ []byte) { got = status })
		w.Run(time.Second)
		if got != want {
			t.Errorf("%d replicas: %d", replicas, got)
		}
	}
}

// TestReplicasLeaveGPUs: replicas are spread over machines, and take no processors
// or memory that work on GPUs needs while there are others.
func TestReplicasLeaveGPUs(t *testing.T) {
	t.Parallel()
	shape := Small()
	shape.Machines, shape.Capacity = 8, 8
	w := NewShaped(73, logs(), shape)
	w.Run(6 * time.Second)
	g := gangJob("run-000001", 2)
	g.GPUs, g.CPUs, g.MemoryGB = 4, 28, 200
	big := w.submit(0, g, 20, 0, false)
	w.waitFor(t, 20*time.Second, "the gang runs", func() bool { return w.running(big) })
	for i := range 4 {
		spec := service(protocol.JobID(fmt.Sprintf("run-00001%d", i)), 4)
		spec.Spread = i%2 == 0
		u := w.submit(0, spec, 0, 0, false)
		w.waitFor(t, 10*time.Second, "it runs", func() bool { return w.running(u) })
		on := map[protocol.MachineID]int{}
		for k := range 4 {
			on[w.rules.onAt[protocol.TaskName(spec.ID, k)].k.h.ID]++
		}
		if len(on) != 4 {
			t.Errorf("%s is on %v", spec.ID, on)
		}
	}
	w.waitFor(t, 60*time.Second, "the gang is done", func() bool { return big.over })
	for i := range 4 { // eight machines with two replicas each: 4 of 32 processors
		u := w.submit(0, func() *protocol.Job { g := *g; g.ID = protocol.JobID(fmt.Sprintf("run-00002%d", i)); return &g }(), 20, 0, false)
		w.waitFor(t, 10*time.Second, "another gang runs beside them", func() bool { return w.running(u) })
	}
	w.check(t)
}
