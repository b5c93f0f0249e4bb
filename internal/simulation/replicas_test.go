package simulation

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// servedShare is the part of a service's replica time that was served.
func (u *user) servedShare() float64 { return float64(u.served) / float64(u.served+u.unserved) }

// serviceFault is something that happens to a service's machines or to the controllers.
type serviceFault struct {
	name     string
	inject   func(w *World, u *user)
	minShare float64 // share of 200 s of four replicas that must be served
}

var serviceFaults = []serviceFault{
	{"nothing", func(*World, *user) {}, 1},
	{"the leader ends", func(w *World, _ *user) { w.crashLeader(4 * time.Second) }, 1},
	{"all controllers end", func(w *World, _ *user) {
		w.crashAll(4 * time.Second)
	}, 1},
	{"a machine dies", func(w *World, u *user) {
		k := w.agentOf(u.job.spec.ID, 1)
		w.loseAgent(k)
	}, 0.97},
	{"a machine is taken away with notice", func(w *World, u *user) {
		k := w.agentOf(u.job.spec.ID, 1)
		k.announcePreemption(20)
		w.after(20*time.Second, func() { w.cloud.destroy(k.host) })
	}, 0.994},
	{"a machine fails every task", func(w *World, u *user) {
		w.agentOf(u.job.spec.ID, 1).failsTasks = true
		w.submit(arrival{after: time.Second, job: array("run-000081", 4), run: 10})
		w.submit(arrival{after: 2 * time.Second, job: array("run-000082", 4), run: 10})
	}, 0.994},
	{"a machine opens no connection", func(w *World, u *user) {
		k := w.agentOf(u.job.spec.ID, 1)
		k.opensNoConnections = true
		w.after(100*time.Second, func() { k.opensNoConnections = false })
	}, 0.98},
	{"the key-value store is down", func(w *World, _ *user) { w.store.outage(15 * time.Second) }, 1},
	{"a zone is cut off", func(w *World, _ *user) {
		w.disconnect(25*time.Second, packetsDropped, func(a, _ string) bool { return w.zoneOf[a] == "east" })
	}, 0.9},
}

// TestServicesServeThroughFaults: what a service's replicas lose under each fault is no more than
// the time that proof of their end and another start take; only its user ends it.
func TestServicesServeThroughFaults(t *testing.T) {
	t.Parallel()
	for _, c := range serviceFaults {
		t.Run(c.name, c.run)
	}
}

// run plays it with one service of four replicas.
func (c serviceFault) run(t *testing.T) {
	w := startWorld(70, SmallShape(), 6*time.Second)
	u := w.submit(arrival{job: service("run-000001", 4), cancelAfter: 210 * time.Second})
	w.waitUntilRunning(t, 5*time.Second, u)
	w.submit(arrival{after: time.Second, job: gangJob("run-000002", 4), run: 300}) // no machine but its own goes idle
	w.Run(20 * time.Second)
	c.inject(w, u)
	w.Run(200 * time.Second)
	if got := u.servedShare(); got < c.minShare {
		t.Errorf("%.4f of the replica time is served", got)
	} else {
		t.Logf("%.4f", got)
	}
	w.Run(60 * time.Second)
	if !u.over || u.phase != protocol.PhaseCancelled {
		t.Errorf("it is %s", u.phase)
	}
	w.expectRulesHeld(t)
}

// TestEndedReplicasRestartWithoutStorm: a replica that ends by itself, whatever its cause, runs again;
// a service whose replicas end at once makes no storm of starts, also when it
// fails on every machine, and takes no machine from others.
func TestEndedReplicasRestartWithoutStorm(t *testing.T) {
	t.Parallel()
	w := startWorld(71, SmallShape(), 6*time.Second)
	u := w.submit(arrival{job: service("run-000001", 4)})
	u.job.ends = 60 * time.Second
	w.Run(200 * time.Second)
	if got := u.servedShare(); got < 0.95 {
		t.Errorf("%.4f of the replica time is served", got)
	}
	u.cancelRequested = false
	for i, ends := range []time.Duration{200 * time.Millisecond, 0} {
		v := w.submit(arrival{job: service(jobID(10+i), 6), alwaysFails: ends == 0})
		v.job.ends = ends
		w.Run(150 * time.Second)
		n := sum(v.job.starts)
		t.Logf("%d starts in 150 s", n)
		if n > 6*12 || n < 6*4 {
			t.Errorf("%d starts of six replicas in 150 s", n)
		}
		v.cancel()
		w.waitUntilOver(t, 20*time.Second, v)
	}
	a := w.submit(arrival{job: array("run-000020", 4), run: 10})
	w.waitUntilOver(t, 60*time.Second, a)
	w.expectRulesHeld(t)
}

// TestServiceBeyondTeamLimitIsRefused: a service needs quota for all its tasks.
func TestServiceBeyondTeamLimitIsRefused(t *testing.T) {
	t.Parallel()
	w := startWorld(72, SmallShape(), 6*time.Second)
	for _, c := range []struct{ replicas, status int }{{2, 201}, {3, 422}} {
		spec := service(jobID(c.replicas), c.replicas)
		spec.Team, spec.GPUs = "red", 4 // of 10
		if got := w.statusOf(w.nodes[0], submission(spec)); got != c.status {
			t.Errorf("%d replicas: %d, want %d", c.replicas, got, c.status)
		}
	}
}

// gangOfLargeTasks is a gang of two tasks that take most of a machine of the small shape each.
func gangOfLargeTasks(id protocol.JobID) *protocol.Job {
	return withTaskResources(gangJob(id, 2), 28, 4, 200)
}

// TestReplicasLeaveRoomForGPUJobs: replicas are spread over machines, and take no processors
// or memory that work on GPUs needs while there are others.
func TestReplicasLeaveRoomForGPUJobs(t *testing.T) {
	t.Parallel()
	shape := SmallShape()
	shape.Machines, shape.Capacity = 8, 8
	w := startWorld(73, shape, 6*time.Second)
	big := w.submitAndWaitUntilRunning(t, 20*time.Second, gangOfLargeTasks("run-000001"), 20)
	for i := range 4 {
		spec := service(jobID(10+i), 4)
		spec.Spread = i%2 == 0
		w.submitAndWaitUntilRunning(t, 10*time.Second, spec, 0)
		on := map[protocol.MachineID]int{}
		for k := range 4 {
			on[w.agentOf(spec.ID, k).host.ID]++
		}
		if len(on) != 4 {
			t.Errorf("%s is on %v", spec.ID, on)
		}
	}
	w.waitUntilOver(t, 60*time.Second, big)
	for i := range 4 { // eight machines with two replicas each: 4 of 32 processors
		w.submitAndWaitUntilRunning(t, 10*time.Second, gangOfLargeTasks(jobID(20+i)), 20)
	}
	w.expectRulesHeld(t)
}
