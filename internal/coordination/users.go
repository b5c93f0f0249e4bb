package coordination

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// unrunnableReason says why a job can never run, or "".
func (n *Node) unrunnableReason(spec *protocol.Job) string {
	if !storage.Storable(n.cfg.Cluster.State.ValueKB, spec) {
		return "its description is too long to be kept"
	}
	for i := range n.cfg.Cluster.Teams {
		t := &n.cfg.Cluster.Teams[i]
		if t.Name != spec.Team {
			continue
		}
		count := 1.0
		if spec.Gang() || spec.Service() { // all its tasks run at the same time
			count = float64(spec.Tasks)
		}
		if t.MaxGPUs > 0 && spec.GPUs*count > t.MaxGPUs+cluster.AmountTolerance || t.MaxCPUs > 0 && spec.CPUs*count > t.MaxCPUs+cluster.AmountTolerance {
			return "more than the team's limit"
		}
		zones := map[protocol.ZoneName]bool{}
		for _, m := range n.types {
			if m.Fits(spec) {
				for _, z := range m.Zones {
					zones[z] = zones[z] || spec.Zone == "" || spec.Zone == z
				}
			}
		}
		maps.DeleteFunc(zones, func(_ protocol.ZoneName, allowed bool) bool { return !allowed })
		switch {
		case len(zones) == 0:
			return "fits no allowed machine type"
		case spec.Gang() && spec.Spread && spec.Tasks > 1 && (spec.OneZone || len(zones) < 2):
			return "its tasks may neither be in one zone nor in several"
		}
		return ""
	}
	return "unknown team"
}

// submit takes a user's submission.
func (n *Node) submit(id uint64, spec *protocol.Job) {
	if f, ok := n.finals[spec.ID]; ok {
		n.reply(id, 200, protocol.Accepted{ID: spec.ID, Phase: f.Phase})
		return
	}
	if n.refuseUnserved(id, n.mirror.Ready() && len(n.types) > 0) {
		return
	}
	if e, ok := n.mirror.Get(storage.JobKey(spec.ID)); ok {
		n.addPoll(poll{id: id, job: spec.ID, revision: e.Revision, short: true})
		return
	}
	if why := n.unrunnableReason(spec); why != "" {
		n.refuseUnrunnable(id, spec.ID, why)
		return
	}
	if !n.takeWriteBudget() {
		if !n.forwardToPeer(id, submission(spec)) {
			n.shed(id)
		}
		return
	}
	n.storeSubmission(id, spec.ID, n.submissionTxn(spec), n.now.Add(tuning.UserRequestTimeout))
}

// refuseUnrunnable refuses a job that can never run. It may have been accepted by a
// peer and be over; only a job that nobody knows is refused.
func (n *Node) refuseUnrunnable(id uint64, jobID protocol.JobID, why string) {
	n.lookUp(id, jobID, n.now.Add(tuning.UserRequestTimeout), func(s *protocol.Status) {
		if s != nil {
			n.reply(id, 200, protocol.Accepted{ID: jobID, Phase: s.Phase})
			return
		}
		n.reply(id, 422, protocol.ErrorBody{Error: why})
	})
}

// submissionTxn is the transaction that makes a submission durable: the job must be
// unknown, finished or not.
func (n *Node) submissionTxn(spec *protocol.Job) []byte {
	state := n.cfg.Cluster.State
	rec := storage.Job{Writer: n.unique(), Spec: spec, AtMs: n.now.UnixMilli(),
		RecordTasks: storage.TasksPerRecord(state.ValueKB, state.TxnOps, spec)}
	return storage.Encode(protocol.Transaction{
		Conditions: []protocol.Condition{{Key: storage.JobKey(spec.ID)}, {Key: storage.FinalKey(spec.ID)}},
		Changes:    []protocol.Change{{Set: storage.JobKey(spec.ID), Value: storage.Encode(rec)}},
	})
}

// storeSubmission sends it, and again while its answer is lost: it may yet apply, and
// the same one again finds out.
func (n *Node) storeSubmission(id uint64, jobID protocol.JobID, txn []byte, deadline time.Time) {
	n.store.TransactEncoded(txn, func(result kv.TransactionResult) {
		switch {
		case result.Outcome == kv.Done:
			n.reply(id, 201, protocol.Accepted{ID: jobID, Phase: protocol.PhasePending})
		case result.Outcome == kv.ConditionFailed:
			n.answerRepeated(id, jobID, deadline)
		case result.Outcome == kv.Unknown && n.now.Before(deadline):
			n.storeSubmission(id, jobID, txn, deadline)
		default:
			n.refuse(id, "state service does not answer")
		}
	})
}

// answerRepeated answers the submission of a job that is known already.
func (n *Node) answerRepeated(id uint64, jobID protocol.JobID, deadline time.Time) {
	n.lookUp(id, jobID, deadline, func(s *protocol.Status) {
		if s == nil {
			n.refuse(id, "try again")
			return
		}
		n.reply(id, 200, protocol.Accepted{ID: jobID, Phase: s.Phase})
	})
}

// refuseUnserved refuses a request at once while the node is starting or the state
// service does not answer it.
func (n *Node) refuseUnserved(id uint64, started bool) bool {
	switch {
	case !started:
		n.refuse(id, "starting")
	case n.stateUnreachable():
		n.refuse(id, "state service out of reach")
	default:
		return false
	}
	return true
}

// submission is a submission on its way to a peer.
func submission(spec *protocol.Job) protocol.PeerUserRequest {
	return protocol.PeerUserRequest{Operation: verbSubmit, Job: spec.ID, Body: storage.Encode(spec)}
}

// query answers a user's poll.
func (n *Node) query(id uint64, jobID protocol.JobID) {
	if f, ok := n.finals[jobID]; ok {
		n.reply(id, 200, finalStatus(jobID, f))
		return
	}
	if n.refuseUnserved(id, n.mirror.Ready()) {
		return
	}
	if e, ok := n.mirror.Get(storage.JobKey(jobID)); ok {
		n.addPoll(poll{id: id, job: jobID, revision: e.Revision})
		return
	}
	if !n.hasReadBudget() {
		n.shed(id)
		return
	}
	n.answerQuery(id, jobID, n.now.Add(tuning.UserRequestTimeout))
}

// stateUnreachable says whether requests to the state service hang: a user is better
// told at once to come back, perhaps to another node.
func (n *Node) stateUnreachable() bool {
	return n.unanswered && n.now.Sub(n.servedAt) >= tuning.StoreUnreachableTimeout
}

// shed turns a user's request away because too much is asked.
func (n *Node) shed(id uint64) {
	n.metrics.Sheds++
	n.refuse(id, "busy")
}

func (n *Node) answerQuery(id uint64, jobID protocol.JobID, deadline time.Time) {
	n.lookUp(id, jobID, deadline, func(s *protocol.Status) {
		if s == nil {
			n.reply(id, 404, protocol.ErrorBody{Error: "no such job"})
			return
		}
		n.reply(id, 200, *s)
	})
}

func finalStatus(jobID protocol.JobID, f storage.Final) protocol.Status {
	return protocol.Status{ID: jobID, Phase: f.Phase, Done: f.Done}
}

// cacheFinal remembers a final state; it never changes.
func (n *Node) cacheFinal(jobID protocol.JobID, f storage.Final) {
	if len(n.finals) >= tuning.MaxCachedFinalStates {
		clear(n.finals)
	}
	n.finals[jobID] = f
}

// read reads one key; found is called with nil if it does not exist, and not
// at all if the state service does not say.
func (n *Node) read(id uint64, key string, deadline time.Time, found func(e *protocol.Entry)) {
	n.store.Get(key, func(result kv.GetResult) {
		switch {
		case result.Outcome == kv.Done && !result.Malformed:
			found(&result.Entry)
		case result.Outcome == kv.NotFound:
			found(nil)
		case result.Outcome == kv.Unknown && n.now.Before(deadline):
			n.read(id, key, deadline, found)
		default:
			n.refuse(id, "state service does not answer")
		}
	})
}

// lookUp reads a job's state from the state service itself. The unfinished
// record is read first: a job moves from there to its final record and never
// back, so one of the two reads finds it.
func (n *Node) lookUp(id uint64, jobID protocol.JobID, deadline time.Time, found func(s *protocol.Status)) {
	n.read(id, storage.JobKey(jobID), deadline, func(e *protocol.Entry) {
		if e != nil {
			rec, err := storage.DecodeJob(e.Value)
			if err != nil {
				n.refuse(id, "record does not parse")
				return
			}
			s := rec.Status()
			found(&s)
			return
		}
		n.read(id, storage.FinalKey(jobID), deadline, func(e *protocol.Entry) {
			if e == nil {
				found(nil)
				return
			}
			var f storage.Final
			if json.Unmarshal(e.Value, &f) != nil || f.Phase == "" {
				n.refuse(id, "record does not parse")
				return
			}
			n.cacheFinal(jobID, f)
			s := finalStatus(jobID, f)
			found(&s)
		})
	})
}
