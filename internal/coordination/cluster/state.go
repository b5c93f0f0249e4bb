// Package cluster is the model of the cluster on which a leader bases its decisions: jobs,
// tasks and their attempts, machines and their agents, quotas and reservations, with the
// arithmetic and the accounting that keep them consistent.
//
// It is independent of the network, the store and the cloud: it sends, writes and logs
// nothing, and has no clock of its own.
package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/buddy"
	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
)

// State is the leader's model of the cluster: jobs, machines and quotas, and the accounting
// that connects them. It is rebuilt from the stored records at every failover.
type State struct {
	Config       *config.Config
	Types        map[protocol.MachineTypeName]*protocol.MachineType // shared with the node
	Now          func() time.Time                                   // time of the current event loop step
	LeadingSince time.Time

	Jobs     map[protocol.JobID]*Job
	Machines map[protocol.MachineID]*Machine
	// OrderedMachines has the machines by ID, which is the order of their creation. The
	// elements of a slice that was handed out never change.
	OrderedMachines []*Machine
	Quotas          map[protocol.TeamName]*Quota
}

// NewState returns a model without jobs and machines.
func NewState(cfg *config.Config, types map[protocol.MachineTypeName]*protocol.MachineType, now func() time.Time) *State {
	st := &State{
		Config: cfg, Types: types, Now: now, LeadingSince: now(),
		Jobs:     map[protocol.JobID]*Job{},
		Machines: map[protocol.MachineID]*Machine{},
		Quotas:   map[protocol.TeamName]*Quota{},
	}
	for _, team := range cfg.Cluster.Teams {
		st.Quotas[team.Name] = &Quota{GuaranteedCPUs: team.CPUs, GuaranteedGPUs: team.GPUs, LimitCPUs: team.MaxCPUs, LimitGPUs: team.MaxGPUs}
	}
	return st
}

// AddAttempt adds an attempt to its job, its machine and the team's quota, and allocates its
// slots.
func (st *State) AddAttempt(job *Job, index int, number protocol.AttemptNumber, machine *Machine, incarnation protocol.Incarnation) *Attempt {
	attempt := &Attempt{
		Job: job, Machine: machine, Incarnation: incarnation,
		Key:   AttemptKey{Index: index, Number: number, Machine: machine.ID},
		Slots: machine.Slots.Allocate(TaskSlots(job.Spec)),
	}
	job.Attempts[attempt.Key] = attempt
	job.Tasks[index].LiveAttempts++
	machine.Attempts[attempt.ID()] = attempt
	machine.addUsage(job.Spec, 1)
	if quota := st.Quotas[job.Spec.Team]; quota != nil {
		quota.UsedCPUs += job.Spec.CPUs
		quota.UsedGPUs += job.Spec.GPUs
	}
	return attempt
}

// RemoveAttempt undoes AddAttempt. It returns false if the attempt was removed before.
func (st *State) RemoveAttempt(attempt *Attempt) bool {
	job, machine := attempt.Job, attempt.Machine
	if job.Attempts[attempt.Key] != attempt {
		return false
	}
	delete(job.Attempts, attempt.Key)
	delete(machine.Attempts, attempt.ID())
	machine.Slots.Release(attempt.Slots)
	machine.addUsage(job.Spec, -1)
	if len(machine.Attempts) == 0 {
		machine.IdleSince = st.Now()
	}
	if quota := st.Quotas[job.Spec.Team]; quota != nil {
		quota.UsedCPUs -= job.Spec.CPUs
		quota.UsedGPUs -= job.Spec.GPUs
	}
	task := &job.Tasks[attempt.Key.Index]
	task.LiveAttempts--
	if task.Active == attempt {
		task.Active = nil
		job.Queue.WaitingSince = st.Now()
	}
	return true
}

// StartDeadlines returns the times by which a job must start to meet its own deadline and
// the objectives that the settings give for its class, the earliest first. A gang has none.
func (st *State) StartDeadlines(job *Job) []time.Time {
	spec := job.Spec
	if spec.Gang() {
		return nil // gangs are queued in order of arrival
	}
	var list []time.Time
	add := func(afterS float64) { list = append(list, job.SubmittedAt.Add(config.Seconds(afterS))) }
	hasDeadlineObjective := false
	for _, objective := range st.Config.Cluster.Objectives {
		if objective.Class != spec.Class {
			continue
		}
		switch {
		case objective.Kind == config.ObjectiveWait, objective.Kind == config.ObjectiveUp:
			add(objective.WithinS)
		case spec.Service(): // a service has no end
		case objective.Kind == config.ObjectiveFinished:
			add(objective.WithinS - spec.EstimateS)
		case objective.Kind == config.ObjectiveDeadline && spec.DeadlineS > 0:
			add(spec.DeadlineS*max(1, objective.Times) - spec.EstimateS)
			hasDeadlineObjective = true
		}
	}
	if spec.DeadlineS > 0 && !hasDeadlineObjective && !spec.Service() {
		add(spec.DeadlineS - spec.EstimateS)
	}
	slices.SortFunc(list, time.Time.Compare)
	return slices.Compact(list)
}

// EnsureMachine returns the machine with the given ID and adds it if it is new. Unless
// typeName is empty, it updates the type, zone and spot flag, and the address if there is
// one.
func (st *State) EnsureMachine(id protocol.MachineID, address string, typeName protocol.MachineTypeName, zone protocol.ZoneName, spot bool) *Machine {
	machine := st.Machines[id]
	if machine == nil {
		machine = newMachine(id, st.Now())
		st.Machines[id] = machine
		st.insertOrdered(machine)
	}
	if typeName != "" {
		machine.Address, machine.TypeName, machine.Zone, machine.Spot = cmp.Or(address, machine.Address), typeName, zone, spot
	}
	return machine
}

// newMachine returns a machine of which only the ID is known.
func newMachine(id protocol.MachineID, now time.Time) *Machine {
	return &Machine{
		ID:        id,
		Attempts:  map[AttemptID]*Attempt{},
		Delivery:  CommandDelivery{DirectStarts: map[AttemptID]protocol.Term{}, ForgetSentAt: map[AttemptID]time.Time{}},
		Suspicion: Suspicion{FailedJobs: map[protocol.JobID]bool{}},
		IdleSince: now,
		CreatedAt: now,
		Slots:     buddy.New(0),
	}
}

// insertOrdered inserts a machine into OrderedMachines without changing the elements of
// slices that were handed out. IDs follow the order of creation, so most machines are
// appended.
func (st *State) insertOrdered(machine *Machine) {
	at, _ := slices.BinarySearchFunc(st.OrderedMachines, machine, compareMachineIDs)
	if at == len(st.OrderedMachines) {
		st.OrderedMachines = append(st.OrderedMachines, machine)
		return
	}
	st.OrderedMachines = slices.Insert(slices.Clone(st.OrderedMachines), at, machine)
}

func compareMachineIDs(a, b *Machine) int { return cmp.Compare(a.ID, b.ID) }

// TypeOf returns the machine's type, or nil while it is unknown. When the type becomes known
// or changes, it reallocates the slots of the machine's attempts.
func (st *State) TypeOf(machine *Machine) *protocol.MachineType {
	if machine.Type == nil || machine.Type.Name != machine.TypeName {
		if machine.Type = st.Types[machine.TypeName]; machine.Type == nil {
			return nil
		}
		machine.Slots = buddy.New(MachineSlots(machine.Type))
		for _, attempt := range SortedAttemptsOn(machine) {
			attempt.Slots = machine.Slots.Allocate(TaskSlots(attempt.Job.Spec))
		}
	}
	return machine.Type
}

// ImageFetchSeconds returns how long a job's image takes to fetch on the slowest of the machine
// types that fit the job.
func (st *State) ImageFetchSeconds(spec *protocol.Job) float64 {
	fetch := 0.0
	for _, machineType := range st.Types {
		if machineType.Fits(spec) && machineType.FetchGBPerS > 0 {
			fetch = max(fetch, spec.ImageGB/machineType.FetchGBPerS)
		}
	}
	return fetch
}

// FreeResources returns the machine's free capacity, or none while its type is unknown.
func (st *State) FreeResources(machine *Machine) Resources {
	machineType := st.TypeOf(machine)
	if machineType == nil {
		return Resources{}
	}
	return Resources{
		CPUs:     machineType.CPUs - machine.Used.CPUs,
		GPUs:     machineType.GPUs - machine.Used.GPUs,
		MemoryGB: machineType.MemoryGB - machine.Used.MemoryGB,
	}
}

// PriceOf returns a machine's price per hour, or 0 while its type is unknown.
func (st *State) PriceOf(machine *Machine) float64 {
	machineType := st.TypeOf(machine)
	switch {
	case machineType == nil:
		return 0
	case machine.Spot:
		return machineType.SpotPrice
	default:
		return machineType.Price
	}
}
