package simulation

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// submitMixedJobs makes users with jobs of every shape.
func (w *World) submitMixedJobs(jobs int, span time.Duration) {
	for range jobs {
		spec := &protocol.Job{ID: jobID(100 + len(w.users)*7), Class: "array", Team: w.shape.Teams[w.rng.IntN(len(w.shape.Teams))].Name,
			Shape: protocol.ShapeArray, Priority: []string{"idle", "normal", "high"}[w.rng.IntN(3)], Tasks: 1 + w.rng.IntN(6),
			CPUs: 4, GPUs: 1, MemoryGB: 20, Image: fmt.Sprintf("img-%d", w.rng.IntN(3)), ImageGB: 2 + 4*w.rng.Float64(),
			Spot: w.rng.IntN(2) == 0, EstimateS: 20, CheckpointIntervalS: float64(w.rng.IntN(2)) * 10, CheckpointSaveS: 2}
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
			spec.Class, spec.Shape, spec.Priority = "service", protocol.ShapeService, "critical"
			withCheckpoints(withTaskResources(spec, 1, 0, 4), 0, 0).EstimateS = 0
			cancel = w.between(150*time.Second, 320*time.Second)
		} else if w.rng.IntN(5) == 0 {
			cancel = w.between(time.Second, 60*time.Second)
		}
		w.submit(arrival{after: w.between(0, span), job: spec, run: 5 + 40*w.rng.Float64(), cancelAfter: cancel, alwaysFails: cancel > 0 && w.rng.IntN(3) == 0})
	}
}

// tinyCPUShape is a deployment whose leader's share of a core pays for a few workers
// only: the other controllers answer the rest for it.
func tinyCPUShape() Shape {
	s := SmallShape()
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
			shape := SmallShape()
			if seed%2 == 1 {
				shape = tinyCPUShape()
			}
			shape.Recovery = seed%4 > 1
			checkRandomRun(t, uint64(seed), shape)
		})
	}
}

// checkRandomRun plays a random day and reports every rule that was broken, with the faults of the day.
func checkRandomRun(t *testing.T, seed uint64, shape Shape) {
	w := NewWithShape(seed, logs(), shape)
	history := w.runWithFaults()
	w.checkServed(2 * maxLargestJobWait) // with a fault every few seconds for four minutes
	if w.rules.started == 0 {
		t.Error("nothing ran")
	}
	if len(w.rules.failures) > 0 {
		t.Errorf("faults: %v", history)
		for _, f := range w.rules.failures {
			t.Error(f)
		}
	}
}

// runWithFaults lets a day with overlapping faults pass until all is over, and lists the faults.
func (w *World) runWithFaults() (history []string) {
	w.submitMixedJobs(24, 150*time.Second)
	for w.elapsed() < 240*time.Second {
		w.Run(w.between(time.Second, 16*time.Second))
		history = append(history, w.clock()+" "+w.injectFault())
	}
	w.Run(90 * time.Second)
	w.faultsEndedAt = w.Now
	for _, agent := range w.agents {
		agent.failsTasks = false
	}
	w.watchWaitingJobs()
	w.runUntilOver()
	return history
}

// TestSameSeedSameRun guards the determinism that makes a failing seed worth
// having: the state machine must not depend on the order of maps.
func TestSameSeedSameRun(t *testing.T) {
	t.Parallel()
	run := func() (uint64, int) {
		w := New(5, nil)
		w.submitMixedJobs(16, 60*time.Second)
		for range 8 {
			w.Run(10 * time.Second)
			w.injectFault()
		}
		w.Run(60 * time.Second)
		return uint64(w.store.revision), w.rules.started
	}
	rev, started := run()
	for range 3 {
		if r, s := run(); r != rev || s != started {
			t.Fatalf("revision %d and %d starts, then %d and %d", rev, started, r, s)
		}
	}
}

// TestUnknownJobIsNotFound asks for a job that was never submitted.
func TestUnknownJobIsNotFound(t *testing.T) {
	t.Parallel()
	w := New(1, nil)
	w.Run(5 * time.Second)
	for _, c := range w.nodes {
		if got := w.statusOf(c, statusQuery("run-999999")); got != 404 {
			t.Errorf("%s answers %d", c.name, got)
		}
	}
}
