package autoscaler

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// Offer is what the cloud gives on request: a type in a zone, ordinary or spot.
type Offer struct {
	TypeName protocol.MachineTypeName
	Zone     protocol.ZoneName
	Spot     bool
}

// offerOf is the offer that a machine came from.
func offerOf(machine *cluster.Machine) Offer {
	return Offer{TypeName: machine.TypeName, Zone: machine.Zone, Spot: machine.Spot}
}

// compareOffers orders offers for a fixed order of the requests.
func compareOffers(a, b Offer) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.TypeName, b.TypeName), cluster.TrueFirst(a.Spot, b.Spot))
}

// capacityOf is what a machine of an offer would have.
func (as *Autoscaler) capacityOf(offer Offer) cluster.Resources {
	return cluster.CapacityOf(as.state.Types[offer.TypeName])
}

// pricedOffer is an offer and its price for each task of the job that it is for.
type pricedOffer struct {
	Offer
	price float64
}

// offers lists what the cloud could give for a job, the cheapest first; zone "" stands for
// all zones.
func (as *Autoscaler) offers(job *cluster.Job, zone protocol.ZoneName) []Offer {
	var list []pricedOffer
	for _, machineType := range as.state.Types {
		if !machineType.Fits(job.Spec) {
			continue
		}
		for _, z := range machineType.Zones {
			if zone != "" && z != zone || job.Spec.Zone != "" && z != job.Spec.Zone {
				continue
			}
			list = as.appendOffers(list, job, machineType, z)
		}
	}
	slices.SortFunc(list, func(a, b pricedOffer) int {
		return cmp.Or(
			cmp.Compare(a.price, b.price),
			cmp.Compare(as.machinesPerZone[a.Zone], as.machinesPerZone[b.Zone]),
			cmp.Compare(a.Zone, b.Zone),
			cmp.Compare(a.TypeName, b.TypeName))
	})
	offers := make([]Offer, len(list))
	for i := range list {
		offers[i] = list[i].Offer
	}
	return offers
}

// appendOffers adds the offers of a type in a zone that a job may use.
func (as *Autoscaler) appendOffers(list []pricedOffer, job *cluster.Job, machineType *protocol.MachineType, zone protocol.ZoneName) []pricedOffer {
	tasks := float64(max(1, cluster.CapacityOf(machineType).Fit(job.Spec, len(job.Tasks))))
	for _, spot := range []bool{true, false} {
		offer := Offer{TypeName: machineType.Name, Zone: zone, Spot: spot}
		if spot && !job.Spec.Spot || as.state.Now().Before(as.requests.unavailable[offer]) {
			continue
		}
		price := machineType.Price
		if spot {
			price = machineType.SpotPrice
		}
		list = append(list, pricedOffer{Offer: offer, price: price / tasks})
	}
	return list
}
