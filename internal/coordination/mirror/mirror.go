// Package mirror keeps a controller's copy of the key-value store's records: it loads them,
// follows their changes by a watch, and knows up to when it holds every change.
//
// It passes changes on in their order and decides nothing on them.
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

// Environment is what the mirror needs of the controller.
type Environment interface {
	Now() time.Time
	// Leading says whether the controller has taken over as leader: jobs wait for its watch.
	Leading() bool
	// LeaseCondition is the condition of a transaction that the controller's term lasts.
	LeaseCondition() protocol.Condition
	// Loaded is called when all records were read.
	Loaded()
	// Changed is called for each change that the mirror took.
	Changed(event *protocol.WatchEvent)
	// Diverged is called before the mirror is dropped because it cannot be followed any
	// further. A leader cannot tell what it missed, so it leads no further on it.
	Diverged(reason string)
}

// Mirror is the copy and what keeps it up to date.
type Mirror struct {
	storage.Mirror
	limits config.ProcessLimits
	log    *slog.Logger
	store  kv.Client
	env    Environment

	syncedAt time.Time        // every change made before then is in the mirror
	awaited  observedRevision // a revision that the mirror has yet to reach

	loading       bool
	loadStartedAt time.Time // when the first page was asked for
	nextLoadAt    time.Time

	watching      bool
	nextWatchAt   time.Time // when the watch may be opened again
	watchOpenedAt time.Time // when it was opened
}

// observedRevision is a revision that the store had when a request sent at that
// time was carried out, or later.
type observedRevision struct {
	revision protocol.Revision
	sentAt   time.Time
}

// New makes an empty mirror.
func New(limits config.ProcessLimits, log *slog.Logger, store kv.Client, env Environment) *Mirror {
	return &Mirror{limits: limits, log: log, store: store, env: env}
}

// SyncedAt is when every change was in the mirror that was made before then.
func (m *Mirror) SyncedAt() time.Time { return m.syncedAt }

// MarkSynced notes that every change is in the mirror that was made before then.
func (m *Mirror) MarkSynced(at time.Time) {
	if at.After(m.syncedAt) {
		m.syncedAt = at
	}
}

// Tick keeps the mirror loaded and its watch open.
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

// Due tells when the records are to be loaded or the watch is to be opened.
func (m *Mirror) Due(by func(time.Time)) {
	switch {
	case !m.Ready():
		if !m.loading {
			by(m.nextLoadAt)
		}
	case !m.watching:
		by(m.nextWatchAt)
	case m.awaited.revision > m.Revision:
		by(m.awaited.sentAt.Add(tuning.WatchStallTimeout))
	}
}

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
	sent, after := m.env.Now(), m.Revision
	m.watching, m.watchOpenedAt = true, sent
	m.store.Watch(storage.LivePrefix, after, tuning.WatchLongPoll, func(result kv.WatchResult) {
		m.handleWatchResult(sent, after, result)
	})
}

// replaceStalledWatch opens another watch when the one that is open does not show what
// the store is known to have; its answer is taken all the same.
func (m *Mirror) replaceStalledWatch() {
	now := m.env.Now()
	if m.awaited.revision > m.Revision && m.watching &&
		now.Sub(m.awaited.sentAt) >= tuning.WatchStallTimeout && now.Sub(m.watchOpenedAt) >= tuning.WatchStallTimeout {
		m.log.Info("watch does not keep up", "revision", m.Revision, "ahead", m.awaited.revision)
		m.watching, m.nextWatchAt = false, now
	}
}

// handleWatchResult takes the answer to a watch for what came after a revision.
func (m *Mirror) handleWatchResult(sent time.Time, after protocol.Revision, result kv.WatchResult) {
	if sent.Equal(m.watchOpenedAt) {
		m.watching = false
	}
	changes := &result.Changes
	switch {
	case result.Outcome == kv.Compacted:
		// Too far behind, or by more than one answer may hold: read everything again.
		m.env.Diverged("watch too old")
		m.Mirror = storage.Mirror{}
	case result.Outcome != kv.Done || result.Malformed:
		m.nextWatchAt = m.env.Now().Add(tuning.StoreRetryDelay)
	case changes.Revision < after:
		// The store was restored to an older state.
		m.log.Error("store has gone back", "revision", changes.Revision, "known", after)
		m.env.Diverged("store has gone back")
		m.Mirror, m.awaited = storage.Mirror{}, observedRevision{}
	default:
		m.apply(changes, sent)
		m.nextWatchAt = m.env.Now().Add(m.watchPause())
		m.Tick()
	}
}

// apply takes the changes that a watch showed that was opened at that time.
func (m *Mirror) apply(changes *protocol.WatchResponse, sent time.Time) {
	for i := range changes.Events {
		if event := &changes.Events[i]; m.Apply(event) {
			m.env.Changed(event)
		}
	}
	m.Revision = max(m.Revision, changes.Revision)
	m.MarkSynced(sent)
	if m.awaited.revision <= m.Revision {
		m.MarkSynced(m.awaited.sentAt)
	}
}

// watchPause is the pause between two watches: the leader's is short, for jobs wait for it.
func (m *Mirror) watchPause() time.Duration {
	if m.env.Leading() {
		return tuning.MinWatchDelay
	}
	return m.limits.RequestDelay(tuning.MinWatchDelay, tuning.WatchCPUShare)
}

// FetchRevision asks how far the records have come. Renewing the leader lease proves only
// the leader lease: the watch may hang, and somebody may have confirmed cancellations.
func (m *Mirror) FetchRevision() {
	sent := m.env.Now()
	txn := protocol.Transaction{Conditions: []protocol.Condition{m.env.LeaseCondition()}}
	m.store.Transact(txn, func(result kv.TransactionResult) {
		answered := result.Outcome == kv.Done || result.Outcome == kv.ConditionFailed
		if answered && !result.Malformed && result.Revision != 0 {
			m.awaitRevision(observedRevision{result.Revision, sent})
		}
	})
}

// awaitRevision takes the revision that the answer to a request gave: once the mirror
// has come as far, it holds every change made before the request was sent.
func (m *Mirror) awaitRevision(observed observedRevision) {
	switch {
	case observed.revision <= m.Revision:
		m.MarkSynced(observed.sentAt)
	case m.awaited.revision <= m.Revision:
		m.awaited = observed // one at a time, or a steady stream of changes would never be caught up with
	}
}
