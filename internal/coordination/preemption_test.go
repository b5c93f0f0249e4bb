package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// TestDistrust: a machine on which two jobs failed takes no more tasks, and its
// machine record says so to every later leader.
func TestDistrust(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	machine := l.testMachine("i-1", "big", "a", false)
	for range tuning.MaxMachineFailures {
		job := l.testJob(gangOf(1, 1))
		attempt := l.cluster.AddAttempt(job, 0, 1, machine, 1)
		l.lifecycle.HandleExit(attempt, &protocol.TaskStatus{Cause: protocol.CauseError})
		l.lifecycle.RemoveGone(attempt)
	}
	if l.cluster.Schedulable(machine) || !machine.Record.Queued || !machineEntry(machine).Cordoned {
		t.Errorf("open %v, record to be written %v", l.cluster.Schedulable(machine), machine.Record.Queued)
	}
	l.autoscaler.Tick()
	if !machine.Deleting {
		t.Error("not returned once it is empty")
	}
}

// TestBlamedJobYields: a job that failed on several machines is tried on what
// is free, but nothing is stopped or rented for it any more.
func TestBlamedJobYields(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	l.testMachine("i-1", "big", "a", false)
	s := protocol.Job{Team: "free", Shape: protocol.ShapeArray, Tasks: 4, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "x", Priority: "idle"}
	low := l.testJob(s)
	l.runSchedulingCycle()
	high := gangOf(1, 2)
	high.Priority = "high"
	job := l.testJob(high)
	for i := range tuning.MaxJobFailures {
		machine := l.testMachine(protocol.MachineID(fmt.Sprintf("i-%d", 10+i)), "small", "b", false)
		attempt := l.cluster.AddAttempt(job, 0, protocol.AttemptNumber(i+1), machine, 1)
		l.lifecycle.HandleExit(attempt, &protocol.TaskStatus{Cause: protocol.CauseError})
		l.lifecycle.RemoveGone(attempt)
		machine.Cordoned = true
		if machine.Quarantined {
			t.Errorf("%s is distrusted for a job that fails everywhere", machine.ID)
		}
	}
	l.n.now = l.n.now.Add(tuning.FailureBackoff)
	l.runSchedulingCycle()
	if n := stopping(low); n != 0 || len(l.autoscaler.Demand) != 0 {
		t.Errorf("%d tasks yield, %d jobs want machines", n, len(l.autoscaler.Demand))
	}
}

func stopping(job *cluster.Job) (n int) {
	for _, attempt := range job.Attempts {
		if attempt.Stopping {
			n++
		}
	}
	return n
}
