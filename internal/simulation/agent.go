package simulation

import (
	"cmp"
	"fmt"
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
	leaseRenewedAt     time.Time // when the last answered report was sent, or the session began
	tasks              map[string]*agentTask
	images             map[string]bool
	controllerIndex    int
	inFlight           bool
	heartbeatDue       time.Time // when the next report is due if nothing changes
	lastSent           time.Time
	changed            bool // since the last report
	timer              *tickTimer
	dead               bool
	hung               bool
	heldPackets        []func() // what arrives while the machine hangs
	preemptionNoticeS  *float64
	failsTasks         bool
	opensNoConnections bool // opens no connection
	tokenReportedAt    time.Time
}

func newAgent(w *World, h *host) *agent {
	agent := &agent{w: w, host: h, incarnation: 1, leaseRenewedAt: w.Now, tasks: map[string]*agentTask{}, images: map[string]bool{}, controllerIndex: w.rng.IntN(len(w.nodes))}
	agent.heartbeatDue = w.Now.Add(w.between(0, secs(w.shape.Agents.ReportS)))
	agent.timer = newTickTimer(w, agent.tick)
	agent.setTimer()
	return agent
}

// minHeartbeatGap is the least time between two heartbeats.
const minHeartbeatGap = 500 * time.Millisecond

// tick does what is due: the lease may be over, or it is time for a heartbeat.
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

// setTimer sets the timer to the next thing that is due. Whatever brings something
// forward calls it.
func (a *agent) setTimer() {
	due := a.leaseEnd().Add(1) // a lease is over after its end
	if next := a.nextHeartbeat(); a.canSendHeartbeat() && next.Before(due) {
		due = next
	}
	a.timer.wakeBy(due)
}

// leaseEnd is the end of the machine's lease.
func (a *agent) leaseEnd() time.Time { return a.leaseRenewedAt.Add(secs(a.w.shape.Agents.LeaseS)) }

// canSendHeartbeat says whether the machine can heartbeat now.
func (a *agent) canSendHeartbeat() bool { return !a.hung && !a.inFlight }

// nextHeartbeat is when the next heartbeat is due: at its time, or sooner if there is news.
func (a *agent) nextHeartbeat() time.Time {
	if soonest := a.lastSent.Add(minHeartbeatGap); a.changed && soonest.Before(a.heartbeatDue) {
		return soonest
	}
	return a.heartbeatDue
}

// expireLease begins a new incarnation once the lease is over. A machine resumes within its
// lease or not at all: its tasks are gone when the lease ends, hanging or not.
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

// reportChange has news reported before the next heartbeat's time.
func (a *agent) reportChange() {
	a.changed = true
	a.setTimer()
}

// retryHeartbeat has the next heartbeat sent after one that was of no use.
func (a *agent) retryHeartbeat() {
	a.inFlight, a.changed = false, true
	a.setTimer()
}

// hang stops the machine for a while; what arrives meanwhile is handled when
// it resumes.
func (a *agent) hang(d time.Duration) {
	a.hung = true
	a.w.after(d, func() {
		a.hung = false
		if a.dead {
			return
		}
		a.setTimer()
		stuck := a.heldPackets
		a.heldPackets = nil
		for _, do := range stuck {
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

// handleHeartbeatResponse takes the answer to a heartbeat.
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

// followRedirect goes to the node that an answer names, or to the next one.
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

// tryNextController heartbeats to the next node a second later.
func (a *agent) tryNextController() {
	a.controllerIndex = (a.controllerIndex + 1) % len(a.w.nodes)
	a.w.after(time.Second, a.retryHeartbeat)
}

// deliverHeartbeatCopy delivers a late duplicate of an old heartbeat to a controller; nobody reads the
// answer.
func (w *World) deliverHeartbeatCopy(c *controller, body []byte) {
	r, err := protocol.ParseHeartbeat(body)
	if err != nil {
		panic(err)
	}
	c.ask(func(id uint64) coordination.Event { return coordination.AgentHeartbeat{ID: id, Heartbeat: r} }, func(int, []byte) {})
}

func (a *agent) accept(token protocol.Term) bool {
	if token < a.token {
		a.w.rules.staleTokens++
		return false
	}
	if token > a.token {
		a.token = token
		if a.w.Now.Sub(a.tokenReportedAt) > secs(a.w.shape.Agents.LeaseS/2) {
			a.tokenReportedAt = a.w.Now
			a.reportChange()
		}
	}
	return true
}

// serve answers direct orders and probes.
func (a *agent) serve(method, path string, body []byte, answer func(int, []byte)) {
	if a.dead {
		return
	}
	if a.hung {
		a.heldPackets = append(a.heldPackets, func() { a.serve(method, path, body, answer) })
		return
	}
	if path == protocol.PathInspect {
		answer(200, encode(a.heartbeat()))
		return
	}
	var o protocol.CommandBatch
	decode(body, &o)
	if o.Incarnation != a.incarnation || !a.accept(o.FencingToken) {
		answer(409, encode(a.heartbeat()))
		return
	}
	a.execute(o.Commands)
	answer(200, encode(a.heartbeat()))
}

func (a *agent) execute(commands []protocol.Command) {
	for _, c := range commands {
		id, index, ok := protocol.SplitTask(c.Task)
		if !ok {
			panic("simulation: bad task " + c.Task)
		}
		key := attemptName(c.Task, c.Attempt)
		task := a.tasks[key]
		a.w.Audit.executed(a.w.Now, a.host.ID, c)
		switch c.Kind {
		case protocol.CommandStart:
			if task == nil {
				a.start(key, id, index, c)
			}
		case protocol.CommandStop:
			if task != nil {
				task.stop(c.GraceS)
			}
		case protocol.CommandForget:
			if task != nil && task.state == protocol.TaskExited {
				a.w.Audit.forgot(task.instance())
				delete(a.tasks, key)
			}
		}
	}
}

// attemptName names an attempt on its agent.
func attemptName(task string, attempt protocol.AttemptNumber) string {
	return fmt.Sprintf("%s#%d", task, attempt)
}

// start carries out a command to start a task, or refuses it.
func (a *agent) start(key string, id protocol.JobID, index int, c protocol.Command) {
	job := a.w.rules.jobs[id]
	task := &agentTask{agent: a, name: c.Task, index: index, attempt: c.Attempt, state: protocol.TaskFetching}
	a.reportChange()
	a.w.Audit.began(a.w.Now, task.instance())
	a.tasks[key] = task
	if job == nil {
		a.refuse(task, protocol.CauseUnknownTask)
		return
	}
	task.job = job.spec
	if cause := a.refusalCause(task); cause != "" {
		a.refuse(task, cause)
		return
	}
	fetch := secs(task.job.ImageGB / a.w.shape.Type.FetchGBPerS)
	if a.images[task.job.Image] {
		fetch = 0
	}
	a.schedule(fetch, task, func() {
		a.images[task.job.Image] = true
		task.imageReady()
	})
}

// refuse ends a task before it has begun.
func (a *agent) refuse(task *agentTask, cause protocol.Cause) {
	task.state, task.cause = protocol.TaskExited, cause
	a.w.Audit.ended(task.instance(), cause, false)
}

// refusalCause says why a task cannot start beside the others, "" if it can.
func (a *agent) refusalCause(task *agentTask) protocol.Cause {
	cpus, gpus, memory := task.job.CPUs, task.job.GPUs, task.job.MemoryGB
	for _, other := range a.tasks {
		if other == task || other.state == protocol.TaskExited {
			continue
		}
		if other.name == task.name {
			return protocol.CauseTaskPresent
		}
		cpus, gpus, memory = cpus+other.job.CPUs, gpus+other.job.GPUs, memory+other.job.MemoryGB
	}
	machine := &a.w.shape.Type
	if cpus > machine.CPUs || gpus > machine.GPUs || memory > machine.MemoryGB {
		return protocol.CauseNoCapacity
	}
	return ""
}

// schedule does something for a task later, unless it is over by then or the
// machine hangs, in which case it waits for the machine.
func (a *agent) schedule(d time.Duration, task *agentTask, do func()) {
	a.w.after(d, func() {
		if a.dead || task.state == protocol.TaskExited {
			return
		}
		if a.hung {
			a.heldPackets = append(a.heldPackets, func() { a.schedule(0, task, do) })
			return
		}
		if a.tasks[attemptName(task.name, task.attempt)] == task {
			do()
		}
	})
}
