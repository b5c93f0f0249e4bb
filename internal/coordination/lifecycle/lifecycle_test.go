package lifecycle_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// testLeader is a cluster model and a record of what the package lifecycle asked the leader for.
type testLeader struct {
	*clustertest.Cluster
	*lifecycle.Manager
	scheduling bool
	changed    map[*cluster.Job]bool
	recorded   map[*cluster.Machine]bool
	pending    map[*cluster.Machine]bool
	unreadable map[protocol.JobID]bool
}

func newTestLeader() *testLeader {
	l := &testLeader{Cluster: clustertest.New(), changed: map[*cluster.Job]bool{}, recorded: map[*cluster.Machine]bool{},
		pending: map[*cluster.Machine]bool{}, unreadable: map[protocol.JobID]bool{}}
	l.Manager = lifecycle.New(l.State, reconcile.NewRecoveryPhase(), l, slog.New(slog.DiscardHandler), &lifecycle.Counters{})
	return l
}

func (l *testLeader) RequestScheduling()                       { l.scheduling = true }
func (l *testLeader) RecordChanged(job *cluster.Job, _ int)    { l.changed[job] = true }
func (l *testLeader) RecordMachine(machine *cluster.Machine)   { l.recorded[machine] = true }
func (l *testLeader) CommandsPending(machine *cluster.Machine) { l.pending[machine] = true }
func (l *testLeader) Unreadable(id protocol.JobID) bool        { return l.unreadable[id] }

// addRunningJob adds a job whose tasks all run on one machine.
func (l *testLeader) addRunningJob(spec protocol.Job, machine *cluster.Machine) *cluster.Job {
	job := l.AddJob(spec)
	l.PlaceAll(job, machine)
	l.Run(job)
	return job
}

// TestTasksOfGangStopTogether: if one task of a gang is proven gone, all others stop at once, and
// their machines are reserved for the gang's next attempt. Once they are gone too, the gang can
// start again.
func TestTasksOfGangStopTogether(t *testing.T) {
	l := newTestLeader()
	machine := l.AddMachine("i-1", "big", "a")
	job := l.addRunningJob(clustertest.Gang(3, 1), machine)
	l.RemoveGone(job.SortedAttempts()[0], lifecycle.ExitReported)
	if len(job.Attempts) != 2 || clustertest.Stopping(job) != 2 || !job.Stopping || !l.pending[machine] || !l.scheduling {
		t.Errorf("%d attempts, %d of them stopping, commands pending: %v", len(job.Attempts), clustertest.Stopping(job), l.pending[machine])
	}
	if !job.SurvivingMachines[machine.ID] || machine.ReservedFor != job {
		t.Errorf("surviving machines %v, machine reserved for %v", job.SurvivingMachines, machine.ReservedFor)
	}
	for _, attempt := range job.SortedAttempts() {
		l.RemoveGone(attempt, lifecycle.ExitReported)
	}
	if job.Stopping || len(job.Attempts) != 0 {
		t.Errorf("gang stopping: %v, with %d attempts left", job.Stopping, len(job.Attempts))
	}
}

// TestTasksOfGangCompleteTogether: if one task of a gang is done, all are, and the job's record is
// written. The tasks of an array complete one by one, and the replicas of a service never.
func TestTasksOfGangCompleteTogether(t *testing.T) {
	l := newTestLeader()
	machine := l.AddMachine("i-1", "big", "a")
	gang, array, service := l.addRunningJob(clustertest.Gang(2, 1), machine), l.addRunningJob(clustertest.Array(2), machine), l.addRunningJob(clustertest.Service(1, 1), machine)
	for _, job := range []*cluster.Job{gang, array, service} {
		l.MarkDone(job, 0)
	}
	if !gang.Complete() || !l.changed[gang] {
		t.Errorf("%d tasks of the gang are done, want all and a changed record", gang.DoneTasks)
	}
	if array.DoneTasks != 1 || !l.changed[array] {
		t.Errorf("%d tasks of the array are done, want 1 and a changed record", array.DoneTasks)
	}
	if service.DoneTasks != 0 || l.changed[service] {
		t.Error("a replica is marked as done")
	}
}

// TestStopRemovesAttemptWhoseStartWasNotSent: an attempt whose start was never sent is removed at
// once, unless its placement is in a transaction in flight. Any other attempt is told to stop. A
// later stop request never gives it more time than an earlier one.
func TestStopRemovesAttemptWhoseStartWasNotSent(t *testing.T) {
	l := newTestLeader()
	machine := l.AddMachine("i-1", "big", "a")
	planned, inFlight := l.AddJob(clustertest.Array(1)), l.AddJob(clustertest.Array(1))
	l.PlaceAll(planned, machine)
	l.PlaceAll(inFlight, machine)
	inFlight.Write.InFlight = true
	for _, job := range []*cluster.Job{planned, inFlight} {
		l.Stop(job.Tasks[0].Active, 0)
	}
	if len(planned.Attempts) != 0 || len(inFlight.Attempts) != 1 || clustertest.Stopping(inFlight) != 1 {
		t.Errorf("%d attempts left of the planned job, want 0; %d of the job in the transaction, want 1 that is stopping", len(planned.Attempts), len(inFlight.Attempts))
	}
	attempt := l.addRunningJob(clustertest.Array(1), machine).Tasks[0].Active
	for _, c := range []struct{ graceS, want float64 }{{20, 20}, {30, 20}, {5, 5}} {
		if l.Stop(attempt, c.graceS); attempt.GraceS != c.want || !l.pending[machine] {
			t.Errorf("stop requested with a grace of %v s: the grace is now %v s", c.graceS, attempt.GraceS)
		}
	}
}

// TestDrainStopsTasksThatCanSave: a drained machine takes no more tasks. Tasks that can save their
// progress stop. Tasks that cannot, and replicas, run on; on a quarantined machine only replicas
// do.
func TestDrainStopsTasksThatCanSave(t *testing.T) {
	for _, quarantined := range []bool{false, true} {
		l := newTestLeader()
		machine := l.AddMachine("i-1", "big", "a")
		saves := clustertest.Array(1)
		saves.CheckpointIntervalS, saves.CheckpointSaveS = 60, 7
		saving, plain, service := l.addRunningJob(saves, machine), l.addRunningJob(clustertest.Array(1), machine), l.addRunningJob(clustertest.Service(1, 1), machine)
		machine.Quarantined = quarantined
		l.Drain(machine)
		if !machine.Cordoned || !l.recorded[machine] || !l.scheduling {
			t.Error("the machine is not cordoned, its record is not written, or no scheduling cycle is requested")
		}
		attempt := saving.Tasks[0].Active
		if !attempt.Stopping || attempt.GraceS != 7+tuning.StopGraceSeconds {
			t.Errorf("task that can save: stopping %v with a grace of %v s", attempt.Stopping, attempt.GraceS)
		}
		if plain.Tasks[0].Active.Stopping != quarantined || service.Tasks[0].Active.Stopping {
			t.Errorf("machine quarantined %v: task that cannot save stopping %v, replica stopping %v", quarantined, plain.Tasks[0].Active.Stopping, service.Tasks[0].Active.Stopping)
		}
	}
}

// TestFailuresAreAttributed: a machine on which several jobs fail is quarantined. A job that fails
// on several machines is retried after a backoff, and its failures count against none of them.
func TestFailuresAreAttributed(t *testing.T) {
	l := newTestLeader()
	failed := &protocol.TaskStatus{State: protocol.TaskExited, Cause: protocol.CauseError}
	machine := l.AddMachine("i-1", "big", "a")
	for i := range tuning.MaxMachineFailures {
		if machine.Quarantined {
			t.Fatalf("machine quarantined after only %d failed jobs", i)
		}
		job := l.addRunningJob(clustertest.Array(1), machine)
		l.HandleExit(job.Tasks[0].Active, failed)
		if !l.Avoids(job, machine) {
			t.Error("the job does not avoid the machine on which it failed")
		}
	}
	if !machine.Quarantined || !machine.Cordoned {
		t.Errorf("machine quarantined %v, cordoned %v, want both", machine.Quarantined, machine.Cordoned)
	}
	job := l.AddJob(clustertest.Array(1))
	for i := range tuning.MaxJobFailures {
		other := l.AddMachine(protocol.MachineID("i-1"+string(rune('0'+i))), "small", "b")
		l.HandleExit(l.AddAttempt(job, 0, protocol.AttemptNumber(i+1), other, 1), failed)
	}
	if job.Failures.AttributedToJob != 1 || !job.RetryAt.Equal(l.Now().Add(tuning.FailureBackoff)) || len(job.Failures.AvoidUntil) != 0 {
		t.Errorf("failures attributed to the job %d times, next retry at %v", job.Failures.AttributedToJob, job.RetryAt)
	}
	for _, other := range l.OrderedMachines {
		if other.FailedJobs[job.ID] || other != machine && other.Quarantined {
			t.Errorf("%s: the job's failure counts against it, or it is wrongly quarantined (quarantined %v)", other.ID, other.Quarantined)
		}
	}
}

// TestReplicaBackoff: a replica that repeatedly ends soon after its start is restarted with growing
// pauses. A replica that ran for long enough is stable.
func TestReplicaBackoff(t *testing.T) {
	l := newTestLeader()
	machine := l.AddMachine("i-1", "big", "a")
	job := l.addRunningJob(clustertest.Service(1, 1), machine)
	task, exit := &job.Tasks[0], &protocol.TaskStatus{State: protocol.TaskExited, Cause: protocol.CauseDone}
	for i, want := range []time.Duration{0, tuning.ReplicaRestartBackoff, 2 * tuning.ReplicaRestartBackoff} {
		l.HandleExit(task.Active, exit)
		if got := max(0, task.RetryAt.Sub(l.Now())); got != want {
			t.Errorf("early exit %d: restart after %v, want %v", i+1, got, want)
		}
	}
	l.Advance(tuning.ReplicaStableTime)
	if l.HandleExit(task.Active, exit); task.EarlyExits != 0 {
		t.Errorf("%d early exits counted for a stable replica, want 0", task.EarlyExits)
	}
}

// TestJobWithUnreadableRecordIsNotStopped: a gang that seems incomplete is not stopped while one of
// its records cannot be read, unless its user cancels it.
func TestJobWithUnreadableRecordIsNotStopped(t *testing.T) {
	l := newTestLeader()
	job := l.addRunningJob(clustertest.Gang(2, 1), l.AddMachine("i-1", "big", "a"))
	l.unreadable[job.ID] = true
	l.State.RemoveAttempt(job.SortedAttempts()[0])
	if l.CheckEnded(job); clustertest.Stopping(job) != 0 || l.changed[job] {
		t.Errorf("%d attempts stopping, record changed %v, want neither", clustertest.Stopping(job), l.changed[job])
	}
	job.Cancelled = true
	if l.CheckEnded(job); clustertest.Stopping(job) != 1 {
		t.Errorf("%d attempts stopping after the cancellation, want 1", clustertest.Stopping(job))
	}
}
