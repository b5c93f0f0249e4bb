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

// LivenessEnvironment is what Liveness needs of the leader.
type LivenessEnvironment interface {
	// Leads reports whether the leader still leads.
	Leads() bool
	// AllPeersReachable reports whether this controller has a link to every other one.
	AllPeersReachable() bool
}

// Liveness determines which agents are alive. It probes silent agents, releases the tasks of
// agents whose lease has certainly expired, and requests the deletion of unresponsive machines,
// unless a network partition is the suspected cause.
type Liveness struct {
	state      *cluster.State
	lifecycle  *lifecycle.Manager
	recovery   *reconcile.RecoveryPhase
	scheduler  *scheduler.Scheduler
	fleet      Fleet
	calls      *Calls
	delivery   *Delivery
	heartbeats *Heartbeats
	leases     *Leases
	env        LivenessEnvironment
	log        *slog.Logger
}

// suspectedPartitions holds the zones in which a network partition is suspected.
type suspectedPartitions struct {
	suspected map[protocol.ZoneName]bool
	// suspectedForReplicas holds the zones that are suspected by the shorter silence time-out of
	// machines with replicas. reachableZones holds the zones most of whose machines still send
	// heartbeats. Both are nil until they are needed.
	suspectedForReplicas, reachableZones map[protocol.ZoneName]bool
}

// Tick checks every agent: it probes silent ones, expires leases and requests the deletion of
// unresponsive machines.
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
			l.fleet.DeleteMachine(machine, "lease expired and address unknown")
		}
		if machine.Deleting || !l.isUnresponsive(machine, missing) {
			continue
		}
		switch {
		case !missing && l.mayDeleteSilent(machine, &partitions):
			l.deleteSilent(machine, "agent silent")
		case missing && l.mayDeleteReplicaHost(machine, &partitions):
			l.deleteSilent(machine, "agent silent on a machine with replicas")
		}
	}
}

// isSilenceExpected reports whether an agent need not have sent this leader a heartbeat yet.
func (l *Liveness) isSilenceExpected(machine *cluster.Machine) bool {
	return l.fleet.Booting(machine) || l.state.Now().Sub(l.state.LeadingSince) < l.state.SilenceTimeout()
}

// isReplicaHostMissing reports whether a machine with replicas has been silent for longer than
// the replicas can wait.
func (l *Liveness) isReplicaHostMissing(machine *cluster.Machine) bool {
	return l.state.HasReplicas(machine) && machine.Agent.Heard && l.state.Now().Sub(machine.Agent.LastHeartbeat) > l.state.ReplicaSilenceTimeout()
}

// expireLease releases all tasks of an agent once its lease has certainly expired.
func (l *Liveness) expireLease(machine *cluster.Machine) {
	now := l.state.Now()
	if machine.Agent.LeaseExpired || l.state.HeardRecently(machine) || !now.After(l.leases.ExpiresAt(machine)) {
		return
	}
	machine.Agent.LeaseExpired, machine.Agent.LeaseExpiredAt = true, now
	l.log.Info("lease expired", "machine", machine.ID)
	l.recovery.AgentAccountedFor(machine.ID)
	attempts := cluster.SortedAttemptsOn(machine)
	l.lifecycle.LogGone(machine, attempts, lifecycle.LeaseExpired)
	for _, attempt := range attempts {
		l.lifecycle.RemoveGone(attempt, lifecycle.LeaseExpired)
	}
}

// isUnresponsive reports whether an agent has not responded to probes and has been silent for so
// long that its machine counts as dead. While all peers are reachable, an agent that is not
// receiving counts as unresponsive without that silence. Suspected partitions are not
// considered here.
func (l *Liveness) isUnresponsive(machine *cluster.Machine, hasReplicas bool) bool {
	if machine.Agent.FailedProbes < tuning.MaxUnansweredProbes {
		return false
	}
	// While a peer is unreachable, the agent may be behind the same partition and about to find
	// a controller that forwards its heartbeats. For the same reason, calls of this controller
	// without a response do not show that the agent is not receiving.
	allPeersReachable := l.env.AllPeersReachable()
	if allPeersReachable && l.state.NotReceiving(machine) {
		return true
	}
	maxSilence := l.maxSilenceBehindPartition(hasReplicas)
	if allPeersReachable {
		maxSilence = l.maxSilence(hasReplicas)
	}
	return l.state.Now().Sub(machine.Agent.LastHeartbeat) > maxSilence
}

// maxSilence returns how long an agent that does not respond to probes may be silent before its
// machine counts as dead.
func (l *Liveness) maxSilence(hasReplicas bool) time.Duration {
	if hasReplicas {
		return l.state.ReplicaSilenceTimeout()
	}
	return l.state.SilenceTimeout()
}

// maxSilenceBehindPartition returns the same limit while a peer is unreachable. An agent on a
// machine with replicas gets only the time that it needs to reach a controller that forwards
// its heartbeats.
func (l *Liveness) maxSilenceBehindPartition(hasReplicas bool) time.Duration {
	if hasReplicas {
		interval := config.Seconds(l.state.Config.Cluster.Agents.ReportS * tuning.MaxHeartbeatIntervalFactor)
		return max(l.state.ReplicaSilenceTimeout(), interval+tuning.HeartbeatRerouteTime)
	}
	return l.state.SilenceTimeout() + tuning.PartitionSilenceAllowance
}

// mayDeleteSilent reports whether an unresponsive machine may be deleted: either no partition is
// suspected in its zone, so that the fault is in the machine and not in the network, or it has been
// gone for longer than a replacement takes to boot.
func (l *Liveness) mayDeleteSilent(machine *cluster.Machine, partitions *suspectedPartitions) bool {
	return !partitions.suspected[machine.Zone] || l.state.GoneLongerThanBootTime(machine)
}

// mayDeleteReplicaHost reports the same of a machine with replicas. Such a machine may also be
// deleted if another zone is reachable and most of its replicas fit into other zones.
func (l *Liveness) mayDeleteReplicaHost(machine *cluster.Machine, partitions *suspectedPartitions) bool {
	if partitions.suspectedForReplicas == nil {
		partitions.suspectedForReplicas, partitions.reachableZones = l.state.SuspectedZones(l.state.ReplicaSilenceTimeout())
	}
	return !partitions.suspectedForReplicas[machine.Zone] || l.state.GoneLongerThanBootTime(machine) || l.scheduler.MostReplicasFitElsewhere(machine, partitions.reachableZones)
}

// deleteSilent requests the deletion of an unresponsive machine.
func (l *Liveness) deleteSilent(machine *cluster.Machine, reason string) {
	l.scheduler.MachineLost(machine)
	l.fleet.DeleteMachine(machine, reason)
}

// probeIfDue asks a silent agent for a heartbeat if a probe is due and may be sent now.
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
