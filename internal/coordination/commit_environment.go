package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"golang.org/x/time/rate"
)

// leaderStore is a leader's access to the key-value store. Responses that arrive after the leader
// has stepped down are dropped.
type leaderStore struct{ l *leader }

// Transact implements restore.Store.
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

// PeersSupport implements commit.Environment. The store's limits are lowered only after all
// controllers were upgraded. So once the limits are known to be lowered, peers without a link to
// this node are not considered: a job must not wait for their return.
func (ce commitEnvironment) PeersSupport(level uint64) bool {
	if ce.l.n.storeLimits.Lowered() {
		return ce.l.n.peers.AllConnectedSupport(level)
	}
	return ce.l.n.peers.AllSupport(level)
}
