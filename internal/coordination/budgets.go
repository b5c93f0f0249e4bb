package coordination

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// setBudgets divides the state service's budgets. Of the writes the users of
// every node and relayed messages have parts of their own; the leader's decisions have
// whatever these leave, which it knows from the changes that its watch sees.
// Requests are divided in equal parts.
func (n *Node) setBudgets() {
	budget := func(limit float64, burst int) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(limit), max(burst, int(limit)))
	}
	nodes, state := float64(len(n.cfg.Peers)+1), n.cfg.Cluster.State
	n.stateCalls = budget(state.RPS*tuning.RequestBudgetShare/nodes, 1)
	n.writes = budget(state.WriteRPS*tuning.WriteBudgetShare, 2)
	n.userWrites = budget(state.WriteRPS*tuning.UserWriteBudgetShare/nodes, state.TxnOps)
	n.relayWrites = budget(state.WriteRPS*tuning.RelayWriteBudgetShare/nodes, state.TxnOps)
}

// countWrite takes one write from what the state service accepts: one of this node's
// own or one that the watch shows. It never runs into debt: what was missed in
// a gap of the watch is over.
func (n *Node) countWrite() { n.writes.AllowN(n.now, 1) }

// isOwnWrite says whether a record was written by this life of this node.
func (n *Node) isOwnWrite(value json.RawMessage) bool {
	return strings.HasPrefix(storage.Writer(value), n.boot+"-")
}

// hasReadBudget says whether the budget leaves room for a user's request: what the
// node itself needs, renewals and decisions above all, comes first.
func (n *Node) hasReadBudget() bool {
	return n.stateCalls.TokensAt(n.now) >= 1+float64(n.stateCalls.Burst())*tuning.NodeRequestReserve
}

// takeWriteBudget says the same of a user's write, and takes it from the budget: the
// users' own or what is kept for relayed messages and mostly not needed.
func (n *Node) takeWriteBudget() bool {
	if !n.hasReadBudget() {
		return false
	}
	if n.userWrites.AllowN(n.now, 1) || n.relayWrites.TokensAt(n.now) > float64(n.relayWrites.Burst())/2 && n.relayWrites.AllowN(n.now, 1) {
		n.countWrite()
		return true
	}
	return false
}

// throttled takes note that the state service refused changes as too many: whatever
// the budget says, the service has no more to give now. The budget fills again from
// nothing. It returns the time after which that many changes may be sent again.
func (n *Node) throttled(changes int) time.Duration {
	for _, budget := range []*rate.Limiter{n.writes, n.userWrites, n.relayWrites} {
		if tokens := int(budget.TokensAt(n.now)); tokens > 0 {
			budget.AllowN(n.now, tokens)
		}
	}
	pause := time.Duration(float64(changes) / float64(n.writes.Limit()) * float64(time.Second))
	return max(tuning.StoreRetryDelay, pause)
}
