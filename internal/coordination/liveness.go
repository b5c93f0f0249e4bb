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
func (l *leader) lapseAt(m *cluster.Machine) time.Time {
	from := l.cluster.LeadingSince.Add(l.n.grace())
	if m.Agent.AnsweredAt.After(from) {
		from = m.Agent.AnsweredAt
	}
	return from.Add(withDrift(config.Seconds(l.n.cfg.Cluster.Workers.LeaseS)) + withDrift(l.n.grace()) - l.n.grace() + tuning.LapseMargin)
}

// tickMachines looks for workers that are silent, lapsed or dead.
func (l *leader) tickMachines() {
	now := l.n.now
	suspected, _ := l.cluster.SuspectedZones(l.cluster.SilenceTimeout())
	var early, heard map[protocol.ZoneName]bool // the same as soon as a host may be missing
	for _, m := range l.cluster.OrderedMachines {
		if l.n.lead != l {
			return
		}
		l.presentToken(m)
		missing := l.cluster.HasReplicas(m) && m.Agent.Heard && now.Sub(m.Agent.LastHeartbeat) > l.cluster.ReplicaSilenceTimeout()
		if l.autoscaler.Booting(m) || l.cluster.HeardRecently(m) && !l.cluster.NotReceiving(m) && !missing || now.Sub(l.cluster.LeadingSince) < l.cluster.SilenceTimeout() {
			continue
		}
		if !m.Agent.LeaseExpired && !l.cluster.HeardRecently(m) && now.After(l.lapseAt(m)) {
			m.Agent.LeaseExpired, m.Agent.LeaseExpiredAt = true, now
			l.n.log.Info("lease lapsed", "machine", m.ID)
			l.recovery.Known(m.ID)
			for _, c := range cluster.SortedAttemptsOn(m) {
				l.dropAttempt(c)
			}
		}
		if !m.Agent.Probing && !now.Before(m.Agent.ProbeNotBefore) && m.Address != "" && !m.Deleting && l.mayCall(true) {
			l.probe(m)
		}
		if m.Agent.LeaseExpired && m.Address == "" && !m.Deleting {
			l.autoscaler.ReturnMachine(m, "lapsed and of no known address")
		}
		// With a peer out of reach the worker may be behind the same cut and
		// on its way to a controller that carries its reports.
		// Nor is one not receiving then because it does not answer this node's calls.
		patience, whole := l.patience(missing), len(l.n.reachablePeers()) == len(l.n.cfg.Peers)
		if m.Deleting || m.Agent.FailedProbes < tuning.ProbesToDelete || !(whole && l.cluster.NotReceiving(m) || now.Sub(m.Agent.LastHeartbeat) > patience) {
			continue
		}
		if !missing {
			if !suspected[m.Zone] || l.cluster.Outwaited(m) {
				l.deleteSilent(m, "silent")
			}
			continue
		}
		if early == nil {
			early, heard = l.cluster.SuspectedZones(l.cluster.ReplicaSilenceTimeout())
		}
		if !early[m.Zone] || l.cluster.Outwaited(m) || l.scheduler.ReplicasHavePlacesElsewhere(m, heard) {
			l.deleteSilent(m, "silent, with replicas")
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
		interval := config.Seconds(l.n.cfg.Cluster.Workers.ReportS * tuning.LongestReports)
		return max(l.cluster.ReplicaSilenceTimeout(), interval+tuning.RerouteTime)
	}
	return l.cluster.SilenceTimeout() + tuning.CutPatience
}

// deleteSilent returns a machine that does not answer.
func (l *leader) deleteSilent(m *cluster.Machine, why string) {
	l.scheduler.LostMachineAt[m.Zone] = l.n.now
	l.autoscaler.ReturnMachine(m, why)
}

// probe asks a silent worker for its report.
func (l *leader) probe(m *cluster.Machine) {
	m.Agent.Probing = true
	l.call(m, "GET", protocol.PathInspect, nil, func(status int, body []byte) {
		m.Agent.Probing, m.Agent.ProbeNotBefore = false, l.n.now.Add(tuning.ProbeTimeout)
		if l.cluster.HasReplicas(m) {
			m.Agent.ProbeNotBefore = l.n.now
		}
		if status != 200 {
			m.Agent.FailedProbes++
			return
		}
		l.takeAnswer(m, body)
	})
}
