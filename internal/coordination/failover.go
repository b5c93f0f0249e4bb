package coordination

import "github.com/gappond/gappond/internal/storage"

// startLeading makes this node the leader, with the state that the records hold.
func (n *Node) startLeading() {
	l := newLeader(n)
	n.ownLeader = l
	n.peers.TriggerHeartbeat()      // tells the peers its share of direct heartbeats
	n.machineTypes.requestRefresh() // fetches current prices, and updates the record of the types
	l.loader.LoadAll(&n.mirror.Mirror)
	if marker, ok := n.mirror.Get(storage.RestoreMarkerKey); ok {
		l.restoreMonitor.LoadMarker(marker)
	}
	l.beginRecovery()
	// The mirror returns jobs and machines in no particular order. What follows must not depend on
	// that order, so it goes through the jobs in the order of the queue.
	for _, job := range l.scheduler.Queue() {
		l.lifecycle.CheckEnded(job)
	}
	n.log.Info("started leading", "term", n.election.Term(), "jobs", len(l.cluster.Jobs), "machines", len(l.cluster.Machines))
}
