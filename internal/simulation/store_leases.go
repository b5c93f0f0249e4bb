package simulation

import (
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// leaseTable holds the leases that the key-value store has granted.
type leaseTable struct {
	leases map[protocol.LeaseID]*lease
	nextID protocol.LeaseID
}

// lease is a lease of the key-value store. It expires unless it is renewed in time.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// grant grants a lease.
func (l *leaseTable) grant(now time.Time, ttl time.Duration) protocol.LeaseID {
	l.nextID++
	l.leases[l.nextID] = &lease{ttl, now.Add(ttl)}
	return l.nextID
}

// renew renews a lease. It returns false if there is no such lease.
func (l *leaseTable) renew(now time.Time, id protocol.LeaseID) bool {
	held := l.leases[id]
	if held == nil {
		return false
	}
	held.expires = now.Add(held.ttl)
	return true
}

// renewAll renews every lease.
func (l *leaseTable) renewAll(now time.Time) {
	for _, held := range l.leases {
		held.expires = now.Add(held.ttl)
	}
}

// expired returns the expired leases in order of their IDs.
func (l *leaseTable) expired(now time.Time) (ids []protocol.LeaseID) {
	for id, held := range l.leases {
		if now.After(held.expires) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
