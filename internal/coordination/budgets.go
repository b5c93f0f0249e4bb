package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// storeBudgets holds this node's shares of the key-value store's rate limits. Requests are
// divided equally among the nodes. Of the writes, users and store-relayed messages have fixed
// shares on every node. The leader's decisions may use what these leave unused, which the leader
// learns from the changes that its watch shows.
type storeBudgets struct {
	calls  *rate.Limiter // requests of all kinds
	writes *rate.Limiter // puts and deletes of the leader's decisions
	users  *rate.Limiter // puts for users: submissions and cancellations
	relay  *rate.Limiter // puts of store-relayed messages
}

// newStoreBudgets derives a node's budgets from the store's limits.
func newStoreBudgets(cfg *config.Config) storeBudgets {
	newLimiter := func(limit float64, burst int) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(limit), max(burst, int(limit)))
	}
	nodes, limits := float64(len(cfg.Peers)+1), cfg.Cluster.Store
	return storeBudgets{
		calls:  newLimiter(limits.RPS*tuning.RequestBudgetShare/nodes, 1),
		writes: newLimiter(limits.WriteRPS*tuning.WriteBudgetShare, 2),
		users:  newLimiter(limits.WriteRPS*tuning.UserWriteBudgetShare/nodes, limits.TxnOps),
		relay:  newLimiter(limits.WriteRPS*tuning.RelayWriteBudgetShare/nodes, limits.TxnOps),
	}
}

// countCall takes one request from the budget. It never refuses: only users' requests are
// checked against the budget beforehand.
func (sb *storeBudgets) countCall(now time.Time) { sb.calls.AllowN(now, 1) }

// countWrite takes one write from the write budget: one of this node's own or one that the watch
// shows. The budget never goes below zero: writes that the watch shows late, after a gap,
// lie in the past and must not delay later ones.
func (sb *storeBudgets) countWrite(now time.Time) { sb.writes.AllowN(now, 1) }

// takeRelayWrite reports whether a store-relayed message may be written now. If so, it takes the
// write from the budgets.
func (sb *storeBudgets) takeRelayWrite(now time.Time) bool {
	if !sb.relay.AllowN(now, 1) {
		return false
	}
	sb.countWrite(now)
	return true
}

// AllowsUserRead reports whether the request budget suffices for a user's request. A part of the
// budget is reserved for the node's own requests, mainly lease renewals and the leader's
// decisions.
func (sb *storeBudgets) AllowsUserRead(now time.Time) bool {
	return sb.calls.TokensAt(now) >= 1+float64(sb.calls.Burst())*tuning.NodeRequestReserve
}

// TakeUserWrite reports whether a user's write may be sent now, and takes it from a budget if so.
// The request budget must allow the write, too. When the budget for users is used up, the write is
// taken from the one for store-relayed messages, as long as this is more than half full: such
// messages are rarely needed.
func (sb *storeBudgets) TakeUserWrite(now time.Time) bool {
	if !sb.AllowsUserRead(now) {
		return false
	}
	if sb.users.AllowN(now, 1) || sb.relay.TokensAt(now) > float64(sb.relay.Burst())/2 && sb.relay.AllowN(now, 1) {
		sb.countWrite(now)
		return true
	}
	return false
}

// noteThrottled records that the store refused this many changes because of its rate limit. The
// store accepts no more writes now, whatever the budgets say, so they are emptied and refill from
// zero. noteThrottled returns the time after which that many changes may be sent again.
func (sb *storeBudgets) noteThrottled(now time.Time, changes int) time.Duration {
	for _, budget := range []*rate.Limiter{sb.writes, sb.users, sb.relay} {
		if tokens := int(budget.TokensAt(now)); tokens > 0 {
			budget.AllowN(now, tokens)
		}
	}
	delay := time.Duration(float64(changes) / float64(sb.writes.Limit()) * float64(time.Second))
	return max(tuning.StoreRetryDelay, delay)
}
