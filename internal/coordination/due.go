package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/tuning"
)

// Due is how long the node need not be woken if nothing happens: until then no
// timer of its own is due. A wake-up costs a process several system calls, so
// that ten of them a second were a tenth of the smallest controllers' time.
// Timers are kept to the tick, so that what is due at about the same time is
// done in one.
func (n *Node) Due() time.Duration {
	due := n.now.Add(tuning.MaxTimerInterval)
	by := func(t time.Time) {
		if t.Before(due) {
			due = t
		}
	}
	for _, t := range n.timers {
		by(t.at)
	}
	n.mirror.Due(by)
	if n.mirror.Ready() {
		by(n.storeAccess.nextProbeAt())
	}
	n.machineTypes.due(by)
	n.election.Due(by)
	n.peers.Due(by)
	n.forwarder.Due(by, n.router.Queued())
	n.api.Due(by)
	if n.mayAct() {
		n.ownLeader.due(by)
	}
	return max(due.Sub(n.now), tuning.MinTimerInterval)
}

// due tells when the leader has something to do.
func (l *leader) due(by func(time.Time)) {
	by(l.nextSweepAt)
	if l.schedulingRequested {
		by(l.nextCycleAt)
	}
	by(l.nextCycleAt.Add(tuning.MaxSchedulingInterval))
	if at, due := l.committer.NextCommit(); due {
		by(at)
	}
	if len(l.agents.Delivery.Pending()) > 0 {
		by(l.n.now)
	}
}
