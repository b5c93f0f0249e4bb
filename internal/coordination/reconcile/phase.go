package reconcile

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// EndReason says by which condition a recovery phase ended.
type EndReason string

// The reasons.
const (
	// EndNothingStored: the records placed nothing and named no worker.
	EndNothingStored EndReason = "nothing stored"
	// EndAllKnown: every worker that the records name has reported to this leader or is
	// proven gone.
	EndAllKnown EndReason = "all workers known"
	// EndLeasesLapsed: the lease of every worker that stayed silent has surely lapsed.
	EndLeasesLapsed EndReason = "leases lapsed"
)

// Orders counts the orders that a leader gave in a phase.
type Orders struct{ Starts, Stops, Forgets int }

// Summary is what a phase has found so far.
type Summary struct {
	Began   time.Time
	Ended   time.Time // zero while it lasts
	Reason  EndReason
	Workers int // that the records name
	Silent  int // of them, neither heard nor proven gone
	Stored  int // attempts that the records place
	Classes [Classes]int
	Orders  Orders
}

// Active says whether the phase lasts.
func (s *Summary) Active() bool { return s.Reason == "" }

// Phase follows one recovery from a takeover to its end. It only watches and counts:
// what is done about each difference is its class's resolution, in the phase and after.
type Phase struct {
	summary Summary
	lapse   time.Time                       // when every silent worker's lease has lapsed
	silent  map[protocol.MachineID]struct{} // workers that are neither heard nor proven gone
	classes map[Placement]Class             // of every attempt that was observed, its latest class
	gangs   map[protocol.JobID]struct{}     // found incomplete
}

// NewPhase makes a phase that is over and counts nothing until it begins.
func NewPhase() *Phase { return &Phase{summary: Summary{Reason: EndNothingStored}} }

// Begin begins the phase at a failover. lapse is the moment from which the lease of any
// worker that this leader has not answered has surely lapsed; stored lists the attempts
// of every worker that the records name.
func (p *Phase) Begin(now, lapse time.Time, stored map[protocol.MachineID][]Attempt) {
	*p = Phase{lapse: lapse, silent: make(map[protocol.MachineID]struct{}, len(stored)), classes: map[Placement]Class{}, gangs: map[protocol.JobID]struct{}{}}
	p.summary.Began, p.summary.Workers = now, len(stored)
	for machineID, attempts := range stored {
		p.silent[machineID] = struct{}{}
		for _, a := range attempts {
			p.summary.Stored++
			p.count(Placement{a.ID, machineID}, NotYetReported)
		}
	}
	p.summary.Silent = len(p.silent)
	if len(stored) == 0 {
		p.end(now, EndNothingStored)
	}
}

// Observe counts a difference. An attempt counts once, in its latest class; one that a
// report shows anew after its end was found keeps that class.
func (p *Phase) Observe(d Difference) {
	switch {
	case !p.summary.Active():
	case d.Class == GangIncomplete:
		if _, known := p.gangs[d.ID.Job]; !known {
			p.gangs[d.ID.Job] = struct{}{}
			p.summary.Classes[GangIncomplete]++
		}
	default:
		p.count(Placement{d.ID, d.Machine}, d.Class)
	}
}

func (p *Phase) count(at Placement, class Class) {
	before, known := p.classes[at]
	if known {
		if before != NotYetReported && (class == Matching || class == NotYetReported) {
			return // a difference that was found stays one
		}
		p.summary.Classes[before]--
	}
	p.classes[at] = class
	p.summary.Classes[class]++
}

// Known notes that a worker has shown the leader's token, or is proven gone.
func (p *Phase) Known(machineID protocol.MachineID) {
	delete(p.silent, machineID)
	p.summary.Silent = len(p.silent)
}

// Ordered counts an order to a worker.
func (p *Phase) Ordered(op protocol.CommandKind) {
	if !p.summary.Active() {
		return
	}
	switch op {
	case protocol.CommandStart:
		p.summary.Orders.Starts++
	case protocol.CommandStop:
		p.summary.Orders.Stops++
	case protocol.CommandForget:
		p.summary.Orders.Forgets++
	}
}

// Tick ends the phase once one of its conditions holds; true if that was now.
func (p *Phase) Tick(now time.Time) (ended bool) {
	switch {
	case !p.summary.Active():
		return false
	case len(p.silent) == 0:
		p.end(now, EndAllKnown)
	case now.After(p.lapse):
		p.end(now, EndLeasesLapsed)
	default:
		return false
	}
	return true
}

func (p *Phase) end(now time.Time, reason EndReason) {
	p.summary.Ended, p.summary.Reason = now, reason
	p.classes, p.gangs = nil, nil
}

// Summary is what the phase has found so far.
func (p *Phase) Summary() Summary { return p.summary }
