package storage

import (
	"strings"

	"github.com/gappond/gappond/internal/protocol"
)

// Mirror is a node's copy of the live records, whose keys begin with LivePrefix. It includes every
// change up to Revision. Package mirror loads it and keeps it up to date.
type Mirror struct {
	Revision      protocol.Revision
	entries       map[string]protocol.Entry
	loadedEntries map[string]protocol.Entry // of the pages read so far by a load
	loadRevision  protocol.Revision         // of the load's first page
	ready         bool
	statuses      map[string]JobStatus
}

// JobStatus is what a user is told about a job, as of a revision of the job's main record. It is
// cached because users ask far more often than records change.
type JobStatus struct {
	Status   protocol.Status
	Revision protocol.Revision
	// ReachedBy is a revision of the store by which the job was accepted or, if the status says that it
	// is cancelled, by which it was cancelled.
	ReachedBy protocol.Revision
}

// Ready reports whether the mirror has been loaded.
func (m *Mirror) Ready() bool { return m.ready }

// BeginLoad starts loading all records again.
func (m *Mirror) BeginLoad() {
	m.loadedEntries = map[string]protocol.Entry{}
	m.loadRevision = 0
}

// LoadPage adds a page of records. It returns the key after which the next page starts, or "" if
// this page is the last one. The watch starts from the revision of the first page: a change that is
// made between two pages may be delivered again, which does no harm.
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
	m.statuses = map[string]JobStatus{}
	m.Revision, m.ready = m.loadRevision, true
	return ""
}

// Apply applies a change that the watch delivered. It returns false and does nothing if the change
// is no newer than the mirror's entry, or deletes a key that the mirror does not have.
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

// Get returns the entry of a key, and false if there is none.
func (m *Mirror) Get(key string) (protocol.Entry, bool) {
	e, ok := m.entries[key]
	return e, ok
}

// Status returns what a user is told about the job whose main record has the given key. It returns
// false if there is no valid record.
func (m *Mirror) Status(key string) (JobStatus, bool) {
	e, ok := m.entries[key]
	if !ok {
		return JobStatus{}, false
	}
	s, known := m.statuses[key]
	if !known || s.Revision != e.Revision {
		rec, err := DecodeJob(e.Value)
		if err != nil {
			return JobStatus{}, false
		}
		s = JobStatus{Status: rec.Status(), Revision: e.Revision, ReachedBy: rec.ReachedBy(e.Revision)}
		m.statuses[key] = s
	}
	return s, true
}

// KnownRevision returns the revision up to which the mirror includes every change, 0 if it is not
// loaded.
func (m *Mirror) KnownRevision() protocol.Revision {
	if !m.ready {
		return 0
	}
	return m.Revision
}

// Each calls visit for every entry whose key has the prefix, in no particular order.
func (m *Mirror) Each(prefix string, visit func(protocol.Entry)) {
	for k, e := range m.entries {
		if strings.HasPrefix(k, prefix) {
			visit(e)
		}
	}
}

// Len returns the number of keys.
func (m *Mirror) Len() int { return len(m.entries) }
