package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// downtime counts what users and workers notice while controllers are replaced.
type downtime struct {
	w             *World
	requestsSent  int // requests to a node that was up until it had answered or its time was over
	unanswered    int // of them
	refused       int // answered with a status that has the user come back
	leaseExpiries int // agents' leases that ran out
	lastServed    time.Time
	longestGap    time.Duration // the longest time without a request that was served
	incarnations  map[protocol.MachineID]protocol.Incarnation
	until         time.Time
}

// watchDowntime sends requests of every kind to the nodes that are up, as the load
// balancer does, and looks at the agents' incarnations.
func (w *World) watchDowntime(accepted string, until time.Duration) *downtime {
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
			d.ask(2*time.Second, statusQuery(protocol.JobID(accepted)))
		case 1:
			d.ask(5*time.Second, submission(array(jobID(700000+requests), 1)))
		case 2:
			d.ask(5*time.Second, cancellation(jobID(700000+requests-1)))
		}
	})
	return d
}

// ask sends one request to a node that is up and ready, if there is one.
func (d *downtime) ask(limit time.Duration, event request) {
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
	d.w.call("users", c.name, limit, func(answer responseFunc) { c.ask(event, answer) }, func(status int, _ []byte) {
		if status == 0 && (!c.alive || c.life != life) {
			return // it was killed under the request: the connection tells the user
		}
		d.requestsSent++
		switch {
		case status == 0:
			d.unanswered++
		case status == 200 || status == 201 || status == 404:
			d.longestGap = max(d.longestGap, d.w.Now.Sub(d.lastServed))
			d.lastServed = d.w.Now
		default:
			d.refused++
		}
	})
}

// restartDelay is how long a controller that is replaced is away.
const restartDelay = 4 * time.Second

// replacementOrder is an order in which the controllers are replaced by the new version.
type replacementOrder struct {
	replace    func(w *World, one func(c *controller))
	allDownFor time.Duration // how long no controller may be up
}

var replacementOrders = map[string]replacementOrder{
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
	}, restartDelay},
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

// TestUpgradeCausesNoDowntime: while the controllers are replaced by the new version, in any order
// and from either earlier version, every user's request gets an answer, and one is
// served again soon after one is up; no agent's lease expires; tokens only rise; and
// nothing that runs stops, no replica and no gang.
func TestUpgradeCausesNoDowntime(t *testing.T) {
	t.Parallel()
	for name, order := range replacementOrders {
		for from, label := range map[release]string{release02: "0.2", release03: "0.3", current: "itself"} {
			t.Run(name+" from "+label, func(t *testing.T) {
				t.Parallel()
				order.replaceAndMeasure(t, from)
			})
		}
	}
}

// lowerLimits replaces the controllers of one release and counts what is noticed.
func (order replacementOrder) replaceAndMeasure(t *testing.T, from release) {
	shape := withLoweredLimits(SmallShape(), 15, 4)
	shape.Capacity = 20
	w := NewWithShape(500, logs(), shape)
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
		if again := sum(u.job.starts) - starts[u.job.spec.ID]; again > 0 || u.unserved > 0 || !w.running(u) {
			t.Errorf("%s: %d tasks are started again, %v are not served", u.job.spec.ID, again, u.unserved)
		}
	}
	w.expectRulesHeld(t)
}

// check reports what must not be noticed: requests without an answer, a time without
// service beyond that in which no controller is up, expired leases and lower tokens.
func (d *downtime) check(t *testing.T, away time.Duration) {
	t.Helper()
	t.Logf("%d requests, %d refused, served again within %v", d.requestsSent, d.refused, d.longestGap)
	if d.requestsSent < 500 || d.unanswered > 0 {
		t.Errorf("%d of %d requests are not answered", d.unanswered, d.requestsSent)
	}
	if limit := away + tuning.LeaderLeaseTTL + 3*time.Second; d.longestGap > limit {
		t.Errorf("nothing is served for %v", d.longestGap)
	}
	if d.leaseExpiries > 0 {
		t.Errorf("%d leases expired", d.leaseExpiries)
	}
	if d.w.rules.staleTokens > 0 {
		t.Errorf("%d times a worker was shown a lower token", d.w.rules.staleTokens)
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

// expectServiceServed checks the answers of all nodes about a service that is submitted to
// one and cancelled at the next.
func (w *World) expectServiceServed(t *testing.T, node int) {
	t.Helper()
	job := service(jobID(10+node), 3)
	w.rules.jobs[job.ID] = newSimJob(job)
	submit, cancel := submission(job), cancellation(job.ID)
	tooLarge := service("run-000099", 3)
	tooLarge.Team, tooLarge.GPUs = "red", 4
	if status, _ := w.phaseAt(w.nodes[node], submission(tooLarge)); status != 422 {
		t.Errorf("beyond its team's limit: %d", status)
	}
	w.expectPhase(t, w.nodes[node], "submitted", submit, 201, protocol.PhasePending)
	w.Run(8 * time.Second)
	for _, c := range w.nodes {
		w.expectPhase(t, c, "repeated", submit, 200, protocol.PhaseRunning)
	}
	w.expectPhase(t, w.nodes[(node+1)%len(w.nodes)], "cancelled", cancel, 200, protocol.PhaseCancelled)
	w.rules.jobs[job.ID].cancelledAt = w.Now
	for _, c := range w.nodes {
		for _, r := range []request{submit, cancel, statusQuery(job.ID)} {
			w.expectPhase(t, c, "after its cancellation", r, 200, protocol.PhaseCancelled)
		}
	}
}

// expectPhase checks a node's answer to a request about a job.
func (w *World) expectPhase(t *testing.T, c *controller, what string, r request, status int, phase protocol.Phase) {
	t.Helper()
	if gotStatus, gotPhase := w.phaseAt(c, r); gotStatus != status || gotPhase != phase {
		t.Errorf("%s at %s: %d %s, want %d %s", what, c.name, gotStatus, gotPhase, status, phase)
	}
}

// phaseAt has a node take a request about a job and returns its answer of half a second
// later.
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
