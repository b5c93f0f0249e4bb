package simulation

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// executedStart is a start that is delivered once more.
type executedStart struct {
	w     *World
	user  *user
	agent *agent // of the first task's machine
}

// endsOfExecutedStarts are the ways in which an attempt ends between its start and the copy.
var endsOfExecutedStarts = []struct {
	name string
	end  func(t *testing.T, s *executedStart)
}{
	{"moved", func(t *testing.T, s *executedStart) {
		urgent := withQueue(gangJob("run-000002", 8), "c", "free", "critical") // takes the whole zone
		urgent.Zone = s.agent.host.Zone
		s.w.submitAndWaitUntilRunning(t, 20*time.Second, urgent, 30)
		s.w.waitFor(t, 60*time.Second, "the task runs elsewhere", func() bool {
			return s.w.running(s.user) && s.w.agentOf(s.user.job.spec.ID, 0) != s.agent
		})
	}},
	{"cancelled", func(t *testing.T, s *executedStart) {
		s.user.cancel()
		s.w.waitUntilOver(t, 20*time.Second, s.user)
	}},
	{"done", func(t *testing.T, s *executedStart) { s.w.waitUntilOver(t, 120*time.Second, s.user) }},
	{"failed", func(t *testing.T, s *executedStart) {
		s.w.agents[s.agent.host.ID].sortedTasks()[0].exit(protocol.CauseError, false)
		s.w.waitFor(t, 60*time.Second, "the task runs again", func() bool { return s.w.running(s.user) })
	}},
}

// TestLateCopyOfExecutedStartStartsNothing guards against an agent that forgets an attempt while a
// copy of the attempt's start may still arrive.
func TestLateCopyOfExecutedStartStartsNothing(t *testing.T) {
	t.Parallel()
	for _, ending := range endsOfExecutedStarts {
		for _, delay := range []time.Duration{time.Second, 5 * time.Second, 70 * time.Second} {
			t.Run(fmt.Sprintf("%s, %v late", ending.name, delay), func(t *testing.T) {
				t.Parallel()
				w := startWorld(71, SmallShape(), 6*time.Second)
				w.recordCommands = true
				u := w.submitAndWaitUntilRunning(t, 20*time.Second, withCheckpoints(array("run-000001", 1), 5, 1), 60)
				s := &executedStart{w, u, w.agentOf("run-000001", 0)}
				w.recordCommands = false
				ending.end(t, s)
				w.Run(delay)
				w.expectCopiesStartNothing(t)
				w.expectRulesHeld(t)
			})
		}
	}
}

// TestLateCopyOfRefusedStartStartsNothing guards against a start that was refused for lack of
// capacity and is executed when a copy of it arrives.
func TestLateCopyOfRefusedStartStartsNothing(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{5 * time.Second, 70 * time.Second} {
		t.Run(fmt.Sprint(delay, " late"), func(t *testing.T) {
			t.Parallel()
			w := startWorld(72, SmallShape(), 6*time.Second)
			w.recordCommands = true
			for _, a := range w.agents {
				a.addForeignTask()
			}
			u := w.submitAndWaitUntilRunning(t, 60*time.Second, array("run-000001", 1), 200)
			w.recordCommands = false
			w.Run(delay)
			w.expectCopiesStartNothing(t)
			u.cancel()
			w.Run(secs(w.shape.Agents.CancelS))
			w.expectCopiesStartNothing(t)
			w.expectRulesHeld(t)
		})
	}
}

// addForeignTask adds a task of no known job that takes the whole machine.
func (a *agent) addForeignTask() {
	name := protocol.TaskName("run-999999", 0)
	job := withTaskResources(array("run-999999", 1), a.w.shape.Type.CPUs, a.w.shape.Type.GPUs, a.w.shape.Type.MemoryGB)
	a.w.rules.jobs[job.ID] = newSimJob(job)
	a.tasks[attemptName(name, 1)] = &agentTask{agent: a, job: job, name: name, attempt: 1, state: protocol.TaskFetching}
}

// expectCopiesStartNothing delivers a copy of every recorded call and checks that no agent adds an
// attempt.
func (w *World) expectCopiesStartNothing(t *testing.T) {
	t.Helper()
	if len(w.recordedCommands) == 0 {
		t.Fatal("no call was recorded")
	}
	for _, call := range w.recordedCommands {
		agent := w.agents[call.machine]
		if agent == nil {
			continue
		}
		before := slices.Collect(maps.Keys(agent.tasks))
		w.deliverCommandCopy(call)
		for key := range agent.tasks {
			if !slices.Contains(before, key) {
				t.Errorf("%s: a copy of a start adds %s", call.machine, key)
			}
		}
	}
	w.Run(5 * time.Second)
}

// TestRulesHoldDespiteLateCommandCopies: every rule holds in random runs with overlapping faults,
// among which are late copies of calls that agents have executed. Every third run has a deployment
// of few machines.
func TestRulesHoldDespiteLateCommandCopies(t *testing.T) {
	t.Parallel()
	checkRandomRunsWith(t, 80_000, commandCopiesKind)
}
