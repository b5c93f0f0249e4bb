package coordination

import (
	"slices"
	"time"

	"github.com/gappond/gappond/internal/bookkeeping"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// peer is a sibling as this node sees it.
type peer struct {
	up     bool
	heard  time.Time
	status protocol.PeerStatus
}

// carried is a request that was sent on to a sibling.
type carried struct {
	reply  uint64
	expire time.Time
}

// redirect is when a worker was sent to which leader.
type redirect struct {
	term uint64
	at   time.Time
}

// carriedIn is a request that a sibling sent on to this node.
type carriedIn struct {
	origin string
	id     uint64
}

// carriedID marks the ids of carried requests, which the transport does not
// know.
const carriedID = 1 << 63

// What a user's carried request asks for.
const (
	verbSubmit = "submit"
	verbQuery  = "query"
	verbCancel = "cancel"
)

// handOver sends a user's request on to a sibling that the state service
// serves while it does not serve this node.
func (n *Node) handOver(id uint64, r protocol.PeerRequest) bool {
	return n.now.Sub(n.served) >= tuning.ServedLately && n.sendOn(id, r)
}

// sendOn sends a user's request on to a sibling that the state service serves,
// to each in turn. What a sibling sent here goes no further.
func (n *Node) sendOn(id uint64, r protocol.PeerRequest) bool {
	if id&carriedID != 0 {
		return false
	}
	list := slices.DeleteFunc(n.links(), func(name string) bool { return !n.peers[name].status.StateOK })
	if len(list) == 0 {
		return false
	}
	n.nextID++
	r.ID, r.Origin, r.Target = n.nextID, n.cfg.Name, list[n.nextID%uint64(len(list))]
	n.carried[r.ID] = carried{reply: id, expire: n.now.Add(tuning.UserDeadline)}
	return n.sendTo(r.Target, r)
}

// takeRequest answers a user's request that a sibling sent on.
func (n *Node) takeRequest(m protocol.PeerRequest) {
	n.nextID++
	id := n.nextID | carriedID
	n.carriedIn[id] = carriedIn{m.Origin, m.ID}
	switch m.Verb {
	case verbSubmit:
		j, err := protocol.ParseJob(m.Body)
		if err != nil {
			n.reply(id, 400, protocol.ErrorBody{Error: err.Error()})
			return
		}
		n.submit(id, j)
	case verbQuery:
		n.query(id, m.Job)
	case verbCancel:
		n.cancel(id, m.Job)
	default:
		n.refuse(id, "unknown request")
	}
}

func (n *Node) peerUp(name string) {
	if p := n.peers[name]; p != nil {
		p.up, p.heard = true, n.now
		n.beatAt = time.Time{}
	}
}

func (n *Node) peerDown(name string) {
	if p := n.peers[name]; p != nil {
		p.up = false
	}
}

// reach says whether the link to a sibling is there and alive.
func (n *Node) reach(name string) bool {
	p := n.peers[name]
	return p != nil && p.up && n.now.Sub(p.heard) < tuning.PeerSilent
}

// links lists the siblings within reach, in order of their names.
func (n *Node) links() []string {
	var l []string
	for _, s := range n.cfg.Siblings {
		if n.reach(s.Name) {
			l = append(l, s.Name)
		}
	}
	slices.Sort(l)
	return l
}

// route finds the sibling to hand a message for target to: the target itself,
// or a third controller that reaches it. "" if there is none.
func (n *Node) route(target string) string {
	if n.reach(target) {
		return target
	}
	for _, name := range n.links() {
		if slices.Contains(n.peers[name].status.Links, target) {
			return name
		}
	}
	return ""
}

func (n *Node) sendTo(target string, m protocol.PeerMessage) bool {
	via := n.route(target)
	if via == "" {
		return n.post(target, m)
	}
	n.out = append(n.out, PeerSend{Peer: via, Message: m})
	return true
}

func (n *Node) tickPeers() {
	if len(n.carried) > 0 && !n.now.Before(n.expireAt) {
		n.expireAt = n.now.Add(tuning.ExpireEvery)
		for id, c := range n.carried {
			if n.now.After(c.expire) {
				delete(n.carried, id)
				n.refuse(c.reply, "leader does not answer")
			}
		}
	}
	if n.now.Before(n.beatAt) {
		return
	}
	n.beatAt = n.now.Add(tuning.PeerBeat)
	for name, sent := range n.redirected {
		if n.now.Sub(sent.at) > tuning.RelayMemory {
			delete(n.redirected, name)
		}
	}
	status := protocol.PeerStatus{Term: n.claim.stamp, Leader: n.claim.holder, StateOK: n.now.Sub(n.served) < tuning.ServedLately, Links: n.links()}
	for _, s := range n.cfg.Siblings {
		p := n.peers[s.Name]
		if p.up && n.now.Sub(p.heard) > 2*tuning.PeerSilent {
			p.heard = n.now // one reset at a time
			n.out = append(n.out, PeerReset{Peer: s.Name})
		} else if p.up {
			n.out = append(n.out, PeerSend{Peer: s.Name, Message: status})
		}
	}
}

func (n *Node) peerReceive(from string, m protocol.PeerMessage) {
	p := n.peers[from]
	if p == nil {
		return
	}
	p.heard = n.now
	if m, ok := m.(protocol.PeerStatus); ok {
		p.status = m
		return
	}
	n.deliver(m)
}

// deliver takes a message that came over a link or by mail.
func (n *Node) deliver(m protocol.PeerMessage) {
	switch m := m.(type) {
	case protocol.PeerReport:
		if m.Target != n.cfg.Name {
			m.Hops++
			n.passOn(m.Target, m.Hops, m)
			return
		}
		status, body := n.takeReport(m.Report)
		n.sendTo(m.Origin, protocol.PeerAnswer{ID: m.ID, Target: m.Origin, Status: uint64(status), Body: bookkeeping.Encode(body)})
	case protocol.PeerRequest:
		n.takeRequest(m)
	case protocol.PeerAnswer:
		if m.Target != n.cfg.Name {
			m.Hops++
			n.passOn(m.Target, m.Hops, m)
			return
		}
		if c, ok := n.carried[m.ID]; ok {
			delete(n.carried, m.ID)
			r := Reply{ID: c.reply, Status: int(m.Status), Body: m.Body}
			if r.Status == 503 {
				r.RetryAfter = time.Second
			}
			n.answer(r)
		}
	}
}

// passOn carries a message between two siblings, unless it goes in circles.
func (n *Node) passOn(target string, hops uint64, m protocol.PeerMessage) {
	if hops <= tuning.PeerHops {
		n.sendTo(target, m)
	}
}

// torn says whether a sibling that this node reaches is out of the leader's
// reach: the network has a cut, and workers behind it cannot reach the leader.
func (n *Node) torn(leader string) bool {
	for _, name := range n.links() {
		if name != leader && !slices.Contains(n.peers[leader].status.Links, name) {
			return true
		}
	}
	return false
}

// routeReport answers a worker's report if this node leads. Otherwise it sends
// the worker to the leader; one that was sent and came back cannot reach the
// leader, and its reports are carried.
func (n *Node) routeReport(id uint64, r *protocol.Report) {
	if n.claim.term != 0 && n.lead != nil {
		status, body := n.takeReport(r)
		n.reply(id, status, body)
		return
	}
	leader := n.claim.holder
	if leader == "" || leader == n.cfg.Name {
		n.reply(id, 503, protocol.ErrorBody{Error: "no leader known"})
		return
	}
	// One that is carried is sent to the leader again after a while: the cut that
	// it was behind may be over, and carrying costs two controllers' time.
	sent, known := n.redirected[r.Machine]
	again := known && sent.term == n.claim.stamp && n.now.Sub(sent.at) < tuning.RelayMemory
	if n.reach(leader) && !n.torn(leader) && !again {
		n.redirected[r.Machine] = redirect{n.claim.stamp, n.now}
		n.reply(id, 421, protocol.Redirect{ReportTo: leader})
		return
	}
	n.nextID++
	if !n.sendTo(leader, protocol.PeerReport{ID: n.nextID, Origin: n.cfg.Name, Target: leader, Report: r}) {
		n.reply(id, 421, protocol.Redirect{})
		return
	}
	n.carried[n.nextID] = carried{reply: id, expire: n.now.Add(tuning.RelayTimeout)}
}

// takeReport is the leader's answer to a report, carried or not.
func (n *Node) takeReport(r *protocol.Report) (status int, body any) {
	if n.lead == nil || !n.entitled() {
		return 421, protocol.Redirect{}
	}
	if r.Token > n.claim.term {
		// Somebody else has the right to command by now.
		n.stepDown("a worker has seen a higher token")
		return 421, protocol.Redirect{}
	}
	if n.claim.unproven {
		return 503, protocol.ErrorBody{Error: "not sure to lead"}
	}
	commands, ok := n.lead.report(r, true)
	if !ok {
		return 503, protocol.ErrorBody{Error: "an older report"}
	}
	return 200, protocol.ReportAnswer{Token: n.claim.term, Commands: commands}
}
