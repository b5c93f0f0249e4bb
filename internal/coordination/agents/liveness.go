package agents

import (
	"log/slog"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// LivenessEnvironment is what judging agents needs of the leader.
type LivenessEnvironment interface {
	// Leads says whether the leader leads still.
	Leads() bool
	// AllPeersReachable says whether this controller has a link to every other.
	AllPeersReachable() bool
	// ConfirmationGrace is how long a leader may go on answering agents after its leader
	// lease has ended, as long as its peers confirm it.
	ConfirmationGrace() time.Duration
}

// Liveness judges which agents are there: it probes those that are silent, takes the tasks
// of those whose lease has surely expired for gone, and has machines deleted that answer
// nothing, unless the network is suspected and not they.
type Liveness struct {
	state      *cluster.State
	lifecycle  *lifecycle.Manager
	recovery   *reconcile.RecoveryPhase
	scheduler  *scheduler.Scheduler
	fleet      Fleet
	calls      *Calls
	delivery   *Delivery
	heartbeats *Heartbeats
	env        LivenessEnvironment
	log        *slog.Logger
}

// LeaseExpiresAt is when an agent's lease has surely expired. One that this leader never
// answered may have been answered by its predecessor for the whole of the predecessor's
// grace.
func (l *Liveness) LeaseExpiresAt(machine *cluster.Machine) time.Time {
	grace := l.env.ConfirmationGrace()
	from := l.state.LeadingSince.Add(grace)
	if machine.Agent.RespondedAt.After(from) {
		from = machine.Agent.RespondedAt
	}
	lease := config.Seconds(l.state.Config.Cluster.Agents.LeaseS)
	return from.Add(config.WithClockDrift(lease) + config.WithClockDrift(grace) - grace + tuning.LeaseExpiryMargin)
}

// suspectedPartitions are the zones in which the network is suspected to be partitioned.
type suspectedPartitions struct {
	suspected map[protocol.ZoneName]bool
	// The same as soon as a machine with replicas may be missing, and the zones most of whose
	// machines report as ever; nil until they are needed.
	suspectedForReplicas, reachableZones map[protocol.ZoneName]bool
}

// Tick finds the agents that are silent, whose lease has expired, or that are gone.
func (l *Liveness) Tick() {
	suspected, _ := l.state.SuspectedZones(l.state.SilenceTimeout())
	partitions := suspectedPartitions{suspected: suspected}
	for _, machine := range l.state.OrderedMachines {
		if !l.env.Leads() {
			return
		}
		l.delivery.presentToken(machine)
		missing := l.isReplicaHostMissing(machine)
		if l.isSilenceExpected(machine) || l.state.HeardRecently(machine) && !l.state.NotReceiving(machine) && !missing {
			continue
		}
		l.expireLease(machine)
		l.probeIfDue(machine)
		if machine.Agent.LeaseExpired && machine.Address == "" && !machine.Deleting {
			l.fleet.DeleteMachine(machine, "lease expired and of no known address")
		}
		if machine.Deleting || !l.isUnresponsive(machine, missing) {
			continue
		}
		switch {
		case !missing && l.mayDeleteSilent(machine, &partitions):
			l.deleteSilent(machine, "silent")
		case missing && l.mayDeleteReplicaHost(machine, &partitions):
			l.deleteSilent(machine, "silent, with replicas")
		}
	}
}

// isSilenceExpected says whether an agent need not have been heard of yet.
func (l *Liveness) isSilenceExpected(machine *cluster.Machine) bool {
	return l.fleet.Booting(machine) || l.state.Now().Sub(l.state.LeadingSince) < l.state.SilenceTimeout()
}

// isReplicaHostMissing says whether a machine with replicas has been silent for longer than
// these can wait.
func (l *Liveness) isReplicaHostMissing(machine *cluster.Machine) bool {
	return l.state.HasReplicas(machine) && machine.Agent.Heard && l.state.Now().Sub(machine.Agent.LastHeartbeat) > l.state.ReplicaSilenceTimeout()
}

// expireLease takes all tasks of an agent for gone once its lease has surely expired.
func (l *Liveness) expireLease(machine *cluster.Machine) {
	now := l.state.Now()
	if machine.Agent.LeaseExpired || l.state.HeardRecently(machine) || !now.After(l.LeaseExpiresAt(machine)) {
		return
	}
	machine.Agent.LeaseExpired, machine.Agent.LeaseExpiredAt = true, now
	l.log.Info("lease expired", "machine", machine.ID)
	l.recovery.AgentAccountedFor(machine.ID)
	for _, attempt := range cluster.SortedAttemptsOn(machine) {
		l.lifecycle.RemoveGone(attempt)
	}
}

// isUnresponsive says whether an agent answers neither probes nor has sent a heartbeat for
// so long that its machine is taken for dead, but for suspected partitions.
func (l *Liveness) isUnresponsive(machine *cluster.Machine, hasReplicas bool) bool {
	if machine.Agent.FailedProbes < tuning.MaxUnansweredProbes {
		return false
	}
	// With a peer out of reach the agent may be behind the same partition and on its way to a
	// controller that forwards its heartbeats. Nor is one not receiving then because it does
	// not answer this controller's calls.
	whole := l.env.AllPeersReachable()
	if whole && l.state.NotReceiving(machine) {
		return true
	}
	patience := l.maxSilenceBehindPartition(hasReplicas)
	if whole {
		patience = l.maxSilence(hasReplicas)
	}
	return l.state.Now().Sub(machine.Agent.LastHeartbeat) > patience
}

// maxSilence is how long an agent whose probes are not answered may be silent.
func (l *Liveness) maxSilence(hasReplicas bool) time.Duration {
	if hasReplicas {
		return l.state.ReplicaSilenceTimeout()
	}
	return l.state.SilenceTimeout()
}

// maxSilenceBehindPartition is the same while a peer is out of reach: a machine with replicas is
// given no more time than the way to a controller that forwards its heartbeats takes.
func (l *Liveness) maxSilenceBehindPartition(hasReplicas bool) time.Duration {
	if hasReplicas {
		interval := config.Seconds(l.state.Config.Cluster.Agents.ReportS * tuning.MaxHeartbeatIntervalFactor)
		return max(l.state.ReplicaSilenceTimeout(), interval+tuning.HeartbeatRerouteTime)
	}
	return l.state.SilenceTimeout() + tuning.PartitionSilenceAllowance
}

// mayDeleteSilent says whether a machine, not the network, is at fault, or has been gone for
// longer than another takes to boot.
func (l *Liveness) mayDeleteSilent(machine *cluster.Machine, partitions *suspectedPartitions) bool {
	return !partitions.suspected[machine.Zone] || l.state.GoneLongerThanBootTime(machine)
}

// mayDeleteReplicaHost says the same of a machine with replicas, or that these have places
// in zones that are heard of.
func (l *Liveness) mayDeleteReplicaHost(machine *cluster.Machine, partitions *suspectedPartitions) bool {
	if partitions.suspectedForReplicas == nil {
		partitions.suspectedForReplicas, partitions.reachableZones = l.state.SuspectedZones(l.state.ReplicaSilenceTimeout())
	}
	return !partitions.suspectedForReplicas[machine.Zone] || l.state.GoneLongerThanBootTime(machine) || l.scheduler.MostReplicasFitElsewhere(machine, partitions.reachableZones)
}

// deleteSilent has a machine deleted that does not answer.
func (l *Liveness) deleteSilent(machine *cluster.Machine, reason string) {
	l.scheduler.MachineLost(machine)
	l.fleet.DeleteMachine(machine, reason)
}

// probeIfDue asks a silent agent for its heartbeat.
func (l *Liveness) probeIfDue(machine *cluster.Machine) {
	if machine.Agent.Probing || l.state.Now().Before(machine.Agent.ProbeNotBefore) || machine.Address == "" || machine.Deleting || !l.calls.MayProbe() {
		return
	}
	machine.Agent.Probing = true
	l.calls.RequestHeartbeat(machine, func(result CallResult) {
		machine.Agent.Probing, machine.Agent.ProbeNotBefore = false, l.state.Now().Add(tuning.ProbeTimeout)
		if l.state.HasReplicas(machine) {
			machine.Agent.ProbeNotBefore = l.state.Now()
		}
		if result.Outcome != Executed {
			machine.Agent.FailedProbes++
			return
		}
		l.heartbeats.ObserveCallResult(machine, result)
	})
}
