package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/protocol"
)

// TestGangIsPlacedInSmallestDomainThatFits places random jobs on random fleets. Every placement
// keeps every limit. A gang is placed all-or-nothing in the smallest domain that fits it, and
// stays unplaced only if no domain fits it.
func TestGangIsPlacedInSmallestDomainThatFits(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	placed, unplaced := 0, 0
	for round := range 400 {
		h := newHarness()
		h.addRandomMachines(random)
		for range 12 {
			job := h.cluster.AddJob(randomSpec(random))
			switch {
			case !job.Spec.Gang():
				waiting := h.placeArray(job, imageOptional)
				if waiting+len(job.Attempts) != job.Spec.Tasks {
					t.Fatalf("round %d: %d tasks wait and %d are placed, of %d", round, waiting, len(job.Attempts), job.Spec.Tasks)
				}
			case h.placeGangInSmallestDomain(t, job):
				placed++
			default:
				unplaced++
			}
			h.cluster.CheckPlacement(t, job)
		}
	}
	if placed < 500 || unplaced < 200 {
		t.Errorf("%d gangs placed and %d not: the cases are too easy or too hard", placed, unplaced)
	}
}

// addRandomMachines adds a few machines of random types and zones, some of them spot machines.
func (h *harness) addRandomMachines(random *rand.Rand) {
	for i := range 1 + random.IntN(8) {
		machineType := &clustertest.BigType
		if random.IntN(3) == 0 {
			machineType = &clustertest.SmallType
		}
		id, zone := protocol.MachineID(fmt.Sprintf("i-%02d", i)), machineType.Zones[random.IntN(len(machineType.Zones))]
		if random.IntN(3) == 0 {
			h.cluster.AddSpotMachine(id, machineType.Name, zone)
		} else {
			h.cluster.AddMachine(id, machineType.Name, zone)
		}
	}
}

// randomSpec returns a gang or an array with random requirements and constraints.
func randomSpec(random *rand.Rand) protocol.Job {
	spec := protocol.Job{Team: []protocol.TeamName{"free", "tight"}[random.IntN(2)], Shape: protocol.ShapeGang, Tasks: 1 + random.IntN(6),
		CPUs: float64(1 + random.IntN(9)), GPUs: float64(random.IntN(5)), MemoryGB: float64(8 + random.IntN(60)), Image: "x",
		OneZone: random.IntN(2) == 0, Spread: random.IntN(3) == 0, Spot: random.IntN(2) == 0}
	if random.IntN(3) == 0 {
		spec.Shape = protocol.ShapeArray
	}
	if random.IntN(5) == 0 {
		spec.Zone = "a"
	}
	if random.IntN(5) == 0 {
		spec.Types = []protocol.MachineTypeName{"small"}
	}
	return spec
}

// placeGangInSmallestDomain places a gang and checks where. It reports whether the gang was placed.
func (h *harness) placeGangInSmallestDomain(t *testing.T, job *cluster.Job) bool {
	t.Helper()
	onOneMachine, inOneZone, inRegion := h.feasibleDomains(job)
	if !h.placeGang(job) {
		if inRegion {
			t.Fatalf("%+v is not placed although it fits", job.Spec)
		}
		return false
	}
	if len(job.Attempts) != job.Spec.Tasks {
		t.Fatalf("of a gang with %d tasks, %d are placed", job.Spec.Tasks, len(job.Attempts))
	}
	machines, zones := map[protocol.MachineID]bool{}, map[protocol.ZoneName]bool{}
	for _, attempt := range job.Attempts {
		machines[attempt.Machine.ID], zones[attempt.Machine.Zone] = true, true
	}
	if onOneMachine && len(machines) > 1 || inOneZone && len(zones) > 1 {
		t.Fatalf("%+v is spread over %v in %v although a smaller domain fits it", job.Spec, machines, zones)
	}
	return true
}

// feasibleDomains counts the free capacity and returns which domains could fit a gang.
func (h *harness) feasibleDomains(job *cluster.Job) (onOneMachine, inOneZone, inRegion bool) {
	spec, size := job.Spec, len(job.Tasks)
	if h.cluster.TasksWithinLimit(job) < size {
		return false, false, false
	}
	perZone := map[protocol.ZoneName]int{}
	for _, machine := range h.cluster.Machines {
		if !h.cluster.Eligible(job, machine) {
			continue
		}
		fits := h.cluster.FreeResources(machine).Fit(spec, size)
		perZone[machine.Zone] += fits
		onOneMachine = onOneMachine || fits >= size
	}
	total := 0
	for _, fits := range perZone {
		inOneZone = inOneZone || fits >= size
		if spec.Spread {
			fits = min(fits, (size+1)/2)
		}
		total += fits
	}
	if spec.Spread && size > 1 {
		onOneMachine, inOneZone = false, false
	}
	return onOneMachine, inOneZone, inOneZone || onOneMachine || !spec.OneZone && spec.Zone == "" && total >= size
}

// TestGangPrefersFullestThenImageLocalThenCheaperMachine: of the machines that fit the gang, the
// fullest is chosen. Ties go to a machine that has the image, then to the cheaper one.
func TestGangPrefersFullestThenImageLocalThenCheaperMachine(t *testing.T) {
	h := newHarness()
	empty, half := h.cluster.AddMachine("i-1", "big", "a"), h.cluster.AddMachine("i-2", "big", "b")
	h.cluster.PlaceAll(h.cluster.AddJob(clustertest.Gang(1, 2)), half)
	job := h.cluster.AddJob(clustertest.Gang(2, 1))
	if !h.placeGang(job) || job.SortedAttempts()[0].Machine != half {
		t.Errorf("the gang is not on the fuller machine")
	}
	h.cluster.AddSpotMachine("i-3", "big", "c")
	imageLocal := h.cluster.AddMachine("i-4", "big", "c")
	imageLocal.UseImage(&protocol.Job{Image: "x", ImageGB: 1}, &clustertest.BigType)
	spec := clustertest.Gang(1, 4)
	spec.Spot = true
	job = h.cluster.AddJob(spec)
	if !h.placeGang(job) || job.SortedAttempts()[0].Machine != imageLocal {
		t.Errorf("the gang is not on the machine with the image")
	}
	job = h.cluster.AddJob(spec)
	if !h.placeGang(job) || job.SortedAttempts()[0].Machine.ID != "i-3" {
		t.Errorf("the gang is not on the cheaper machine")
	}
	if len(empty.Attempts) != 0 {
		t.Errorf("a gang is on the empty on-demand machine without the image")
	}
}

// TestGangAwaitsRecordSplit: a gang that has a record to be split is not placed until the record
// is split.
func TestGangAwaitsRecordSplit(t *testing.T) {
	h := newHarness()
	h.cluster.AddMachine("i-1", "big", "a")
	job := h.cluster.AddJob(clustertest.Gang(1, 1))
	h.environment.AwaitingSplit = map[*cluster.Job]bool{job: true}
	h.RunCycle()
	if len(job.Attempts) != 0 {
		t.Fatal("the gang was placed before its record was split")
	}
	h.environment.AwaitingSplit = nil
	h.RunCycle()
	if !job.FullyPlaced() || len(h.environment.Placed) != 1 {
		t.Errorf("fully placed: %v, TaskPlaced was called %d times", job.FullyPlaced(), len(h.environment.Placed))
	}
}

// TestOneZoneJobWaitsForOldAttemptInOtherZone: while old attempts of a one-zone job may still
// exist in two zones, no task of the job is placed.
func TestOneZoneJobWaitsForOldAttemptInOtherZone(t *testing.T) {
	h := newHarness()
	a, b := h.cluster.AddMachine("i-1", "big", "a"), h.cluster.AddMachine("i-2", "big", "b")
	spec := clustertest.Array(4)
	spec.OneZone = true
	job := h.cluster.AddJob(spec)
	h.cluster.AddAttempt(job, 0, 1, a, 1)
	old := h.cluster.AddAttempt(job, 1, 1, b, 1)
	if waiting := h.placeArray(job, imageOptional); waiting != 2 {
		t.Errorf("%d tasks wait, want 2", waiting)
	}
	h.cluster.RemoveAttempt(old)
	if waiting := h.placeArray(job, imageOptional); waiting != 0 {
		t.Errorf("%d tasks wait after the attempt in the other zone is gone", waiting)
	}
	h.cluster.CheckPlacement(t, job)
}

// TestReplicaAvoidsSilentMachineAndZoneWithLostMachine: a replica is not placed on a machine whose
// heartbeat is late. If possible, it is not placed in a zone that just lost a machine either:
// the rest of the zone may be lost too, without having been noticed yet.
func TestReplicaAvoidsSilentMachineAndZoneWithLostMachine(t *testing.T) {
	h := newHarness()
	late, sameZone, otherZone := h.cluster.AddMachine("i-1", "big", "a"), h.cluster.AddMachine("i-2", "big", "a"), h.cluster.AddMachine("i-3", "big", "b")
	h.cluster.Advance(h.cluster.ReplicaSilenceTimeout() + time.Second)
	h.cluster.Heartbeat(sameZone, otherZone)
	late.Agent.RespondedAt = h.cluster.Now()
	job := h.cluster.AddJob(clustertest.Service(1, 4))
	if list := h.replicaCandidates(job, ""); len(list) != 2 {
		t.Errorf("%d candidates, want 2", len(list))
	}
	h.MachineLost(late)
	late.Deleting = true
	if h.placeService(job) != 0 || job.Tasks[0].Active.Machine != otherZone {
		t.Errorf("the replica is placed on %v", job.Tasks[0].Active)
	}
	h.cluster.RemoveAttempt(job.Tasks[0].Active)
	otherZone.Cordoned = true
	if h.placeService(job) != 0 || job.Tasks[0].Active.Machine != sameZone {
		t.Error("the replica is not placed on the only machine left")
	}
}

// TestReplicaMovesOffCordonedMachine: a replica on a cordoned machine is stopped only once a
// machine is reserved for its replacement, and the replacement starts there.
func TestReplicaMovesOffCordonedMachine(t *testing.T) {
	h := newHarness()
	old := h.cluster.AddMachine("i-1", "big", "a")
	job := h.cluster.AddJob(clustertest.Service(1, 4))
	h.RunCycle()
	h.cluster.Run(job)
	old.Cordoned = true
	h.MoveReplicas()
	if len(h.environment.Stopped) != 0 {
		t.Fatal("the replica is stopped although no other machine can take it")
	}
	newMachine := h.cluster.AddMachine("i-2", "big", "a")
	h.MoveReplicas()
	if len(h.environment.Stopped) != 1 || newMachine.ReservedFor != job {
		t.Fatalf("%d replicas are stopped, the other machine is reserved for %v", len(h.environment.Stopped), newMachine.ReservedFor)
	}
	h.cluster.RemoveAttempt(job.Tasks[0].Active)
	h.RunCycle()
	if job.Tasks[0].Active == nil || job.Tasks[0].Active.Machine != newMachine {
		t.Errorf("the replacement is placed on %v", job.Tasks[0].Active)
	}
}
