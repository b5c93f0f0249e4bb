package reconcile

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// EndReason is the condition that ended a recovery phase.
type EndReason string

// The reasons.
const (
	// EndNothingStored: the records contained neither attempts nor machines.
	EndNothingStored EndReason = "nothing stored"
	// EndAllAccountedFor: every agent that the records name has shown this leader's token
	// or is proven gone.
	EndAllAccountedFor EndReason = "all agents accounted for"
	// EndLeasesExpired: the lease of every agent that stayed silent has certainly expired.
	EndLeasesExpired EndReason = "leases expired"
)

// CommandCounts counts the commands that a leader sent during a recovery phase.
type CommandCounts struct{ Starts, Stops, Forgets int }

// Summary is the state of a recovery phase.
type Summary struct {
	Began            time.Time
	Ended            time.Time // zero while the phase is active
	Reason           EndReason
	RecordedAgents   int          // agents that the records name
	SilentAgents     int          // recorded agents that are not accounted for
	RecordedAttempts int          // attempts that the records place on machines
	Classes          [Classes]int // number of attempts by class; of gangs for GangIncomplete
	Commands         CommandCounts
}

// Active reports whether the phase has not ended.
func (s *Summary) Active() bool { return s.Reason == "" }

// RecoveryPhase follows one recovery from the failover to its end. It only observes and counts:
// differences are resolved according to their class, in the same way during the phase and
// after it.
type RecoveryPhase struct {
	summary         Summary
	leasesExpireAt  time.Time                       // by then the lease of every silent agent has expired
	silent          map[protocol.MachineID]struct{} // recorded agents that are not accounted for
	latestClass     map[Placement]Class             // of every stored or observed attempt
	incompleteGangs map[protocol.JobID]struct{}     // gangs that are counted as incomplete
}

// NewRecoveryPhase returns a phase that has ended. It counts nothing until Begin is called.
func NewRecoveryPhase() *RecoveryPhase {
	return &RecoveryPhase{summary: Summary{Reason: EndNothingStored}}
}

// Begin starts the phase at a failover. After leasesExpireAt the lease of any agent to which this
// leader has not responded has certainly expired. stored lists the attempts on every machine
// that the records name.
func (p *RecoveryPhase) Begin(now, leasesExpireAt time.Time, stored map[protocol.MachineID][]Attempt) {
	*p = RecoveryPhase{leasesExpireAt: leasesExpireAt, silent: make(map[protocol.MachineID]struct{}, len(stored)), latestClass: map[Placement]Class{}, incompleteGangs: map[protocol.JobID]struct{}{}}
	p.summary.Began, p.summary.RecordedAgents = now, len(stored)
	for machineID, attempts := range stored {
		p.silent[machineID] = struct{}{}
		for _, attempt := range attempts {
			p.summary.RecordedAttempts++
			p.count(Placement{attempt.ID, machineID}, NotYetReported)
		}
	}
	p.summary.SilentAgents = len(p.silent)
	if len(stored) == 0 {
		p.end(now, EndNothingStored)
	}
}

// Observe counts a difference. Each attempt counts once, in its latest class. A difference
// once found is not replaced by Matching or NotYetReported: those are the classes that later
// heartbeats give the attempt after its resolution.
func (p *RecoveryPhase) Observe(d Difference) {
	switch {
	case !p.summary.Active():
	case d.Class == GangIncomplete:
		if _, known := p.incompleteGangs[d.ID.Job]; !known {
			p.incompleteGangs[d.ID.Job] = struct{}{}
			p.summary.Classes[GangIncomplete]++
		}
	default:
		p.count(Placement{d.ID, d.Machine}, d.Class)
	}
}

func (p *RecoveryPhase) count(placement Placement, class Class) {
	previous, known := p.latestClass[placement]
	if known {
		if previous != NotYetReported && (class == Matching || class == NotYetReported) {
			return // keep the difference that was found
		}
		p.summary.Classes[previous]--
	}
	p.latestClass[placement] = class
	p.summary.Classes[class]++
}

// AgentAccountedFor notes that an agent has shown the leader's token or is proven gone.
func (p *RecoveryPhase) AgentAccountedFor(machineID protocol.MachineID) {
	delete(p.silent, machineID)
	p.summary.SilentAgents = len(p.silent)
}

// CommandSent counts a command to an agent.
func (p *RecoveryPhase) CommandSent(kind protocol.CommandKind) {
	if !p.summary.Active() {
		return
	}
	switch kind {
	case protocol.CommandStart:
		p.summary.Commands.Starts++
	case protocol.CommandStop:
		p.summary.Commands.Stops++
	case protocol.CommandForget:
		p.summary.Commands.Forgets++
	}
}

// Tick ends the phase if one of its end conditions holds, and reports whether it ended now.
func (p *RecoveryPhase) Tick(now time.Time) (ended bool) {
	switch {
	case !p.summary.Active():
		return false
	case len(p.silent) == 0:
		p.end(now, EndAllAccountedFor)
	case now.After(p.leasesExpireAt):
		p.end(now, EndLeasesExpired)
	default:
		return false
	}
	return true
}

func (p *RecoveryPhase) end(now time.Time, reason EndReason) {
	p.summary.Ended, p.summary.Reason = now, reason
	p.latestClass, p.incompleteGangs = nil, nil
}

// Summary returns the present state of the phase.
func (p *RecoveryPhase) Summary() Summary { return p.summary }
