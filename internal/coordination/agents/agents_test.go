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

// testLeader stands in for the leader. It implements Environment, Fleet and Client, and keeps the
// calls to agents until a test ends them.
type testLeader struct {
	*agents.Manager
	state     *clustertest.Cluster
	lifecycle *lifecycle.Manager
	scheduler *scheduler.Scheduler
	calls     []testCall
	logged    map[string]bool
	deleted   map[protocol.MachineID]bool
	counters  agents.Counters
}

// testCall is a call to an agent that is in flight.
type testCall struct {
	machine *cluster.Machine
	done    func(agents.CallResult)
}

func newTestLeader() *testLeader {
	l := &testLeader{state: clustertest.New(), logged: map[string]bool{}}
	log, recovery := slog.New(slog.DiscardHandler), reconcile.NewRecoveryPhase()
	state := l.state.State
	l.lifecycle = lifecycle.New(state, recovery, l, log, &lifecycle.Counters{})
	l.scheduler = scheduler.New(state, l, log)
	l.Manager = agents.New(agents.Dependencies{State: state, Lifecycle: l.lifecycle, Recovery: recovery, Scheduler: l.scheduler,
		Fleet: l, Client: l, Environment: l, Log: log, Counters: &l.counters, Term: testTerm})
	return l
}

func (l *testLeader) SendCommands(machine *cluster.Machine, _ protocol.CommandBatch, done func(agents.CallResult)) {
	l.calls = append(l.calls, testCall{machine, done})
}

func (l *testLeader) RequestHeartbeat(machine *cluster.Machine, done func(agents.CallResult)) {
	l.calls = append(l.calls, testCall{machine, done})
}

func (l *testLeader) Booting(*cluster.Machine) bool                           { return false }
func (l *testLeader) Deleted(id protocol.MachineID) bool                      { return l.deleted[id] }
func (l *testLeader) DeleteMachine(machine *cluster.Machine, _ string)        { machine.Deleting = true }
func (l *testLeader) RequestScheduling()                                      {}
func (l *testLeader) RecordMachine(*cluster.Machine)                          {}
func (l *testLeader) RecordChanged(job *cluster.Job, record int)              { job.Write.Dirty[record] = true }
func (l *testLeader) TokenConfirmed(*cluster.Machine)                         {}
func (l *testLeader) HigherTokenSeen(*protocol.Heartbeat)                     {}
func (l *testLeader) Unreadable(protocol.JobID) bool                          { return false }
func (l *testLeader) LogOnce(_, key string, _ ...any)                         { l.logged[key] = true }
func (l *testLeader) MayCommand() bool                                        { return true }
func (l *testLeader) TaskStarting(*cluster.Attempt)                           {}
func (l *testLeader) Leads() bool                                             { return true }
func (l *testLeader) AllPeersReachable() bool                                 { return true }
func (l *testLeader) ConfirmationGrace() time.Duration                        { return testGrace }
func (l *testLeader) CommandsPending(machine *cluster.Machine)                { l.Delivery.Enqueue(machine) }
func (l *testLeader) Recovering() bool                                        { return false }
func (l *testLeader) StartsWithheld(*cluster.Job) bool                        { return false }
func (l *testLeader) AwaitsRecordSplit(*cluster.Job) bool                     { return false }
func (l *testLeader) MachinesObtainable(*cluster.Job, protocol.ZoneName) bool { return true }
func (l *testLeader) TaskPlaced(attempt *cluster.Attempt)                     { attempt.Job.Write.Dirty[0] = true }
func (l *testLeader) Preempt(victim *cluster.Attempt)                         { l.lifecycle.Preempt(victim) }
func (l *testLeader) Stop(attempt *cluster.Attempt, graceS float64) {
	l.lifecycle.Stop(attempt, graceS)
}

const testGrace = 5 * time.Second

// machine adds a machine whose agent has just shown the token and received a response.
func (l *testLeader) machine(id protocol.MachineID, zone protocol.ZoneName) *cluster.Machine {
	machine := l.state.AddMachine(id, "big", zone)
	machine.Record = &cluster.MachineRecord{}
	return machine
}

// job adds a waiting job of the given shape.
func (l *testLeader) job(shape protocol.Shape, tasks int) *cluster.Job {
	spec := clustertest.Gang(tasks, 1)
	spec.Shape = shape
	return l.state.AddJob(spec)
}

// addRecoveredAttempt adds an attempt that the previous leader's record places on a machine.
func (l *testLeader) addRecoveredAttempt(job *cluster.Job, machine *cluster.Machine) {
	job.Recovered, job.Epoch, job.EverPlaced = true, 3, true
	attempt := l.state.AddAttempt(job, 0, 3, machine, 1)
	attempt.Committed, attempt.StartSent, attempt.Recovered = true, true, true
	job.Tasks[0].LastAttempt, job.Tasks[0].Active = 3, attempt
}

// heartbeat returns the next heartbeat of a machine's agent.
func heartbeat(machine *cluster.Machine, token protocol.Term, tasks ...protocol.TaskStatus) *protocol.Heartbeat {
	return &protocol.Heartbeat{Machine: machine.ID, Address: "h:1", Type: machine.TypeName, Zone: machine.Zone,
		Incarnation: 1, Sequence: machine.Agent.Sequence + 1, FencingToken: token, Tasks: tasks}
}

// accept processes a heartbeat and returns the kinds of the commands in the response.
func (l *testLeader) accept(t *testing.T, heartbeat *protocol.Heartbeat) (kinds string) {
	t.Helper()
	result := l.Heartbeats.Accept(heartbeat)
	if result.Outcome != agents.Accepted || result.FencingToken != testTerm {
		t.Fatalf("heartbeat result %+v, want it accepted with the leader's token", result)
	}
	for _, command := range result.Commands {
		kinds += string(command.Kind) + " "
	}
	return kinds
}

// failCalls ends all calls in flight without a response.
func (l *testLeader) failCalls() {
	calls := l.calls
	l.calls = nil
	for _, call := range calls {
		call.done(agents.CallResult{Outcome: agents.NoResponse})
	}
}

// TestAttemptIsReleasedOnlyAfterTokenConfirmed: until the agent has shown this leader's token,
// its heartbeat may be older than a start by the previous leader and does not prove an attempt
// absent.
func TestAttemptIsReleasedOnlyAfterTokenConfirmed(t *testing.T) {
	l := newTestLeader()
	machine, job := l.machine("i-1", "a"), l.job(protocol.ShapeGang, 1)
	l.addRecoveredAttempt(job, machine)
	l.accept(t, heartbeat(machine, testTerm-1))
	if len(job.Attempts) != 1 {
		t.Fatal("attempt released by a heartbeat without the leader's token")
	}
	l.accept(t, heartbeat(machine, testTerm))
	if len(job.Attempts) != 0 {
		t.Error("attempt not released by a heartbeat with the leader's token")
	}
}

// TestRecoveredAttemptIsNeverStarted: an attempt that the previous leader placed may have
// ended, and its capacity and quota may have gone to others, so the same attempt is never started
// again.
func TestRecoveredAttemptIsNeverStarted(t *testing.T) {
	l := newTestLeader()
	machine := l.machine("i-1", "a")
	l.addRecoveredAttempt(l.job(protocol.ShapeGang, 1), machine)
	for _, token := range []protocol.Term{testTerm - 1, testTerm} {
		if got := l.accept(t, heartbeat(machine, token)); got != "" {
			t.Errorf("token %d: commands %s, want none", token, got)
		}
	}
}

// TestUnansweredStartPinsAttempt: a direct start without a response may arrive at any later
// time. Its attempt is kept, is started before it is stopped, and is not forgotten under the same
// fencing token.
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
		t.Fatalf("%d calls, %d starts in flight, want one each", len(l.calls), attempt.StartsInFlight)
	}
	l.failCalls()
	l.accept(t, heartbeat(machine, testTerm))
	l.accept(t, heartbeat(machine, testTerm))
	if len(job.Attempts) != 1 {
		t.Fatal("attempt released while its start may still arrive")
	}
	l.Stop(attempt, 0)
	if got := l.accept(t, heartbeat(machine, testTerm)); got != "start halt " {
		t.Errorf("commands %q, want the start and the stop", got)
	}
	exited := protocol.TaskStatus{Task: protocol.TaskName(job.ID, 0), Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseStopped}
	if got := l.accept(t, heartbeat(machine, testTerm, exited)); got != "" {
		t.Errorf("commands %q: the attempt must not be forgotten", got)
	}
	if len(job.Attempts) != 0 {
		t.Error("attempt not released after its exit")
	}
}

// TestStartInFlightPinsAttempt: while a direct start is in flight, its attempt is not forgotten
// either, even if a heartbeat shows that it has exited.
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
			t.Errorf("commands %q, %d attempts, want none", got, len(job.Attempts))
		}
	}
}

// TestLeaseExpiryIncludesPreviousLeadersGrace: the previous leader may have responded to
// an agent until the end of its grace, so the agent's lease expires that much later.
func TestLeaseExpiryIncludesPreviousLeadersGrace(t *testing.T) {
	l := newTestLeader()
	start := l.state.Now()
	machine, job := l.state.EnsureMachine("i-1", "h:1", "big", "a", false), l.job(protocol.ShapeGang, 1)
	l.addRecoveredAttempt(job, machine)
	lease := config.Seconds(l.state.Config.Cluster.Agents.LeaseS)
	l.state.Advance(start.Add(lease + testGrace - time.Second).Sub(l.state.Now()))
	l.Liveness.Tick()
	if len(job.Attempts) != 1 {
		t.Fatal("attempt released within the previous leader's grace and the lease")
	}
	l.state.Advance(start.Add(lease + testGrace + 3*time.Second).Sub(l.state.Now()))
	l.Liveness.Tick()
	if len(job.Attempts) != 0 {
		t.Error("attempt not released after the previous leader's grace and the lease")
	}
}

// TestRestartWithinAnsweredLeaseStopsScheduling: a newer incarnation of an agent whose
// heartbeats got responses all the time shows that the responses do not reach it.
func TestRestartWithinAnsweredLeaseStopsScheduling(t *testing.T) {
	l := newTestLeader()
	machine := l.machine("i-1", "a")
	for range 6 {
		l.state.Advance(4 * time.Second)
		l.accept(t, heartbeat(machine, testTerm))
	}
	if !l.state.Schedulable(machine) {
		t.Fatal("not schedulable though its heartbeats get responses")
	}
	l.state.Advance(4 * time.Second)
	restarted := heartbeat(machine, testTerm)
	restarted.Incarnation, restarted.Sequence = 2, 1
	l.accept(t, restarted)
	if l.state.Schedulable(machine) {
		t.Error("schedulable though responses do not reach its agent")
	}
}

// TestAgentWithoutHeartbeatsTakesNoWork: an agent that responds to calls but sends no heartbeats
// loses its tasks when its lease expires. So it gets no tasks, and none of its capacity is used,
// until its heartbeats arrive again.
func TestAgentWithoutHeartbeatsTakesNoWork(t *testing.T) {
	l := newTestLeader()
	machine := l.machine("i-1", "a")
	for range int(config.Seconds(l.state.Config.Cluster.Agents.LeaseS) / time.Second) {
		l.state.Advance(time.Second)
		l.Heartbeats.ObserveCallResult(machine, agents.CallResult{Outcome: agents.Executed, Heartbeat: heartbeat(machine, testTerm)})
	}
	if !l.state.ConfirmedAlive(machine) || l.state.Schedulable(machine) {
		t.Errorf("confirmed alive %v, schedulable %v, want alive and not schedulable", l.state.ConfirmedAlive(machine), l.state.Schedulable(machine))
	}
	l.accept(t, heartbeat(machine, testTerm))
	if !l.state.Schedulable(machine) {
		t.Error("not schedulable though its heartbeats arrive again")
	}
}

// TestSilentZoneIsDeletedOnlyAfterBootTime: when a whole zone falls silent, its machines are not
// deleted at once, although they are only a third of all machines: they return when the
// partition ends. Two machines that die in a zone that still sends heartbeats are deleted within
// the lease.
func TestSilentZoneIsDeletedOnlyAfterBootTime(t *testing.T) {
	for _, c := range []struct{ silent, deleted int }{{2, 2}, {8, 0}} {
		l := newTestLeader()
		start := l.state.Now()
		for i := range 24 {
			l.machine(protocol.MachineID(fmt.Sprintf("i-%02d", i)), []protocol.ZoneName{"a", "b", "c"}[i/8])
		}
		deleted := func(elapsed time.Duration) (n int) {
			for ; l.state.Now().Sub(start) < elapsed; l.state.Advance(tuning.MachineSweepInterval) {
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
		if n := deleted(lease); n != c.deleted {
			t.Errorf("%d silent: %d deleted within the lease", c.silent, n)
		}
		if n := deleted(3*lease + config.Seconds(clustertest.BigType.BootS)); n != c.silent {
			t.Errorf("%d silent: %d deleted after three leases and the boot time", c.silent, n)
		}
	}
}

// TestMachineWithUnreadableHeartbeatsIsDeleted: heartbeats with an entry that names no task prove
// no attempt absent and are logged once. After a lease the machine that sends them is deleted,
// which proves its attempts gone.
func TestMachineWithUnreadableHeartbeatsIsDeleted(t *testing.T) {
	l := newTestLeader()
	machine, job := l.machine("i-1", "a"), l.job(protocol.ShapeArray, 2)
	l.addRecoveredAttempt(job, machine)
	unreadable := protocol.TaskStatus{Task: "?", Attempt: 1, State: "dreaming"}
	for range 5 {
		l.accept(t, heartbeat(machine, testTerm, unreadable))
		if len(job.Attempts) != 1 || machine.Deleting || len(l.logged) != 1 {
			t.Fatalf("%d attempts, deleting %v, %d logged", len(job.Attempts), machine.Deleting, len(l.logged))
		}
		l.state.Advance(config.Seconds(l.state.Config.Cluster.Agents.LeaseS / 4.9))
	}
	l.accept(t, heartbeat(machine, testTerm, unreadable))
	if !machine.Deleting {
		t.Error("machine kept although its heartbeats never prove an attempt absent")
	}
}

// TestUnrecordedAttemptIsStopped: an attempt with a higher number than any in the records is
// stopped once when a current heartbeat shows it. The next attempt of the task is numbered above
// it, unless its number is above tuning.MaxTrustedAttempt.
func TestUnrecordedAttemptIsStopped(t *testing.T) {
	for _, number := range []protocol.AttemptNumber{9, tuning.MaxTrustedAttempt + 1} {
		l := newTestLeader()
		machine, job := l.machine("i-1", "a"), l.job(protocol.ShapeArray, 2)
		running := protocol.TaskStatus{Task: protocol.TaskName(job.ID, 1), Attempt: number, State: protocol.TaskRunning}
		if got := l.accept(t, heartbeat(machine, testTerm-1, running)); got != "" || job.Tasks[1].LiveAttempts != 1 {
			t.Errorf("after a heartbeat that may be a late copy: commands %q, %d live attempts", got, job.Tasks[1].LiveAttempts)
		}
		if got := l.accept(t, heartbeat(machine, testTerm, running)); got != "halt " {
			t.Errorf("commands %q, want a stop", got)
		}
		l.accept(t, heartbeat(machine, testTerm))
		l.scheduler.RunCycle()
		want := number + 1
		if number > tuning.MaxTrustedAttempt {
			want = 1
		}
		if attempt := job.Tasks[1].Active; attempt == nil || attempt.Key.Number != want {
			t.Errorf("next attempt %+v, want number %d", attempt, want)
		}
	}
}

// TestWithdrawnPreemptionNoticeEndsDrain: a machine with a preemption notice is drained. If a newer
// heartbeat shows no notice any more, the machine was out of use for good.
func TestWithdrawnPreemptionNoticeEndsDrain(t *testing.T) {
	l := newTestLeader()
	machine := l.machine("i-1", "a")
	announced, seconds := heartbeat(machine, testTerm), 20.0
	announced.PreemptionNoticeS = &seconds
	l.Heartbeats.Accept(announced)
	for _, c := range []struct {
		withdrawn    bool
		wantCordoned bool
	}{{false, true}, {true, false}} {
		if c.withdrawn {
			l.Heartbeats.Accept(heartbeat(machine, testTerm))
		}
		l.state.Advance(tuning.DrainTime)
		l.state.Heartbeat()
		l.lifecycle.ReviewMachines()
		if machine.Cordoned != c.wantCordoned || machine.SpotNotice != c.wantCordoned {
			t.Errorf("notice withdrawn %v: cordoned %v, preemption notice %v", c.withdrawn, machine.Cordoned, machine.SpotNotice)
		}
	}
}
