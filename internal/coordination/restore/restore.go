// Package restore detects that the key-value store was restored to an older state, and recovers
// the cluster from it.
//
// A fencing token is a revision of the store. An agent whose token is higher than the leader's
// term has normally been in contact with a later leader. But if the store confirms that the term
// is still the newest, the token comes from a discarded history: from revisions that the restore
// rolled back. Such an agent accepts no command, and its lease expires. So the leader raises the
// store's revision above the highest token that it has seen, if that is possible within half a
// lease, and steps down, so that the next term is above it. The agents then accept the new token
// and keep their tasks. Otherwise the leader deletes their machines once their leases have
// expired.
//
// Attempts that were placed in the discarded history are in no record. So no job submitted
// before this leader's term starts anything until every recorded agent is accounted for or its
// lease has expired. The marker in the store makes every later leader wait in the same way.
// Writing it is also what raises the revision.
//
// The package writes only the marker.
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

// Store is the key-value store as this leader uses it. Once the leader has stepped down, done
// is no longer called.
type Store interface {
	Transact(txn protocol.Transaction, done func(kv.TransactionResult))
	// WriteBudget returns the leader's share of the store's limit on changes.
	WriteBudget() *rate.Limiter
}

// Environment is what the Monitor needs from the leader.
type Environment interface {
	// After calls do once the pause has passed, unless the leader has stepped down by then.
	After(pause time.Duration, do func())
	// UniqueName returns a name that no other request or record has.
	UniqueName() string
	// RequestScheduling requests that a scheduling cycle runs soon.
	RequestScheduling()
	// StepDown ends this leader's term.
	StepDown(reason string)
	// Recovering reports whether the recovery after the failover is still active.
	Recovering() bool
	// LeaseExpiresAt returns the time by which a machine's agent has certainly ended its
	// tasks.
	LeaseExpiresAt(machine *cluster.Machine) time.Time
	// DeleteMachine deletes a machine in the cloud.
	DeleteMachine(machine *cluster.Machine, reason string)
	// MachinesRecorded reports whether there are any machine records.
	MachinesRecorded() bool
}

// Monitor checks the fencing tokens of agents for tokens from a discarded history, and handles
// a restored store.
type Monitor struct {
	state *cluster.State
	store Store
	env   Environment
	log   *slog.Logger
	term  protocol.Term

	tokenConfirmed bool // a recorded agent has accepted this leader's token
	markerStored   bool
	restoreProven  bool              // a restore was proven in this term
	highestToken   protocol.Term     // highest agent token seen; reset to the term to repeat confirmTerm
	storeRevision  protocol.Revision // latest revision known of the store
	confirmingTerm bool              // the check whether the term is still the newest is in flight
	writingMarker  bool
}

// NewMonitor returns the monitor for one term.
func NewMonitor(term protocol.Term, state *cluster.State, store Store, env Environment, log *slog.Logger) *Monitor {
	return &Monitor{state: state, store: store, env: env, log: log, term: term}
}

// LoadMarker loads the marker of an earlier leader that found the store restored.
func (m *Monitor) LoadMarker(marker protocol.Entry) {
	m.markerStored = true
	m.log.Error("store was restored to an older state, recorded jobs wait until all agents are accounted for", "record", string(marker.Value))
}

// HasMarker reports whether the marker is stored.
func (m *Monitor) HasMarker() bool { return m.markerStored }

// ObserveHigherToken handles a heartbeat with a token above this leader's term. Its agent would
// ignore any response.
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

// confirmTerm checks with the store that this leader's term is still the newest.
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
			m.log.Error("store was restored to an older state: an agent holds a token that the store never issued",
				"machine", machineID, "token", m.highestToken, "revision", result.Revision, "term", m.term)
			m.restoreProven, m.storeRevision = true, result.Revision
		default:
			m.highestToken = m.term // the next heartbeat with a higher token repeats the check
		}
	})
}

// leaseConditions returns the conditions that make a transaction fail if this leader no longer
// leads.
func (m *Monitor) leaseConditions() []protocol.Condition {
	return []protocol.Condition{{Key: storage.LeaderKey, Revision: protocol.Revision(m.term)}}
}

// reachableToken returns the highest agent token above which the revision can be raised within
// half a lease, or 0 if there is none. Tokens beyond reach are left out, so that a single
// implausibly high one costs only its own machine.
func (m *Monitor) reachableToken() (token protocol.Term) {
	changes := m.state.Config.Cluster.Store.WriteRPS * m.state.Config.Cluster.Agents.LeaseS / 2
	for _, machine := range m.state.OrderedMachines {
		if machine.Agent.HigherToken <= protocol.Term(m.storeRevision)+protocol.Term(changes) {
			token = max(token, machine.Agent.HigherToken)
		}
	}
	return token
}

// Tick takes the next step of handling a restored store. It raises the revision and, once the
// revision has reached the agents' tokens, steps down for a new term. Machines whose agents hold
// a token beyond reach are deleted. After the recovery it removes the marker.
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
			m.deleteMachinesWithUnreachableToken()
		case protocol.Term(m.storeRevision) >= token:
			m.env.StepDown("agents hold higher tokens, the next term is above them")
		default:
			m.raiseRevision()
		}
	}
}

// deleteMachinesWithUnreachableToken deletes the machines whose agents hold a token that the
// revision cannot reach, once their leases have expired. When all of them are gone, no token from
// a discarded history is left.
func (m *Monitor) deleteMachinesWithUnreachableToken() {
	remaining := false
	for _, machine := range m.state.OrderedMachines {
		if machine.Agent.HigherToken <= m.term {
			continue
		}
		remaining = true
		if m.state.Now().After(m.env.LeaseExpiresAt(machine)) {
			m.env.DeleteMachine(machine, "its agent holds a token that no term can reach")
		}
	}
	if !remaining {
		m.restoreProven, m.highestToken = false, m.term
	}
}

// raiseRevision writes the marker: every write raises the store's revision. It is repeated as
// fast as half of the write budget allows.
func (m *Monitor) raiseRevision() {
	budget, now := m.store.WriteBudget(), m.state.Now()
	if m.writingMarker || budget.TokensAt(now) < float64(budget.Burst())/2 {
		return
	}
	budget.AllowN(now, 1)
	marker := storage.RestoreMarker{Writer: m.env.UniqueName(), Token: m.highestToken}
	m.writeMarker(protocol.Change{Set: storage.RestoreMarkerKey, Value: storage.Encode(marker)}, func() {
		m.markerStored = true
		m.Tick()
	})
}

// removeMarker deletes the marker after the recovery has ended.
func (m *Monitor) removeMarker() {
	if m.writingMarker || !m.store.WriteBudget().AllowN(m.state.Now(), 1) {
		return
	}
	m.writeMarker(protocol.Change{Delete: storage.RestoreMarkerKey}, func() { m.markerStored = false })
}

// writeMarker sets or deletes the marker, on condition that this leader still leads. done is
// called after success.
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

// ObserveConfirmedToken notes that a machine's agent has accepted this leader's token. If the
// machine was recorded, this shows that its agent held no token from a discarded history.
func (m *Monitor) ObserveConfirmedToken(machine *cluster.Machine) {
	if machine.Recovered && machine.Agent.TokenConfirmed && !m.tokenConfirmed {
		m.tokenConfirmed = true
		m.env.RequestScheduling()
	}
}

// WithholdsStarts reports whether a job must not start anything yet. If the store was restored,
// recorded jobs may have attempts that are in no record and that run on machines whose agents
// have yet to report. Whether the store was restored is unknown until a recorded agent has
// accepted this leader's token, or until the leader has led for the silence timeout.
func (m *Monitor) WithholdsStarts(job *cluster.Job) bool {
	if !job.Recovered || !m.env.Recovering() || !m.env.MachinesRecorded() {
		return false
	}
	unconfirmed := !m.tokenConfirmed && m.state.Now().Sub(m.state.LeadingSince) < m.state.SilenceTimeout()
	return m.restoreProven || m.markerStored || unconfirmed
}
