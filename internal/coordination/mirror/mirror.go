// Package mirror maintains a controller's copy of the records in the key-value store. It loads
// the records, applies the changes that a watch delivers, and tracks the time up to which the
// copy is known to include every change.
//
// It passes the changes on in their order and makes no decisions on them.
package mirror

import (
	"log/slog"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// Environment is what the Mirror needs from the controller.
type Environment interface {
	Now() time.Time
	// Leading reports whether the controller has taken over as leader. Jobs wait for the changes
	// that a leader's watch delivers.
	Leading() bool
	// LeaseCondition returns the transaction condition that the controller's term still lasts.
	LeaseCondition() protocol.Condition
	// Loaded is called when all records have been loaded.
	Loaded()
	// Changed is called for each change that was applied to the mirror.
	Changed(event *protocol.WatchEvent)
	// Diverged is called before the mirror is discarded because a watch can no longer bring it
	// up to date. A leader cannot know which changes it missed, so it must stop leading.
	Diverged(reason string)
}

// Mirror is the copy of the records, with the state of loading and watching them.
type Mirror struct {
	storage.Mirror
	limits config.ProcessLimits
	log    *slog.Logger
	store  kv.Client
	env    Environment

	syncedAt time.Time        // the mirror includes every change made before this time
	awaited  observedRevision // the revision that the mirror has yet to reach, if above Revision

	loading       bool
	loadStartedAt time.Time // when the first page was requested
	nextLoadAt    time.Time

	watching      bool
	nextWatchAt   time.Time // when the next watch may be opened
	watchOpenedAt time.Time // when the latest watch was opened
}

// observedRevision is a revision of the store that the response to a request reported. The store
// had it when it executed the request, or later.
type observedRevision struct {
	revision protocol.Revision
	sentAt   time.Time // when the request was sent
}

// New returns a mirror that is not loaded yet.
func New(limits config.ProcessLimits, log *slog.Logger, store kv.Client, env Environment) *Mirror {
	return &Mirror{limits: limits, log: log, store: store, env: env}
}

// SyncedAt returns a time such that the mirror includes every change made before it.
func (m *Mirror) SyncedAt() time.Time { return m.syncedAt }

// MarkSynced records that the mirror includes every change made before the given time.
func (m *Mirror) MarkSynced(at time.Time) {
	if at.After(m.syncedAt) {
		m.syncedAt = at
	}
}

// Tick loads the mirror if it is not loaded, and otherwise keeps a watch open.
func (m *Mirror) Tick() {
	now := m.env.Now()
	if !m.Ready() {
		if !m.loading && !now.Before(m.nextLoadAt) {
			m.loading, m.loadStartedAt = true, now
			m.BeginLoad()
			m.requestPage("")
		}
		return
	}
	m.replaceStalledWatch()
	if !m.watching && !now.Before(m.nextWatchAt) {
		m.openWatch()
	}
}

// Due passes to wakeBy the time at which the records are to be loaded, or the next watch is to
// be opened.
func (m *Mirror) Due(wakeBy func(time.Time)) {
	switch {
	case !m.Ready():
		if !m.loading {
			wakeBy(m.nextLoadAt)
		}
	case !m.watching:
		wakeBy(m.nextWatchAt)
	case m.awaited.revision > m.Revision:
		wakeBy(m.awaited.sentAt.Add(tuning.WatchStallTimeout))
	}
}

// requestPage loads the page of records after a key, and then all pages that follow.
func (m *Mirror) requestPage(after string) {
	m.store.Range(storage.LivePrefix, after, tuning.RangePageSize, func(result kv.RangeResult) {
		if result.Outcome != kv.Done || result.Malformed {
			m.loading, m.nextLoadAt = false, m.env.Now().Add(tuning.StoreRetryDelay)
			return
		}
		if next := m.LoadPage(&result.Page); next != "" {
			m.requestPage(next)
			return
		}
		m.loading = false
		m.MarkSynced(m.loadStartedAt)
		m.log.Info("mirror loaded", "keys", m.Len(), "revision", m.Revision)
		m.env.Loaded()
	})
}

func (m *Mirror) openWatch() {
	openedAt, after := m.env.Now(), m.Revision
	m.watching, m.watchOpenedAt = true, openedAt
	m.store.Watch(storage.LivePrefix, after, tuning.WatchLongPoll, func(result kv.WatchResult) {
		m.handleWatchResult(openedAt, after, result)
	})
}

// replaceStalledWatch has another watch opened if the open one has not delivered a revision that
// the store is known to have. A late response to the old watch is still processed.
func (m *Mirror) replaceStalledWatch() {
	now := m.env.Now()
	if m.awaited.revision > m.Revision && m.watching &&
		now.Sub(m.awaited.sentAt) >= tuning.WatchStallTimeout && now.Sub(m.watchOpenedAt) >= tuning.WatchStallTimeout {
		m.log.Info("watch does not keep up", "revision", m.Revision, "ahead", m.awaited.revision)
		m.watching, m.nextWatchAt = false, now
	}
}

// handleWatchResult processes the result of a watch for changes after a revision.
func (m *Mirror) handleWatchResult(openedAt time.Time, after protocol.Revision, result kv.WatchResult) {
	if openedAt.Equal(m.watchOpenedAt) {
		m.watching = false
	}
	changes := &result.Changes
	switch {
	case result.Outcome == kv.Compacted:
		// The mirror is too far behind, or misses more changes than one response may hold. All
		// records are loaded again.
		m.env.Diverged("watch is too far behind the store")
		m.Mirror = storage.Mirror{}
	case result.Outcome != kv.Done || result.Malformed:
		m.nextWatchAt = m.env.Now().Add(tuning.StoreRetryDelay)
	case changes.Revision < after:
		// The store was restored to an older state.
		m.log.Error("store revision went backwards", "revision", changes.Revision, "known", after)
		m.env.Diverged("store revision went backwards")
		m.Mirror, m.awaited = storage.Mirror{}, observedRevision{}
	default:
		m.apply(changes, openedAt)
		m.nextWatchAt = m.env.Now().Add(m.watchPause())
		m.Tick()
	}
}

// apply applies the changes that a watch delivered.
func (m *Mirror) apply(changes *protocol.WatchResponse, openedAt time.Time) {
	for i := range changes.Events {
		if event := &changes.Events[i]; m.Apply(event) {
			m.env.Changed(event)
		}
	}
	m.Revision = max(m.Revision, changes.Revision)
	m.MarkSynced(openedAt)
	if m.awaited.revision <= m.Revision {
		m.MarkSynced(m.awaited.sentAt)
	}
}

// watchPause returns the pause before the next watch. The leader's pause is short because jobs
// wait for the changes.
func (m *Mirror) watchPause() time.Duration {
	if m.env.Leading() {
		return tuning.MinWatchDelay
	}
	return m.limits.RequestDelay(tuning.MinWatchDelay, tuning.WatchCPUShare)
}

// FetchRevision asks the store for the current revision of its records. A renewal of the leader
// lease proves only that the lease is held. The watch may be stalled, and another node may have
// confirmed cancellations that the watch has not delivered.
func (m *Mirror) FetchRevision() {
	sentAt := m.env.Now()
	txn := protocol.Transaction{Conditions: []protocol.Condition{m.env.LeaseCondition()}}
	m.store.Transact(txn, func(result kv.TransactionResult) {
		evaluated := result.Outcome == kv.Done || result.Outcome == kv.ConditionFailed
		if evaluated && !result.Malformed && result.Revision != 0 {
			m.awaitRevision(observedRevision{result.Revision, sentAt})
		}
	})
}

// awaitRevision processes a revision that the response to a request reported. Once the mirror has
// reached it, the mirror includes every change made before the request was sent.
func (m *Mirror) awaitRevision(observed observedRevision) {
	switch {
	case observed.revision <= m.Revision:
		m.MarkSynced(observed.sentAt)
	case m.awaited.revision <= m.Revision:
		// A revision that is still awaited is not replaced by a newer one: under a steady stream
		// of changes, the mirror would never reach the awaited revision.
		m.awaited = observed
	}
}
