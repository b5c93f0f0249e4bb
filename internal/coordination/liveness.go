package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// lapseAt is when a worker's lease has surely run out. One that this leader
// never answered may have been answered by its predecessor for the whole of
// the predecessor's grace.
func (l *leader) lapseAt(machine *cluster.Machine) time.Time {
	from := l.cluster.LeadingSince.Add(l.n.grace())
	if machine.Agent.AnsweredAt.After(from) {
		from = machine.Agent.AnsweredAt
	}
	return from.Add(withDrift(config.Seconds(l.n.cfg.Cluster.Workers.LeaseS)) + withDrift(l.n.grace()) - l.n.grace() + tuning.LeaseExpiryMargin)
}

// tickMachines looks for workers that are silent, lapsed or dead.
func (l *leader) tickMachines() {
	now := l.n.now
	suspected, _ := l.cluster.SuspectedZones(l.cluster.SilenceTimeout())
	var early, heard map[protocol.ZoneName]bool // the same as soon as a host may be missing
	for _, machine := range l.cluster.OrderedMachines {
		if l.n.lead != l {
			return
		}
		l.presentToken(machine)
		missing := l.cluster.HasReplicas(machine) && machine.Agent.Heard && now.Sub(machine.Agent.LastHeartbeat) > l.cluster.ReplicaSilenceTimeout()
		if l.autoscaler.Booting(machine) || l.cluster.HeardRecently(machine) && !l.cluster.NotReceiving(machine) && !missing || now.Sub(l.cluster.LeadingSince) < l.cluster.SilenceTimeout() {
			continue
		}
		if !machine.Agent.LeaseExpired && !l.cluster.HeardRecently(machine) && now.After(l.lapseAt(machine)) {
			machine.Agent.LeaseExpired, machine.Agent.LeaseExpiredAt = true, now
			l.n.log.Info("lease lapsed", "machine", machine.ID)
			l.recovery.Known(machine.ID)
			for _, attempt := range cluster.SortedAttemptsOn(machine) {
				l.lifecycle.RemoveGone(attempt)
			}
		}
		if !machine.Agent.Probing && !now.Before(machine.Agent.ProbeNotBefore) && machine.Address != "" && !machine.Deleting && l.mayCall(true) {
			l.probe(machine)
		}
		if machine.Agent.LeaseExpired && machine.Address == "" && !machine.Deleting {
			l.autoscaler.ReturnMachine(machine, "lapsed and of no known address")
		}
		// With a peer out of reach the worker may be behind the same cut and
		// on its way to a controller that carries its reports.
		// Nor is one not receiving then because it does not answer this node's calls.
		patience, whole := l.patience(missing), len(l.n.reachablePeers()) == len(l.n.cfg.Peers)
		if machine.Deleting || machine.Agent.FailedProbes < tuning.MaxUnansweredProbes || !(whole && l.cluster.NotReceiving(machine) || now.Sub(machine.Agent.LastHeartbeat) > patience) {
			continue
		}
		if !missing {
			if !suspected[machine.Zone] || l.cluster.Outwaited(machine) {
				l.deleteSilent(machine, "silent")
			}
			continue
		}
		if early == nil {
			early, heard = l.cluster.SuspectedZones(l.cluster.ReplicaSilenceTimeout())
		}
		if !early[machine.Zone] || l.cluster.Outwaited(machine) || l.scheduler.ReplicasHavePlacesElsewhere(machine, heard) {
			l.deleteSilent(machine, "silent, with replicas")
		}
	}
}

// patience is how long a worker whose probes are not answered may be silent. With a
// peer out of reach it may be behind the same cut, and on its way to a controller that
// forwards its reports; a machine with replicas is given no more than that way takes.
func (l *leader) patience(hasReplicas bool) time.Duration {
	whole := len(l.n.reachablePeers()) == len(l.n.cfg.Peers)
	switch {
	case whole && hasReplicas:
		return l.cluster.ReplicaSilenceTimeout()
	case whole:
		return l.cluster.SilenceTimeout()
	case hasReplicas:
		interval := config.Seconds(l.n.cfg.Cluster.Workers.ReportS * tuning.MaxHeartbeatIntervalFactor)
		return max(l.cluster.ReplicaSilenceTimeout(), interval+tuning.HeartbeatRerouteTime)
	}
	return l.cluster.SilenceTimeout() + tuning.PartitionSilenceAllowance
}

// deleteSilent returns a machine that does not answer.
func (l *leader) deleteSilent(machine *cluster.Machine, why string) {
	l.scheduler.LostMachineAt[machine.Zone] = l.n.now
	l.autoscaler.ReturnMachine(machine, why)
}

// probe asks a silent worker for its report.
func (l *leader) probe(machine *cluster.Machine) {
	machine.Agent.Probing = true
	l.call(machine, "GET", protocol.PathInspect, nil, func(status int, body []byte) {
		machine.Agent.Probing, machine.Agent.ProbeNotBefore = false, l.n.now.Add(tuning.ProbeTimeout)
		if l.cluster.HasReplicas(machine) {
			machine.Agent.ProbeNotBefore = l.n.now
		}
		if status != 200 {
			machine.Agent.FailedProbes++
			return
		}
		l.takeAnswer(machine, body)
	})
}
