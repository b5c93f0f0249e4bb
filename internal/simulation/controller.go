package simulation

import (
	"fmt"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// controller is a process that runs a node.
type controller struct {
	w              *World
	name           string
	node           *coordination.Node
	life           int // counts the processes
	alive          bool
	linked         map[string]bool // peers to which there is a link
	nextID         uint64          // of requests from outside
	pendingReplies map[uint64]responseFunc
	refused        bool      // the key-value store refuses this node alone
	wakeAt         time.Time // when the node is to be stepped by its timer
	timerAt        time.Time // when the timer goes off, zero while it is not set
	backlog        backlog   // of a slow node
	busy           bool      // a slow node takes time for a batch
	callsInFlight  int       // calls to workers that this life of the process has under way
}

// startProcess starts the process anew.
func (c *controller) startProcess() {
	c.life++
	c.alive = true
	c.linked = map[string]bool{}
	c.pendingReplies = map[uint64]responseFunc{}
	c.node = coordination.New(c.w.config(c.name), c.w.log.With("node", c.name), c.w.rng.Uint64(), fmt.Sprintf("%s-%d", c.name, c.life))
	life := c.life
	var pollLinks func()
	pollLinks = func() {
		if c.alive && c.life == life {
			c.updateLinks()
			c.w.after(tuning.MinTimerInterval, pollLinks)
		}
	}
	c.w.after(c.w.between(0, tuning.MinTimerInterval), pollLinks)
	c.timerAt = time.Time{}
	c.backlog, c.busy, c.callsInFlight = backlog{}, false, 0
	c.setTimer(c.w.between(0, tuning.MinTimerInterval))
}

// setTimer has the node stepped after a while, unless something happens before: a
// timer that is set anew at every step, as the owner's is.
func (c *controller) setTimer(d time.Duration) {
	c.wakeAt = c.w.Now.Add(d)
	if c.timerAt.IsZero() || c.wakeAt.Before(c.timerAt) {
		c.armTimer()
	}
}

// armTimer has the timer go off when the node is to be stepped.
func (c *controller) armTimer() {
	life, at := c.life, c.wakeAt
	c.timerAt = at
	c.w.after(at.Sub(c.w.Now), func() {
		switch {
		case !c.alive || c.life != life || !c.timerAt.Equal(at):
		case c.w.Now.Before(c.wakeAt):
			c.armTimer()
		default:
			c.timerAt = time.Time{}
			c.step()
		}
	})
}

// crash ends the process without a signal; it is back after a while.
func (c *controller) crash(back time.Duration) {
	if !c.alive {
		return
	}
	c.alive = false
	c.w.after(back, c.startProcess)
}

// crashAll ends all controllers without a signal; they are back after a while.
func (w *World) crashAll(back time.Duration) {
	for _, c := range w.nodes {
		c.crash(back)
	}
}

// updateLinks finds out which peers have a link.
func (c *controller) updateLinks() {
	for _, o := range c.w.nodes {
		if o == c {
			continue
		}
		up := o.alive
		for _, k := range c.w.partitions {
			up = up && !k.match(c.name, o.name)
		}
		if up != c.linked[o.name] {
			c.linked[o.name] = up
			if up {
				c.step(coordination.PeerLinkUp{Peer: protocol.NodeName(o.name)})
			} else {
				c.step(coordination.PeerLinkDown{Peer: protocol.NodeName(o.name)})
			}
		}
	}
}

// ask hands the node a request from outside.
func (c *controller) ask(r request, answer responseFunc) {
	if !c.alive {
		return
	}
	c.nextID++
	c.pendingReplies[c.nextID] = answer
	c.step(r(c.nextID))
}

// step has the node take events. A slow node takes them when it has time.
func (c *controller) step(events ...coordination.Event) {
	if c.w.shape.Slow {
		c.backlog.add(events)
		c.processBatch()
		return
	}
	c.perform(c.node.Step(c.w.Now, events))
	c.setTimer(c.node.Due())
}

// perform does what the node wants done.
func (c *controller) perform(actions []coordination.Action) {
	c.w.steps++
	for _, a := range actions {
		if c.w.recorder != nil {
			c.w.recorder(c.name, a)
		}
		switch a := a.(type) {
		case coordination.Reply:
			if answer := c.pendingReplies[a.ID]; answer != nil {
				delete(c.pendingReplies, a.ID)
				answer(a.Status, a.Body)
			}
		case coordination.PeerSend:
			c.send(a)
		case coordination.Request:
			c.request(a)
		}
	}
}

// send sends a message to a peer, if there is a link and both releases know the message.
func (c *controller) send(a coordination.PeerSend) {
	if !c.canSend(a) {
		return
	}
	life := c.life
	for _, o := range c.w.nodes {
		if o.name != string(a.Peer) || !c.linked[o.name] {
			continue
		}
		to := o.life
		m := reencode(limitAnnouncement(a.Message, c.w.release[c.name], c.w.release[o.name]))
		c.w.transmit(c.name, o.name, func() {
			if o.alive && o.life == to {
				o.step(coordination.PeerReceive{Peer: protocol.NodeName(c.name), Link: uint64(life), Message: m})
			}
		})
	}
}

// request makes a request of an outside system.
func (c *controller) request(a coordination.Request) {
	life := c.life
	done := func(status int, body []byte) {
		if c.alive && c.life == life {
			c.step(coordination.Response{ID: a.ID, Status: status, Body: body})
		}
	}
	switch a.To {
	case coordination.ToCloud:
		c.w.call(c.name, cloudHost, a.Timeout, func(answer responseFunc) { c.w.cloud.serve(a.Method, a.Path, a.Body, answer) }, done)
	case coordination.ToAgent:
		c.callAgent(a, done)
	default:
		c.callStore(a, done)
	}
}

// callStore makes a request of the key-value store; version 0.2 drops new fields of what it
// reads.
func (c *controller) callStore(a coordination.Request, done responseFunc) {
	c.w.call(c.name, storeHost, a.Timeout, func(answer responseFunc) {
		if c.w.release[c.name] == release02 {
			whole := answer
			answer = func(status int, body []byte) { whole(status, dropNewFields(body)) }
		}
		c.w.store.serve(a.Method, a.Path, a.Body, c, answer)
	}, done)
}

// callAgent calls a worker and counts the calls under way.
func (c *controller) callAgent(a coordination.Request, done responseFunc) {
	c.w.calls++
	c.callsInFlight++
	c.w.maxConcurrentCalls = max(c.w.maxConcurrentCalls, c.callsInFlight)
	life := c.life
	c.w.call(c.name, a.Address, a.Timeout, func(answer responseFunc) {
		if agent := c.w.agents[protocol.MachineID(a.Address)]; agent != nil {
			agent.serve(a.Method, a.Path, a.Body, answer)
		}
	}, func(status int, body []byte) {
		if c.life == life {
			c.callsInFlight--
		}
		done(status, body)
	})
}
