package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// restartAgent ends a machine's agent with all its tasks. After downtime the machine is back under
// the same name, with an agent in its first incarnation that has seen no token. The protocol
// describes no such machine.
func (w *World) restartAgent(a *agent, downtime time.Duration) {
	w.loseAgent(a)
	w.after(downtime, func() {
		if !a.host.deleted {
			w.agents[a.host.ID] = newAgent(w, a.host)
		}
	})
}

// replayExecutedCalls delivers a copy of every recorded call.
func (w *World) replayExecutedCalls() {
	for _, call := range w.recordedCommands {
		w.deliverCommandCopy(call)
	}
}

// quickReturns are the ways in which a controller or a machine is back within a second.
var quickReturns = []struct {
	name   string
	inject func(w *World, machine *agent)
}{
	{"leader restarts", func(w *World, _ *agent) { w.crashLeader(300 * time.Millisecond) }},
	{"all controllers restart", func(w *World, _ *agent) { w.crashAll(200 * time.Millisecond) }},
	{"machine hangs", func(_ *World, machine *agent) { machine.hang(700 * time.Millisecond) }},
	{"machine hangs and leader restarts", func(w *World, machine *agent) {
		machine.hang(900 * time.Millisecond)
		w.crashLeader(300 * time.Millisecond)
	}},
}

// TestLateCopyAfterQuickReturnStartsNothing guards against a late copy of a start that is executed
// because its sender or its receiver was away for less than a second, while the task was moved or
// cancelled.
func TestLateCopyAfterQuickReturnStartsNothing(t *testing.T) {
	t.Parallel()
	for _, back := range quickReturns {
		for _, ending := range endsOfExecutedStarts {
			for _, delay := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second, 60 * time.Second} {
				t.Run(fmt.Sprintf("%s, %s, copy after %v", back.name, ending.name, delay), func(t *testing.T) {
					t.Parallel()
					w := startWorld(75, SmallShape(), 6*time.Second)
					w.recordCommands = true
					u := w.submitAndWaitUntilRunning(t, 20*time.Second, withCheckpoints(array("run-000001", 1), 5, 1), 60)
					w.recordCommands = false
					s := &executedStart{w, u, w.agentOf("run-000001", 0)}
					w.after(900*time.Millisecond, func() { back.inject(w, s.agent) })
					w.after(time.Second, func() { w.after(delay, w.replayExecutedCalls) })
					ending.end(t, s)
					w.Run(delay)
					w.expectCopiesStartNothing(t)
					w.Run(secs(w.shape.Agents.CancelS))
					w.expectCopiesStartNothing(t)
					w.expectRulesHeld(t)
				})
			}
		}
	}
}

// TestMachineWhoseAgentLostItsStateIsDeleted guards against an agent that begins again in the same
// incarnation: it executes late copies, and its heartbeats are taken for old ones until its lease
// ends.
func TestMachineWhoseAgentLostItsStateIsDeleted(t *testing.T) {
	t.Parallel()
	const limit = 15 * time.Second // the silence time-out, a probe and the deletion
	for _, sequence := range []protocol.Sequence{0, 1000} {
		for _, ending := range endsOfExecutedStarts[:2] {
			t.Run(fmt.Sprintf("%s, %d earlier heartbeats", ending.name, sequence), func(t *testing.T) {
				t.Parallel()
				w := startWorld(76, SmallShape(), 6*time.Second)
				w.recordCommands = true
				u := w.submitAndWaitUntilRunning(t, 20*time.Second, withCheckpoints(array("run-000001", 1), 5, 1), 100)
				w.recordCommands = false
				s := &executedStart{w, u, w.agentOf("run-000001", 0)}
				s.agent.sequence += sequence
				ending.end(t, s)
				w.Run(4 * time.Second)
				w.restartAgent(s.agent, 300*time.Millisecond)
				w.waitFor(t, limit, "the machine is deleted", func() bool { return s.agent.host.deleted })
				w.Run(60 * time.Second)
				w.expectRulesHeld(t)
			})
		}
	}
}
