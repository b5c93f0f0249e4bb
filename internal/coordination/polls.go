package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// poll is a question about an unfinished job that waits to be checked: the
// mirror's record may be old, and no user may get an older answer than one
// that any node has given.
type poll struct {
	id       uint64
	job      protocol.JobID
	revision protocol.Revision
	short    bool // the answer to a repeated submission
	expire   time.Time
}

// dropLatePolls turns away the polls that have waited too long for the budget.
func (n *Node) dropLatePolls() {
	kept := n.polls[:0]
	for _, p := range n.polls {
		if n.now.Before(p.expire) {
			kept = append(kept, p)
		} else {
			n.shed(p.id)
		}
	}
	n.polls = kept
}

func (n *Node) addPoll(p poll) {
	if len(n.polls) >= n.cfg.Cluster.Resources.UserRequests() {
		n.shed(p.id)
		return
	}
	if len(n.polls) == 0 {
		n.pollAt = n.now.Add(n.requestPause(tuning.StatusQueryBatchDelay, tuning.StatusQueryCPUShare))
	}
	p.expire = n.now.Add(tuning.UserRequestTimeout)
	n.polls = append(n.polls, p)
}

// flushPolls checks the waiting polls' records by one transaction that only
// compares: when it succeeds, the mirror's records are the newest there are.
func (n *Node) flushPolls() {
	if len(n.polls) == 0 {
		return
	}
	limit := n.cfg.Cluster.State.TxnOps * conditionsPerChange
	if n.now.Before(n.pollAt) && len(n.polls) < limit {
		return
	}
	if !n.hasReadBudget() {
		n.dropLatePolls()
		return
	}
	b := n.takePolls(limit)
	n.store.Transact(b.compare, func(result kv.TransactionResult) {
		if !b.checked(result) {
			for _, p := range b.polls {
				n.refuse(p.id, "state service does not answer")
			}
			return
		}
		for _, p := range b.polls {
			n.answerPoll(p, b)
		}
	})
}

// conditionsPerChange is how many conditions a transaction may have for each change
// that it may have.
const conditionsPerChange = 4

// pollBatch is a number of polls that are checked together.
type pollBatch struct {
	polls   []poll
	compare protocol.Transaction
	status  map[protocol.JobID]protocol.Status // by job, as the mirror has it
	stale   map[string]bool                    // keys whose records have changed since
}

// takePolls takes the first of the waiting polls.
func (n *Node) takePolls(limit int) *pollBatch {
	count := min(limit, len(n.polls))
	b := &pollBatch{polls: n.polls[:count], status: map[protocol.JobID]protocol.Status{}, stale: map[string]bool{}}
	n.polls = append([]poll(nil), n.polls[count:]...)
	for _, p := range b.polls {
		if _, ok := b.status[p.job]; ok {
			continue
		}
		key := storage.JobKey(p.job)
		s, revision, ok := n.mirror.Status(key)
		if !ok {
			continue
		}
		b.status[p.job] = s
		b.compare.Conditions = append(b.compare.Conditions, protocol.Condition{Key: key, Revision: revision})
	}
	return b
}

// checked takes the answer to the comparison; false if there is none.
func (b *pollBatch) checked(result kv.TransactionResult) bool {
	switch result.Outcome {
	case kv.Done:
		return true
	case kv.ConditionFailed:
		if result.Malformed || len(result.Failed) == 0 {
			clear(b.status) // nothing is known to be fresh
		}
		for _, key := range result.Failed {
			b.stale[key] = true
		}
		return true
	}
	return false
}

// answerPoll answers from the mirror's record if that was the newest, else after
// another look.
func (n *Node) answerPoll(p poll, b *pollBatch) {
	s, ok := b.status[p.job]
	fresh := ok && !b.stale[storage.JobKey(p.job)]
	switch {
	case !fresh && p.short:
		n.answerRepeated(p.id, p.job, p.expire)
	case !fresh:
		n.answerQuery(p.id, p.job, p.expire)
	case p.short:
		n.reply(p.id, 200, protocol.Accepted{ID: p.job, Phase: s.Phase})
	default:
		n.reply(p.id, 200, s)
	}
}
