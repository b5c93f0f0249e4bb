package coordination

import (
	"slices"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// addJobWithTasks adds a job from a record with the given tasks.
func (l *leader) addJobWithTasks(tasks ...storage.Task) *cluster.Job {
	s := gangOf(2, 1)
	s.ID, s.Priority, s.Shape = "run-000077", "normal", protocol.ShapeArray
	return l.loader.AddJob(&storage.Job{Spec: &s, SubmittedAtMs: l.n.now.UnixMilli(), SubmissionRevision: 5, TasksPerBaseRecord: 60, Tasks: tasks}, 9)
}

// TestRecordWithDuplicatePlacements: a malformed record that names an attempt twice, or two
// attempts of one task, does not block its job. Each attempt counts once, and when all are proven
// gone the task can be placed again. If an attempt counted twice, its task would never be placed
// again.
func TestRecordWithDuplicatePlacements(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	machine, other := l.testMachine("i-1", "big", "a"), l.testMachine("i-2", "big", "a")
	twice := storage.Task{Index: 0, Attempt: 3, Machine: machine.ID, Incarnation: 1}
	job := l.addJobWithTasks(twice, twice, storage.Task{Index: 0, Attempt: 2, Machine: other.ID, Incarnation: 1}, storage.Task{Index: 7, Attempt: 1, Machine: machine.ID, Incarnation: 1})
	if n := job.Tasks[0].LiveAttempts; n != 2 || job.Tasks[0].Active.Machine != machine {
		t.Errorf("%d live attempts, want 2 with the newer one active", n)
	}
	running := protocol.TaskStatus{Task: "run-000077/0", Attempt: 2, State: protocol.TaskRunning}
	if got := commandKinds(l.testHeartbeat(other, l.n.election.Term(), running)); got != "halt " {
		t.Errorf("commands %q for the older of two attempts, want halt", got)
	}
	l.testHeartbeat(machine, l.n.election.Term())
	l.testHeartbeat(other, l.n.election.Term())
	if n := job.Tasks[0].LiveAttempts; n != 0 || len(job.Attempts) != 0 {
		t.Errorf("%d live attempts after both agents reported that none runs", n)
	}
}

// TestNoPreemptionWhileMachinesMayStillReport: in a recovery nothing is preempted for a job that
// fits on machines that have not reported yet, as long as they may still do so. Otherwise a cold
// restart of four thousand machines preempts two hundred tasks while a thousand GPUs are free.
func TestNoPreemptionWhileMachinesMayStillReport(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		l := testLeader(time.Unix(1_800_000_000, 0))
		l.n.cfg.Operator.RecoveryPhase = enabled
		full, silent := l.testMachine("i-1", "big", "a"), l.testMachine("i-2", "big", "a")
		silent.Recovered, silent.Agent.Heard, silent.Agent.TokenConfirmed, silent.Agent.Incarnation = true, false, false, 0
		l.beginRecovery()
		low := l.testJob(func() protocol.Job { s := gangOf(8, 1); s.Shape, s.Priority = protocol.ShapeArray, "idle"; return s }())
		l.runSchedulingCycle()
		for _, attempt := range low.Attempts {
			attempt.Committed, attempt.StartSent, attempt.ReportedState = true, true, protocol.TaskRunning
		}
		s := gangOf(2, 1)
		s.Priority = "high"
		l.testJob(s)
		stopping := func() bool {
			l.runSchedulingCycle()
			return slices.ContainsFunc(low.SortedAttempts(), func(attempt *cluster.Attempt) bool { return attempt.Stopping })
		}
		if free := l.cluster.FreeResources(full).GPUs; free > 0 {
			t.Fatalf("%v GPUs are free", free)
		}
		if got := stopping(); got == enabled {
			t.Errorf("recovery phase %v: preempts at once %v", enabled, got)
		}
		l.n.now = l.n.now.Add(l.cluster.SilenceTimeout() + time.Second)
		full.Agent.LastHeartbeat = l.n.now
		if !stopping() {
			t.Errorf("recovery phase %v: no preemption although the other machine stays silent", enabled)
		}
	}
}
