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
	body  protocol.Rental
	tries int
}

// requestAll asks the cloud for the machines that are wanted, as far as the budget of calls
// goes.
func (as *Autoscaler) requestAll(want map[Offer]int) {
	offers := slices.SortedFunc(maps.Keys(want), compareOffers)
	for _, offer := range offers {
		if !as.calls.AllowN(as.state.Now(), 1) {
			return
		}
		as.RequestMachines(offer, min(want[offer], tuning.MaxMachinesPerRental))
	}
}

// RequestMachines asks the cloud for machines.
func (as *Autoscaler) RequestMachines(offer Offer, count int) {
	request := &machineRequest{
		offer: offer,
		body: protocol.Rental{
			Request: as.env.UniqueName(), Type: offer.TypeName, Zone: offer.Zone, Spot: offer.Spot, Count: count,
		},
	}
	as.requests = append(as.requests, request)
	as.log.Info("scale out", "type", offer.TypeName, "zone", offer.Zone, "spot", offer.Spot, "count", count)
	as.send(request)
}

// send sends a request. One whose answer is lost is sent again under the same name: the
// cloud then gives the same machines.
func (as *Autoscaler) send(request *machineRequest) {
	request.tries++
	as.cloud.CreateMachines(request.body, func(result CreateResult) { as.handleCreateResult(request, result) })
}

// handleCreateResult takes the answer to a request.
func (as *Autoscaler) handleCreateResult(request *machineRequest, result CreateResult) {
	switch result.Outcome {
	case Created:
		as.enterCreated(request, result.Machines)
	case NoCapacity:
		as.restOffer(request.offer)
	case CreateUnclear:
		if request.tries < tuning.MaxRentalAttempts {
			as.env.After(time.Second, func() { as.send(request) })
			return
		}
		as.log.Error("scale out failed", "zone", request.offer.Zone, "type", request.offer.TypeName, "error", result.Detail)
	case CreateRejected:
		as.log.Error("scale out rejected", "zone", request.offer.Zone, "type", request.offer.TypeName, "error", result.Detail)
	}
	as.requests = slices.DeleteFunc(as.requests, func(other *machineRequest) bool { return other == request })
	as.env.RequestScheduling()
}

// enterCreated enters the machines that the cloud has given.
func (as *Autoscaler) enterCreated(request *machineRequest, machines []protocol.MachineID) {
	for _, id := range machines {
		if as.Deleted(id) || id == "" {
			continue
		}
		machine := as.state.EnsureMachine(id, "", request.offer.TypeName, request.offer.Zone, request.offer.Spot)
		machine.CreatedAt = as.state.Now()
		if machine.Record == nil {
			as.env.RecordMachine(machine) // all at once, and before they are up
		}
	}
	if len(machines) < request.body.Count {
		as.restOffer(request.offer)
	}
}

// restOffer leaves an offer alone for a while that the cloud has no capacity for.
func (as *Autoscaler) restOffer(offer Offer) {
	as.unavailable[offer] = as.state.Now().Add(tuning.NoCapacityBackoff)
}
