package autoscaler

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// Offer is what can be rented: a type in a zone, ordinary or spot.
type Offer struct {
	TypeName protocol.MachineTypeName
	Zone     protocol.ZoneName
	Spot     bool
}

// offers lists what could be rented for a job, the cheapest first.
func (as *Autoscaler) offers(job *cluster.Job, zone protocol.ZoneName) []Offer {
	type priced struct {
		Offer
		price float64
	}
	var list []priced
	for _, machineType := range as.state.Types {
		if !machineType.Fits(job.Spec) {
			continue
		}
		for _, z := range machineType.Zones {
			if zone != "" && z != zone || job.Spec.Zone != "" && z != job.Spec.Zone {
				continue
			}
			for _, spot := range []bool{true, false} {
				o := Offer{machineType.Name, z, spot}
				if spot && !job.Spec.Spot || as.state.Now().Before(as.unavailable[o]) {
					continue
				}
				price := machineType.Price
				if spot {
					price = machineType.SpotPrice
				}
				list = append(list, priced{o, price / float64(max(1, cluster.CapacityOf(machineType).Fit(job.Spec, len(job.Tasks))))})
			}
		}
	}
	load := as.machinesIn
	slices.SortFunc(list, func(a, b priced) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(load[a.Zone], load[b.Zone]), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.TypeName, b.TypeName))
	})
	out := make([]Offer, len(list))
	for i, p := range list {
		out[i] = p.Offer
	}
	return out
}
