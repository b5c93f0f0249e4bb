package cluster

import (
	"github.com/gappond/gappond/internal/protocol"
)

// ZoneLimits says how many more tasks of the job each zone may take, given
// where its tasks may be at this moment. The second result is the only zone
// left, if one_zone has been decided.
func (st *State) ZoneLimits(job *Job) (limit map[protocol.ZoneName]int, only protocol.ZoneName) {
	limit = map[protocol.ZoneName]int{}
	for _, attempt := range job.Attempts {
		limit[attempt.Machine.Zone]++
		only = attempt.Machine.Zone
	}
	most := len(job.Tasks)
	if job.Spec.Spread {
		// An attempt on a machine of no known zone may be in any.
		most = max(0, (len(job.Tasks)+1)/2-limit[""])
	}
	if job.Spec.OneZone && (len(limit) > 1 || limit[""] > 0) {
		// Old attempts that may still be there disagree, or nobody knows where they
		// are: none may join them until all but one zone's are proven gone.
		most = 0
	}
	for _, z := range st.Config.Cluster.Zones {
		limit[z] = max(0, most-limit[z])
	}
	if !job.Spec.OneZone {
		only = ""
	}
	return limit, only
}

// Schedulable says whether a machine takes new tasks at all.
func (st *State) Schedulable(machine *Machine) bool {
	return machine.Recorded && !st.NotReceiving(machine) && !st.NotReporting(machine) && !machine.Cordoned && !machine.Deleting && st.ConfirmedAlive(machine) && st.TypeOf(machine) != nil
}

// Allows says whether the job may use machines of this type, zone and kind.
func Allows(spec *protocol.Job, typeName protocol.MachineTypeName, zone protocol.ZoneName, spot bool) bool {
	return protocol.Allowed(spec.Types, typeName) && (spec.Zone == "" || spec.Zone == zone) && (spec.Spot || !spot)
}

// Usable says whether a job may start on a machine now.
func (st *State) Usable(job *Job, machine *Machine) bool {
	return st.Schedulable(machine) && st.Suits(job, machine)
}

// Suits says the same of a machine that is known to be open.
func (st *State) Suits(job *Job, machine *Machine) bool {
	return (machine.ReservedFor == nil || machine.ReservedFor == job) && Allows(job.Spec, machine.TypeName, machine.Zone, machine.Spot) && !st.Avoids(job, machine)
}

// Avoids says whether a job's task was refused or failed on a machine lately.
func (st *State) Avoids(job *Job, machine *Machine) bool {
	return len(job.Failures.AvoidUntil) > 0 && st.Now().Before(job.Failures.AvoidUntil[machine.ID])
}
