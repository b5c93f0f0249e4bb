package reconcile

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// EndReason says by which condition a recovery phase ended.
type EndReason string

// The reasons.
const (
	// EndNothingStored: the records placed nothing and named no agent.
	EndNothingStored EndReason = "nothing stored"
	// EndAllAccountedFor: every agent that the records name has sent this leader a heartbeat
	// or is proven gone.
	EndAllAccountedFor EndReason = "all agents known"
	// EndLeasesExpired: the lease of every agent that stayed silent has surely expired.
	EndLeasesExpired EndReason = "leases expired"
)

// CommandCounts counts the commands that a leader sent in a phase.
type CommandCounts struct{ Starts, Stops, Forgets int }

// Summary is what a phase has found so far.
type Summary struct {
	Began            time.Time
	Ended            time.Time // zero while it lasts
	Reason           EndReason
	RecordedAgents   int // that the records name
	SilentAgents     int // of them, neither heard nor proven gone
	RecordedAttempts int // attempts that the records place
	Classes          [Classes]int
	Commands         CommandCounts
}

// Active says whether the phase lasts.
func (s *Summary) Active() bool { return s.Reason == "" }

// RecoveryPhase follows one recovery from a failover to its end. It only watches and counts:
// what is done about each difference is its class's resolution, in the phase and after.
type RecoveryPhase struct {
	summary         Summary
	leasesExpireAt  time.Time                       // when every silent agent's lease has expired
	silent          map[protocol.MachineID]struct{} // agents that are neither heard nor proven gone
	latestClass     map[Placement]Class             // of every attempt that was observed, its latest class
	incompleteGangs map[protocol.JobID]struct{}     // found incomplete
}

// NewRecoveryPhase makes a phase that is over and counts nothing until it begins.
func NewRecoveryPhase() *RecoveryPhase {
	return &RecoveryPhase{summary: Summary{Reason: EndNothingStored}}
}

// Begin begins the phase at a failover. From leasesExpireAt on the lease of any
// agent that this leader has not answered has surely expired; stored lists the attempts on
// every machine that the records name.
func (p *RecoveryPhase) Begin(now, leasesExpireAt time.Time, stored map[protocol.MachineID][]Attempt) {
	*p = RecoveryPhase{leasesExpireAt: leasesExpireAt, silent: make(map[protocol.MachineID]struct{}, len(stored)), latestClass: map[Placement]Class{}, incompleteGangs: map[protocol.JobID]struct{}{}}
	p.summary.Began, p.summary.RecordedAgents = now, len(stored)
	for machineID, attempts := range stored {
		p.silent[machineID] = struct{}{}
		for _, a := range attempts {
			p.summary.RecordedAttempts++
			p.count(Placement{a.ID, machineID}, NotYetReported)
		}
	}
	p.summary.SilentAgents = len(p.silent)
	if len(stored) == 0 {
		p.end(now, EndNothingStored)
	}
}

// Observe counts a difference. An attempt counts once, in its latest class; one that a
// heartbeat shows anew after its end was found keeps that class.
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

func (p *RecoveryPhase) count(at Placement, class Class) {
	before, known := p.latestClass[at]
	if known {
		if before != NotYetReported && (class == Matching || class == NotYetReported) {
			return // a difference that was found stays one
		}
		p.summary.Classes[before]--
	}
	p.latestClass[at] = class
	p.summary.Classes[class]++
}

// AgentAccountedFor notes that an agent has shown the leader's token, or is proven gone.
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

// Tick ends the phase once one of its conditions holds; true if that was now.
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

// Summary is what the phase has found so far.
func (p *RecoveryPhase) Summary() Summary { return p.summary }
