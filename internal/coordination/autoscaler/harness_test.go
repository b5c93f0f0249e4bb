package autoscaler

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// harness is an autoscaler with its scheduler, a cluster model that the test builds, and a fake
// cloud that holds the calls until the test responds to them.
type harness struct {
	*Autoscaler
	cluster     *clustertest.Cluster
	environment *environment
	cloud       *cloud
}

// newHarness returns an autoscaler of a cluster without machines and jobs, whose leader has
// been elected long enough ago to scale out.
func newHarness() *harness {
	c := clustertest.New()
	env, cloudCalls := &environment{cluster: c}, &cloud{}
	log := slog.New(slog.DiscardHandler)
	sched := scheduler.New(c.State, clustertest.NewEnvironment(c), log)
	h := &harness{Autoscaler: New(c.State, sched, cloudCalls, env, log), cluster: c, environment: env, cloud: cloudCalls}
	c.Advance(tuning.ScaleOutDelayAfterFailover + time.Second)
	return h
}

// schedule runs a scheduling cycle and gives its demand to the autoscaler.
func (h *harness) schedule() { h.Demand = h.scheduler.RunCycle() }

// requested counts the requested machines by offer.
func (h *harness) requested() map[Offer]int {
	count := map[Offer]int{}
	for _, call := range h.cloud.creations {
		count[Offer{TypeName: call.request.Type, Zone: call.request.Zone, Spot: call.request.Spot}] += call.request.Count
	}
	return count
}

// cloud is a fake cloud that records the calls; the test responds to them.
type cloud struct {
	creations []createCall
	deletions []deleteCall
	lists     []listCall
}

type createCall struct {
	request protocol.CreateMachinesRequest
	done    func(CreateResult)
}

type deleteCall struct {
	machines []protocol.MachineID
	done     func(deleted bool)
}

type listCall struct {
	after protocol.MachineID
	done  func(page *protocol.MachineList)
}

// CreateMachines implements Cloud.
func (c *cloud) CreateMachines(request protocol.CreateMachinesRequest, done func(CreateResult)) {
	c.creations = append(c.creations, createCall{request: request, done: done})
}

// DeleteMachines implements Cloud.
func (c *cloud) DeleteMachines(machines []protocol.MachineID, done func(deleted bool)) {
	c.deletions = append(c.deletions, deleteCall{machines: machines, done: done})
}

// ListMachines implements Cloud.
func (c *cloud) ListMachines(after protocol.MachineID, done func(page *protocol.MachineList)) {
	c.lists = append(c.lists, listCall{after: after, done: done})
}

// environment is a fake of the leader: it records what the autoscaler asks for, generates
// request names, and keeps timers until the test runs them.
type environment struct {
	cluster  *clustertest.Cluster
	recorded []*cluster.Machine
	deleted  []protocol.MachineID
	drained  []*cluster.Machine
	names    int
	timers   []timer
}

type timer struct {
	at time.Time
	do func()
}

// RequestScheduling implements Environment.
func (e *environment) RequestScheduling() {}

// RecordMachine implements Environment.
func (e *environment) RecordMachine(machine *cluster.Machine) {
	e.recorded = append(e.recorded, machine)
}

// MachinesDeleted implements Environment.
func (e *environment) MachinesDeleted(machines ...protocol.MachineID) {
	e.deleted = append(e.deleted, machines...)
}

// Drain implements Environment.
func (e *environment) Drain(machine *cluster.Machine) {
	machine.Cordon(e.cluster.Now())
	e.drained = append(e.drained, machine)
}

// UniqueName implements Environment.
func (e *environment) UniqueName() string {
	e.names++
	return fmt.Sprint("request-", e.names)
}

// After implements Environment.
func (e *environment) After(pause time.Duration, do func()) {
	e.timers = append(e.timers, timer{at: e.cluster.Now().Add(pause), do: do})
}

// runTimers runs the timers that are due.
func (e *environment) runTimers() {
	var due []timer
	e.timers = slices.DeleteFunc(e.timers, func(t timer) bool {
		if t.at.After(e.cluster.Now()) {
			return false
		}
		due = append(due, t)
		return true
	})
	for _, t := range due {
		t.do()
	}
}
