package autoscaler

import (
	"maps"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// machineRequest is a request for machines under way.
type machineRequest struct {
	offer Offer
	body  protocol.CreateMachinesRequest
	tries int
}

// machineRequests are the requests for machines.
type machineRequests struct {
	dependencies
	deleted     map[protocol.MachineID]bool // machines that are gone for certain
	inFlight    []*machineRequest
	unavailable map[Offer]time.Time // offers that the cloud had no capacity for, and until when they rest
}

// RequestMachines asks the cloud for machines.
func (as *Autoscaler) RequestMachines(offer Offer, count int) { as.requests.submit(offer, count) }

// submitAll asks the cloud for the machines that are wanted, as far as the budget of calls
// goes.
func (mr *machineRequests) submitAll(want map[Offer]int) {
	offers := slices.SortedFunc(maps.Keys(want), compareOffers)
	for _, offer := range offers {
		if !mr.calls.AllowN(mr.state.Now(), 1) {
			return
		}
		mr.submit(offer, min(want[offer], tuning.MaxMachinesPerRental))
	}
}

// submit asks the cloud for machines.
func (mr *machineRequests) submit(offer Offer, count int) {
	request := &machineRequest{
		offer: offer,
		body: protocol.CreateMachinesRequest{
			RequestID: mr.env.UniqueName(), Type: offer.TypeName, Zone: offer.Zone, Spot: offer.Spot, Count: count,
		},
	}
	mr.inFlight = append(mr.inFlight, request)
	mr.log.Info("scale out", "type", offer.TypeName, "zone", offer.Zone, "spot", offer.Spot, "count", count)
	mr.send(request)
}

// send sends a request. One whose answer is lost is sent again under the same name: the
// cloud then gives the same machines.
func (mr *machineRequests) send(request *machineRequest) {
	request.tries++
	mr.cloud.CreateMachines(request.body, func(result CreateResult) { mr.handleCreateResult(request, result) })
}

// handleCreateResult takes the answer to a request.
func (mr *machineRequests) handleCreateResult(request *machineRequest, result CreateResult) {
	switch result.Outcome {
	case Created:
		mr.addCreatedMachines(request, result.Machines)
	case NoCapacity:
		mr.markUnavailable(request.offer)
	case CreateOutcomeUnknown:
		if request.tries < tuning.MaxRentalAttempts {
			mr.env.After(time.Second, func() { mr.send(request) })
			return
		}
		mr.log.Error("scale out failed", "zone", request.offer.Zone, "type", request.offer.TypeName, "error", result.Detail)
	case CreateRejected:
		mr.log.Error("scale out rejected", "zone", request.offer.Zone, "type", request.offer.TypeName, "error", result.Detail)
	}
	mr.inFlight = slices.DeleteFunc(mr.inFlight, func(other *machineRequest) bool { return other == request })
	mr.env.RequestScheduling()
}

// addCreatedMachines enters the machines that the cloud has given.
func (mr *machineRequests) addCreatedMachines(request *machineRequest, machines []protocol.MachineID) {
	for _, id := range machines {
		if mr.deleted[id] || id == "" {
			continue
		}
		machine := mr.state.EnsureMachine(id, "", request.offer.TypeName, request.offer.Zone, request.offer.Spot)
		machine.CreatedAt = mr.state.Now()
		if machine.Record == nil {
			mr.env.RecordMachine(machine) // all at once, and before they are up
		}
	}
	if len(machines) < request.body.Count {
		mr.markUnavailable(request.offer)
	}
}

// markUnavailable leaves an offer alone for a while that the cloud has no capacity for.
func (mr *machineRequests) markUnavailable(offer Offer) {
	mr.unavailable[offer] = mr.state.Now().Add(tuning.NoCapacityBackoff)
}
