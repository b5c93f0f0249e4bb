package api

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// controller is a service's surroundings: its calls wait to be answered, and what it
// replies, announces and confirms is noted in order.
type controller struct {
	*Service
	now         time.Time
	unreachable bool
	noReads     bool
	noWrites    bool
	peers       bool // submissions can be forwarded
	names       int
	calls       []pendingCall
	log         []string
}

type pendingCall struct {
	kv.Call
	done func(status int, body []byte)
}

// newController makes a service that has read the records and knows one machine type.
func newController(t *testing.T) *controller {
	t.Helper()
	cfg := &config.Config{Name: "n", Operator: tuning.Defaults()}
	cfg.Cluster = config.Cluster{Zones: []protocol.ZoneName{"a", "b", "c"},
		Teams:  []config.Team{{Name: "free"}, {Name: "tight", MaxGPUs: 6, GPUs: 2}},
		Agents: config.AgentTimings{CancelS: 49},
		Store:  config.StoreLimits{RPS: 80, WriteRPS: 15, ValueKB: 8, TxnOps: 12}}
	big := &protocol.MachineType{Name: "big", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 100, FetchGBPerS: 1, Price: 10, SpotPrice: 3, BootS: 30, Zones: []protocol.ZoneName{"a", "b", "c"}}
	c := &controller{now: time.Unix(1_800_000_000, 0)}
	mirror := &storage.Mirror{}
	mirror.BeginLoad()
	mirror.LoadPage(&protocol.Entries{Revision: 1})
	c.Service = New(cfg, map[protocol.MachineTypeName]*protocol.MachineType{"big": big}, mirror, kv.New(c), c, replyLog{c}, c)
	return c
}

func (c *controller) CallStore(call kv.Call, done func(status int, body []byte)) {
	c.calls = append(c.calls, pendingCall{call, done})
}
func (c *controller) Now() time.Time                          { return c.now }
func (c *controller) StoreUnreachable() bool                  { return c.unreachable }
func (c *controller) AllowsUserRead(time.Time) bool           { return !c.noReads }
func (c *controller) TakeUserWrite(time.Time) bool            { return !c.noWrites }
func (c *controller) note(format string, a ...any)            { c.log = append(c.log, fmt.Sprintf(format, a...)) }
func (c *controller) UniqueName() string                      { c.names++; return fmt.Sprint("n-", c.names) }
func (c *controller) AnnounceCancellation(id protocol.JobID)  { c.note("announced %s", id) }
func (c *controller) CancellationConfirmed(id protocol.JobID) { c.note("confirmed %s", id) }
func (c *controller) ForwardSubmission(id uint64, _ *protocol.Job) bool {
	if c.peers {
		c.note("%d forwarded", id)
	}
	return c.peers
}

// replyLog notes the replies.
type replyLog struct{ *controller }

func (rl replyLog) Created(id uint64, a protocol.Accepted)  { rl.note("%d created %s", id, a.Phase) }
func (rl replyLog) Accepted(id uint64, a protocol.Accepted) { rl.note("%d accepted %s", id, a.Phase) }
func (rl replyLog) Status(id uint64, s protocol.Status) {
	rl.note("%d status %s %d", id, s.Phase, s.Done)
}
func (rl replyLog) UnknownJob(id uint64)                 { rl.note("%d unknown", id) }
func (rl replyLog) Unrunnable(id uint64, reason string)  { rl.note("%d unrunnable: %s", id, reason) }
func (rl replyLog) Unavailable(id uint64, reason string) { rl.note("%d unavailable: %s", id, reason) }

// answer answers the only call under way.
func (c *controller) answer(t *testing.T, path string, status int, body any) {
	t.Helper()
	if len(c.calls) != 1 || c.calls[0].Path != path {
		t.Fatalf("calls under way: %+v, want one of %s", c.calls, path)
	}
	call := c.calls[0]
	c.calls = nil
	call.done(status, storage.Encode(body))
}

// expect compares what was noted since it was last called.
func (c *controller) expect(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(c.log, want) {
		t.Errorf("%q, want %q", c.log, want)
	}
	c.log = nil
}

// store puts a job's record into the mirror.
func (c *controller) store(t *testing.T, spec *protocol.Job, revision protocol.Revision) protocol.Entry {
	t.Helper()
	event := protocol.WatchEvent{Set: storage.JobKey(spec.ID), Revision: revision,
		Value: storage.Encode(storage.Job{Writer: "other-1", Spec: spec, RecordTasks: 60})}
	if !c.mirror.Apply(&event) {
		t.Fatal("the mirror does not take the record")
	}
	return protocol.Entry{Key: event.Set, Revision: revision, Value: event.Value}
}

func testSpec() protocol.Job {
	return protocol.Job{ID: "run-000001", Team: "free", Priority: "normal", Shape: protocol.ShapeGang, Tasks: 2, CPUs: 2, GPUs: 1, MemoryGB: 8, Image: "x"}
}

// TestUnrunnableJobsAreRefused: what can never run is refused for its reason.
func TestUnrunnableJobsAreRefused(t *testing.T) {
	for name, test := range map[string]struct {
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
		spec := testSpec()
		test.change(&spec)
		if reason := newController(t).unrunnableReason(&spec); (reason == "") != test.want {
			t.Errorf("%s: %q", name, reason)
		}
	}
}

// TestSubmissionIsRepeatedWhileItsAnswerIsLost: the same transaction again finds out whether
// it was carried out; a job that is known by then is accepted, not created twice.
func TestSubmissionIsRepeatedWhileItsAnswerIsLost(t *testing.T) {
	c := newController(t)
	spec := testSpec()
	c.Submit(1, &spec)
	first := c.calls[0].Body.([]byte)
	c.answer(t, protocol.PathTransactions, 0, nil)
	if again := c.calls[0].Body.([]byte); string(again) != string(first) {
		t.Errorf("repeated as %s, was %s", again, first)
	}
	c.answer(t, protocol.PathTransactions, http.StatusConflict, protocol.TransactionResponse{Failed: []string{storage.JobKey(spec.ID)}})
	c.answer(t, protocol.KeyPath(storage.JobKey(spec.ID)), http.StatusOK,
		protocol.Entry{Key: storage.JobKey(spec.ID), Revision: 5, Value: storage.Encode(storage.Job{Spec: &spec, RecordTasks: 60})})
	c.expect(t, "1 accepted pending")
	c.Submit(2, &spec)
	c.answer(t, protocol.PathTransactions, http.StatusOK, protocol.TransactionResponse{Revision: 7})
	c.expect(t, "2 created pending")
	c.Submit(3, &spec)
	c.now = c.now.Add(tuning.UserRequestTimeout)
	c.answer(t, protocol.PathTransactions, 0, nil)
	c.expect(t, "3 unavailable: "+reasonStoreSilent)
}

// TestSpentBudgetSheds: beyond the budget submissions go to a peer, or are turned away and
// counted, as other requests are.
func TestSpentBudgetSheds(t *testing.T) {
	c := newController(t)
	c.noWrites, c.noReads, c.peers = true, true, true
	spec := testSpec()
	c.Submit(1, &spec)
	c.expect(t, "1 forwarded")
	c.peers = false
	c.Submit(2, &spec)
	c.Query(3, spec.ID)
	c.Cancel(4, spec.ID)
	c.expect(t, "2 unavailable: busy", "3 unavailable: busy", "4 unavailable: busy")
	if c.Shed() != 3 || len(c.calls) > 0 {
		t.Errorf("%d shed, %d calls", c.Shed(), len(c.calls))
	}
	c.noWrites, c.noReads, c.unreachable = false, false, true
	c.Submit(5, &spec)
	c.expect(t, "5 unavailable: "+reasonStoreUnreachable)
}

// TestStatusQueryIsAnsweredFromNewestRecord: the mirror's record answers a status query
// only after the store has said that there is no newer one.
func TestStatusQueryIsAnsweredFromNewestRecord(t *testing.T) {
	c := newController(t)
	spec := testSpec()
	c.store(t, &spec, 5)
	c.Query(1, spec.ID)
	c.Submit(2, &spec) // a repeated one
	c.CheckQueries()
	if len(c.calls) > 0 {
		t.Fatal("checked at once, with no time for others to join")
	}
	var due time.Time
	c.Due(func(at time.Time) { due = at })
	c.now = due
	c.CheckQueries()
	c.answer(t, protocol.PathTransactions, http.StatusOK, protocol.TransactionResponse{Revision: 9})
	c.expect(t, "1 status pending 0", "2 accepted pending")

	c.Query(3, spec.ID)
	c.now = c.now.Add(time.Second)
	c.CheckQueries()
	c.answer(t, protocol.PathTransactions, http.StatusConflict, protocol.TransactionResponse{Failed: []string{storage.JobKey(spec.ID)}})
	c.answer(t, protocol.KeyPath(storage.JobKey(spec.ID)), http.StatusNotFound, nil)
	c.answer(t, protocol.KeyPath(storage.FinalKey(spec.ID)), http.StatusOK,
		protocol.Entry{Value: storage.Encode(storage.Final{Phase: protocol.PhaseDone, Done: 2})})
	c.expect(t, "3 status done 2")
	c.Query(4, spec.ID) // remembered: it never changes
	c.expect(t, "4 status done 2")

	c.Query(5, "run-000002")
	c.answer(t, protocol.KeyPath(storage.JobKey("run-000002")), http.StatusNotFound, nil)
	c.answer(t, protocol.KeyPath(storage.FinalKey("run-000002")), http.StatusNotFound, nil)
	c.expect(t, "5 unknown")
}

// TestCancellationIsAnnouncedBeforeItIsConfirmed: the leader is told of a cancellation that
// is in the records, a conflict reads the record again, and what users were told is
// remembered until it has taken effect.
func TestCancellationIsAnnouncedBeforeItIsConfirmed(t *testing.T) {
	c := newController(t)
	spec := testSpec()
	entry := c.store(t, &spec, 5)
	c.Cancel(1, spec.ID)
	c.answer(t, protocol.PathTransactions, http.StatusConflict, protocol.TransactionResponse{Failed: []string{entry.Key}})
	c.answer(t, protocol.KeyPath(entry.Key), http.StatusOK, entry)
	c.expect(t)
	c.answer(t, protocol.PathTransactions, http.StatusOK, protocol.TransactionResponse{Revision: 9})
	c.expect(t, "announced run-000001", "confirmed run-000001", "1 accepted "+string(protocol.PhaseCancelled))
	if got := c.ConfirmedCancellations(); !slices.Equal(got, []protocol.JobID{spec.ID}) {
		t.Errorf("confirmed: %v", got)
	}
	c.now = c.now.Add(2 * config.Seconds(c.cfg.Cluster.Agents.CancelS))
	if got := c.ConfirmedCancellations(); len(got) > 0 {
		t.Errorf("still kept: %v", got)
	}
}
