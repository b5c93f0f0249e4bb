package api

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/answers"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// controller is the environment of a service under test. The service's calls to the store wait
// for the test to respond; its replies, announcements and confirmations are recorded in order.
type controller struct {
	*Service
	now         time.Time
	unreachable bool
	noReads     bool
	noWrites    bool
	peersAccept bool                // peers accept forwarded submissions
	peers       []protocol.NodeName // that confirm notices
	names       int
	calls       []pendingCall
	log         []string
}

type pendingCall struct {
	kv.Call
	done func(status int, body []byte)
}

// newController returns a service that has loaded the records and knows one machine type.
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
func (c *controller) Now() time.Time                { return c.now }
func (c *controller) StoreUnreachable() bool        { return c.unreachable }
func (c *controller) AllowsUserRead(time.Time) bool { return !c.noReads }
func (c *controller) TakeUserWrite(time.Time) bool  { return !c.noWrites }
func (c *controller) record(format string, a ...any) {
	c.log = append(c.log, fmt.Sprintf(format, a...))
}
func (c *controller) UniqueName() string                      { c.names++; return fmt.Sprint("n-", c.names) }
func (c *controller) AnnounceCancellation(id protocol.JobID)  { c.record("announced %s", id) }
func (c *controller) CancellationConfirmed(id protocol.JobID) { c.record("confirmed %s", id) }
func (c *controller) NotifyPeers(state answers.State) (id uint64, awaited []protocol.NodeName) {
	c.names++
	if len(c.peers) > 0 {
		c.record("notice %d %s %s", c.names, state.Status.ID, state.Status.Phase)
	}
	return uint64(c.names), slices.Clone(c.peers)
}
func (c *controller) ForwardSubmission(id uint64, _ *protocol.Job) bool {
	if c.peersAccept {
		c.record("%d forwarded", id)
	}
	return c.peersAccept
}

// replyLog records the replies.
type replyLog struct{ *controller }

func (rl replyLog) Created(to Delivery, a protocol.Accepted) {
	rl.record("%d created %s", to.RequestID, a.Phase)
}
func (rl replyLog) Accepted(to Delivery, a protocol.Accepted) {
	rl.record("%d accepted %s", to.RequestID, a.Phase)
}
func (rl replyLog) Status(to Delivery, s protocol.Status) {
	rl.record("%d status %s %d", to.RequestID, s.Phase, s.Done)
}
func (rl replyLog) UnknownJob(to Delivery) { rl.record("%d unknown", to.RequestID) }
func (rl replyLog) Unrunnable(to Delivery, reason string) {
	rl.record("%d unrunnable: %s", to.RequestID, reason)
}
func (rl replyLog) Forwarded(to Delivery, r protocol.PeerResponse) {
	rl.record("%d forwarded %d", to.RequestID, r.Status)
}
func (rl replyLog) Unavailable(id uint64, reason string) { rl.record("%d unavailable: %s", id, reason) }

// respond completes the only pending call.
func (c *controller) respond(t *testing.T, path string, status int, body any) {
	t.Helper()
	if len(c.calls) != 1 || c.calls[0].Path != path {
		t.Fatalf("pending calls: %+v, want one to %s", c.calls, path)
	}
	call := c.calls[0]
	c.calls = nil
	call.done(status, storage.Encode(body))
}

// expect compares what was recorded since its last call.
func (c *controller) expect(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(c.log, want) {
		t.Errorf("%q, want %q", c.log, want)
	}
	c.log = nil
}

// storeJob adds a job's main record to the mirror.
func (c *controller) storeJob(t *testing.T, spec *protocol.Job, revision protocol.Revision) protocol.Entry {
	t.Helper()
	event := protocol.WatchEvent{Set: storage.JobKey(spec.ID), Revision: revision,
		Value: storage.Encode(storage.Job{Writer: "other-1", Spec: spec, TasksPerBaseRecord: 60})}
	if !c.queries.mirror.Apply(&event) {
		t.Fatal("the mirror does not apply the record")
	}
	return protocol.Entry{Key: event.Set, Revision: revision, Value: event.Value}
}

func testSpec() protocol.Job {
	return protocol.Job{ID: "run-000001", Team: "free", Priority: "normal", Shape: protocol.ShapeGang, Tasks: 2, CPUs: 2, GPUs: 1, MemoryGB: 8, Image: "x"}
}

// TestRequestsBeyondBudgetAreShed: when the budget is used up, submissions are forwarded to a
// peer. If no peer accepts them, they are refused and counted, like all other requests.
func TestRequestsBeyondBudgetAreShed(t *testing.T) {
	c := newController(t)
	c.noWrites, c.noReads, c.peersAccept = true, true, true
	spec := testSpec()
	c.Submit(1, &spec)
	c.expect(t, "1 forwarded")
	c.peersAccept = false
	c.Submit(2, &spec)
	c.Query(3, spec.ID)
	c.Cancel(4, spec.ID)
	c.expect(t, "2 unavailable: busy", "3 unavailable: busy", "4 unavailable: busy")
	if c.Shed() != 3 || len(c.calls) > 0 {
		t.Errorf("%d requests shed, %d calls to the store; want 3 and 0", c.Shed(), len(c.calls))
	}
	c.noWrites, c.noReads, c.unreachable = false, false, true
	c.Submit(5, &spec)
	c.expect(t, "5 unavailable: "+reasonStoreUnreachable)
}
