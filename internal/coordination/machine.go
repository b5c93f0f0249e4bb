package coordination

import (
	"cmp"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/buddy"
	"github.com/gappond/gappond/internal/protocol"
)

type taskKey struct {
	job     protocol.JobID
	index   int
	attempt protocol.AttemptNumber
}

// machine is a rented machine and its worker.
type machine struct {
	id                 protocol.MachineID
	address            string
	typeName           protocol.MachineTypeName
	zone               protocol.ZoneName
	spot               bool
	slots              buddy.Map
	kind               *protocol.MachineType // nil until it is known, and the slots with it
	cpus, gpus, memory float64               // in use

	record    *machineRecord // its machine record, shared with others
	entrySize int            // of its entry there, at most
	recorded  bool           // the record has it
	cordoned  bool           // takes no further tasks, says the machine record

	loaded         bool                 // known from a predecessor's record
	reported       bool                 // to this leader
	tokenConfirmed bool                 // the worker has shown this leader's token
	incarnation    protocol.Incarnation // newest known
	sequence       protocol.Sequence    // newest known within the incarnation
	lastReport     time.Time            // newest message of any kind
	answered       time.Time            // the last answered report: the lease counts from here at most
	lapsed         bool                 // the lease has surely run out since
	lapsedAt       time.Time            // when that was found

	attempts map[taskKey]*taskAttempt
	exited   []protocol.TaskReport // as last reported
	pins     map[taskKey]bool      // attempts that must not be reaped
	// when the worker was last told to forget those that it goes on reporting
	forgetSent map[taskKey]time.Time
	strays     []taskKey // tasks of jobs that nobody knows
	idleSince  time.Time

	spotNotice bool          // the cloud takes the machine away soon
	heldToken  protocol.Term // a token above this leader's term that the worker has shown
	// since when every report has had entries that name no task
	unreadableSince time.Time

	queuedDirect  bool // in the leader's list of machines with orders to send
	orderInFlight bool // a direct order is under way
	directAt      time.Time
	lastAnswered  bool // its last report was answered
	unseenAnswers int  // answers and orders in a row that seem not to have reached it
	probing       bool
	probes        int
	probeAt       time.Time

	deleting bool

	born     time.Time
	phase    protocol.MachinePhase
	failed   map[protocol.JobID]bool // jobs that failed here, none succeeding between
	distrust bool
	images   []image
	hold     *job // room freed by preemption is kept for it
	holdTill time.Time
}

type image struct {
	name string
	gb   float64
}

// machine finds a machine or enters a new one.
func (l *leader) machine(id protocol.MachineID, address string, typeName protocol.MachineTypeName, zone protocol.ZoneName, spot bool) *machine {
	m := l.machines[id]
	if m == nil {
		m = &machine{id: id, attempts: map[taskKey]*taskAttempt{}, pins: map[taskKey]bool{}, forgetSent: map[taskKey]time.Time{}, failed: map[protocol.JobID]bool{},
			idleSince: l.n.now, born: l.n.now, slots: buddy.New(0)}
		l.machines[id] = m
		l.enroll(m)
	}
	if typeName != "" {
		m.address, m.typeName, m.zone, m.spot = cmp.Or(address, m.address), typeName, zone, spot
	}
	return m
}

// enroll adds a machine to the roster, which is never changed in place. Machines are
// named in the order of their creation, so that most come last.
func (l *leader) enroll(m *machine) {
	at, _ := slices.BinarySearchFunc(l.roster, m, byName)
	if at == len(l.roster) {
		l.roster = append(l.roster, m)
		return
	}
	l.roster = slices.Insert(slices.Clone(l.roster), at, m)
}

func byName(a, b *machine) int { return cmp.Compare(a.id, b.id) }

// keep holds a machine's room for a job.
func (m *machine) keep(j *job, till time.Time) {
	if m.hold != j {
		m.release()
		m.hold = j
		j.held = append(j.held, m)
	}
	m.holdTill = till
}

// release ends the hold.
func (m *machine) release() {
	if j := m.hold; j != nil {
		m.hold = nil
		j.held = slices.DeleteFunc(j.held, func(o *machine) bool { return o == m })
	}
}

// kind is the machine's type, nil while it is unknown.
func (l *leader) kind(m *machine) *protocol.MachineType {
	if m.kind == nil || m.kind.Name != m.typeName {
		if m.kind = l.n.types[m.typeName]; m.kind == nil {
			return nil
		}
		m.slots = buddy.New(machineSlots(m.kind))
		for _, c := range sortedAttempts(m) {
			c.slots = m.slots.Carve(taskSlots(c.j.spec))
		}
	}
	return m.kind
}

func sortedAttempts(m *machine) []*taskAttempt {
	list := make([]*taskAttempt, 0, len(m.attempts))
	for _, c := range m.attempts {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *taskAttempt) int {
		return cmp.Or(cmp.Compare(a.j.seq, b.j.seq), cmp.Compare(a.j.id, b.j.id), cmp.Compare(a.key.index, b.key.index), cmp.Compare(a.key.attempt, b.key.attempt))
	})
	return list
}

// take accounts for a job's tasks on the machine; n is negative to give back.
func (m *machine) take(s *protocol.Job, n int) {
	m.cpus += s.CPUs * float64(n)
	m.gpus += s.GPUs * float64(n)
	m.memory += s.MemoryGB * float64(n)
	if len(m.attempts) == 0 {
		m.cpus, m.gpus, m.memory = 0, 0, 0 // no rounding is left behind
	}
}

// useImage notes that the machine has an image; it keeps those last used.
func (m *machine) useImage(s *protocol.Job, t *protocol.MachineType) {
	m.images = slices.DeleteFunc(m.images, func(i image) bool { return i.name == s.Image })
	m.images = append(m.images, image{s.Image, s.ImageGB})
	if t == nil {
		return
	}
	total := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		total += m.images[i].gb
		if total > t.CacheGB && i < len(m.images)-1 {
			m.images = slices.Delete(m.images, 0, i+1)
			return
		}
	}
}

func (m *machine) hasImage(name string) bool {
	return slices.ContainsFunc(m.images, func(i image) bool { return i.name == name })
}
