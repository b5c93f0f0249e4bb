package api

import (
	"testing"

	"github.com/gappond/gappond/internal/protocol"
)

// TestUnrunnableJobsAreRefused: a job that can never run gets a reason for its refusal, and one
// that can run gets none.
func TestUnrunnableJobsAreRefused(t *testing.T) {
	for name, test := range map[string]struct {
		change func(spec *protocol.Job)
		want   bool
	}{
		"runnable":           {func(*protocol.Job) {}, true},
		"unknown team":       {func(spec *protocol.Job) { spec.Team = "nobody" }, false},
		"too many CPUs":      {func(spec *protocol.Job) { spec.CPUs = 1000 }, false},
		"too many GPUs":      {func(spec *protocol.Job) { spec.GPUs = 64 }, false},
		"too much memory":    {func(spec *protocol.Job) { spec.MemoryGB = 1e6 }, false},
		"unknown type":       {func(spec *protocol.Job) { spec.Types = []protocol.MachineTypeName{"none"} }, false},
		"unknown zone":       {func(spec *protocol.Job) { spec.Zone = "nowhere" }, false},
		"gang within limit":  {func(spec *protocol.Job) { spec.Team, spec.Tasks = "tight", 6 }, true},
		"gang over limit":    {func(spec *protocol.Job) { spec.Team, spec.Tasks = "tight", 7 }, false},
		"array over limit":   {func(spec *protocol.Job) { spec.Team, spec.Tasks, spec.Shape = "tight", 7, protocol.ShapeArray }, true},
		"service over limit": {func(spec *protocol.Job) { spec.Team, spec.Tasks, spec.Shape = "tight", 7, protocol.ShapeService }, false},
		"one zone, spread":   {func(spec *protocol.Job) { spec.OneZone, spec.Spread = true, true }, false},
		"a zone, spread":     {func(spec *protocol.Job) { spec.Zone, spec.Spread = "a", true }, false},
		"array, spread":      {func(spec *protocol.Job) { spec.OneZone, spec.Spread, spec.Shape = true, true, protocol.ShapeArray }, true},
	} {
		spec := testSpec()
		test.change(&spec)
		if reason := newController(t).submissions.runnable.unrunnableReason(&spec); (reason == "") != test.want {
			t.Errorf("%s: reason %q", name, reason)
		}
	}
}
