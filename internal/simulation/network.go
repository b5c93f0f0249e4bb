package simulation

import (
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// answerFunc takes the answer to a request: its HTTP status, 0 if none came in time, and its
// body.
type answerFunc func(status int, body []byte)

// cut is an interruption between hosts. Packets are held and delivered in
// order at its end, or lost.
type cut struct {
	match func(a, b string) bool
	hold  bool
	held  []func()
}

// carry takes a packet from one host to another.
func (w *World) carry(from, to string, deliver func()) {
	w.after(w.between(200*time.Microsecond, 4*time.Millisecond), func() { w.arrive(from, to, deliver) })
}

func (w *World) arrive(from, to string, deliver func()) {
	for _, c := range w.cuts {
		if c.match(from, to) {
			if c.hold {
				c.held = append(c.held, func() { w.arrive(from, to, deliver) })
			}
			return
		}
	}
	deliver()
}

// interrupt cuts hosts off from each other for a while.
func (w *World) interrupt(d time.Duration, hold bool, match func(a, b string) bool) {
	c := &cut{hold: hold, match: func(a, b string) bool { return match(a, b) || match(b, a) }}
	w.cuts = append(w.cuts, c)
	w.after(d, func() { w.mend(c) })
}

// blockInbound lets nothing through to a machine for a while, though what it sends
// arrives.
func (w *World) blockInbound(id string, d time.Duration, hold bool) {
	c := &cut{hold: hold, match: func(_, b string) bool { return b == id }}
	w.cuts = append(w.cuts, c)
	w.after(d, func() { w.mend(c) })
}

// mend ends a cut; what was held is delivered in order.
func (w *World) mend(c *cut) {
	w.cuts = slices.DeleteFunc(slices.Clone(w.cuts), func(o *cut) bool { return o == c })
	for _, deliver := range c.held {
		deliver()
	}
}

// isolate cuts a controller off from the state service and the other
// controllers, but not from its workers.
func (w *World) isolate(c *controller, d time.Duration, hold bool) {
	w.interrupt(d, hold, func(a, b string) bool {
		return a == c.name && (b == "state" || slices.ContainsFunc(w.nodes, func(o *controller) bool { return o.name == b }))
	})
}

// call makes a request from one host to another. handle gets it whenever it
// arrives, even if the caller has given up; done gets one answer.
func (w *World) call(from, to string, timeout time.Duration, handle func(answer answerFunc), done answerFunc) {
	answered := false
	finish := func(status int, body []byte) {
		if !answered {
			answered = true
			done(status, body)
		}
	}
	w.carry(from, to, func() {
		handle(func(status int, body []byte) {
			w.carry(to, from, func() { finish(status, body) })
		})
	})
	w.after(timeout, func() { finish(0, nil) })
}

// reach makes a request of a worker or user to a controller.
func (w *World) reach(from string, node int, timeout time.Duration, event request, done answerFunc) {
	if w.live != nil {
		w.live.ask(node, timeout, event(0), done)
		return
	}
	c := w.nodes[node]
	w.call(from, c.name, timeout, func(answer answerFunc) {
		if k := w.workers[protocol.MachineID(from)]; k == nil || !k.mute {
			c.ask(event, answer)
		}
	}, done)
}

// inDifferentZones matches packets between hosts of two zones.
func (w *World) inDifferentZones(a, b string) bool {
	return w.zoneOf[a] != w.zoneOf[b] && w.zoneOf[a] != "" && w.zoneOf[b] != ""
}

// aroundZone matches packets between a zone and everything outside it.
func (w *World) aroundZone(zone protocol.ZoneName) func(a, b string) bool {
	return func(a, b string) bool { return (w.zoneOf[a] == zone) != (w.zoneOf[b] == zone) }
}

// fromHost matches packets that a host sends.
func fromHost(host string) func(a, b string) bool {
	return func(a, _ string) bool { return a == host }
}
