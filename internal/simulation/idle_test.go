package simulation

import (
	"testing"
	"time"
)

// TestIdleControllersRarelyWake: controllers without jobs wake up only a few times a second,
// whatever their share of a core, and send few requests to the key-value store.
func TestIdleControllersRarelyWake(t *testing.T) {
	t.Parallel()
	shape := SmallShape()
	shape.Machines = 0
	for _, cores := range []float64{0.018, 0.24} {
		shape.Resources.Cores = cores
		w := startWorld(1, shape, 10*time.Second)
		steps, requests := w.steps, w.store.requests
		w.Run(60 * time.Second)
		stepRate := float64(w.steps-steps) / 60 / float64(len(w.nodes))
		requestRate := float64(w.store.requests-requests) / 60
		t.Logf("on %v of a core: %.1f steps a second at each controller, %.1f requests to the store a second by all controllers", cores, stepRate, requestRate)
		// A controller receives two peer heartbeats and two responses a second. The leader also checks
		// its machines twice a second and calls the cloud. All other steps are due to timers.
		if stepRate > 9 {
			t.Errorf("on %v of a core: %.1f steps a second at each controller", cores, stepRate)
		}
		if requestRate > 6 {
			t.Errorf("on %v of a core: %.1f requests to the store a second", cores, requestRate)
		}
	}
}
