// Package cluster is the model of the cluster that a leader decides on: jobs, tasks and
// their attempts, machines and their agents, quotas and reservations, with the arithmetic
// and the accounts that keep them consistent.
//
// It knows nothing of the network, the store or the cloud: it sends nothing, writes
// nothing and logs nothing, and has no clock of its own.
package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/buddy"
	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
)

// State is the leader's model of the cluster: jobs, machines and quotas, and the accounts
// that connect them. It is rebuilt from the stored records at every failover.
type State struct {
	Config       *config.Config
	Types        map[protocol.MachineTypeName]*protocol.MachineType // shared with the node
	Now          func() time.Time                                   // the time of the step under way
	LeadingSince time.Time

	Jobs     map[protocol.JobID]*Job
	Machines map[protocol.MachineID]*Machine
	// OrderedMachines are the machines by name, the order of their creation. The slice
	// is never changed in place.
	OrderedMachines []*Machine
	Quotas          map[protocol.TeamName]*Quota
}

// NewState makes the model of a cluster of which nothing is known yet.
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

// AddAttempt enters an attempt into every account.
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

// RemoveAttempt takes an attempt out of every account; false if it is out already.
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

// StartDeadlines lists the moments by which an array must start to meet its own
// deadline and the objectives that the settings give for its class, the next first.
func (st *State) StartDeadlines(job *Job) []time.Time {
	spec := job.Spec
	if spec.Gang() {
		return nil // gangs go in order of arrival
	}
	var list []time.Time
	add := func(after float64) { list = append(list, job.SubmittedAt.Add(config.Seconds(after))) }
	deadline := false
	for _, o := range st.Config.Cluster.Objectives {
		if o.Class != spec.Class {
			continue
		}
		switch {
		case o.Kind == config.ObjectiveWait, o.Kind == config.ObjectiveUp:
			add(o.WithinS)
		case spec.Service(): // it has no end
		case o.Kind == config.ObjectiveFinished:
			add(o.WithinS - spec.EstimateS)
		case o.Kind == config.ObjectiveDeadline && spec.DeadlineS > 0:
			add(spec.DeadlineS*max(1, o.Times) - spec.EstimateS)
			deadline = true
		}
	}
	if spec.DeadlineS > 0 && !deadline && !spec.Service() {
		add(spec.DeadlineS - spec.EstimateS)
	}
	slices.SortFunc(list, time.Time.Compare)
	return slices.Compact(list)
}

// EnsureMachine finds a machine or enters a new one.
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

// newMachine is a machine of which only the name is known.
func newMachine(id protocol.MachineID, now time.Time) *Machine {
	return &Machine{
		ID:         id,
		Attempts:   map[AttemptID]*Attempt{},
		Delivery:   CommandDelivery{MustNotForget: map[AttemptID]bool{}, ForgetSentAt: map[AttemptID]time.Time{}},
		FailedJobs: map[protocol.JobID]bool{},
		IdleSince:  now,
		CreatedAt:  now,
		Slots:      buddy.New(0),
	}
}

// insertOrdered adds a machine to OrderedMachines, which is never changed in place. Machines are
// named in the order of their creation, so that most come last.
func (st *State) insertOrdered(machine *Machine) {
	at, _ := slices.BinarySearchFunc(st.OrderedMachines, machine, compareMachineIDs)
	if at == len(st.OrderedMachines) {
		st.OrderedMachines = append(st.OrderedMachines, machine)
		return
	}
	st.OrderedMachines = slices.Insert(slices.Clone(st.OrderedMachines), at, machine)
}

func compareMachineIDs(a, b *Machine) int { return cmp.Compare(a.ID, b.ID) }

// TypeOf is the machine's type, nil while it is unknown.
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

// ImageFetchSeconds is how long a job's image takes to fetch on the slowest type.
func (st *State) ImageFetchSeconds(spec *protocol.Job) float64 {
	fetch := 0.0
	for _, machineType := range st.Types {
		if machineType.Fits(spec) && machineType.FetchGBPerS > 0 {
			fetch = max(fetch, spec.ImageGB/machineType.FetchGBPerS)
		}
	}
	return fetch
}

// FreeResources is the machine's free capacity.
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

// PriceOf is a machine's price per hour.
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
