package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// downtime counts what users and workers notice while controllers are replaced.
type downtime struct {
	w          *World
	asked      int // requests to a node that was up until it had answered or its time was over
	unanswered int // of them
	refused    int // answered with a status that has the user come back
	lapses     int // workers' sessions that ended
	lastServed time.Time
	longest    time.Duration // the longest time without a request that was served
	sessions   map[protocol.MachineID]protocol.Incarnation
	until      time.Time
}

// watchDowntime sends requests of every kind to the nodes that are up, as the load
// balancer does, and looks at the workers' sessions.
func (w *World) watchDowntime(accepted string, until time.Duration) *downtime {
	d := &downtime{w: w, lastServed: w.Now, sessions: map[protocol.MachineID]protocol.Incarnation{}, until: w.Now.Add(until)}
	requests := 0
	w.every(50*time.Millisecond, int(until/(50*time.Millisecond)), func(i int) {
		for id, k := range w.workers {
			if d.sessions[id] != 0 && k.session > d.sessions[id] {
				d.lapses++
			}
			d.sessions[id] = k.session
		}
		requests++
		switch i % 3 {
		case 0:
			d.ask(2*time.Second, func(id uint64) coordination.Event {
				return coordination.StatusQuery{ID: id, Job: protocol.JobID(accepted)}
			})
		case 1:
			d.ask(5*time.Second, func(id uint64) coordination.Event {
				return coordination.Submit{ID: id, Job: array(protocol.JobID(fmt.Sprintf("run-7%05d", requests)), 1)}
			})
		case 2:
			d.ask(5*time.Second, func(id uint64) coordination.Event {
				return coordination.Cancel{ID: id, Job: protocol.JobID(fmt.Sprintf("run-7%05d", requests-1))}
			})
		}
	})
	return d
}

// ask sends one request to a node that is up and ready, if there is one.
func (d *downtime) ask(limit time.Duration, event func(id uint64) coordination.Event) {
	var up []*controller
	for _, c := range d.w.nodes {
		if c.alive && c.node.Ready() {
			up = append(up, c)
		}
	}
	if len(up) == 0 {
		return
	}
	c := up[d.w.rng.IntN(len(up))]
	life := c.life
	d.w.call("users", c.name, limit, func(answer func(int, []byte)) { c.ask(event, answer) }, func(status int, _ []byte) {
		if status == 0 && (!c.alive || c.life != life) {
			return // it was killed under the request: the connection tells the user
		}
		d.asked++
		switch {
		case status == 0:
			d.unanswered++
		case status == 200 || status == 201 || status == 404:
			d.longest = max(d.longest, d.w.Now.Sub(d.lastServed))
			d.lastServed = d.w.Now
		default:
			d.refused++
		}
	})
}

// backAfter is how long a controller that is replaced is away.
const backAfter = 4 * time.Second

// replacement is an order in which the controllers are replaced by the new version.
type replacement struct {
	replace func(w *World, one func(c *controller))
	away    time.Duration // how long no controller may be up
}

var replacements = map[string]replacement{
	"one after the other": {func(w *World, one func(c *controller)) {
		for i, c := range w.nodes {
			w.after(time.Duration(i)*10*time.Second, func() { one(c) })
		}
	}, 0},
	"two at once": {func(w *World, one func(c *controller)) {
		one(w.nodes[0])
		one(w.nodes[1])
		w.after(10*time.Second, func() { one(w.nodes[2]) })
	}, 0},
	"all at once": {func(w *World, one func(c *controller)) {
		for _, c := range w.nodes {
			one(c)
		}
	}, backAfter},
	"the leader first": {func(w *World, one func(c *controller)) {
		first := w.leader()
		one(first)
		i := 1
		for _, c := range w.nodes {
			if c != first {
				w.after(time.Duration(i)*8*time.Second, func() { one(c) })
				i++
			}
		}
	}, 0},
	"the leader last, again and again": {func(w *World, one func(c *controller)) {
		last := w.leader()
		for _, c := range w.nodes {
			if c != last {
				one(c)
			}
		}
		w.after(8*time.Second, func() { one(last) })
		w.after(16*time.Second, func() { one(w.leader()) })
	}, 0},
	"each dies once more on its way": {func(w *World, one func(c *controller)) {
		for i, c := range w.nodes {
			w.after(time.Duration(i)*9*time.Second, func() { c.crash(300 * time.Millisecond) })
			w.after(time.Duration(i)*9*time.Second+2*time.Second, func() { one(c) })
		}
	}, 0},
}

// TestNoDowntime: while the controllers are replaced by the new version, in any order
// and from either earlier version, every user's request gets an answer, and one is
// served again soon after one is up; no worker's lease lapses; tokens only rise; and
// nothing that runs stops, no replica and no gang.
func TestNoDowntime(t *testing.T) {
	t.Parallel()
	for name, order := range replacements {
		for from, label := range map[release]string{release02: "0.2", release03: "0.3", current: "itself"} {
			t.Run(name+" from "+label, func(t *testing.T) {
				t.Parallel()
				order.play(t, from)
			})
		}
	}
}

// play replaces the controllers of one release and counts what is noticed.
func (order replacement) play(t *testing.T, from release) {
	shape := lowered(Small(), 15, 4)
	shape.Capacity = 20
	w := NewShaped(500, logs(), shape)
	for i, c := range w.nodes {
		w.release[c.name] = from
		if i == 2 && from == release02 {
			w.release[c.name] = release03 // both earlier versions at once
		}
		c.crash(time.Millisecond)
	}
	w.Run(5 * time.Second)
	g := gangJob("run-000001", 4)
	g.OneZone = true
	gang := w.submit(0, g, 300, 0, false)
	services := []*user{w.submit(0, service("run-000002", 4), 0, 0, false), w.submit(0, service("run-000003", 3), 0, 0, false)}
	w.waitFor(t, 40*time.Second, "all runs", func() bool { return w.running(gang) && w.running(services[0]) && w.running(services[1]) })
	w.Run(10 * time.Second)
	starts := map[protocol.JobID]int{}
	for _, u := range append(services, gang) {
		u.up, u.away = 0, 0
		starts[u.j.spec.ID] = sum(u.j.starts)
	}
	d := w.watchDowntime("run-000001", 50*time.Second)
	order.replace(w, func(c *controller) {
		w.release[c.name] = current
		c.crash(backAfter)
	})
	w.Run(55 * time.Second)
	d.check(t, order.away)
	for _, u := range append(services, gang) {
		if again := sum(u.j.starts) - starts[u.j.spec.ID]; again > 0 || u.away > 0 || !w.running(u) {
			t.Errorf("%s: %d tasks are started again, %v are not served", u.j.spec.ID, again, u.away)
		}
	}
	w.check(t)
}

// check reports what must not be noticed: requests without an answer, a time without
// service beyond that in which no controller is up, lapsed leases and lower tokens.
func (d *downtime) check(t *testing.T, away time.Duration) {
	t.Helper()
	t.Logf("%d requests, %d refused, served again within %v", d.asked, d.refused, d.longest)
	if d.asked < 500 || d.unanswered > 0 {
		t.Errorf("%d of %d requests are not answered", d.unanswered, d.asked)
	}
	if limit := away + tuning.LeaderLeaseTTL + 3*time.Second; d.longest > limit {
		t.Errorf("nothing is served for %v", d.longest)
	}
	if d.lapses > 0 {
		t.Errorf("%d leases lapsed", d.lapses)
	}
	if d.w.rules.lowerTokens > 0 {
		t.Errorf("%d times a worker was shown a lower token", d.w.rules.lowerTokens)
	}
}

// sum adds up the starts of a job's tasks.
func sum(starts map[int]int) (n int) {
	for _, s := range starts {
		n += s
	}
	return n
}

// TestRequestsInMixedVersions: a service is refused, taken, repeated, asked after and
// cancelled at every node, whichever version each of them has. (Nothing new is asked of
// a node of version 0.2, which does not know services.)
func TestRequestsInMixedVersions(t *testing.T) {
	t.Parallel()
	for mixture := range 8 {
		w := NewShaped(uint64(520+mixture), logs(), lowered(Small(), 15, 4))
		for i, c := range w.nodes {
			if mixture>>i&1 == 1 {
				w.release[c.name] = release03
			}
			c.crash(time.Millisecond)
		}
		w.Run(6 * time.Second)
		ask := func(c *controller, event func(id uint64) coordination.Event) (status int, phase protocol.Phase) {
			c.ask(event, func(s int, body []byte) {
				var a protocol.Accepted
				if status = s; s < 300 {
					decode(body, &a)
				}
				phase = a.Phase
			})
			w.Run(500 * time.Millisecond)
			return status, phase
		}
		for i, c := range w.nodes {
			spec := service(protocol.JobID(fmt.Sprintf("run-00001%d", i)), 3)
			w.rules.jobs[spec.ID] = &simJob{spec: spec, progress: make([]float64, 3), done: make([]bool, 3), gangs: map[protocol.AttemptNumber]*gang{}}
			submit := func(id uint64) coordination.Event { return coordination.Submit{ID: id, Job: spec} }
			tooLarge := service("run-000099", 3)
			tooLarge.Team, tooLarge.GPUs = "red", 4
			if status, _ := ask(c, func(id uint64) coordination.Event { return coordination.Submit{ID: id, Job: tooLarge} }); status != 422 {
				t.Errorf("mixture %d: beyond its team's limit: %d", mixture, status)
			}
			if status, phase := ask(c, submit); status != 201 || phase != protocol.PhasePending {
				t.Errorf("mixture %d: submitted: %d %s", mixture, status, phase)
			}
			w.Run(8 * time.Second)
			for _, o := range w.nodes {
				if status, phase := ask(o, submit); status != 200 || phase != protocol.PhaseRunning {
					t.Errorf("mixture %d: repeated: %d %s", mixture, status, phase)
				}
			}
			at := w.nodes[(i+1)%3]
			cancel := func(id uint64) coordination.Event { return coordination.Cancel{ID: id, Job: spec.ID} }
			if status, phase := ask(at, cancel); status != 200 || phase != protocol.PhaseCancelled {
				t.Errorf("mixture %d: cancelled: %d %s", mixture, status, phase)
			}
			w.rules.jobs[spec.ID].cancelled = w.Now
			for _, o := range w.nodes {
				for _, event := range []func(id uint64) coordination.Event{submit, cancel, func(id uint64) coordination.Event { return coordination.StatusQuery{ID: id, Job: spec.ID} }} {
					if status, phase := ask(o, event); status != 200 || phase != protocol.PhaseCancelled {
						t.Errorf("mixture %d: after its cancellation: %d %s", mixture, status, phase)
					}
				}
			}
		}
		w.Run(60 * time.Second)
		w.check(t)
	}
}
