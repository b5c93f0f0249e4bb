package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// TestPreemption: a higher priority takes what it needs and no more; work of
// equal priority, and work within its team's guarantee, stays.
func TestPreemption(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	machine := l.testMachine("i-1", "big", "a", false)
	s := protocol.Job{Team: "free", Shape: protocol.ShapeArray, Tasks: 4, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "x", Priority: "idle"}
	low := l.testJob(s)
	l.scheduler.PlaceArray(low, false)
	for _, attempt := range low.Attempts {
		attempt.Committed, attempt.StartSent, attempt.ReportedState = true, true, protocol.TaskRunning
	}
	same := gangOf(1, 2)
	same.Priority = "idle"
	l.testJob(same)
	l.runSchedulingCycle()
	if n := stopping(low); n != 0 {
		t.Errorf("%d tasks yield to equal priority", n)
	}
	high := gangOf(1, 2)
	high.Priority = "high"
	l.testJob(high)
	l.runSchedulingCycle()
	if n := stopping(low); n != 2 {
		t.Errorf("%d tasks yield where 2 do", n)
	}
	l.runSchedulingCycle()
	if n := stopping(low); n != 2 {
		t.Errorf("%d tasks yield after a second pass", n)
	}
	if machine.ReservedFor == nil {
		t.Error("the room is not held")
	}
}

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
	l.autoscaler.EvaluateScaleIn(machine, l.autoscaler.Spares())
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
	l.scheduler.PlaceArray(low, false)
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

// TestGuarantee: a team within its guarantee takes machines from one beyond
// its own, but not from higher priority and not from guaranteed work.
func TestGuarantee(t *testing.T) {
	for _, c := range []struct {
		priority   string
		guaranteed bool
		want       int
	}{{"normal", false, 2}, {"high", false, 0}, {"normal", true, 0}} {
		l := testLeader(time.Unix(1_800_000_000, 0))
		l.testMachine("i-1", "big", "a", false)
		s := protocol.Job{Team: "free", Shape: protocol.ShapeArray, Tasks: 4, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "x", Priority: c.priority}
		if c.guaranteed {
			l.cluster.Quotas["free"].GuaranteedGPUs = 4
		}
		other := l.testJob(s)
		l.scheduler.PlaceArray(other, false)
		for _, o := range other.Attempts {
			o.Committed, o.StartSent = true, true
		}
		s.Team, s.Tasks, s.Priority = "tight", 2, "normal"
		l.testJob(s)
		l.runSchedulingCycle()
		if n := stopping(other); n != c.want {
			t.Errorf("%+v: %d tasks yield", c, n)
		}
	}
}

// TestGuaranteeInTurn: a job that was beyond its team's guarantee when it came,
// and comes within it while more of its team waits, stops nobody's work: the
// teams of an overloaded deployment would go on taking machines in turn.
func TestGuaranteeInTurn(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	l.testMachine("i-1", "big", "a", false)
	s := gangOf(4, 1)
	s.Shape = protocol.ShapeArray
	other := l.testJob(s)
	l.scheduler.PlaceArray(other, false)
	for _, o := range other.Attempts {
		o.Committed, o.StartSent = true, true
	}
	s.Team, s.Tasks, s.Zone = "tight", 2, "b"
	first := l.testJob(s) // takes the whole guarantee, waits for another zone
	s.Zone = ""
	l.testJob(s)
	s.Tasks = 3
	l.testJob(s)
	l.runSchedulingCycle()
	first.Finished = true
	delete(l.cluster.Jobs, first.ID)
	l.runSchedulingCycle()
	if n := stopping(other); n != 0 {
		t.Errorf("%d tasks yield", n)
	}
}

// TestReserveMachines: a gang that has waited past the time-out keeps the free machines of
// the zone where it lacks least from smaller jobs behind it.
func TestReserveMachines(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l := testLeader(now)
	l.testMachine("i-1", "big", "a", false)
	big := gangOf(2, 4)
	big.OneZone = true
	job := l.testJob(big)
	l.runSchedulingCycle()
	l.n.now = now.Add(l.n.cfg.Operator.BackfillBarrierDelay + time.Second)
	for _, machine := range l.cluster.Machines {
		machine.Agent.LastHeartbeat = l.n.now
	}
	small := l.testJob(gangOf(1, 1))
	l.runSchedulingCycle()
	if len(small.Attempts) != 0 || len(job.Attempts) != 0 {
		t.Errorf("the smaller job passes")
	}
	l.testMachine("i-2", "big", "a", false)
	l.runSchedulingCycle()
	if len(job.Attempts) != 2 {
		t.Errorf("the gang is not placed when it could be")
	}
}
