package simulation

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/gappond/gappond/internal/protocol"
)

// keyspace is the content of the key-value store: its keys, the revision of the last change, and
// every change since the start or the last restore.
type keyspace struct {
	revision protocol.Revision
	keys     map[string]protocol.Entry
	changes  []change
}

// change is one change of a key, as a watch reports it.
type change struct {
	key   string
	event protocol.WatchEvent
}

// apply applies the changes of a transaction under one revision.
func (k *keyspace) apply(changes []protocol.Change) {
	if len(changes) > 0 {
		k.revision++
	}
	for _, c := range changes {
		if c.Set == "" {
			k.remove(c.Delete)
			continue
		}
		k.keys[c.Set] = protocol.Entry{Key: c.Set, Value: c.Value, Revision: k.revision, Lease: c.Lease}
		k.changes = append(k.changes, change{c.Set, protocol.WatchEvent{Set: c.Set, Value: c.Value, Revision: k.revision}})
	}
}

// remove deletes a key under the current revision.
func (k *keyspace) remove(key string) {
	if _, ok := k.keys[key]; ok {
		delete(k.keys, key)
		k.changes = append(k.changes, change{key, protocol.WatchEvent{Delete: key, Revision: k.revision}})
	}
}

// removeLeased deletes the keys attached to a lease, each under a revision of its own.
func (k *keyspace) removeLeased(id protocol.LeaseID) {
	var leased []string
	for key, e := range k.keys {
		if e.Lease == id {
			leased = append(leased, key)
		}
	}
	slices.Sort(leased)
	for _, key := range leased {
		k.revision++
		k.remove(key)
	}
}

// failed returns the keys whose conditions do not hold.
func (k *keyspace) failed(conditions []protocol.Condition) (keys []string) {
	for _, c := range conditions {
		if k.keys[c.Key].Revision != c.Revision {
			keys = append(keys, c.Key)
		}
	}
	return keys
}

// page returns a page of the keys with a prefix that come after a given key.
func (k *keyspace) page(prefix, after string, limit int) protocol.Entries {
	var keys []string
	for key := range k.keys {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := protocol.Entries{Revision: k.revision, More: len(keys) > limit}
	for _, key := range keys[:min(limit, len(keys))] {
		page.Items = append(page.Items, k.keys[key])
	}
	return page
}

// eventsAfter returns the changes of keys with a prefix that are newer than a revision.
func (k *keyspace) eventsAfter(after protocol.Revision, prefix string) (events []protocol.WatchEvent) {
	from, _ := slices.BinarySearchFunc(k.changes, after+1, func(c change, after protocol.Revision) int { return cmp.Compare(c.event.Revision, after) })
	for _, c := range k.changes[from:] {
		if strings.HasPrefix(c.key, prefix) {
			events = append(events, c.event)
		}
	}
	return events
}

// backup is the content of the store at one time.
type backup struct {
	revision protocol.Revision
	keys     map[string]protocol.Entry
}

// backup returns a copy of the content.
func (k *keyspace) backup() backup { return backup{k.revision, maps.Clone(k.keys)} }

// restore restores the content from a backup, without the keys attached to leases, because none of
// those leases exists any more.
func (k *keyspace) restore(b backup) {
	k.revision, k.keys = b.revision, maps.Clone(b.keys)
	maps.DeleteFunc(k.keys, func(_ string, e protocol.Entry) bool { return e.Lease != 0 })
	k.changes = nil
}
