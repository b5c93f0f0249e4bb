package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/buddy"
	"github.com/gappond/gappond/internal/protocol"
)

// Machine is a machine that the cloud has created, with its agent.
type Machine struct {
	ID        protocol.MachineID
	Address   string
	TypeName  protocol.MachineTypeName
	Zone      protocol.ZoneName
	Spot      bool
	Phase     protocol.MachinePhase // as in the cloud's machine list
	CreatedAt time.Time

	Type  *protocol.MachineType // nil until known; Slots is empty until then
	Slots buddy.Map
	Used  Resources

	Attempts  map[AttemptID]*Attempt
	IdleSince time.Time
	Images    []CachedImage // the least recently used first

	Recovered  bool // loaded from a record of a previous leader
	Deleting   bool
	SpotNotice bool // the cloud is about to preempt this spot machine
	CordonState
	Suspicion

	// ReservedFor is the job for which the free capacity is reserved, nil if there is none.
	ReservedFor   *Job
	ReservedUntil time.Time
	// KeepUntil is the time until which the machine is not deleted for being idle, because a gang
	// that waits for more capacity would use it.
	KeepUntil time.Time
	// Hold limits how long the free capacity is reserved for gangs that wait.
	Hold Hold

	Record           *MachineRecord // shared with other machines of the zone; nil if none
	RecordEntryBytes int            // upper bound of the size of its entry in Record
	Recorded         bool           // the stored record contains this machine

	Agent    AgentState
	Delivery CommandDelivery
}

// CachedImage is an image in a machine's cache.
type CachedImage struct {
	Name   string
	SizeGB float64
}

// Hold is the time for which a machine's free capacity has been reserved, without a break, for gangs
// that wait for more capacity. Other reservations do not count.
type Hold struct {
	Since, Until time.Time
	NotBefore    time.Time // earliest time of the next reservation after a long one
}

// Extend reserves the capacity for the given time. It returns false and begins a pause if that would
// exceed the limit, and returns false during the pause.
func (h *Hold) Extend(now time.Time, by, limit, pause time.Duration) bool {
	if now.Before(h.NotBefore) {
		return false
	}
	if now.Sub(h.Until) > by {
		h.Since = now
	}
	if now.Add(by).Sub(h.Since) > limit {
		h.NotBefore = now.Add(pause)
		return false
	}
	h.Until = now.Add(by)
	return true
}

// ReserveFor reserves the free capacity for a job. It replaces a reservation for another job.
func (m *Machine) ReserveFor(job *Job, until time.Time) {
	if m.ReservedFor != job {
		m.ReleaseReservation()
		m.ReservedFor = job
		job.Reserved = append(job.Reserved, m)
	}
	m.ReservedUntil = until
}

// ReleaseReservation ends the current reservation, if any.
func (m *Machine) ReleaseReservation() {
	if job := m.ReservedFor; job != nil {
		m.ReservedFor = nil
		job.Reserved = slices.DeleteFunc(job.Reserved, func(other *Machine) bool { return other == m })
	}
}

// OnlyLowestPriority reports whether all attempts on the machine have the lowest priority.
func (m *Machine) OnlyLowestPriority() bool {
	for _, attempt := range m.Attempts {
		if attempt.Job.Priority > protocol.PriorityIdle {
			return false
		}
	}
	return true
}

// MarkDeleting records that the machine is to be deleted. It returns false if that was
// recorded before.
func (m *Machine) MarkDeleting() bool {
	if m.Deleting {
		return false
	}
	m.Deleting = true
	return true
}

// SortedAttemptsOn returns the attempts on a machine by the arrival of their jobs, task index
// and attempt number.
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

// addUsage adds the resources of a job's tasks to those in use. A negative count subtracts
// them.
func (m *Machine) addUsage(spec *protocol.Job, tasks int) {
	m.Used.AddTasks(spec, tasks)
	if len(m.Attempts) == 0 {
		m.Used = Resources{} // removes accumulated rounding errors
	}
}

// UseImage records that the machine has a job's image and drops the least recently used
// images that do not fit into the cache in addition to it.
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

// HasImage reports whether the machine is known to have an image.
func (m *Machine) HasImage(name string) bool {
	return slices.ContainsFunc(m.Images, func(i CachedImage) bool { return i.Name == name })
}

// HasFree reports whether the machine, which has the given type, has free capacity of every
// resource that the type has.
func (m *Machine) HasFree(machineType *protocol.MachineType) bool {
	return m.Used.CPUs < machineType.CPUs && m.Used.MemoryGB < machineType.MemoryGB && (machineType.GPUs == 0 || m.Used.GPUs < machineType.GPUs)
}
