package simulation

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// maxBodyBytes is the largest body of a request that the protocol allows.
const maxBodyBytes = 64 << 10

// submitShortTasks has users submit arrays whose tasks end one after the other, so that agents are
// shown newer tokens all the time.
func (w *World) submitShortTasks(jobs int) {
	for i := range jobs {
		w.submit(arrival{after: time.Duration(i) * 2 * time.Second, job: array(jobID(i), 10), run: float64(4 + i%5)})
	}
}

// highestToken returns the highest token that an agent has seen.
func (w *World) highestToken() (highest protocol.Term) {
	for _, agent := range w.agents {
		highest = max(highest, agent.token)
	}
	return highest
}

// TestNextTermIsAboveAllShownTokens: agents that were shown tokens above their leader's term accept
// the next leader, of this release or an earlier one, and also one that leads again at once.
func TestNextTermIsAboveAllShownTokens(t *testing.T) {
	t.Parallel()
	for _, next := range []release{current, release03, release02} {
		w := startWorld(81, tinyCPUShape(), 6*time.Second)
		w.submitShortTasks(60)
		for _, downtime := range []time.Duration{50 * time.Millisecond, 10 * time.Second, 300 * time.Millisecond} {
			w.Run(20 * time.Second)
			c := w.leader()
			if shown := w.highestToken(); shown <= c.node.TakeMetrics().Term {
				t.Errorf("the highest token is %d, want one above the leader's term", shown)
			}
			w.Run(5 * time.Second)
			c.crash(downtime)
			for _, other := range w.otherControllers(c) {
				w.release[other.name] = next
			}
			shown := w.highestToken()
			w.waitForLeader(t, 20*time.Second)
			if term := w.leader().node.TakeMetrics().Term; term <= shown {
				t.Errorf("term %d is not above the token %d", term, shown)
			}
		}
		w.waitUntilOver(t, 200*time.Second, w.users...)
		w.expectRulesHeld(t)
	}
}

// TestStoreRestoredBelowShownTokensRunsNothingTwice: the store is restored to a revision below tokens
// that agents were shown within the term of one leader.
func TestStoreRestoredBelowShownTokensRunsNothingTwice(t *testing.T) {
	t.Parallel()
	w := startWorld(82, smallWithRecovery(), 6*time.Second)
	w.submitShortTasks(6)
	w.Run(20 * time.Second)
	old := w.store.backup()
	w.Run(12 * time.Second)
	if shown := w.highestToken(); shown <= protocol.Term(old.revision)+1 {
		t.Fatalf("the highest token %d is not above the backup's revision %d", shown, old.revision)
	}
	w.crashAll(2 * time.Second)
	w.Run(time.Second)
	w.store.restore(old)
	w.Run(100 * time.Second)
	w.waitUntilOver(t, 300*time.Second, w.users...)
	w.expectRulesHeld(t)
}

// TestLateCopyAfterRestartInPlaceStartsNothing: a gang whose tasks ended restarts on the same machine,
// without delay, and late copies of both attempts' starts do nothing.
func TestLateCopyAfterRestartInPlaceStartsNothing(t *testing.T) {
	t.Parallel()
	shape := SmallShape()
	shape.Machines, shape.Capacity = 1, 1
	w := startWorld(83, shape, 6*time.Second)
	w.recordCommands = true
	u := w.submitAndWaitUntilRunning(t, 20*time.Second, gangJob("run-000001", 4), 100)
	agent := w.agentOf("run-000001", 0)
	for _, task := range agent.sortedTasks() {
		task.exit(protocol.CauseStopped, false)
	}
	if took := w.waitUntilRunning(t, 60*time.Second, u); took > 15*time.Second {
		t.Errorf("the gang runs again after %v", took)
	}
	for range 3 {
		w.Run(10 * time.Second)
		w.expectCopiesStartNothing(t)
	}
	w.waitUntilOver(t, 150*time.Second, u)
	w.expectRulesHeld(t)
}

// TestAgentsForgetExitedAttemptsSoon: while one-task jobs come four a second for two minutes, of
// which a quarter is cancelled, an agent holds an exited attempt for at most two heartbeat intervals:
// until it reports the exit, and until the next heartbeat if the result is not stored by then.
func TestAgentsForgetExitedAttemptsSoon(t *testing.T) {
	t.Parallel()
	shape := SmallShape()
	shape.Store.RPS, shape.Store.WriteRPS, shape.Capacity = 300, 50, 30
	w := startWorld(84, shape, 6*time.Second)
	w.every(250*time.Millisecond, 480, func(i int) {
		var cancel time.Duration
		if i%4 == 0 {
			cancel = w.between(10*time.Millisecond, 8*time.Second)
		}
		w.submit(arrival{job: array(jobID(i), 1), run: 4, cancelAfter: cancel})
	})
	w.Run(120 * time.Second)
	w.waitUntilOver(t, 300*time.Second, w.users...)
	limit := secs(2 * 1.25 * w.shape.Agents.ReportS)
	t.Logf("exited attempts held for up to %v, largest heartbeat %d bytes", w.longestExitedTime, w.largestHeartbeat)
	if w.longestExitedTime > limit || w.largestHeartbeat > maxBodyBytes {
		t.Errorf("an exited attempt was held for %v, want at most %v; the largest heartbeat has %d bytes", w.longestExitedTime, limit, w.largestHeartbeat)
	}
	w.expectRulesHeld(t)
}
