package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// cancel marks a job as cancelled by a guarded transaction. Whoever leads
// learns it from its watch.
func (n *Node) cancel(id uint64, jobID protocol.JobID) {
	if f, ok := n.finals[jobID]; ok {
		n.reply(id, 200, protocol.Accepted{ID: jobID, Phase: f.Phase})
		return
	}
	if n.refuseUnserved(id, n.mirror.Ready()) {
		return
	}
	if !n.takeWriteBudget() {
		n.shed(id)
		return
	}
	deadline := n.now.Add(tuning.UserRequestTimeout)
	if e, ok := n.mirror.Get(storage.JobKey(jobID)); ok {
		n.cancelRecord(id, jobID, &e, deadline)
		return
	}
	n.cancelFresh(id, jobID, deadline)
}

func (n *Node) cancelFresh(id uint64, jobID protocol.JobID, deadline time.Time) {
	n.read(id, storage.JobKey(jobID), deadline, func(e *protocol.Entry) {
		if e != nil {
			n.cancelRecord(id, jobID, e, deadline)
			return
		}
		n.lookUp(id, jobID, deadline, func(s *protocol.Status) {
			if s == nil {
				n.reply(id, 404, protocol.ErrorBody{Error: "no such job"})
				return
			}
			if s.Phase != protocol.PhaseDone && s.Phase != protocol.PhaseCancelled {
				n.refuse(id, "try again")
				return
			}
			n.reply(id, 200, protocol.Accepted{ID: jobID, Phase: s.Phase})
		})
	})
}

func (n *Node) cancelRecord(id uint64, jobID protocol.JobID, e *protocol.Entry, deadline time.Time) {
	rec, err := storage.DecodeJob(e.Value)
	if err != nil {
		n.refuse(id, "record does not parse")
		return
	}
	if rec.Cancelled {
		n.announceCancel(jobID) // by a transaction whose answer was lost, perhaps
		n.reply(id, 200, protocol.Accepted{ID: jobID, Phase: protocol.PhaseCancelled})
		return
	}
	rec.Cancelled, rec.Writer = true, n.unique()
	if rec.Seq == 0 {
		rec.Seq = e.Revision
	}
	txn := protocol.Transaction{
		Conditions: []protocol.Condition{{Key: e.Key, Revision: e.Revision}},
		Changes:    []protocol.Change{{Set: e.Key, Value: storage.Encode(rec)}},
	}
	n.store.Transact(txn, func(result kv.TransactionResult) {
		switch {
		case result.Outcome == kv.Done:
			n.announceCancel(jobID)
			n.reply(id, 200, protocol.Accepted{ID: jobID, Phase: protocol.PhaseCancelled})
		case (result.Outcome == kv.ConditionFailed || result.Outcome == kv.Unknown) && n.now.Before(deadline):
			n.cancelFresh(id, jobID, deadline)
		default:
			n.refuse(id, "state service does not answer")
		}
	})
}
