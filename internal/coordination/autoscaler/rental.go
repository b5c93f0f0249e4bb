package autoscaler

import (
	"maps"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// rentalRequest is a request for machines under way.
type rentalRequest struct {
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
	request := &rentalRequest{
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
func (as *Autoscaler) send(request *rentalRequest) {
	request.tries++
	as.cloud.RentMachines(request.body, func(result RentResult) { as.handleRentResult(request, result) })
}

// handleRentResult takes the answer to a request.
func (as *Autoscaler) handleRentResult(request *rentalRequest, result RentResult) {
	switch result.Outcome {
	case Rented:
		as.enterRented(request, result.Machines)
	case NoCapacity:
		as.restOffer(request.offer)
	case RentFailed:
		if request.tries < tuning.MaxRentalAttempts {
			as.env.After(time.Second, func() { as.send(request) })
			return
		}
		as.log.Error("scale out failed", "zone", request.offer.Zone, "type", request.offer.TypeName, "error", result.Detail)
	case RentRejected:
		as.log.Error("scale out rejected", "zone", request.offer.Zone, "type", request.offer.TypeName, "error", result.Detail)
	}
	as.requests = slices.DeleteFunc(as.requests, func(other *rentalRequest) bool { return other == request })
	as.env.RequestScheduling()
}

// enterRented enters the machines that the cloud has given.
func (as *Autoscaler) enterRented(request *rentalRequest, machines []protocol.MachineID) {
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
