package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// TestMachineOnWhichJobsFailIsQuarantined: a machine on which two jobs failed accepts no more
// tasks. Its machine record stores this for every later leader.
func TestMachineOnWhichJobsFailIsQuarantined(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	machine := l.testMachine("i-1", "big", "a")
	for range tuning.MaxMachineFailures {
		job := l.testJob(gangOf(1, 1))
		attempt := l.cluster.AddAttempt(job, 0, 1, machine, 1)
		l.lifecycle.HandleExit(attempt, &protocol.TaskStatus{Cause: protocol.CauseError})
		l.lifecycle.RemoveGone(attempt, lifecycle.ExitReported)
	}
	if l.cluster.Schedulable(machine) || !machine.Record.Queued {
		t.Errorf("schedulable %v, record to be written %v", l.cluster.Schedulable(machine), machine.Record.Queued)
	}
	l.committer.Commit()
	txn, _ := l.lastTransaction(t)
	if rec, _ := parse[storage.MachineRecord](txn.Changes[0].Value); txn.Changes[0].Set != machine.Record.Key || len(rec.Machines) != 1 || !rec.Machines[0].Cordoned {
		t.Errorf("the machine record does not show it as cordoned: %s", txn.Changes[0].Value)
	}
	l.autoscaler.Tick()
	if !machine.Deleting {
		t.Error("not deleted although it has no tasks")
	}
}

// TestJobThatFailsEverywherePreemptsNothing: a job that failed on several machines is still tried
// on free machines, but no tasks are preempted and no machines are requested for it any more.
func TestJobThatFailsEverywherePreemptsNothing(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	l.testMachine("i-1", "big", "a")
	s := protocol.Job{Team: "free", Shape: protocol.ShapeArray, Tasks: 4, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "x", Priority: "idle"}
	low := l.testJob(s)
	l.runSchedulingCycle()
	high := gangOf(1, 2)
	high.Priority = "high"
	job := l.testJob(high)
	for i := range tuning.MaxJobFailures {
		machine := l.testMachine(protocol.MachineID(fmt.Sprintf("i-%d", 10+i)), "small", "b")
		attempt := l.cluster.AddAttempt(job, 0, protocol.AttemptNumber(i+1), machine, 1)
		l.lifecycle.HandleExit(attempt, &protocol.TaskStatus{Cause: protocol.CauseError})
		l.lifecycle.RemoveGone(attempt, lifecycle.ExitReported)
		machine.Cordoned = true
		if machine.Quarantined {
			t.Errorf("%s is quarantined because of a job that fails everywhere", machine.ID)
		}
	}
	l.n.now = l.n.now.Add(tuning.FailureBackoff)
	l.runSchedulingCycle()
	if n := stopping(low); n != 0 || len(low.Attempts) != 4 || len(l.autoscaler.Demand) != 0 {
		t.Errorf("%d tasks of %d are stopping, %d jobs demand machines", n, len(low.Attempts), len(l.autoscaler.Demand))
	}
}

// stopping returns the number of a job's attempts that have been asked to stop.
func stopping(job *cluster.Job) (n int) {
	for _, attempt := range job.Attempts {
		if attempt.Stopping {
			n++
		}
	}
	return n
}

// TestRepairedGangReusesSurvivingMachines: a gang that lost a machine is placed on its surviving
// machines again, and on its zone's spare machine instead of the lost one, although the whole gang
// would fit in another zone.
func TestRepairedGangReusesSurvivingMachines(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	dead, survivor := l.testMachine("i-1", "big", "b"), l.testMachine("i-2", "big", "b")
	s := gangOf(2, 4)
	s.OneZone, s.Priority = true, "normal"
	job := l.testJob(s)
	l.runSchedulingCycle()
	for _, attempt := range job.Attempts {
		attempt.Committed, attempt.StartSent, attempt.ReportedState = true, true, protocol.TaskRunning
	}
	epoch := job.Epoch
	l.testMachine("i-3", "big", "a")
	l.testMachine("i-4", "big", "a")
	spare := l.testMachine("i-5", "big", "b")
	l.removeMachines(dead.ID)
	l.runSchedulingCycle()
	if len(job.Attempts) != 1 || !job.Stopping {
		t.Fatalf("%d attempts, stopping %v: want the surviving attempt to be stopping", len(job.Attempts), job.Stopping)
	}
	if survivor.ReservedFor != job {
		t.Error("the surviving machine is not reserved")
	}
	l.lifecycle.RemoveGone(job.SortedAttempts()[0], lifecycle.ExitReported)
	l.runSchedulingCycle()
	on := map[*cluster.Machine]bool{}
	for _, attempt := range job.Attempts {
		on[attempt.Machine] = true
	}
	if !on[survivor] || !on[spare] || job.Epoch != epoch+1 {
		t.Errorf("placed again as %v at epoch %d", job.SortedAttempts(), job.Epoch)
	}
}

// TestStoredCordonEndsUnderNextLeader: a cordon in the records, as every version writes it, kept a
// machine with replicas out of use under all later leaders.
func TestStoredCordonEndsUnderNextLeader(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	stored, _ := parse[storage.MachineRecord]([]byte(`{"w":"n-1","rooms":[{"id":"i-1","addr":"h:1","type":"big","zone":"a","closed":true}]}`))
	l.committer.Machines.Load("g/m/n-1", 9, &stored)
	machine := l.cluster.Machines["i-1"]
	replica := l.testJob(protocol.Job{Team: "free", Shape: protocol.ShapeService, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "x", Priority: "critical"})
	l.cluster.AddAttempt(replica, 0, 1, machine, 1).MarkRecovered()
	l.n.now = l.n.now.Add(tuning.QuarantineTime)
	machine.Agent = cluster.AgentState{Heard: true, TokenConfirmed: true, Incarnation: 1, LastHeartbeat: l.n.now, RespondedAt: l.n.now}
	l.lifecycle.ReviewMachines()
	if !l.cycleFullyPlaces(l.testJob(gangOf(1, 1))) {
		t.Error("a job is not placed on the machine")
	}
	l.committer.Commit()
	txn, _ := l.lastTransaction(t)
	for _, change := range txn.Changes {
		if record, _ := parse[storage.MachineRecord](change.Value); change.Set == "g/m/n-1" && !record.Machines[0].Cordoned {
			return
		}
	}
	t.Errorf("the machine record still shows it as cordoned: %s", storage.Encode(txn.Changes))
}

// TestCommitReleasesNoStartedAttempt guards against an attempt that is being stopped and is released
// because a transaction with its placement has been committed, while it still runs.
func TestCommitReleasesNoStartedAttempt(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	machine := l.testMachine("i-1", "big", "a")
	job := l.testJob(gangOf(1, 1))
	started := l.cluster.AddAttempt(job, 0, 1, machine, 1)
	started.MarkStartSent()
	started.RequestStop(0)
	commitOutcomes{l}.JobCommitted(job, []*cluster.Attempt{started})
	if len(job.Attempts) != 1 {
		t.Error("released although its start was sent")
	}
}
