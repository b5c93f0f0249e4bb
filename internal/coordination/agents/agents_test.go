package agents_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

const testTerm protocol.Term = 7

// testLeader stands for the leader: it is the Environment of all parts, rents machines, and
// keeps the calls to agents until a test answers them.
type testLeader struct {
	*agents.Manager
	state     *clustertest.Cluster
	lifecycle *lifecycle.Manager
	scheduler *scheduler.Scheduler
	calls     []testCall
	logged    map[string]bool
}

// testCall is a call to an agent that is under way.
type testCall struct {
	machine *cluster.Machine
	done    func(agents.CallResult)
}

func newTestLeader() *testLeader {
	l := &testLeader{state: clustertest.New(), logged: map[string]bool{}}
	log, recovery := slog.New(slog.DiscardHandler), reconcile.NewRecoveryPhase()
	state := l.state.State
	l.lifecycle = lifecycle.New(state, recovery, l, log)
	l.scheduler = scheduler.New(state, l, log)
	l.Manager = agents.New(agents.Dependencies{State: state, Lifecycle: l.lifecycle, Recovery: recovery, Scheduler: l.scheduler,
		Fleet: l, Client: l, Environment: l, Log: log, Term: testTerm})
	return l
}

func (l *testLeader) SendCommands(machine *cluster.Machine, _ protocol.CommandBatch, done func(agents.CallResult)) {
	l.calls = append(l.calls, testCall{machine, done})
}

func (l *testLeader) RequestHeartbeat(machine *cluster.Machine, done func(agents.CallResult)) {
	l.calls = append(l.calls, testCall{machine, done})
}

func (l *testLeader) Booting(*cluster.Machine) bool                    { return false }
func (l *testLeader) Deleted(protocol.MachineID) bool                  { return false }
func (l *testLeader) DeleteMachine(machine *cluster.Machine, _ string) { machine.Deleting = true }
func (l *testLeader) RequestScheduling()                               {}
func (l *testLeader) RecordMachine(*cluster.Machine)                   {}
func (l *testLeader) RecordChanged(job *cluster.Job, record int)       { job.Write.Dirty[record] = true }
func (l *testLeader) TokenConfirmed(*cluster.Machine)                  {}
func (l *testLeader) HigherTokenSeen(*protocol.Heartbeat)              {}
func (l *testLeader) Unreadable(protocol.JobID) bool                   { return false }
func (l *testLeader) LogOnce(_, key string, _ ...any)                  { l.logged[key] = true }
func (l *testLeader) MayCommand() bool                                 { return true }
func (l *testLeader) TaskStarting(*cluster.Attempt)                    {}
func (l *testLeader) Leads() bool                                      { return true }
func (l *testLeader) AllPeersReachable() bool                          { return true }
func (l *testLeader) ConfirmationGrace() time.Duration                 { return testGrace }
func (l *testLeader) CommandsPending(machine *cluster.Machine)         { l.Delivery.Enqueue(machine) }
func (l *testLeader) Recovering() bool                                 { return false }
func (l *testLeader) StartsWithheld(*cluster.Job) bool                 { return false }
func (l *testLeader) AwaitsRecordSplit(*cluster.Job) bool              { return false }
func (l *testLeader) TaskPlaced(attempt *cluster.Attempt)              { attempt.Job.Write.Dirty[0] = true }
func (l *testLeader) Preempt(victim *cluster.Attempt)                  { l.lifecycle.Preempt(victim) }
func (l *testLeader) Stop(attempt *cluster.Attempt, graceS float64) {
	l.lifecycle.Stop(attempt, graceS)
}

const testGrace = 5 * time.Second

// machine is a machine whose agent has shown the token and was answered just now.
func (l *testLeader) machine(id protocol.MachineID, zone protocol.ZoneName) *cluster.Machine {
	machine := l.state.AddMachine(id, "big", zone)
	machine.Record = &cluster.MachineRecord{}
	return machine
}

// job is a job of one shape that waits.
func (l *testLeader) job(shape protocol.Shape, tasks int) *cluster.Job {
	spec := clustertest.Gang(tasks, 1)
	spec.Shape = shape
	return l.state.AddJob(spec)
}

// addRecoveredAttempt enters an attempt that a predecessor's record places on a machine.
func (l *testLeader) addRecoveredAttempt(job *cluster.Job, machine *cluster.Machine) {
	job.Recovered, job.Epoch, job.EverPlaced = true, 3, true
	attempt := l.state.AddAttempt(job, 0, 3, machine, 1)
	attempt.Committed, attempt.StartSent, attempt.Recovered = true, true, true
	job.Tasks[0].LastAttempt, job.Tasks[0].Active = 3, attempt
}

// heartbeat is the next one of a machine's agent.
func heartbeat(machine *cluster.Machine, token protocol.Term, tasks ...protocol.TaskStatus) *protocol.Heartbeat {
	return &protocol.Heartbeat{Machine: machine.ID, Address: "h:1", Type: machine.TypeName, Zone: machine.Zone,
		Incarnation: 1, Sequence: machine.Agent.Sequence + 1, FencingToken: token, Tasks: tasks}
}

// accept takes a heartbeat and gives the kinds of the commands in the response.
func (l *testLeader) accept(t *testing.T, heartbeat *protocol.Heartbeat) (kinds string) {
	t.Helper()
	result := l.Heartbeats.Accept(heartbeat)
	if result.Outcome != agents.Accepted || result.FencingToken != testTerm {
		t.Fatalf("answered %+v", result)
	}
	for _, command := range result.Commands {
		kinds += string(command.Kind) + " "
	}
	return kinds
}

// failCalls ends all calls under way without an answer.
func (l *testLeader) failCalls() {
	calls := l.calls
	l.calls = nil
	for _, call := range calls {
		call.done(agents.CallResult{Outcome: agents.NoResponse})
	}
}

// TestAttemptIsReleasedOnlyAfterTokenConfirmed: until the agent has shown this leader's token its heartbeat
// may be older than a predecessor's start.
func TestAttemptIsReleasedOnlyAfterTokenConfirmed(t *testing.T) {
	l := newTestLeader()
	machine, job := l.machine("i-1", "a"), l.job(protocol.ShapeGang, 1)
	l.addRecoveredAttempt(job, machine)
	l.accept(t, heartbeat(machine, testTerm-1))
	if len(job.Attempts) != 1 {
		t.Fatal("gone by a heartbeat that has not seen the token")
	}
	l.accept(t, heartbeat(machine, testTerm))
	if len(job.Attempts) != 0 {
		t.Error("still there after a heartbeat that has")
	}
}

// TestRecoveredAttemptIsNeverStarted: what a predecessor placed may have ended and its
// capacity and quota been given to others, so it is never started again as it is.
func TestRecoveredAttemptIsNeverStarted(t *testing.T) {
	l := newTestLeader()
	machine := l.machine("i-1", "a")
	l.addRecoveredAttempt(l.job(protocol.ShapeGang, 1), machine)
	for _, token := range []protocol.Term{testTerm - 1, testTerm} {
		if got := l.accept(t, heartbeat(machine, token)); got != "" {
			t.Errorf("token %d: commands %s", token, got)
		}
	}
}

// TestUnansweredStartPinsAttempt: a direct start that was not answered may arrive at any
// later time. Its attempt is kept, made to exist, and never forgotten.
func TestUnansweredStartPinsAttempt(t *testing.T) {
	l := newTestLeader()
	machine, job := l.machine("i-1", "a"), l.job(protocol.ShapeGang, 1)
	l.scheduler.RunCycle()
	clear(job.Write.Dirty)
	attempt := job.SortedAttempts()[0]
	attempt.Committed = true
	l.Delivery.Enqueue(machine)
	l.Delivery.SendPending()
	if len(l.calls) != 1 || l.calls[0].machine != machine || attempt.StartsInFlight != 1 {
		t.Fatalf("%d calls, %d starts under way", len(l.calls), attempt.StartsInFlight)
	}
	l.failCalls()
	l.accept(t, heartbeat(machine, testTerm))
	l.accept(t, heartbeat(machine, testTerm))
	if len(job.Attempts) != 1 {
		t.Fatal("gone while its start may be on its way")
	}
	l.Stop(attempt, 0)
	if got := l.accept(t, heartbeat(machine, testTerm)); got != "start halt " {
		t.Errorf("commands %q", got)
	}
	exited := protocol.TaskStatus{Task: protocol.TaskName(job.ID, 0), Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseStopped}
	if got := l.accept(t, heartbeat(machine, testTerm, exited)); got != "" {
		t.Errorf("commands %q: the attempt must not be forgotten", got)
	}
	if len(job.Attempts) != 0 {
		t.Error("still there after its exit")
	}
}

// TestStartInFlightPinsAttempt: while a direct start is under way its attempt is not forgotten
// either, though a heartbeat shows that it has exited.
func TestStartInFlightPinsAttempt(t *testing.T) {
	l := newTestLeader()
	machine, job := l.machine("i-1", "a"), l.job(protocol.ShapeGang, 1)
	l.scheduler.RunCycle()
	clear(job.Write.Dirty)
	job.SortedAttempts()[0].Committed = true
	l.Delivery.Enqueue(machine)
	l.Delivery.SendPending()
	exited := protocol.TaskStatus{Task: protocol.TaskName(job.ID, 0), Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseStopped}
	for range 2 {
		if got := l.accept(t, heartbeat(machine, testTerm, exited)); got != "" || len(job.Attempts) != 0 {
			t.Errorf("commands %q, %d attempts", got, len(job.Attempts))
		}
	}
}

// TestLeaseExpiryIncludesPreviousLeadersGrace: a predecessor may have answered an agent until the
// end of its grace, so its lease expires that much later.
func TestLeaseExpiryIncludesPreviousLeadersGrace(t *testing.T) {
	l := newTestLeader()
	start := l.state.Now()
	machine, job := l.state.EnsureMachine("i-1", "h:1", "big", "a", false), l.job(protocol.ShapeGang, 1)
	l.addRecoveredAttempt(job, machine)
	lease := config.Seconds(l.state.Config.Cluster.Agents.LeaseS)
	l.state.Advance(start.Add(lease + testGrace - time.Second).Sub(l.state.Now()))
	l.Liveness.Tick()
	if len(job.Attempts) != 1 {
		t.Fatal("presumed gone within the predecessor's grace")
	}
	l.state.Advance(start.Add(lease + testGrace + 3*time.Second).Sub(l.state.Now()))
	l.Liveness.Tick()
	if len(job.Attempts) != 0 {
		t.Error("not gone after grace and lease")
	}
}

// TestRestartWithinAnsweredLeaseStopsScheduling: a newer incarnation of an agent that was answered all the
// time shows that the answers do not reach it.
func TestRestartWithinAnsweredLeaseStopsScheduling(t *testing.T) {
	l := newTestLeader()
	machine := l.machine("i-1", "a")
	for range 6 {
		l.state.Advance(4 * time.Second)
		l.accept(t, heartbeat(machine, testTerm))
	}
	if !l.state.Schedulable(machine) {
		t.Fatal("takes no work")
	}
	l.state.Advance(4 * time.Second)
	restarted := heartbeat(machine, testTerm)
	restarted.Incarnation, restarted.Sequence = 2, 1
	l.accept(t, restarted)
	if l.state.Schedulable(machine) {
		t.Error("takes new work")
	}
}

// TestAgentWithoutHeartbeatsTakesNoWork: an agent that answers calls while no heartbeat of
// it comes loses its tasks with its lease, so it gets none; it is asked for none of its
// capacity.
func TestAgentWithoutHeartbeatsTakesNoWork(t *testing.T) {
	l := newTestLeader()
	machine := l.machine("i-1", "a")
	for range int(config.Seconds(l.state.Config.Cluster.Agents.LeaseS) / time.Second) {
		l.state.Advance(time.Second)
		l.Heartbeats.ObserveCallResult(machine, agents.CallResult{Outcome: agents.Executed, Heartbeat: heartbeat(machine, testTerm)})
	}
	if !l.state.ConfirmedAlive(machine) || l.state.Schedulable(machine) {
		t.Errorf("alive %v, takes work %v", l.state.ConfirmedAlive(machine), l.state.Schedulable(machine))
	}
	l.accept(t, heartbeat(machine, testTerm))
	if !l.state.Schedulable(machine) {
		t.Error("takes no work though its heartbeats come again")
	}
}

// TestSilentZoneIsDeletedOnlyAfterBootTime: when a whole zone falls silent its machines are not
// returned at once, though they are only a third of all: they are back when the cut ends.
// Two that die in a zone that goes on sending heartbeats are.
func TestSilentZoneIsDeletedOnlyAfterBootTime(t *testing.T) {
	for _, c := range []struct{ silent, returned int }{{2, 2}, {8, 0}} {
		l := newTestLeader()
		start := l.state.Now()
		for i := range 24 {
			l.machine(protocol.MachineID(fmt.Sprintf("i-%02d", i)), []protocol.ZoneName{"a", "b", "c"}[i/8])
		}
		returned := func(till time.Duration) (n int) {
			for ; l.state.Now().Sub(start) < till; l.state.Advance(tuning.MachineSweepInterval) {
				for i, machine := range l.state.OrderedMachines {
					if i >= c.silent {
						machine.Agent.LastHeartbeat, machine.Agent.RespondedAt = l.state.Now(), l.state.Now()
					}
				}
				l.Liveness.Tick()
				l.failCalls()
			}
			for _, machine := range l.state.OrderedMachines {
				if machine.Deleting {
					n++
				}
			}
			return n
		}
		lease := config.Seconds(l.state.Config.Cluster.Agents.LeaseS)
		if n := returned(lease); n != c.returned {
			t.Errorf("%d silent: %d returned within the lease", c.silent, n)
		}
		if n := returned(3*lease + config.Seconds(clustertest.BigType.BootS)); n != c.silent {
			t.Errorf("%d silent: %d returned in the end", c.silent, n)
		}
	}
}

// TestMachineWithUnreadableHeartbeatsIsDeleted: heartbeats with an entry that names no task prove nothing absent,
// are logged once, and after a lease the machine that sends them is returned, which proves it.
func TestMachineWithUnreadableHeartbeatsIsDeleted(t *testing.T) {
	l := newTestLeader()
	machine, job := l.machine("i-1", "a"), l.job(protocol.ShapeArray, 2)
	l.addRecoveredAttempt(job, machine)
	nonsense := protocol.TaskStatus{Task: "?", Attempt: 1, State: "dreaming"}
	for range 5 {
		l.accept(t, heartbeat(machine, testTerm, nonsense))
		if len(job.Attempts) != 1 || machine.Deleting || len(l.logged) != 1 {
			t.Fatalf("%d attempts, deleting %v, %d logged", len(job.Attempts), machine.Deleting, len(l.logged))
		}
		l.state.Advance(config.Seconds(l.state.Config.Cluster.Agents.LeaseS / 4.9))
	}
	l.accept(t, heartbeat(machine, testTerm, nonsense))
	if !machine.Deleting {
		t.Error("the machine is kept though nothing is ever proven of it")
	}
}

// TestUnrecordedAttemptIsStopped: an attempt above all that the records have is stopped, once,
// when a current heartbeat shows it; the next attempt of the task is numbered above it, unless
// its number is beyond reason.
func TestUnrecordedAttemptIsStopped(t *testing.T) {
	for _, number := range []protocol.AttemptNumber{9, tuning.MaxTrustedAttempt + 1} {
		l := newTestLeader()
		machine, job := l.machine("i-1", "a"), l.job(protocol.ShapeArray, 2)
		running := protocol.TaskStatus{Task: protocol.TaskName(job.ID, 1), Attempt: number, State: protocol.TaskRunning}
		if got := l.accept(t, heartbeat(machine, testTerm-1, running)); got != "" || job.Tasks[1].LiveAttempts != 1 {
			t.Errorf("by what may be a late copy: commands %q, %d counted", got, job.Tasks[1].LiveAttempts)
		}
		if got := l.accept(t, heartbeat(machine, testTerm, running)); got != "halt " {
			t.Errorf("commands %q", got)
		}
		l.accept(t, heartbeat(machine, testTerm))
		l.scheduler.RunCycle()
		want := number + 1
		if number > tuning.MaxTrustedAttempt {
			want = 1
		}
		if attempt := job.Tasks[1].Active; attempt == nil || attempt.Key.Number != want {
			t.Errorf("placed again as %+v, want attempt %d", attempt, want)
		}
	}
}
