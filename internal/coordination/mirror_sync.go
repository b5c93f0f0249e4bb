package coordination

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/coordination/membership"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// tickMirror keeps the mirror loaded and its watch open.
func (n *Node) tickMirror() {
	if !n.mirror.Ready() {
		if !n.loading && !n.now.Before(n.loadAt) {
			n.loading = true
			n.mirror.BeginLoad()
			n.loadSent = n.now
			n.loadPage("")
		}
		return
	}
	n.reopenStuckWatch()
	if n.watching || n.now.Before(n.watchAt) {
		return
	}
	n.watching = true
	n.watchSent = n.now
	sent, after := n.now, n.mirror.Revision
	n.store.Watch(storage.LivePrefix, after, tuning.WatchLongPoll, func(result kv.WatchResult) {
		n.watched(sent, after, result)
	})
}

// observedRevision is a revision that the state service had when a request sent at that
// time was carried out, or later.
type observedRevision struct {
	revision protocol.Revision
	sentAt   time.Time
}

// awaitRevision takes the revision that the answer to a request gave: once the mirror
// has come as far, it holds every change made before the request was sent.
func (n *Node) awaitRevision(s observedRevision) {
	switch {
	case s.revision <= n.mirror.Revision:
		n.markSynced(s.sentAt)
	case n.awaited.revision <= n.mirror.Revision:
		n.awaited = s // one at a time, or a steady stream of changes would never be caught up with
	}
}

func (n *Node) markSynced(at time.Time) {
	if at.After(n.syncedAt) {
		n.syncedAt = at
	}
}

// fetchRevision asks how far the records have come. Renewing the leader lease proves only
// the leader lease: the watch may hang, and somebody may have confirmed cancellations.
func (n *Node) fetchRevision() {
	sent := n.now
	txn := protocol.Transaction{Conditions: []protocol.Condition{n.election.Condition()}}
	n.store.Transact(txn, func(result kv.TransactionResult) {
		answered := result.Outcome == kv.Done || result.Outcome == kv.ConditionFailed
		if answered && !result.Malformed && result.Revision != 0 {
			n.awaitRevision(observedRevision{result.Revision, sent})
		}
	})
}

// reopenStuckWatch opens another watch when the one that is open does not show what
// the state service is known to have; its answer is taken all the same.
func (n *Node) reopenStuckWatch() {
	if n.awaited.revision > n.mirror.Revision && n.watching &&
		n.now.Sub(n.awaited.sentAt) >= tuning.WatchStallTimeout && n.now.Sub(n.watchSent) >= tuning.WatchStallTimeout {
		n.log.Info("watch does not keep up", "revision", n.mirror.Revision, "ahead", n.awaited.revision)
		n.watching, n.watchAt = false, n.now
	}
}

func (n *Node) loadPage(after string) {
	n.store.Range(storage.LivePrefix, after, tuning.RangePageSize, func(result kv.RangeResult) {
		if result.Outcome != kv.Done || result.Malformed {
			n.loading, n.loadAt = false, n.now.Add(tuning.StoreRetryDelay)
			return
		}
		if next := n.mirror.LoadPage(&result.Page); next != "" {
			n.loadPage(next)
			return
		}
		n.loading = false
		n.markSynced(n.loadSent)
		n.log.Info("mirror loaded", "keys", n.mirror.Len(), "revision", n.mirror.Revision)
		n.mirrorLoaded()
	})
}

// watched takes the answer to a watch for what came after a revision.
func (n *Node) watched(sent time.Time, after protocol.Revision, result kv.WatchResult) {
	if sent.Equal(n.watchSent) {
		n.watching = false
	}
	w := &result.Changes
	switch {
	case result.Outcome == kv.Compacted:
		// Too far behind, or by more than one answer may hold: read everything again. A
		// leader cannot tell what it missed, so it leads no further on this mirror.
		n.election.StepDown("watch too old")
		n.mirror = storage.Mirror{}
		return
	case result.Outcome != kv.Done || result.Malformed:
		n.watchAt = n.now.Add(tuning.StoreRetryDelay)
		return
	}
	if w.Revision < after {
		// The state service was restored to an older state.
		n.log.Error("state service has gone back", "revision", w.Revision, "known", after)
		n.election.StepDown("state service has gone back")
		n.mirror, n.awaited = storage.Mirror{}, observedRevision{}
		return
	}
	for i := range w.Events {
		ev := &w.Events[i]
		if n.mirror.Apply(ev) {
			if ev.Set != "" && !n.isOwnWrite(ev.Value) {
				n.budgets.countWrite(n.now)
			}
			n.changed(ev)
		}
	}
	n.mirror.Revision = max(n.mirror.Revision, w.Revision)
	n.markSynced(sent)
	if n.awaited.revision <= n.mirror.Revision {
		n.markSynced(n.awaited.sentAt)
	}
	pause := tuning.MinWatchDelay // the leader's: jobs wait for it
	if n.lead == nil {
		pause = n.cfg.Cluster.Resources.RequestPause(pause, tuning.WatchCPUShare)
	}
	n.watchAt = n.now.Add(pause)
	n.tickMirror()
}

// isOwnWrite says whether a record was written by this life of this node.
func (n *Node) isOwnWrite(value json.RawMessage) bool {
	return strings.HasPrefix(storage.Writer(value), n.boot+"-")
}

// mirrorLoaded looks at the leader lease after a full load.
func (n *Node) mirrorLoaded() {
	if e, ok := n.mirror.Get(storage.TypesKey); ok && len(n.types) == 0 {
		if list, ok := parse[protocol.MachineTypes](e.Value); ok {
			n.takeTypes(&list)
		}
	}
	e, ok := n.mirror.Get(storage.LeaderKey)
	if !ok {
		n.election.ObserveRelease()
		return
	}
	n.election.ObserveLease(e.Value, e.Revision)
}

// changed passes on one change that the mirror took.
func (n *Node) changed(ev *protocol.WatchEvent) {
	key := ev.Set + ev.Delete
	if key == storage.LeaderKey {
		if ev.Set == "" {
			n.election.ObserveRelease()
		} else {
			n.election.ObserveLease(ev.Value, ev.Revision)
		}
		return
	}
	if membership.IsRelayKey(key) {
		n.peers.ReceiveRelayed(ev)
		return
	}
	if n.lead != nil {
		n.lead.loader.ObserveChange(ev)
	}
}
