package coordination

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/bookkeeping"
	"github.com/gappond/gappond/internal/coordination/autoscaler"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/protocol"
)

// takeOver begins to lead with what the records say.
func (n *Node) takeOver() {
	l := &leader{n: n, cluster: cluster.NewState(n.cfg, n.types, func() time.Time { return n.now }), unreadable: map[protocol.JobID]bool{}, logged: map[string]bool{}, recovery: noRecoveryPhase{}, plan: true,
		calls: n.workerCalls()}
	l.scheduler = scheduler.New(l.cluster, l, n.log)
	l.autoscaler = autoscaler.New(l.cluster, l.scheduler, cloudClient{l}, l, n.log)
	l.stored.l = l
	n.lead = l
	n.beatAt = n.now  // the peers learn how many workers it keeps
	n.typesAt = n.now // today's prices, and a record of the types if there is none
	allRead := l.loadMachineRecords()
	l.loadJobs()
	l.loadTaskRecords()
	l.splitMachineRecords()
	if allRead {
		l.forgetUnrecorded()
	}
	l.loadRestoredMarker()
	l.beginRecovery()
	// Jobs and machines come out of the mirror in no order; what follows must
	// not depend on that.
	for _, j := range l.scheduler.Queue() {
		l.checkEnded(j)
	}
	n.log.Info("leading", "term", n.lease.term, "jobs", len(l.cluster.Jobs), "machines", len(l.cluster.Machines))
}

// loadMachineRecords takes the machines; false if some record cannot be read.
func (l *leader) loadMachineRecords() bool {
	allRead := true
	type entry struct {
		protocol.Entry
		record bookkeeping.MachineRecord
	}
	var entries []entry
	var names []protocol.MachineID
	l.n.mirror.Each(bookkeeping.MachinePrefix, func(e protocol.Entry) {
		rec, ok := parse[bookkeeping.MachineRecord](e.Value)
		if !ok || len(rec.Machines) == 0 { // an empty one is deleted, so this is something else
			allRead = false
			l.n.log.Error("machine record does not parse", "key", e.Key)
			return
		}
		entries = append(entries, entry{e, rec})
		for _, m := range rec.Machines {
			names = append(names, m.ID)
		}
	})
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.Key, b.Key) })
	slices.Sort(names)
	for _, id := range names { // in the roster's order, which costs nothing but the machine
		l.cluster.EnsureMachine(id, "", "", "", false)
	}
	for _, e := range entries {
		l.loadMachineRecord(e.Key, e.Revision, &e.record)
	}
	return allRead
}

// loadJobs takes the jobs' own records.
func (l *leader) loadJobs() {
	l.n.mirror.Each(bookkeeping.JobPrefix, func(e protocol.Entry) {
		rec, err := bookkeeping.DecodeJob(e.Value)
		if err != nil {
			id, _ := bookkeeping.ParseJobKey(e.Key)
			l.leaveAlone(id, err)
			return
		}
		l.addJob(rec, e.Revision).Recovered = true
	})
}

// loadTaskRecords takes the further records of the jobs.
func (l *leader) loadTaskRecords() {
	l.n.mirror.Each(bookkeeping.TaskPrefix, func(e protocol.Entry) {
		id, num, ok := bookkeeping.ParseTaskRecordKey(e.Key)
		if ok && l.unreadable[id] {
			return
		}
		j := l.cluster.Jobs[id]
		if !ok || j == nil {
			l.cleanup = append(l.cleanup, e.Key) // left by a finished job
			return
		}
		if num >= len(j.Records.Revisions) {
			// Staged by a predecessor that did not complete the split. The key is
			// used by the next split, or deleted with the job: a deletion now might
			// be carried out late, after that split.
			j.Records.Abandoned[num] = e.Revision
			return
		}
		var rec bookkeeping.TaskRecord
		if err := json.Unmarshal(e.Value, &rec); err != nil {
			l.leaveAlone(id, err)
			return
		}
		j.Records.Revisions[num] = e.Revision
		l.addTasks(j, num, rec.Tasks)
	})
	slices.Sort(l.cleanup)
}

// forgetUnrecorded forgets the machines that only jobs' records name. Places are
// committed only on machines that a machine record has, and a machine leaves its record
// only after its deletion was answered: a predecessor has proven it gone.
func (l *leader) forgetUnrecorded() {
	var names []protocol.MachineID
	for _, m := range l.cluster.OrderedMachines {
		if m.Record == nil {
			names = append(names, m.ID)
		}
	}
	l.MachinesDeleted(names...)
}

// addJob takes a job from its own record.
func (l *leader) addJob(rec *bookkeeping.Job, revision protocol.Revision) *cluster.Job {
	s := rec.Spec
	j := &cluster.Job{
		ID: s.ID, Spec: s, Priority: s.PriorityLevel(), ArrivalOrder: rec.Seq, SubmittedAt: time.UnixMilli(rec.AtMs),
		Epoch: rec.Attempt, Cancelled: rec.Cancelled,
		Tasks:    make([]cluster.Task, s.Tasks),
		Attempts: map[cluster.AttemptKey]*cluster.Attempt{},
		Failures: cluster.FailureHistory{Machines: map[protocol.MachineID]bool{}, AvoidUntil: map[protocol.MachineID]time.Time{}},
		Queue:    cluster.QueueState{WaitingSince: l.n.now},
		Records: cluster.RecordLayout{TasksPerRecord: rec.RecordTasks, Revisions: make([]protocol.Revision, max(rec.BaseRecords(), rec.Parts)),
			Abandoned: map[int]protocol.Revision{}},
		Write: cluster.WriteState{Dirty: map[int]bool{}},
	}
	if j.ArrivalOrder == 0 {
		j.ArrivalOrder = revision // never written since its submission
	}
	j.Records.Revisions[0] = revision
	j.Records.ExtraParts = make([][]int, len(j.Records.Revisions)-rec.BaseRecords())
	j.StartDeadlines = l.cluster.StartDeadlines(j)
	l.n.log.Debug("job", "job", j.ID, "class", s.Class, "shape", s.Shape, "tasks", s.Tasks, "gpus", s.GPUs, "team", s.Team, "estimate", s.EstimateS, "deadline", s.DeadlineS, "age", l.n.now.Sub(j.SubmittedAt).Seconds())
	l.cluster.Jobs[j.ID] = j
	l.autoscaler.JobSubmitted(s)
	l.addTasks(j, 0, rec.Tasks)
	return j
}

// leaveAlone has a job kept as it is because a record of it cannot be read: one of a
// later version, or a damaged one. Nothing of it is written, deleted, placed or stopped
// except that a job whose own record was read can still be cancelled.
func (l *leader) leaveAlone(id protocol.JobID, err error) {
	if l.unreadable[id] {
		return
	}
	l.unreadable[id] = true
	l.n.log.Error("record cannot be read, job is left alone", "job", id, "error", err)
	if j := l.cluster.Jobs[id]; j != nil {
		j.Records.Quarantined = true
		l.dropUncommitted(j)
	}
}

// addTasks takes the tasks of one of a job's records.
func (l *leader) addTasks(j *cluster.Job, record int, tasks []bookkeeping.Task) {
	for _, t := range tasks {
		if t.Index < 0 || t.Index >= len(j.Tasks) {
			l.logOnce("record names a task that its job does not have", string(j.ID), "job", j.ID, "task", t.Index)
			continue
		}
		if record >= j.BaseRecords() {
			j.MoveTask(t.Index, record)
		}
		jt := &j.Tasks[t.Index]
		jt.LastAttempt = max(jt.LastAttempt, t.Attempt)
		j.EverPlaced = true
		if t.Done && !jt.Done {
			jt.Done = true
			j.DoneTasks++
		}
		if t.Machine == "" || t.Done {
			continue
		}
		m := l.cluster.EnsureMachine(t.Machine, "", "", "", false)
		if m.Attempts[cluster.AttemptID{Job: j.ID, Index: t.Index, Number: t.Attempt}] != nil {
			l.logOnce("record places an attempt twice", string(j.ID), "job", j.ID, "task", t.Index)
			continue
		}
		c := l.cluster.AddAttempt(j, t.Index, t.Attempt, m, t.Incarnation)
		c.Committed, c.StartSent, c.Recovered = true, true, true
		l.activate(j, jt, c)
		m.UseImage(j.Spec, nil)
		m.Agent.Incarnation = max(m.Agent.Incarnation, t.Incarnation)
	}
}

// activate makes an attempt its task's own. Of two in damaged records it is the later one:
// the other counts as there until it is gone, and is stopped when a worker shows it.
func (l *leader) activate(j *cluster.Job, t *cluster.Task, c *cluster.Attempt) {
	older := t.Active
	if older != nil && older.Key.Number > c.Key.Number {
		older, c = c, older
	}
	t.Active = c
	if older != nil {
		older.Orphaned = true
		l.logOnce("record places a task twice", string(j.ID), "job", j.ID, "task", c.Key.Index)
	}
}
