package simulation

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
)

// agent is a stand-in for a machine's agent.
type agent struct {
	w                  *World
	host               *host
	incarnation        protocol.Incarnation
	sequence           protocol.Sequence
	token              protocol.Term
	leaseRenewedAt     time.Time // when the last accepted heartbeat was sent, or the incarnation began
	tasks              map[string]*agentTask
	images             map[string]bool
	controllerIndex    int
	inFlight           bool
	heartbeatDue       time.Time // when the next heartbeat is due if nothing changes
	lastSent           time.Time
	changed            bool // since the last heartbeat was sent
	timer              *tickTimer
	dead               bool
	hung               bool
	heldPackets        []func() // handlers of what arrives while the machine hangs
	preemptionNoticeS  *float64
	failsTasks         bool
	failedTasks        int           // tasks that have failed because of failsTasks
	opensNoConnections bool          // the agent's heartbeats reach no controller
	losesResponses     bool          // the agent's heartbeats arrive, but no response to them does
	callDelay          time.Duration // how late calls reach the agent
	delayedCalls       int           // calls that were held up because of callDelay
	tokenReportedAt    time.Time     // when a higher token last caused an early heartbeat
}

func newAgent(w *World, h *host) *agent {
	agent := &agent{w: w, host: h, incarnation: 1, leaseRenewedAt: w.Now, tasks: map[string]*agentTask{}, images: map[string]bool{}, controllerIndex: w.rng.IntN(len(w.nodes))}
	agent.heartbeatDue = w.Now.Add(w.between(0, secs(w.shape.Agents.ReportS)))
	agent.timer = newTickTimer(w, agent.tick)
	agent.setTimer()
	return agent
}

// minHeartbeatGap is the minimum time between two heartbeats.
const minHeartbeatGap = 500 * time.Millisecond

// tick ends an expired lease and sends a heartbeat that is due.
func (a *agent) tick() {
	if a.dead {
		return
	}
	if a.w.Now.After(a.leaseEnd()) {
		a.expireLease()
	}
	if a.canSendHeartbeat() && !a.w.Now.Before(a.nextHeartbeat()) {
		a.heartbeatDue = a.w.Now.Add(a.w.between(secs(a.w.shape.Agents.ReportS*0.75), secs(a.w.shape.Agents.ReportS*1.25)))
		a.sendHeartbeat()
	}
	a.setTimer()
}

// setTimer sets the timer to the next deadline. It must be called whenever the next deadline moves
// to an earlier time.
func (a *agent) setTimer() {
	due := a.leaseEnd().Add(1) // a lease has expired only after its end
	if next := a.nextHeartbeat(); a.canSendHeartbeat() && next.Before(due) {
		due = next
	}
	a.timer.wakeBy(due)
}

// leaseEnd returns the end of the machine's lease.
func (a *agent) leaseEnd() time.Time { return a.leaseRenewedAt.Add(secs(a.w.shape.Agents.LeaseS)) }

// canSendHeartbeat reports whether the machine can send a heartbeat now.
func (a *agent) canSendHeartbeat() bool { return !a.hung && !a.inFlight }

// nextHeartbeat returns when the next heartbeat is due, which is sooner if there is a change to
// report.
func (a *agent) nextHeartbeat() time.Time {
	if soonest := a.lastSent.Add(minHeartbeatGap); a.changed && soonest.Before(a.heartbeatDue) {
		return soonest
	}
	return a.heartbeatDue
}

// expireLease begins a new incarnation because the lease has expired. The tasks end with the lease
// even while the machine hangs: a machine that hangs resumes them within its lease or not at all.
func (a *agent) expireLease() {
	for _, task := range a.sortedTasks() {
		task.lose()
	}
	a.tasks = map[string]*agentTask{}
	a.incarnation++
	a.sequence = 0
	a.leaseRenewedAt = a.w.Now
	a.changed = true
}

// reportChange notes a change, so that a heartbeat reports it before the next one is due.
func (a *agent) reportChange() {
	a.changed = true
	a.setTimer()
}

// retryHeartbeat schedules another heartbeat after one that no controller accepted.
func (a *agent) retryHeartbeat() {
	a.inFlight, a.changed = false, true
	a.setTimer()
}

// hang stops the machine for the time d. What arrives meanwhile is handled when the machine
// resumes.
func (a *agent) hang(d time.Duration) {
	a.hung = true
	a.w.after(d, func() {
		a.hung = false
		if a.dead {
			return
		}
		a.setTimer()
		packets := a.heldPackets
		a.heldPackets = nil
		for _, do := range packets {
			do()
		}
	})
}

func (a *agent) kill() {
	a.dead = true
	for _, task := range a.sortedTasks() {
		task.lose()
	}
}

func (a *agent) sortedTasks() []*agentTask {
	var list []*agentTask
	for _, task := range a.tasks {
		list = append(list, task)
	}
	slices.SortFunc(list, func(first, second *agentTask) int {
		return cmp.Or(cmp.Compare(first.name, second.name), cmp.Compare(first.attempt, second.attempt))
	})
	return list
}

func (a *agent) heartbeat() *protocol.Heartbeat {
	a.sequence++
	r := &protocol.Heartbeat{Machine: a.host.ID, Address: a.host.Address, Type: a.host.Type, Zone: a.host.Zone, Spot: a.host.Spot,
		Incarnation: a.incarnation, Sequence: a.sequence, FencingToken: a.token, PreemptionNoticeS: a.preemptionNoticeS}
	for _, task := range a.sortedTasks() {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: task.name, Attempt: task.attempt, State: task.state, Cause: task.cause, Saved: task.saved})
	}
	return r
}

func (a *agent) sendHeartbeat() {
	w := a.w
	a.inFlight, a.changed, a.lastSent = true, false, w.Now
	sent, incarnation := w.Now, a.incarnation
	body := encode(a.heartbeat())
	w.heartbeats++
	w.largestHeartbeat = max(w.largestHeartbeat, len(body))
	if w.recordHeartbeats {
		w.recordedHeartbeats = append(w.recordedHeartbeats, body)
	}
	if w.maxCopyDelay > 0 && w.rng.IntN(4) == 0 {
		w.after(w.between(time.Second, w.maxCopyDelay), func() { w.deliverHeartbeatCopy(w.nodes[w.rng.IntN(len(w.nodes))], body) })
	}
	w.callController(string(a.host.ID), a.controllerIndex, 4*time.Second, func(id uint64) coordination.Event {
		r, err := protocol.ParseHeartbeat(body)
		if err != nil {
			panic(err)
		}
		return coordination.AgentHeartbeat{ID: id, Heartbeat: r}
	}, func(status int, body []byte) { a.handleHeartbeatResponse(status, body, sent, incarnation) })
}

// handleHeartbeatResponse handles the response to a heartbeat. A response renews the lease from the
// time when the heartbeat was sent, unless it came late, the machine hangs, a new incarnation began
// or its token is lower. A redirect or an error makes the agent turn to another node.
func (a *agent) handleHeartbeatResponse(status int, body []byte, sent time.Time, incarnation protocol.Incarnation) {
	if a.dead {
		return
	}
	switch status {
	case http.StatusOK:
		a.inFlight = false
		a.setTimer()
		if a.w.Now.Sub(sent) > 4*time.Second || a.hung {
			return
		}
		var response protocol.HeartbeatResponse
		decode(body, &response)
		if a.incarnation != incarnation || !a.accept(response.FencingToken) {
			return
		}
		a.leaseRenewedAt = sent
		a.execute(response.Commands)
	case http.StatusMisdirectedRequest:
		a.followRedirect(body)
	default:
		a.tryNextController()
	}
}

// followRedirect switches to the node that a response names, or else to the next node.
func (a *agent) followRedirect(body []byte) {
	var r protocol.Redirect
	decode(body, &r)
	for i, o := range a.w.nodes {
		if o.name == string(r.Target) && i != a.controllerIndex {
			a.controllerIndex = i
			a.w.after(a.w.between(0, 500*time.Millisecond), a.retryHeartbeat)
			return
		}
	}
	a.tryNextController()
}

// tryNextController sends a heartbeat to the next node a second later.
func (a *agent) tryNextController() {
	a.controllerIndex = (a.controllerIndex + 1) % len(a.w.nodes)
	a.w.after(time.Second, a.retryHeartbeat)
}

// deliverHeartbeatCopy delivers a late duplicate of a heartbeat to a controller. The response is
// discarded.
func (w *World) deliverHeartbeatCopy(c *controller, body []byte) {
	r, err := protocol.ParseHeartbeat(body)
	if err != nil {
		panic(err)
	}
	c.ask(func(id uint64) coordination.Event { return coordination.AgentHeartbeat{ID: id, Heartbeat: r} }, func(int, []byte) {})
}
