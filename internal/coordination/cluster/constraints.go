package cluster

import (
	"github.com/gappond/gappond/internal/protocol"
)

// ZoneLimits says how many more tasks of a job each zone may take, given where its tasks
// may be at this moment.
type ZoneLimits struct {
	Remaining map[protocol.ZoneName]int
	// Only is the only zone left, once that of a job bound to one zone is decided.
	Only protocol.ZoneName
}

// Allow says whether a zone may take a further task.
func (z *ZoneLimits) Allow(zone protocol.ZoneName) bool {
	return z.Remaining[zone] != 0 && (z.Only == "" || z.Only == zone)
}

// Take accounts for a task of the job that was placed in a zone.
func (z *ZoneLimits) Take(job *Job, zone protocol.ZoneName) {
	z.Remaining[zone]--
	if job.Spec.OneZone {
		z.Only = zone
	}
}

// ZoneLimits works out a job's limits.
func (st *State) ZoneLimits(job *Job) ZoneLimits {
	perZone := map[protocol.ZoneName]int{} // its attempts, then what remains
	limits := ZoneLimits{Remaining: perZone}
	for _, attempt := range job.Attempts {
		perZone[attempt.Machine.Zone]++
		if job.Spec.OneZone {
			limits.Only = attempt.Machine.Zone
		}
	}
	most := len(job.Tasks)
	if job.Spec.Spread {
		// An attempt on a machine of no known zone may be in any.
		most = max(0, (len(job.Tasks)+1)/2-perZone[""])
	}
	if job.Spec.OneZone && (len(perZone) > 1 || perZone[""] > 0) {
		// Old attempts that may still be there disagree, or nobody knows where they
		// are: none may join them until all but one zone's are proven gone.
		most = 0
	}
	for _, zone := range st.Config.Cluster.Zones {
		perZone[zone] = max(0, most-perZone[zone])
	}
	return limits
}

// Schedulable says whether a machine takes new tasks at all.
func (st *State) Schedulable(machine *Machine) bool {
	return machine.Recorded && !machine.Cordoned && !machine.Deleting &&
		!st.NotReceiving(machine) && !st.NotReporting(machine) && st.ConfirmedAlive(machine) && st.TypeOf(machine) != nil
}

// SpecAllows says whether the job may use machines of this type, zone and kind.
func SpecAllows(spec *protocol.Job, typeName protocol.MachineTypeName, zone protocol.ZoneName, spot bool) bool {
	return protocol.Allowed(spec.Types, typeName) && (spec.Zone == "" || spec.Zone == zone) && (spec.Spot || !spot)
}

// Eligible says whether a job may start on a machine now.
func (st *State) Eligible(job *Job, machine *Machine) bool {
	return st.Schedulable(machine) && st.MeetsConstraints(job, machine)
}

// MeetsConstraints says the same of a machine that is known to be open.
func (st *State) MeetsConstraints(job *Job, machine *Machine) bool {
	return (machine.ReservedFor == nil || machine.ReservedFor == job) &&
		SpecAllows(job.Spec, machine.TypeName, machine.Zone, machine.Spot) && !st.Avoids(job, machine)
}

// Avoids says whether a job's task was refused or failed on a machine lately.
func (st *State) Avoids(job *Job, machine *Machine) bool {
	return len(job.Failures.AvoidUntil) > 0 && st.Now().Before(job.Failures.AvoidUntil[machine.ID])
}
