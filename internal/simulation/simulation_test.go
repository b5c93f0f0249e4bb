package simulation

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
)

// load makes users with jobs of every shape.
func (w *World) load(jobs int, span time.Duration) {
	for range jobs {
		spec := &protocol.Job{ID: protocol.JobID(fmt.Sprintf("run-%06d", 100+len(w.users)*7)), Class: "array", Team: w.shape.Teams[w.rng.IntN(len(w.shape.Teams))].Name,
			Shape: protocol.ShapeArray, Priority: []string{"idle", "normal", "high"}[w.rng.IntN(3)], Tasks: 1 + w.rng.IntN(6),
			CPUs: 4, GPUs: 1, MemoryGB: 20, Image: fmt.Sprintf("img-%d", w.rng.IntN(3)), ImageGB: 2 + 4*w.rng.Float64(),
			Spot: w.rng.IntN(2) == 0, EstimateS: 20, CheckpointS: float64(w.rng.IntN(2)) * 10, SaveS: 2}
		if w.rng.IntN(2) == 0 {
			spec.Class, spec.Shape, spec.Tasks = "gang", protocol.ShapeGang, 1+w.rng.IntN(4)
			spec.GPUs = float64(1 + w.rng.IntN(2))
		}
		switch w.rng.IntN(4) {
		case 0:
			spec.OneZone = true
		case 1:
			spec.Spread = true
		case 2:
			spec.Zone = w.shape.Zones[w.rng.IntN(2)]
		}
		var cancel time.Duration
		if w.rng.IntN(6) == 0 {
			spec.Class, spec.Shape, spec.Priority, spec.GPUs, spec.CPUs, spec.MemoryGB = "service", protocol.ShapeService, "critical", 0, 1, 4
			spec.EstimateS, spec.CheckpointS, spec.SaveS = 0, 0, 0
			cancel = w.between(150*time.Second, 320*time.Second)
		} else if w.rng.IntN(5) == 0 {
			cancel = w.between(time.Second, 60*time.Second)
		}
		w.submit(w.between(0, span), spec, 5+40*w.rng.Float64(), cancel, cancel > 0 && w.rng.IntN(3) == 0)
	}
}

// injectFault injects one fault of a kind drawn by lot.
func (w *World) injectFault() string {
	node := w.nodes[w.rng.IntN(len(w.nodes))]
	hold := w.rng.IntN(2) == 0
	var someone *worker
	for _, h := range w.cloud.hosts {
		if k := w.workers[h.ID]; k != nil && (someone == nil || w.rng.IntN(3) == 0) {
			someone = k
		}
	}
	span := w.between(time.Second, 45*time.Second)
	kinds := w.serviceFaults(node, span, hold)
	kinds = append(kinds, w.machineFaults(someone, span, hold)...)
	kinds = append(kinds, w.lateFaults(node, someone, span, hold)...)
	kinds = append(kinds, w.combinedFaults(node, span)...)
	return kinds[w.rng.IntN(len(kinds))]()
}

// serviceFaults are faults of controllers, zones and outside systems.
func (w *World) serviceFaults(node *controller, span time.Duration, hold bool) []func() string {
	return []func() string{
		func() string { node.crash(w.between(200*time.Millisecond, 6*time.Second)); return "crash " + node.name },
		func() string {
			for _, c := range w.nodes {
				c.crash(w.between(200*time.Millisecond, 6*time.Second))
			}
			return "crash all"
		},
		func() string {
			w.interrupt(span, hold, func(a, b string) bool {
				return w.zoneOf[a] != w.zoneOf[b] && w.zoneOf[a] != "" && w.zoneOf[b] != ""
			})
			return fmt.Sprint("zones cut, hold ", hold)
		},
		func() string {
			w.interrupt(span, hold, func(a, b string) bool { return a == node.name && (b == "state" || w.zoneOf[b] != "") })
			return fmt.Sprint("node cut ", node.name, " hold ", hold)
		},
		func() string {
			w.interrupt(span, hold, func(a, b string) bool { return a == node.name && b == "state" })
			return fmt.Sprint("node cut from state ", node.name, " hold ", hold)
		},
		func() string { w.state.outage(span); return "state outage" },
		func() string {
			w.state.refuse(node, span)
			return "state refuses " + node.name
		},
		func() string {
			w.cloud.down = true
			w.after(span, func() { w.cloud.down = false })
			return "cloud outage"
		},
	}
}

// machineFaults are faults of one machine, if there is one.
func (w *World) machineFaults(someone *worker, span time.Duration, hold bool) []func() string {
	return []func() string{
		func() string {
			if someone != nil {
				id := someone.h.ID
				w.interrupt(span, hold, func(a, _ string) bool { return a == string(id) })
			}
			return fmt.Sprint("machine cut, hold ", hold)
		},
		func() string {
			if someone != nil {
				someone.hang(span)
			}
			return "machine hangs"
		},
		func() string {
			if someone != nil {
				someone.kill()
				delete(w.workers, someone.h.ID)
			}
			return "machine dies"
		},
		func() string {
			if someone != nil {
				someone.sick = true
			}
			return "machine sick"
		},
		func() string {
			if someone != nil {
				w.blockInbound(string(someone.h.ID), 2*span, hold)
			}
			return fmt.Sprint("machine not receiving, hold ", hold)
		},
	}
}

// lateFaults are messages that come late, processes that are back at once, slow answers
// and notices.
func (w *World) lateFaults(node *controller, someone *worker, span time.Duration, hold bool) []func() string {
	return []func() string{
		func() string {
			w.copies = w.between(2*time.Second, 90*time.Second)
			w.after(span, func() { w.copies = 0 })
			return "copies of reports late"
		},
		func() string { w.isolate(node, span, hold); return fmt.Sprint("isolated ", node.name, " hold ", hold) },
		func() string {
			for i := range 3 {
				w.after(time.Duration(i)*w.between(100*time.Millisecond, 2*time.Second), func() {
					w.nodes[w.rng.IntN(len(w.nodes))].crash(w.between(10*time.Millisecond, 400*time.Millisecond))
				})
			}
			return "back at once"
		},
		func() string {
			w.state.slow = w.between(50*time.Millisecond, 400*time.Millisecond)
			w.after(span, func() { w.state.slow = 0 })
			return "state slow"
		},
		func() string {
			if someone != nil && someone.h.Spot {
				n := 20.0
				someone.notice = &n
				someone.noteChange()
				h := someone.h
				w.after(w.between(10*time.Second, 30*time.Second), func() { w.cloud.destroy(h) })
			}
			return "spot notice"
		},
	}
}

// logs is where a run's log goes: nowhere, unless SIMULATION_LOG asks for it.
func logs() io.Writer {
	if os.Getenv("SIMULATION_LOG") != "" {
		return os.Stderr
	}
	return nil
}

// tiny is a deployment whose leader's share of a core pays for a few workers
// only: the other controllers answer the rest for it.
func tiny() Shape {
	s := Small()
	s.Resources.Cores = 0.0006
	return s
}

// TestRulesHold lets whole days with overlapping faults pass and checks every
// rule at every step, and that all jobs are over once the faults are. On every
// second day most reports go to the leader by way of the other controllers.
func TestRulesHold(t *testing.T) {
	t.Parallel()
	days := 24
	if n, err := strconv.Atoi(os.Getenv("SIMULATION_DAYS")); err == nil {
		days = n
	}
	if testing.Short() {
		days = 6
	}
	for seed := range days {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			shape := Small()
			if seed%2 == 1 {
				shape = tiny()
			}
			shape.Recovery = seed%4 > 1
			day(t, uint64(seed), shape)
		})
	}
}

func day(t *testing.T, seed uint64, shape Shape) {
	w := NewShaped(seed, logs(), shape)
	history := w.playDay()
	w.served(2 * largestWithin) // with a fault every few seconds for four minutes
	if w.rules.started == 0 {
		t.Error("nothing ran")
	}
	if len(w.rules.failures) > 0 {
		t.Errorf("troubles: %v", history)
		for _, f := range w.rules.failures {
			t.Error(f)
		}
	}
}

// playDay lets a day with overlapping faults pass until all is over, and lists the faults.
func (w *World) playDay() (history []string) {
	w.load(24, 150*time.Second)
	for w.Now.Sub(time.Unix(1_800_000_000, 0)) < 240*time.Second {
		w.Run(w.between(time.Second, 16*time.Second))
		what := w.clock() + " " + w.injectFault()
		w.log.Info("trouble", "what", what)
		history = append(history, what)
	}
	w.Run(90 * time.Second)
	w.faultsOver = w.Now
	for _, k := range w.workers {
		k.sick = false
	}
	w.left()
	w.end()
	return history
}

// TestSameSeedSameRun guards the determinism that makes a failing seed worth
// having: the state machine must not depend on the order of maps.
func TestSameSeedSameRun(t *testing.T) {
	t.Parallel()
	run := func() (uint64, int) {
		w := New(5, nil)
		w.load(16, 60*time.Second)
		for range 8 {
			w.Run(10 * time.Second)
			w.injectFault()
		}
		w.Run(60 * time.Second)
		return uint64(w.state.revision), w.rules.started
	}
	rev, started := run()
	for range 3 {
		if r, s := run(); r != rev || s != started {
			t.Fatalf("revision %d and %d starts, then %d and %d", rev, started, r, s)
		}
	}
}

// TestNobodySubmitted asks for a job that was never submitted.
func TestNobodySubmitted(t *testing.T) {
	t.Parallel()
	w := New(1, nil)
	w.Run(5 * time.Second)
	for _, c := range w.nodes {
		got := 0
		c.ask(func(id uint64) coordination.Event { return coordination.StatusQuery{ID: id, Job: "run-999999"} }, func(status int, _ []byte) { got = status })
		w.Run(time.Second)
		if got != 404 {
			t.Errorf("%s answers %d", c.name, got)
		}
	}
}
