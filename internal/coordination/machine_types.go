package coordination

import (
	"net/http"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// machineTypes holds the cloud's machine types. Every node needs them to validate submissions.
// The leader also needs their prices.
type machineTypes struct {
	n             *Node
	byName        map[protocol.MachineTypeName]*protocol.MachineType
	nextRefreshAt time.Time
}

// requestRefresh requests the types from the cloud at the next tick.
func (mt *machineTypes) requestRefresh() { mt.nextRefreshAt = mt.n.now }

// due calls wakeBy with the time of the next request to the cloud.
func (mt *machineTypes) due(wakeBy func(time.Time)) { wakeBy(mt.nextRefreshAt) }

// tick requests the machine types from the cloud when they are due. Nodes that do not lead and know
// the types request them less often.
func (mt *machineTypes) tick() {
	n, interval := mt.n, tuning.MachineTypesInterval
	if n.ownLeader == nil && len(mt.byName) > 0 {
		interval *= 4
	}
	if !mt.nextRefreshAt.IsZero() && n.now.Before(mt.nextRefreshAt) {
		return
	}
	mt.nextRefreshAt = n.now.Add(tuning.CloudTimeout + time.Second)
	n.request(ToCloud, "", http.MethodGet, protocol.PathMachineTypes, nil, tuning.CloudTimeout, func(status int, body []byte) {
		var list protocol.MachineTypes
		if status != http.StatusOK || protocol.Unmarshal(body, &list) != nil || len(list.Types) == 0 {
			mt.nextRefreshAt = n.now.Add(time.Second)
			return
		}
		mt.nextRefreshAt = n.now.Add(interval)
		mt.update(&list)
		if n.ownLeader != nil {
			mt.writeRecord(&list)
		}
	})
}

// update adds the listed types and updates known ones in place.
func (mt *machineTypes) update(list *protocol.MachineTypes) {
	for i := range list.Types {
		machineType := &list.Types[i]
		if known := mt.byName[machineType.Name]; known != nil {
			*known = *machineType // machines hold pointers to their type
		} else {
			mt.byName[machineType.Name] = machineType
		}
	}
}

// loadRecorded loads the machine types from their record if none are known yet.
func (mt *machineTypes) loadRecorded() {
	if entry, ok := mt.n.mirror.Get(storage.TypesKey); ok && len(mt.byName) == 0 {
		if list, ok := parse[protocol.MachineTypes](entry.Value); ok {
			mt.update(&list)
		}
	}
}

// writeRecord writes the record of the machine types, so that a node that starts while the cloud
// does not respond can still validate submissions.
func (mt *machineTypes) writeRecord(list *protocol.MachineTypes) {
	n := mt.n
	entry, _ := n.mirror.Get(storage.TypesKey)
	if known, ok := parse[protocol.MachineTypes](entry.Value); ok && slices.EqualFunc(known.Types, list.Types, sameType) {
		return
	}
	value := storage.Encode(list)
	if float64(len(value)) > n.cfg.Cluster.Store.ValueKB*1024 {
		return
	}
	n.store.Transact(protocol.Transaction{
		Conditions: []protocol.Condition{n.election.Condition()},
		Changes:    []protocol.Change{{Set: storage.TypesKey, Value: value}},
	}, func(kv.TransactionResult) {})
}

// sameType reports whether two types are equal, apart from the spot price, which changes with the
// market.
func sameType(a, b protocol.MachineType) bool {
	return a.Name == b.Name && a.CPUs == b.CPUs && a.GPUs == b.GPUs && a.MemoryGB == b.MemoryGB &&
		a.CacheGB == b.CacheGB && a.FetchGBPerS == b.FetchGBPerS && a.Price == b.Price && a.BootS == b.BootS &&
		slices.Equal(a.Zones, b.Zones)
}
