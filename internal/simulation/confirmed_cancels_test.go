package simulation

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
)

// TestUnseenCancellationThenOutage: the leader's watches hang while its renewals pass, others confirm
// cancellations, and the state service is then away for longer than cancel_s. The
// leader's workers must be without those tasks in time all the same: its authority
// counts from when it last knew all cancellations, not from its renewal.
func TestUnseenCancellationThenOutage(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		for _, blindFor := range []time.Duration{3 * time.Second, 7 * time.Second, 11 * time.Second, 30 * time.Second} {
			w := New(600+seed, logs())
			w.Run(6 * time.Second)
			u := w.submit(0, array("run-000001", 8), 500, 0, false)
			w.waitFor(t, 20*time.Second, "it runs", func() bool { return w.running(u) })
			c := w.leader()
			w.state.blind = c
			w.Run(400 * time.Millisecond)
			for _, o := range w.nodes { // no word over the links
				if o != c {
					w.interrupt(100*time.Second, false, func(a, b string) bool { return a == c.name && b == o.name })
				}
			}
			for !u.over {
				u.cancel()
				w.Run(100 * time.Millisecond)
			}
			w.Run(blindFor)
			w.state.outage(61 * time.Second)
			w.Run(100 * time.Second)
			for _, f := range w.rules.failures {
				t.Errorf("seed %d, blind for %v: %s", seed, blindFor, f)
			}
		}
	}
}

// TestLeaderToldOfCancellation: a leader that the state service refuses stops a job's
// tasks as soon as a peer that has confirmed the cancellation tells it.
func TestLeaderToldOfCancellation(t *testing.T) {
	t.Parallel()
	w := New(610, logs())
	w.Run(6 * time.Second)
	u := w.submit(0, array("run-000001", 4), 500, 0, false)
	w.waitFor(t, 20*time.Second, "it runs", func() bool { return w.running(u) })
	c := w.leader()
	w.state.blind = c
	w.state.refuse(c, 60*time.Second)
	at := slices.IndexFunc(w.nodes, func(o *controller) bool { return o != c })
	status := 0
	u.asked = true
	w.nodes[at].ask(func(id uint64) coordination.Event { return coordination.Cancel{ID: id, Job: u.j.spec.ID} }, func(s int, _ []byte) { status = s })
	took := w.waitFor(t, 2*time.Second, "its tasks are gone", func() bool { return w.rules.onAt["run-000001/0"] == nil && w.rules.onAt["run-000001/3"] == nil })
	t.Logf("answered %d, gone after %v", cmp.Or(status, -1), took)
	if status != 200 {
		t.Errorf("the cancellation is answered %d", status)
	}
	w.check(t)
}

// TestLongOutage: the state service is out for far longer than a leader's
// authority. All controllers are there and confirm for one another, so nothing that
// runs is lost, and what was cancelled a moment before is gone in time.
func TestLongOutage(t *testing.T) {
	t.Parallel()
	for _, refused := range []bool{false, true} {
		w := New(620, logs())
		w.Run(6 * time.Second)
		u := w.submit(0, array("run-000001", 6), 200, 0, false)
		v := w.submit(0, array("run-000002", 2), 500, 0, false)
		w.waitFor(t, 20*time.Second, "they run", func() bool { return w.running(u) && w.running(v) })
		c, starts := w.leader(), w.rules.started
		if refused {
			w.state.refuse(c, 100*time.Second)
			w.state.blind = c
			// The message about the cancellation is lost: only the confirmation names it.
			w.interrupt(1500*time.Millisecond, false, func(a, b string) bool { return a == c.name && b != "state" && w.workers[protocol.MachineID(b)] == nil })
			w.Run(200 * time.Millisecond)
		}
		for !v.over {
			v.cancel()
			w.Run(100 * time.Millisecond)
		}
		w.state.outage(80 * time.Second)
		w.Run(85 * time.Second)
		w.state.blind = nil
		w.waitFor(t, 200*time.Second, "it is done", func() bool { return u.over })
		if n := w.rules.started - starts; n > 0 {
			t.Errorf("refused %v: %d tasks were started again", refused, n)
		}
		w.check(t)
	}
}

// TestConfirmationOfRestartedPeer: a peer confirms a cancellation that the leader does
// not hear of, ends, and is back in an outage that all share. It can't confirm for its
// earlier life: the leader gives up within its authority, and the cancelled tasks
// are gone in time.
func TestConfirmationOfRestartedPeer(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := New(630+seed, logs())
		w.Run(6 * time.Second)
		u := w.submit(0, array("run-000001", 6), 500, 0, false)
		w.waitFor(t, 20*time.Second, "it runs", func() bool { return w.running(u) })
		c := w.leader()
		w.state.blind = c
		w.Run(400 * time.Millisecond)
		var s *controller
		for _, o := range w.nodes {
			if o != c {
				s = o
			}
		}
		cutOff := &cut{match: func(a, b string) bool { return a == s.name && b == c.name }}
		w.cuts = append(w.cuts, cutOff)
		status := 0
		u.asked = true
		for status != 200 {
			s.ask(func(id uint64) coordination.Event { return coordination.Cancel{ID: id, Job: u.j.spec.ID} }, func(got int, body []byte) {
				if status = got; got == 200 && !u.over {
					u.takeAnswer(body)
				}
			})
			w.Run(30 * time.Millisecond)
		}
		w.state.outage(100 * time.Second)
		s.crash(200 * time.Millisecond)
		w.Run(100 * time.Millisecond)
		w.mend(cutOff)
		w.Run(60 * time.Second)
		if c.node.Leading() {
			t.Errorf("seed %d: it still leads", seed)
		}
		w.Run(60 * time.Second)
		w.check(t)
	}
}
