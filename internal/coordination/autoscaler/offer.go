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
func (as *Autoscaler) offers(j *cluster.Job, zone protocol.ZoneName) []Offer {
	type priced struct {
		Offer
		price float64
	}
	var list []priced
	for _, t := range as.state.Types {
		if !t.Fits(j.Spec) {
			continue
		}
		for _, z := range t.Zones {
			if zone != "" && z != zone || j.Spec.Zone != "" && z != j.Spec.Zone {
				continue
			}
			for _, spot := range []bool{true, false} {
				o := Offer{t.Name, z, spot}
				if spot && !j.Spec.Spot || as.state.Now().Before(as.unavailable[o]) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				list = append(list, priced{o, price / float64(max(1, cluster.CapacityOf(t).Fit(j.Spec, len(j.Tasks))))})
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
