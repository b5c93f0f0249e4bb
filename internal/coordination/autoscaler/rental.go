package autoscaler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// rental is a request under way.
type rental struct {
	offer   Offer
	count   int
	request protocol.Rental
	tries   int
}

// sendRentals asks the cloud for machines.
func (as *Autoscaler) sendRentals(want map[Offer]int) {
	offers := slices.SortedFunc(maps.Keys(want), func(a, b Offer) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.TypeName, b.TypeName), cluster.TrueFirst(a.Spot, b.Spot))
	})
	for _, o := range offers {
		if !as.calls.AllowN(as.state.Now(), 1) {
			return
		}
		n := min(want[o], tuning.MaxMachinesPerRental)
		as.Rent(o, n)
	}
}

// Rent asks the cloud for machines.
func (as *Autoscaler) Rent(offer Offer, count int) {
	r := &rental{offer: offer, count: count, request: protocol.Rental{Request: as.env.UniqueName(),
		Type: offer.TypeName, Zone: offer.Zone, Spot: offer.Spot, Count: count}}
	as.rentals = append(as.rentals, r)
	as.log.Info("renting machines", "type", offer.TypeName, "zone", offer.Zone, "spot", offer.Spot, "count", count)
	as.sendRental(r)
}

// sendRental sends a request. One whose answer is lost is sent again under the
// same name: the cloud then gives the same machines.
func (as *Autoscaler) sendRental(r *rental) {
	r.tries++
	as.cloud.RentMachines(r.request, func(result RentResult) { as.handleRentResult(r, result) })
}

// handleRentResult takes the answer to a request.
func (as *Autoscaler) handleRentResult(r *rental, result RentResult) {
	switch result.Outcome {
	case Rented:
		as.enterRented(r, result.Machines)
	case NoCapacity:
		as.unavailable[r.offer] = as.state.Now().Add(tuning.NoCapacityBackoff)
	case RentFailed:
		if r.tries < tuning.MaxRentalAttempts {
			as.env.After(time.Second, func() { as.sendRental(r) })
			return
		}
		as.log.Error("rental failed", "detail", result.Detail)
	case RentRejected:
		as.log.Error("rental rejected", "detail", result.Detail)
	}
	as.rentals = slices.DeleteFunc(as.rentals, func(other *rental) bool { return other == r })
	as.env.RequestScheduling()
}

// enterRented enters the machines that the cloud has rented.
func (as *Autoscaler) enterRented(r *rental, machines []protocol.MachineID) {
	for _, id := range machines {
		if as.Deleted(id) || id == "" {
			continue
		}
		machine := as.state.EnsureMachine(id, "", r.offer.TypeName, r.offer.Zone, r.offer.Spot)
		machine.CreatedAt = as.state.Now()
		if machine.Record == nil {
			as.env.RecordMachine(machine) // all at once, and before they are up
		}
	}
	if len(machines) < r.count {
		as.unavailable[r.offer] = as.state.Now().Add(tuning.NoCapacityBackoff)
	}
}
