package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/autoscaler"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// TestMachinesOfOneRequestShareRecords: machines that are created by one request share a few
// records, each within the value limit. A new leader loads all of them. Once the machines are
// deleted, their records are deleted, too.
func TestMachinesOfOneRequestShareRecords(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	l.autoscaler.RequestMachines(autoscaler.Offer{TypeName: "big", Zone: "a", Spot: true}, 100)
	var names []protocol.MachineID
	for i := range 100 {
		names = append(names, protocol.MachineID(fmt.Sprintf("i-%06d", i)))
	}
	l.n.handle(Response{ID: l.n.lastRequest(t, ToCloud).ID, Status: 200, Body: storage.Encode(protocol.MachineIDs{Machines: names})})
	l.committer.Commit()
	r := l.n.lastRequest(t, ToStore)
	txn, _ := parse[protocol.Transaction](r.Body)
	if len(txn.Changes) > 2 {
		t.Errorf("%d changes for 100 machines of one request", len(txn.Changes))
	}
	l.n.handle(Response{ID: r.ID, Status: 200, Body: []byte(`{"ledger":99}`)})

	next := testLeader(l.n.now)
	for _, c := range txn.Changes {
		if n := len(c.Value); float64(n) > l.n.cfg.Cluster.Store.ValueKB*1024 {
			t.Errorf("a record of %d bytes exceeds the value limit", n)
		}
		rec, _ := parse[storage.MachineRecord](c.Value)
		next.committer.Machines.Load(c.Set, 99, &rec)
	}
	for _, id := range names {
		if machine := next.cluster.Machines[id]; machine == nil || !machine.Recorded || !l.cluster.Machines[id].Recorded {
			t.Fatalf("%s is not marked as recorded", id)
		}
	}

	for _, id := range names {
		next.removeMachines(id)
	}
	next.n.now = next.n.now.Add(time.Minute)
	next.committer.Commit()
	r = next.n.lastRequest(t, ToStore)
	txn, _ = parse[protocol.Transaction](r.Body)
	next.n.handle(Response{ID: r.ID, Status: 200, Body: []byte(`{"ledger":100}`)})
	for _, c := range txn.Changes {
		if c.Delete == "" {
			t.Errorf("%s is written, not deleted", c.Set)
		}
	}
	if !next.committer.Machines.Empty() {
		t.Error("machine records are left")
	}
}

// TestPlacementOnUnrecordedMachineIsDropped: a machine is removed from its machine record only
// after the cloud has confirmed its deletion. So an attempt on a machine that no record names is
// known to be gone, and a new leader need not wait for the agent's lease to expire.
func TestPlacementOnUnrecordedMachineIsDropped(t *testing.T) {
	for _, recorded := range []bool{true, false} {
		n := testLeader(time.Unix(1_800_000_000, 0)).n
		s := gangOf(1, 1)
		s.ID, s.Priority = "run-000077", "normal"
		entries := []protocol.Entry{{Key: storage.JobKey(s.ID), Revision: 9, Value: storage.Encode(storage.Job{Spec: &s, SubmissionRevision: 5, Attempt: 3, TasksPerBaseRecord: 60,
			Tasks: []storage.Task{{Index: 0, Attempt: 3, Machine: "i-1", Incarnation: 1}}})}}
		if recorded {
			entries = append(entries, protocol.Entry{Key: storage.MachineRecordKey("r"), Revision: 4,
				Value: storage.Encode(storage.MachineRecord{Machines: []storage.MachineEntry{{ID: "i-1", Address: "h:1", Type: "big", Zone: "a"}}})})
		}
		n.mirror.BeginLoad()
		n.mirror.LoadPage(&protocol.Entries{Items: entries, Revision: 10})
		n.startLeading()
		if got := len(n.ownLeader.cluster.Jobs[s.ID].Attempts); (got == 1) != recorded {
			t.Errorf("recorded %v: %d attempts", recorded, got)
		}
	}
}
