package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/gappond/gappond/internal/protocol"
)

// smallDeployment returns a random deployment of at most 4 to 12 machines in two or three zones.
func smallDeployment(seed uint64) Shape {
	rng := rand.New(rand.NewPCG(seed, 2))
	shape := SmallShape()
	if rng.IntN(2) == 0 {
		shape.Zones = []protocol.ZoneName{"east", "west", "north"}
		shape.Type.Zones = shape.Zones
	}
	shape.Capacity = 4 + rng.IntN(9)
	shape.Machines = 1 + rng.IntN(min(7, shape.Capacity))
	shape.Recovery = rng.IntN(2) == 0
	return shape
}

// TestRulesHoldInSmallDeployments: in deployments whose cloud has few machines, where a gang may
// need more than it can get, every rule holds in random runs with overlapping faults. Among them is
// that no job waits for long while there is free capacity for it.
func TestRulesHoldInSmallDeployments(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(60, 12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			checkRandomRun(t, uint64(40_000+seed), smallDeployment(uint64(seed)), faultKinds)
		})
	}
}
