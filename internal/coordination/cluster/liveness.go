package cluster

import (
	"math"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// HeardRecently reports whether the agent's newest heartbeat is recent and its lease has not
// expired.
func (st *State) HeardRecently(machine *Machine) bool {
	return machine.Agent.Heard && !machine.Agent.LeaseExpired && st.Now().Sub(machine.Agent.LastHeartbeat) < st.SilenceTimeout()
}

// ConfirmedAlive reports whether the agent is certainly alive: a recent heartbeat has this
// leader's fencing token. A heartbeat without it may be a late duplicate of an old one.
func (st *State) ConfirmedAlive(machine *Machine) bool {
	return machine.Agent.TokenConfirmed && st.HeardRecently(machine)
}

// NotReceiving reports whether responses and commands do not reach an agent although its
// heartbeats arrive. Either its heartbeats do not show the effect of the responses before
// them, or its lease expired although its heartbeats got responses. Its lease would expire
// again and again, so the machine gets no tasks. If the agent does not respond to calls either,
// the machine is deleted.
func (st *State) NotReceiving(machine *Machine) bool {
	return machine.Agent.IneffectiveResponses >= tuning.MaxIneffectiveResponses
}

// NotReporting reports whether no heartbeat of an agent, apart from those in responses to
// calls, has arrived for more than half a lease. The time counts from the start of this
// leadership at the earliest. The agent's lease is about to expire, or expires again and
// again, even if it responds to calls. So the machine gets no tasks.
func (st *State) NotReporting(machine *Machine) bool {
	since := st.LeadingSince
	if machine.Agent.RespondedAt.After(since) {
		since = machine.Agent.RespondedAt
	}
	return st.Now().Sub(since) > config.Seconds(st.Config.Cluster.Agents.LeaseS/2)
}

// SilenceTimeout returns how long an agent may be silent before it is probed.
func (st *State) SilenceTimeout() time.Duration {
	return max(config.Seconds(st.Config.Cluster.Agents.ReportS*tuning.SilenceIntervals), tuning.MinSilenceTimeout)
}

// silenceCount counts the machines of one zone or of all zones, and the silent ones among
// them.
type silenceCount struct{ silent, total int }

// add counts a machine.
func (c *silenceCount) add(silent bool) {
	c.total++
	if silent {
		c.silent++
	}
}

// exceeds reports whether more than two machines and more than the given share of the
// machines are silent.
func (c *silenceCount) exceeds(maxShare float64) bool {
	return c.silent > 2 && float64(c.silent) > maxShare*float64(c.total)
}

// SuspectedZones returns the zones in which a network partition is suspected instead of
// failed machines: more than half of the zone's machines, or more than about a third of all
// machines, are silent at once. Machines behind a partition are back when it ends, with
// their images. Replacements would have to boot first, perhaps behind the same partition.
// The result reachable holds the zones in which most machines send heartbeats on time.
func (st *State) SuspectedZones(silenceTimeout time.Duration) (suspected, reachable map[protocol.ZoneName]bool) {
	var all silenceCount
	perZone := map[protocol.ZoneName]silenceCount{}
	for _, machine := range st.OrderedMachines {
		if !machine.Agent.Heard && machine.Agent.Incarnation == 0 {
			continue
		}
		silent := st.isSilent(machine, silenceTimeout)
		all.add(silent)
		zone := perZone[machine.Zone]
		zone.add(silent)
		perZone[machine.Zone] = zone
	}
	suspected, reachable = map[protocol.ZoneName]bool{}, map[protocol.ZoneName]bool{}
	for name, zone := range perZone {
		suspected[name] = zone.exceeds(tuning.MaxZoneSilentShare) || all.exceeds(tuning.MaxSilentShare)
		reachable[name] = zone.total > 0 && float64(zone.silent) < tuning.MaxReachableZoneSilentShare*float64(zone.total)
	}
	return suspected, reachable
}

// isSilent reports whether a machine counts as silent: it does not receive responses, its lease
// has expired, or no heartbeat has arrived for longer than silenceTimeout. Soon after a failover
// only the first of these counts, because agents may not have found this leader yet.
func (st *State) isSilent(machine *Machine, silenceTimeout time.Duration) bool {
	if st.NotReceiving(machine) {
		return true
	}
	agent := &machine.Agent
	if st.Now().Sub(st.LeadingSince) <= st.SilenceTimeout() {
		return false
	}
	return agent.LeaseExpired || !agent.Heard || st.Now().Sub(agent.LastHeartbeat) > silenceTimeout
}

// GoneLongerThanBootTime reports whether the lease of a machine behind a suspected partition
// expired longer ago than a replacement takes to boot. If the machine's type is unknown, the
// expired lease is enough.
func (st *State) GoneLongerThanBootTime(machine *Machine) bool {
	machineType := st.TypeOf(machine)
	return machine.Agent.LeaseExpired && (machineType == nil || st.Now().Sub(machine.Agent.LeaseExpiredAt) > config.Seconds(machineType.BootS))
}

// HasReplicas reports whether a machine has service replicas that are not stopping.
func (st *State) HasReplicas(machine *Machine) bool {
	for _, attempt := range machine.Attempts {
		if attempt.Job.Spec.Service() && !attempt.Stopping {
			return true
		}
	}
	return false
}

// ReplicaSilenceTimeout returns how long the agent of a machine with replicas may be silent
// before it is probed.
func (st *State) ReplicaSilenceTimeout() time.Duration {
	return min(config.Seconds(st.Config.Cluster.Agents.ReportS*tuning.ReplicaSilenceIntervals), st.SilenceTimeout())
}

// AnyZoneSuspected reports whether any zone is suspected, judged by the silence time-out of
// machines with replicas.
func (st *State) AnyZoneSuspected() bool {
	suspected, _ := st.SuspectedZones(st.ReplicaSilenceTimeout())
	for _, isSuspected := range suspected {
		if isSuspected {
			return true
		}
	}
	return false
}

// neverHappened is the age of an event that has not happened.
const neverHappened = -1

// SecondsSince returns the age of an event in seconds for the log, to the millisecond. It is negative
// if the event lies ahead.
func (st *State) SecondsSince(event time.Time) float64 {
	if event.IsZero() {
		return neverHappened
	}
	return math.Round(st.Now().Sub(event).Seconds()*1000) / 1000
}
