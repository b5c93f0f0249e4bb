// Package autoscaler adds machines for jobs that wait and deletes those that are no longer
// needed: scale out and in, spares, the reserve for the loss of a zone, consolidation of
// half-empty machines. It keeps the cloud's list of machines in the cluster model.
//
// It decides on the cluster model and calls the cloud; it places nothing, writes no
// records and sends agents nothing.
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

// Environment is what the autoscaler needs of the leader.
type Environment interface {
	// RequestScheduling has the next scheduling cycle run soon.
	RequestScheduling()
	// RecordMachine has a machine's entry in its machine record written.
	RecordMachine(machine *cluster.Machine)
	// MachinesDeleted takes machines out of all accounts that are gone for certain.
	MachinesDeleted(machines ...protocol.MachineID)
	// Drain empties a machine that is to go.
	Drain(machine *cluster.Machine)
	// UniqueName makes a name that no other request has.
	UniqueName() string
	// After does something once the time has passed, if this leader still leads.
	After(pause time.Duration, do func())
}

// dependencies are what every part of the autoscaler works with.
type dependencies struct {
	state *cluster.State
	cloud Cloud
	env   Environment
	log   *slog.Logger
	calls *rate.Limiter // calls to the cloud
}

// Autoscaler fits the number of machines to the work.
type Autoscaler struct {
	dependencies
	scheduler *scheduler.Scheduler

	// Demand is what waited for machines after the last scheduling cycle.
	Demand []scheduler.Demand

	// lastSubmission is when a job was last submitted, and lastNonSpotSubmission when one
	// that may not use spot machines was.
	lastSubmission, lastNonSpotSubmission time.Time

	machinesPerZone map[protocol.ZoneName]int // at the last scale-out
	// zoneReserve are the idle machines that the replicas of a zone would need if it were lost.
	zoneReserve map[*cluster.Machine]bool

	requests  machineRequests
	deletions deletions
	list      machineList

	scaleOutNotBefore    time.Time
	reserveNotBefore     time.Time
	consolidateNotBefore time.Time
}

// New makes an autoscaler.
func New(state *cluster.State, sched *scheduler.Scheduler, cloud Cloud, env Environment, log *slog.Logger) *Autoscaler {
	callsPerSecond := state.Config.Cluster.Cloud.RPS
	calls := rate.NewLimiter(rate.Limit(callsPerSecond*tuning.CloudBudgetShare), max(1, int(callsPerSecond)))
	common := dependencies{state: state, cloud: cloud, env: env, log: log, calls: calls}
	gone := map[protocol.MachineID]bool{}
	return &Autoscaler{
		dependencies:    common,
		scheduler:       sched,
		machinesPerZone: map[protocol.ZoneName]int{},
		requests:        machineRequests{dependencies: common, deleted: gone, unavailable: map[Offer]time.Time{}},
		deletions:       deletions{dependencies: common, deleted: gone},
		list:            machineList{dependencies: common, deleted: gone},
	}
}

// JobSubmitted notes that a job came.
func (as *Autoscaler) JobSubmitted(spec *protocol.Job) {
	as.lastSubmission = as.state.Now()
	if !spec.Spot {
		as.lastNonSpotSubmission = as.state.Now()
	}
}

// Tick takes the next steps: those whose time has come and for which the budget of calls
// to the cloud allows.
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
