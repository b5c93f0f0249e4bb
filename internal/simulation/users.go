package simulation

import (
	"cmp"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
)

// user submits one job and asks for it until it is over.
type user struct {
	w        *World
	j        *simJob
	accepted bool
	since    time.Time      // of the first attempt to submit
	answered time.Time      // of the newest answer about the job
	phase    protocol.Phase // the newest answer
	cancelAt time.Duration
	asked    bool // has asked to cancel
	over     bool
	left     bool          // asks nothing any more
	up, away time.Duration // replica time that was served and that was not, from 5 s on
}

// submit lets a user come after a while. A user gives up polls after 2 s and
// submissions after 5 s.
func (w *World) submit(after time.Duration, spec *protocol.Job, run float64, cancel time.Duration, mistaken bool) *user {
	j := &simJob{spec: spec, run: run, progress: make([]float64, spec.Tasks), done: make([]bool, spec.Tasks), gangs: map[protocol.AttemptNumber]*gang{}, mistaken: mistaken}
	u := &user{w: w, j: j, cancelAt: cancel}
	w.users = append(w.users, u)
	j.last = func() {
		if w.rng.Float64() < w.atEnd {
			u.cancel()
		}
	}
	w.after(after, func() {
		w.rules.jobs[spec.ID] = j
		u.since = w.Now
		w.Audit.submitted(spec)
		u.try()
		if spec.Service() {
			u.count()
		}
		if cancel > 0 {
			w.after(cancel, u.cancel)
		}
	})
	return u
}

func (u *user) ask(limit time.Duration, event func(id uint64) coordination.Event, done func(status int, body []byte)) {
	if u.left {
		return
	}
	u.w.reach("users", u.w.rng.IntN(len(u.w.nodes)), limit, event, done)
}

func (u *user) try() {
	u.ask(5*time.Second, func(id uint64) coordination.Event { return coordination.Submit{ID: id, Job: u.j.spec} }, func(status int, body []byte) {
		switch status {
		case 200, 201:
			u.takeAnswer(body)
			if !u.accepted {
				u.accepted = true
				u.w.after(5*time.Second, u.poll)
			}
			if u.w.rng.IntN(4) == 0 { // a retry may come at any later time
				u.w.after(u.w.between(0, 200*time.Second), u.try)
			}
		case 400, 422:
			u.w.rules.violated("refused", "%s: %d %s", u.j.spec.ID, status, body)
		default:
			u.w.after(time.Second, u.try)
		}
	})
}

// takeAnswer checks an answer against what this user was told before.
func (u *user) takeAnswer(body []byte) {
	u.answered = u.w.Now
	var a protocol.Accepted
	decode(body, &a)
	final := func(p protocol.Phase) bool { return p == protocol.PhaseDone || p == protocol.PhaseCancelled }
	if final(u.phase) && a.Phase != u.phase {
		u.w.rules.violated("went_back", "%s was %s and is %s", a.ID, u.phase, a.Phase)
	}
	if a.Phase == protocol.PhaseCancelled && !u.asked {
		u.w.rules.violated("went_back", "%s is cancelled by nobody", a.ID)
	}
	if a.Phase == protocol.PhaseDone {
		if u.j.spec.Service() {
			u.w.rules.violated("not_done", "the service %s is called done", a.ID)
		}
		for i, d := range u.j.done {
			if !d {
				u.w.rules.violated("not_done", "%s is called done without task %d", a.ID, i)
				break
			}
		}
	}
	news := a.Phase != u.phase
	u.phase = a.Phase
	if news && u.w.close {
		u.look()
	}
	if final(a.Phase) {
		u.over = true
		if a.Phase == protocol.PhaseCancelled && u.j.cancelled.IsZero() {
			u.j.cancelled = u.w.Now
			u.w.after(secs(u.w.shape.Workers.CancelS)+time.Millisecond, func() {
				for i := range u.j.spec.Tasks {
					if t := u.w.rules.onAt[protocol.TaskName(u.j.spec.ID, i)]; t != nil {
						u.w.rules.checkCancelled(t)
					}
				}
			})
		}
	}
}

func (u *user) poll() {
	before := u.phase
	u.ask(2*time.Second, func(id uint64) coordination.Event { return coordination.StatusQuery{ID: id, Job: u.j.spec.ID} }, func(status int, body []byte) {
		switch {
		case status == 200 && u.phase == before:
			u.takeAnswer(body)
		case status == 200:
			u.answered = u.w.Now
		case status == 404:
			u.w.rules.violated("forgotten", "%s is unknown", u.j.spec.ID)
		default:
			u.unanswered()
		}
		if !u.over || u.w.rng.IntN(3) == 0 {
			u.w.after(5*time.Second, u.poll)
		}
	})
}

// look asks all nodes again within milliseconds and repeats the submission: no
// answer may be older than the newest that any node had given before the question.
func (u *user) look() {
	w := u.w
	for i := range 3 * len(w.nodes) {
		c := w.nodes[i%len(w.nodes)]
		w.after(w.between(0, 8*time.Millisecond), func() {
			told := u.phase
			event := func(id uint64) coordination.Event { return coordination.StatusQuery{ID: id, Job: u.j.spec.ID} }
			if i >= 2*len(w.nodes) {
				event = func(id uint64) coordination.Event { return coordination.Submit{ID: id, Job: u.j.spec} }
			}
			w.call("users", c.name, 2*time.Second, func(answer func(int, []byte)) { c.ask(event, answer) }, func(status int, body []byte) {
				switch status {
				case 200, 201:
					var a protocol.Accepted
					decode(body, &a)
					if (told == protocol.PhaseDone || told == protocol.PhaseCancelled) && a.Phase != told {
						w.rules.violated("went_back", "%s was %s and is %s at %s", a.ID, told, a.Phase, c.name)
					}
					if status == 201 {
						w.rules.violated("forgotten", "%s is accepted anew by %s", a.ID, c.name)
					}
				case 400, 404, 422:
					w.rules.violated("forgotten", "%s is answered %d by %s", u.j.spec.ID, status, c.name)
				}
			})
		})
	}
}

// count adds up the replica time of a service that was served and that was not.
func (u *user) count() {
	const step = 50 * time.Millisecond
	if u.asked {
		return
	}
	if u.w.Now.Sub(u.since) >= 5*time.Second {
		for i := range u.j.spec.Tasks {
			if t := u.w.rules.onAt[protocol.TaskName(u.j.spec.ID, i)]; t != nil && t.state == protocol.TaskRunning && !t.k.hung {
				u.up += step
			} else {
				u.away += step
			}
		}
	}
	u.w.after(step, u.count)
}

// unanswered checks that no job goes without an answer for long once all
// faults are over, however other jobs fare.
func (u *user) unanswered() {
	from := u.w.faultsOver
	if u.answered.After(from) {
		from = u.answered
	}
	if !u.w.faultsOver.IsZero() && u.w.Now.Sub(from) > forgottenAfter {
		u.w.rules.violated("forgotten", "no question about %s is answered for %v", u.j.spec.ID, u.w.Now.Sub(from))
	}
}

// Bounds of the rules about jobs.
const (
	forgottenAfter = 75 * time.Second
	largestWithin  = 4 * time.Minute
)

// served checks at the end of a day that at least half of every class, of every
// team and of every class's largest jobs was served, and that the largest
// began within a while.
func (w *World) served(within time.Duration) {
	largest := map[string]int{}
	var counted []*user
	for _, u := range w.users {
		if !u.asked && !u.j.mistaken && !u.since.IsZero() && !u.j.spec.Service() {
			counted = append(counted, u)
			largest[u.j.spec.Class] = max(largest[u.j.spec.Class], u.j.spec.Tasks)
		}
	}
	all, done := map[string]int{}, map[string]int{}
	for _, u := range counted {
		spec := u.j.spec
		groups := []string{"class " + spec.Class, "team " + string(spec.Team)}
		if spec.Tasks == largest[spec.Class] {
			groups = append(groups, "the largest of "+spec.Class)
			if late := cmp.Or(u.j.began, w.Now).Sub(u.since); late > within {
				w.rules.violated("late", "%s of %d tasks began after %v", spec.ID, spec.Tasks, late)
			}
		}
		for _, g := range groups {
			all[g]++
			if u.phase == protocol.PhaseDone {
				done[g]++
			}
		}
	}
	for g, n := range all {
		if 2*done[g] < n {
			w.rules.violated("unserved", "%d of %d of %s", done[g], n, g)
		}
	}
}

func (u *user) cancel() {
	if !u.accepted || u.phase == protocol.PhaseDone {
		return
	}
	u.asked = true
	u.w.Audit.cancelled(u.j.spec.ID)
	u.ask(5*time.Second, func(id uint64) coordination.Event { return coordination.Cancel{ID: id, Job: u.j.spec.ID} }, func(status int, body []byte) {
		switch status {
		case 200:
			u.takeAnswer(body)
		case 404:
			u.w.rules.violated("forgotten", "%s cannot be cancelled", u.j.spec.ID)
		default:
			u.w.after(time.Second, u.cancel)
		}
	})
}
