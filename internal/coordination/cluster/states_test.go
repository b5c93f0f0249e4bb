package cluster_test

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/protocol"
)

// newAttempt is the only attempt of a gang of one.
func newAttempt(c *clustertest.Cluster) *cluster.Attempt {
	job := c.AddJob(clustertest.Gang(1, 1))
	c.PlaceAll(job, c.AddMachine("i-1", "big", "a"))
	return job.Tasks[0].Active
}

// TestRecoveredAttemptMayHaveStarted: what a predecessor placed is committed, and its start
// may have left; what no record asks for is that and orphaned.
func TestRecoveredAttemptMayHaveStarted(t *testing.T) {
	recovered, orphaned := newAttempt(clustertest.New()), newAttempt(clustertest.New())
	recovered.MarkRecovered()
	orphaned.MarkOrphaned()
	if !recovered.Committed || !recovered.StartSent || !recovered.Recovered || recovered.Orphaned {
		t.Errorf("recovered: %+v", recovered)
	}
	if !orphaned.Committed || !orphaned.StartSent || !orphaned.Recovered || !orphaned.Orphaned {
		t.Errorf("orphaned: %+v", orphaned)
	}
}

// TestUnansweredDirectStartMayArriveAtAnyTime: a direct start that was answered can't arrive again;
// one that was not answered may at any time.
func TestUnansweredDirectStartMayArriveAtAnyTime(t *testing.T) {
	attempt := newAttempt(clustertest.New())
	attempt.BeginDirectStart(time.Unix(1, 0))
	if !attempt.StartMayArrive() {
		t.Error("a start in flight cannot arrive")
	}
	attempt.EndDirectStart()
	if attempt.StartMayArrive() || attempt.StartsInFlight != 0 {
		t.Error("an answered start may arrive")
	}
	attempt.BeginDirectStart(time.Unix(2, 0))
	attempt.MarkDirectStartUnanswered()
	if !attempt.StartMayArrive() || attempt.StartsInFlight != 0 {
		t.Errorf("may arrive %v, %d in flight", attempt.StartMayArrive(), attempt.StartsInFlight)
	}
}

// TestRepeatedStopOnlyShortensGrace: a later request to stop never gives an attempt more time, and a
// shorter one is to be sent again.
func TestRepeatedStopOnlyShortensGrace(t *testing.T) {
	attempt := newAttempt(clustertest.New())
	for _, step := range []struct{ request, want float64 }{{30, 30}, {60, 30}, {5, 5}, {30, 5}} {
		attempt.MarkStopSent(time.Unix(9, 0))
		shorter := !attempt.Stopping || step.request < attempt.GraceS
		attempt.RequestStop(step.request)
		if !attempt.Stopping || attempt.GraceS != step.want || attempt.StopSentAt.IsZero() != shorter {
			t.Errorf("after a request of %v s: grace %v, sent at %v", step.request, attempt.GraceS, attempt.StopSentAt)
		}
	}
}

// TestRunningSinceIsFirstReportOfRunning: later heartbeats do not move it, and whatever is
// reported shows that a start has left.
func TestRunningSinceIsFirstReportOfRunning(t *testing.T) {
	attempt := newAttempt(clustertest.New())
	if attempt.ObserveState(protocol.TaskFetching, time.Unix(1, 0)) || !attempt.StartSent {
		t.Error("an attempt that fetches its image counts as running, or as never started")
	}
	if !attempt.ObserveState(protocol.TaskRunning, time.Unix(2, 0)) || attempt.ObserveState(protocol.TaskRunning, time.Unix(3, 0)) {
		t.Error("not first seen running once")
	}
	if !attempt.RunningSince.Equal(time.Unix(2, 0)) {
		t.Errorf("running since %v", attempt.RunningSince)
	}
	attempt.ObserveExit()
	if attempt.ReportedState != protocol.TaskExited {
		t.Errorf("state %s", attempt.ReportedState)
	}
}

// TestGangStopEndsWithItsLastAttempt: a stop without attempts would never end, and one with
// attempts ends with the last of them.
func TestGangStopEndsWithItsLastAttempt(t *testing.T) {
	c := clustertest.New()
	attempt := newAttempt(c)
	job := attempt.Job
	if job.EndStop() || !job.BeginStop() || job.EndStop() {
		t.Error("the stop ends before it begins, or while an attempt is left")
	}
	c.RemoveAttempt(attempt)
	if !job.EndStop() || job.Stopping || job.BeginStop() || job.Stopping {
		t.Errorf("stopping %v without attempts", job.Stopping)
	}
}

// TestFinalPhase: a job that is cancelled ends when its attempts are gone, even if its tasks
// are done; another ends when all tasks are done.
func TestFinalPhase(t *testing.T) {
	c := clustertest.New()
	attempt := newAttempt(c)
	job := attempt.Job
	if job.FinalPhase() != "" {
		t.Errorf("phase %q at once", job.FinalPhase())
	}
	if !job.CompleteTask(0) || job.CompleteTask(0) || job.DoneTasks != 1 || job.FinalPhase() != protocol.PhaseDone {
		t.Errorf("%d tasks done, phase %q", job.DoneTasks, job.FinalPhase())
	}
	if !job.Cancel() || job.Cancel() || job.FinalPhase() != "" {
		t.Errorf("cancelled, an attempt left: phase %q", job.FinalPhase())
	}
	c.RemoveAttempt(attempt)
	if job.FinalPhase() != protocol.PhaseCancelled {
		t.Errorf("phase %q", job.FinalPhase())
	}
	job.Write.Dirty[0] = true
	if job.Finish(); !job.Finished || len(job.Write.Dirty) != 0 {
		t.Errorf("finished %v, %d records to write", job.Finished, len(job.Write.Dirty))
	}
}

// TestRepeatedMachineMarksReturnFalse: cordon, quarantine and deletion are each decided once.
func TestRepeatedMachineMarksReturnFalse(t *testing.T) {
	c := clustertest.New()
	machine := c.AddMachine("i-1", "big", "a")
	for name, mark := range map[string]func() bool{"cordon": machine.Cordon, "quarantine": machine.Quarantine, "deletion": machine.MarkDeleting} {
		if !mark() || mark() {
			t.Errorf("%s is not decided exactly once", name)
		}
	}
	if c.Schedulable(machine) {
		t.Error("the machine takes tasks")
	}
}

// TestSplitRecordKeepsEachTaskInOneRecord: however often records are split, each task is in
// exactly one, the one that RecordOf names.
func TestSplitRecordKeepsEachTaskInOneRecord(t *testing.T) {
	c := clustertest.New()
	job := c.AddJob(clustertest.Array(9))
	for _, record := range []int{0, 1, 0} {
		if part := job.SplitRecord(record); job.Records.UnnamedParts[part] != record {
			t.Errorf("part %d is split from %d", part, job.Records.UnnamedParts[part])
		}
	}
	seen := map[int]bool{}
	for record := range job.Records.Revisions {
		for _, index := range job.TasksOf(record) {
			if seen[index] || job.RecordOf(index) != record {
				t.Errorf("task %d is in record %d, and RecordOf says %d", index, record, job.RecordOf(index))
			}
			seen[index] = true
		}
	}
	if len(seen) != 9 || job.BaseRecords() != 1 {
		t.Errorf("%d tasks are in records, of which %d are no extra parts", len(seen), job.BaseRecords())
	}
}
