package storage

import (
	"strings"

	"github.com/gappond/gappond/internal/protocol"
)

// Mirror is a node's copy of the live records: complete up to Revision.
type Mirror struct {
	Revision      protocol.Revision
	entries       map[string]protocol.Entry
	loadedEntries map[string]protocol.Entry
	loadRevision  protocol.Revision
	ready         bool
	statuses      map[string]cachedStatus
}

// cachedStatus is what a job's record says to its user, as of a revision: users ask
// far more often than records change.
type cachedStatus struct {
	revision protocol.Revision
	status   protocol.Status
}

// Ready says whether the mirror has been loaded.
func (m *Mirror) Ready() bool { return m.ready }

// BeginLoad starts reading everything anew.
func (m *Mirror) BeginLoad() {
	m.loadedEntries = map[string]protocol.Entry{}
	m.loadRevision = 0
}

// LoadPage takes a page and returns the key to go on after, or "" at the end.
// The watch starts from the first page's revision: a change between two pages
// is seen again, which does no harm.
func (m *Mirror) LoadPage(page *protocol.Entries) (after string) {
	if m.loadRevision == 0 {
		m.loadRevision = page.Revision
	}
	for _, e := range page.Items {
		m.loadedEntries[e.Key] = e
		after = e.Key
	}
	if page.More && after != "" {
		return after
	}
	m.entries, m.loadedEntries = m.loadedEntries, nil
	m.statuses = map[string]cachedStatus{}
	m.Revision, m.ready = m.loadRevision, true
	return ""
}

// Apply takes a change that the watch saw; false: it is older than what is
// known.
func (m *Mirror) Apply(ev *protocol.WatchEvent) bool {
	if ev.Set != "" {
		if old, ok := m.entries[ev.Set]; ok && old.Revision >= ev.Revision {
			return false
		}
		m.entries[ev.Set] = protocol.Entry{Key: ev.Set, Value: ev.Value, Revision: ev.Revision}
		return true
	}
	old, ok := m.entries[ev.Delete]
	if !ok || old.Revision >= ev.Revision {
		return false
	}
	delete(m.entries, ev.Delete)
	delete(m.statuses, ev.Delete)
	return true
}

// Get reads one key.
func (m *Mirror) Get(key string) (protocol.Entry, bool) {
	e, ok := m.entries[key]
	return e, ok
}

// Status is what a job's user is told by the record under a key, and the
// record's revision; false if there is no sound one.
func (m *Mirror) Status(key string) (protocol.Status, protocol.Revision, bool) {
	e, ok := m.entries[key]
	if !ok {
		return protocol.Status{}, 0, false
	}
	s, known := m.statuses[key]
	if !known || s.revision != e.Revision {
		rec, err := DecodeJob(e.Value)
		if err != nil {
			return protocol.Status{}, 0, false
		}
		s = cachedStatus{e.Revision, rec.Status()}
		m.statuses[key] = s
	}
	return s.status, s.revision, true
}

// Each visits the keys below a prefix, in no order.
func (m *Mirror) Each(prefix string, visit func(protocol.Entry)) {
	for k, e := range m.entries {
		if strings.HasPrefix(k, prefix) {
			visit(e)
		}
	}
}

// Len is the number of keys.
func (m *Mirror) Len() int { return len(m.entries) }
