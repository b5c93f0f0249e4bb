package simulation

import (
	"fmt"
	"net/http"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// controller is a simulated process that runs a node.
type controller struct {
	w              *World
	name           string
	node           *coordination.Node
	generation     int // of the process; grows with each start
	alive          bool
	started        release         // the release that the process runs since its start
	linked         map[string]bool // peers with a link to this node
	nextID         uint64          // of external requests
	pendingReplies map[uint64]responseFunc
	refused        bool      // the key-value store refuses this node's requests
	wakeAt         time.Time // when the node must be stepped next if no event arrives
	timerAt        time.Time // when the timer fires; zero while it is not set
	backlog        backlog   // of a slow controller
	busy           bool      // a slow controller is processing a batch
	callsInFlight  int       // calls to agents that this process has in flight
}

// startProcess starts a new process of the controller.
func (c *controller) startProcess() {
	c.generation++
	c.alive = true
	c.linked = map[string]bool{}
	c.pendingReplies = map[uint64]responseFunc{}
	c.node = coordination.New(c.w.config(c.name), c.w.log.With("node", c.name), c.w.rng.Uint64(), fmt.Sprintf("%s-%d", c.name, c.generation))
	generation := c.generation
	var pollLinks func()
	pollLinks = func() {
		if c.alive && c.generation == generation {
			c.updateLinks()
			c.w.after(tuning.MinTimerInterval, pollLinks)
		}
	}
	c.w.after(c.w.between(0, tuning.MinTimerInterval), pollLinks)
	c.w.after(0, func() { c.started = c.w.release[c.name] })
	c.timerAt = time.Time{}
	c.backlog, c.busy, c.callsInFlight = backlog{}, false, 0
	c.setTimer(c.w.between(0, tuning.MinTimerInterval))
}

// setTimer has the node stepped after d. Each step sets the timer again, as the event loop of a
// real controller does.
func (c *controller) setTimer(d time.Duration) {
	c.wakeAt = c.w.Now.Add(d)
	if c.timerAt.IsZero() || c.wakeAt.Before(c.timerAt) {
		c.armTimer()
	}
}

// armTimer sets the timer to fire at wakeAt.
func (c *controller) armTimer() {
	generation, at := c.generation, c.wakeAt
	c.timerAt = at
	c.w.after(at.Sub(c.w.Now), func() {
		switch {
		case !c.alive || c.generation != generation || !c.timerAt.Equal(at):
		case c.w.Now.Before(c.wakeAt):
			c.armTimer()
		default:
			c.timerAt = time.Time{}
			c.step()
		}
	})
}

// crash ends the process without a signal. It starts again after downtime.
func (c *controller) crash(downtime time.Duration) {
	if !c.alive {
		return
	}
	c.alive = false
	c.w.after(downtime, c.startProcess)
}

// crashAll ends all controllers without a signal. They start again after downtime.
func (w *World) crashAll(downtime time.Duration) {
	for _, c := range w.nodes {
		c.crash(downtime)
	}
}

// updateLinks tells the node which links to peers have come up or gone down.
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

// ask passes an external request to the node, if the process is up.
func (c *controller) ask(r request, respond responseFunc) {
	if !c.alive {
		return
	}
	c.nextID++
	event := r(c.nextID)
	c.pendingReplies[c.nextID] = c.w.answers.note(c, event, respond)
	c.step(event)
}

// step passes events to the node. A slow controller processes them when it has time.
func (c *controller) step(events ...coordination.Event) {
	if c.w.shape.Slow {
		c.backlog.add(events)
		c.processBatch()
		return
	}
	c.perform(c.node.Step(c.w.Now, events))
	c.setTimer(c.node.Due())
}

// perform carries out the actions that the node returned.
func (c *controller) perform(actions []coordination.Action) {
	c.w.steps++
	for _, a := range actions {
		if c.w.recorder != nil {
			c.w.recorder(c.name, a)
		}
		switch a := a.(type) {
		case coordination.Reply:
			if respond := c.pendingReplies[a.ID]; respond != nil {
				delete(c.pendingReplies, a.ID)
				a = a.At(c.w.Now)
				respond(a.Status, a.Body)
			}
		case coordination.PeerSend:
			c.send(a)
		case coordination.Request:
			c.request(a)
		}
	}
}

// send sends a message to a peer if there is a link to it and the node's release supports the
// message.
func (c *controller) send(a coordination.PeerSend) {
	if !c.canSend(a) {
		return
	}
	generation := c.generation
	for _, o := range c.w.nodes {
		if o.name != string(a.Peer) || !c.linked[o.name] {
			continue
		}
		peerGeneration := o.generation
		m := reencode(limitAnnouncement(a.Message, c.w.release[c.name], c.w.release[o.name]))
		c.w.transmit(c.name, o.name, func() {
			if o.alive && o.generation == peerGeneration {
				o.step(coordination.PeerReceive{Peer: protocol.NodeName(c.name), Link: uint64(generation), Message: m})
			}
		})
	}
}

// request makes a request of an external system.
func (c *controller) request(a coordination.Request) {
	generation := c.generation
	done := func(status int, body []byte) {
		if c.alive && c.generation == generation {
			c.step(coordination.Response{ID: a.ID, Status: status, Body: body})
		}
	}
	switch a.To {
	case coordination.ToCloud:
		c.w.call(c.name, cloudHost, a.Timeout, func(respond responseFunc) { c.w.cloud.serve(a.Method, a.Path, a.Body, respond) }, done)
	case coordination.ToAgent:
		c.callAgent(a, done)
	default:
		c.callStore(a, done)
	}
}

// callStore makes a request of the key-value store. A node of version 0.2 drops newer fields from
// what it reads.
func (c *controller) callStore(a coordination.Request, done responseFunc) {
	c.w.call(c.name, storeHost, a.Timeout, func(respond responseFunc) {
		if c.w.release[c.name] == release02 {
			respondInFull := respond
			respond = func(status int, body []byte) { respondInFull(status, dropNewFields(body)) }
		}
		c.w.store.serve(a.Method, a.Path, a.Body, c, respond)
	}, done)
}

// callAgent calls an agent and counts the calls in flight.
func (c *controller) callAgent(a coordination.Request, done responseFunc) {
	c.w.calls++
	c.callsInFlight++
	c.w.maxConcurrentCalls = max(c.w.maxConcurrentCalls, c.callsInFlight)
	generation := c.generation
	c.w.call(c.name, a.Address, a.Timeout, func(respond responseFunc) {
		machine := protocol.MachineID(a.Address)
		if agent := c.w.agents[machine]; agent != nil {
			agent.serve(a.Method, a.Path, a.Body, func(status int, body []byte) {
				if status == http.StatusOK && a.Path == protocol.PathCommands {
					c.w.noteExecutedCall(executedCall{machine, a.Body})
				}
				respond(status, body)
			})
		}
	}, func(status int, body []byte) {
		if c.generation == generation {
			c.callsInFlight--
		}
		done(status, body)
	})
}
