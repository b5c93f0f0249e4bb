package autoscaler

import (
	"maps"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// machineRequest is a request for machines in flight.
type machineRequest struct {
	offer Offer
	body  protocol.CreateMachinesRequest
	tries int
}

// machineRequests sends the requests for machines and handles their results.
type machineRequests struct {
	dependencies
	deleted     map[protocol.MachineID]bool // machines that are known to be deleted
	inFlight    []*machineRequest
	unavailable map[Offer]time.Time // offers without capacity, and until when they are not requested
}

// RequestMachines requests machines of an offer from the cloud.
func (as *Autoscaler) RequestMachines(offer Offer, count int) { as.requests.submit(offer, count) }

// submitAll requests the wanted machines from the cloud, as far as the call budget allows.
func (mr *machineRequests) submitAll(want map[Offer]int) {
	offers := slices.SortedFunc(maps.Keys(want), compareOffers)
	for _, offer := range offers {
		if !mr.calls.AllowN(mr.state.Now(), 1) {
			return
		}
		mr.submit(offer, min(want[offer], tuning.MaxMachinesPerRequest))
	}
}

// submit requests machines of an offer from the cloud.
func (mr *machineRequests) submit(offer Offer, count int) {
	request := &machineRequest{
		offer: offer,
		body: protocol.CreateMachinesRequest{
			RequestID: mr.env.UniqueName(), Type: offer.TypeName, Zone: offer.Zone, Spot: offer.Spot, Count: count,
		},
	}
	mr.inFlight = append(mr.inFlight, request)
	mr.log.Info("requesting machines", "type", offer.TypeName, "zone", offer.Zone, "spot", offer.Spot, "count", count)
	mr.send(request)
}

// send sends a request. A request whose response is lost is sent again with the same ID, for
// which the cloud returns the same machines.
func (mr *machineRequests) send(request *machineRequest) {
	request.tries++
	mr.cloud.CreateMachines(request.body, func(result CreateResult) { mr.handleCreateResult(request, result) })
}

// handleCreateResult handles the result of a request.
func (mr *machineRequests) handleCreateResult(request *machineRequest, result CreateResult) {
	switch result.Outcome {
	case Created:
		mr.addCreatedMachines(request, result.Machines)
	case NoCapacity:
		mr.markUnavailable(request.offer)
	case CreateOutcomeUnknown:
		if request.tries < tuning.MaxMachineRequestAttempts {
			mr.env.After(time.Second, func() { mr.send(request) })
			return
		}
		mr.log.Error("machine request failed", "zone", request.offer.Zone, "type", request.offer.TypeName, "error", result.Detail)
	case CreateRejected:
		mr.log.Error("machine request rejected", "zone", request.offer.Zone, "type", request.offer.TypeName, "error", result.Detail)
	}
	mr.inFlight = slices.DeleteFunc(mr.inFlight, func(other *machineRequest) bool { return other == request })
	mr.env.RequestScheduling()
}

// addCreatedMachines adds the machines that the cloud has created.
func (mr *machineRequests) addCreatedMachines(request *machineRequest, machines []protocol.MachineID) {
	for _, id := range machines {
		if mr.deleted[id] || id == "" {
			continue
		}
		machine := mr.state.EnsureMachine(id, "", request.offer.TypeName, request.offer.Zone, request.offer.Spot)
		machine.CreatedAt = mr.state.Now()
		if machine.Record == nil {
			mr.env.RecordMachine(machine) // all in one write, and before they have booted
		}
	}
	if len(machines) < request.body.Count {
		mr.markUnavailable(request.offer)
	}
}

// markUnavailable suspends requests for an offer for which the cloud has no capacity.
func (mr *machineRequests) markUnavailable(offer Offer) {
	mr.unavailable[offer] = mr.state.Now().Add(tuning.NoCapacityBackoff)
}
