package coordination

import (
	"log/slog"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// TestSubmissionIsOnlyJudgedOnceAllIsKnown: before a node knows the machine types, or
// has read the records, it says that it cannot tell yet whether a job can run.
func TestSubmissionIsOnlyJudgedOnceAllIsKnown(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	base := gangOf(2, 1)
	base.ID, base.Priority = "run-000001", "normal"
	n := New(l.n.cfg, slog.New(slog.DiscardHandler), 1, "boot")
	n.now = l.n.now
	bad := base
	bad.Team = "nobody"
	for _, known := range []bool{false, true} {
		if known { // the records, but not the types
			n.mirror.BeginLoad()
			n.mirror.LoadPage(&protocol.Entries{Revision: 1})
		}
		n.out = nil
		n.api.Submit(7, &bad)
		if r, ok := n.out[0].(Reply); !ok || r.Status != 503 || r.RetryAfter == 0 {
			t.Errorf("records read %v: %+v", known, n.out[0])
		}
	}
	// With the types known too, only a job that nobody knows is refused.
	n.machineTypes.byName["big"] = &bigType
	n.storeAccess.lastServedAt = n.now
	n.out = nil
	n.api.Submit(8, &bad)
	for _, status := range []int{404, 200} {
		read := n.lastRequest(t, ToStore)
		body := []byte(nil)
		if status == 200 {
			body = storage.Encode(protocol.Entry{Key: storage.FinalRecordKey(bad.ID), Revision: 4, Value: storage.Encode(storage.FinalRecord{Phase: protocol.PhaseDone})})
		}
		n.handle(Response{ID: read.ID, Status: status, Body: body})
	}
	if r, ok := n.out[len(n.out)-1].(Reply); !ok || r.Status != 200 {
		t.Errorf("a finished job is answered %+v", n.out[len(n.out)-1])
	}
}
