package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// reportedLately says whether a report of the worker came lately.
func (l *leader) reportedLately(m *machine) bool {
	return m.reported && !m.lapsed && l.n.now.Sub(m.lastReport) < l.silence()
}

// isConfirmedAlive says whether the worker is surely there: it has shown this leader's
// token lately. What has not may be a late duplicate of an old report.
func (l *leader) isConfirmedAlive(m *machine) bool { return m.tokenConfirmed && l.reportedLately(m) }

// isBooting says whether a machine that never reported is still expected to. One
// that a predecessor recorded may have been returned since; unless the machine
// list shows it, it is not waited for.
func (l *leader) isBooting(m *machine) bool {
	if m.reported || m.incarnation > 0 {
		return false
	}
	if !m.loaded || m.phase == protocol.MachineBooting {
		return true
	}
	lag := 2*seconds(l.n.cfg.Cluster.Cloud.ListLagS) + l.listEvery()
	return l.n.now.Sub(l.since) < l.silence()+lag
}

// notReceiving says whether reports of a worker come, but answers and orders do not
// reach it: what an answer told it does not show in its next report, or its
// lease ran out though it was answered. Its lease runs out again and again, so
// it takes no work; if it does not answer a call either, it is returned.
func (l *leader) notReceiving(m *machine) bool { return m.unseenAnswers >= tuning.MissedAnswers }

// notReporting says whether a worker answers calls while no report of it comes, so that
// its lease is about to run out, or does so again and again: it takes no work.
func (l *leader) notReporting(m *machine) bool {
	from := l.since
	if m.answered.After(from) {
		from = m.answered
	}
	return l.n.now.Sub(from) > seconds(l.n.cfg.Cluster.Workers.LeaseS/2)
}

// silence is how long a worker may be silent before it is probed.
func (l *leader) silence() time.Duration {
	return max(seconds(l.n.cfg.Cluster.Workers.ReportS*tuning.SilentReports), tuning.SilentLeast)
}

// lapseAt is when a worker's lease has surely run out. One that this leader
// never answered may have been answered by its predecessor for the whole of
// the predecessor's grace.
func (l *leader) lapseAt(m *machine) time.Time {
	from := l.since.Add(l.n.grace())
	if m.answered.After(from) {
		from = m.answered
	}
	return from.Add(withDrift(seconds(l.n.cfg.Cluster.Workers.LeaseS)) + withDrift(l.n.grace()) - l.n.grace() + tuning.LapseMargin)
}

// tickMachines looks for workers that are silent, lapsed or dead.
func (l *leader) tickMachines() {
	now := l.n.now
	suspected, _ := l.suspectedZones(l.silence())
	var early, heard map[protocol.ZoneName]bool // the same as soon as a host may be missing
	for _, m := range l.roster {
		if l.n.lead != l {
			return
		}
		l.presentToken(m)
		missing := l.hasReplicas(m) && m.reported && now.Sub(m.lastReport) > l.replicaSilence()
		if l.isBooting(m) || l.reportedLately(m) && !l.notReceiving(m) && !missing || now.Sub(l.since) < l.silence() {
			continue
		}
		if !m.lapsed && !l.reportedLately(m) && now.After(l.lapseAt(m)) {
			m.lapsed, m.lapsedAt = true, now
			l.n.log.Info("lease lapsed", "machine", m.id)
			l.recovery.Known(m.id)
			for _, c := range sortedAttempts(m) {
				l.dropAttempt(c)
			}
		}
		if !m.probing && !now.Before(m.probeAt) && m.address != "" && !m.deleting && l.mayCall(true) {
			l.probe(m)
		}
		if m.lapsed && m.address == "" && !m.deleting {
			l.delete(m, "lapsed and of no known address")
		}
		// With a peer out of reach the worker may be behind the same cut and
		// on its way to a controller that carries its reports.
		// Nor is one not receiving then because it does not answer this node's calls.
		patience, whole := l.patience(missing), len(l.n.reachablePeers()) == len(l.n.cfg.Peers)
		if m.deleting || m.probes < tuning.ProbesToDelete || !(whole && l.notReceiving(m) || now.Sub(m.lastReport) > patience) {
			continue
		}
		if !missing {
			if !suspected[m.zone] || l.isOutwaited(m) {
				l.deleteSilent(m, "silent")
			}
			continue
		}
		if early == nil {
			early, heard = l.suspectedZones(l.replicaSilence())
		}
		if !early[m.zone] || l.isOutwaited(m) || l.isReplaceable(m, heard) {
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
		return l.replicaSilence()
	case whole:
		return l.silence()
	case hasReplicas:
		interval := seconds(l.n.cfg.Cluster.Workers.ReportS * tuning.LongestReports)
		return max(l.replicaSilence(), interval+tuning.RerouteTime)
	}
	return l.silence() + tuning.CutPatience
}

// deleteSilent returns a machine that does not answer.
func (l *leader) deleteSilent(m *machine, why string) {
	l.fleet.lostIn[m.zone] = l.n.now
	l.delete(m, why)
}

// suspectedZones are those in which the network is suspected, not the machines:
// half of a zone's machines are silent at once, or a third of all. Machines
// behind a cut are back when it ends, with their images; what is rented in
// their place boots, perhaps behind the same cut. heard are the zones most of whose
// machines report as ever.
func (l *leader) suspectedZones(silence time.Duration) (suspected, heard map[protocol.ZoneName]bool) {
	type count struct{ silent, total int }
	zones := map[protocol.ZoneName]count{}
	var all count
	for _, m := range l.roster {
		if !m.reported && m.incarnation == 0 {
			continue
		}
		z := zones[m.zone]
		z.total++
		all.total++
		if l.notReceiving(m) || (m.lapsed || !m.reported || l.n.now.Sub(m.lastReport) > silence) && l.n.now.Sub(l.since) > l.silence() {
			z.silent++
			all.silent++
		}
		zones[m.zone] = z
	}
	many := func(c count, share float64) bool { return c.silent > 2 && float64(c.silent) > share*float64(c.total) }
	suspected, heard = map[protocol.ZoneName]bool{}, map[protocol.ZoneName]bool{}
	for name, z := range zones {
		suspected[name] = many(z, tuning.ZoneSilentShare) || many(all, tuning.SilentShare)
		heard[name] = z.total > 0 && float64(z.silent) < tuning.HeardSilentShare*float64(z.total)
	}
	return suspected, heard
}

// isOutwaited says whether a machine behind a suspected cut has been gone for so
// long after its lease that another would have booted.
func (l *leader) isOutwaited(m *machine) bool {
	t := l.kind(m)
	return m.lapsed && (t == nil || l.n.now.Sub(m.lapsedAt) > seconds(t.BootS))
}

// probe asks a silent worker for its report.
func (l *leader) probe(m *machine) {
	m.probing = true
	l.call(m, "GET", protocol.PathInspect, nil, func(status int, body []byte) {
		m.probing, m.probeAt = false, l.n.now.Add(tuning.ProbeTimeout)
		if l.hasReplicas(m) {
			m.probeAt = l.n.now
		}
		if status != 200 {
			m.probes++
			return
		}
		l.takeAnswer(m, body)
	})
}
