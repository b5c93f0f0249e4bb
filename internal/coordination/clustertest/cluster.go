// Package clustertest builds cluster models for tests: a clock that the test sets,
// machines whose agents have just reported, jobs, and a leader that only takes notes.
//
// It is for tests alone and decides nothing.
package clustertest

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// LimitedTeamGPUs is the GPU limit of the team "tight"; the team "free" has none.
const LimitedTeamGPUs = 6

// BigType and SmallType are the machine types of the clusters that New makes.
var (
	BigType = protocol.MachineType{Name: "big", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 100, FetchGBPerS: 1,
		Price: 10, SpotPrice: 3, BootS: 30, Zones: []protocol.ZoneName{"a", "b", "c"}}
	SmallType = protocol.MachineType{Name: "small", CPUs: 16, GPUs: 2, MemoryGB: 128, CacheGB: 100, FetchGBPerS: 1,
		Price: 6, SpotPrice: 2, BootS: 30, Zones: []protocol.ZoneName{"a", "b"}}
)

// Cluster is a model whose clock stands still until the test moves it.
type Cluster struct {
	*cluster.State
	now time.Time
}

// New makes a cluster without machines and jobs: zones a, b and c, the types big and
// small, a team without limits ("free") and one with ("tight").
func New() *Cluster {
	c := &Cluster{now: time.Unix(1_800_000_000, 0)}
	settings := &config.Config{Name: "n", Operator: tuning.Defaults()}
	settings.Cluster = config.Cluster{
		Zones:  []protocol.ZoneName{"a", "b", "c"},
		Teams:  []config.Team{{Name: "free"}, {Name: "tight", MaxGPUs: LimitedTeamGPUs, GPUs: 2}},
		Agents: config.AgentTimings{ReportS: 3, LeaseS: 24, GangWaitS: 40, GangPeerS: 4, CancelS: 49},
		Cloud:  config.CloudLimits{RPS: 6, ListLagS: 6},
	}
	types := map[protocol.MachineTypeName]*protocol.MachineType{BigType.Name: &BigType, SmallType.Name: &SmallType}
	c.State = cluster.NewState(settings, types, func() time.Time { return c.now })
	return c
}

// Advance moves the clock.
func (c *Cluster) Advance(d time.Duration) { c.now = c.now.Add(d) }

// Heartbeat has the agents of the given machines report now and be answered; of all
// machines if none is given.
func (c *Cluster) Heartbeat(machines ...*cluster.Machine) {
	if len(machines) == 0 {
		machines = c.OrderedMachines
	}
	for _, machine := range machines {
		machine.Agent.LastHeartbeat, machine.Agent.RespondedAt = c.now, c.now
	}
}

// AddMachine adds an ordinary machine that takes tasks.
func (c *Cluster) AddMachine(id protocol.MachineID, typeName protocol.MachineTypeName, zone protocol.ZoneName) *cluster.Machine {
	machine := c.EnsureMachine(id, "h:1", typeName, zone, false)
	machine.Recorded, machine.Agent.Heard, machine.Agent.TokenConfirmed, machine.Agent.Incarnation = true, true, true, 1
	c.Heartbeat(machine)
	c.TypeOf(machine)
	return machine
}

// AddSpotMachine adds a spot machine that takes tasks.
func (c *Cluster) AddSpotMachine(id protocol.MachineID, typeName protocol.MachineTypeName, zone protocol.ZoneName) *cluster.Machine {
	machine := c.AddMachine(id, typeName, zone)
	machine.Spot = true
	return machine
}

// AddJob adds a job that was submitted now. Without a priority it has the normal one.
func (c *Cluster) AddJob(spec protocol.Job) *cluster.Job {
	spec.ID = protocol.JobID(fmt.Sprintf("run-%06d", len(c.Jobs)+1))
	if spec.Priority == "" {
		spec.Priority = "normal"
	}
	job := &cluster.Job{
		ID: spec.ID, Spec: &spec, Priority: spec.PriorityLevel(), ArrivalOrder: protocol.Revision(len(c.Jobs) + 10), SubmittedAt: c.now,
		Tasks:    make([]cluster.Task, spec.Tasks),
		Attempts: map[cluster.AttemptKey]*cluster.Attempt{},
		Failures: cluster.FailureHistory{Machines: map[protocol.MachineID]bool{}, AvoidUntil: map[protocol.MachineID]time.Time{}},
		Queue:    cluster.QueueState{WaitingSince: c.now},
		Records: cluster.RecordLayout{TasksPerRecord: spec.Tasks, Revisions: make([]protocol.Revision, 1),
			AbandonedParts: map[int]protocol.Revision{}},
		Write: cluster.WriteState{Dirty: map[int]bool{}},
	}
	job.StartDeadlines = c.StartDeadlines(job)
	c.Jobs[job.ID] = job
	return job
}

// PlaceAll puts the first attempt of every task of a job onto a machine.
func (c *Cluster) PlaceAll(job *cluster.Job, machine *cluster.Machine) {
	for index := range job.Tasks {
		job.Tasks[index].Active = c.AddAttempt(job, index, 1, machine, machine.Agent.Incarnation)
		job.Tasks[index].LastAttempt = 1
	}
	job.EverPlaced = true
}

// Run makes all attempts of a job committed, started and seen running.
func (c *Cluster) Run(job *cluster.Job) {
	for _, attempt := range job.Attempts {
		attempt.MarkCommitted()
		attempt.ObserveState(protocol.TaskRunning, c.now)
	}
}

// Gang is a gang of the team "free" whose tasks take so many GPUs each.
func Gang(tasks int, gpus float64) protocol.Job {
	return protocol.Job{Team: "free", Shape: protocol.ShapeGang, Tasks: tasks, CPUs: 2, GPUs: gpus, MemoryGB: 8, Image: "x"}
}

// Array is an array of the team "free" whose tasks take one GPU each.
func Array(tasks int) protocol.Job {
	return protocol.Job{Team: "free", Shape: protocol.ShapeArray, Tasks: tasks, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "x"}
}

// Service is a service of the team "free" whose replicas take processors alone.
func Service(replicas int, cpus float64) protocol.Job {
	return protocol.Job{Class: "s", Team: "free", Shape: protocol.ShapeService, Priority: "critical", Tasks: replicas,
		CPUs: cpus, MemoryGB: 4, Image: "img", ImageGB: 1}
}

// Stopping counts a job's attempts that are to end.
func Stopping(job *cluster.Job) (count int) {
	for _, attempt := range job.Attempts {
		if attempt.Stopping {
			count++
		}
	}
	return count
}

// CheckPlacement checks a job's places against what its specification allows, and all
// places against what machines have and teams may use.
func (c *Cluster) CheckPlacement(t testing.TB, job *cluster.Job) {
	t.Helper()
	perZone := map[protocol.ZoneName]int{}
	for _, attempt := range job.Attempts {
		machine := attempt.Machine
		perZone[machine.Zone]++
		if !cluster.SpecAllows(job.Spec, machine.TypeName, machine.Zone, machine.Spot) {
			t.Fatalf("%+v on %s in %s, spot %v", job.Spec, machine.TypeName, machine.Zone, machine.Spot)
		}
	}
	if job.Spec.OneZone && len(perZone) > 1 {
		t.Fatalf("%+v in %v", job.Spec, perZone)
	}
	for _, count := range perZone {
		if job.Spec.Spread && count > (len(job.Tasks)+1)/2 {
			t.Fatalf("%+v in %v", job.Spec, perZone)
		}
	}
	c.checkUse(t)
}

// checkUse checks that no machine is over-full and no team beyond its limit.
func (c *Cluster) checkUse(t testing.TB) {
	t.Helper()
	used := map[*cluster.Machine]cluster.Resources{}
	gpus := map[protocol.TeamName]float64{}
	for _, job := range c.Jobs {
		for _, attempt := range job.Attempts {
			amount := used[attempt.Machine]
			amount.AddTasks(job.Spec, 1)
			used[attempt.Machine] = amount
			gpus[job.Spec.Team] += job.Spec.GPUs
		}
	}
	for machine, amount := range used {
		if capacity := c.TypeOf(machine); amount.CPUs > capacity.CPUs || amount.GPUs > capacity.GPUs || amount.MemoryGB > capacity.MemoryGB {
			t.Fatalf("%s is over-full: %+v", machine.ID, amount)
		}
	}
	if gpus["tight"] > LimitedTeamGPUs {
		t.Fatalf("the team uses %v GPUs of %d", gpus["tight"], LimitedTeamGPUs)
	}
}
