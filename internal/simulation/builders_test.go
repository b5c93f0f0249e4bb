package simulation

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// This file has what all tests of this package share: builders of deployments and jobs, waits,
// and checks.

// waitPollInterval is the simulated time between two checks of a condition that is waited for.
const waitPollInterval = 20 * time.Millisecond

// logs returns the writer of a run's log: stderr if SIMULATION_LOG is set, nil otherwise.
func logs() io.Writer {
	if os.Getenv("SIMULATION_LOG") != "" {
		return os.Stderr
	}
	return nil
}

// seedCount returns how many seeds a test with random runs does: SIMULATION_DAYS if that is set, and
// fewer with -short.
func seedCount(usual, short int) int {
	if testing.Short() {
		return short
	}
	if n, err := strconv.Atoi(os.Getenv("SIMULATION_DAYS")); err == nil {
		return n
	}
	return usual
}

// startWorld creates a deployment and runs it for a while, so that a leader is elected and the
// machines have sent heartbeats.
func startWorld(seed uint64, shape Shape, settle time.Duration) *World {
	w := NewWithShape(seed, logs(), shape)
	w.Run(settle)
	return w
}

// jobID returns the ID of the job with this number.
func jobID(number int) protocol.JobID { return protocol.JobID(fmt.Sprintf("run-%06d", number)) }

// array returns an array job of small tasks that need one GPU each.
func array(id protocol.JobID, tasks int) *protocol.Job {
	return &protocol.Job{ID: id, Class: "c", Team: "free", Shape: protocol.ShapeArray, Priority: "normal", Tasks: tasks,
		CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "img", ImageGB: 1, EstimateS: 20}
}

// gangJob returns a gang job, whose tasks run all together or not at all.
func gangJob(id protocol.JobID, tasks int) *protocol.Job {
	job := array(id, tasks)
	job.Shape = protocol.ShapeGang
	return job
}

// service returns a service of small replicas without GPUs, spread over the zones.
func service(id protocol.JobID, replicas int) *protocol.Job {
	job := withTaskResources(array(id, replicas), 2, 0, 10)
	job.Class, job.Shape, job.Priority, job.EstimateS, job.Spread = "service", protocol.ShapeService, "critical", 0, true
	return job
}

// largeGang returns a gang of 32 tasks in one zone. Each task takes a whole machine with two
// GPUs.
func largeGang(id protocol.JobID) *protocol.Job {
	job := withTaskResources(gangJob(id, 32), 20, 2, 110)
	job.OneZone = true
	return job
}

// withTaskResources sets the resources that each task of a job needs, and returns the job.
func withTaskResources(job *protocol.Job, cpus, gpus, memoryGB float64) *protocol.Job {
	job.CPUs, job.GPUs, job.MemoryGB = cpus, gpus, memoryGB
	return job
}

// withQueue sets the class, team and priority of a job, which determine its queue, and returns
// the job.
func withQueue(job *protocol.Job, class string, team protocol.TeamName, priority string) *protocol.Job {
	job.Class, job.Team, job.Priority = class, team, priority
	return job
}

// withCheckpoints sets a job's checkpoint interval and the time to save a checkpoint, both in
// seconds, and returns the job.
func withCheckpoints(job *protocol.Job, every, save float64) *protocol.Job {
	job.CheckpointIntervalS, job.CheckpointSaveS = every, save
	return job
}

// submitAndWaitUntilRunning has a new user submit a job at once, and waits until all its tasks
// run. The tasks run for run seconds.
func (w *World) submitAndWaitUntilRunning(t *testing.T, limit time.Duration, job *protocol.Job, run float64) *user {
	t.Helper()
	u := w.submit(arrival{job: job, run: run})
	w.waitUntilRunning(t, limit, u)
	return u
}

// leader returns the controller that leads, or nil if none does.
func (w *World) leader() *controller {
	for _, c := range w.nodes {
		if c.alive && c.node.Leading() {
			return c
		}
	}
	return nil
}

// otherControllers returns all controllers but c.
func (w *World) otherControllers(c *controller) []*controller {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(o *controller) bool { return o == c })
}

// agentsInCreationOrder returns the agents of the machines that are up, in the order in which the
// machines were created.
func (w *World) agentsInCreationOrder() (list []*agent) {
	for _, h := range w.cloud.hosts {
		if agent := w.agents[h.ID]; agent != nil {
			list = append(list, agent)
		}
	}
	return list
}

// loseOldestAgents ends the agents of the n machines that were created first, or of all if there
// are fewer. It returns how many it ended.
func (w *World) loseOldestAgents(n int) int {
	list := w.agentsInCreationOrder()
	list = list[:min(n, len(list))]
	for _, agent := range list {
		w.loseAgent(agent)
	}
	return len(list)
}

// agentOf returns the agent of the machine that a task is placed on.
func (w *World) agentOf(job protocol.JobID, task int) *agent {
	return w.rules.placed[protocol.TaskName(job, task)].agent
}

// running reports whether all tasks of these users' jobs run.
func (w *World) running(users ...*user) bool {
	for _, u := range users {
		for i := range u.job.spec.Tasks {
			task := w.rules.placed[protocol.TaskName(u.job.spec.ID, i)]
			if task == nil || task.state != protocol.TaskRunning {
				return false
			}
		}
	}
	return true
}

// over reports whether all these users have been told the final phase of their jobs.
func over(users ...*user) bool {
	for _, u := range users {
		if !u.over {
			return false
		}
	}
	return true
}

// waitFor runs the world until holds returns true, and returns the simulated time that this took.
// The test fails if it takes longer than limit.
func (w *World) waitFor(t *testing.T, limit time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	from := w.Now
	for !holds() {
		if w.Now.Sub(from) > limit {
			t.Fatalf("%s: did not happen within %v", what, limit)
		}
		w.Run(waitPollInterval)
	}
	return w.Now.Sub(from)
}

// waitUntilRunning waits until all tasks of these users' jobs run.
func (w *World) waitUntilRunning(t *testing.T, limit time.Duration, users ...*user) time.Duration {
	t.Helper()
	return w.waitFor(t, limit, fmt.Sprint(jobIDsOf(users), " run"), func() bool { return w.running(users...) })
}

// waitUntilOver waits until all these users have been told the final phase of their jobs.
func (w *World) waitUntilOver(t *testing.T, limit time.Duration, users ...*user) time.Duration {
	t.Helper()
	return w.waitFor(t, limit, fmt.Sprint(jobIDsOf(users), " are over"), func() bool { return over(users...) })
}

// waitForLeader waits until a controller leads.
func (w *World) waitForLeader(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	return w.waitFor(t, limit, "a controller leads", func() bool { return w.leader() != nil })
}

// jobIDsOf returns the IDs of these users' jobs.
func jobIDsOf(users []*user) (jobs []protocol.JobID) {
	for _, u := range users {
		jobs = append(jobs, u.job.spec.ID)
	}
	return jobs
}

// statusOf sends a request to a controller and returns the HTTP status of its response, or 0 if
// there is none within a second.
func (w *World) statusOf(c *controller, r request) (status int) {
	c.ask(r, func(s int, _ []byte) { status = s })
	w.Run(time.Second)
	return status
}

// expectStarts checks that want tasks were started after rules.started had the value since.
func (w *World) expectStarts(t *testing.T, since, want int, during string) {
	t.Helper()
	if n := w.rules.started - since; n != want {
		t.Errorf("%s: %d tasks started, want %d", during, n, want)
	}
}

// expectRulesHeld reports every violation of a protocol rule as an error.
func (w *World) expectRulesHeld(t *testing.T) {
	t.Helper()
	for _, f := range w.rules.failures {
		t.Error(f)
	}
}
