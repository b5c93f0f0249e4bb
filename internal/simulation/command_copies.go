package simulation

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// minCommandCopyDelay is the shortest delay of a copy of a call.
const minCommandCopyDelay = time.Second

// noteExecutedCall records a call that an agent has executed, or has a copy of it delivered late, if
// that is wanted.
func (w *World) noteExecutedCall(call executedCall) {
	if w.recordCommands {
		w.recordedCommands = append(w.recordedCommands, call)
	}
	if w.maxCommandCopyDelay > 0 && w.rng.Float64() < w.commandCopyShare {
		w.after(w.between(minCommandCopyDelay, w.maxCommandCopyDelay), func() { w.deliverCommandCopy(call) })
	}
}

// deliverCommandCopy delivers a copy of a call to the agent. The response is discarded.
func (w *World) deliverCommandCopy(call executedCall) {
	if agent := w.agents[call.machine]; agent != nil {
		w.log.Debug("copy of a call arrives", "machine", call.machine, "commands", string(call.body))
		agent.serve("POST", protocol.PathCommands, call.body, func(int, []byte) {})
	}
}
