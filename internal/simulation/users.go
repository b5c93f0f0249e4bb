package simulation

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
)

// userBehaviour controls what users do in addition to submitting jobs and querying their status.
type userBehaviour struct {
	askAllNodes      bool    // users query every node after every change of a job's phase
	cancelAtEndShare float64 // the share of jobs that are cancelled at the moment they complete
	overlapping      bool    // users send further requests at the first submission and at the end of their job
}

// user submits one job and polls its status until the job is over.
type user struct {
	w                *World
	job              *simJob
	accepted         bool
	submittedAt      time.Time      // when the user first tried to submit
	lastResponseAt   time.Time      // when the last response about the job came
	phase            protocol.Phase // from the last response
	cancelRequested  bool           // the user has asked to cancel the job
	over             bool
	stoppedAsking    bool          // the user sends no further requests
	served, unserved time.Duration // replica time with and without a running replica, counted from 5 s after submission
}

// How long users wait for a response.
const (
	submitTimeout = 5 * time.Second // also for a cancellation
	queryTimeout  = 2 * time.Second
)

// arrival is a job that a user submits.
type arrival struct {
	after       time.Duration // until the user first tries to submit
	job         *protocol.Job
	run         float64       // run time of each task, in seconds
	cancelAfter time.Duration // when the user cancels the job, from the first try to submit; 0: never
	alwaysFails bool          // every task exits with an error
}

// submit adds a user, who submits a job.
func (w *World) submit(a arrival) *user {
	spec := a.job
	j := newSimJob(spec)
	j.run, j.alwaysFails = a.run, a.alwaysFails
	u := &user{w: w, job: j}
	w.users = append(w.users, u)
	j.onCompletion = func() {
		if w.rng.Float64() < w.cancelAtEndShare {
			u.cancel()
		}
		if w.overlapping {
			u.sendOverlapping()
		}
	}
	w.after(a.after, func() {
		w.rules.jobs[spec.ID] = j
		u.submittedAt = w.Now
		w.Audit.submitted(spec)
		if w.overlapping {
			u.sendOverlapping()
		}
		u.submit()
		if spec.Service() {
			u.measureService()
		}
		if a.cancelAfter > 0 {
			w.after(a.cancelAfter, u.cancel)
		}
	})
	return u
}

// request returns the event of an external request with the given ID, which the response to it
// will carry.
type request func(id uint64) coordination.Event

// submission returns a request to run a job.
func submission(job *protocol.Job) request {
	return func(id uint64) coordination.Event { return coordination.Submit{ID: id, Job: job} }
}

// statusQuery returns a request for the status of a job.
func statusQuery(job protocol.JobID) request {
	return func(id uint64) coordination.Event { return coordination.StatusQuery{ID: id, Job: job} }
}

// cancellation returns a request to cancel a job.
func cancellation(job protocol.JobID) request {
	return func(id uint64) coordination.Event { return coordination.Cancel{ID: id, Job: job} }
}

// send sends a request to a random node, unless the user has stopped asking.
func (u *user) send(timeout time.Duration, r request, done responseFunc) {
	if u.stoppedAsking {
		return
	}
	u.w.callController("users", u.w.rng.IntN(len(u.w.nodes)), timeout, r, done)
}

// submit submits the job until it is accepted, and sometimes once more after that.
func (u *user) submit() {
	u.send(submitTimeout, submission(u.job.spec), func(status int, body []byte) {
		switch status {
		case http.StatusOK, http.StatusCreated:
			u.handleResponse(body)
			if !u.accepted {
				u.accepted = true
				u.w.after(5*time.Second, u.poll)
			}
			if u.w.rng.IntN(4) == 0 { // a retry may come at any later time
				u.w.after(u.w.between(0, 200*time.Second), u.submit)
			}
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			u.w.rules.violated(ruleRefused, "the submission of %s gets status %d: %s", u.job.spec.ID, status, body)
		default:
			u.w.after(time.Second, u.submit)
		}
	})
}

// isFinal reports whether a job in the given phase is over.
func isFinal(p protocol.Phase) bool { return p == protocol.PhaseDone || p == protocol.PhaseCancelled }

// handleResponse checks a response about the job against earlier ones, and notes its phase. A job
// in a final phase is over.
func (u *user) handleResponse(body []byte) {
	u.lastResponseAt = u.w.Now
	var a protocol.Accepted
	decode(body, &a)
	u.checkPhase(a)
	changed := a.Phase != u.phase
	u.phase = a.Phase
	if changed && u.w.askAllNodes {
		u.askAllNodes()
	}
	if isFinal(a.Phase) {
		u.over = true
		if a.Phase == protocol.PhaseCancelled && u.job.cancelledAt.IsZero() {
			u.noteCancelled()
		}
	}
}

// checkPhase checks that a job's phase does not go back, that a cancelled job was cancelled by its
// user, and that a job reported done is done.
func (u *user) checkPhase(a protocol.Accepted) {
	if isFinal(u.phase) && a.Phase != u.phase {
		u.w.rules.violated(ruleWentBack, "%s was %s and is %s", a.ID, u.phase, a.Phase)
	}
	if a.Phase == protocol.PhaseCancelled && !u.cancelRequested {
		u.w.rules.violated(ruleWentBack, "%s is cancelled, but its user did not ask for it", a.ID)
	}
	if a.Phase != protocol.PhaseDone {
		return
	}
	if u.job.spec.Service() {
		u.w.rules.violated(ruleNotDone, "the service %s is reported done", a.ID)
	}
	if i := slices.Index(u.job.done, false); i >= 0 {
		u.w.rules.violated(ruleNotDone, "%s is reported done, but task %d is not done", a.ID, i)
	}
}

// noteCancelled notes a confirmed cancellation and has the job's tasks checked after cancel_s.
func (u *user) noteCancelled() {
	u.job.cancelledAt = u.w.Now
	u.w.after(secs(u.w.shape.Agents.CancelS)+time.Millisecond, func() {
		for i := range u.job.spec.Tasks {
			if task := u.w.rules.placed[protocol.TaskName(u.job.spec.ID, i)]; task != nil {
				u.w.rules.checkCancelled(task)
			}
		}
	})
}

// poll queries the job's status every 5 s until the job is over, and a few times after that.
func (u *user) poll() {
	before := u.phase
	u.send(queryTimeout, statusQuery(u.job.spec.ID), func(status int, body []byte) {
		switch {
		case status == http.StatusOK && u.phase == before:
			u.handleResponse(body)
		case status == http.StatusOK:
			u.lastResponseAt = u.w.Now
		case status == http.StatusNotFound:
			u.w.rules.violated(ruleForgotten, "the accepted job %s is unknown", u.job.spec.ID)
		default:
			u.checkResponseDelay()
		}
		if !u.over || u.w.rng.IntN(3) == 0 {
			u.w.after(5*time.Second, u.poll)
		}
	})
}

// askAllNodes queries all nodes within milliseconds and repeats the submission. No response may
// show an older state than any response that came before the request was sent.
func (u *user) askAllNodes() {
	w := u.w
	for i := range 3 * len(w.nodes) {
		c := w.nodes[i%len(w.nodes)]
		w.after(w.between(0, 8*time.Millisecond), func() {
			earlier := u.phase
			request := statusQuery(u.job.spec.ID)
			if i >= 2*len(w.nodes) {
				request = submission(u.job.spec)
			}
			w.call("users", c.name, queryTimeout, func(respond responseFunc) { c.ask(request, respond) },
				func(status int, body []byte) { u.checkRepeatedResponse(c, earlier, status, body) })
		})
	}
}

// checkRepeatedResponse checks a node's response to a request about a job that was accepted.
func (u *user) checkRepeatedResponse(c *controller, earlier protocol.Phase, status int, body []byte) {
	switch status {
	case http.StatusOK, http.StatusCreated:
		var a protocol.Accepted
		decode(body, &a)
		if isFinal(earlier) && a.Phase != earlier {
			u.w.rules.violated(ruleWentBack, "%s was %s and is %s at %s", a.ID, earlier, a.Phase, c.name)
		}
		if status == http.StatusCreated {
			u.w.rules.violated(ruleForgotten, "%s, accepted before, is accepted as a new job by %s", a.ID, c.name)
		}
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
		u.w.rules.violated(ruleForgotten, "a request about the accepted job %s gets status %d from %s", u.job.spec.ID, status, c.name)
	}
}

// measureService adds up the replica time of a service with and without a running replica. A
// replica on a machine that hangs counts as not running.
func (u *user) measureService() {
	const step = 50 * time.Millisecond
	if u.cancelRequested {
		return
	}
	if u.w.Now.Sub(u.submittedAt) >= 5*time.Second {
		for i := range u.job.spec.Tasks {
			if task := u.w.rules.placed[protocol.TaskName(u.job.spec.ID, i)]; task != nil && task.state == protocol.TaskRunning && !task.agent.hung {
				u.served += step
			} else {
				u.unserved += step
			}
		}
	}
	u.w.after(step, u.measureService)
}

// checkResponseDelay checks that, once all faults have ended, the user does not go without a
// response for longer than maxTimeWithoutResponse, whatever happens to other jobs.
func (u *user) checkResponseDelay() {
	from := u.w.faultsEndedAt
	if u.lastResponseAt.After(from) {
		from = u.lastResponseAt
	}
	if !u.w.faultsEndedAt.IsZero() && u.w.Now.Sub(from) > maxTimeWithoutResponse {
		u.w.rules.violated(ruleForgotten, "no request about %s has got a response for %v", u.job.spec.ID, u.w.Now.Sub(from))
	}
}

// Time limits of the rules about jobs.
const (
	maxTimeWithoutResponse = 75 * time.Second
	maxLargestJobWait      = 4 * time.Minute
)

// checkServed checks at the end of a run that at least half of the jobs of every class, of every
// team, and of the largest jobs of every class are done. It also checks that each of the largest
// jobs started within the given time after its submission.
func (w *World) checkServed(within time.Duration) {
	counted := w.countedUsers()
	largest := map[string]int{}
	for _, u := range counted {
		largest[u.job.spec.Class] = max(largest[u.job.spec.Class], u.job.spec.Tasks)
	}
	all, done := map[string]int{}, map[string]int{}
	for _, u := range counted {
		spec := u.job.spec
		groups := []string{"class " + spec.Class, "team " + string(spec.Team)}
		if spec.Tasks == largest[spec.Class] {
			groups = append(groups, "the largest of "+spec.Class)
			if wait := cmp.Or(u.job.startedAt, w.Now).Sub(u.submittedAt); wait > within {
				w.rules.violated(ruleLate, "%s of %d tasks has waited %v for its start", spec.ID, spec.Tasks, wait)
			}
		}
		for _, g := range groups {
			all[g]++
			if u.phase == protocol.PhaseDone {
				done[g]++
			}
		}
	}
	for _, g := range slices.Sorted(maps.Keys(all)) {
		if 2*done[g] < all[g] {
			w.rules.violated(ruleUnserved, "only %d of %d jobs of %s are done", done[g], all[g], g)
		}
	}
}

// countedUsers returns the users whose jobs are expected to complete.
func (w *World) countedUsers() (counted []*user) {
	for _, u := range w.users {
		if !u.cancelRequested && !u.job.alwaysFails && !u.submittedAt.IsZero() && !u.job.spec.Service() {
			counted = append(counted, u)
		}
	}
	return counted
}

// cancel asks for the cancellation of the job until it is confirmed.
func (u *user) cancel() {
	if !u.accepted || u.phase == protocol.PhaseDone {
		return
	}
	u.cancelRequested = true
	u.w.Audit.cancelled(u.job.spec.ID)
	u.send(submitTimeout, cancellation(u.job.spec.ID), func(status int, body []byte) {
		switch status {
		case http.StatusOK:
			u.handleResponse(body)
		case http.StatusNotFound:
			u.w.rules.violated(ruleForgotten, "the accepted job %s is unknown when it is cancelled", u.job.spec.ID)
		default:
			u.w.after(time.Second, u.cancel)
		}
	})
}
