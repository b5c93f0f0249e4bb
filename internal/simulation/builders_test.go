package simulation

import (
	"fmt"
	"io"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// The builders of deployments and jobs for all tests of this package, and what tests wait
// for and count.

// waitPollInterval is how often a wait looks at the world.
const waitPollInterval = 20 * time.Millisecond

// logs is where a run's log goes: nowhere, unless SIMULATION_LOG asks for it.
func logs() io.Writer {
	if os.Getenv("SIMULATION_LOG") != "" {
		return os.Stderr
	}
	return nil
}

// startWorld makes a deployment and lets it settle: a leader is elected and the machines
// have reported.
func startWorld(seed uint64, shape Shape, settle time.Duration) *World {
	w := NewWithShape(seed, logs(), shape)
	w.Run(settle)
	return w
}

// jobID is the name of the job of a number.
func jobID(number int) protocol.JobID { return protocol.JobID(fmt.Sprintf("run-%06d", number)) }

// array is a job array of small tasks with a GPU each.
func array(id protocol.JobID, tasks int) *protocol.Job {
	return &protocol.Job{ID: id, Class: "c", Team: "free", Shape: protocol.ShapeArray, Priority: "normal", Tasks: tasks,
		CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "img", ImageGB: 1, EstimateS: 20}
}

// gangJob is an array whose tasks run together or not at all.
func gangJob(id protocol.JobID, tasks int) *protocol.Job {
	job := array(id, tasks)
	job.Shape = protocol.ShapeGang
	return job
}

// service is a service of small replicas without GPUs, spread over the zones.
func service(id protocol.JobID, replicas int) *protocol.Job {
	job := withTaskResources(array(id, replicas), 2, 0, 10)
	job.Class, job.Shape, job.Priority, job.EstimateS, job.Spread = "service", protocol.ShapeService, "critical", 0, true
	return job
}

// largeGang is a gang of 32 tasks that take whole machines of one zone.
func largeGang(id protocol.JobID) *protocol.Job {
	job := withTaskResources(gangJob(id, 32), 20, 2, 110)
	job.OneZone = true
	return job
}

// withTaskResources sets what each task of a job takes of a machine.
func withTaskResources(job *protocol.Job, cpus, gpus, memoryGB float64) *protocol.Job {
	job.CPUs, job.GPUs, job.MemoryGB = cpus, gpus, memoryGB
	return job
}

// withQueue sets the queue that a job waits in.
func withQueue(job *protocol.Job, class string, team protocol.TeamName, priority string) *protocol.Job {
	job.Class, job.Team, job.Priority = class, team, priority
	return job
}

// withCheckpoints has a job save a checkpoint every so many seconds, which takes some seconds.
func withCheckpoints(job *protocol.Job, every, save float64) *protocol.Job {
	job.CheckpointIntervalS, job.CheckpointSaveS = every, save
	return job
}

// submitAndWaitUntilRunning has a user submit a job at once and waits until all its tasks run.
func (w *World) submitAndWaitUntilRunning(t *testing.T, limit time.Duration, job *protocol.Job, run float64) *user {
	t.Helper()
	u := w.submit(arrival{job: job, run: run})
	w.waitUntilRunning(t, limit, u)
	return u
}

// leader is the node that leads, nil while none does.
func (w *World) leader() *controller {
	for _, c := range w.nodes {
		if c.alive && c.node.Leading() {
			return c
		}
	}
	return nil
}

// otherControllers are the nodes that are not the one given.
func (w *World) otherControllers(c *controller) []*controller {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(o *controller) bool { return o == c })
}

// agentsInCreationOrder are the machines that are up, in the order in which they were rented.
func (w *World) agentsInCreationOrder() (list []*agent) {
	for _, h := range w.cloud.hosts {
		if agent := w.agents[h.ID]; agent != nil {
			list = append(list, agent)
		}
	}
	return list
}

// loseOldestAgents ends the workers of up to n machines, those that were rented first, and returns
// how many.
func (w *World) loseOldestAgents(n int) int {
	list := w.agentsInCreationOrder()
	list = list[:min(n, len(list))]
	for _, agent := range list {
		w.loseAgent(agent)
	}
	return len(list)
}

// agentOf is the machine that a task of a job is on.
func (w *World) agentOf(job protocol.JobID, task int) *agent {
	return w.rules.placed[protocol.TaskName(job, task)].agent
}

// running says whether all tasks of some users' jobs run.
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

// over says whether some users have had a final answer.
func over(users ...*user) bool {
	for _, u := range users {
		if !u.over {
			return false
		}
	}
	return true
}

// waitFor runs the world until something holds and returns how long it took.
func (w *World) waitFor(t *testing.T, limit time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	from := w.Now
	for !holds() {
		if w.Now.Sub(from) > limit {
			t.Fatalf("%s: not within %v", what, limit)
		}
		w.Run(waitPollInterval)
	}
	return w.Now.Sub(from)
}

// waitUntilRunning waits until all tasks of some users' jobs run.
func (w *World) waitUntilRunning(t *testing.T, limit time.Duration, users ...*user) time.Duration {
	t.Helper()
	return w.waitFor(t, limit, fmt.Sprint(jobIDsOf(users), " run"), func() bool { return w.running(users...) })
}

// waitUntilOver waits until some users have had a final answer.
func (w *World) waitUntilOver(t *testing.T, limit time.Duration, users ...*user) time.Duration {
	t.Helper()
	return w.waitFor(t, limit, fmt.Sprint(jobIDsOf(users), " are over"), func() bool { return over(users...) })
}

// waitForLeader waits until a node leads.
func (w *World) waitForLeader(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	return w.waitFor(t, limit, "a node leads", func() bool { return w.leader() != nil })
}

// jobIDsOf lists the names of some users' jobs.
func jobIDsOf(users []*user) (jobs []protocol.JobID) {
	for _, u := range users {
		jobs = append(jobs, u.job.spec.ID)
	}
	return jobs
}

// statusOf has a node take a request and returns the status that it has been answered with
// a second later, 0 for none.
func (w *World) statusOf(c *controller, r request) (status int) {
	c.ask(r, func(s int, _ []byte) { status = s })
	w.Run(time.Second)
	return status
}

// expectStarts checks how many tasks have been started since the count was as given.
func (w *World) expectStarts(t *testing.T, since, want int, during string) {
	t.Helper()
	if n := w.rules.started - since; n != want {
		t.Errorf("%s: %d tasks were started, want %d", during, n, want)
	}
}

// expectRulesHeld reports every rule of the protocol that was broken.
func (w *World) expectRulesHeld(t *testing.T) {
	t.Helper()
	for _, f := range w.rules.failures {
		t.Error(f)
	}
}
