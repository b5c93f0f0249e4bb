package coordination

import "github.com/gappond/gappond/internal/storage"

// startLeading begins to lead with what the records say.
func (n *Node) startLeading() {
	l := newLeader(n)
	n.ownLeader = l
	n.peers.TriggerHeartbeat()      // the peers learn how many agents it keeps
	n.machineTypes.requestRefresh() // today's prices, and a record of the types if there is none
	l.loader.LoadAll(&n.mirror.Mirror)
	if marker, ok := n.mirror.Get(storage.RestoreMarkerKey); ok {
		l.restoreMonitor.LoadMarker(marker)
	}
	l.beginRecovery()
	// Jobs and machines come out of the mirror in no order; what follows must
	// not depend on that.
	for _, job := range l.scheduler.Queue() {
		l.lifecycle.CheckEnded(job)
	}
	n.log.Info("leading", "term", n.election.Term(), "jobs", len(l.cluster.Jobs), "machines", len(l.cluster.Machines))
}
