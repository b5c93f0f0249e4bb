package simulation

import (
	"fmt"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
)

// ColdRestart is a loss of all controllers in the middle of work, and their return.
type ColdRestart struct {
	Machines int
	Before   time.Duration // from the first job to the loss
	Away     time.Duration
	After    time.Duration // for which the workers' orders are judged
	Recovery bool          // recoveries are followed
	// Equal: all jobs have one priority, so that none is stopped for another.
	Equal bool
}

// ColdResult is what a cold restart cost.
type ColdResult struct {
	Verdict
	Tasks    int // of all jobs
	Requests int // to the key-value store, since the return
	Changes  int
	Rules    []string // that were broken
}

// deployment is a world whose controllers can be ended and started, in real time or not.
type deployment interface {
	do(func(w *World))
	pass(d time.Duration)
	start() error
	kill()
}

// Shape is the deployment of the cold restart: short leases, so that it takes seconds, and
// budgets that follow the number of machines.
func (c ColdRestart) Shape() Shape {
	s := Small()
	s.Machines, s.Capacity, s.Recovery = c.Machines, c.Machines, c.Recovery
	s.Teams = []config.Team{{Name: "free"}}
	s.Agents = config.AgentTimings{ReportS: 1, LeaseS: 14, GangWaitS: 20, GangPeerS: 4, CancelS: 40}
	writes := max(40, float64(c.Machines)/4)
	s.Store = config.StoreLimits{RPS: 10 * writes, WriteRPS: writes, ValueKB: 8, TxnOps: 24}
	s.Cloud = config.CloudLimits{RPS: 20, ListLagS: 2}
	s.Resources = config.ProcessLimits{FDLimit: 4 * c.Machines}
	return s
}

// Simulate plays it on a fake clock.
func (c ColdRestart) Simulate(seed uint64) (ColdResult, error) {
	w := newWorld(seed, nil, c.Shape(), nil)
	return c.run(&simulated{w})
}

// simulated is a deployment on a fake clock.
type simulated struct{ w *World }

func (s *simulated) do(f func(w *World)) { f(s.w) }

func (s *simulated) pass(d time.Duration) { s.w.Run(d) }

// start starts all controllers.
func (s *simulated) start() error {
	for _, c := range s.w.nodes {
		c.boot()
	}
	return nil
}

// kill ends all controllers for good.
func (s *simulated) kill() {
	for _, c := range s.w.nodes {
		c.alive = false
	}
}

// Controllers are controllers that run elsewhere.
type Controllers interface {
	// Start starts all of them.
	Start(v *Live) error
	// Kill ends all at once, without a signal that they could act on.
	Kill()
}

// RunLive plays it in real time on loopback.
func (c ColdRestart) RunLive(seed uint64, controllers Controllers) (ColdResult, error) {
	v := NewLive(seed, c.Shape())
	defer v.Close()
	return c.run(&live{v, controllers})
}

// live is a deployment in real time.
type live struct {
	v           *Live
	controllers Controllers
}

func (l *live) do(f func(w *World)) { l.v.Do(f) }

func (l *live) pass(d time.Duration) { time.Sleep(d) }

func (l *live) start() error { return l.controllers.Start(l.v) }

func (l *live) kill() { l.controllers.Kill() }

// run plays it: the deployment comes up, jobs of all kinds come until the loss, some are
// cancelled just before it and some end during it.
func (c ColdRestart) run(d deployment) (ColdResult, error) {
	if err := d.start(); err != nil {
		return ColdResult{}, err
	}
	d.pass(6 * time.Second)
	var users []*user
	d.do(func(w *World) { users = w.coldJobs(c) })
	d.pass(c.Before - 15*time.Millisecond)
	d.do(func(*World) {
		for i, u := range users {
			if i%12 == 5 && u.accepted {
				u.cancel()
			}
		}
	})
	d.pass(15 * time.Millisecond)
	d.kill()
	d.do(func(w *World) { w.loseMachines(c.Machines / lostMachines) })
	d.pass(c.Away)
	var requests, changes int
	d.do(func(w *World) {
		w.Audit.Judge(w.Now)
		requests, changes = w.store.requests, w.store.changed
	})
	if err := d.start(); err != nil {
		return ColdResult{}, err
	}
	d.pass(c.After)
	var result ColdResult
	d.do(func(w *World) {
		result = ColdResult{Verdict: w.Audit.Finish(), Requests: w.store.requests - requests, Changes: w.store.changed - changes, Rules: w.rules.failures}
		for _, u := range users {
			result.Tasks += u.job.spec.Tasks
		}
	})
	d.kill()
	return result, nil
}

// lostMachines: one machine in so many dies while no controller is up.
const lostMachines = 40

// loseMachines ends machines that carry work.
func (w *World) loseMachines(n int) {
	for _, h := range w.cloud.hosts {
		if agent := w.agents[h.ID]; n > 0 && agent != nil && len(agent.tasks) > 0 {
			n--
			w.loseWorker(agent)
		}
	}
}

// coldJobs submits gangs and arrays for three quarters of the machines, the last of them
// so late that they are half-way when the controllers are lost.
func (w *World) coldJobs(c ColdRestart) (users []*user) {
	unsubmitted := c.Machines * int(w.shape.Type.GPUs) * 3 / 4
	for i := 0; unsubmitted > 0; i++ {
		spec := &protocol.Job{ID: protocol.JobID(fmt.Sprintf("run-%06d", 100+i)), Class: "array", Team: "free", Shape: protocol.ShapeArray, Priority: "normal",
			Tasks: 2 + w.rng.IntN(12), CPUs: 4, GPUs: 1, MemoryGB: 20, Image: fmt.Sprint("img-", w.rng.IntN(6)), ImageGB: 1 + 2*w.rng.Float64(), EstimateS: 60}
		if i%2 == 0 {
			spec.Class, spec.Shape, spec.Priority, spec.Tasks = "gang", protocol.ShapeGang, "high", 1<<w.rng.IntN(5)
		}
		if c.Equal {
			spec.Priority = "normal"
		}
		unsubmitted -= spec.Tasks
		run := 300.0
		if i%5 == 1 { // about to end
			run = (c.Before + c.Away).Seconds() * (0.3 + 0.7*w.rng.Float64())
		}
		users = append(users, w.submit(arrival{after: w.between(0, c.Before), job: spec, run: run}))
	}
	return users
}
