package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// over says whether every user has had a final answer.
func (w *World) over() bool {
	return !slices.ContainsFunc(w.users, func(u *user) bool { return !u.over })
}

// finish lets a day come to its end and checks whom it served.
func (w *World) finish(t *testing.T, limit time.Duration) {
	t.Helper()
	for end := w.Now.Add(limit); !w.over() && w.Now.Before(end); {
		w.Run(time.Second)
	}
	w.served(largestWithin)
	w.check(t)
	if !w.over() {
		t.Errorf("not all is over within %v", limit)
	}
}

// TestMachineNotReceiving: a machine whose reports arrive, but which no answer and no
// order reaches, keeps neither a gang nor a cancellation waiting. Its lease
// runs out again and again; it is noticed, takes no work and is returned.
func TestMachineNotReceiving(t *testing.T) {
	t.Parallel()
	for _, busy := range []bool{true, false} {
		for _, hold := range []bool{true, false} {
			shape := Small()
			shape.Machines, shape.Capacity = 2, 3 // one a zone, and one that can be rented
			w := NewShaped(21, logs(), shape)
			w.Run(6 * time.Second)
			id := w.cloud.hosts[0].ID
			if busy {
				spec := array("run-000001", 2)
				spec.Zone = w.zoneOf[string(id)]
				u := w.submit(0, spec, 500, 0, false)
				w.waitFor(t, 20*time.Second, "it runs", func() bool { return w.running(u) })
				w.after(time.Second+time.Millisecond, u.cancel)
			}
			w.blockInbound(string(id), 600*time.Second, hold)
			w.Run(time.Second)
			spec := gangJob("run-000010", 4) // takes a whole machine of that zone
			spec.Zone = w.zoneOf[string(id)]
			u := w.submit(0, spec, 15, 0, false)
			took := w.waitFor(t, 100*time.Second, "the gang is done", func() bool { return u.over })
			t.Logf("busy %v, hold %v: done after %v", busy, hold, took)
			if w.workers[id] != nil {
				t.Errorf("busy %v, hold %v: the deaf machine is still rented", busy, hold)
			}
			w.Run(secs(w.shape.Workers.CancelS))
			w.check(t)
		}
	}
}

// TestMachineNotReceivingIsNotUsed: work on a not receiving machine is given back by its own
// newer session or its deletion, and a job that waits is started elsewhere.
func TestMachineNotReceivingIsNotUsed(t *testing.T) {
	t.Parallel()
	w := New(22, logs())
	w.Run(6 * time.Second)
	spec := gangJob("run-000001", 4)
	spec.CheckpointS, spec.SaveS, spec.OneZone = 10, 2, true
	u := w.submit(0, spec, 80, 0, false)
	w.waitFor(t, 20*time.Second, "it runs", func() bool { return w.running(u) })
	id := w.rules.onAt["run-000001/0"].k.h.ID
	w.blockInbound(string(id), 400*time.Second, false)
	w.Run(secs(w.shape.Workers.LeaseS) + 2*time.Second)
	took := w.waitFor(t, 60*time.Second, "it runs elsewhere", func() bool {
		return w.running(u) && w.rules.onAt["run-000001/0"].k.h.ID != id
	})
	t.Logf("repaired %v after the lease ran out", took)
	w.waitFor(t, 120*time.Second, "it is done", func() bool { return u.over })
	w.check(t)
}

// TestLateCopies: copies of reports, late by up to four leases, reach every
// controller while leaders change and machines are lost and returned.
func TestLateCopies(t *testing.T) {
	t.Parallel()
	w := New(23, logs())
	w.copies = 4 * secs(w.shape.Workers.LeaseS)
	w.load(24, 120*time.Second)
	for range 5 {
		w.Run(25 * time.Second)
		if c := w.leader(); c != nil {
			c.crash(time.Second)
		}
		for _, h := range w.cloud.hosts {
			if w.workers[h.ID] != nil {
				w.cloud.destroy(h)
				break
			}
		}
	}
	w.waitFor(t, 500*time.Second, "all is over", func() bool {
		return !slices.ContainsFunc(w.users, func(u *user) bool { return !u.over && !u.j.mistaken })
	})
	w.check(t)
}

// TestCopyOfDeletedMachine: a copy of a report of a machine that was returned
// under an earlier leader is no sign of life to a later one: it gets no order
// that means anything, no record, no work, and does not keep the name alive.
func TestCopyOfDeletedMachine(t *testing.T) {
	t.Parallel()
	w := New(24, logs())
	w.Run(6 * time.Second)
	u := w.submit(0, array("run-000001", 4), 10, 0, false)
	w.waitFor(t, 20*time.Second, "it runs", func() bool { return w.running(u) })
	k := w.rules.onAt["run-000001/0"].k
	old := encode(k.report())
	w.waitFor(t, 60*time.Second, "it is done", func() bool { return u.over })
	w.waitFor(t, 300*time.Second, "the machine is returned", func() bool { return w.workers[k.h.ID] == nil })
	w.Run(20 * time.Second)
	w.leader().crash(time.Second)
	w.waitFor(t, 10*time.Second, "another leads", func() bool { return w.leader() != nil })
	starts, rented := w.rules.started, len(w.cloud.rented)
	for _, c := range w.nodes {
		r, _ := protocol.ParseHeartbeat(old)
		c.ask(func(id uint64) coordination.Event { return coordination.AgentHeartbeat{ID: id, Heartbeat: r} }, func(status int, body []byte) {
			var a protocol.HeartbeatResponse
			if status == 200 {
				decode(body, &a)
			}
			for _, o := range a.Commands {
				if o.Kind != protocol.CommandStop {
					t.Errorf("%s answers the copy with %s", c.name, o.Kind)
				}
			}
		})
	}
	w.Run(2 * time.Second)
	for key, e := range w.state.keys {
		if strings.HasPrefix(key, storage.MachinePrefix) && containsName(e.Value, k.h.ID) {
			t.Errorf("%s names the machine that is gone: %s", key, e.Value)
		}
	}
	again := w.submit(time.Second, array("run-000002", 2), 10, 0, false)
	w.waitFor(t, 120*time.Second, "the next job is done", func() bool { return again.over })
	if w.rules.started-starts != 2 {
		t.Errorf("%d starts for 2 tasks", w.rules.started-starts)
	}
	if n := len(w.cloud.rented) - rented; n > 2 {
		t.Errorf("%d rentals", n)
	}
	w.check(t)
}

func containsName(value []byte, id protocol.MachineID) bool {
	var rack storage.MachineRecord
	decode(value, &rack)
	return slices.ContainsFunc(rack.Machines, func(r storage.MachineEntry) bool { return r.ID == id })
}

// TestCopyOfDeadMachine: a machine dies with its leader, and the next leader's
// first sign of it is a late duplicate of an old report. It gets no work.
func TestCopyOfDeadMachine(t *testing.T) {
	t.Parallel()
	w := New(26, logs())
	w.Run(6 * time.Second)
	u := w.submit(0, array("run-000001", 4), 10, 0, false)
	w.waitFor(t, 20*time.Second, "it runs", func() bool { return w.running(u) })
	k := w.rules.onAt["run-000001/0"].k
	w.waitFor(t, 60*time.Second, "it is done", func() bool { return u.over })
	old := encode(k.report())
	k.kill()
	delete(w.workers, k.h.ID)
	w.leader().crash(time.Second)
	w.waitFor(t, 10*time.Second, "another leads", func() bool { return w.leader() != nil })
	w.Run(4 * time.Second)
	w.copyReport(w.leader(), old)
	// Its image is there, so it would be the first choice.
	again := w.submit(0, array("run-000002", 4), 10, 0, false)
	w.waitFor(t, 5*time.Second, "the next job runs", func() bool { return w.running(again) })
	w.check(t)
}

// TestIsolatedLeader: a leader without the state service and the other
// controllers, but with its workers, stops answering them within its bound and
// sends them away; users who ask it are told at once to come back elsewhere.
func TestIsolatedLeader(t *testing.T) {
	t.Parallel()
	for _, hold := range []bool{true, false} {
		w := New(25, logs())
		w.Run(6 * time.Second)
		u := w.submit(0, array("run-000001", 6), 100, 0, false)
		w.waitFor(t, 20*time.Second, "it runs", func() bool { return w.running(u) })
		c, starts := w.leader(), w.rules.started
		w.isolate(c, 100*time.Second, hold)
		w.waitFor(t, 10*time.Second, "another leads", func() bool {
			return slices.ContainsFunc(w.nodes, func(o *controller) bool { return o != c && o.node.Leading() })
		})
		w.Run(8 * time.Second)
		if c.node.Ready() {
			t.Errorf("hold %v: the isolated node says it is ready", hold)
		}
		status := 0
		began := w.Now
		c.ask(func(id uint64) coordination.Event { return coordination.StatusQuery{ID: id, Job: "run-000001"} }, func(s int, _ []byte) { status = s })
		w.waitFor(t, 200*time.Millisecond, "the user is told to go elsewhere", func() bool { return status != 0 })
		if status != 503 {
			t.Errorf("hold %v: answered %d after %v", hold, status, w.Now.Sub(began))
		}
		w.Run(secs(w.shape.Workers.CancelS) - secs(w.shape.Workers.LeaseS))
		if c.node.Leading() {
			t.Errorf("hold %v: it still leads", hold)
		}
		c.ask(func(id uint64) coordination.Event {
			k := w.rules.onAt["run-000001/0"].k
			return coordination.AgentHeartbeat{ID: id, Heartbeat: k.report()}
		}, func(s int, _ []byte) { status = s })
		w.waitFor(t, 4*time.Second, "the worker is sent away", func() bool { return status == 421 || status == 503 })
		w.waitFor(t, 200*time.Second, "it is done", func() bool { return u.over })
		if n := w.rules.started - starts; n > 0 {
			t.Errorf("hold %v: %d tasks were started again", hold, n)
		}
		w.check(t)
	}
}

// TestBackAtOnce: processes that are back within a fraction of a second, in the
// middle of an election, of a transaction, and several at once.
func TestBackAtOnce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := New(30+seed, logs())
		w.copies = 5 * time.Second // reports of their former lives come late
		w.Run(5 * time.Second)
		for i := range 8 {
			w.submit(time.Duration(i)*2*time.Second, array(protocol.JobID(fmt.Sprintf("run-%06d", i)), 3), 10, 0, false)
		}
		for i := range 12 {
			if c := w.leader(); c != nil && i%3 == 0 {
				c.crash(w.between(5*time.Millisecond, 300*time.Millisecond)) // mid-transaction
			}
			w.Run(w.between(time.Millisecond, 60*time.Millisecond))
			for _, c := range w.nodes[:1+i%3] {
				c.crash(w.between(5*time.Millisecond, 400*time.Millisecond)) // mid-election
			}
			w.Run(w.between(100*time.Millisecond, 3*time.Second))
		}
		w.copies = 0
		w.faultsOver = w.Now
		took := w.waitFor(t, 15*time.Second, "somebody leads", func() bool { return w.leader() != nil })
		if took > 6*time.Second {
			t.Errorf("seed %d: a leader after %v", seed, took)
		}
		w.waitFor(t, 200*time.Second, "all is done", w.over)
		w.served(largestWithin)
		w.check(t)
	}
}

// TestMassLoss: a third of a thousand machines dies at once while a burst of
// gangs comes; the largest gangs begin in time, nobody starves.
func TestMassLoss(t *testing.T) {
	t.Parallel()
	w := NewShaped(3, logs(), grown())
	w.crowd(120, 60*time.Second)
	w.Run(60 * time.Second)
	lost := 0
	for _, h := range w.cloud.hosts {
		if k := w.workers[h.ID]; k != nil && lost < len(w.cloud.hosts)/3 {
			lost++
			k.kill()
			delete(w.workers, h.ID)
		}
	}
	for i := range 12 {
		spec := gangJob(protocol.JobID(fmt.Sprintf("run-%06d", 900+i)), 32)
		spec.Class, spec.Team, spec.Priority, spec.GPUs, spec.CPUs, spec.MemoryGB, spec.OneZone = "gang", "team-0", "high", 2, 20, 110, true
		w.submit(time.Duration(i)*time.Second, spec, 60, 0, false)
	}
	w.Run(30 * time.Second)
	w.leader().crash(time.Second)
	w.Run(10 * time.Second)
	w.faultsOver = w.Now
	w.finish(t, 500*time.Second)
}
