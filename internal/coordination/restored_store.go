package coordination

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// A token is a revision of the state service. An agent that holds a higher one than the
// leader's term has met a later leader; or, if the store confirms that the term
// is still the newest, it holds the token of a history that the state service has lost,
// for it was restored to an older state. Such an agent takes no command and its lease
// expires. So the leader raises the revision above the highest token that it has seen, if
// that can be done within half a lease, and takes a new term; agents then keep what
// they run. Otherwise their machines are returned once their leases have expired.
//
// What the lost history placed is on no record. So nothing that was submitted before is
// started until every recorded agent is known or its lease has expired. A marker in the
// state service, whose writes raise the revision, has every later leader do the same.

// restoredStore is what a leader does about a store that was restored.
type restoredStore struct {
	leader        *leader
	tokensChecked bool              // a recorded agent has taken this leader's token
	marked        bool              // the marker stands
	confirmed     bool              // in this term
	highestToken  protocol.Term     // token seen
	revision      protocol.Revision // of the state service, when it was last told
	verifying     bool
	writing       bool
}

// loadMarker looks whether an earlier leader found the state service restored.
func (s *restoredStore) loadMarker() {
	if e, ok := s.leader.n.mirror.Get(storage.RestoredKey); ok {
		s.marked = true
		s.leader.n.log.Error("state service was restored to an older state, earlier jobs wait for all agents", "record", string(e.Value))
	}
}

// handleHigherToken takes a heartbeat with a token above this leader's term.
func (s *restoredStore) handleHigherToken(r *protocol.Heartbeat) {
	if r.FencingToken > s.highestToken {
		s.highestToken = r.FencingToken
		s.verifyTerm(r.Machine)
	}
	s.noteUnreachable(r)
}

// verifyTerm asks the state service whether this leader's term is the newest still.
func (s *restoredStore) verifyTerm(machineID protocol.MachineID) {
	if s.verifying {
		return
	}
	s.verifying = true
	term := protocol.Transaction{Conditions: []protocol.Condition{s.leader.n.election.Condition()}}
	s.leader.n.store.Transact(term, func(result kv.TransactionResult) {
		if s.leader.n.lead != s.leader {
			return
		}
		s.verifying = false
		switch {
		case result.Outcome == kv.ConditionFailed:
			s.leader.n.election.StepDown("an agent has seen a higher token")
		case result.Outcome == kv.Done && !result.Malformed && result.Revision != 0:
			s.leader.n.log.Error("state service was restored to an older state: an agent holds a token that it never gave",
				"machine", machineID, "token", s.highestToken, "revision", result.Revision, "term", s.leader.n.election.Term())
			s.confirmed, s.revision = true, result.Revision
		default:
			s.highestToken = s.leader.n.election.Term() // the next heartbeat asks again
		}
	})
}

// noteUnreachable keeps note of an agent that no command reaches.
func (s *restoredStore) noteUnreachable(r *protocol.Heartbeat) {
	machine := s.leader.cluster.EnsureMachine(r.Machine, r.Address, r.Type, r.Zone, r.Spot)
	if machine.Agent.HigherToken == 0 {
		s.leader.n.log.Info("agent holds a higher token", "machine", machine.ID, "token", r.FencingToken)
	}
	machine.Agent.HigherToken = r.FencingToken
}

// highestReachableToken is the highest token of an agent above which the revision can be
// raised before the agents' leases expire, 0 if there is none. A single token beyond reason
// costs no more than its own machine.
func (s *restoredStore) highestReachableToken() (token protocol.Term) {
	changes := s.leader.n.cfg.Cluster.State.WriteRPS * s.leader.n.cfg.Cluster.Workers.LeaseS / 2
	for _, machine := range s.leader.cluster.OrderedMachines {
		if machine.Agent.HigherToken <= protocol.Term(s.revision)+protocol.Term(changes) {
			token = max(token, machine.Agent.HigherToken)
		}
	}
	return token
}

// tick raises the revision, takes a new term once it is above the agents' tokens,
// or returns the machines whose agents no term will reach.
func (s *restoredStore) tick() {
	switch {
	case !s.confirmed:
		if s.marked && !s.leader.Recovering() {
			s.removeMarker()
		}
	case !s.marked:
		s.raiseRevision()
	default:
		switch token := s.highestReachableToken(); {
		case token <= s.leader.n.election.Term():
			s.returnUnreachable()
		case protocol.Term(s.revision) >= token:
			s.leader.n.election.StepDown("agents hold higher tokens, the next term is above them")
		default:
			s.raiseRevision()
		}
	}
}

// returnUnreachable returns the machines whose agents no term will reach, when their leases
// have expired. Once all are gone the state service's history is the only one again.
func (s *restoredStore) returnUnreachable() {
	left := false
	for _, machine := range s.leader.cluster.OrderedMachines {
		if machine.Agent.HigherToken <= s.leader.n.election.Term() {
			continue
		}
		left = true
		if s.leader.n.now.After(s.leader.agents.Liveness.LeaseExpiresAt(machine)) {
			s.leader.autoscaler.DeleteMachine(machine, "holds a higher token than any leader")
		}
	}
	if !left {
		s.confirmed, s.highestToken = false, s.leader.n.election.Term()
	}
}

// raiseRevision writes the marker, again and again as fast as half of the budget allows.
func (s *restoredStore) raiseRevision() {
	half := float64(s.leader.n.budgets.writes.Burst()) / 2
	if s.writing || s.leader.n.budgets.writes.TokensAt(s.leader.n.now) < half {
		return
	}
	s.leader.n.budgets.writes.AllowN(s.leader.n.now, 1)
	s.writing = true
	marker := storage.Restored{Writer: s.leader.n.unique(), Token: s.highestToken}
	s.writeMarker(protocol.Change{Set: storage.RestoredKey, Value: storage.Encode(marker)}, func() {
		s.marked = true
		s.tick()
	})
}

// removeMarker deletes the marker when a recovery has ended.
func (s *restoredStore) removeMarker() {
	if s.writing || !s.leader.n.budgets.writes.AllowN(s.leader.n.now, 1) {
		return
	}
	s.writing = true
	s.writeMarker(protocol.Change{Delete: storage.RestoredKey}, func() { s.marked = false })
}

// writeMarker carries a change of the marker out under the leader's term.
func (s *restoredStore) writeMarker(change protocol.Change, done func()) {
	txn := protocol.Transaction{Conditions: []protocol.Condition{s.leader.n.election.Condition()}, Changes: []protocol.Change{change}}
	s.leader.n.store.Transact(txn, func(result kv.TransactionResult) {
		if s.leader.n.lead != s.leader {
			return
		}
		if result.Outcome != kv.Done || result.Malformed {
			s.leader.n.after(tuning.StoreRetryDelay, func() { s.writing = false })
			return
		}
		s.writing = false
		s.revision = max(s.revision, result.Revision)
		done()
	})
}

// HigherTokenSeen implements agents.HeartbeatEnvironment.
func (l *leader) HigherTokenSeen(r *protocol.Heartbeat) {
	l.restored.handleHigherToken(r)
}

// TokenConfirmed implements agents.HeartbeatEnvironment. It notes that a recorded agent has
// taken this leader's token: it held none of another history.
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
	return l.restored.confirmed || l.restored.marked || !l.restored.tokensChecked && l.n.now.Sub(l.cluster.LeadingSince) < l.cluster.SilenceTimeout()
}
