package cluster

import (
	"github.com/gappond/gappond/internal/protocol"
)

// ZoneLimits says how many more tasks of the job each zone may take, given
// where its tasks may be at this moment. The second result is the only zone
// left, if one_zone has been decided.
func (st *State) ZoneLimits(j *Job) (limit map[protocol.ZoneName]int, only protocol.ZoneName) {
	limit = map[protocol.ZoneName]int{}
	for _, c := range j.Attempts {
		limit[c.Machine.Zone]++
		only = c.Machine.Zone
	}
	most := len(j.Tasks)
	if j.Spec.Spread {
		// An attempt on a machine of no known zone may be in any.
		most = max(0, (len(j.Tasks)+1)/2-limit[""])
	}
	if j.Spec.OneZone && (len(limit) > 1 || limit[""] > 0) {
		// Old attempts that may still be there disagree, or nobody knows where they
		// are: none may join them until all but one zone's are proven gone.
		most = 0
	}
	for _, z := range st.Config.Cluster.Zones {
		limit[z] = max(0, most-limit[z])
	}
	if !j.Spec.OneZone {
		only = ""
	}
	return limit, only
}

// Schedulable says whether a machine takes new tasks at all.
func (st *State) Schedulable(m *Machine) bool {
	return m.Recorded && !st.NotReceiving(m) && !st.NotReporting(m) && !m.Cordoned && !m.Deleting && st.ConfirmedAlive(m) && st.TypeOf(m) != nil
}

// Allows says whether the job may use machines of this type, zone and kind.
func Allows(s *protocol.Job, typeName protocol.MachineTypeName, zone protocol.ZoneName, spot bool) bool {
	return protocol.Allowed(s.Types, typeName) && (s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// Usable says whether a job may start on a machine now.
func (st *State) Usable(j *Job, m *Machine) bool { return st.Schedulable(m) && st.Suits(j, m) }

// Suits says the same of a machine that is known to be open.
func (st *State) Suits(j *Job, m *Machine) bool {
	return (m.ReservedFor == nil || m.ReservedFor == j) && Allows(j.Spec, m.TypeName, m.Zone, m.Spot) && !st.Avoids(j, m)
}

// Avoids says whether a job's task was refused or failed on a machine lately.
func (st *State) Avoids(j *Job, m *Machine) bool {
	return len(j.Failures.AvoidUntil) > 0 && st.Now().Before(j.Failures.AvoidUntil[m.ID])
}
