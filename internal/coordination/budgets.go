package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// storeBudgets are this node's shares of what the key-value store accepts. Of the writes
// the users of every node and store-relayed messages have parts of their own; the leader's
// decisions have whatever these leave, which it knows from the changes that its watch sees.
// Requests are divided in equal parts.
type storeBudgets struct {
	calls  *rate.Limiter // requests of any kind
	writes *rate.Limiter // puts and deletes of the leader's decisions
	users  *rate.Limiter // puts for users: submissions and cancellations
	relay  *rate.Limiter // puts of store-relayed messages
}

// newStoreBudgets divides the store's limits.
func newStoreBudgets(cfg *config.Config) storeBudgets {
	budget := func(limit float64, burst int) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(limit), max(burst, int(limit)))
	}
	nodes, state := float64(len(cfg.Peers)+1), cfg.Cluster.Store
	return storeBudgets{
		calls:  budget(state.RPS*tuning.RequestBudgetShare/nodes, 1),
		writes: budget(state.WriteRPS*tuning.WriteBudgetShare, 2),
		users:  budget(state.WriteRPS*tuning.UserWriteBudgetShare/nodes, state.TxnOps),
		relay:  budget(state.WriteRPS*tuning.RelayWriteBudgetShare/nodes, state.TxnOps),
	}
}

// countCall takes a request from the budget in any case; users' requests check it first.
func (sb *storeBudgets) countCall(now time.Time) { sb.calls.AllowN(now, 1) }

// countWrite takes one write from what the store accepts: one of this node's own or one
// that the watch shows. It never runs into debt: what was missed in a gap of the watch
// is over.
func (sb *storeBudgets) countWrite(now time.Time) { sb.writes.AllowN(now, 1) }

// takeRelayWrite says whether store-relayed messages may be written now, and counts that.
func (sb *storeBudgets) takeRelayWrite(now time.Time) bool {
	if !sb.relay.AllowN(now, 1) {
		return false
	}
	sb.countWrite(now)
	return true
}

// AllowsUserRead says whether the budget suffices for a user's request: what the node
// itself needs, renewals and decisions above all, comes first.
func (sb *storeBudgets) AllowsUserRead(now time.Time) bool {
	return sb.calls.TokensAt(now) >= 1+float64(sb.calls.Burst())*tuning.NodeRequestReserve
}

// TakeUserWrite says the same of a user's write, and takes it from the budget: the users'
// own or what is kept for store-relayed messages and mostly not needed.
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

// noteThrottled takes note that the store refused changes as too many: whatever the budget
// says, the store has no more to give now. The budget fills again from nothing. It
// returns the time after which that many changes may be sent again.
func (sb *storeBudgets) noteThrottled(now time.Time, changes int) time.Duration {
	for _, budget := range []*rate.Limiter{sb.writes, sb.users, sb.relay} {
		if tokens := int(budget.TokensAt(now)); tokens > 0 {
			budget.AllowN(now, tokens)
		}
	}
	pause := time.Duration(float64(changes) / float64(sb.writes.Limit()) * float64(time.Second))
	return max(tuning.StoreRetryDelay, pause)
}
