package cluster

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// HeardRecently says whether a heartbeat of the agent came lately.
func (st *State) HeardRecently(machine *Machine) bool {
	return machine.Agent.Heard && !machine.Agent.LeaseExpired && st.Now().Sub(machine.Agent.LastHeartbeat) < st.SilenceTimeout()
}

// ConfirmedAlive says whether the agent is surely there: it has shown this leader's
// token lately. What has not may be a late duplicate of an old heartbeat.
func (st *State) ConfirmedAlive(machine *Machine) bool {
	return machine.Agent.TokenConfirmed && st.HeardRecently(machine)
}

// NotReceiving says whether heartbeats of an agent come, but responses and commands do not
// reach it: what a response told it does not show in its next heartbeat, or its
// lease expired though it was answered. Its lease expires again and again, so
// it takes no work; if it does not answer a call either, the machine is deleted.
func (st *State) NotReceiving(machine *Machine) bool {
	return machine.Agent.IneffectiveResponses >= tuning.MaxIneffectiveResponses
}

// NotReporting says whether an agent answers calls while no heartbeat of it comes, so that
// its lease is about to expire, or does so again and again: it takes no work.
func (st *State) NotReporting(machine *Machine) bool {
	from := st.LeadingSince
	if machine.Agent.RespondedAt.After(from) {
		from = machine.Agent.RespondedAt
	}
	return st.Now().Sub(from) > config.Seconds(st.Config.Cluster.Agents.LeaseS/2)
}

// SilenceTimeout is how long an agent may be silent before it is probed.
func (st *State) SilenceTimeout() time.Duration {
	return max(config.Seconds(st.Config.Cluster.Agents.ReportS*tuning.SilenceIntervals), tuning.MinSilenceTimeout)
}

// silenceCount counts the machines of a zone, or of all, and how many of them are silent.
type silenceCount struct{ silent, total int }

// add counts a machine.
func (c *silenceCount) add(silent bool) {
	c.total++
	if silent {
		c.silent++
	}
}

// exceeds says whether more than a share of the machines, and more than two, are silent.
func (c *silenceCount) exceeds(share float64) bool {
	return c.silent > 2 && float64(c.silent) > share*float64(c.total)
}

// SuspectedZones are those in which the network is suspected, not the machines:
// half of a zone's machines are silent at once, or a third of all. Machines
// behind a partition are back when it ends, with their images; others in
// their place would have to boot, perhaps behind the same partition. heard are the zones
// most of whose machines send heartbeats as ever.
func (st *State) SuspectedZones(silence time.Duration) (suspected, heard map[protocol.ZoneName]bool) {
	var all silenceCount
	zones := map[protocol.ZoneName]silenceCount{}
	for _, machine := range st.OrderedMachines {
		if !machine.Agent.Heard && machine.Agent.Incarnation == 0 {
			continue
		}
		silent := st.isSilent(machine, silence)
		all.add(silent)
		zone := zones[machine.Zone]
		zone.add(silent)
		zones[machine.Zone] = zone
	}
	suspected, heard = map[protocol.ZoneName]bool{}, map[protocol.ZoneName]bool{}
	for name, zone := range zones {
		suspected[name] = zone.exceeds(tuning.MaxZoneSilentShare) || all.exceeds(tuning.MaxSilentShare)
		heard[name] = zone.total > 0 && float64(zone.silent) < tuning.MaxHeardZoneSilentShare*float64(zone.total)
	}
	return suspected, heard
}

// isSilent says whether a machine is out of reach: it does not receive, or was silent for
// so long. Soon after a failover an agent may simply have yet to find this leader.
func (st *State) isSilent(machine *Machine, silence time.Duration) bool {
	if st.NotReceiving(machine) {
		return true
	}
	agent := &machine.Agent
	if st.Now().Sub(st.LeadingSince) <= st.SilenceTimeout() {
		return false
	}
	return agent.LeaseExpired || !agent.Heard || st.Now().Sub(agent.LastHeartbeat) > silence
}

// GoneLongerThanBootTime says whether a machine behind a suspected partition has been gone for so
// long after its lease that another would have booted.
func (st *State) GoneLongerThanBootTime(machine *Machine) bool {
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
	return min(config.Seconds(st.Config.Cluster.Agents.ReportS*tuning.ReplicaSilenceIntervals), st.SilenceTimeout())
}

// AnyZoneSuspected says whether machines of some zone are missed at the same time.
func (st *State) AnyZoneSuspected() bool {
	suspected, _ := st.SuspectedZones(st.ReplicaSilenceTimeout())
	for _, silent := range suspected {
		if silent {
			return true
		}
	}
	return false
}
