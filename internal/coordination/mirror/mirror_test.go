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

// controller is a mirror's surroundings: calls wait to be answered, what happens is noted.
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

// status answers the oldest call whose path begins so, after a while.
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
	t.Fatalf("no call of %s under way: %+v", path, c.calls)
}

// expect compares what was noted since it was last called.
func (c *controller) expect(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(c.events, want) {
		t.Errorf("%q, want %q", c.events, want)
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

// load has the mirror read records at revision 5.
func (c *controller) load(t *testing.T) {
	t.Helper()
	c.Tick()
	c.reply(t, rangePath, http.StatusOK, protocol.Entries{Revision: 5})
	c.expect(t, "loaded")
}

func event(key string, revision protocol.Revision) protocol.WatchEvent {
	return protocol.WatchEvent{Set: key, Revision: revision, Value: json.RawMessage(`{}`)}
}

// TestLoadAndWatchDeliverEachChangeInOrder: after a load the watch begins where it ended, and each change
// is passed on once, in its order; after it every change of before it was sent is known.
func TestLoadAndWatchDeliverEachChangeInOrder(t *testing.T) {
	c := newController(t)
	start := c.now
	c.Tick()
	c.reply(t, rangePath, 0, nil)
	c.expect(t)
	c.Tick()
	if len(c.calls) > 0 {
		t.Fatal("loaded again at once")
	}
	c.now = c.now.Add(tuning.StoreRetryDelay)
	asked := c.now
	c.load(t)
	if !c.SyncedAt().Equal(asked) || !start.Before(asked) {
		t.Errorf("synced at %v, asked at %v", c.SyncedAt(), asked)
	}
	c.Tick()
	opened := c.now
	c.reply(t, watchPath, http.StatusOK, protocol.WatchResponse{Revision: 9, Events: []protocol.WatchEvent{event("g/c/b", 8), event("g/c/a", 9)}})
	c.expect(t, "changed g/c/b", "changed g/c/a")
	if c.Revision != 9 || !c.SyncedAt().Equal(opened) {
		t.Errorf("revision %d, synced at %v", c.Revision, c.SyncedAt())
	}
}

// TestDivergedMirrorIsReloaded: a watch that begins too far back, or a store that has
// gone back, ends this mirror; the owner hears of it first.
func TestDivergedMirrorIsReloaded(t *testing.T) {
	for want, answer := range map[string]struct {
		status int
		body   any
	}{
		"diverged: watch too old":       {http.StatusGone, nil},
		"diverged: store has gone back": {http.StatusOK, protocol.WatchResponse{Revision: 4}},
	} {
		c := newController(t)
		c.load(t)
		c.Tick()
		c.reply(t, watchPath, answer.status, answer.body)
		c.expect(t, want)
		if c.Ready() {
			t.Errorf("%s: still ready", want)
		}
		c.load(t)
	}
}

// TestStalledWatchIsReplaced: a revision that the store is known to have and the open watch
// does not show has another watch opened beside it; only when the mirror has come as far does
// it count as synced.
func TestStalledWatchIsReplaced(t *testing.T) {
	c := newController(t)
	c.load(t)
	c.Tick()
	loaded := c.SyncedAt()
	asked := c.now
	c.FetchRevision()
	c.reply(t, protocol.PathTransactions, http.StatusConflict, protocol.TransactionResponse{Revision: 9, Failed: []string{storage.LeaderKey}})
	if !c.SyncedAt().Equal(loaded) {
		t.Error("synced though the mirror has not come as far")
	}
	var due time.Time
	c.Due(func(at time.Time) { due = at })
	if !due.Equal(asked.Add(tuning.WatchStallTimeout)) {
		t.Errorf("due at %v", due)
	}
	c.now = due.Add(-time.Millisecond)
	c.Tick()
	if len(c.calls) != 1 {
		t.Fatalf("%d watches too early", len(c.calls))
	}
	c.now = due
	c.Tick()
	if len(c.calls) != 2 {
		t.Fatalf("%d watches", len(c.calls))
	}
	c.reply(t, watchPath, http.StatusOK, protocol.WatchResponse{Revision: 9, Events: []protocol.WatchEvent{event("g/c/a", 9)}})
	if c.SyncedAt().Before(asked) {
		t.Errorf("synced at %v, asked at %v", c.SyncedAt(), asked)
	}
	c.expect(t, "changed g/c/a")
}
