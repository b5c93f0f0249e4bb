package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// settleTime is the time after which no machine that serves nothing is left: the time for which spares
// are kept, the boot time-out and the idle time-out.
const settleTime = 400 * time.Second

// expectMachinesKnown checks that the leader knows exactly the machines that the cloud runs.
func (w *World) expectMachinesKnown(t *testing.T) {
	t.Helper()
	running := 0
	for _, host := range w.cloud.hosts {
		if !host.deleted {
			running++
		}
	}
	if known := w.leader().node.TakeMetrics().Machines; known != running {
		t.Errorf("the leader knows %d machines, the cloud runs %d", known, running)
	}
}

// TestMachinesRentedOrDeletedLateAreKnown guards against a machine that no controller knows of, uses or
// returns, or a task on one, because a request to the cloud is carried out late, without a response,
// twice, or after the leader that sent it has ended.
func TestMachinesRentedOrDeletedLateAreKnown(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{time.Millisecond, 3 * time.Second, 20 * time.Second, 90 * time.Second} {
		for _, unanswered := range []bool{false, true} {
			for _, twice := range []bool{false, true} {
				for _, leaderEnds := range []time.Duration{0, 2 * time.Second, 40 * time.Second} {
					t.Run(fmt.Sprintf("%v late, unanswered %v, twice %v, leader ends after %v", delay, unanswered, twice, leaderEnds), func(t *testing.T) {
						t.Parallel()
						shape := SmallShape()
						shape.Machines, shape.Capacity = 2, 10
						w := startWorld(98, shape, 6*time.Second)
						w.cloud.late = lateChanges{delay: delay, unanswered: unanswered, twice: twice}
						wholeMachines := withTaskResources(array("run-000001", 12), 4, 4, 20)
						w.submit(arrival{job: wholeMachines, run: 15})
						w.submit(arrival{after: 75 * time.Second, job: withTaskResources(array("run-000002", 12), 4, 4, 20), run: 15})
						if leaderEnds > 0 {
							w.after(leaderEnds, func() { w.crashLeader(20 * time.Second) })
						}
						w.Run(150 * time.Second)
						w.cloud.late = lateChanges{}
						w.waitUntilOver(t, 400*time.Second, w.users...)
						w.Run(settleTime)
						w.expectMachinesKnown(t)
						if known := w.leader().node.TakeMetrics().Machines; known > 0 {
							t.Errorf("%d machines are left though nothing runs", known)
						}
						w.expectRulesHeld(t)
					})
				}
			}
		}
	}
}

// machineReturns are the ways in which a machine is back within a second.
var machineReturns = []struct {
	name   string
	inject func(w *World, machine *agent)
}{
	{"with session and tasks", func(_ *World, machine *agent) { machine.hang(700 * time.Millisecond) }},
	{"with session, without tasks", func(_ *World, machine *agent) { machine.loseTasks() }},
	{"with a new session", func(_ *World, machine *agent) { machine.expireLease() }},
	{"without session and tasks", func(w *World, machine *agent) { w.restartAgent(machine, 400*time.Millisecond) }},
	{"with tasks, without session", func(_ *World, machine *agent) {
		machine.incarnation, machine.sequence, machine.token = 1, 0, protocol.Term(0)
		machine.leaseRenewedAt = machine.w.Now
	}},
}

// loseTasks ends all tasks of the machine, without a trace.
func (a *agent) loseTasks() {
	for _, task := range a.sortedTasks() {
		task.lose()
	}
	a.tasks = map[string]*agentTask{}
	a.reportChange()
}

// TestMachineBackWithinASecondRunsNothingUnknown guards against a task that runs on a machine which came
// back within a second, while the leader takes it to be gone or starts it elsewhere.
func TestMachineBackWithinASecondRunsNothingUnknown(t *testing.T) {
	t.Parallel()
	for _, back := range machineReturns {
		for _, leaderEnds := range []bool{false, true} {
			for _, gang := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, leader ends %v, gang %v", back.name, leaderEnds, gang), func(t *testing.T) {
					t.Parallel()
					w := startWorld(99, SmallShape(), 6*time.Second)
					job := withCheckpoints(array("run-000001", 4), 5, 1)
					if gang {
						job.Shape = protocol.ShapeGang
					}
					u := w.submitAndWaitUntilRunning(t, 20*time.Second, job, 60)
					w.Run(5 * time.Second)
					if leaderEnds {
						w.crashLeader(300 * time.Millisecond)
					}
					back.inject(w, w.agentOf("run-000001", 0))
					w.waitUntilOver(t, 300*time.Second, u)
					w.Run(settleTime)
					w.expectMachinesKnown(t)
					w.expectRulesHeld(t)
				})
			}
		}
	}
}
