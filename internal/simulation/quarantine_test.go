package simulation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// The tests of this file use a small deployment of two machines, one per zone. Its cloud has no
// further machine, so that nothing can replace a machine that is taken out of use.

// twoMachineShape returns the shape of that deployment.
func twoMachineShape() Shape {
	shape := SmallShape()
	shape.Machines, shape.Capacity = 2, 2
	return shape
}

// submitMistakenJobs submits two jobs that fail on every machine. Their users cancel them after a
// while, or never if cancelAfter is 0.
func (w *World) submitMistakenJobs(cancelAfter time.Duration) {
	for i := range 2 {
		w.submit(arrival{job: withTaskResources(array(jobID(10+i), 1), 6, 1, 48), run: 10, cancelAfter: cancelAfter, alwaysFails: true})
	}
}

// cordonedMachines returns how many machines the leader has taken out of use, according to the
// stored records.
func (w *World) cordonedMachines() (count int) {
	for key, entry := range w.store.keys {
		if !strings.HasPrefix(key, storage.MachineRecordPrefix) {
			continue
		}
		var record storage.MachineRecord
		decode(entry.Value, &record)
		for _, machine := range record.Machines {
			if machine.Cordoned {
				count++
			}
		}
	}
	return count
}

// mistakenJobsScenario is a course of events after two jobs with a mistake have failed on both
// machines.
type mistakenJobsScenario struct {
	name        string
	replicas    int // of a service that keeps the machines from becoming empty
	cancelAfter time.Duration
	startsIn    time.Duration // within which another job starts
	then        func(w *World)
}

var mistakenJobsScenarios = []mistakenJobsScenario{
	{"they are cancelled", 3, 6 * time.Second, 5 * time.Second, func(*World) {}},
	{"they are not cancelled", 3, 0, maxWaitDespiteCapacity, func(*World) {}},
	{"the leader changes before they are cancelled", 3, 8 * time.Second, maxWaitDespiteCapacity, func(w *World) {
		w.after(6*time.Second, func() { w.crashLeader(20 * time.Second) })
	}},
	{"the leader changes while they are cancelled", 3, 6 * time.Second, maxWaitDespiteCapacity, func(w *World) {
		w.after(6*time.Second+20*time.Millisecond, func() { w.crashLeader(20 * time.Second) })
	}},
	{"all controllers restart", 3, 0, maxWaitDespiteCapacity, func(w *World) {
		w.after(7*time.Second, func() { w.crashAll(4 * time.Second) })
	}},
	{"no service runs", 0, 6 * time.Second, maxWaitDespiteCapacity, func(*World) {}},
}

// TestMistakenJobsLeaveMachinesInUse: jobs that were submitted with a mistake fail on all machines,
// which are quarantined although they work. They must be given back to other jobs, also by a later
// leader, which finds only the stored cordon, and also if there is no machine to replace them.
func TestMistakenJobsLeaveMachinesInUse(t *testing.T) {
	t.Parallel()
	for _, c := range mistakenJobsScenarios {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

func (c mistakenJobsScenario) run(t *testing.T) {
	w := startWorld(81, twoMachineShape(), 6*time.Second)
	if c.replicas > 0 {
		w.submitAndWaitUntilRunning(t, 10*time.Second, service("run-000001", c.replicas), 0)
	}
	w.submitMistakenJobs(c.cancelAfter)
	c.then(w)
	w.Run(7 * time.Second)
	users := []*user{w.submit(arrival{job: withTaskResources(array("run-000020", 3), 6, 1, 48), run: 5})}
	for i := range 8 {
		users = append(users, w.submit(arrival{after: time.Duration(i) * 500 * time.Millisecond, job: withTaskResources(array(jobID(100+i), 1), 6, 1, 48), run: 5}))
	}
	w.watchWaitingJobs()
	w.waitFor(t, c.startsIn, "run-000020 starts", func() bool { return !users[0].job.startedAt.IsZero() })
	w.waitUntilOver(t, maxWaitDespiteCapacity, users...)
	if cordoned := w.cordonedMachines(); c.cancelAfter > 0 && cordoned > 0 {
		t.Errorf("%d machines are still cordoned", cordoned)
	}
	w.expectRulesHeld(t)
}

// TestFaultyMachineIsKeptFromWork: a machine that fails every task cannot be emptied, because the
// only other machine has no room for its replicas, and cannot be replaced. It is tried from time to
// time with one job, and is in use again once it works. Meanwhile the other machine serves all jobs.
func TestFaultyMachineIsKeptFromWork(t *testing.T) {
	t.Parallel()
	w := startWorld(82, twoMachineShape(), 6*time.Second)
	replicas := withTaskResources(service("run-000001", 2), 8, 0, 40)
	w.submitAndWaitUntilRunning(t, 10*time.Second, replicas, 0)
	faulty := w.agentOf("run-000001", 0)
	faulty.failsTasks = true
	const settles, faultLasts = 30 * time.Second, 300 * time.Second
	var users []*user
	for i := range 37 {
		users = append(users, w.submit(arrival{after: time.Duration(i) * 8 * time.Second, job: array(jobID(100+i), 2), run: 16}))
	}
	w.Run(settles)
	failedAtFirst := faulty.failedTasks
	w.Run(faultLasts - settles)
	failed := faulty.failedTasks - failedAtFirst
	t.Logf("%d tasks failed on the machine in the first %v, %d in the %v after that", failedAtFirst, settles, failed, faultLasts-settles)
	// One job of two tasks may be tried after each quarantine.
	if most := 2 * (1 + int((faultLasts-settles)/tuning.QuarantineTime)); failed > most {
		t.Errorf("%d tasks failed on the machine, want at most %d", failed, most)
	}
	w.waitUntilOver(t, maxWaitDespiteCapacity, users...)

	faulty.failsTasks = false
	both := w.submit(arrival{job: withTaskResources(gangJob("run-000300", 2), 20, 4, 150), run: 5})
	w.waitUntilRunning(t, maxWaitDespiteCapacity, both)
	w.expectRulesHeld(t)
}

// TestJobBlamedForFaultyMachinesRuns: a job fails on three faulty machines, the only ones with free
// capacity, and is taken to be at fault. The machines are deleted. No machine was requested for the
// job any more, and no work of lower priority stopped.
func TestJobBlamedForFaultyMachinesRuns(t *testing.T) {
	t.Parallel()
	for _, spare := range []int{4, 0} { // machines that the cloud can create besides those of the start
		t.Run(fmt.Sprint(spare, " more machines"), func(t *testing.T) {
			t.Parallel()
			shape := SmallShape()
			shape.Machines, shape.Capacity = 5, 5+spare
			w := startWorld(83, shape, 6*time.Second)
			low := withCheckpoints(withQueue(array("run-000010", 8), "low", "free", "idle"), 15, 2)
			w.submitAndWaitUntilRunning(t, 10*time.Second, low, 3000)
			var faulty []*agent
			for _, agent := range w.agentsInCreationOrder() {
				if len(agent.tasks) == 0 {
					faulty = append(faulty, agent)
					agent.failsTasks = true
				}
			}
			if len(faulty) != 3 {
				t.Fatalf("%d machines are idle", len(faulty))
			}
			job := withTaskResources(array("run-000020", 2), 6, 1, 48)
			if spare == 0 {
				withTaskResources(job, 28, 4, 200) // needs a machine of its own
			}
			u := w.submit(arrival{job: job, run: 5})
			w.Run(40 * time.Second)
			for _, agent := range faulty {
				agent.failsTasks = false
			}
			w.waitUntilOver(t, maxWaitDespiteCapacity, u)
			w.expectRulesHeld(t)
		})
	}
}

// TestMistakenJobTakesLittleCapacity: a job that fails everywhere and is not cancelled has machines
// requested and work stopped for it only after pauses that double.
func TestMistakenJobTakesLittleCapacity(t *testing.T) {
	t.Parallel()
	shape := SmallShape()
	shape.Machines, shape.Capacity = 4, 12
	w := startWorld(84, shape, 6*time.Second)
	low := withCheckpoints(withQueue(array("run-000010", 48), "low", "free", "idle"), 15, 2)
	u := w.submit(arrival{job: low, run: 3000})
	w.Run(120 * time.Second)
	created, starts := len(w.cloud.hosts), sum(u.job.starts)
	mistaken := w.submit(arrival{job: withQueue(array("run-000020", 4), "c", "free", "high"), alwaysFails: true})
	const lasts = 600 * time.Second
	w.Run(lasts)
	created, stopped := len(w.cloud.hosts)-created, sum(u.job.starts)-starts
	t.Logf("%d machines created, %d tasks of lower priority started again, %d starts of the job", created, stopped, sum(mistaken.job.starts))
	tries := tuning.MaxJobFailures
	for pause, total := tuning.CapacityRetryPause, time.Duration(0); total+pause <= lasts; pause *= 2 {
		total += pause
		tries++
	}
	if most := 4 * tries; stopped > most || created > most {
		t.Errorf("want at most %d of each", most)
	}
	w.expectRulesHeld(t)
}

// maxStatusLag is how far a job's state as its user sees it may lag behind.
const maxStatusLag = 3 * time.Second

// TestStatusOfWaitingJobIsPending: a job whose tasks failed waits for its retry. Its user was told
// "running" until a task was placed again.
func TestStatusOfWaitingJobIsPending(t *testing.T) {
	t.Parallel()
	w := startWorld(85, SmallShape(), 6*time.Second)
	u := w.submit(arrival{job: array("run-000001", 2), alwaysFails: true})
	waitsSince, starts := w.Now, 0
	for range 120 * 2 {
		w.Run(500 * time.Millisecond)
		if w.unplacedTasks(u) < 2 || sum(u.job.starts) != starts {
			waitsSince, starts = w.Now, sum(u.job.starts)
		}
		c := w.nodes[0]
		c.ask(statusQuery("run-000001"), func(_ int, body []byte) {
			var status protocol.Status
			if decode(body, &status); status.Phase == protocol.PhaseRunning && w.Now.Sub(waitsSince) > maxStatusLag {
				t.Errorf("%s: the job is %s, no task has been on a machine for %v", w.clock(), status.Phase, w.Now.Sub(waitsSince))
			}
		})
	}
	if sum(u.job.starts) < 2*tuning.MaxJobFailures {
		t.Errorf("only %d tasks started", sum(u.job.starts))
	}
	w.expectRulesHeld(t)
}
