package loader

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// AddJob adds a job to the model from its main record.
func (ld *Loader) AddJob(record *storage.Job, revision protocol.Revision) *cluster.Job {
	spec := record.Spec
	job := &cluster.Job{
		ID: spec.ID, Spec: spec, Priority: spec.PriorityLevel(), ArrivalOrder: record.SubmissionRevision, SubmittedAt: time.UnixMilli(record.SubmittedAtMs),
		Epoch: record.Attempt, Cancelled: record.Cancelled,
		Tasks:    make([]cluster.Task, spec.Tasks),
		Attempts: map[cluster.AttemptKey]*cluster.Attempt{},
		Failures: cluster.FailureHistory{Machines: map[protocol.MachineID]bool{}, AvoidUntil: map[protocol.MachineID]time.Time{}},
		Queue:    cluster.QueueState{WaitingSince: ld.state.Now()},
		Records: cluster.RecordLayout{TasksPerRecord: record.TasksPerBaseRecord, Revisions: make([]protocol.Revision, max(record.BaseRecords(), record.TotalRecords)),
			AbandonedParts: map[int]protocol.Revision{}},
		Write: cluster.WriteState{Dirty: map[int]bool{}, ShowsRunning: record.Placed > 0},
	}
	if job.ArrivalOrder == 0 {
		job.ArrivalOrder = revision // the record has not been rewritten since its submission
	}
	job.Records.Revisions[0] = revision
	job.Records.ExtraParts = make([][]int, len(job.Records.Revisions)-record.BaseRecords())
	job.StartDeadlines = ld.state.StartDeadlines(job)
	ld.log.Debug("job loaded", "job", job.ID, "class", spec.Class, "shape", spec.Shape, "tasks", spec.Tasks, "gpus", spec.GPUs, "team", spec.Team, "estimate", spec.EstimateS, "deadline", spec.DeadlineS, "age", ld.state.Now().Sub(job.SubmittedAt).Seconds())
	ld.state.Jobs[job.ID] = job
	ld.env.JobLoaded(spec)
	ld.AddTasks(job, 0, record.Tasks)
	return job
}

// AddTasks adds the tasks of one of a job's records to the job.
func (ld *Loader) AddTasks(job *cluster.Job, record int, tasks []storage.Task) {
	for _, stored := range tasks {
		if stored.Index < 0 || stored.Index >= len(job.Tasks) {
			ld.logMalformed("record names a task that its job does not have", job, stored.Index)
			continue
		}
		if record >= job.BaseRecords() {
			job.MoveTask(stored.Index, record)
		}
		task := &job.Tasks[stored.Index]
		task.LastAttempt = max(task.LastAttempt, stored.Attempt)
		job.EverPlaced = true
		if stored.Done {
			job.CompleteTask(stored.Index)
		}
		if stored.Machine != "" && !stored.Done {
			ld.addAttempt(job, &stored)
		}
	}
}

// addAttempt adds the attempt that a record places on a machine.
func (ld *Loader) addAttempt(job *cluster.Job, stored *storage.Task) {
	machine := ld.state.EnsureMachine(stored.Machine, "", "", "", false)
	if machine.Attempts[cluster.AttemptID{Job: job.ID, Index: stored.Index, Number: stored.Attempt}] != nil {
		ld.logMalformed("record places an attempt twice", job, stored.Index)
		return
	}
	attempt := ld.state.AddAttempt(job, stored.Index, stored.Attempt, machine, stored.Incarnation)
	attempt.MarkRecovered()
	ld.activate(job, &job.Tasks[stored.Index], attempt)
	machine.UseImage(job.Spec, nil)
	machine.Agent.Incarnation = max(machine.Agent.Incarnation, stored.Incarnation)
}

// activate makes an attempt its task's active one. If malformed records place a task twice, the
// later attempt becomes active. The earlier one counts as present until it is proven gone, and
// is stopped when an agent reports it.
func (ld *Loader) activate(job *cluster.Job, task *cluster.Task, attempt *cluster.Attempt) {
	older := task.Active
	if older != nil && older.Key.Number > attempt.Key.Number {
		older, attempt = attempt, older
	}
	task.Active = attempt
	if older != nil {
		older.MarkOrphaned()
		ld.logMalformed("record places a task twice", job, attempt.Key.Index)
	}
}
