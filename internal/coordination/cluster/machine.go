package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/buddy"
	"github.com/gappond/gappond/internal/protocol"
)

// Machine is a machine of the cloud and its agent.
type Machine struct {
	ID        protocol.MachineID
	Address   string
	TypeName  protocol.MachineTypeName
	Zone      protocol.ZoneName
	Spot      bool
	Phase     protocol.MachinePhase // in the cloud's list
	CreatedAt time.Time

	Type  *protocol.MachineType // nil until it is known, and the slots with it
	Slots buddy.Map
	Used  Resources

	Attempts  map[AttemptID]*Attempt
	IdleSince time.Time
	Images    []CachedImage // the most recently used last

	Recovered   bool // known from a predecessor's record
	Cordoned    bool // takes no further tasks, says the machine record
	Deleting    bool
	SpotNotice  bool                    // the cloud takes the machine away soon
	Quarantined bool                    // too many jobs failed here
	FailedJobs  map[protocol.JobID]bool // jobs that failed here since one has succeeded

	// ReservedFor is the job that the free capacity is reserved for.
	ReservedFor   *Job
	ReservedUntil time.Time

	Record           *MachineRecord // shared with other machines of the zone
	RecordEntryBytes int            // of its entry there, at most
	Recorded         bool           // the stored record has it

	Agent    AgentState
	Delivery CommandDelivery
}

// CachedImage is an image that a machine has.
type CachedImage struct {
	Name   string
	SizeGB float64
}

// ReserveFor reserves the free capacity for a job, in place of another it was reserved for.
func (m *Machine) ReserveFor(job *Job, until time.Time) {
	if m.ReservedFor != job {
		m.ReleaseReservation()
		m.ReservedFor = job
		job.Reserved = append(job.Reserved, m)
	}
	m.ReservedUntil = until
}

// ReleaseReservation ends the reservation, if there is one.
func (m *Machine) ReleaseReservation() {
	if job := m.ReservedFor; job != nil {
		m.ReservedFor = nil
		job.Reserved = slices.DeleteFunc(job.Reserved, func(o *Machine) bool { return o == m })
	}
}

// OnlyLowestPriority says whether all that a machine carries is of the lowest priority.
func (m *Machine) OnlyLowestPriority() bool {
	for _, attempt := range m.Attempts {
		if attempt.Job.Priority > protocol.PriorityIdle {
			return false
		}
	}
	return true
}

// Cordon has the machine take no further tasks; false if it was cordoned before.
func (m *Machine) Cordon() bool {
	if m.Cordoned {
		return false
	}
	m.Cordoned = true
	return true
}

// Quarantine notes that too many jobs failed here; false if that was known.
func (m *Machine) Quarantine() bool {
	if m.Quarantined {
		return false
	}
	m.Quarantined = true
	return true
}

// MarkDeleting has the machine deleted; false if that was decided before.
func (m *Machine) MarkDeleting() bool {
	if m.Deleting {
		return false
	}
	m.Deleting = true
	return true
}

// SortedAttemptsOn lists the attempts on a machine in a fixed order.
func SortedAttemptsOn(machine *Machine) []*Attempt {
	list := make([]*Attempt, 0, len(machine.Attempts))
	for _, attempt := range machine.Attempts {
		list = append(list, attempt)
	}
	slices.SortFunc(list, func(a, b *Attempt) int {
		return cmp.Or(
			cmp.Compare(a.Job.ArrivalOrder, b.Job.ArrivalOrder),
			cmp.Compare(a.Job.ID, b.Job.ID),
			cmp.Compare(a.Key.Index, b.Key.Index),
			cmp.Compare(a.Key.Number, b.Key.Number))
	})
	return list
}

// addUsage accounts for a job's tasks on the machine; a negative count gives back.
func (m *Machine) addUsage(spec *protocol.Job, tasks int) {
	m.Used.AddTasks(spec, tasks)
	if len(m.Attempts) == 0 {
		m.Used = Resources{} // no rounding is left behind
	}
}

// UseImage notes that the machine has an image, and forgets the least recently used ones
// that the cache cannot have beside it.
func (m *Machine) UseImage(spec *protocol.Job, machineType *protocol.MachineType) {
	m.Images = slices.DeleteFunc(m.Images, func(i CachedImage) bool { return i.Name == spec.Image })
	m.Images = append(m.Images, CachedImage{Name: spec.Image, SizeGB: spec.ImageGB})
	if machineType == nil {
		return
	}
	total := 0.0
	for i := len(m.Images) - 1; i >= 0; i-- {
		total += m.Images[i].SizeGB
		if total > machineType.CacheGB && i < len(m.Images)-1 {
			m.Images = slices.Delete(m.Images, 0, i+1)
			return
		}
	}
}

// HasImage says whether the machine is known to have an image.
func (m *Machine) HasImage(name string) bool {
	return slices.ContainsFunc(m.Images, func(i CachedImage) bool { return i.Name == name })
}

// HasFree says whether the machine, of the given type, has free capacity of every kind.
func (m *Machine) HasFree(machineType *protocol.MachineType) bool {
	return m.Used.CPUs < machineType.CPUs && m.Used.MemoryGB < machineType.MemoryGB && (machineType.GPUs == 0 || m.Used.GPUs < machineType.GPUs)
}
