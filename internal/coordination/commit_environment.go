package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"golang.org/x/time/rate"
)

// leaderStore is the key-value store as a leader uses it: what is answered after it has
// stepped down is dropped.
type leaderStore struct{ l *leader }

// Transact carries out a transaction on conditions.
func (s leaderStore) Transact(txn protocol.Transaction, done func(kv.TransactionResult)) {
	s.l.n.store.Transact(txn, func(result kv.TransactionResult) {
		if s.l.n.ownLeader == s.l {
			done(result)
		}
	})
}

// TransactEncoded implements commit.Store.
func (s leaderStore) TransactEncoded(txn []byte, done func(kv.TransactionResult)) {
	s.l.n.store.TransactEncoded(txn, func(result kv.TransactionResult) {
		if s.l.n.ownLeader == s.l {
			done(result)
		}
	})
}

// Get implements commit.Store.
func (s leaderStore) Get(key string, done func(kv.GetResult)) {
	s.l.n.store.Get(key, func(result kv.GetResult) {
		if s.l.n.ownLeader == s.l {
			done(result)
		}
	})
}

// WriteBudget implements commit.Store.
func (s leaderStore) WriteBudget() *rate.Limiter { return s.l.n.budgets.writes }

// NoteThrottled implements commit.Store.
func (s leaderStore) NoteThrottled(changes int) time.Duration {
	return s.l.n.budgets.noteThrottled(s.l.n.now, changes)
}

// commitEnvironment implements commit.Environment.
type commitEnvironment struct{ leaderEnvironment }

// PeersSupport implements commit.Environment. Once the store's limits are known to be lowered,
// which happens after the upgrade, a peer that is down does not count: a job must not wait
// for its return.
func (ce commitEnvironment) PeersSupport(level uint64) bool {
	if ce.l.n.storeLimits.Lowered() {
		return ce.l.n.peers.AllConnectedSupport(level)
	}
	return ce.l.n.peers.AllSupport(level)
}
