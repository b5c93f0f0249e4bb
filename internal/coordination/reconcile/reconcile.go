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

// Attempt is an attempt that the records, or a leader's accounts, have on a machine.
type Attempt struct {
	ID          AttemptID
	Incarnation protocol.Incarnation // of the worker when it was placed
	// Undelivered: its start may be on its way, or is yet to be ordered. A report
	// without it proves nothing.
	Undelivered bool
	// Fenced: no record asks for it; a leader keeps it in its accounts until it is gone.
	Fenced bool
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

// Reconciler compares reports with records. It keeps buffers between calls, and no state.
type Reconciler struct {
	stored  []Attempt
	places  map[AttemptID]int // in stored
	entries map[AttemptID]int // in the report; contradicted if there are several that differ
	found   []Difference
}

// contradicted marks an attempt that a report shows in two different ways.
const contradicted = -2

// Compare compares one worker's report with the records. The report must be newer than
// what was known of its worker. token is the present leader's. The result is valid
// until the next call.
func (c *Reconciler) Compare(records Records, token protocol.Term, r *protocol.Heartbeat) []Difference {
	c.found = c.found[:0]
	c.stored = records.Attempts(r.Machine, c.stored[:0])
	current := r.FencingToken == token
	readable := c.index(r)
	c.releaseOlderIncarnations(r, current)
	for i := range r.Tasks {
		c.addEntry(records, r, i, current)
	}
	for i := range c.stored {
		a := &c.stored[i]
		if _, shown := c.entries[a.ID]; shown || a.Incarnation < r.Incarnation {
			continue
		}
		class := NotYetReported
		if current && readable && !a.Undelivered {
			class = ReportedAbsent
		}
		c.add(Difference{Class: class, ID: a.ID, Machine: r.Machine, Entry: -1, Current: current})
	}
	return c.found
}

func (c *Reconciler) add(d Difference) { c.found = append(c.found, d) }

// index finds what is stored and the entries by attempt; false if some entry's name
// cannot be read, so that the report does not prove any attempt absent.
func (c *Reconciler) index(r *protocol.Heartbeat) (readable bool) {
	if c.entries == nil {
		c.places, c.entries = map[AttemptID]int{}, map[AttemptID]int{}
	}
	clear(c.places)
	clear(c.entries)
	for i := range c.stored {
		if c.stored[i].Incarnation >= r.Incarnation {
			c.places[c.stored[i].ID] = i
		}
	}
	readable = true
	for i := range r.Tasks {
		id, valid := entryID(&r.Tasks[i])
		if !valid {
			readable = false
			continue
		}
		if first, twice := c.entries[id]; twice {
			if first == contradicted || r.Tasks[first] != r.Tasks[i] {
				c.entries[id] = contradicted
			}
			continue
		}
		c.entries[id] = i
	}
	return readable
}

func entryID(t *protocol.TaskStatus) (AttemptID, bool) {
	jobID, index, valid := protocol.SplitTask(t.Task)
	return AttemptID{TaskID{jobID, index}, t.Attempt}, valid
}

// releaseOlderIncarnations adds the attempts of earlier incarnations, all of which a newer one
// proves gone whatever else the report says.
func (c *Reconciler) releaseOlderIncarnations(r *protocol.Heartbeat, current bool) {
	for i := range c.stored {
		if a := &c.stored[i]; a.Incarnation < r.Incarnation {
			c.add(Difference{Class: ReportedAbsent, ID: a.ID, Machine: r.Machine, Entry: -1, Current: current})
		}
	}
}

// addEntry classifies one entry of a report.
func (c *Reconciler) addEntry(records Records, r *protocol.Heartbeat, i int, current bool) {
	t := &r.Tasks[i]
	id, valid := entryID(t)
	d := Difference{Class: Unreadable, ID: id, Machine: r.Machine, Entry: i, Current: current}
	at := c.entries[id]
	switch {
	case !valid, at == contradicted:
		c.add(d)
		return
	case at != i:
		return // the same entry once more
	case !knownState(t.State):
		c.add(d) // and it counts as there, in whatever state
	}
	d.Class = c.classify(records, r.Machine, id, t, current)
	d.Done = t.State == protocol.TaskExited && t.Cause == protocol.CauseDone
	c.add(d)
}

func knownState(s protocol.TaskState) bool {
	switch s {
	case protocol.TaskFetching, protocol.TaskWaiting, protocol.TaskRunning, protocol.TaskSaving, protocol.TaskExited:
		return true
	}
	return false
}

// classify tells the class of a reported attempt.
func (c *Reconciler) classify(records Records, machineID protocol.MachineID, id AttemptID, t *protocol.TaskStatus, current bool) Class {
	var stored *Attempt
	if i, ok := c.places[id]; ok {
		stored = &c.stored[i]
	}
	job, known := records.Job(id.Job)
	known = known && id.Index < job.Tasks
	if t.State == protocol.TaskExited {
		return classifyEnded(records, id, t, stored, job, known, current)
	}
	switch {
	case stored != nil && !stored.Fenced:
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

// classifyEnded tells the class of an attempt that is reported as ended. That a task is
// done holds whoever says it; any other end is believed only of a current report.
func classifyEnded(records Records, id AttemptID, t *protocol.TaskStatus, stored *Attempt, job Job, known, current bool) Class {
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
	// number that are known of each worker.
	Machines() []Worker
	// Gangs lists the gangs that are not over.
	Gangs() []protocol.JobID
	// Placed lists where the latest attempt of a gang is placed.
	Placed(gang protocol.JobID) []Placement
}

// Placement is an attempt on a machine.
type Placement struct {
	ID      AttemptID
	Machine protocol.MachineID
}

// Worker is what is known of a machine's worker.
type Worker struct {
	Machine     protocol.MachineID
	Incarnation protocol.Incarnation
	Sequence    protocol.Sequence
}

// Reconcile compares a snapshot with all reports that came. Of each worker only the newest
// report counts, so that their order does not matter.
func (c *Reconciler) Reconcile(s Snapshot, token protocol.Term, reports []*protocol.Heartbeat) []Difference {
	newest := map[protocol.MachineID]*protocol.Heartbeat{}
	workers := s.Machines()
	for _, r := range reports {
		at := slices.IndexFunc(workers, func(w Worker) bool { return w.Machine == r.Machine })
		if at >= 0 && !r.Newer(workers[at].Incarnation, workers[at].Sequence) {
			continue
		}
		if n := newest[r.Machine]; n == nil || r.Newer(n.Incarnation, n.Sequence) {
			newest[r.Machine] = r
		}
	}
	var all []Difference
	for _, w := range workers {
		if newest[w.Machine] == nil {
			for _, a := range s.Attempts(w.Machine, nil) {
				all = append(all, Difference{Class: NotYetReported, ID: a.ID, Machine: w.Machine, Entry: -1})
			}
		}
	}
	for _, r := range newest {
		all = append(all, c.Compare(s, token, r)...)
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
		for _, p := range s.Placed(id) {
			if !gone[p] {
				g.Present++
			}
		}
		if !done[id] && g.Incomplete() {
			list = append(list, Difference{Class: GangIncomplete, ID: AttemptID{TaskID: TaskID{Job: id}}, Entry: -1})
		}
	}
	return list
}

func byAttempt(a, b Difference) int {
	return cmp.Or(cmp.Compare(a.ID.Job, b.ID.Job), cmp.Compare(a.ID.Index, b.ID.Index), cmp.Compare(a.ID.Attempt, b.ID.Attempt),
		cmp.Compare(a.Machine, b.Machine), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Entry, b.Entry))
}
