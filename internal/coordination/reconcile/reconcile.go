package reconcile

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/protocol"
)

// Job is the recorded state of a job.
type Job struct {
	Tasks         int
	Gang, Service bool
	Epoch         protocol.AttemptNumber // number of the latest attempt, for gangs
	Unreadable    bool                   // one of its records cannot be read
}

// Task is the recorded state of a task.
type Task struct {
	LastAttempt protocol.AttemptNumber
	Done        bool
	Machine     protocol.MachineID // where the latest attempt is placed; "" if it is not placed
}

// Attempt is an attempt that the records, or the leader's cluster model, place on a machine.
type Attempt struct {
	ID          AttemptID
	Incarnation protocol.Incarnation // of the agent when the attempt was placed
	// Undelivered: the start command may be in transit, or has yet to be sent. A heartbeat
	// without the attempt then does not prove it absent.
	Undelivered bool
	// Orphaned: no record asks for the attempt. The leader keeps it in the cluster model until
	// it is gone.
	Orphaned bool
}

// Records gives access to the stored state.
type Records interface {
	// Job returns an unfinished job, and false if there is none with this ID. Unreadable is
	// set in either case if a record of the job cannot be read.
	Job(id protocol.JobID) (Job, bool)
	// Task returns a task of an unfinished job.
	Task(id TaskID) Task
	// Attempts appends the attempts on a machine to the list, in a fixed order.
	Attempts(machine protocol.MachineID, list []Attempt) []Attempt
}

// Reconciler compares heartbeats with records. Between calls it keeps only buffers for reuse.
type Reconciler struct {
	stored      []Attempt
	storedIndex map[AttemptID]int // index into stored
	entryIndex  map[AttemptID]int // index of the first entry in Heartbeat.Tasks, or contradicted
	differences []Difference
}

// contradicted marks an attempt that has several entries in a heartbeat which differ.
const contradicted = -2

// Compare compares one agent's heartbeat with the records. The heartbeat must be newer than
// the last one accepted from this agent. token is the current leader's term; its later fencing
// tokens are above it.
// The result is valid until the next call.
func (rc *Reconciler) Compare(records Records, token protocol.Term, heartbeat *protocol.Heartbeat) []Difference {
	rc.differences = rc.differences[:0]
	rc.stored = records.Attempts(heartbeat.Machine, rc.stored[:0])
	tokenCurrent := heartbeat.FencingToken >= token
	namesReadable := rc.index(heartbeat)
	rc.addOlderIncarnations(heartbeat, tokenCurrent)
	for i := range heartbeat.Tasks {
		rc.addEntry(records, heartbeat, i, tokenCurrent)
	}
	for i := range rc.stored {
		attempt := &rc.stored[i]
		if _, shown := rc.entryIndex[attempt.ID]; shown || attempt.Incarnation < heartbeat.Incarnation {
			continue
		}
		class := NotYetReported
		if tokenCurrent && namesReadable && !attempt.Undelivered {
			class = ReportedAbsent
		}
		rc.add(Difference{Class: class, ID: attempt.ID, Machine: heartbeat.Machine, EntryIndex: -1, TokenCurrent: tokenCurrent})
	}
	return rc.differences
}

func (rc *Reconciler) add(d Difference) { rc.differences = append(rc.differences, d) }

// index indexes the stored attempts and the heartbeat's entries by attempt. It reports whether
// all entries name a valid task: if one does not, the heartbeat proves no attempt absent.
func (rc *Reconciler) index(heartbeat *protocol.Heartbeat) (namesReadable bool) {
	if rc.entryIndex == nil {
		rc.storedIndex, rc.entryIndex = map[AttemptID]int{}, map[AttemptID]int{}
	}
	clear(rc.storedIndex)
	clear(rc.entryIndex)
	for i := range rc.stored {
		if rc.stored[i].Incarnation >= heartbeat.Incarnation {
			rc.storedIndex[rc.stored[i].ID] = i
		}
	}
	namesReadable = true
	for i := range heartbeat.Tasks {
		id, valid := entryID(&heartbeat.Tasks[i])
		if !valid {
			namesReadable = false
			continue
		}
		if first, twice := rc.entryIndex[id]; twice {
			if first == contradicted || heartbeat.Tasks[first] != heartbeat.Tasks[i] {
				rc.entryIndex[id] = contradicted
			}
			continue
		}
		rc.entryIndex[id] = i
	}
	return namesReadable
}

// entryID returns the attempt that an entry names, and false if its task name is malformed.
func entryID(status *protocol.TaskStatus) (AttemptID, bool) {
	jobID, index, valid := protocol.SplitTask(status.Task)
	return AttemptID{TaskID{jobID, index}, status.Attempt}, valid
}

// addOlderIncarnations adds the attempts that were placed under earlier incarnations of the
// agent. A newer incarnation proves all of them gone, whatever else the heartbeat contains.
func (rc *Reconciler) addOlderIncarnations(heartbeat *protocol.Heartbeat, tokenCurrent bool) {
	for i := range rc.stored {
		if attempt := &rc.stored[i]; attempt.Incarnation < heartbeat.Incarnation {
			rc.add(Difference{Class: ReportedAbsent, ID: attempt.ID, Machine: heartbeat.Machine, EntryIndex: -1, TokenCurrent: tokenCurrent})
		}
	}
}

// addEntry classifies one entry of a heartbeat.
func (rc *Reconciler) addEntry(records Records, heartbeat *protocol.Heartbeat, i int, tokenCurrent bool) {
	status := &heartbeat.Tasks[i]
	id, valid := entryID(status)
	d := Difference{Class: Unreadable, ID: id, Machine: heartbeat.Machine, EntryIndex: i, TokenCurrent: tokenCurrent}
	first := rc.entryIndex[id]
	switch {
	case !valid, first == contradicted:
		rc.add(d)
		return
	case first != i:
		return // an exact duplicate of an earlier entry
	case !knownState(status.State):
		rc.add(d) // and is classified below as well, as an attempt that has not exited
	}
	d.Class = rc.classify(records, heartbeat.Machine, id, status, tokenCurrent)
	d.Done = status.State == protocol.TaskExited && status.Cause == protocol.CauseDone
	rc.add(d)
}

func knownState(state protocol.TaskState) bool {
	switch state {
	case protocol.TaskFetching, protocol.TaskWaiting, protocol.TaskRunning, protocol.TaskSaving, protocol.TaskExited:
		return true
	}
	return false
}

// classify returns the class of a reported attempt.
func (rc *Reconciler) classify(records Records, machineID protocol.MachineID, id AttemptID, status *protocol.TaskStatus, tokenCurrent bool) Class {
	var stored *Attempt
	if i, ok := rc.storedIndex[id]; ok {
		stored = &rc.stored[i]
	}
	job, known := records.Job(id.Job)
	known = known && id.Index < job.Tasks
	if status.State == protocol.TaskExited {
		return classifyExited(records, id, status, stored, job, known, tokenCurrent)
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

// classifyExited returns the class of an attempt that is reported as exited. A report that a
// task is done is accepted from any heartbeat; any other exit of a stored attempt only from a
// heartbeat with the current token.
func classifyExited(records Records, id AttemptID, status *protocol.TaskStatus, stored *Attempt, job Job, known, tokenCurrent bool) Class {
	done := status.Cause == protocol.CauseDone
	switch {
	case done && known && !job.Service && !records.Task(id.TaskID).Done:
		return ReportedEnded
	case stored == nil:
		return Matching
	case tokenCurrent || done:
		return ReportedEnded
	}
	return NotYetReported
}

// GangAttempt counts the tasks of a gang's attempt that may still run.
type GangAttempt struct {
	Tasks   int // tasks of the job
	Present int // tasks of the latest attempt that are placed and not proven gone
	Older   int // tasks of earlier attempts that are not marked as orphaned
}

// Incomplete reports whether the attempt can no longer run as a whole. Its class is then
// GangIncomplete.
func (g GangAttempt) Incomplete() bool {
	return g.Older > 0 || g.Present > 0 && g.Present != g.Tasks
}

// Snapshot is the complete stored state: records that can also list their machines and gangs.
type Snapshot interface {
	Records
	// Machines lists the agents of all machines that the records name.
	Machines() []Agent
	// Gangs lists the unfinished gangs.
	Gangs() []protocol.JobID
	// GangPlacements lists the placements of a gang's latest attempt.
	GangPlacements(gang protocol.JobID) []Placement
}

// Placement is an attempt on a machine.
type Placement struct {
	ID      AttemptID
	Machine protocol.MachineID
}

// Agent is a machine's agent with the newest incarnation and sequence number known of it.
type Agent struct {
	Machine     protocol.MachineID
	Incarnation protocol.Incarnation
	Sequence    protocol.Sequence
}

// Reconcile compares a snapshot with all heartbeats received. Only the newest heartbeat of each
// agent counts, so their order does not matter.
func (rc *Reconciler) Reconcile(snapshot Snapshot, token protocol.Term, heartbeats []*protocol.Heartbeat) []Difference {
	newest := map[protocol.MachineID]*protocol.Heartbeat{}
	agents := snapshot.Machines()
	for _, heartbeat := range heartbeats {
		i := slices.IndexFunc(agents, func(agent Agent) bool { return agent.Machine == heartbeat.Machine })
		if i >= 0 && !heartbeat.NewerThan(agents[i].Incarnation, agents[i].Sequence) {
			continue
		}
		if known := newest[heartbeat.Machine]; known == nil || heartbeat.NewerThan(known.Incarnation, known.Sequence) {
			newest[heartbeat.Machine] = heartbeat
		}
	}
	var all []Difference
	for _, agent := range agents {
		if newest[agent.Machine] == nil {
			for _, attempt := range snapshot.Attempts(agent.Machine, nil) {
				all = append(all, Difference{Class: NotYetReported, ID: attempt.ID, Machine: agent.Machine, EntryIndex: -1})
			}
		}
	}
	for _, heartbeat := range newest {
		all = append(all, rc.Compare(snapshot, token, heartbeat)...)
	}
	all = append(all, incompleteGangs(snapshot, all)...)
	slices.SortFunc(all, byAttempt)
	return all
}

// incompleteGangs lists the gangs that are incomplete once the differences are resolved.
func incompleteGangs(snapshot Snapshot, differences []Difference) (list []Difference) {
	gone := map[Placement]bool{}
	done := map[protocol.JobID]bool{}
	for _, d := range differences {
		switch d.Class.Resolution() {
		case Release, RecordEnd:
			gone[Placement{d.ID, d.Machine}] = true
			done[d.ID.Job] = done[d.ID.Job] || d.Done
		}
	}
	for _, id := range snapshot.Gangs() {
		job, _ := snapshot.Job(id)
		if snapshot.Task(TaskID{Job: id}).Done {
			continue // the tasks of a gang complete together, so the gang is done
		}
		gang := GangAttempt{Tasks: job.Tasks}
		for _, placement := range snapshot.GangPlacements(id) {
			if !gone[placement] {
				gang.Present++
			}
		}
		if !done[id] && gang.Incomplete() {
			list = append(list, Difference{Class: GangIncomplete, ID: AttemptID{TaskID: TaskID{Job: id}}, EntryIndex: -1})
		}
	}
	return list
}

func byAttempt(a, b Difference) int {
	return cmp.Or(cmp.Compare(a.ID.Job, b.ID.Job), cmp.Compare(a.ID.Index, b.ID.Index), cmp.Compare(a.ID.Attempt, b.ID.Attempt),
		cmp.Compare(a.Machine, b.Machine), cmp.Compare(a.Class, b.Class), cmp.Compare(a.EntryIndex, b.EntryIndex))
}
