package simulation

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// servedShare returns the share of a service's replica time that was served.
func (u *user) servedShare() float64 { return float64(u.served) / float64(u.served+u.unserved) }

// serviceFault is a fault of a service's machines, of the controllers or of what they depend on.
type serviceFault struct {
	name     string
	inject   func(w *World, u *user)
	minShare float64 // least share of the replica time that must be served, over 200 s of four replicas
}

var serviceFaults = []serviceFault{
	{"no fault", func(*World, *user) {}, 1},
	{"the leader crashes", func(w *World, _ *user) { w.crashLeader(4 * time.Second) }, 1},
	{"all controllers crash", func(w *World, _ *user) {
		w.crashAll(4 * time.Second)
	}, 1},
	{"a machine dies", func(w *World, u *user) {
		agent := w.agentOf(u.job.spec.ID, 1)
		w.loseAgent(agent)
	}, 0.97},
	{"a machine is preempted with notice", func(w *World, u *user) {
		agent := w.agentOf(u.job.spec.ID, 1)
		agent.announcePreemption(20)
		w.after(20*time.Second, func() { w.cloud.destroy(agent.host) })
	}, 0.994},
	{"a machine fails every task", func(w *World, u *user) {
		w.agentOf(u.job.spec.ID, 1).failsTasks = true
		w.submit(arrival{after: time.Second, job: array("run-000081", 4), run: 10})
		w.submit(arrival{after: 2 * time.Second, job: array("run-000082", 4), run: 10})
	}, 0.994},
	{"a machine cannot open connections", func(w *World, u *user) {
		agent := w.agentOf(u.job.spec.ID, 1)
		agent.opensNoConnections = true
		w.after(100*time.Second, func() { agent.opensNoConnections = false })
	}, 0.98},
	{"the key-value store is down", func(w *World, _ *user) { w.store.outage(15 * time.Second) }, 1},
	{"a zone is partitioned", func(w *World, _ *user) {
		w.disconnect(25*time.Second, packetsDropped, func(a, _ string) bool { return w.zoneOf[a] == "east" })
	}, 0.9},
}

// TestServicesServeThroughFaults: under each fault, a service's replicas are down no longer than it
// takes to prove that they have ended and to start them again. Only its user ends the service.
func TestServicesServeThroughFaults(t *testing.T) {
	t.Parallel()
	for _, c := range serviceFaults {
		t.Run(c.name, c.run)
	}
}

// run injects the fault while a service of four replicas runs.
func (c serviceFault) run(t *testing.T) {
	w := startWorld(70, SmallShape(), 6*time.Second)
	u := w.submit(arrival{job: service("run-000001", 4), cancelAfter: 210 * time.Second})
	w.waitUntilRunning(t, 5*time.Second, u)
	// Keeps machines other than the service's from becoming idle.
	w.submit(arrival{after: time.Second, job: gangJob("run-000002", 4), run: 300})
	w.Run(20 * time.Second)
	c.inject(w, u)
	w.Run(200 * time.Second)
	if got := u.servedShare(); got < c.minShare {
		t.Errorf("%.4f of the replica time is served", got)
	} else {
		t.Logf("%.4f of the replica time is served", got)
	}
	w.Run(60 * time.Second)
	if !u.over || u.phase != protocol.PhaseCancelled {
		t.Errorf("the service is %s", u.phase)
	}
	w.expectRulesHeld(t)
}

// TestEndedReplicasRestartWithoutStorm: a replica that ends by itself, for whatever reason, runs
// again. A service whose replicas end as soon as they start causes no storm of starts, even if it
// fails on every machine, and makes no machine unavailable to other jobs.
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

// TestServiceBeyondTeamLimitIsRefused: a service whose replicas together need more than the team's
// limit is refused.
func TestServiceBeyondTeamLimitIsRefused(t *testing.T) {
	t.Parallel()
	w := startWorld(72, SmallShape(), 6*time.Second)
	for _, c := range []struct{ replicas, status int }{{2, 201}, {3, 422}} {
		spec := service(jobID(c.replicas), c.replicas)
		spec.Team, spec.GPUs = "red", 4 // of 10
		if got := w.statusOf(w.nodes[0], submission(spec)); got != c.status {
			t.Errorf("%d replicas: status %d, want %d", c.replicas, got, c.status)
		}
	}
}

// gangOfLargeTasks returns a gang of two tasks that each take most of a machine of the small shape.
func gangOfLargeTasks(id protocol.JobID) *protocol.Job {
	return withTaskResources(gangJob(id, 2), 28, 4, 200)
}

// TestReplicasLeaveRoomForGPUJobs: replicas are spread over machines, and do not take CPUs
// or memory that GPU jobs need while other capacity is available.
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
		replicasPerMachine := map[protocol.MachineID]int{}
		for k := range 4 {
			replicasPerMachine[w.agentOf(spec.ID, k).host.ID]++
		}
		if len(replicasPerMachine) != 4 {
			t.Errorf("replicas of %s by machine: %v", spec.ID, replicasPerMachine)
		}
	}
	w.waitUntilOver(t, 60*time.Second, big)
	for i := range 4 { // eight machines with two replicas each, which take 4 of 32 CPUs
		w.submitAndWaitUntilRunning(t, 10*time.Second, gangOfLargeTasks(jobID(20+i)), 20)
	}
	w.expectRulesHeld(t)
}
