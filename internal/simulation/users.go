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

// userBehaviour is what users do beyond submitting jobs and asking for them.
type userBehaviour struct {
	askAllNodes      bool    // they ask every node after every answer
	cancelAtEndShare float64 // this share of the jobs is cancelled at the moment of their end
}

// user submits one job and asks for it until it is over.
type user struct {
	w                *World
	job              *simJob
	accepted         bool
	submittedAt      time.Time      // of the first attempt to submit
	lastResponseAt   time.Time      // of the newest answer about the job
	phase            protocol.Phase // the newest answer
	cancelRequested  bool           // has asked to cancel
	over             bool
	stoppedAsking    bool          // asks nothing any more
	served, unserved time.Duration // replica time that was served and that was not, from 5 s on
}

// How long users wait for an answer.
const (
	submitTimeout = 5 * time.Second // also to a cancellation
	queryTimeout  = 2 * time.Second
)

// arrival is a job that a user submits.
type arrival struct {
	after       time.Duration // until the first attempt
	job         *protocol.Job
	run         float64       // seconds for which its tasks run
	cancelAfter time.Duration // the user cancels it so long after, 0: not
	alwaysFails bool          // every task ends with an error
}

// submit lets a user come.
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
	}
	w.after(a.after, func() {
		w.rules.jobs[spec.ID] = j
		u.submittedAt = w.Now
		w.Audit.submitted(spec)
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

// request makes the event of a request from outside under the number that its answer will
// have.
type request func(id uint64) coordination.Event

// submission is the request to run a job.
func submission(job *protocol.Job) request {
	return func(id uint64) coordination.Event { return coordination.Submit{ID: id, Job: job} }
}

// statusQuery is the question how far a job is.
func statusQuery(job protocol.JobID) request {
	return func(id uint64) coordination.Event { return coordination.StatusQuery{ID: id, Job: job} }
}

// cancellation is the request to cancel a job.
func cancellation(job protocol.JobID) request {
	return func(id uint64) coordination.Event { return coordination.Cancel{ID: id, Job: job} }
}

// ask sends a request to a node drawn by lot, unless the user has left.
func (u *user) send(limit time.Duration, r request, done responseFunc) {
	if u.stoppedAsking {
		return
	}
	u.w.callController("users", u.w.rng.IntN(len(u.w.nodes)), limit, r, done)
}

// submit asks for the job to be run until it is accepted, and sometimes once more.
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
			u.w.rules.violated(ruleRefused, "%s: %d %s", u.job.spec.ID, status, body)
		default:
			u.w.after(time.Second, u.submit)
		}
	})
}

// isFinal says whether a phase is the last one of a job.
func isFinal(p protocol.Phase) bool { return p == protocol.PhaseDone || p == protocol.PhaseCancelled }

// handleResponse checks an answer against what this user was told before.
func (u *user) handleResponse(body []byte) {
	u.lastResponseAt = u.w.Now
	var a protocol.Accepted
	decode(body, &a)
	u.checkPhase(a)
	news := a.Phase != u.phase
	u.phase = a.Phase
	if news && u.w.askAllNodes {
		u.askAllNodes()
	}
	if isFinal(a.Phase) {
		u.over = true
		if a.Phase == protocol.PhaseCancelled && u.job.cancelledAt.IsZero() {
			u.noteCancelled()
		}
	}
}

// checkPhase checks that a job's phase does not go back, and that a job that is called
// cancelled or done is so.
func (u *user) checkPhase(a protocol.Accepted) {
	if isFinal(u.phase) && a.Phase != u.phase {
		u.w.rules.violated(ruleWentBack, "%s was %s and is %s", a.ID, u.phase, a.Phase)
	}
	if a.Phase == protocol.PhaseCancelled && !u.cancelRequested {
		u.w.rules.violated(ruleWentBack, "%s is cancelled by nobody", a.ID)
	}
	if a.Phase != protocol.PhaseDone {
		return
	}
	if u.job.spec.Service() {
		u.w.rules.violated(ruleNotDone, "the service %s is called done", a.ID)
	}
	if i := slices.Index(u.job.done, false); i >= 0 {
		u.w.rules.violated(ruleNotDone, "%s is called done without task %d", a.ID, i)
	}
}

// noteCancelled has the job's tasks checked once its cancellation must hold.
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

// poll asks for the job again and again until it is over, and a few times more.
func (u *user) poll() {
	before := u.phase
	u.send(queryTimeout, statusQuery(u.job.spec.ID), func(status int, body []byte) {
		switch {
		case status == http.StatusOK && u.phase == before:
			u.handleResponse(body)
		case status == http.StatusOK:
			u.lastResponseAt = u.w.Now
		case status == http.StatusNotFound:
			u.w.rules.violated(ruleForgotten, "%s is unknown", u.job.spec.ID)
		default:
			u.checkResponseDelay()
		}
		if !u.over || u.w.rng.IntN(3) == 0 {
			u.w.after(5*time.Second, u.poll)
		}
	})
}

// askAllNodes asks all nodes again within milliseconds and repeats the submission: no
// answer may be older than the newest that any node had given before the question.
func (u *user) askAllNodes() {
	w := u.w
	for i := range 3 * len(w.nodes) {
		c := w.nodes[i%len(w.nodes)]
		w.after(w.between(0, 8*time.Millisecond), func() {
			told := u.phase
			question := statusQuery(u.job.spec.ID)
			if i >= 2*len(w.nodes) {
				question = submission(u.job.spec)
			}
			w.call("users", c.name, queryTimeout, func(answer responseFunc) { c.ask(question, answer) },
				func(status int, body []byte) { u.checkRepeatedResponse(c, told, status, body) })
		})
	}
}

// checkRepeatedResponse checks a node's answer to a question about a job that is accepted.
func (u *user) checkRepeatedResponse(c *controller, told protocol.Phase, status int, body []byte) {
	switch status {
	case http.StatusOK, http.StatusCreated:
		var a protocol.Accepted
		decode(body, &a)
		if isFinal(told) && a.Phase != told {
			u.w.rules.violated(ruleWentBack, "%s was %s and is %s at %s", a.ID, told, a.Phase, c.name)
		}
		if status == http.StatusCreated {
			u.w.rules.violated(ruleForgotten, "%s is accepted anew by %s", a.ID, c.name)
		}
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
		u.w.rules.violated(ruleForgotten, "%s is answered %d by %s", u.job.spec.ID, status, c.name)
	}
}

// measureService adds up the replica time of a service that was served and that was not.
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

// checkResponseDelay checks that no job goes without an answer for long once all
// faults are over, however other jobs fare.
func (u *user) checkResponseDelay() {
	from := u.w.faultsEndedAt
	if u.lastResponseAt.After(from) {
		from = u.lastResponseAt
	}
	if !u.w.faultsEndedAt.IsZero() && u.w.Now.Sub(from) > maxTimeWithoutResponse {
		u.w.rules.violated(ruleForgotten, "no question about %s is answered for %v", u.job.spec.ID, u.w.Now.Sub(from))
	}
}

// Bounds of the rules about jobs.
const (
	maxTimeWithoutResponse = 75 * time.Second
	maxLargestJobWait      = 4 * time.Minute
)

// checkServed checks at the end of a day that at least half of every class, of every
// team and of every class's largest jobs was served, and that the largest
// began within a while.
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
				w.rules.violated(ruleLate, "%s of %d tasks began after %v", spec.ID, spec.Tasks, wait)
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
			w.rules.violated(ruleUnserved, "%d of %d of %s", done[g], all[g], g)
		}
	}
}

// countedUsers are the users whose jobs were to be done.
func (w *World) countedUsers() (counted []*user) {
	for _, u := range w.users {
		if !u.cancelRequested && !u.job.alwaysFails && !u.submittedAt.IsZero() && !u.job.spec.Service() {
			counted = append(counted, u)
		}
	}
	return counted
}

// cancel asks for a cancellation until it is confirmed.
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
			u.w.rules.violated(ruleForgotten, "%s cannot be cancelled", u.job.spec.ID)
		default:
			u.w.after(time.Second, u.cancel)
		}
	})
}
