package reconcile

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/protocol"
)

// Job is what the records say of a job.
type Job struct {
	Tasks         int
	Gang, Service bool
	Epoch         protocol.AttemptNumber // of a gang: its latest attempt
	Unreadable    bool                   // a record of it cannot be read
}

// Task is what the records say of a task.
type Task struct {
	LastAttempt protocol.AttemptNumber
	Done        bool
	Machine     protocol.MachineID // where the latest attempt is placed, "" if nowhere
}

// Attempt is an attempt that the records, or a leader's cluster model, have on a machine.
type Attempt struct {
	ID          AttemptID
	Incarnation protocol.Incarnation // of the agent when it was placed
	// Undelivered: its start may be on its way, or is yet to be sent. A heartbeat
	// without it proves nothing.
	Undelivered bool
	// Fenced: no record asks for it; a leader keeps it in the cluster model until it is gone.
	Orphaned bool
}

// Records answers what is stored.
type Records interface {
	// Job is a job that is not over; false if there is none of that name.
	Job(id protocol.JobID) (Job, bool)
	// Task is a task of such a job.
	Task(id TaskID) Task
	// Attempts appends the attempts on a machine, in a fixed order.
	Attempts(machine protocol.MachineID, list []Attempt) []Attempt
}

// Reconciler compares heartbeats with records. It keeps buffers between calls, and no state.
type Reconciler struct {
	stored      []Attempt
	storedIndex map[AttemptID]int // in stored
	entryIndex  map[AttemptID]int // in the heartbeat; contradicted if there are several that differ
	differences []Difference
}

// contradicted marks an attempt that a heartbeat shows in two different ways.
const contradicted = -2

// Compare compares one agent's heartbeat with the records. The heartbeat must be newer than
// what was known of its agent. token is the present leader's. The result is valid
// until the next call.
func (rc *Reconciler) Compare(records Records, token protocol.Term, r *protocol.Heartbeat) []Difference {
	rc.differences = rc.differences[:0]
	rc.stored = records.Attempts(r.Machine, rc.stored[:0])
	current := r.FencingToken == token
	readable := rc.index(r)
	rc.addOlderIncarnations(r, current)
	for i := range r.Tasks {
		rc.addEntry(records, r, i, current)
	}
	for i := range rc.stored {
		a := &rc.stored[i]
		if _, shown := rc.entryIndex[a.ID]; shown || a.Incarnation < r.Incarnation {
			continue
		}
		class := NotYetReported
		if current && readable && !a.Undelivered {
			class = ReportedAbsent
		}
		rc.add(Difference{Class: class, ID: a.ID, Machine: r.Machine, EntryIndex: -1, TokenCurrent: current})
	}
	return rc.differences
}

func (rc *Reconciler) add(d Difference) { rc.differences = append(rc.differences, d) }

// index finds what is stored and the entries by attempt; false if some entry's name
// cannot be read, so that the heartbeat does not prove any attempt absent.
func (rc *Reconciler) index(r *protocol.Heartbeat) (readable bool) {
	if rc.entryIndex == nil {
		rc.storedIndex, rc.entryIndex = map[AttemptID]int{}, map[AttemptID]int{}
	}
	clear(rc.storedIndex)
	clear(rc.entryIndex)
	for i := range rc.stored {
		if rc.stored[i].Incarnation >= r.Incarnation {
			rc.storedIndex[rc.stored[i].ID] = i
		}
	}
	readable = true
	for i := range r.Tasks {
		id, valid := entryID(&r.Tasks[i])
		if !valid {
			readable = false
			continue
		}
		if first, twice := rc.entryIndex[id]; twice {
			if first == contradicted || r.Tasks[first] != r.Tasks[i] {
				rc.entryIndex[id] = contradicted
			}
			continue
		}
		rc.entryIndex[id] = i
	}
	return readable
}

func entryID(t *protocol.TaskStatus) (AttemptID, bool) {
	jobID, index, valid := protocol.SplitTask(t.Task)
	return AttemptID{TaskID{jobID, index}, t.Attempt}, valid
}

// addOlderIncarnations adds the attempts of earlier incarnations, all of which a newer one
// proves gone whatever else the heartbeat says.
func (rc *Reconciler) addOlderIncarnations(r *protocol.Heartbeat, current bool) {
	for i := range rc.stored {
		if a := &rc.stored[i]; a.Incarnation < r.Incarnation {
			rc.add(Difference{Class: ReportedAbsent, ID: a.ID, Machine: r.Machine, EntryIndex: -1, TokenCurrent: current})
		}
	}
}

// addEntry classifies one entry of a heartbeat.
func (rc *Reconciler) addEntry(records Records, r *protocol.Heartbeat, i int, current bool) {
	t := &r.Tasks[i]
	id, valid := entryID(t)
	d := Difference{Class: Unreadable, ID: id, Machine: r.Machine, EntryIndex: i, TokenCurrent: current}
	at := rc.entryIndex[id]
	switch {
	case !valid, at == contradicted:
		rc.add(d)
		return
	case at != i:
		return // the same entry once more
	case !knownState(t.State):
		rc.add(d) // and it counts as there, in whatever state
	}
	d.Class = rc.classify(records, r.Machine, id, t, current)
	d.Done = t.State == protocol.TaskExited && t.Cause == protocol.CauseDone
	rc.add(d)
}

func knownState(s protocol.TaskState) bool {
	switch s {
	case protocol.TaskFetching, protocol.TaskWaiting, protocol.TaskRunning, protocol.TaskSaving, protocol.TaskExited:
		return true
	}
	return false
}

// classify tells the class of a reported attempt.
func (rc *Reconciler) classify(records Records, machineID protocol.MachineID, id AttemptID, t *protocol.TaskStatus, current bool) Class {
	var stored *Attempt
	if i, ok := rc.storedIndex[id]; ok {
		stored = &rc.stored[i]
	}
	job, known := records.Job(id.Job)
	known = known && id.Index < job.Tasks
	if t.State == protocol.TaskExited {
		return classifyExited(records, id, t, stored, job, known, current)
	}
	switch {
	case stored != nil && !stored.Orphaned:
		return Matching
	case job.Unreadable:
		return Unreadable
	case !known:
		return NeverStored
	}
	task := records.Task(id.TaskID)
	last := task.LastAttempt
	if job.Gang {
		last = max(last, job.Epoch)
	}
	switch {
	case task.Done:
		return StoredEnded
	case id.Attempt > last:
		return NeverStored
	case id.Attempt == task.LastAttempt && task.Machine != "" && task.Machine != machineID:
		return OnTwoMachines
	}
	return OlderEpoch
}

// classifyExited tells the class of an attempt that is reported as ended. That a task is
// done holds whoever says it; any other end is believed only of a current heartbeat.
func classifyExited(records Records, id AttemptID, t *protocol.TaskStatus, stored *Attempt, job Job, known, current bool) Class {
	done := t.Cause == protocol.CauseDone
	switch {
	case done && known && !job.Service && !records.Task(id.TaskID).Done:
		return ReportedEnded
	case stored == nil:
		return Matching
	case current || done:
		return ReportedEnded
	}
	return NotYetReported
}

// GangAttempt counts what is left of a gang's attempt.
type GangAttempt struct {
	Tasks   int // of the job
	Present int // of the latest attempt, placed and not proven gone
	Older   int // of earlier attempts that no one has fenced
}

// Incomplete says whether the attempt can no longer become whole: its class is then
// GangIncomplete.
func (g GangAttempt) Incomplete() bool {
	return g.Older > 0 || g.Present > 0 && g.Present != g.Tasks
}

// Snapshot is all that is stored: records that can list their machines and gangs.
type Snapshot interface {
	Records
	// Machines lists the machines that the records name, and the incarnation and sequence
	// number that are known of each agent.
	Machines() []Agent
	// Gangs lists the gangs that are not over.
	Gangs() []protocol.JobID
	// GangPlacements lists where the latest attempt of a gang is placed.
	GangPlacements(gang protocol.JobID) []Placement
}

// Placement is an attempt on a machine.
type Placement struct {
	ID      AttemptID
	Machine protocol.MachineID
}

// Agent is what is known of a machine's agent.
type Agent struct {
	Machine     protocol.MachineID
	Incarnation protocol.Incarnation
	Sequence    protocol.Sequence
}

// Reconcile compares a snapshot with all heartbeats that came. Of each agent only the
// newest counts, so that their order does not matter.
func (rc *Reconciler) Reconcile(s Snapshot, token protocol.Term, heartbeats []*protocol.Heartbeat) []Difference {
	newest := map[protocol.MachineID]*protocol.Heartbeat{}
	agents := s.Machines()
	for _, r := range heartbeats {
		at := slices.IndexFunc(agents, func(w Agent) bool { return w.Machine == r.Machine })
		if at >= 0 && !r.Newer(agents[at].Incarnation, agents[at].Sequence) {
			continue
		}
		if n := newest[r.Machine]; n == nil || r.Newer(n.Incarnation, n.Sequence) {
			newest[r.Machine] = r
		}
	}
	var all []Difference
	for _, w := range agents {
		if newest[w.Machine] == nil {
			for _, a := range s.Attempts(w.Machine, nil) {
				all = append(all, Difference{Class: NotYetReported, ID: a.ID, Machine: w.Machine, EntryIndex: -1})
			}
		}
	}
	for _, r := range newest {
		all = append(all, rc.Compare(s, token, r)...)
	}
	all = append(all, incompleteGangs(s, all)...)
	slices.SortFunc(all, byAttempt)
	return all
}

// incompleteGangs lists the gangs that what was found leaves incomplete.
func incompleteGangs(s Snapshot, found []Difference) (list []Difference) {
	gone := map[Placement]bool{}
	done := map[protocol.JobID]bool{}
	for _, d := range found {
		switch d.Class.Resolution() {
		case Release, RecordEnd:
			gone[Placement{d.ID, d.Machine}] = true
			done[d.ID.Job] = done[d.ID.Job] || d.Done
		}
	}
	for _, id := range s.Gangs() {
		job, _ := s.Job(id)
		if s.Task(TaskID{Job: id}).Done {
			continue // the tasks of a gang complete together
		}
		g := GangAttempt{Tasks: job.Tasks}
		for _, p := range s.GangPlacements(id) {
			if !gone[p] {
				g.Present++
			}
		}
		if !done[id] && g.Incomplete() {
			list = append(list, Difference{Class: GangIncomplete, ID: AttemptID{TaskID: TaskID{Job: id}}, EntryIndex: -1})
		}
	}
	return list
}

func byAttempt(a, b Difference) int {
	return cmp.Or(cmp.Compare(a.ID.Job, b.ID.Job), cmp.Compare(a.ID.Index, b.ID.Index), cmp.Compare(a.ID.Attempt, b.ID.Attempt),
		cmp.Compare(a.Machine, b.Machine), cmp.Compare(a.Class, b.Class), cmp.Compare(a.EntryIndex, b.EntryIndex))
}
