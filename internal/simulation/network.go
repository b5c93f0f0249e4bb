package simulation

import (
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// responseFunc takes the answer to a request: its HTTP status, 0 if none came in time, and its
// body.
type responseFunc func(status int, body []byte)

// Names in the network of the outside systems.
const (
	storeHost = "state"
	cloudHost = "cloud"
)

// packetHandling is what becomes of the packets that a cut keeps from passing.
type packetHandling bool

// Packets at a cut are lost, or held and delivered in order at its end.
const (
	packetsDropped packetHandling = false
	packetsHeld    packetHandling = true
)

func (f packetHandling) String() string {
	if f == packetsHeld {
		return "packets held"
	}
	return "packets lost"
}

// partition is an interruption between hosts.
type partition struct {
	match func(from, to string) bool
	fate  packetHandling
	held  []func()
}

// network carries packets between hosts, each after a random time, and lets none through a
// cut.
type network struct {
	time       *timeline
	zoneOf     map[string]protocol.ZoneName // of hosts
	partitions []*partition
}

// transmit takes a packet from one host to another.
func (n *network) transmit(from, to string, deliver func()) {
	n.time.after(n.time.between(200*time.Microsecond, 4*time.Millisecond), func() { n.arrive(from, to, deliver) })
}

// arrive delivers a packet unless a cut keeps it from passing.
func (n *network) arrive(from, to string, deliver func()) {
	for _, c := range n.partitions {
		if c.match(from, to) {
			if c.fate == packetsHeld {
				c.held = append(c.held, func() { n.arrive(from, to, deliver) })
			}
			return
		}
	}
	deliver()
}

// disconnect cuts hosts off from each other for a while.
func (n *network) disconnect(d time.Duration, fate packetHandling, match func(a, b string) bool) {
	n.addPartition(d, &partition{fate: fate, match: func(a, b string) bool { return match(a, b) || match(b, a) }})
}

// blockInbound lets nothing through to a machine for a while, though what it sends
// arrives.
func (n *network) blockInbound(id protocol.MachineID, d time.Duration, fate packetHandling) {
	n.addPartition(d, &partition{fate: fate, match: func(_, to string) bool { return to == string(id) }})
}

// addPartition has a cut stand for a while.
func (n *network) addPartition(d time.Duration, c *partition) {
	n.partitions = append(n.partitions, c)
	n.time.after(d, func() { n.heal(c) })
}

// heal ends a cut; what was held is delivered in order.
func (n *network) heal(c *partition) {
	n.partitions = slices.DeleteFunc(slices.Clone(n.partitions), func(o *partition) bool { return o == c })
	for _, deliver := range c.held {
		deliver()
	}
}

// inDifferentZones matches packets between hosts of two zones.
func (n *network) inDifferentZones(a, b string) bool {
	return n.zoneOf[a] != n.zoneOf[b] && n.zoneOf[a] != "" && n.zoneOf[b] != ""
}

// acrossZoneBoundary matches packets between a zone and everything outside it.
func (n *network) acrossZoneBoundary(zone protocol.ZoneName) func(a, b string) bool {
	return func(a, b string) bool { return (n.zoneOf[a] == zone) != (n.zoneOf[b] == zone) }
}

// fromHost matches packets that a host sends.
func fromHost(host string) func(a, b string) bool {
	return func(a, _ string) bool { return a == host }
}

// call makes a request from one host to another. handle gets it whenever it
// arrives, even if the caller has given up; done gets one answer.
func (n *network) call(from, to string, timeout time.Duration, handle func(answer responseFunc), done responseFunc) {
	answered := false
	finish := func(status int, body []byte) {
		if !answered {
			answered = true
			done(status, body)
		}
	}
	n.transmit(from, to, func() {
		handle(func(status int, body []byte) {
			n.transmit(to, from, func() { finish(status, body) })
		})
	})
	n.time.after(timeout, func() { finish(0, nil) })
}

// isolate cuts a controller off from the key-value store and the other
// controllers, but not from its workers.
func (w *World) isolate(c *controller, d time.Duration, fate packetHandling) {
	w.disconnect(d, fate, func(a, b string) bool {
		return a == c.name && (b == storeHost || slices.ContainsFunc(w.nodes, func(o *controller) bool { return o.name == b }))
	})
}

// callController makes a request of a worker or user to a controller.
func (w *World) callController(from string, node int, timeout time.Duration, event request, done responseFunc) {
	if w.loopback != nil {
		w.loopback.ask(node, timeout, event(0), done)
		return
	}
	c := w.nodes[node]
	w.call(from, c.name, timeout, func(answer responseFunc) {
		if agent := w.agents[protocol.MachineID(from)]; agent == nil || !agent.opensNoConnections {
			c.ask(event, answer)
		}
	}, done)
}
