// Package autoscaler creates machines for waiting jobs and deletes machines that are no
// longer needed. It covers scale-out, scale-in, spares, the capacity reserve for the loss of a
// zone, and the consolidation of half-empty machines. It also updates the cluster model from
// the cloud's machine list.
//
// It bases its decisions on the cluster model and calls the cloud. It places no tasks, writes
// no records and sends nothing to agents.
package autoscaler

import (
	"log/slog"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// Environment is what the autoscaler needs from the leader.
type Environment interface {
	// RequestScheduling requests that a scheduling cycle run soon.
	RequestScheduling()
	// RecordMachine schedules a write of the machine's entry in its machine record.
	RecordMachine(machine *cluster.Machine)
	// MachinesDeleted removes from the cluster model machines that are known to be deleted.
	MachinesDeleted(machines ...protocol.MachineID)
	// Drain cordons a machine and has its tasks stop, move or run to their end, so that it can
	// be deleted.
	Drain(machine *cluster.Machine)
	// UniqueName returns a name that no other request has, for use as a request ID.
	UniqueName() string
	// After calls do once the pause has passed, unless this leader has stepped down by then.
	After(pause time.Duration, do func())
}

// dependencies are what all parts of the autoscaler use.
type dependencies struct {
	state *cluster.State
	cloud Cloud
	env   Environment
	log   *slog.Logger
	calls *rate.Limiter // limits the calls to the cloud
}

// Autoscaler adjusts the number of machines to the demand.
type Autoscaler struct {
	dependencies
	scheduler *scheduler.Scheduler

	// Demand lists the jobs that waited for machines after the last scheduling cycle.
	Demand []scheduler.Demand

	// lastSubmission is when a job was last submitted. lastNonSpotSubmission is when a job that
	// may not use spot machines was last submitted.
	lastSubmission, lastNonSpotSubmission time.Time

	machinesPerZone map[protocol.ZoneName]int // at the last scale-out
	// zoneReserve holds the idle machines that are kept because the replicas of some zone would
	// need them if that zone were lost.
	zoneReserve map[*cluster.Machine]bool

	requests  machineRequests
	deletions deletions
	list      machineList

	scaleOutNotBefore    time.Time
	reserveNotBefore     time.Time
	consolidateNotBefore time.Time
}

// New returns an autoscaler.
func New(state *cluster.State, sched *scheduler.Scheduler, cloud Cloud, env Environment, log *slog.Logger) *Autoscaler {
	callsPerSecond := state.Config.Cluster.Cloud.RPS
	calls := rate.NewLimiter(rate.Limit(callsPerSecond*tuning.CloudBudgetShare), max(1, int(callsPerSecond)))
	deps := dependencies{state: state, cloud: cloud, env: env, log: log, calls: calls}
	deleted := map[protocol.MachineID]bool{}
	return &Autoscaler{
		dependencies:    deps,
		scheduler:       sched,
		machinesPerZone: map[protocol.ZoneName]int{},
		requests:        machineRequests{dependencies: deps, deleted: deleted, unavailable: map[Offer]time.Time{}},
		deletions:       deletions{dependencies: deps, deleted: deleted},
		list:            machineList{dependencies: deps, deleted: deleted},
	}
}

// JobSubmitted notes that a job was submitted now.
func (as *Autoscaler) JobSubmitted(spec *protocol.Job) {
	as.lastSubmission = as.state.Now()
	if !spec.Spot {
		as.lastNonSpotSubmission = as.state.Now()
	}
}

// Tick runs the steps that are due. Calls to the cloud are made only as far as the call budget
// allows.
func (as *Autoscaler) Tick() {
	now := as.state.Now()
	as.scheduler.MoveReplicas()
	as.scaleIn()
	as.deletions.send()
	as.list.refresh()
	if !now.Before(as.consolidateNotBefore) {
		as.consolidateNotBefore = now.Add(tuning.ConsolidationInterval)
		as.consolidate()
	}
	if !now.Before(as.scaleOutNotBefore) && now.Sub(as.state.LeadingSince) > tuning.ScaleOutDelayAfterFailover && len(as.state.Types) > 0 {
		as.scaleOutNotBefore = now.Add(tuning.ScaleOutInterval)
		as.scaleOut()
	}
}
