package coordination

import (
	"hash/fnv"
	"maps"
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
	link   uint64 // the newest link from it
	level  uint64 // what it has announced on that link that it knows
}

// carried is a request that was sent on to a sibling.
type carried struct {
	reply  uint64
	expire time.Time
}

// delegated is a call that a sibling makes for the leader.
type delegated struct {
	done   func(status int, body []byte)
	expire time.Time
}

// contact is what a node remembers of a worker that reports to it.
type contact struct {
	term    uint64    // of the leader at that time
	sent    time.Time // when it was sent to another node, zero if it was not
	fronted time.Time // when this node last answered it for the leader as its front
}

// parked is a report that came while nobody was known to lead.
type parked struct {
	id     uint64
	report *protocol.Report
	expire time.Time
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
	late := !n.now.Before(n.expireAt)
	if len(n.parked) > 0 && (late || n.leaderKnown()) {
		n.unpark()
	}
	if late {
		n.expireAt = n.now.Add(tuning.ExpireEvery)
		for id, c := range n.carried {
			if n.now.After(c.expire) {
				delete(n.carried, id)
				n.refuse(c.reply, "leader does not answer")
			}
		}
		for _, id := range slices.Sorted(maps.Keys(n.delegated)) {
			if d, ok := n.delegated[id]; ok && n.now.After(d.expire) {
				delete(n.delegated, id)
				d.done(0, nil)
			}
		}
	}
	if n.now.Before(n.beatAt) {
		return
	}
	n.beatAt = n.now.Add(tuning.PeerBeat)
	for name, c := range n.contacts {
		if n.now.Sub(c.sent) > tuning.RelayMemory && n.now.Sub(c.fronted) > tuning.RelayMemory {
			delete(n.contacts, name)
		}
	}
	status := protocol.PeerStatus{Term: n.claim.stamp, Leader: n.claim.holder, StateOK: n.now.Sub(n.served) < tuning.ServedLately, Links: n.links()}
	if n.lead != nil {
		status.Keeps = n.lead.keeps()
	}
	for _, s := range n.cfg.Siblings {
		p := n.peers[s.Name]
		if p.up && n.now.Sub(p.heard) > 2*tuning.PeerSilent {
			p.heard = n.now // one reset at a time
			n.out = append(n.out, PeerReset{Peer: s.Name})
		} else if p.up {
			n.out = append(n.out, PeerSend{Peer: s.Name, Message: protocol.Announcement(s.Name)}, PeerSend{Peer: s.Name, Message: status})
		}
	}
}

func (n *Node) peerReceive(from string, link uint64, m protocol.PeerMessage) {
	p := n.peers[from]
	if p == nil {
		return
	}
	p.heard = n.now
	if link > p.link {
		p.link, p.level = link, 0 // another process perhaps, and an older version
	}
	if level, ok := protocol.Announced(m); ok {
		if link == p.link {
			p.level = level // one held back on an earlier link says nothing of this one
		}
		return
	}
	switch m := m.(type) {
	case protocol.PeerHello:
	case protocol.PeerStatus:
		p.status = m
	case protocol.PeerAsk:
		n.vouch(from, m)
	case protocol.PeerVouch:
		n.vouchedFor(from, m)
	default:
		n.deliver(m)
	}
}

// allKnow says whether every controller has announced a level on its newest link.
func (n *Node) allKnow(level uint64) bool {
	for _, p := range n.peers {
		if p.level < level {
			return false
		}
	}
	return true
}

// tellCancelled tells the leader of a cancellation that is in the records, so that
// it need not wait for its watch, or for the state service to serve it again.
func (n *Node) tellCancelled(job string) {
	if n.lead != nil {
		n.lead.cancelledElsewhere(job)
		return
	}
	to := n.claim.holder
	if p := n.peers[to]; p != nil && p.level >= protocol.PeerKnowsCancelled && n.reach(to) {
		n.out = append(n.out, PeerSend{Peer: to, Message: protocol.PeerCancelled{Job: job}})
	}
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
	case protocol.PeerCall:
		n.callFor(m)
	case protocol.PeerCancelled:
		if n.lead != nil {
			n.lead.cancelledElsewhere(m.Job)
		}
	case protocol.PeerAnswer:
		if m.Target != n.cfg.Name {
			m.Hops++
			n.passOn(m.Target, m.Hops, m)
			return
		}
		if d, ok := n.delegated[m.ID]; ok {
			delete(n.delegated, m.ID)
			d.done(int(m.Status), m.Body)
		} else if c, ok := n.carried[m.ID]; ok {
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

// keeps is how many of a thousand workers the leader answers itself: all if its
// share of a core and of sockets can pay for them, else a part of what it could
// pay for, so that planning has the rest. The others' reports come over the
// controllers' links, many in one read.
func (l *leader) keeps() uint64 {
	r := l.n.cfg.Cluster.Resources
	if r.Cores <= 0 || len(l.roster) == 0 || len(l.n.cfg.Siblings) == 0 {
		return tuning.KeepsAll
	}
	most := r.Cores * tuning.ReportShare / tuning.ReportCost.Seconds() * l.n.cfg.Cluster.Workers.ReportS
	if r.FDLimit > 0 {
		most = min(most, float64(r.FDLimit)*tuning.KeptSockets)
	}
	fleet := float64(len(l.roster))
	// A fleet about as large as the limit must not come and go.
	l.spreading = fleet > most || l.spreading && fleet > most*tuning.SpreadUntil
	if !l.spreading {
		return tuning.KeepsAll
	}
	// In steps, so that few workers change their front as the fleet grows.
	return uint64(min(most*tuning.KeepsPart/fleet, 1)*tuning.KeepsSteps) * tuning.KeepsAll / tuning.KeepsSteps
}

// spreads says whether the siblings do a part of the leader's dealings with
// workers.
func (l *leader) spreads() bool { return l.keeps() < tuning.KeepsAll }

// front is the node that answers a worker when all links are there: the leader
// for as many workers as it keeps, the others in equal parts for the rest. All
// nodes reckon the same.
func (n *Node) front(machine, leader string, keeps uint64) string {
	h := fnv.New32a()
	h.Write([]byte(machine))
	sum := uint64(h.Sum32())
	if sum%tuning.KeepsAll < keeps || len(n.names) < 2 {
		return leader
	}
	at := sum / tuning.KeepsAll % uint64(len(n.names)-1)
	if n.names[at] >= leader {
		at++ // the leader is left out
	}
	return n.names[at]
}

// whole says whether every link between controllers that this node knows of is
// there.
func (n *Node) whole() bool {
	links := n.links()
	if len(links) < len(n.cfg.Siblings) {
		return false
	}
	for _, name := range links {
		if len(n.peers[name].status.Links) < len(n.cfg.Siblings) {
			return false
		}
	}
	return true
}

// routeReport answers a worker's report if this node leads; otherwise the
// leader's answer is fetched or the worker is sent to it.
func (n *Node) routeReport(id uint64, r *protocol.Report) {
	n.forward(id, r, n.now.Add(tuning.RelayTimeout))
}

// forward does so for a report that must be answered by a certain time.
func (n *Node) forward(id uint64, r *protocol.Report, expire time.Time) {
	if n.claim.term != 0 && n.lead != nil {
		if front := n.front(r.Machine, n.cfg.Name, n.lead.keeps()); front != n.cfg.Name && !n.sentLately(r.Machine) && n.whole() && n.mayMove() {
			n.sendAway(id, r, front)
			return
		}
		status, body := n.takeReport(r)
		n.reply(id, status, body)
		return
	}
	leader := n.claim.holder
	if !n.leaderKnown() {
		if to := n.leaderTold(); to != "" && !n.sentLately(r.Machine) {
			n.sendAway(id, r, to)
			return
		}
		// The worker would try one node after the other, a second each, until one
		// leads; all of them at once cost the time that an election needs.
		n.parked = append(n.parked, parked{id, r, expire})
		return
	}
	if to := n.redirection(r.Machine, leader); to != "" {
		n.sendAway(id, r, to)
		return
	}
	n.nextID++
	if !n.sendTo(leader, protocol.PeerReport{ID: n.nextID, Origin: n.cfg.Name, Target: leader, Report: r}) {
		n.reply(id, 421, protocol.Redirect{})
		return
	}
	n.carried[n.nextID] = carried{reply: id, expire: expire}
}

// redirection is the node that a worker should rather report to, "" if this one
// fetches the leader's answer for it.
func (n *Node) redirection(machine, leader string) string {
	c := n.contacts[machine]
	if n.sentLately(machine) {
		return ""
	}
	if !n.reach(leader) {
		if n.now.Sub(c.fronted) < tuning.RelayMemory && n.mayMove() {
			// It is here for the leader's sake, and may well reach it. All at once would
			// be more connections than the leader can open; mail carries some meanwhile.
			return leader
		}
		return ""
	}
	if n.torn(leader) {
		return ""
	}
	s := n.peers[leader].status
	if s.Term != n.claim.stamp || s.Leader != leader {
		return "" // it has yet to say how many it keeps
	}
	to := n.front(machine, leader, s.Keeps)
	switch {
	case s.Keeps >= tuning.KeepsAll:
	case to == n.cfg.Name, !n.whole(), !n.mayMove():
		// It stays here: the front may be what is missing, or others move first.
		c.fronted = n.now
		n.contacts[machine] = c
		return ""
	}
	return to
}

// mayMove says whether one more worker may be sent to its front now. After all
// controllers were lost every worker is somewhere, and answering it there costs
// less than the connection that it would open elsewhere: moves have their part of
// the processor time, so that they do not take the time of an election.
// A leader pays nothing for a move that an answer would not cost, and has all of
// its siblings to take the workers in.
func (n *Node) mayMove() bool {
	if n.lead != nil {
		return n.sheds.AllowN(n.now, 1)
	}
	return n.moves.AllowN(n.now, 1)
}

// sentLately says whether a worker was sent to another node lately and came back:
// it cannot reach that one then. After a while it is sent again, for the cut may be
// over, and answering it here costs more.
func (n *Node) sentLately(machine string) bool {
	c := n.contacts[machine]
	return !c.sent.IsZero() && c.term == n.claim.stamp && n.now.Sub(c.sent) < tuning.RelayMemory
}

// sendAway sends a worker to another node.
func (n *Node) sendAway(id uint64, r *protocol.Report, to string) {
	n.contacts[r.Machine] = contact{term: n.claim.stamp, sent: n.now}
	n.reply(id, 421, protocol.Redirect{ReportTo: to})
}

// leaderKnown says whether somebody leads, as far as this node knows.
func (n *Node) leaderKnown() bool {
	return n.lead != nil || n.claim.holder != "" && n.claim.holder != n.cfg.Name
}

// leaderTold is the leader that some sibling knows of while this node, which has
// just started or cannot read the state service, does not; "" if none does.
func (n *Node) leaderTold() string {
	if n.mirror.Ready() {
		return ""
	}
	for _, name := range n.links() {
		if l := n.peers[name].status.Leader; l != "" && l != n.cfg.Name {
			return l
		}
	}
	return ""
}

// unpark routes the reports that waited for a leader once there is one, and
// sends the workers on that have waited long enough.
func (n *Node) unpark() {
	waiting := n.parked
	n.parked = nil
	for _, p := range waiting {
		switch {
		case n.leaderKnown():
			n.forward(p.id, p.report, p.expire)
		case n.now.After(p.expire):
			n.reply(p.id, 503, protocol.ErrorBody{Error: "no leader known"})
		default:
			n.parked = append(n.parked, p)
		}
	}
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
