package simulation

import (
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// responseFunc takes the response to a request: its HTTP status, 0 if no response came in time,
// and its body.
type responseFunc func(status int, body []byte)

// Host names of the external systems.
const (
	storeHost = "state"
	cloudHost = "cloud"
)

// packetHandling says what happens to the packets that a partition stops.
type packetHandling bool

// Packets stopped by a partition are dropped, or held and delivered in order when it ends.
const (
	packetsDropped packetHandling = false
	packetsHeld    packetHandling = true
)

func (h packetHandling) String() string {
	if h == packetsHeld {
		return "packets held"
	}
	return "packets dropped"
}

// partition stops the packets that match selects.
type partition struct {
	match    func(from, to string) bool
	handling packetHandling
	held     []func()
}

// network delivers packets between hosts, each after a random delay, unless a partition stops
// them.
type network struct {
	time       *timeline
	zoneOf     map[string]protocol.ZoneName // by host
	partitions []*partition
}

// transmit sends a packet from one host to another.
func (n *network) transmit(from, to string, deliver func()) {
	n.time.after(n.time.between(200*time.Microsecond, 4*time.Millisecond), func() { n.arrive(from, to, deliver) })
}

// arrive delivers a packet unless a partition stops it.
func (n *network) arrive(from, to string, deliver func()) {
	for _, c := range n.partitions {
		if c.match(from, to) {
			if c.handling == packetsHeld {
				c.held = append(c.held, func() { n.arrive(from, to, deliver) })
			}
			return
		}
	}
	deliver()
}

// disconnect stops the packets that match selects, in both directions, for the time d.
func (n *network) disconnect(d time.Duration, handling packetHandling, match func(a, b string) bool) {
	n.addPartition(d, &partition{handling: handling, match: func(a, b string) bool { return match(a, b) || match(b, a) }})
}

// blockInbound stops all packets to a machine for the time d. Packets that the machine sends
// still arrive.
func (n *network) blockInbound(id protocol.MachineID, d time.Duration, handling packetHandling) {
	n.addPartition(d, &partition{handling: handling, match: func(_, to string) bool { return to == string(id) }})
}

// addPartition adds a partition that ends after d.
func (n *network) addPartition(d time.Duration, c *partition) {
	n.partitions = append(n.partitions, c)
	n.time.after(d, func() { n.heal(c) })
}

// heal ends a partition and delivers the held packets in order.
func (n *network) heal(c *partition) {
	n.partitions = slices.DeleteFunc(slices.Clone(n.partitions), func(o *partition) bool { return o == c })
	for _, deliver := range c.held {
		deliver()
	}
}

// inDifferentZones matches packets between hosts in different zones.
func (n *network) inDifferentZones(a, b string) bool {
	return n.zoneOf[a] != n.zoneOf[b] && n.zoneOf[a] != "" && n.zoneOf[b] != ""
}

// acrossZoneBoundary returns a function that matches packets between a zone and all hosts outside
// it.
func (n *network) acrossZoneBoundary(zone protocol.ZoneName) func(a, b string) bool {
	return func(a, b string) bool { return (n.zoneOf[a] == zone) != (n.zoneOf[b] == zone) }
}

// fromHost returns a function that matches packets that a host sends.
func fromHost(host string) func(a, b string) bool {
	return func(a, _ string) bool { return a == host }
}

// call makes a request from one host to another. handle is called when the request arrives, even
// if the caller has timed out by then. done is called once: with the response, or with status 0
// after the timeout.
func (n *network) call(from, to string, timeout time.Duration, handle func(respond responseFunc), done responseFunc) {
	responded := false
	finish := func(status int, body []byte) {
		if !responded {
			responded = true
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

// isolate disconnects a controller from the key-value store and the other controllers, but not
// from its agents.
func (w *World) isolate(c *controller, d time.Duration, handling packetHandling) {
	w.disconnect(d, handling, func(a, b string) bool {
		return a == c.name && (b == storeHost || slices.ContainsFunc(w.nodes, func(o *controller) bool { return o.name == b }))
	})
}

// callController makes a request of an agent or user to a controller.
func (w *World) callController(from string, node int, timeout time.Duration, r request, done responseFunc) {
	if w.loopback != nil {
		w.loopback.ask(node, timeout, r(0), done)
		return
	}
	c := w.nodes[node]
	w.call(from, c.name, timeout, func(respond responseFunc) {
		agent := w.agents[protocol.MachineID(from)]
		if agent != nil && agent.opensNoConnections {
			return
		}
		if agent != nil && agent.losesResponses {
			respond = func(int, []byte) {}
		}
		c.ask(r, respond)
	}, done)
}
