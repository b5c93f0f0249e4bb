package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// downtime records what users and agents notice while controllers are replaced.
type downtime struct {
	w               *World
	requestsSent    int // to a controller that was up until it responded or the request timed out
	withoutResponse int // of these, requests that timed out
	refused         int // responses with a status after which the user retries
	leaseExpiries   int // expired leases of agents
	lastServed      time.Time
	longestGap      time.Duration // longest time without a served request
	incarnations    map[protocol.MachineID]protocol.Incarnation
	until           time.Time
}

// watchDowntime sends a request every 50 ms, each to one of the controllers that are up, as the
// load balancer does. The kinds of request alternate. It also counts the leases that expire, by
// the agents' incarnations.
func (w *World) watchDowntime(acceptedJob string, until time.Duration) *downtime {
	d := &downtime{w: w, lastServed: w.Now, incarnations: map[protocol.MachineID]protocol.Incarnation{}, until: w.Now.Add(until)}
	requests := 0
	w.every(50*time.Millisecond, int(until/(50*time.Millisecond)), func(i int) {
		for id, agent := range w.agents {
			if d.incarnations[id] != 0 && agent.incarnation > d.incarnations[id] {
				d.leaseExpiries++
			}
			d.incarnations[id] = agent.incarnation
		}
		requests++
		switch i % 3 {
		case 0:
			d.ask(2*time.Second, statusQuery(protocol.JobID(acceptedJob)))
		case 1:
			d.ask(5*time.Second, submission(array(jobID(700000+requests), 1)))
		case 2:
			d.ask(5*time.Second, cancellation(jobID(700000+requests-1)))
		}
	})
	return d
}

// ask sends a request to a random controller that is up and ready, if there is one.
func (d *downtime) ask(timeout time.Duration, r request) {
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
	generation := c.generation
	d.w.call("users", c.name, timeout, func(respond responseFunc) { c.ask(r, respond) }, func(status int, _ []byte) {
		if status == 0 && (!c.alive || c.generation != generation) {
			return // the controller crashed: the closed connection tells the user to retry
		}
		d.requestsSent++
		switch {
		case status == 0:
			d.withoutResponse++
		case status == 200 || status == 201 || status == 404:
			d.longestGap = max(d.longestGap, d.w.Now.Sub(d.lastServed))
			d.lastServed = d.w.Now
		default:
			d.refused++
		}
	})
}

// restartDelay is how long a controller is down while it is replaced.
const restartDelay = 4 * time.Second

// replacementOrder is an order in which the controllers are replaced by the current version.
type replacementOrder struct {
	replace    func(w *World, replaceOne func(c *controller))
	allDownFor time.Duration // how long all controllers may be down
}

var replacementOrders = map[string]replacementOrder{
	"one after the other": {func(w *World, replaceOne func(c *controller)) {
		for i, c := range w.nodes {
			w.after(time.Duration(i)*10*time.Second, func() { replaceOne(c) })
		}
	}, 0},
	"two at once": {func(w *World, replaceOne func(c *controller)) {
		replaceOne(w.nodes[0])
		replaceOne(w.nodes[1])
		w.after(10*time.Second, func() { replaceOne(w.nodes[2]) })
	}, 0},
	"all at once": {func(w *World, replaceOne func(c *controller)) {
		for _, c := range w.nodes {
			replaceOne(c)
		}
	}, restartDelay},
	"the leader first": {func(w *World, replaceOne func(c *controller)) {
		first := w.leader()
		replaceOne(first)
		i := 1
		for _, c := range w.nodes {
			if c != first {
				w.after(time.Duration(i)*8*time.Second, func() { replaceOne(c) })
				i++
			}
		}
	}, 0},
	"the leader last, then the next leader": {func(w *World, replaceOne func(c *controller)) {
		last := w.leader()
		for _, c := range w.nodes {
			if c != last {
				replaceOne(c)
			}
		}
		w.after(8*time.Second, func() { replaceOne(last) })
		w.after(16*time.Second, func() { replaceOne(w.leader()) })
	}, 0},
	"each crashes 2 s before its replacement": {func(w *World, replaceOne func(c *controller)) {
		for i, c := range w.nodes {
			w.after(time.Duration(i)*9*time.Second, func() { c.crash(300 * time.Millisecond) })
			w.after(time.Duration(i)*9*time.Second+2*time.Second, func() { replaceOne(c) })
		}
	}, 0},
}

// TestUpgradeCausesNoDowntime: the controllers are replaced by the current version, in any order,
// from either earlier version or from the current one. Every request of a user gets a response,
// and requests are served again soon after a controller is up. No agent's lease expires, fencing
// tokens never decrease, and no running replica or gang stops.
func TestUpgradeCausesNoDowntime(t *testing.T) {
	t.Parallel()
	for name, order := range replacementOrders {
		for from, label := range map[release]string{release02: "0.2", release03: "0.3", current: "current"} {
			t.Run(name+" from "+label, func(t *testing.T) {
				t.Parallel()
				order.replaceAndMeasure(t, from)
			})
		}
	}
}

// replaceAndMeasure replaces controllers that run the given release, and checks what users and
// agents notice.
func (order replacementOrder) replaceAndMeasure(t *testing.T, from release) {
	shape := withLoweredLimits(SmallShape(), 15, 4)
	shape.Capacity = 20
	w := NewWithShape(500, logs(), shape)
	for i, c := range w.nodes {
		w.release[c.name] = from
		if i == 2 && from == release02 {
			w.release[c.name] = release03 // both earlier versions together
		}
		c.crash(time.Millisecond)
	}
	w.Run(5 * time.Second)
	g := gangJob("run-000001", 4)
	g.OneZone = true
	gang := w.submit(arrival{job: g, run: 300})
	services := []*user{w.submit(arrival{job: service("run-000002", 4)}), w.submit(arrival{job: service("run-000003", 3)})}
	w.waitUntilRunning(t, 40*time.Second, gang, services[0], services[1])
	w.Run(10 * time.Second)
	starts := map[protocol.JobID]int{}
	for _, u := range append(services, gang) {
		u.served, u.unserved = 0, 0
		starts[u.job.spec.ID] = sum(u.job.starts)
	}
	d := w.watchDowntime("run-000001", 50*time.Second)
	order.replace(w, func(c *controller) {
		w.release[c.name] = current
		c.crash(restartDelay)
	})
	w.Run(55 * time.Second)
	d.check(t, order.allDownFor)
	for _, u := range append(services, gang) {
		if restarts := sum(u.job.starts) - starts[u.job.spec.ID]; restarts > 0 || u.unserved > 0 || !w.running(u) {
			t.Errorf("%s: %d tasks restarted, %v of replica time not served", u.job.spec.ID, restarts, u.unserved)
		}
	}
	w.expectRulesHeld(t)
}

// check reports as errors: requests without a response, a time without served requests that is
// too long even for the time with all controllers down, expired leases, and lower tokens.
func (d *downtime) check(t *testing.T, allDownFor time.Duration) {
	t.Helper()
	t.Logf("%d requests, %d refused, longest time without a served request %v", d.requestsSent, d.refused, d.longestGap)
	if d.requestsSent < 500 || d.withoutResponse > 0 {
		t.Errorf("%d of %d requests got no response, want 0 of at least 500", d.withoutResponse, d.requestsSent)
	}
	if limit := allDownFor + tuning.LeaderLeaseTTL + 3*time.Second; d.longestGap > limit {
		t.Errorf("no request was served for %v", d.longestGap)
	}
	if d.leaseExpiries > 0 {
		t.Errorf("%d agent leases expired", d.leaseExpiries)
	}
	if d.w.rules.staleTokens > 0 {
		t.Errorf("agents were sent a lower token %d times", d.w.rules.staleTokens)
	}
}

// sum returns the total number of starts of a job's tasks.
func sum(starts map[int]int) (n int) {
	for _, s := range starts {
		n += s
	}
	return n
}

// TestRequestsInMixedVersions: at every controller, whichever version each of them runs, a
// service is rejected, accepted, submitted again, queried and cancelled. No controller runs
// version 0.2 here, because that version does not support services.
func TestRequestsInMixedVersions(t *testing.T) {
	t.Parallel()
	for mixture := range 8 {
		t.Run(fmt.Sprint("mixture ", mixture), func(t *testing.T) {
			t.Parallel()
			w := NewWithShape(uint64(520+mixture), logs(), withLoweredLimits(SmallShape(), 15, 4))
			for i, c := range w.nodes {
				if mixture>>i&1 == 1 {
					w.release[c.name] = release03
				}
				c.crash(time.Millisecond)
			}
			w.Run(6 * time.Second)
			for i := range w.nodes {
				w.expectServiceServed(t, i)
			}
			w.Run(60 * time.Second)
			w.expectRulesHeld(t)
		})
	}
}

// expectServiceServed checks the responses of all controllers about a service that is submitted
// to one controller and cancelled at the next.
func (w *World) expectServiceServed(t *testing.T, node int) {
	t.Helper()
	job := service(jobID(10+node), 3)
	w.rules.jobs[job.ID] = newSimJob(job)
	submit, cancel := submission(job), cancellation(job.ID)
	tooLarge := service("run-000099", 3)
	tooLarge.Team, tooLarge.GPUs = "red", 4
	if status, _ := w.phaseAt(w.nodes[node], submission(tooLarge)); status != 422 {
		t.Errorf("service beyond its team's limit: status %d, want 422", status)
	}
	w.expectPhase(t, w.nodes[node], "submission", submit, 201, protocol.PhasePending)
	w.Run(8 * time.Second)
	for _, c := range w.nodes {
		w.expectPhase(t, c, "repeated submission", submit, 200, protocol.PhaseRunning)
	}
	w.expectPhase(t, w.nodes[(node+1)%len(w.nodes)], "cancellation", cancel, 200, protocol.PhaseCancelled)
	w.rules.jobs[job.ID].cancelledAt = w.Now
	for _, c := range w.nodes {
		for _, r := range []request{submit, cancel, statusQuery(job.ID)} {
			w.expectPhase(t, c, "request after the cancellation", r, 200, protocol.PhaseCancelled)
		}
	}
}

// expectPhase checks a controller's response to a request about a job.
func (w *World) expectPhase(t *testing.T, c *controller, what string, r request, status int, phase protocol.Phase) {
	t.Helper()
	if gotStatus, gotPhase := w.phaseAt(c, r); gotStatus != status || gotPhase != phase {
		t.Errorf("%s at %s: status %d, phase %q, want %d, %q", what, c.name, gotStatus, gotPhase, status, phase)
	}
}

// phaseAt sends a request about a job to a controller, and returns the status and the phase in
// its response, or 0 and "" if there is none within half a second.
func (w *World) phaseAt(c *controller, r request) (status int, phase protocol.Phase) {
	c.ask(r, func(s int, body []byte) {
		var a protocol.Accepted
		if status = s; s < 300 {
			decode(body, &a)
		}
		phase = a.Phase
	})
	w.Run(500 * time.Millisecond)
	return status, phase
}
