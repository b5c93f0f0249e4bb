package simulation

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// userRequest is a kind of request that a user may have under way together with another one.
type userRequest string

const (
	pollRequest   userRequest = "poll"
	submitRequest userRequest = "submission"
	cancelRequest userRequest = "cancellation"
	pollAfterEnd  userRequest = "poll as the job ends"
)

const (
	overtakenAfter = 120 * time.Millisecond // from the first request to the second one
	troubleFor     = 115 * time.Millisecond // the trouble meets the responses to the first request
	heldFor        = 500 * time.Millisecond // the time until held responses arrive
)

// answerTrouble is what happens while two requests are under way. first is the controller that gets the
// first request.
type answerTrouble struct {
	name   string
	inject func(w *World, first *controller)
}

var answerTroubles = []answerTrouble{
	{"none", func(*World, *controller) {}},
	{"store's response slow", func(w *World, first *controller) { w.holdResponses(first) }},
	{"store's response lost", func(w *World, first *controller) {
		w.addPartition(troubleFor, &partition{match: func(a, b string) bool { return a == storeHost && b == first.name }})
	}},
	{"transaction committed late", func(w *World, _ *controller) { w.store.delayTransactions(1, troubleFor) }},
	{"slow, links between controllers cut", func(w *World, first *controller) {
		w.holdResponses(first)
		w.disconnect(20*time.Second, packetsDropped, func(a, b string) bool { return w.isController(a) && w.isController(b) })
	}},
	{"slow, leader crashes", func(w *World, first *controller) {
		w.holdResponses(first)
		w.after(overtakenAfter+30*time.Millisecond, func() { w.crashLeader(time.Second) })
	}},
	{"slow, then an outage of the store", func(w *World, first *controller) {
		w.holdResponses(first)
		w.after(overtakenAfter+100*time.Millisecond, func() { w.store.outage(15 * time.Second) })
	}},
	{"store refuses the first controller", func(w *World, first *controller) {
		w.store.refuseNode(first, 3*time.Second)
		w.Run(2 * time.Second) // it forwards users' requests
		w.holdResponses(w.otherControllers(first)[0])
	}},
}

// holdResponses holds the store's next responses to a controller for a while.
func (w *World) holdResponses(c *controller) {
	until := w.Now.Add(troubleFor)
	w.addPartition(heldFor, &partition{handling: packetsHeld, match: func(a, b string) bool {
		return a == storeHost && b == c.name && w.Now.Before(until)
	}})
}

// isController reports whether a host is a controller.
func (w *World) isController(host string) bool {
	for _, c := range w.nodes {
		if c.name == host {
			return true
		}
	}
	return false
}

// TestPairsOfRequestsAreAnsweredInOrder guards against an answer that is older than one that a user was
// given before: for each pair of requests about a job, at one controller and at two, with the store's
// response to the first one late.
func TestPairsOfRequestsAreAnsweredInOrder(t *testing.T) {
	t.Parallel()
	requests := []userRequest{pollRequest, submitRequest, cancelRequest, pollAfterEnd}
	for _, trouble := range answerTroubles {
		for _, first := range requests {
			for _, second := range requests {
				t.Run(fmt.Sprintf("%s, then %s, %s", first, second, trouble.name), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(8) {
						checkPair(t, 110_000+seed, first, second, trouble, true)
						if first == submitRequest || second == submitRequest {
							checkPair(t, 110_100+seed, first, second, trouble, false)
						}
					}
				})
			}
		}
	}
}

// checkPair sends two requests about a job that is accepted before or not, at the same controller for
// even seeds and at two controllers for odd ones.
func checkPair(t *testing.T, seed uint64, first, second userRequest, trouble answerTrouble, accepted bool) {
	t.Helper()
	w := startWorld(seed, SmallShape(), 6*time.Second)
	u := &user{w: w, job: newSimJob(array("run-000001", 2)), cancelRequested: true}
	u.job.run = 500
	w.rules.jobs[u.job.spec.ID] = u.job
	w.Audit.submitted(u.job.spec)
	at := w.nodes[w.rng.IntN(len(w.nodes))]
	other := at
	if seed%2 == 1 {
		other = w.otherControllers(at)[w.rng.IntN(2)]
	}
	if accepted {
		w.ask(u, other, submitRequest)
		w.Run(8 * time.Second)
	}
	if first == pollAfterEnd || second == pollAfterEnd {
		w.completeTasks(u.job)
		w.Run(w.between(0, 1200*time.Millisecond)) // the end of the job is written meanwhile
	}
	trouble.inject(w, at)
	w.after(w.between(0, 10*time.Millisecond), func() { w.ask(u, at, first) })
	w.after(overtakenAfter, func() { w.ask(u, other, second) })
	w.every(50*time.Millisecond, 12, func(int) { w.ask(u, other, pollRequest) })
	w.Run(25 * time.Second)
	for _, c := range w.nodes {
		w.ask(u, c, pollRequest)
	}
	w.Run(10 * time.Second)
	if len(w.rules.failures) > 0 {
		t.Errorf("seed %d, %s and %s, accepted before: %v: %v", seed, at.name, other.name, accepted, w.rules.failures)
	}
}

// ask sends a request about a user's job to a controller, and repeats a submission or cancellation that
// is not served.
func (w *World) ask(u *user, c *controller, kind userRequest) {
	r, timeout := statusQuery(u.job.spec.ID), queryTimeout
	switch kind {
	case submitRequest:
		r, timeout = submission(u.job.spec), submitTimeout
	case cancelRequest:
		r, timeout = cancellation(u.job.spec.ID), submitTimeout
	}
	w.call("users", c.name, timeout, func(respond responseFunc) { c.ask(r, respond) }, func(status int, body []byte) {
		served := status == http.StatusOK || status == http.StatusCreated
		switch {
		case served && kind == cancelRequest && answerFrom("", "", status, body).phase == protocol.PhaseCancelled:
			u.job.cancelledAt = w.Now
		case !served && status != http.StatusNotFound && timeout == submitTimeout:
			w.after(time.Second, func() { w.ask(u, c, kind) })
		}
	})
}

// completeTasks has the tasks of a job that are on machines exit as done.
func (w *World) completeTasks(j *simJob) {
	for i := range j.spec.Tasks {
		if task := w.rules.placed[protocol.TaskName(j.spec.ID, i)]; task != nil && task.state == protocol.TaskRunning {
			j.done[i] = true
			task.exit(protocol.CauseDone, false)
		}
	}
}
