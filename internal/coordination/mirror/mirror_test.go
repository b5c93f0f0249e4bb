package mirror

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// controller is a fake of the controller around a mirror. Calls to the store stay pending until
// the test responds to them. Calls of the Environment are recorded as events.
type controller struct {
	*Mirror
	now     time.Time
	leading bool
	events  []string
	calls   []pendingCall
}

type pendingCall struct {
	kv.Call
	done func(status int, body []byte)
}

func newController(t *testing.T) *controller {
	t.Helper()
	c := &controller{now: time.Unix(1_800_000_000, 0), leading: true}
	c.Mirror = New(config.ProcessLimits{}, slog.New(slog.DiscardHandler), kv.New(c), c)
	return c
}

// CallStore implements kv.Transport.
func (c *controller) CallStore(call kv.Call, done func(status int, body []byte)) {
	c.calls = append(c.calls, pendingCall{call, done})
}
func (c *controller) Now() time.Time { return c.now }
func (c *controller) Leading() bool  { return c.leading }
func (c *controller) LeaseCondition() protocol.Condition {
	return protocol.Condition{Key: storage.LeaderKey, Revision: 7}
}
func (c *controller) Loaded()                { c.record("loaded") }
func (c *controller) Diverged(reason string) { c.record("diverged: %s", reason) }
func (c *controller) Changed(event *protocol.WatchEvent) {
	c.record("changed %s%s", event.Set, event.Delete)
}
func (c *controller) record(format string, a ...any) {
	c.events = append(c.events, fmt.Sprintf(format, a...))
}

// reply responds, one millisecond later, to the oldest pending call whose path has a prefix.
func (c *controller) reply(t *testing.T, path string, status int, body any) {
	t.Helper()
	c.now = c.now.Add(time.Millisecond)
	for i, call := range c.calls {
		if strings.HasPrefix(call.Path, path) {
			c.calls = slices.Delete(c.calls, i, i+1)
			call.done(status, storage.Encode(body))
			return
		}
	}
	t.Fatalf("no call with path %s is pending: %+v", path, c.calls)
}

// expect checks which events were recorded since it was last called.
func (c *controller) expect(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(c.events, want) {
		t.Errorf("events %q, want %q", c.events, want)
	}
	c.events = nil
}

var (
	rangePath = pathOf(protocol.RangePath("", "", 1))
	watchPath = pathOf(protocol.WatchPath("", 1, 1))
)

func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// load loads the mirror at revision 5, without any records.
func (c *controller) load(t *testing.T) {
	t.Helper()
	c.Tick()
	c.reply(t, rangePath, http.StatusOK, protocol.Entries{Revision: 5})
	c.expect(t, "loaded")
}

func event(key string, revision protocol.Revision) protocol.WatchEvent {
	return protocol.WatchEvent{Set: key, Revision: revision, Value: json.RawMessage(`{}`)}
}

// TestLoadAndWatchDeliverEachChangeInOrder: after a load, the watch continues from the load's
// revision, and each change is passed on once, in order. The mirror is then known to include every
// change made before the watch was opened. A failed load is repeated only after a pause.
func TestLoadAndWatchDeliverEachChangeInOrder(t *testing.T) {
	c := newController(t)
	start := c.now
	c.Tick()
	c.reply(t, rangePath, 0, nil)
	c.expect(t)
	c.Tick()
	if len(c.calls) > 0 {
		t.Fatal("loaded again without a pause")
	}
	c.now = c.now.Add(tuning.StoreRetryDelay)
	loadStartedAt := c.now
	c.load(t)
	if !c.SyncedAt().Equal(loadStartedAt) || !start.Before(loadStartedAt) {
		t.Errorf("synced at %v, load started at %v", c.SyncedAt(), loadStartedAt)
	}
	c.Tick()
	watchOpenedAt := c.now
	c.reply(t, watchPath, http.StatusOK, protocol.WatchResponse{Revision: 9, Events: []protocol.WatchEvent{event("g/c/b", 8), event("g/c/a", 9)}})
	c.expect(t, "changed g/c/b", "changed g/c/a")
	if c.Revision != 9 || !c.SyncedAt().Equal(watchOpenedAt) {
		t.Errorf("revision %d, synced at %v", c.Revision, c.SyncedAt())
	}
}

// TestDivergedMirrorIsReloaded: if a watch starts too far back, or the store has returned to an
// older revision, the mirror is discarded and loaded again. The controller is notified first.
func TestDivergedMirrorIsReloaded(t *testing.T) {
	for want, reply := range map[string]struct {
		status int
		body   any
	}{
		"diverged: watch is too far behind the store": {http.StatusGone, nil},
		"diverged: store revision went backwards":     {http.StatusOK, protocol.WatchResponse{Revision: 4}},
	} {
		c := newController(t)
		c.load(t)
		c.Tick()
		c.reply(t, watchPath, reply.status, reply.body)
		c.expect(t, want)
		if c.Ready() {
			t.Errorf("%s: the mirror is still ready", want)
		}
		c.load(t)
	}
}

// TestStalledWatchIsReplaced: if the open watch does not deliver a revision that the store is
// known to have, another watch is opened in addition to it. SyncedAt advances only when the
// mirror has reached that revision.
func TestStalledWatchIsReplaced(t *testing.T) {
	c := newController(t)
	c.load(t)
	c.Tick()
	syncedByLoad := c.SyncedAt()
	requestedAt := c.now
	c.FetchRevision()
	c.reply(t, protocol.PathTransactions, http.StatusConflict, protocol.TransactionResponse{Revision: 9, Failed: []string{storage.LeaderKey}})
	if !c.SyncedAt().Equal(syncedByLoad) {
		t.Error("synced before the mirror has reached the revision")
	}
	var due time.Time
	c.Due(func(at time.Time) { due = at })
	if !due.Equal(requestedAt.Add(tuning.WatchStallTimeout)) {
		t.Errorf("due at %v instead of at the stall timeout", due)
	}
	c.now = due.Add(-time.Millisecond)
	c.Tick()
	if len(c.calls) != 1 {
		t.Fatalf("%d pending watches before the stall timeout", len(c.calls))
	}
	c.now = due
	c.Tick()
	if len(c.calls) != 2 {
		t.Fatalf("%d pending watches after the stall timeout", len(c.calls))
	}
	c.reply(t, watchPath, http.StatusOK, protocol.WatchResponse{Revision: 9, Events: []protocol.WatchEvent{event("g/c/a", 9)}})
	if c.SyncedAt().Before(requestedAt) {
		t.Errorf("synced at %v, revision requested at %v", c.SyncedAt(), requestedAt)
	}
	c.expect(t, "changed g/c/a")
}
