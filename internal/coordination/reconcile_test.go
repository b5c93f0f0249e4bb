package coordination

import (
	"slices"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// addJobWithTasks is a job's record with tasks placed as given.
func (l *leader) addJobWithTasks(tasks ...storage.Task) *cluster.Job {
	s := gangOf(2, 1)
	s.ID, s.Priority, s.Shape = "run-000077", "normal", protocol.ShapeArray
	return l.loader.AddJob(&storage.Job{Spec: &s, SubmittedAtMs: l.n.now.UnixMilli(), SubmissionRevision: 5, TasksPerBaseRecord: 60, Tasks: tasks}, 9)
}

// TestRecordWithDuplicatePlacements: a damaged record that names an attempt twice, or a task in two
// places, keeps its job alive: each attempt counts once, and once all are proven gone the
// task is placed again. An attempt that counted twice once held its task for ever.
func TestRecordWithDuplicatePlacements(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	machine, other := l.testMachine("i-1", "big", "a"), l.testMachine("i-2", "big", "a")
	twice := storage.Task{Index: 0, Attempt: 3, Machine: machine.ID, Incarnation: 1}
	job := l.addJobWithTasks(twice, twice, storage.Task{Index: 0, Attempt: 2, Machine: other.ID, Incarnation: 1}, storage.Task{Index: 7, Attempt: 1, Machine: machine.ID, Incarnation: 1})
	if n := job.Tasks[0].LiveAttempts; n != 2 || job.Tasks[0].Active.Machine != machine {
		t.Errorf("%d attempts", n)
	}
	running := protocol.TaskStatus{Task: "run-000077/0", Attempt: 2, State: protocol.TaskRunning}
	if got := commandKinds(l.testHeartbeat(other, l.n.election.Term(), running)); got != "halt " {
		t.Errorf("the older of two places is ordered %q", got)
	}
	l.testHeartbeat(machine, l.n.election.Term())
	l.testHeartbeat(other, l.n.election.Term())
	if n := job.Tasks[0].LiveAttempts; n != 0 || len(job.Attempts) != 0 {
		t.Errorf("%d attempts after the proofs", n)
	}
}

// TestNoPreemptionWhileMachinesMayStillReport: in a recovery nothing is stopped to make space for a
// job that fits machines which have yet to report, until they could have. A cold restart
// of four thousand machines once stopped two hundred tasks beside a thousand free GPUs.
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
			t.Errorf("enabled %v: stopped at once %v", enabled, got)
		}
		l.n.now = l.n.now.Add(l.cluster.SilenceTimeout() + time.Second)
		full.Agent.LastHeartbeat = l.n.now
		if !stopping() {
			t.Errorf("enabled %v: nothing is stopped though the other machine is silent", enabled)
		}
	}
}
