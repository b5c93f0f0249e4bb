package agents

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// forgottenAttempt identifies an attempt that an agent has forgotten.
type forgottenAttempt struct {
	machine     protocol.MachineID
	incarnation protocol.Incarnation
	id          cluster.AttemptID
}

// forgottenAttempts remembers which attempts agents have been told to forget and no longer report,
// and the token that the agent had shown then. An agent that reports such an attempt again has
// executed a late start. The oldest entries are dropped.
type forgottenAttempts struct {
	shown map[forgottenAttempt]protocol.Term
	order []forgottenAttempt // a ring
	next  int                // index of the oldest entry once the ring is full
}

func newForgottenAttempts() forgottenAttempts {
	return forgottenAttempts{shown: map[forgottenAttempt]protocol.Term{}}
}

// add remembers an attempt of a machine that its agent has forgotten.
func (f *forgottenAttempts) add(machine *cluster.Machine, id cluster.AttemptID) {
	attempt := forgottenAttempt{machine.ID, machine.Agent.Incarnation, id}
	if len(f.order) < tuning.MaxRememberedForgets {
		f.order = append(f.order, attempt)
	} else {
		delete(f.shown, f.order[f.next])
		f.order[f.next] = attempt
		f.next = (f.next + 1) % len(f.order)
	}
	f.shown[attempt] = machine.Agent.Token
}

// take reports whether a machine's agent has forgotten an attempt, and the token that it had shown
// then. It returns each attempt once.
func (f *forgottenAttempts) take(machine *cluster.Machine, id cluster.AttemptID) (shown protocol.Term, forgotten bool) {
	attempt := forgottenAttempt{machine.ID, machine.Agent.Incarnation, id}
	shown, forgotten = f.shown[attempt]
	delete(f.shown, attempt)
	return shown, forgotten
}
