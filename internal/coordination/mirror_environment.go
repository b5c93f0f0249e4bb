package coordination

import (
	"strings"
	"time"

	"github.com/gappond/gappond/internal/coordination/membership"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// mirrorEnvironment implements mirror.Environment.
type mirrorEnvironment struct{ n *Node }

// Now implements mirror.Environment.
func (me mirrorEnvironment) Now() time.Time { return me.n.now }

// Leading implements mirror.Environment.
func (me mirrorEnvironment) Leading() bool { return me.n.ownLeader != nil }

// LeaseCondition implements mirror.Environment.
func (me mirrorEnvironment) LeaseCondition() protocol.Condition { return me.n.election.Condition() }

// Diverged implements mirror.Environment.
func (me mirrorEnvironment) Diverged(reason string) { me.n.election.StepDown(reason) }

// Loaded implements mirror.Environment: the machine types and the leader lease are read.
func (me mirrorEnvironment) Loaded() {
	n := me.n
	n.machineTypes.loadRecorded()
	entry, ok := n.mirror.Get(storage.LeaderKey)
	if !ok {
		n.election.ObserveRelease()
		return
	}
	n.election.ObserveLease(entry.Value, entry.Revision)
}

// Changed implements mirror.Environment: others' writes are counted, and each change goes to
// whom it concerns.
func (me mirrorEnvironment) Changed(event *protocol.WatchEvent) {
	n := me.n
	isWrite := event.Set != ""
	if isWrite && !n.isOwnWrite(event) {
		n.budgets.countWrite(n.now)
	}
	key := event.Set + event.Delete
	switch {
	case key == storage.LeaderKey && isWrite:
		n.election.ObserveLease(event.Value, event.Revision)
	case key == storage.LeaderKey:
		n.election.ObserveRelease()
	case membership.IsRelayKey(key):
		n.peers.ReceiveRelayed(event)
	case n.ownLeader != nil:
		n.ownLeader.loader.ObserveChange(event)
	}
}

// isOwnWrite says whether a record was written by this life of this node.
func (n *Node) isOwnWrite(event *protocol.WatchEvent) bool {
	return strings.HasPrefix(storage.Writer(event.Value), n.boot+"-")
}
