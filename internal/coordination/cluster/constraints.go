package cluster

import (
	"github.com/gappond/gappond/internal/protocol"
)

// ZoneLimits limits how many more tasks of a job may be placed in each zone, given the zones
// in which its tasks may be running now.
type ZoneLimits struct {
	Remaining map[protocol.ZoneName]int // how many more tasks each zone may take
	// Only is the only allowed zone of a one-zone job whose zone is decided, else "".
	Only protocol.ZoneName
}

// Allow reports whether another task may be placed in a zone.
func (z *ZoneLimits) Allow(zone protocol.ZoneName) bool {
	return z.Remaining[zone] != 0 && (z.Only == "" || z.Only == zone)
}

// Take updates the limits after a task of the job was placed in a zone.
func (z *ZoneLimits) Take(job *Job, zone protocol.ZoneName) {
	z.Remaining[zone]--
	if job.Spec.OneZone {
		z.Only = zone
	}
}

// ZoneLimits returns the limits of a job.
func (st *State) ZoneLimits(job *Job) ZoneLimits {
	perZone := map[protocol.ZoneName]int{} // attempts of the job, at the end its remaining tasks
	limits := ZoneLimits{Remaining: perZone}
	for _, attempt := range job.Attempts {
		perZone[attempt.Machine.Zone]++
		if job.Spec.OneZone {
			limits.Only = attempt.Machine.Zone
		}
	}
	maxPerZone := len(job.Tasks)
	if job.Spec.Spread {
		// An attempt on a machine whose zone is unknown may be in any zone.
		maxPerZone = max(0, (len(job.Tasks)+1)/2-perZone[""])
	}
	if job.Spec.OneZone && (len(perZone) > 1 || perZone[""] > 0) {
		// Old attempts that may still exist are in several zones or in an unknown one. No
		// task may be placed until those of all zones but one are proven gone.
		maxPerZone = 0
	}
	for _, zone := range st.Config.Cluster.Zones {
		perZone[zone] = max(0, maxPerZone-perZone[zone])
	}
	return limits
}

// Schedulable reports whether a machine accepts new tasks, of whatever job.
func (st *State) Schedulable(machine *Machine) bool {
	return machine.Recorded && !machine.Cordoned && !machine.Deleting &&
		!st.NotReceiving(machine) && !st.NotReporting(machine) && st.ConfirmedAlive(machine) && st.TypeOf(machine) != nil
}

// SpecAllows reports whether a job may use machines of the given type in the given zone. The
// argument spot says whether they are spot machines.
func SpecAllows(spec *protocol.Job, typeName protocol.MachineTypeName, zone protocol.ZoneName, spot bool) bool {
	return protocol.TypeAllowed(spec.Types, typeName) && (spec.Zone == "" || spec.Zone == zone) && (spec.Spot || !spot)
}

// Eligible reports whether a job may start tasks on a machine now. It does not check free
// capacity.
func (st *State) Eligible(job *Job, machine *Machine) bool {
	return st.Schedulable(machine) && st.MeetsConstraints(job, machine)
}

// MeetsConstraints reports the same as Eligible for a machine that is known to be schedulable.
func (st *State) MeetsConstraints(job *Job, machine *Machine) bool {
	return (machine.ReservedFor == nil || machine.ReservedFor == job) && machine.Admits(job, st.Now()) &&
		SpecAllows(job.Spec, machine.TypeName, machine.Zone, machine.Spot) && !st.Avoids(job, machine)
}

// Avoids reports whether a machine recently refused a task of the job, or such a task failed
// there.
func (st *State) Avoids(job *Job, machine *Machine) bool {
	return len(job.Failures.AvoidUntil) > 0 && st.Now().Before(job.Failures.AvoidUntil[machine.ID])
}
