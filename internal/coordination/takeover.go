package coordination

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/coordination/autoscaler"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// takeOver begins to lead with what the records say.
func (n *Node) takeOver() {
	l := &leader{n: n, cluster: cluster.NewState(n.cfg, n.machineTypes.byName, func() time.Time { return n.now }), unreadable: map[protocol.JobID]bool{}, logged: map[string]bool{}, recovery: reconcile.NewPhase(), plan: true}
	l.lifecycle = lifecycle.New(l.cluster, l.recovery, l, n.log)
	l.scheduler = scheduler.New(l.cluster, l, n.log)
	l.autoscaler = autoscaler.New(l.cluster, l.scheduler, cloudClient{l}, l, n.log)
	l.agents = agents.New(agents.Dependencies{
		State: l.cluster, Lifecycle: l.lifecycle, Recovery: l.recovery, Scheduler: l.scheduler, Fleet: l.autoscaler,
		Client: agentClient{l}, Environment: l, Log: n.log, Term: n.election.Term(),
	})
	n.lead = l
	n.peers.HeartbeatSoon()     // the peers learn how many workers it keeps
	n.machineTypes.refreshNow() // today's prices, and a record of the types if there is none
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
	for _, job := range l.scheduler.Queue() {
		l.lifecycle.CheckEnded(job)
	}
	n.log.Info("leading", "term", n.election.Term(), "jobs", len(l.cluster.Jobs), "machines", len(l.cluster.Machines))
}

// loadMachineRecords takes the machines; false if some record cannot be read.
func (l *leader) loadMachineRecords() bool {
	allRead := true
	type entry struct {
		protocol.Entry
		record storage.MachineRecord
	}
	var entries []entry
	var names []protocol.MachineID
	l.n.mirror.Each(storage.MachinePrefix, func(e protocol.Entry) {
		rec, ok := parse[storage.MachineRecord](e.Value)
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
	l.n.mirror.Each(storage.JobPrefix, func(e protocol.Entry) {
		rec, err := storage.DecodeJob(e.Value)
		if err != nil {
			id, _ := storage.ParseJobKey(e.Key)
			l.leaveAlone(id, err)
			return
		}
		l.addJob(rec, e.Revision).Recovered = true
	})
}

// loadTaskRecords takes the further records of the jobs.
func (l *leader) loadTaskRecords() {
	l.n.mirror.Each(storage.TaskPrefix, func(e protocol.Entry) {
		id, num, ok := storage.ParseTaskRecordKey(e.Key)
		if ok && l.unreadable[id] {
			return
		}
		job := l.cluster.Jobs[id]
		if !ok || job == nil {
			l.cleanup = append(l.cleanup, e.Key) // left by a finished job
			return
		}
		if num >= len(job.Records.Revisions) {
			// Staged by a predecessor that did not complete the split. The key is
			// used by the next split, or deleted with the job: a deletion now might
			// be carried out late, after that split.
			job.Records.Abandoned[num] = e.Revision
			return
		}
		var rec storage.TaskRecord
		if err := json.Unmarshal(e.Value, &rec); err != nil {
			l.leaveAlone(id, err)
			return
		}
		job.Records.Revisions[num] = e.Revision
		l.addTasks(job, num, rec.Tasks)
	})
	slices.Sort(l.cleanup)
}

// forgetUnrecorded forgets the machines that only jobs' records name. Places are
// committed only on machines that a machine record has, and a machine leaves its record
// only after its deletion was answered: a predecessor has proven it gone.
func (l *leader) forgetUnrecorded() {
	var names []protocol.MachineID
	for _, machine := range l.cluster.OrderedMachines {
		if machine.Record == nil {
			names = append(names, machine.ID)
		}
	}
	l.MachinesDeleted(names...)
}

// addJob takes a job from its own record.
func (l *leader) addJob(rec *storage.Job, revision protocol.Revision) *cluster.Job {
	spec := rec.Spec
	job := &cluster.Job{
		ID: spec.ID, Spec: spec, Priority: spec.PriorityLevel(), ArrivalOrder: rec.Seq, SubmittedAt: time.UnixMilli(rec.AtMs),
		Epoch: rec.Attempt, Cancelled: rec.Cancelled,
		Tasks:    make([]cluster.Task, spec.Tasks),
		Attempts: map[cluster.AttemptKey]*cluster.Attempt{},
		Failures: cluster.FailureHistory{Machines: map[protocol.MachineID]bool{}, AvoidUntil: map[protocol.MachineID]time.Time{}},
		Queue:    cluster.QueueState{WaitingSince: l.n.now},
		Records: cluster.RecordLayout{TasksPerRecord: rec.RecordTasks, Revisions: make([]protocol.Revision, max(rec.BaseRecords(), rec.Parts)),
			Abandoned: map[int]protocol.Revision{}},
		Write: cluster.WriteState{Dirty: map[int]bool{}},
	}
	if job.ArrivalOrder == 0 {
		job.ArrivalOrder = revision // never written since its submission
	}
	job.Records.Revisions[0] = revision
	job.Records.ExtraParts = make([][]int, len(job.Records.Revisions)-rec.BaseRecords())
	job.StartDeadlines = l.cluster.StartDeadlines(job)
	l.n.log.Debug("job", "job", job.ID, "class", spec.Class, "shape", spec.Shape, "tasks", spec.Tasks, "gpus", spec.GPUs, "team", spec.Team, "estimate", spec.EstimateS, "deadline", spec.DeadlineS, "age", l.n.now.Sub(job.SubmittedAt).Seconds())
	l.cluster.Jobs[job.ID] = job
	l.autoscaler.JobSubmitted(spec)
	l.addTasks(job, 0, rec.Tasks)
	return job
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
	if job := l.cluster.Jobs[id]; job != nil {
		job.Records.Quarantined = true
		l.dropUncommitted(job)
	}
}

// addTasks takes the tasks of one of a job's records.
func (l *leader) addTasks(job *cluster.Job, record int, tasks []storage.Task) {
	for _, t := range tasks {
		if t.Index < 0 || t.Index >= len(job.Tasks) {
			l.LogOnce("record names a task that its job does not have", string(job.ID), "job", job.ID, "task", t.Index)
			continue
		}
		if record >= job.BaseRecords() {
			job.MoveTask(t.Index, record)
		}
		jt := &job.Tasks[t.Index]
		jt.LastAttempt = max(jt.LastAttempt, t.Attempt)
		job.EverPlaced = true
		if t.Done && !jt.Done {
			jt.Done = true
			job.DoneTasks++
		}
		if t.Machine == "" || t.Done {
			continue
		}
		machine := l.cluster.EnsureMachine(t.Machine, "", "", "", false)
		if machine.Attempts[cluster.AttemptID{Job: job.ID, Index: t.Index, Number: t.Attempt}] != nil {
			l.LogOnce("record places an attempt twice", string(job.ID), "job", job.ID, "task", t.Index)
			continue
		}
		attempt := l.cluster.AddAttempt(job, t.Index, t.Attempt, machine, t.Incarnation)
		attempt.Committed, attempt.StartSent, attempt.Recovered = true, true, true
		l.activate(job, jt, attempt)
		machine.UseImage(job.Spec, nil)
		machine.Agent.Incarnation = max(machine.Agent.Incarnation, t.Incarnation)
	}
}

// activate makes an attempt its task's own. Of two in damaged records it is the later one:
// the other counts as there until it is gone, and is stopped when a worker shows it.
func (l *leader) activate(job *cluster.Job, task *cluster.Task, attempt *cluster.Attempt) {
	older := task.Active
	if older != nil && older.Key.Number > attempt.Key.Number {
		older, attempt = attempt, older
	}
	task.Active = attempt
	if older != nil {
		older.Orphaned = true
		l.LogOnce("record places a task twice", string(job.ID), "job", job.ID, "task", attempt.Key.Index)
	}
}
