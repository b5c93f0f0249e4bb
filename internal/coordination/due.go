package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/tuning"
)

// TimeUntilWakeUp is how long the node need not be woken if nothing happens: until then no
// timer of its own is due. A wake-up costs a process several system calls, so
// that ten of them a second were a tenth of the smallest controllers' time.
// Timers are kept to the tick, so that what is due at about the same time is
// done in one.
func (n *Node) TimeUntilWakeUp() time.Duration {
	wakeAt := n.now.Add(tuning.MaxTimerInterval)
	wakeBy := func(t time.Time) {
		if t.Before(wakeAt) {
			wakeAt = t
		}
	}
	for _, t := range n.timers {
		wakeBy(t.at)
	}
	n.mirror.Due(wakeBy)
	if n.mirror.Ready() {
		wakeBy(n.storeAccess.nextProbeAt())
	}
	n.machineTypes.due(wakeBy)
	n.election.Due(wakeBy)
	n.peers.Due(wakeBy)
	n.forwarder.Due(wakeBy, n.router.Queued())
	n.api.Due(wakeBy)
	if n.mayAct() {
		n.leader.due(wakeBy)
	}
	return max(wakeAt.Sub(n.now), tuning.MinTimerInterval)
}

// due tells when the leader has something to do.
func (l *leader) due(wakeBy func(time.Time)) {
	wakeBy(l.nextSweepAt)
	if l.schedulingRequested {
		wakeBy(l.nextCycleAt)
	}
	wakeBy(l.nextCycleAt.Add(tuning.MaxSchedulingInterval))
	if at, due := l.committer.NextCommit(); due {
		wakeBy(at)
	}
	if len(l.agents.Delivery.Pending()) > 0 {
		wakeBy(l.n.now)
	}
}
