package simulation

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// oneZoneShape returns the shape of a deployment of one zone whose machines are all up at the start.
func oneZoneShape(machines int) Shape {
	shape := SmallShape()
	shape.Zones = []protocol.ZoneName{"east"}
	shape.Type.Zones = shape.Zones
	shape.Machines, shape.Capacity = machines, machines
	return shape
}

// wholeMachines returns a gang in the zone "east" whose tasks take a machine each.
func wholeMachines(id protocol.JobID, tasks int) *protocol.Job {
	job := withTaskResources(gangJob(id, tasks), 28, 4, 200)
	job.OneZone, job.Zone = true, "east"
	return job
}

// TestImpossibleGangLeavesMachinesToOthers: a gang needs one machine more than its zone has. It
// reserved the idle machines of the zone for good, and no job behind it started.
func TestImpossibleGangLeavesMachinesToOthers(t *testing.T) {
	t.Parallel()
	w := startWorld(91, oneZoneShape(3), 6*time.Second)
	w.submit(arrival{job: withQueue(wholeMachines("run-000001", 4), "gang", "free", "high"), run: 10})
	w.Run(12 * time.Second)
	job := array("run-000002", 3)
	job.Zone = "east"
	u := w.submit(arrival{job: job, run: 5})
	w.waitUntilOver(t, maxWaitDespiteCapacity, u)
	w.expectRulesHeld(t)
}

// TestLargeGangIsNotStarved: a gang that needs all machines of its zone starts in time although jobs
// of one machine each keep arriving behind it, more than the zone can serve.
func TestLargeGangIsNotStarved(t *testing.T) {
	t.Parallel()
	w := startWorld(92, oneZoneShape(4), 6*time.Second)
	for i := range 80 {
		w.submit(arrival{after: time.Duration(i) * 5 * time.Second, job: wholeMachines(jobID(100+i), 1), run: 30})
	}
	w.Run(20 * time.Second)
	u := w.submit(arrival{job: wholeMachines("run-000001", 4), run: 10})
	took := w.waitUntilRunning(t, maxLargestJobWait, u)
	t.Logf("the gang runs after %v", took)
	w.expectRulesHeld(t)
}
