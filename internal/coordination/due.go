package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/tuning"
)

// Due returns how long the node need not be stepped if no event arrives: none of its timers is due
// earlier. A wake-up costs the process several system calls: ten wake-ups a second take a tenth of
// the CPU time of the smallest controllers. The result is never shorter than
// MinTimerInterval, so that timers that are due at about the same time share a wake-up.
func (n *Node) Due() time.Duration {
	due := n.now.Add(tuning.MaxTimerInterval)
	wakeBy := func(t time.Time) {
		if t.Before(due) {
			due = t
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
		n.ownLeader.due(wakeBy)
	}
	return max(due.Sub(n.now), tuning.MinTimerInterval)
}

// due calls wakeBy with each time at which the leader has something to do.
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
