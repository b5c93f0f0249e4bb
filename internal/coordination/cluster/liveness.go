package cluster

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// HeardRecently says whether a report of the worker came lately.
func (st *State) HeardRecently(m *Machine) bool {
	return m.Agent.Heard && !m.Agent.LeaseExpired && st.Now().Sub(m.Agent.LastHeartbeat) < st.SilenceTimeout()
}

// ConfirmedAlive says whether the worker is surely there: it has shown this leader's
// token lately. What has not may be a late duplicate of an old report.
func (st *State) ConfirmedAlive(m *Machine) bool {
	return m.Agent.TokenConfirmed && st.HeardRecently(m)
}

// NotReceiving says whether reports of a worker come, but answers and orders do not
// reach it: what an answer told it does not show in its next report, or its
// lease ran out though it was answered. Its lease runs out again and again, so
// it takes no work; if it does not answer a call either, it is returned.
func (st *State) NotReceiving(m *Machine) bool { return m.Agent.UnseenAnswers >= tuning.MissedAnswers }

// NotReporting says whether a worker answers calls while no report of it comes, so that
// its lease is about to run out, or does so again and again: it takes no work.
func (st *State) NotReporting(m *Machine) bool {
	from := st.LeadingSince
	if m.Agent.AnsweredAt.After(from) {
		from = m.Agent.AnsweredAt
	}
	return st.Now().Sub(from) > config.Seconds(st.Config.Cluster.Workers.LeaseS/2)
}

// SilenceTimeout is how long a worker may be silent before it is probed.
func (st *State) SilenceTimeout() time.Duration {
	return max(config.Seconds(st.Config.Cluster.Workers.ReportS*tuning.SilentReports), tuning.SilentLeast)
}

// SuspectedZones are those in which the network is suspected, not the machines:
// half of a zone's machines are silent at once, or a third of all. Machines
// behind a cut are back when it ends, with their images; what is rented in
// their place boots, perhaps behind the same cut. heard are the zones most of whose
// machines report as ever.
func (st *State) SuspectedZones(silence time.Duration) (suspected, heard map[protocol.ZoneName]bool) {
	type count struct{ silent, total int }
	zones := map[protocol.ZoneName]count{}
	var all count
	for _, m := range st.OrderedMachines {
		if !m.Agent.Heard && m.Agent.Incarnation == 0 {
			continue
		}
		z := zones[m.Zone]
		z.total++
		all.total++
		if st.NotReceiving(m) || (m.Agent.LeaseExpired || !m.Agent.Heard || st.Now().Sub(m.Agent.LastHeartbeat) > silence) && st.Now().Sub(st.LeadingSince) > st.SilenceTimeout() {
			z.silent++
			all.silent++
		}
		zones[m.Zone] = z
	}
	many := func(c count, share float64) bool { return c.silent > 2 && float64(c.silent) > share*float64(c.total) }
	suspected, heard = map[protocol.ZoneName]bool{}, map[protocol.ZoneName]bool{}
	for name, z := range zones {
		suspected[name] = many(z, tuning.ZoneSilentShare) || many(all, tuning.SilentShare)
		heard[name] = z.total > 0 && float64(z.silent) < tuning.HeardSilentShare*float64(z.total)
	}
	return suspected, heard
}

// Outwaited says whether a machine behind a suspected cut has been gone for so
// long after its lease that another would have booted.
func (st *State) Outwaited(m *Machine) bool {
	t := st.TypeOf(m)
	return m.Agent.LeaseExpired && (t == nil || st.Now().Sub(m.Agent.LeaseExpiredAt) > config.Seconds(t.BootS))
}

// HasReplicas says whether a machine has replicas of services.
func (st *State) HasReplicas(m *Machine) bool {
	for _, c := range m.Attempts {
		if c.Job.Spec.Service() && !c.Stopping {
			return true
		}
	}
	return false
}

// ReplicaSilenceTimeout is how long such a machine may be silent before it is probed.
func (st *State) ReplicaSilenceTimeout() time.Duration {
	return min(config.Seconds(st.Config.Cluster.Workers.ReportS*tuning.ReplicaReports), st.SilenceTimeout())
}

// SomeZoneSilent says whether machines of some zone are missed at the same time.
func (st *State) SomeZoneSilent() bool {
	suspected, _ := st.SuspectedZones(st.ReplicaSilenceTimeout())
	for _, silent := range suspected {
		if silent {
			return true
		}
	}
	return false
}
