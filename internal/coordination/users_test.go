package coordination

import (
	"log/slog"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// TestImpossible: what can never run is refused for its reason; before a node knows
// the machine types, or has read the records, it says that it cannot tell yet.
func TestImpossible(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	base := gangOf(2, 1)
	base.ID, base.Priority = "run-000001", "normal"
	for name, c := range map[string]struct {
		change func(spec *protocol.Job)
		want   bool
	}{
		"sound":             {func(*protocol.Job) {}, true},
		"team":              {func(spec *protocol.Job) { spec.Team = "nobody" }, false},
		"processors":        {func(spec *protocol.Job) { spec.CPUs = 1000 }, false},
		"GPUs":              {func(spec *protocol.Job) { spec.GPUs = 64 }, false},
		"memory":            {func(spec *protocol.Job) { spec.MemoryGB = 1e6 }, false},
		"type":              {func(spec *protocol.Job) { spec.Types = []protocol.MachineTypeName{"none"} }, false},
		"zone":              {func(spec *protocol.Job) { spec.Zone = "nowhere" }, false},
		"gang within limit": {func(spec *protocol.Job) { spec.Team, spec.Tasks = "tight", 6 }, true},
		"gang over limit":   {func(spec *protocol.Job) { spec.Team, spec.Tasks = "tight", 7 }, false},
		"array over limit":  {func(spec *protocol.Job) { spec.Team, spec.Tasks, spec.Shape = "tight", 7, protocol.ShapeArray }, true},
		"service over":      {func(spec *protocol.Job) { spec.Team, spec.Tasks, spec.Shape = "tight", 7, protocol.ShapeService }, false},
		"one zone, spread":  {func(spec *protocol.Job) { spec.OneZone, spec.Spread = true, true }, false},
		"a zone, spread":    {func(spec *protocol.Job) { spec.Zone, spec.Spread = "a", true }, false},
		"array, spread":     {func(spec *protocol.Job) { spec.OneZone, spec.Spread, spec.Shape = true, true, protocol.ShapeArray }, true},
	} {
		j := base
		c.change(&j)
		if why := l.n.unrunnableReason(&j); (why == "") != c.want {
			t.Errorf("%s: %q", name, why)
		}
	}
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
		n.submit(7, &bad)
		if r, ok := n.out[0].(Reply); !ok || r.Status != 503 || r.RetryAfter == 0 {
			t.Errorf("records read %v: %+v", known, n.out[0])
		}
	}
	// With the types known too, only a job that nobody knows is refused.
	n.types["big"] = &bigType
	n.servedAt = n.now
	n.out = nil
	n.submit(8, &bad)
	for _, status := range []int{404, 200} {
		read := n.lastRequest(t, ToState)
		body := []byte(nil)
		if status == 200 {
			body = storage.Encode(protocol.Entry{Key: storage.FinalKey(bad.ID), Revision: 4, Value: storage.Encode(storage.Final{Phase: protocol.PhaseDone})})
		}
		n.handle(Response{ID: read.ID, Status: status, Body: body})
	}
	if r, ok := n.out[len(n.out)-1].(Reply); !ok || r.Status != 200 {
		t.Errorf("a finished job is answered %+v", n.out[len(n.out)-1])
	}
}
