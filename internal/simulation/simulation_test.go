package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// submitMixedJobs submits jobs of every shape at random times within span.
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

// tinyCPUShape returns a deployment whose leader has too small a share of a core to respond to more
// than a few agents. The other controllers respond to the rest on its behalf.
func tinyCPUShape() Shape {
	s := SmallShape()
	s.Resources.Cores = 0.0006
	return s
}

// TestRulesHold: in random runs with overlapping faults every rule holds at every step, and all
// jobs are over some time after the faults have ended. In every second run most heartbeats reach
// the leader through the other controllers.
func TestRulesHold(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(24, 6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			shape := SmallShape()
			if seed%2 == 1 {
				shape = tinyCPUShape()
			}
			shape.Recovery = seed%4 > 1
			checkRandomRun(t, uint64(seed), shape, faultKinds)
		})
	}
}

// checkRandomRunsWith performs random runs with faults of all kinds and one more, which is among the
// first faults of most runs. Every third run has a deployment of few machines.
func checkRandomRunsWith(t *testing.T, firstSeed uint64, kind faultKind) {
	kinds := append(slices.Clone(faultKinds), kind, kind, kind, kind)
	for seed := range seedCount(24, 6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			shape := []Shape{SmallShape(), tinyCPUShape(), smallDeployment(uint64(seed))}[seed%3]
			shape.Recovery = seed%4 > 1
			checkRandomRun(t, firstSeed+uint64(seed), shape, kinds)
		})
	}
}

// checkRandomRun performs a random run with faults of the given kinds and reports every broken rule,
// and the faults of the run.
func checkRandomRun(t *testing.T, seed uint64, shape Shape, kinds []faultKind) {
	w := NewWithShape(seed, logs(), shape)
	faults := w.runWithFaults(kinds)
	// Twice the usual limit, because faults occur every few seconds for four minutes.
	w.checkServed(2 * maxLargestJobWait)
	if w.rules.started == 0 {
		t.Error("no task was started")
	}
	if len(w.rules.failures) > 0 {
		t.Errorf("faults: %v", faults)
		for _, f := range w.rules.failures {
			t.Error(f)
		}
	}
}

// runWithFaults submits jobs, injects overlapping faults of the given kinds and runs until all jobs
// are over. It returns the faults.
func (w *World) runWithFaults(kinds []faultKind) (faults []string) {
	w.submitMixedJobs(24, 150*time.Second)
	for w.elapsed() < 240*time.Second {
		w.Run(w.between(time.Second, 16*time.Second))
		faults = append(faults, w.clock()+" "+w.injectFaultOf(kinds))
	}
	w.Run(90 * time.Second)
	w.faultsEndedAt = w.Now
	for _, agent := range w.agents {
		agent.failsTasks = false
	}
	w.watchWaitingJobs()
	w.runUntilOver()
	return faults
}

// TestSameSeedSameRun: runs with the same seed are identical, so that a failing seed can be
// reproduced. The state machine must not depend on the iteration order of maps.
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

// TestUnknownJobIsNotFound: a status query for a job that was never submitted gets status 404, also while
// the store takes longer than an answer of this kind may be old without the agreement of the peers.
func TestUnknownJobIsNotFound(t *testing.T) {
	t.Parallel()
	w := New(1, nil)
	w.Run(5 * time.Second)
	for _, c := range w.nodes {
		if got := w.statusOf(c, statusQuery("run-999999")); got != 404 {
			t.Errorf("%s responds with status %d, want 404", c.name, got)
		}
	}
	w.store.extraLatency = 300 * time.Millisecond
	for _, c := range w.nodes {
		if got := w.statusOf(c, statusQuery("run-999999")); got != 404 {
			t.Errorf("%s responds with status %d while the store is slow, want 404", c.name, got)
		}
	}
}
