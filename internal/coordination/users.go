package coordination

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/gappond/gappond/internal/bookkeeping"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// poll is a question about an unfinished job that waits to be checked: the
// mirror's record may be old, and no user may get an older answer than one
// that any node has given.
type poll struct {
	id     uint64
	job    string
	stamp  uint64
	short  bool // the answer to a repeated submission
	expire time.Time
}

// impossible says why a job can never run, or "".
func (n *Node) impossible(j *protocol.Job) string {
	if !bookkeeping.Storable(n.cfg.Cluster.State.ValueKB, j) {
		return "its description is too long to be kept"
	}
	for i := range n.cfg.Cluster.Teams {
		t := &n.cfg.Cluster.Teams[i]
		if t.Name != j.Team {
			continue
		}
		count := 1.0
		if j.Gang() || j.Service() { // all its tasks run at the same time
			count = float64(j.Tasks)
		}
		if t.MaxGPUs > 0 && j.GPUs*count > t.MaxGPUs+amountSlack || t.MaxCPUs > 0 && j.CPUs*count > t.MaxCPUs+amountSlack {
			return "more than the team's limit"
		}
		zones := map[string]bool{}
		for _, m := range n.types {
			if m.Fits(j) {
				for _, z := range m.Zones {
					zones[z] = zones[z] || j.Zone == "" || j.Zone == z
				}
			}
		}
		maps.DeleteFunc(zones, func(_ string, allowed bool) bool { return !allowed })
		switch {
		case len(zones) == 0:
			return "fits no allowed machine type"
		case j.Gang() && j.Spread && j.Tasks > 1 && (j.OneZone || len(zones) < 2):
			return "its tasks may neither be in one zone nor in several"
		}
		return ""
	}
	return "unknown team"
}

// amountSlack absorbs rounding in sums of decimal amounts.
const amountSlack = 1e-6

func (n *Node) submit(id uint64, j *protocol.Job) {
	if f, ok := n.finals[j.ID]; ok {
		n.reply(id, 200, protocol.Accepted{ID: j.ID, Phase: f.Phase})
		return
	}
	if !n.mirror.Ready() || len(n.types) == 0 {
		n.refuse(id, "starting")
		return
	}
	if n.cutOff() {
		n.refuse(id, "state service out of reach")
		return
	}
	if e, ok := n.mirror.Get(bookkeeping.JobKey(j.ID)); ok {
		n.addPoll(poll{id: id, job: j.ID, stamp: e.Stamp, short: true})
		return
	}
	if why := n.impossible(j); why != "" {
		// The job may have been accepted by a sibling and be over; only a job
		// that nobody knows is refused.
		n.lookUp(id, j.ID, n.now.Add(tuning.UserDeadline), func(s *protocol.Status) {
			if s != nil {
				n.reply(id, 200, protocol.Accepted{ID: j.ID, Phase: s.Phase})
				return
			}
			n.reply(id, 422, protocol.ErrorBody{Error: why})
		})
		return
	}
	if !n.mayWrite() {
		if !n.sendOn(id, submission(j)) {
			n.shed(id)
		}
		return
	}
	state := n.cfg.Cluster.State
	rec := bookkeeping.Job{Writer: n.unique(), Spec: j, AtMs: n.now.UnixMilli(), Chunk: bookkeeping.ChunkSize(state.ValueKB, state.TxnOps, j)}
	txn := bookkeeping.Encode(protocol.Txn{
		If:   []protocol.Condition{{Key: bookkeeping.JobKey(j.ID)}, {Key: bookkeeping.FinalKey(j.ID)}},
		Then: []protocol.Change{{Set: bookkeeping.JobKey(j.ID), Value: bookkeeping.Encode(rec)}},
	})
	deadline := n.now.Add(tuning.UserDeadline)
	var send func()
	send = func() {
		n.state("POST", protocol.PathTxn, []byte(txn), func(status int, _ []byte) {
			switch {
			case status == 200:
				n.reply(id, 201, protocol.Accepted{ID: j.ID, Phase: protocol.PhasePending})
			case status == 409:
				n.lookUp(id, j.ID, deadline, func(s *protocol.Status) {
					if s == nil {
						n.refuse(id, "try again")
						return
					}
					n.reply(id, 200, protocol.Accepted{ID: j.ID, Phase: s.Phase})
				})
			case status == 0 && n.now.Before(deadline):
				// The lost transaction may yet apply; the same one again finds out.
				send()
			default:
				n.refuse(id, "state service does not answer")
			}
		})
	}
	send()
}

// submission is a submission on its way to a sibling.
func submission(j *protocol.Job) protocol.PeerRequest {
	return protocol.PeerRequest{Verb: verbSubmit, Job: j.ID, Body: bookkeeping.Encode(j)}
}

func (n *Node) query(id uint64, job string) {
	if f, ok := n.finals[job]; ok {
		n.reply(id, 200, finalStatus(job, f))
		return
	}
	if !n.mirror.Ready() {
		n.refuse(id, "starting")
		return
	}
	if n.cutOff() {
		n.refuse(id, "state service out of reach")
		return
	}
	if e, ok := n.mirror.Get(bookkeeping.JobKey(job)); ok {
		n.addPoll(poll{id: id, job: job, stamp: e.Stamp})
		return
	}
	if !n.mayRead() {
		n.shed(id)
		return
	}
	n.answerQuery(id, job, n.now.Add(tuning.UserDeadline))
}

// cutOff says whether requests to the state service hang: a user is better
// told at once to come back, perhaps to another node.
func (n *Node) cutOff() bool {
	return n.silent && n.now.Sub(n.served) >= tuning.CutOffAfter
}

// shed turns a user's request away because too much is asked.
func (n *Node) shed(id uint64) {
	n.metrics.Sheds++
	n.refuse(id, "busy")
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

func (n *Node) answerQuery(id uint64, job string, deadline time.Time) {
	n.lookUp(id, job, deadline, func(s *protocol.Status) {
		if s == nil {
			n.reply(id, 404, protocol.ErrorBody{Error: "no such job"})
			return
		}
		n.reply(id, 200, *s)
	})
}

func finalStatus(job string, f bookkeeping.Final) protocol.Status {
	return protocol.Status{ID: job, Phase: f.Phase, Done: f.Done}
}

// keepFinal remembers a final state; it never changes.
func (n *Node) keepFinal(job string, f bookkeeping.Final) {
	if len(n.finals) >= tuning.FinalCache {
		clear(n.finals)
	}
	n.finals[job] = f
}

// read reads one key; found is called with nil if it does not exist, and not
// at all if the state service does not say.
func (n *Node) read(id uint64, key string, deadline time.Time, found func(e *protocol.Entry)) {
	n.state("GET", protocol.KeyPath(key), nil, func(status int, body []byte) {
		var e protocol.Entry
		switch {
		case status == 200 && json.Unmarshal(body, &e) == nil:
			found(&e)
		case status == 404:
			found(nil)
		case status == 0 && n.now.Before(deadline):
			n.read(id, key, deadline, found)
		default:
			n.refuse(id, "state service does not answer")
		}
	})
}

// lookUp reads a job's state from the state service itself. The unfinished
// record is read first: a job moves from there to its final record and never
// back, so one of the two reads finds it.
func (n *Node) lookUp(id uint64, job string, deadline time.Time, found func(s *protocol.Status)) {
	n.read(id, bookkeeping.JobKey(job), deadline, func(e *protocol.Entry) {
		if e != nil {
			rec, err := bookkeeping.DecodeJob(e.Value)
			if err != nil {
				n.refuse(id, "record does not parse")
				return
			}
			s := rec.Status()
			found(&s)
			return
		}
		n.read(id, bookkeeping.FinalKey(job), deadline, func(e *protocol.Entry) {
			if e == nil {
				found(nil)
				return
			}
			var f bookkeeping.Final
			if json.Unmarshal(e.Value, &f) != nil || f.Phase == "" {
				n.refuse(id, "record does not parse")
				return
			}
			n.keepFinal(job, f)
			s := finalStatus(job, f)
			found(&s)
		})
	})
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
	if !n.mayRead() {
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
		txn.If = append(txn.If, protocol.Condition{Key: key, Stamp: stamp})
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

// cancel marks a job as cancelled by a guarded transaction. Whoever leads
// learns it from its watch.
func (n *Node) cancel(id uint64, job string) {
	if f, ok := n.finals[job]; ok {
		n.reply(id, 200, protocol.Accepted{ID: job, Phase: f.Phase})
		return
	}
	if !n.mirror.Ready() {
		n.refuse(id, "starting")
		return
	}
	if n.cutOff() {
		n.refuse(id, "state service out of reach")
		return
	}
	if !n.mayWrite() {
		n.shed(id)
		return
	}
	deadline := n.now.Add(tuning.UserDeadline)
	if e, ok := n.mirror.Get(bookkeeping.JobKey(job)); ok {
		n.cancelRecord(id, job, &e, deadline)
		return
	}
	n.cancelFresh(id, job, deadline)
}

func (n *Node) cancelFresh(id uint64, job string, deadline time.Time) {
	n.read(id, bookkeeping.JobKey(job), deadline, func(e *protocol.Entry) {
		if e != nil {
			n.cancelRecord(id, job, e, deadline)
			return
		}
		n.lookUp(id, job, deadline, func(s *protocol.Status) {
			if s == nil {
				n.reply(id, 404, protocol.ErrorBody{Error: "no such job"})
				return
			}
			if s.Phase != protocol.PhaseDone && s.Phase != protocol.PhaseCancelled {
				n.refuse(id, "try again")
				return
			}
			n.reply(id, 200, protocol.Accepted{ID: job, Phase: s.Phase})
		})
	})
}

func (n *Node) cancelRecord(id uint64, job string, e *protocol.Entry, deadline time.Time) {
	rec, err := bookkeeping.DecodeJob(e.Value)
	if err != nil {
		n.refuse(id, "record does not parse")
		return
	}
	if rec.Cancelled {
		n.tellCancelled(job) // by a transaction whose answer was lost, perhaps
		n.reply(id, 200, protocol.Accepted{ID: job, Phase: protocol.PhaseCancelled})
		return
	}
	rec.Cancelled, rec.Writer = true, n.unique()
	if rec.Seq == 0 {
		rec.Seq = e.Stamp
	}
	txn := protocol.Txn{
		If:   []protocol.Condition{{Key: e.Key, Stamp: e.Stamp}},
		Then: []protocol.Change{{Set: e.Key, Value: bookkeeping.Encode(rec)}},
	}
	n.state("POST", protocol.PathTxn, txn, func(status int, _ []byte) {
		switch {
		case status == 200:
			n.tellCancelled(job)
			n.reply(id, 200, protocol.Accepted{ID: job, Phase: protocol.PhaseCancelled})
		case (status == 409 || status == 0) && n.now.Before(deadline):
			n.cancelFresh(id, job, deadline)
		default:
			n.refuse(id, "state service does not answer")
		}
	})
}
