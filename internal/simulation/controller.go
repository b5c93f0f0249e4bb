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
	w       *World
	name    string
	node    *coordination.Node
	life    int
	alive   bool
	peers   map[string]bool
	nextID  uint64
	waiting map[uint64]func(status int, body []byte)
	refused bool      // the state service refuses this node alone
	wakeAt  time.Time // when the node is to be stepped by its timer
	timerAt time.Time // when that is looked at, zero while it is not
	backlog backlog   // of a slow node
	working bool
	calling int // calls to workers that this life of the process has under way
}

func (c *controller) boot() {
	c.life++
	c.alive = true
	c.peers = map[string]bool{}
	c.waiting = map[uint64]func(int, []byte){}
	c.node = coordination.New(c.w.config(c.name), c.w.log.With("node", c.name), c.w.rng.Uint64(), fmt.Sprintf("%s-%d", c.name, c.life))
	life := c.life
	var look func()
	look = func() {
		if c.alive && c.life == life {
			c.links()
			c.w.after(tuning.MinTimerInterval, look)
		}
	}
	c.w.after(c.w.between(0, tuning.MinTimerInterval), look)
	c.timerAt = time.Time{}
	c.backlog, c.working, c.calling = backlog{}, false, 0
	c.wake(c.w.between(0, tuning.MinTimerInterval))
}

// wake has the node stepped after a while, unless something happens before: a
// timer that is set anew at every step, as the owner's is.
func (c *controller) wake(d time.Duration) {
	c.wakeAt = c.w.Now.Add(d)
	if c.timerAt.IsZero() || c.wakeAt.Before(c.timerAt) {
		c.await()
	}
}

func (c *controller) await() {
	life, at := c.life, c.wakeAt
	c.timerAt = at
	c.w.after(at.Sub(c.w.Now), func() {
		switch {
		case !c.alive || c.life != life || !c.timerAt.Equal(at):
		case c.w.Now.Before(c.wakeAt):
			c.await()
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
	c.w.after(back, c.boot)
}

// links finds out which peers have a link.
func (c *controller) links() {
	for _, o := range c.w.nodes {
		if o == c {
			continue
		}
		up := o.alive
		for _, k := range c.w.cuts {
			up = up && !k.match(c.name, o.name)
		}
		if up != c.peers[o.name] {
			c.peers[o.name] = up
			if up {
				c.step(coordination.PeerUp{Peer: protocol.NodeName(o.name)})
			} else {
				c.step(coordination.PeerDown{Peer: protocol.NodeName(o.name)})
			}
		}
	}
}

// ask hands the node a request from outside.
func (c *controller) ask(event func(id uint64) coordination.Event, answer func(status int, body []byte)) {
	if !c.alive {
		return
	}
	c.nextID++
	c.waiting[c.nextID] = answer
	c.step(event(c.nextID))
}

// step has the node take events. A slow node takes them when it has time.
func (c *controller) step(events ...coordination.Event) {
	if c.w.shape.Slow {
		c.backlog.add(events)
		c.work()
		return
	}
	c.carryOut(c.node.Step(c.w.Now, events))
	c.wake(c.node.Due())
}

// carryOut does what the node wants done.
func (c *controller) carryOut(actions []coordination.Action) {
	life := c.life
	c.w.steps++
	for _, a := range actions {
		if c.w.recorder != nil {
			c.w.recorder(c.name, a)
		}
		switch a := a.(type) {
		case coordination.Reply:
			if answer := c.waiting[a.ID]; answer != nil {
				delete(c.waiting, a.ID)
				answer(a.Status, a.Body)
			}
		case coordination.PeerSend:
			if !c.maySend(a) {
				continue
			}
			for _, o := range c.w.nodes {
				if o.name == string(a.Peer) && c.peers[o.name] {
					to := o.life
					m := recode(announced(a.Message, c.w.release[c.name], c.w.release[o.name]))
					c.w.carry(c.name, o.name, func() {
						if o.alive && o.life == to {
							o.step(coordination.PeerReceive{Peer: protocol.NodeName(c.name), Link: uint64(life), Message: m})
						}
					})
				}
			}
		case coordination.Request:
			c.request(a, func(status int, body []byte) {
				if c.alive && c.life == life {
					c.step(coordination.Response{ID: a.ID, Status: status, Body: body})
				}
			})
		}
	}
}

func (c *controller) request(a coordination.Request, done func(status int, body []byte)) {
	to, handle := "state", func(answer func(int, []byte)) {
		if c.w.release[c.name] == release02 {
			whole := answer
			answer = func(status int, body []byte) { whole(status, withoutNewFields(body)) }
		}
		c.w.state.serve(a.Method, a.Path, a.Body, c, answer)
	}
	switch a.To {
	case coordination.ToCloud:
		to, handle = "cloud", func(answer func(int, []byte)) { c.w.cloud.serve(a.Method, a.Path, a.Body, answer) }
	case coordination.ToAgent:
		c.w.calls++
		c.calling++
		c.w.most = max(c.w.most, c.calling)
		answered, life := done, c.life
		done = func(status int, body []byte) {
			if c.life == life {
				c.calling--
			}
			answered(status, body)
		}
		to, handle = a.Address, func(answer func(int, []byte)) {
			if k := c.w.workers[protocol.MachineID(a.Address)]; k != nil {
				k.serve(a.Method, a.Path, a.Body, answer)
			}
		}
	}
	c.w.call(c.name, to, a.Timeout, handle, done)
}
