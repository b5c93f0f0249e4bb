package coordination

import (
	"encoding/json"
	"time"

	"github.com/gappond/gappond/internal/bookkeeping"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// poll is a question about an unfinished job that waits to be checked: the
// mirror's record may be old, and no user may get an older answer than one
// that any node has given.
type poll struct {
	id       uint64
	job      string
	revision uint64
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
	if len(n.polls) >= tuning.QueueUsers {
		n.shed(p.id)
		return
	}
	if len(n.polls) == 0 {
		n.pollAt = n.now.Add(n.requestPause(tuning.PollBatch, tuning.PollShare))
	}
	p.expire = n.now.Add(tuning.UserDeadline)
	n.polls = append(n.polls, p)
}

// flushPolls checks the waiting polls' records by one transaction that only
// compares: when it succeeds, the mirror's records are the newest there are.
func (n *Node) flushPolls() {
	if len(n.polls) == 0 {
		return
	}
	limit := n.cfg.Cluster.State.TxnOps * 4
	if n.now.Before(n.pollAt) && len(n.polls) < limit {
		return
	}
	if !n.hasReadBudget() {
		n.dropLatePolls()
		return
	}
	batch := n.polls
	if len(batch) > limit {
		batch = batch[:limit]
	}
	n.polls = append([]poll(nil), n.polls[len(batch):]...)
	var txn protocol.Txn
	status := map[string]protocol.Status{}
	for _, p := range batch {
		if _, ok := status[p.job]; ok {
			continue
		}
		key := bookkeeping.JobKey(p.job)
		s, stamp, ok := n.mirror.Status(key)
		if !ok {
			continue
		}
		status[p.job] = s
		txn.If = append(txn.If, protocol.Condition{Key: key, Revision: stamp})
	}
	n.state("POST", protocol.PathTxn, txn, func(code int, body []byte) {
		stale := map[string]bool{}
		switch code {
		case 200:
		case 409:
			var a protocol.TxnAnswer
			if json.Unmarshal(body, &a) != nil || len(a.Failed) == 0 {
				clear(status) // nothing is known to be fresh
			}
			for _, k := range a.Failed {
				stale[k] = true
			}
		default:
			for _, p := range batch {
				n.refuse(p.id, "state service does not answer")
			}
			return
		}
		for _, p := range batch {
			s, ok := status[p.job]
			switch {
			case !ok || stale[bookkeeping.JobKey(p.job)]:
				if p.short {
					n.lookUp(p.id, p.job, p.expire, func(s *protocol.Status) {
						if s == nil {
							n.refuse(p.id, "try again")
							return
						}
						n.reply(p.id, 200, protocol.Accepted{ID: p.job, Phase: s.Phase})
					})
				} else {
					n.answerQuery(p.id, p.job, p.expire)
				}
			case p.short:
				n.reply(p.id, 200, protocol.Accepted{ID: p.job, Phase: s.Phase})
			default:
				n.reply(p.id, 200, s)
			}
		}
	})
}
