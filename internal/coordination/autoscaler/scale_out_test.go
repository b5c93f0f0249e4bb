package autoscaler

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// TestOnDemandMachineOnlyWhenDeadlineIsNear: as long as an array's deadline leaves time to wait, no
// on-demand machine is requested for it, but a spot machine is if the array allows spot machines.
// When the deadline is near, on-demand machines are requested.
func TestOnDemandMachineOnlyWhenDeadlineIsNear(t *testing.T) {
	for _, c := range []struct {
		name      string
		deadlineS float64
		spot      bool
		want      map[Offer]int
	}{
		{name: "deadline far away", deadlineS: 1000},
		{name: "deadline far away, spot allowed", deadlineS: 1000, spot: true, want: map[Offer]int{{TypeName: "big", Zone: "a", Spot: true}: 1}},
		{name: "deadline near", deadlineS: 60, want: map[Offer]int{{TypeName: "small", Zone: "a"}: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			spec := clustertest.Array(3)
			spec.EstimateS, spec.DeadlineS, spec.Spot = 30, c.deadlineS, c.spot
			h.cluster.AddJob(spec)
			h.schedule()
			h.Tick()
			checkRequested(t, h, c.want)
		})
	}
}

// checkRequested checks which machines were requested, with one request per offer.
func checkRequested(t *testing.T, h *harness, want map[Offer]int) {
	t.Helper()
	got := h.requested()
	if len(h.cloud.creations) != len(want) || len(got) != len(want) {
		t.Errorf("requested %v, want %v", got, want)
	}
	for offer, count := range want {
		if got[offer] != count {
			t.Errorf("%d machines requested of offer %+v, want %d", got[offer], offer, count)
		}
	}
}

// TestTaskWithoutGPUsFitsOnMachineWithoutFreeGPUs: on a machine whose GPUs are all in use, a task
// that takes no GPUs is placed on the free CPUs, and no machine is requested. For a task that
// takes a GPU, a machine is requested.
func TestTaskWithoutGPUsFitsOnMachineWithoutFreeGPUs(t *testing.T) {
	for _, c := range []struct {
		name     string
		gpus     float64
		placed   bool
		requests int
	}{
		{name: "no GPUs", gpus: 0, placed: true},
		{name: "one GPU", gpus: 1, requests: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			h.cluster.AddMachine("i-1", "big", "a")
			full := h.cluster.AddJob(clustertest.Gang(1, clustertest.BigType.GPUs))
			h.schedule()
			if !full.FullyPlaced() {
				t.Fatal("the first gang is not fully placed on the machine")
			}
			spec := clustertest.Gang(1, c.gpus)
			spec.Zone = "a"
			job := h.cluster.AddJob(spec)
			h.schedule()
			if placed := len(job.Attempts) == 1; placed != c.placed {
				t.Errorf("task placed: %v, want the opposite", placed)
			}
			h.Tick()
			if len(h.cloud.creations) != c.requests {
				t.Errorf("%d requests for machines, want %d", len(h.cloud.creations), c.requests)
			}
		})
	}
}

// TestRequestWithoutResponseIsRetriedWithSameID: a request whose response is lost is sent again
// with the same ID. Until then, its machines are not requested a second time.
func TestRequestWithoutResponseIsRetriedWithSameID(t *testing.T) {
	h := newHarness()
	h.cluster.AddJob(clustertest.Gang(1, 4))
	h.schedule()
	h.Tick()
	h.cloud.creations[0].done(CreateResult{Outcome: CreateOutcomeUnknown})
	h.cluster.Advance(tuning.ScaleOutInterval)
	h.schedule()
	h.Tick()
	h.environment.runTimers()
	if len(h.cloud.creations) != 2 || h.cloud.creations[0].request != h.cloud.creations[1].request {
		t.Fatalf("requests %+v", h.cloud.creations)
	}
	h.cloud.creations[1].done(CreateResult{Outcome: Created, Machines: []protocol.MachineID{"i-1"}})
	if len(h.environment.recorded) != 1 || h.cluster.Machines["i-1"] == nil {
		t.Errorf("%d machines recorded, want only i-1", len(h.environment.recorded))
	}
}

// TestOfferWithoutCapacityIsNotRequestedAgainAtOnce: when the cloud has no capacity for an offer,
// machines are requested in another zone instead. A rejected request leaves the job waiting.
func TestOfferWithoutCapacityIsNotRequestedAgainAtOnce(t *testing.T) {
	h := newHarness()
	h.cluster.AddJob(clustertest.Gang(1, 4))
	h.schedule()
	h.Tick()
	first := h.cloud.creations[0]
	first.done(CreateResult{Outcome: NoCapacity})
	h.cluster.Advance(tuning.ScaleOutInterval)
	h.schedule()
	h.Tick()
	if len(h.cloud.creations) != 2 || h.cloud.creations[1].request.Zone == first.request.Zone {
		t.Errorf("requests %+v", h.cloud.creations)
	}
	h.cloud.creations[1].done(CreateResult{Outcome: CreateRejected, Detail: "a test"})
	h.cluster.Advance(tuning.ScaleOutInterval)
	if h.schedule(); len(h.Demand) != 1 {
		t.Errorf("%d jobs waiting, want 1", len(h.Demand))
	}
}

// TestLargeFleetIsListedWithinBudget: reading the machine list of a large fleet stays within the
// call budget and leaves most of it for scale-out, whatever the number of pages.
func TestLargeFleetIsListedWithinBudget(t *testing.T) {
	const seconds, pagesOfList = 60, 12
	h := newHarness()
	callsPerSecond := h.cluster.Config.Cluster.Cloud.RPS * tuning.CloudBudgetShare
	pages := 0
	for range seconds * 10 {
		h.cluster.Advance(100 * time.Millisecond)
		h.environment.runTimers()
		h.Tick()
		for ; pages < len(h.cloud.lists); pages++ {
			id := protocol.MachineID([]byte{'i', '-', byte('a' + pages%pagesOfList)})
			h.cloud.lists[pages].done(&protocol.MachineList{More: (pages+1)%pagesOfList != 0, Machines: []protocol.Machine{{ID: id}}})
		}
	}
	if maxPages := int(callsPerSecond*float64(seconds)/2) + pagesOfList; pages > maxPages {
		t.Errorf("%d pages requested in %d s, too many for a budget of %.1f calls per second", pages, seconds, callsPerSecond)
	}
	if pages < pagesOfList {
		t.Errorf("%d pages requested, fewer than one list has", pages)
	}
}
