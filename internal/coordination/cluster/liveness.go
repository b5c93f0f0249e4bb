package cluster

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// HeardRecently says whether a report of the worker came lately.
func (st *State) HeardRecently(machine *Machine) bool {
	return machine.Agent.Heard && !machine.Agent.LeaseExpired && st.Now().Sub(machine.Agent.LastHeartbeat) < st.SilenceTimeout()
}

// ConfirmedAlive says whether the worker is surely there: it has shown this leader's
// token lately. What has not may be a late duplicate of an old report.
func (st *State) ConfirmedAlive(machine *Machine) bool {
	return machine.Agent.TokenConfirmed && st.HeardRecently(machine)
}

// NotReceiving says whether reports of a worker come, but answers and orders do not
// reach it: what an answer told it does not show in its next report, or its
// lease ran out though it was answered. Its lease runs out again and again, so
// it takes no work; if it does not answer a call either, it is returned.
func (st *State) NotReceiving(machine *Machine) bool {
	return machine.Agent.UnseenAnswers >= tuning.MaxIneffectiveResponses
}

// NotReporting says whether a worker answers calls while no report of it comes, so that
// its lease is about to run out, or does so again and again: it takes no work.
func (st *State) NotReporting(machine *Machine) bool {
	from := st.LeadingSince
	if machine.Agent.AnsweredAt.After(from) {
		from = machine.Agent.AnsweredAt
	}
	return st.Now().Sub(from) > config.Seconds(st.Config.Cluster.Workers.LeaseS/2)
}

// SilenceTimeout is how long a worker may be silent before it is probed.
func (st *State) SilenceTimeout() time.Duration {
	return max(config.Seconds(st.Config.Cluster.Workers.ReportS*tuning.SilenceIntervals), tuning.MinSilenceTimeout)
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
	for _, machine := range st.OrderedMachines {
		if !machine.Agent.Heard && machine.Agent.Incarnation == 0 {
			continue
		}
		z := zones[machine.Zone]
		z.total++
		all.total++
		if st.NotReceiving(machine) || (machine.Agent.LeaseExpired || !machine.Agent.Heard || st.Now().Sub(machine.Agent.LastHeartbeat) > silence) && st.Now().Sub(st.LeadingSince) > st.SilenceTimeout() {
			z.silent++
			all.silent++
		}
		zones[machine.Zone] = z
	}
	many := func(c count, share float64) bool { return c.silent > 2 && float64(c.silent) > share*float64(c.total) }
	suspected, heard = map[protocol.ZoneName]bool{}, map[protocol.ZoneName]bool{}
	for name, z := range zones {
		suspected[name] = many(z, tuning.MaxZoneSilentShare) || many(all, tuning.MaxSilentShare)
		heard[name] = z.total > 0 && float64(z.silent) < tuning.MaxHeardZoneSilentShare*float64(z.total)
	}
	return suspected, heard
}

// Outwaited says whether a machine behind a suspected cut has been gone for so
// long after its lease that another would have booted.
func (st *State) Outwaited(machine *Machine) bool {
	machineType := st.TypeOf(machine)
	return machine.Agent.LeaseExpired && (machineType == nil || st.Now().Sub(machine.Agent.LeaseExpiredAt) > config.Seconds(machineType.BootS))
}

// HasReplicas says whether a machine has replicas of services.
func (st *State) HasReplicas(machine *Machine) bool {
	for _, attempt := range machine.Attempts {
		if attempt.Job.Spec.Service() && !attempt.Stopping {
			return true
		}
	}
	return false
}

// ReplicaSilenceTimeout is how long such a machine may be silent before it is probed.
func (st *State) ReplicaSilenceTimeout() time.Duration {
	return min(config.Seconds(st.Config.Cluster.Workers.ReportS*tuning.ReplicaSilenceIntervals), st.SilenceTimeout())
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
