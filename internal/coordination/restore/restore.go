// Package restore notices that the key-value store was restored to an older state and brings
// the cluster out of it.
//
// A fencing token is a revision of the store. An agent that holds a higher one than the
// leader's term has met a later leader; or, if the store confirms that the term is still the
// newest, it holds the token of a history that the store has lost. Such an agent takes no
// command and its lease expires. So the leader raises the revision above the highest token
// that it has seen, if that can be done within half a lease, and takes a new term; agents
// then keep what they run. Otherwise their machines are deleted once their leases have
// expired.
//
// What the lost history placed is on no record. So nothing that was submitted before is
// started until every recorded agent is known or its lease has expired. A marker in the
// store, whose writes raise the revision, has every later leader do the same.
//
// The package writes nothing but the marker.
package restore

import (
	"log/slog"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// Store is the key-value store as this leader uses it. Nothing is answered any more once
// the leader has stepped down.
type Store interface {
	Transact(txn protocol.Transaction, done func(kv.TransactionResult))
	// WriteBudget is what the store's limit on changes leaves to the leader's decisions.
	WriteBudget() *rate.Limiter
}

// Environment is what is needed of the leader.
type Environment interface {
	// After does something once the time has passed, if this leader still leads.
	After(pause time.Duration, do func())
	// UniqueName makes a name that no other request or record has.
	UniqueName() string
	// RequestScheduling has the next scheduling cycle run soon.
	RequestScheduling()
	// StepDown ends this leader's term.
	StepDown(reason string)
	// Recovering says whether a recovery after a failover lasts.
	Recovering() bool
	// LeaseExpiresAt is when a machine's agent has given up what it runs, at the latest.
	LeaseExpiresAt(machine *cluster.Machine) time.Time
	// DeleteMachine returns a machine to the cloud.
	DeleteMachine(machine *cluster.Machine, reason string)
	// MachinesRecorded says whether any machine record is stored.
	MachinesRecorded() bool
}

// Monitor watches the tokens that agents show for those of a lost history.
type Monitor struct {
	state *cluster.State
	store Store
	env   Environment
	log   *slog.Logger
	term  protocol.Term

	tokenConfirmed bool // a recorded agent has taken this leader's token
	markerStored   bool // the marker stands
	restoreProven  bool // in this term
	highestToken   protocol.Term
	storeRevision  protocol.Revision // of the store, when it was last told
	confirmingTerm bool              // the store was asked whether the term is the newest
	writingMarker  bool
}

// NewMonitor makes the monitor of a term.
func NewMonitor(term protocol.Term, state *cluster.State, store Store, env Environment, log *slog.Logger) *Monitor {
	return &Monitor{state: state, store: store, env: env, log: log, term: term}
}

// LoadMarker takes the marker of an earlier leader that found the store restored.
func (m *Monitor) LoadMarker(marker protocol.Entry) {
	m.markerStored = true
	m.log.Error("store was restored to an older state, earlier jobs wait for all agents", "record", string(marker.Value))
}

// HasMarker says whether the marker stands.
func (m *Monitor) HasMarker() bool { return m.markerStored }

// ObserveHigherToken takes an agent's token above this leader's term: the agent would drop
// whatever it is answered.
func (m *Monitor) ObserveHigherToken(heartbeat *protocol.Heartbeat) {
	if heartbeat.FencingToken > m.highestToken {
		m.highestToken = heartbeat.FencingToken
		m.confirmTerm(heartbeat.Machine)
	}
	machine := m.state.EnsureMachine(heartbeat.Machine, heartbeat.Address, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	if machine.Agent.HigherToken == 0 {
		m.log.Info("agent holds a higher token", "machine", machine.ID, "token", heartbeat.FencingToken)
	}
	machine.Agent.HigherToken = heartbeat.FencingToken
}

// confirmTerm asks the store whether this leader's term is the newest still.
func (m *Monitor) confirmTerm(machineID protocol.MachineID) {
	if m.confirmingTerm {
		return
	}
	m.confirmingTerm = true
	m.store.Transact(protocol.Transaction{Conditions: m.leaseConditions()}, func(result kv.TransactionResult) {
		m.confirmingTerm = false
		switch {
		case result.Outcome == kv.ConditionFailed:
			m.env.StepDown("an agent has seen a higher token")
		case result.Outcome == kv.Done && !result.Malformed && result.Revision != 0:
			m.log.Error("store was restored to an older state: an agent holds a token that it never gave",
				"machine", machineID, "token", m.highestToken, "revision", result.Revision, "term", m.term)
			m.restoreProven, m.storeRevision = true, result.Revision
		default:
			m.highestToken = m.term // the next heartbeat asks again
		}
	})
}

// leaseConditions demand that this leader still leads.
func (m *Monitor) leaseConditions() []protocol.Condition {
	return []protocol.Condition{{Key: storage.LeaderKey, Revision: protocol.Revision(m.term)}}
}

// reachableToken is the highest token of an agent above which the revision can be raised
// before the agents' leases expire, 0 if there is none. A single token beyond reason
// costs no more than its own machine.
func (m *Monitor) reachableToken() (token protocol.Term) {
	changes := m.state.Config.Cluster.Store.WriteRPS * m.state.Config.Cluster.Agents.LeaseS / 2
	for _, machine := range m.state.OrderedMachines {
		if machine.Agent.HigherToken <= protocol.Term(m.storeRevision)+protocol.Term(changes) {
			token = max(token, machine.Agent.HigherToken)
		}
	}
	return token
}

// Tick raises the revision, takes a new term once it is above the agents' tokens, or
// deletes the machines whose agents no term will reach.
func (m *Monitor) Tick() {
	switch {
	case !m.restoreProven:
		if m.markerStored && !m.env.Recovering() {
			m.removeMarker()
		}
	case !m.markerStored:
		m.raiseRevision()
	default:
		switch token := m.reachableToken(); {
		case token <= m.term:
			m.deleteUnreachable()
		case protocol.Term(m.storeRevision) >= token:
			m.env.StepDown("agents hold higher tokens, the next term is above them")
		default:
			m.raiseRevision()
		}
	}
}

// deleteUnreachable deletes the machines whose agents no term will reach, when their leases
// have expired. Once all are gone the store's history is the only one again.
func (m *Monitor) deleteUnreachable() {
	left := false
	for _, machine := range m.state.OrderedMachines {
		if machine.Agent.HigherToken <= m.term {
			continue
		}
		left = true
		if m.state.Now().After(m.env.LeaseExpiresAt(machine)) {
			m.env.DeleteMachine(machine, "holds a higher token than any leader")
		}
	}
	if !left {
		m.restoreProven, m.highestToken = false, m.term
	}
}

// raiseRevision writes the marker, again and again as fast as half of the budget allows.
func (m *Monitor) raiseRevision() {
	budget, now := m.store.WriteBudget(), m.state.Now()
	if m.writingMarker || budget.TokensAt(now) < float64(budget.Burst())/2 {
		return
	}
	budget.AllowN(now, 1)
	marker := storage.Restored{Writer: m.env.UniqueName(), Token: m.highestToken}
	m.writeMarker(protocol.Change{Set: storage.RestoredKey, Value: storage.Encode(marker)}, func() {
		m.markerStored = true
		m.Tick()
	})
}

// removeMarker deletes the marker when a recovery has ended.
func (m *Monitor) removeMarker() {
	if m.writingMarker || !m.store.WriteBudget().AllowN(m.state.Now(), 1) {
		return
	}
	m.writeMarker(protocol.Change{Delete: storage.RestoredKey}, func() { m.markerStored = false })
}

// writeMarker carries a change of the marker out under the leader's term.
func (m *Monitor) writeMarker(change protocol.Change, done func()) {
	m.writingMarker = true
	txn := protocol.Transaction{Conditions: m.leaseConditions(), Changes: []protocol.Change{change}}
	m.store.Transact(txn, func(result kv.TransactionResult) {
		if result.Outcome != kv.Done || result.Malformed {
			m.env.After(tuning.StoreRetryDelay, func() { m.writingMarker = false })
			return
		}
		m.writingMarker = false
		m.storeRevision = max(m.storeRevision, result.Revision)
		done()
	})
}

// ObserveConfirmedToken notes that a machine's agent has taken this leader's token. A
// recorded one held none of another history.
func (m *Monitor) ObserveConfirmedToken(machine *cluster.Machine) {
	if machine.Recovered && machine.Agent.TokenConfirmed && !m.tokenConfirmed {
		m.tokenConfirmed = true
		m.env.RequestScheduling()
	}
}

// WithholdsStarts says whether a job must not start anything yet: attempts that no record has may
// run on machines whose agents have yet to report. Until one of them has shown its token,
// nobody knows.
func (m *Monitor) WithholdsStarts(job *cluster.Job) bool {
	if !job.Recovered || !m.env.Recovering() || !m.env.MachinesRecorded() {
		return false
	}
	unknown := !m.tokenConfirmed && m.state.Now().Sub(m.state.LeadingSince) < m.state.SilenceTimeout()
	return m.restoreProven || m.markerStored || unknown
}
