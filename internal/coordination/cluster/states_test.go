package cluster_test

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/protocol"
)

// newAttempt returns the only attempt of a gang of one task.
func newAttempt(c *clustertest.Cluster) *cluster.Attempt {
	job := c.AddJob(clustertest.Gang(1, 1))
	c.PlaceAll(job, c.AddMachine("i-1", "big", "a"))
	return job.Tasks[0].Active
}

// TestRecoveredAttemptMayHaveStarted: an attempt that a previous leader placed is committed,
// and its start may have been sent. The same holds for an orphaned attempt.
func TestRecoveredAttemptMayHaveStarted(t *testing.T) {
	recovered, orphaned := newAttempt(clustertest.New()), newAttempt(clustertest.New())
	recovered.MarkRecovered()
	orphaned.MarkOrphaned()
	if !recovered.Committed || !recovered.StartSent || !recovered.Recovered || recovered.Orphaned {
		t.Errorf("recovered attempt: %+v", recovered)
	}
	if !orphaned.Committed || !orphaned.StartSent || !orphaned.Recovered || !orphaned.Orphaned {
		t.Errorf("orphaned attempt: %+v", orphaned)
	}
}

// TestUnansweredDirectStartMayArriveAtAnyTime: a direct start command that got a response cannot
// arrive any more. One without a response may arrive at any time.
func TestUnansweredDirectStartMayArriveAtAnyTime(t *testing.T) {
	attempt := newAttempt(clustertest.New())
	attempt.BeginDirectStart(time.Unix(1, 0))
	if !attempt.StartMayArrive() {
		t.Error("a start in flight counts as unable to arrive")
	}
	attempt.EndDirectStart()
	if attempt.StartMayArrive() || attempt.StartsInFlight != 0 {
		t.Error("a start that got a response may still arrive, or counts as in flight")
	}
	attempt.BeginDirectStart(time.Unix(2, 0))
	attempt.MarkDirectStartUnanswered()
	if !attempt.StartMayArrive() || attempt.StartsInFlight != 0 {
		t.Errorf("start may arrive: %v, %d starts in flight", attempt.StartMayArrive(), attempt.StartsInFlight)
	}
}

// TestRepeatedStopOnlyShortensGrace: a later stop request never gives an attempt more time. One
// that shortens the grace period has the stop command sent again.
func TestRepeatedStopOnlyShortensGrace(t *testing.T) {
	attempt := newAttempt(clustertest.New())
	for _, step := range []struct{ request, want float64 }{{30, 30}, {60, 30}, {5, 5}, {30, 5}} {
		attempt.MarkStopSent(time.Unix(9, 0))
		shorter := !attempt.Stopping || step.request < attempt.GraceS
		attempt.RequestStop(step.request)
		if !attempt.Stopping || attempt.GraceS != step.want || attempt.StopSentAt.IsZero() != shorter {
			t.Errorf("after a request of %v s: grace period %v s, stop sent at %v", step.request, attempt.GraceS, attempt.StopSentAt)
		}
	}
}

// TestRunningSinceIsFirstReportOfRunning: later heartbeats do not change RunningSince. Any
// reported state shows that a start was sent.
func TestRunningSinceIsFirstReportOfRunning(t *testing.T) {
	attempt := newAttempt(clustertest.New())
	if attempt.ObserveState(protocol.TaskFetching, time.Unix(1, 0)) || !attempt.StartSent {
		t.Error("an attempt that fetches its image counts as running, or its start as not sent")
	}
	if !attempt.ObserveState(protocol.TaskRunning, time.Unix(2, 0)) || attempt.ObserveState(protocol.TaskRunning, time.Unix(3, 0)) {
		t.Error("ObserveState does not return true exactly once for a running attempt")
	}
	if !attempt.RunningSince.Equal(time.Unix(2, 0)) {
		t.Errorf("running since %v", attempt.RunningSince)
	}
	attempt.ObserveExit()
	if attempt.ReportedState != protocol.TaskExited {
		t.Errorf("reported state %s after the exit", attempt.ReportedState)
	}
}

// TestGangStopEndsWithItsLastAttempt: a stop ends when the last attempt is gone. A gang without
// attempts cannot be stopped, because that stop would never end.
func TestGangStopEndsWithItsLastAttempt(t *testing.T) {
	c := clustertest.New()
	attempt := newAttempt(c)
	job := attempt.Job
	if job.EndStop() || !job.BeginStop() || job.EndStop() {
		t.Error("the stop does not begin, or it ends before it begins or while an attempt is left")
	}
	c.RemoveAttempt(attempt)
	if !job.EndStop() || job.Stopping || job.BeginStop() || job.Stopping {
		t.Errorf("without attempts the stop does not end, or another one begins; Stopping is %v", job.Stopping)
	}
}

// TestFinalPhase: a cancelled job ends when its attempts are gone, even if its tasks are done.
// Any other job ends when all its tasks are done.
func TestFinalPhase(t *testing.T) {
	c := clustertest.New()
	attempt := newAttempt(c)
	job := attempt.Job
	if job.FinalPhase() != "" {
		t.Errorf("final phase %q before any task is done", job.FinalPhase())
	}
	if !job.CompleteTask(0) || job.CompleteTask(0) || job.DoneTasks != 1 || job.FinalPhase() != protocol.PhaseDone {
		t.Errorf("%d tasks done, final phase %q", job.DoneTasks, job.FinalPhase())
	}
	if !job.Cancel() || job.Cancel() || job.FinalPhase() != "" {
		t.Errorf("Cancel does not return true exactly once, or the final phase is %q with an attempt left", job.FinalPhase())
	}
	c.RemoveAttempt(attempt)
	if job.FinalPhase() != protocol.PhaseCancelled {
		t.Errorf("final phase %q after cancellation without attempts", job.FinalPhase())
	}
	job.Write.Dirty[0] = true
	if job.Finish(); !job.Finished || len(job.Write.Dirty) != 0 {
		t.Errorf("finished: %v, %d records still to be written", job.Finished, len(job.Write.Dirty))
	}
}

// TestRepeatedMachineMarksReturnFalse: only the first call of Cordon, Quarantine and
// MarkDeleting returns true.
func TestRepeatedMachineMarksReturnFalse(t *testing.T) {
	c := clustertest.New()
	machine := c.AddMachine("i-1", "big", "a")
	for name, mark := range map[string]func() bool{
		"cordon":     func() bool { return machine.Cordon(c.Now()) },
		"quarantine": func() bool { return machine.Quarantine(c.Now()) },
		"deletion":   machine.MarkDeleting,
	} {
		if !mark() || mark() {
			t.Errorf("%s: the first call does not return true, or the second does not return false", name)
		}
	}
	if c.Schedulable(machine) {
		t.Error("the machine still accepts tasks")
	}
}

// TestSplitRecordKeepsEachTaskInOneRecord: however often records are split, each task is in
// exactly one of them, the one that RecordOf returns.
func TestSplitRecordKeepsEachTaskInOneRecord(t *testing.T) {
	c := clustertest.New()
	job := c.AddJob(clustertest.Array(9))
	for _, record := range []int{0, 1, 0} {
		if part := job.SplitRecord(record); job.Records.UnreferencedParts[part] != record {
			t.Errorf("part %d counts as split from record %d", part, job.Records.UnreferencedParts[part])
		}
	}
	seen := map[int]bool{}
	for record := range job.Records.Revisions {
		for _, index := range job.TasksOf(record) {
			if seen[index] || job.RecordOf(index) != record {
				t.Errorf("task %d is in record %d or in several; RecordOf returns %d", index, record, job.RecordOf(index))
			}
			seen[index] = true
		}
	}
	if len(seen) != 9 || job.BaseRecords() != 1 {
		t.Errorf("%d tasks are in records, and there are %d base records", len(seen), job.BaseRecords())
	}
}
