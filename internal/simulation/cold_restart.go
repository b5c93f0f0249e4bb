package simulation

import (
	"fmt"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
)

// ColdRestart is a run in which all controllers are lost in the middle of work and come back.
type ColdRestart struct {
	Machines int
	Before   time.Duration // from the first submission to the loss
	Away     time.Duration
	After    time.Duration // how long commands to agents are counted after the controllers return
	Recovery bool          // sets the operator's property recovery.phase
	// EqualPriorities gives all jobs the same priority, so that none is preempted for another.
	EqualPriorities bool
}

// ColdResult is the result of a cold restart: what it cost, and which rules were broken.
type ColdResult struct {
	Verdict
	Tasks    int      // of all jobs
	Requests int      // to the key-value store, since the controllers were back
	Changes  int      // of keys in the store, since then
	Rules    []string // violations of rules
}

// deployment is a world whose controllers can be killed and started, on a fake clock or in real
// time.
type deployment interface {
	do(func(w *World))
	advance(d time.Duration)
	start() error
	kill()
}

// Shape returns the shape of the deployment. Its leases are short, so that a restart takes seconds.
// Its limits grow with the number of machines.
func (c ColdRestart) Shape() Shape {
	s := SmallShape()
	s.Machines, s.Capacity, s.Recovery = c.Machines, c.Machines, c.Recovery
	s.Teams = []config.Team{{Name: "free"}}
	s.Agents = config.AgentTimings{ReportS: 1, LeaseS: 14, GangWaitS: 20, GangPeerS: 4, CancelS: 40}
	writes := max(40, float64(c.Machines)/4)
	s.Store = config.StoreLimits{RPS: 10 * writes, WriteRPS: writes, ValueKB: 8, TxnOps: 24}
	s.Cloud = config.CloudLimits{RPS: 20, ListLagS: 2}
	s.Resources = config.ProcessLimits{FDLimit: 4 * c.Machines}
	return s
}

// Simulate runs the cold restart on a fake clock.
func (c ColdRestart) Simulate(seed uint64) (ColdResult, error) {
	w := newWorld(seed, nil, c.Shape(), nil)
	return c.run(&simulatedDeployment{w})
}

// simulatedDeployment is a deployment on a fake clock.
type simulatedDeployment struct{ w *World }

func (s *simulatedDeployment) do(f func(w *World)) { f(s.w) }

func (s *simulatedDeployment) advance(d time.Duration) { s.w.Run(d) }

// start starts all controllers.
func (s *simulatedDeployment) start() error {
	for _, c := range s.w.nodes {
		c.startProcess()
	}
	return nil
}

// kill ends all controllers. They do not come back by themselves.
func (s *simulatedDeployment) kill() {
	for _, c := range s.w.nodes {
		c.alive = false
	}
}

// Controllers are controllers that run outside the world.
type Controllers interface {
	// Start starts all of them.
	Start(v *Loopback) error
	// Kill ends all of them at once, without a signal that they could handle.
	Kill()
}

// RunOnLoopback runs the cold restart in real time on loopback.
func (c ColdRestart) RunOnLoopback(seed uint64, controllers Controllers) (ColdResult, error) {
	v := NewLoopback(seed, c.Shape())
	defer v.Close()
	return c.run(&loopbackDeployment{v, controllers})
}

// loopbackDeployment is a deployment on loopback in real time.
type loopbackDeployment struct {
	v           *Loopback
	controllers Controllers
}

func (l *loopbackDeployment) do(f func(w *World)) { l.v.Do(f) }

func (l *loopbackDeployment) advance(d time.Duration) { time.Sleep(d) }

func (l *loopbackDeployment) start() error { return l.controllers.Start(l.v) }

func (l *loopbackDeployment) kill() { l.controllers.Kill() }

// run runs the cold restart. Once the deployment is up, gangs and arrays are submitted until the
// controllers are lost. Some jobs are cancelled just before the loss, and some end while no
// controller is up.
func (c ColdRestart) run(d deployment) (ColdResult, error) {
	if err := d.start(); err != nil {
		return ColdResult{}, err
	}
	d.advance(6 * time.Second)
	var users []*user
	d.do(func(w *World) { users = w.submitColdRestartJobs(c) })
	d.advance(c.Before - 15*time.Millisecond)
	d.do(func(*World) {
		for i, u := range users {
			if i%12 == 5 && u.accepted {
				u.cancel()
			}
		}
	})
	d.advance(15 * time.Millisecond)
	d.kill()
	d.do(func(w *World) { w.loseMachines(c.Machines / machinesPerLoss) })
	d.advance(c.Away)
	var requests, changes int
	d.do(func(w *World) {
		w.Audit.Begin(w.Now)
		requests, changes = w.store.requests, w.store.changed
	})
	if err := d.start(); err != nil {
		return ColdResult{}, err
	}
	d.advance(c.After)
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

// One machine in machinesPerLoss is lost while no controller is up.
const machinesPerLoss = 40

// loseMachines ends the agents of n machines that have tasks.
func (w *World) loseMachines(n int) {
	for _, h := range w.cloud.hosts {
		if agent := w.agents[h.ID]; n > 0 && agent != nil && len(agent.tasks) > 0 {
			n--
			w.loseAgent(agent)
		}
	}
}

// submitColdRestartJobs submits gangs and arrays for three quarters of the machines' GPUs. The last
// ones are submitted so late that their start is under way when the controllers are lost.
func (w *World) submitColdRestartJobs(c ColdRestart) (users []*user) {
	unsubmitted := c.Machines * int(w.shape.Type.GPUs) * 3 / 4
	for i := 0; unsubmitted > 0; i++ {
		spec := &protocol.Job{ID: protocol.JobID(fmt.Sprintf("run-%06d", 100+i)), Class: "array", Team: "free", Shape: protocol.ShapeArray, Priority: "normal",
			Tasks: 2 + w.rng.IntN(12), CPUs: 4, GPUs: 1, MemoryGB: 20, Image: fmt.Sprint("img-", w.rng.IntN(6)), ImageGB: 1 + 2*w.rng.Float64(), EstimateS: 60}
		if i%2 == 0 {
			spec.Class, spec.Shape, spec.Priority, spec.Tasks = "gang", protocol.ShapeGang, "high", 1<<w.rng.IntN(5)
		}
		if c.EqualPriorities {
			spec.Priority = "normal"
		}
		unsubmitted -= spec.Tasks
		run := 300.0
		if i%5 == 1 { // ends around the loss of the controllers
			run = (c.Before + c.Away).Seconds() * (0.3 + 0.7*w.rng.Float64())
		}
		users = append(users, w.submit(arrival{after: w.between(0, c.Before), job: spec, run: run}))
	}
	return users
}
