package coordination

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// tickTypes keeps the price list: every node needs the types to judge
// submissions, the leader the prices too.
func (n *Node) tickTypes() {
	every := tuning.MachineTypesInterval
	if n.lead == nil && len(n.types) > 0 {
		every *= 4
	}
	if !n.typesAt.IsZero() && n.now.Before(n.typesAt) {
		return
	}
	n.typesAt = n.now.Add(tuning.CloudTimeout + time.Second)
	n.request(ToCloud, "", http.MethodGet, protocol.PathMachineTypes, nil, tuning.CloudTimeout, func(status int, body []byte) {
		var list protocol.MachineTypes
		if status != http.StatusOK || json.Unmarshal(body, &list) != nil || len(list.Types) == 0 {
			n.typesAt = n.now.Add(time.Second)
			return
		}
		n.typesAt = n.now.Add(every)
		n.takeTypes(&list)
		n.recordTypes(&list)
	})
}

func (n *Node) takeTypes(list *protocol.MachineTypes) {
	for i := range list.Types {
		machineType := &list.Types[i]
		if old := n.types[machineType.Name]; old != nil {
			*old = *machineType // machines point to their type
		} else {
			n.types[machineType.Name] = machineType
		}
	}
}

// recordTypes records the machine types, so that a node that starts while the
// cloud does not answer can judge submissions all the same.
func (n *Node) recordTypes(list *protocol.MachineTypes) {
	if n.lead == nil {
		return
	}
	e, _ := n.mirror.Get(storage.TypesKey)
	if known, ok := parse[protocol.MachineTypes](e.Value); ok && slices.EqualFunc(known.Types, list.Types, sameType) {
		return
	}
	value := storage.Encode(list)
	if float64(len(value)) > n.cfg.Cluster.State.ValueKB*1024 {
		return
	}
	n.store.Transact(protocol.Transaction{
		Conditions: []protocol.Condition{n.election.Condition()},
		Changes:    []protocol.Change{{Set: storage.TypesKey, Value: value}},
	}, func(kv.TransactionResult) {})
}

// sameType compares what does not move with the market.
func sameType(a, b protocol.MachineType) bool {
	return a.Name == b.Name && a.CPUs == b.CPUs && a.GPUs == b.GPUs && a.MemoryGB == b.MemoryGB &&
		a.CacheGB == b.CacheGB && a.FetchGBPerS == b.FetchGBPerS && a.Price == b.Price && a.BootS == b.BootS &&
		slices.Equal(a.Zones, b.Zones)
}
