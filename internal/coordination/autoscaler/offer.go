package autoscaler

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// Offer is a kind of machine that can be requested from the cloud: a machine type in a zone,
// on-demand or spot.
type Offer struct {
	TypeName protocol.MachineTypeName
	Zone     protocol.ZoneName
	Spot     bool
}

// offerOf returns the offer that a machine belongs to.
func offerOf(machine *cluster.Machine) Offer {
	return Offer{TypeName: machine.TypeName, Zone: machine.Zone, Spot: machine.Spot}
}

// compareOffers orders offers, so that requests are made in a deterministic order.
func compareOffers(a, b Offer) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.TypeName, b.TypeName), cluster.TrueFirst(a.Spot, b.Spot))
}

// capacityOf returns the capacity of an empty machine of an offer.
func (as *Autoscaler) capacityOf(offer Offer) cluster.Resources {
	return cluster.CapacityOf(as.state.Types[offer.TypeName])
}

// pricedOffer is an offer and its price per task of the job for which it is considered.
type pricedOffer struct {
	Offer
	price float64
}

// offers lists the offers that a job may use, the cheapest per task first. Zone "" stands for
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

// MachinesObtainable reports whether the cloud may create machines for a job in a zone, or in any
// zone if zone is "". It may not if it has just refused each offer that the job may use.
func (as *Autoscaler) MachinesObtainable(job *cluster.Job, zone protocol.ZoneName) bool {
	return len(as.offers(job, zone)) > 0
}

// appendOffers appends the offers of a machine type in a zone that a job may use, without those
// that lack capacity at present.
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
