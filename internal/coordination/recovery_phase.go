package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/recovery"
	"github.com/gappond/gappond/internal/tuning"
)

// recoveryPhase is what a leader needs of package recovery to follow its recovery: what
// is found and ordered from the takeover until every worker that the records name is
// known or its lease has lapsed.
type recoveryPhase interface {
	Observe(d recovery.Difference)
	Known(machine protocol.MachineID)
	Ordered(op protocol.CommandKind)
	Tick(now time.Time) (ended bool)
	Summary() recovery.Summary
}

// noRecoveryPhase stands for the phase where the operators have it disabled.
type noRecoveryPhase struct{}

func (noRecoveryPhase) Observe(recovery.Difference) {}

func (noRecoveryPhase) Known(protocol.MachineID) {}

func (noRecoveryPhase) Ordered(protocol.CommandKind) {}

func (noRecoveryPhase) Tick(time.Time) bool { return false }

func (noRecoveryPhase) Summary() recovery.Summary {
	return recovery.Summary{Reason: recovery.EndNothingStored}
}

// beginRecovery begins the phase, when all records are read.
func (l *leader) beginRecovery() {
	if !l.n.cfg.Operator.RecoveryPhase && !l.restored.marked {
		l.recovery = noRecoveryPhase{}
		return
	}
	stored := make(map[protocol.MachineID][]recovery.Attempt, len(l.cluster.OrderedMachines))
	for _, machine := range l.cluster.OrderedMachines {
		stored[machine.ID] = l.stored.Attempts(machine.ID, nil)
	}
	lapse := l.lapseAt(&cluster.Machine{}).Add(tuning.MachineSweepInterval)
	l.recovery = recovery.Begin(l.n.now, lapse, stored)
	s := l.recovery.Summary()
	l.n.log.Info("recovery begins", "term", l.n.election.Term(), "workers", s.Workers, "stored", s.Stored, "jobs", len(l.cluster.Jobs), "until", lapse.Sub(l.n.now).Seconds())
}

// tickRecovery ends the phase when it is time.
func (l *leader) tickRecovery() {
	if !l.recovery.Tick(l.n.now) {
		return
	}
	l.plan = true // what was held may start
	s := l.recovery.Summary()
	attributes := []any{"term", l.n.election.Term(), "reason", string(s.Reason), "seconds", s.Ended.Sub(s.Began).Seconds(),
		"workers", s.Workers, "silent", s.Silent, "starts", s.Orders.Starts, "stops", s.Orders.Stops, "forgets", s.Orders.Forgets}
	for class, n := range s.Classes {
		attributes = append(attributes, recovery.Class(class).String(), n)
	}
	l.n.log.Info("recovery ends", attributes...)
}

// Recovering says whether the phase lasts.
func (l *leader) Recovering() bool {
	s := l.recovery.Summary()
	return s.Active()
}
