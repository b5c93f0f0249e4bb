package coordination

import (
	"log/slog"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// TestSubmissionIsUnavailableUntilTypesAndRecordsAreLoaded: before a node knows the machine
// types and has loaded the records, it replies that it cannot tell yet whether a job can run.
func TestSubmissionIsUnavailableUntilTypesAndRecordsAreLoaded(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	base := gangOf(2, 1)
	base.ID, base.Priority = "run-000001", "normal"
	n := New(l.n.cfg, slog.New(slog.DiscardHandler), 1, "boot")
	n.now = l.n.now
	unrunnable := base
	unrunnable.Team = "nobody"
	for _, recordsLoaded := range []bool{false, true} {
		if recordsLoaded { // load the records, but not the types
			n.mirror.BeginLoad()
			n.mirror.LoadPage(&protocol.Entries{Revision: 1})
		}
		n.out = nil
		n.api.Submit(7, &unrunnable)
		if r, ok := n.out[0].(Reply); !ok || r.Status != 503 || r.RetryAfter == 0 {
			t.Errorf("records loaded %v: %+v", recordsLoaded, n.out[0])
		}
	}
	// Once the types are known too, a job that cannot run is refused only if the store does not
	// know it.
	n.machineTypes.byName["big"] = &bigType
	n.storeAccess.lastServedAt = n.now
	n.out = nil
	n.api.Submit(8, &unrunnable)
	for _, status := range []int{404, 200} {
		read := n.lastRequest(t, ToStore)
		body := []byte(nil)
		if status == 200 {
			body = storage.Encode(protocol.Entry{Key: storage.FinalRecordKey(unrunnable.ID), Revision: 4, Value: storage.Encode(storage.FinalRecord{Phase: protocol.PhaseDone})})
		}
		n.handle(Response{ID: read.ID, Status: status, Body: body})
	}
	if r, ok := n.out[len(n.out)-1].(Reply); !ok || r.Status != 200 {
		t.Errorf("reply for a finished job: %+v", n.out[len(n.out)-1])
	}
}
