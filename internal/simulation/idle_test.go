package simulation

import (
	"testing"
	"time"
)

// TestIdleControllersRarelyWake: controllers that nothing happens to are woken a few times a second at
// most, whatever their share of a core, and ask the key-value store for little.
func TestIdleControllersRarelyWake(t *testing.T) {
	t.Parallel()
	shape := SmallShape()
	shape.Machines = 0
	for _, cores := range []float64{0.018, 0.24} {
		shape.Resources.Cores = cores
		w := startWorld(1, shape, 10*time.Second)
		steps, requests := w.steps, w.store.requests
		w.Run(60 * time.Second)
		perNode := float64(w.steps-steps) / 60 / float64(len(w.nodes))
		asked := float64(w.store.requests-requests) / 60
		t.Logf("on %v of a core: %.1f steps a second at each node, %.1f requests a second by all", cores, perNode, asked)
		// Two beats come a second, two answers; the leader looks its machines over
		// twice a second and asks the cloud, the rest are timers.
		if perNode > 9 {
			t.Errorf("on %v of a core: %.1f steps a second at each node", cores, perNode)
		}
		if asked > 6 {
			t.Errorf("on %v of a core: %.1f requests a second", cores, asked)
		}
	}
}
