package simulation

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// lateStartTroubles are what happens to the leader or the machine while a start is held up.
var lateStartTroubles = []struct {
	name   string
	inject func(w *World, machine *agent)
}{
	{"none", func(*World, *agent) {}},
	{"leader is replaced", func(w *World, _ *agent) { w.crashLeader(20 * time.Second) }},
	{"all controllers restart", func(w *World, _ *agent) { w.crashAll(time.Second) }},
	{"machine is cut off", func(w *World, machine *agent) {
		w.disconnect(150*time.Second, packetsHeld, fromHost(string(machine.host.ID)))
	}},
	{"machine opens no connections", func(w *World, machine *agent) {
		machine.opensNoConnections = true
		w.after(150*time.Second, func() { machine.opensNoConnections = false })
	}},
	{"machine loses responses", func(w *World, machine *agent) {
		machine.losesResponses = true
		w.after(150*time.Second, func() { machine.losesResponses = false })
	}},
	{"machine hangs", func(_ *World, machine *agent) { machine.hang(40 * time.Second) }},
	{"store outage", func(w *World, _ *agent) { w.after(2*time.Second, func() { w.store.outage(70 * time.Second) }) }},
	{"store refuses the leader", func(w *World, _ *agent) { w.store.refuseNode(w.leader(), 100*time.Second) }},
	{"cloud outage and machine hangs", func(w *World, machine *agent) {
		w.cloud.down = true
		machine.hang(20 * time.Second)
	}},
}

// TestHeldUpStartOfCancelledJobStartsNothing guards against a start that is held up on its way and
// carried out after the job's time for cancelling is over.
func TestHeldUpStartOfCancelledJobStartsNothing(t *testing.T) {
	t.Parallel()
	for _, trouble := range lateStartTroubles {
		for _, delay := range []time.Duration{100 * time.Millisecond, 3 * time.Second, 16 * time.Second, 47 * time.Second, 60 * time.Second, 200 * time.Second} {
			for _, cancelAfter := range []time.Duration{50 * time.Millisecond, 4 * time.Second} {
				t.Run(fmt.Sprintf("%s, start %v late, cancelled after %v", trouble.name, delay, cancelAfter), func(t *testing.T) {
					t.Parallel()
					w := startWorld(97, SmallShape(), 6*time.Second)
					for _, machine := range w.agents {
						machine.callDelay = delay
					}
					u := w.submit(arrival{job: array("run-000001", 1), run: 500})
					held := w.waitForHeldCall(t)
					trouble.inject(w, held)
					for _, machine := range w.agents {
						machine.callDelay = 0
					}
					w.Run(cancelAfter)
					w.cancelAtEveryController(u)
					w.Run(2*secs(w.shape.Agents.CancelS) + delay)
					if !u.over {
						t.Error("the cancellation is not confirmed")
					}
					w.expectRulesHeld(t)
				})
			}
		}
	}
}

// waitForHeldCall waits until a call to an agent is held up, and returns the agent.
func (w *World) waitForHeldCall(t *testing.T) (held *agent) {
	t.Helper()
	w.waitFor(t, 10*time.Second, "a call is held up", func() bool {
		for _, machine := range w.agentsInCreationOrder() {
			if machine.delayedCalls > 0 {
				held = machine
			}
		}
		return held != nil
	})
	return held
}

// cancelAtEveryController has a user request a cancellation at every controller, again and again, until
// one of them has confirmed it.
func (w *World) cancelAtEveryController(u *user) {
	u.cancelRequested = true
	for end := w.Now.Add(2 * time.Minute); !u.over && w.Now.Before(end); w.Run(time.Second) {
		for _, c := range w.nodes {
			c.ask(cancellation(u.job.spec.ID), func(status int, body []byte) {
				if status == http.StatusOK {
					u.handleResponse(body)
				}
			})
		}
	}
}
