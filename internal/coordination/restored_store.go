package coordination

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// A token is a revision of the state service. A worker that holds a higher one than the
// leader's term has met a later leader; or, if the state service confirms that the term
// is still the newest, it holds the token of a history that the state service has lost,
// for it was restored to an older state. Such a worker takes no order and its lease runs
// out. So the leader raises the revision above the highest token that it has seen, if
// that can be done within half a lease, and takes a new term; workers then keep what
// they run. Otherwise they are returned once their leases have lapsed.
//
// What the lost history placed is on no record. So nothing that was submitted before is
// started until every recorded worker is known or its lease has lapsed. A marker in the
// state service, whose writes raise the revision, has every later leader do the same.

// restoredStore is what a leader knows of a state service that was restored.
type restoredStore struct {
	tokensChecked bool              // a recorded worker has taken this leader's token
	marked        bool              // the marker stands
	proven        bool              // in this term
	highest       protocol.Term     // token seen
	revision      protocol.Revision // of the state service, when it was last told
	asking        bool
	writing       bool
}

// loadRestoredMarker looks whether an earlier leader found the state service restored.
func (l *leader) loadRestoredMarker() {
	if e, ok := l.n.mirror.Get(storage.RestoredKey); ok {
		l.restored.marked = true
		l.n.log.Error("state service was restored to an older state, earlier jobs wait for all workers", "record", string(e.Value))
	}
}

// HigherTokenSeen implements agents.HeartbeatEnvironment.
func (l *leader) HigherTokenSeen(r *protocol.Heartbeat) {
	s := &l.restored
	if r.FencingToken > s.highest {
		s.highest = r.FencingToken
		l.askForTerm(r.Machine)
	}
	l.holdsHigherToken(r)
}

// askForTerm asks the state service whether this leader's term is the newest still.
func (l *leader) askForTerm(machineID protocol.MachineID) {
	s := &l.restored
	if s.asking {
		return
	}
	s.asking = true
	term := protocol.Transaction{Conditions: []protocol.Condition{l.n.election.Condition()}}
	l.n.store.Transact(term, func(result kv.TransactionResult) {
		if l.n.lead != l {
			return
		}
		s.asking = false
		switch {
		case result.Outcome == kv.ConditionFailed:
			l.n.election.StepDown("a worker has seen a higher token")
		case result.Outcome == kv.Done && !result.Malformed && result.Revision != 0:
			l.n.log.Error("state service was restored to an older state: a worker holds a token that it never gave",
				"machine", machineID, "token", s.highest, "revision", result.Revision, "term", l.n.election.Term())
			s.proven, s.revision = true, result.Revision
		default:
			s.highest = l.n.election.Term() // the next report asks again
		}
	})
}

// holdsHigherToken keeps note of a worker that no order reaches.
func (l *leader) holdsHigherToken(r *protocol.Heartbeat) {
	machine := l.cluster.EnsureMachine(r.Machine, r.Address, r.Type, r.Zone, r.Spot)
	if machine.Agent.HigherToken == 0 {
		l.n.log.Info("worker holds a higher token", "machine", machine.ID, "token", r.FencingToken)
	}
	machine.Agent.HigherToken = r.FencingToken
}

// reachableToken is the highest token of a worker above which the revision can be raised
// before the workers' leases run out, 0 if there is none. A single token beyond reason
// costs no more than its own worker.
func (l *leader) reachableToken() (token protocol.Term) {
	changes := l.n.cfg.Cluster.State.WriteRPS * l.n.cfg.Cluster.Workers.LeaseS / 2
	for _, machine := range l.cluster.OrderedMachines {
		if machine.Agent.HigherToken <= protocol.Term(l.restored.revision)+protocol.Term(changes) {
			token = max(token, machine.Agent.HigherToken)
		}
	}
	return token
}

// tickRestored raises the revision, takes a new term once it is above the workers' tokens,
// or returns the workers that no term will reach.
func (l *leader) tickRestored() {
	s := &l.restored
	switch {
	case !s.proven:
		if s.marked && !l.Recovering() {
			l.removeRestoredMarker()
		}
	case !s.marked:
		l.raiseRevision()
	default:
		switch token := l.reachableToken(); {
		case token <= l.n.election.Term():
			l.returnUnreachable()
		case protocol.Term(s.revision) >= token:
			l.n.election.StepDown("workers hold higher tokens, the next term is above them")
		default:
			l.raiseRevision()
		}
	}
}

// returnUnreachable returns the workers that no term will reach, when their leases have
// lapsed. Once all are gone the state service's history is the only one again.
func (l *leader) returnUnreachable() {
	left := false
	for _, machine := range l.cluster.OrderedMachines {
		if machine.Agent.HigherToken <= l.n.election.Term() {
			continue
		}
		left = true
		if l.n.now.After(l.agents.Liveness.LeaseExpiresAt(machine)) {
			l.autoscaler.DeleteMachine(machine, "holds a higher token than any leader")
		}
	}
	if !left {
		l.restored.proven, l.restored.highest = false, l.n.election.Term()
	}
}

// raiseRevision writes the marker, again and again as fast as half of the budget allows.
func (l *leader) raiseRevision() {
	s := &l.restored
	half := float64(l.n.budgets.writes.Burst()) / 2
	if s.writing || l.n.budgets.writes.TokensAt(l.n.now) < half {
		return
	}
	l.n.budgets.writes.AllowN(l.n.now, 1)
	s.writing = true
	marker := storage.Restored{Writer: l.n.unique(), Token: s.highest}
	l.writeMarker(protocol.Change{Set: storage.RestoredKey, Value: storage.Encode(marker)}, func() {
		s.marked = true
		l.tickRestored()
	})
}

// removeRestoredMarker deletes the marker when a recovery has ended.
func (l *leader) removeRestoredMarker() {
	if l.restored.writing || !l.n.budgets.writes.AllowN(l.n.now, 1) {
		return
	}
	l.restored.writing = true
	l.writeMarker(protocol.Change{Delete: storage.RestoredKey}, func() { l.restored.marked = false })
}

// writeMarker carries a change of the marker out under the leader's term.
func (l *leader) writeMarker(change protocol.Change, done func()) {
	txn := protocol.Transaction{Conditions: []protocol.Condition{l.n.election.Condition()}, Changes: []protocol.Change{change}}
	l.n.store.Transact(txn, func(result kv.TransactionResult) {
		if l.n.lead != l {
			return
		}
		if result.Outcome != kv.Done || result.Malformed {
			l.n.after(tuning.StoreRetryDelay, func() { l.restored.writing = false })
			return
		}
		l.restored.writing = false
		l.restored.revision = max(l.restored.revision, result.Revision)
		done()
	})
}

// TokenConfirmed implements agents.HeartbeatEnvironment. It notes that a recorded worker has taken this leader's token: it held none
// of another history.
func (l *leader) TokenConfirmed(machine *cluster.Machine) {
	if machine.Recovered && machine.Agent.TokenConfirmed && !l.restored.tokensChecked {
		l.restored.tokensChecked, l.plan = true, true
	}
}

// StartsWithheld implements scheduler.Environment: attempts that no record has may run on
// machines whose agents have yet to report. Until one of them has shown its token, nobody
// knows.
func (l *leader) StartsWithheld(job *cluster.Job) bool {
	if !job.Recovered || !l.Recovering() || len(l.machineRecords) == 0 {
		return false
	}
	return l.restored.proven || l.restored.marked || !l.restored.tokensChecked && l.n.now.Sub(l.cluster.LeadingSince) < l.cluster.SilenceTimeout()
}
