package coordination

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/bookkeeping"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

type taskKey struct {
	job     string
	index   int
	attempt uint64
}

// machine is a rented machine and its worker.
type machine struct {
	id, address, typeName, zone string
	spot                        bool
	slots                       buddy
	kind                        *protocol.MachineType // nil until it is known, and the slots with it
	cpus, gpus, memory          float64               // in use

	rack      *rack // its room record, shared with others
	rackBytes int   // of its entry there, at most
	recorded  bool  // the record has it
	closed    bool  // takes no further tasks, says the room record

	loaded     bool      // known from a predecessor's record
	reported   bool      // to this leader
	fresh      bool      // the worker has shown this leader's token
	session    uint64    // newest known
	seq        uint64    // newest known within the session
	lastReport time.Time // newest message of any kind
	answered   time.Time // the last answered report: the lease counts from here at most
	lapsed     bool      // the lease has surely run out since
	lapsedAt   time.Time // when that was found

	copies    map[taskKey]*taskCopy
	exited    []protocol.TaskReport // as last reported
	pins      map[taskKey]bool      // attempts that must not be reaped
	strays    []taskKey             // tasks of jobs that nobody knows
	idleSince time.Time

	noticed bool // the cloud takes the machine away soon

	urgent   bool // in the leader's list of hurried machines
	busy     bool // a direct order is under way
	directAt time.Time
	replied  bool // its last report was answered
	missed   int  // answers and orders in a row that seem not to have reached it
	probing  bool
	probes   int
	probeAt  time.Time

	deleting bool

	born     time.Time
	phase    string
	failed   map[string]bool // jobs that failed here, none succeeding between
	distrust bool
	images   []image
	hold     *job // room freed by preemption is kept for it
	holdTill time.Time
}

type image struct {
	name string
	gb   float64
}

// machine finds a machine or enters a new one.
func (l *leader) machine(id, address, typeName, zone string, spot bool) *machine {
	m := l.machines[id]
	if m == nil {
		m = &machine{id: id, copies: map[taskKey]*taskCopy{}, pins: map[taskKey]bool{}, failed: map[string]bool{},
			idleSince: l.n.now, born: l.n.now, slots: newBuddy(0)}
		l.machines[id] = m
		at, _ := slices.BinarySearchFunc(l.roster, m, byName)
		l.roster = slices.Insert(slices.Clone(l.roster), at, m)
	}
	if typeName != "" {
		m.address, m.typeName, m.zone, m.spot = cmp.Or(address, m.address), typeName, zone, spot
	}
	return m
}

func byName(a, b *machine) int { return cmp.Compare(a.id, b.id) }

// keep holds a machine's room for a job.
func (m *machine) keep(j *job, till time.Time) {
	if m.hold != j {
		m.release()
		m.hold = j
		j.held = append(j.held, m)
	}
	m.holdTill = till
}

// release ends the hold.
func (m *machine) release() {
	if j := m.hold; j != nil {
		m.hold = nil
		j.held = slices.DeleteFunc(j.held, func(o *machine) bool { return o == m })
	}
}

// hurry marks a machine as having orders that should not wait for a report.
func (l *leader) hurry(m *machine) {
	if !m.urgent {
		m.urgent = true
		l.hurried = append(l.hurried, m)
	}
}

// kind is the machine's type, nil while it is unknown.
func (l *leader) kind(m *machine) *protocol.MachineType {
	if m.kind == nil || m.kind.Name != m.typeName {
		if m.kind = l.n.types[m.typeName]; m.kind == nil {
			return nil
		}
		m.slots = newBuddy(machineSlots(m.kind))
		for _, c := range sortedCopies(m) {
			c.slots = m.slots.carve(taskSlots(c.j.spec))
		}
	}
	return m.kind
}

func sortedCopies(m *machine) []*taskCopy {
	list := make([]*taskCopy, 0, len(m.copies))
	for _, c := range m.copies {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *taskCopy) int {
		return cmp.Or(cmp.Compare(a.j.seq, b.j.seq), cmp.Compare(a.j.id, b.j.id), cmp.Compare(a.key.index, b.key.index), cmp.Compare(a.key.attempt, b.key.attempt))
	})
	return list
}

// take accounts for a job's tasks on the machine; n is negative to give back.
func (m *machine) take(s *protocol.Job, n int) {
	m.cpus += s.CPUs * float64(n)
	m.gpus += s.GPUs * float64(n)
	m.memory += s.MemoryGB * float64(n)
	if len(m.copies) == 0 {
		m.cpus, m.gpus, m.memory = 0, 0, 0 // no rounding is left behind
	}
}

// report takes a worker's newest message. answered: it came as a report and
// will be answered with 200, which renews the worker's lease. ok is false if
// the message is older than what is known.
func (l *leader) report(r *protocol.Report, answered bool) (commands []protocol.Command, ok bool) {
	if _, gone := l.fleet.deleted[r.Machine]; gone {
		return nil, false // what is deleted can only have sent this before
	}
	m := l.machine(r.Machine, r.Address, r.Type, r.Zone, r.Spot)
	if !r.Newer(m.session, m.seq) {
		return nil, false
	}
	now := l.n.now
	if r.Session > m.session {
		m.pins = map[taskKey]bool{}
		if m.fresh && now.Sub(m.answered) < seconds(l.n.cfg.Cluster.Workers.LeaseS) {
			// Its lease ran out although its reports were answered all the time.
			m.missed = tuning.MissedAnswers
		}
	}
	m.session, m.seq = r.Session, r.Seq
	for _, c := range sortedCopies(m) {
		if c.session < r.Session {
			l.drop(c) // a newer session has forgotten it
		}
	}
	if !m.reported || m.lapsed {
		m.reported, m.lapsed = true, false
		m.idleSince = now
		l.hurry(m) // what was to be ordered waited for a sign of life
	}
	if fresh := r.Token == l.n.claim.term; fresh != m.fresh {
		m.fresh = fresh
		l.plan = true
	}
	m.lastReport = now
	if answered {
		m.answered = now
	} else {
		m.missed = 0 // it has answered a call
	}
	if !l.deaf(m) {
		m.probes = 0
	}
	if m.rack == nil && m.fresh {
		// One that has not shown this leader's token may be gone: a copy of an
		// old report can come at any time.
		l.writeRoom(m)
	}
	if r.NoticeS != nil && !m.noticed {
		m.noticed = true
		l.plan = true
		l.drain(m)
	}
	seen := make(map[taskKey]bool, len(r.Tasks))
	m.exited = m.exited[:0]
	for _, t := range r.Tasks {
		id, index, valid := protocol.SplitTask(t.Task)
		if !valid {
			continue
		}
		key := taskKey{id, index, t.Attempt}
		seen[key] = true
		l.reportedTask(m, key, t)
	}
	if m.fresh {
		for _, c := range sortedCopies(m) {
			switch {
			case seen[taskKey{c.j.id, c.key.index, c.key.attempt}] || !c.sent || c.direct > 0 || c.pinned:
			case c.inReply && !answered:
				// The start may be in an answer that the worker has yet to read.
			case c.state != "" || c.stop || c.loaded:
				l.drop(c)
			}
		}
	}
	if answered {
		lost, shown := m.replied && !m.fresh, false
		for _, c := range m.copies {
			if c.inReply {
				_, there := seen[taskKey{c.j.id, c.key.index, c.key.attempt}]
				lost, shown = lost || !there, shown || there
				c.inReply = false
			}
		}
		if lost {
			m.missed++
		} else if shown {
			m.missed = 0
		}
		m.replied = true
		commands = l.orders(m, true)
	}
	return commands, true
}

// reportedTask takes one task of a report.
func (l *leader) reportedTask(m *machine, key taskKey, t protocol.TaskReport) {
	c := m.copies[key]
	j := l.jobs[key.job]
	if t.State != protocol.TaskExited {
		if c == nil {
			if j == nil || key.index >= len(j.tasks) {
				m.strays = append(m.strays, key)
				return
			}
			// No record asks for this copy, yet it takes room: it must go
			// before its task starts anywhere else.
			c = l.addCopy(j, key.index, key.attempt, m, m.session)
			c.committed, c.sent, c.stray = true, true, true
			l.stop(c, 0)
		}
		c.state = t.State
		c.sent = true
		if t.State == protocol.TaskRunning && c.running.IsZero() {
			c.running = l.n.now
			l.n.log.Debug("task runs", "job", c.j.id, "task", key.index, "attempt", key.attempt, "machine", m.id)
		}
		return
	}
	m.exited = append(m.exited, t)
	if t.Cause == protocol.CauseDone && j != nil && key.index < len(j.tasks) {
		l.setDone(j, key.index)
		clear(m.failed)
	}
	if c == nil || !m.fresh && t.Cause != protocol.CauseDone {
		return
	}
	if c.pinned || c.direct > 0 {
		m.pins[key] = true
	}
	if c.state != protocol.TaskExited {
		c.state = protocol.TaskExited
		l.exited(m, c, t)
	}
	l.drop(c)
}

// exited judges a copy's end.
func (l *leader) exited(m *machine, c *taskCopy, t protocol.TaskReport) {
	j := c.j
	l.n.log.Debug("task exited", "job", j.id, "task", c.key.index, "attempt", c.key.attempt, "machine", m.id, "cause", t.Cause, "saved", t.Saved)
	if j.spec.Service() && (t.Cause == protocol.CauseDone || t.Cause == protocol.CauseError) && l.replicaEnded(c) {
		return
	}
	switch t.Cause {
	case protocol.CauseDone, protocol.CauseStopped, protocol.CausePeers, protocol.CauseAlone:
	case protocol.CauseError:
		j.failures[m.id] = true
		j.avoid[m.id] = l.n.now.Add(tuning.AvoidFailed)
		if len(j.failures) >= tuning.JobErrors {
			// It fails everywhere: the job is to blame, not the machines.
			// It goes on trying, ever more rarely, on what is free: it must not
			// keep sound work of lower priority from its machines for ever.
			// The replicas of a service have pauses of their own.
			if j.spec.Service() {
				clear(j.failures)
			} else {
				j.retryAt = l.n.now.Add(tuning.ErrorPause << min(j.blamed, tuning.ErrorDoublings))
				j.blamed++
			}
			for _, other := range l.machines {
				delete(other.failed, j.id)
			}
			clear(j.avoid)
			return
		}
		m.failed[j.id] = true
		if len(m.failed) >= tuning.MachineErrors && !m.distrust {
			m.distrust = true
			l.n.log.Info("machine distrusted", "machine", m.id)
			l.drain(m)
		}
	case protocol.CauseNoRoom, protocol.CauseBusy:
		j.avoid[m.id] = l.n.now.Add(tuning.AvoidFor)
	default:
		// no_such, or a cause of a later version: try again, but not at once.
		j.retryAt = l.n.now.Add(tuning.RetryPause * 8)
	}
}

// drain empties a machine that is to go: everything that can save its work
// stops now, what cannot may finish if it can.
func (l *leader) drain(m *machine) {
	l.plan = true
	if !m.closed {
		m.closed = true
		l.writeRoom(m) // no leader places anything there any more
	}
	for _, c := range sortedCopies(m) {
		if c.stop || c.j.spec.Service() || c.j.spec.CheckpointS == 0 && !m.distrust {
			continue // replicas move one by one
		}
		l.preempt(c)
	}
}

// preempt stops a copy in good order; a gang stops as a whole.
func (l *leader) preempt(c *taskCopy) { l.endCopy(c, c.j.spec.SaveS+tuning.StopGrace) }

// makeWay stops a copy for a job that waits: in good order if saving is worth
// that job's wait.
func (l *leader) makeWay(c *taskCopy) {
	if savingPays(c.j.spec) {
		l.preempt(c)
	} else {
		l.endCopy(c, 0)
	}
}

// savingPays says whether a task that yields should save first. Saving takes
// its machine's time and the waiting job's; without it half of the interval
// between two checkpoints is lost, about.
func savingPays(s *protocol.Job) bool {
	return s.CheckpointS > 0 && (s.Gang() || s.CheckpointS/2 > tuning.SavePays*s.SaveS)
}

func (l *leader) endCopy(c *taskCopy, grace float64) {
	if c.j.copies[c.key] != c {
		return // went with another task of its gang
	}
	if c.j.spec.Gang() {
		if !c.j.stopping {
			l.endGang(c.j, grace)
		}
		return
	}
	l.stop(c, grace)
}

// orders lists what a worker should do: forget first, for a task may come back
// to a machine that still holds its old attempt, then stop, then start.
func (l *leader) orders(m *machine, inReply bool) []protocol.Command {
	var cmds []protocol.Command
	if m.fresh {
		for _, t := range m.exited {
			if l.reapable(m, t) {
				cmds = append(cmds, protocol.Command{Op: protocol.OpForget, Task: t.Task, Attempt: t.Attempt})
			}
		}
	}
	for _, k := range m.strays {
		cmds = append(cmds, protocol.Command{Op: protocol.OpStop, Task: protocol.TaskName(k.job, k.index), Attempt: k.attempt})
	}
	m.strays = m.strays[:0]
	list := sortedCopies(m)
	for _, c := range list {
		if !c.stop || !c.sent {
			continue
		}
		if c.state == "" && (c.pinned || c.direct > 0) {
			// The lost start may yet arrive. Once the worker holds the attempt,
			// a late copy of it does nothing: so start it and end it at once.
			cmds = append(cmds, l.startOrder(c, inReply))
		}
		if inReply || l.n.now.Sub(c.stopSent) > tuning.StopResend {
			c.stopSent = l.n.now
			cmds = append(cmds, protocol.Command{Op: protocol.OpStop, Task: protocol.TaskName(c.j.id, c.key.index), Attempt: c.key.attempt, GraceS: c.grace})
		}
	}
	for _, c := range list {
		if c.stop || !c.committed || c.state != "" || c.loaded {
			continue
		}
		if c.j.spec.Gang() && (len(c.j.dirty) > 0 || c.j.writing) {
			continue // not every task's place is written yet
		}
		if !inReply && (c.direct > 0 || c.inReply || !l.n.cfg.Operator.DirectStarts) {
			continue
		}
		if m.closed || m.deleting {
			l.stop(c, 0)
			continue
		}
		cmds = append(cmds, l.startOrder(c, inReply))
	}
	if len(cmds) > tuning.OrdersAtOnce {
		cmds = cmds[:tuning.OrdersAtOnce]
	}
	return cmds
}

func (l *leader) startOrder(c *taskCopy, inReply bool) protocol.Command {
	l.n.log.Debug("start", "job", c.j.id, "task", c.key.index, "attempt", c.key.attempt, "machine", c.m.id, "direct", !inReply)
	if !c.sent {
		l.n.metrics.Starts++
		l.n.metrics.WaitSeconds = append(l.n.metrics.WaitSeconds, l.n.now.Sub(c.j.at).Seconds())
	}
	c.sent = true
	if inReply {
		c.inReply = true
	}
	c.m.useImage(c.j.spec, l.kind(c.m))
	return protocol.Command{Op: protocol.OpStart, Task: protocol.TaskName(c.j.id, c.key.index), Attempt: c.key.attempt}
}

// reapable says whether an exited attempt may be forgotten: what it achieved
// is stored, and no late start of it can arrive.
func (l *leader) reapable(m *machine, t protocol.TaskReport) bool {
	id, index, _ := protocol.SplitTask(t.Task)
	key := taskKey{id, index, t.Attempt}
	if m.pins[key] || m.copies[key] != nil {
		return false
	}
	j := l.jobs[id]
	if j == nil || index >= len(j.tasks) {
		return true
	}
	return t.Cause != protocol.CauseDone || !j.writing && !j.dirty[j.recordOf(index)]
}

// useImage notes that the machine has an image; it keeps those last used.
func (m *machine) useImage(s *protocol.Job, t *protocol.MachineType) {
	m.images = slices.DeleteFunc(m.images, func(i image) bool { return i.name == s.Image })
	m.images = append(m.images, image{s.Image, s.ImageGB})
	if t == nil {
		return
	}
	total := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		total += m.images[i].gb
		if total > t.CacheGB && i < len(m.images)-1 {
			m.images = slices.Delete(m.images, 0, i+1)
			return
		}
	}
}

func (m *machine) hasImage(name string) bool {
	return slices.ContainsFunc(m.images, func(i image) bool { return i.name == name })
}

// workerCalls paces the calls to workers by what they cost of the controller's
// share of a core: a new leader that called every worker of a large fleet at
// once would not come to renew its claim.
func (n *Node) workerCalls() *rate.Limiter {
	cores := n.cfg.Cluster.Resources.Cores
	if cores <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	limit := cores * tuning.OrderShare / tuning.OrderCost.Seconds()
	return rate.NewLimiter(rate.Limit(limit), max(tuning.OrdersLeast, int(limit)))
}

// mayCall says whether a worker may be called now. Calls that can wait leave
// half of the pace and of the sockets to orders: probes of a dark zone hang
// for their whole time.
func (l *leader) mayCall(canWait bool) bool {
	sockets := max(tuning.OrdersLeast, int(float64(l.n.cfg.Cluster.Resources.FDLimit)*tuning.WorkerSockets))
	pace := 1.0
	if canWait {
		sockets /= 2
		pace = float64(l.calls.Burst()) / 2
	}
	return l.calling < sockets && (l.calls.Limit() == rate.Inf || l.calls.TokensAt(l.n.now) >= pace)
}

// call makes a call to a worker.
func (l *leader) call(m *machine, method, path string, body any, done func(status int, body []byte)) {
	l.calls.AllowN(l.n.now, 1)
	l.calling++
	ended := func(status int, body []byte) {
		l.calling--
		if l.n.lead == l {
			done(status, body)
		}
	}
	if path == protocol.PathOrders && l.spreads() && l.n.delegate(m, bookkeeping.Encode(body), ended) {
		return
	}
	l.n.request(ToWorker, m.address, method, path, body, tuning.ProbeTimeout, ended)
}

// delegate has a sibling send orders to a worker, if all links are there: a call
// is a new connection mostly, which costs much of a small share of a core. What
// the sibling does not answer in time may still be executed, as any order that
// was not answered. Probes are not delegated: they judge a machine.
func (n *Node) delegate(m *machine, body []byte, done func(status int, body []byte)) bool {
	if !n.whole() {
		return false
	}
	n.nextID++
	n.delegated[n.nextID] = delegated{done, n.now.Add(tuning.ProbeTimeout + tuning.DelegateSlack)}
	n.sendTo(n.front(m.id, n.cfg.Name, 0), protocol.PeerCall{ID: n.nextID, Origin: n.cfg.Name, Address: m.address, Body: body})
	return true
}

// callFor sends orders to a worker for the leader.
func (n *Node) callFor(c protocol.PeerCall) {
	n.request(ToWorker, c.Address, "POST", protocol.PathOrders, c.Body, tuning.ProbeTimeout, func(status int, body []byte) {
		n.sendTo(c.Origin, protocol.PeerAnswer{ID: c.ID, Target: c.Origin, Status: uint64(status), Body: body})
	})
}

// sendDirect sends orders that should not wait for the next report.
func (l *leader) sendDirect() {
	if !l.n.acting() {
		return
	}
	now := l.n.now
	list := l.hurried
	l.hurried = nil
	for _, m := range list {
		m.urgent = false
		if m.deleting || l.machines[m.id] != m || !m.reported {
			continue
		}
		if m.busy || m.address == "" || now.Before(m.directAt) || !l.recent(m) || !l.mayCall(false) {
			l.hurry(m)
			continue
		}
		if cmds := l.orders(m, false); len(cmds) > 0 {
			l.direct(m, cmds)
		}
	}
}

// showToken shows the token to a worker with tasks that has not reported to
// this leader, if there is time: most of them report by themselves.
func (l *leader) showToken(m *machine) {
	if !m.reported && m.session > 0 && !m.busy && !m.deleting && m.address != "" && !l.n.now.Before(m.directAt) && l.mayCall(true) {
		l.direct(m, nil)
	}
}

func (l *leader) direct(m *machine, cmds []protocol.Command) {
	var starts []*taskCopy
	for _, cmd := range cmds {
		if cmd.Op != protocol.OpStart {
			continue
		}
		id, index, _ := protocol.SplitTask(cmd.Task)
		if c := m.copies[taskKey{id, index, cmd.Attempt}]; c != nil {
			c.direct++
			starts = append(starts, c)
		}
	}
	m.busy = true
	body := protocol.Orders{Token: l.n.claim.term, Session: m.session, Commands: cmds}
	l.call(m, "POST", protocol.PathOrders, body, func(status int, body []byte) {
		m.busy = false
		for _, c := range starts {
			c.direct--
			if status != 200 && status != 409 {
				// It may arrive at any later time while session and token match.
				c.pinned = true
				m.pins[taskKey{c.j.id, c.key.index, c.key.attempt}] = true
			}
		}
		if status != 200 && status != 409 {
			m.missed = max(m.missed, 1)
			m.directAt = l.n.now.Add(tuning.StopResend)
			switch {
			case !m.reported:
				m.directAt = l.n.now.Add(l.silence()) // others have their turn
			case len(m.copies) > 0:
				l.hurry(m)
			}
			return
		}
		l.heard(m, body)
		if status == 409 {
			m.directAt = l.n.now.Add(tuning.StopResend)
			l.hurry(m)
		}
	})
}

// heard takes the report that a worker gave as an answer.
func (l *leader) heard(m *machine, body []byte) {
	r, err := protocol.ParseReport(body)
	if err != nil || r.Machine != m.id {
		l.n.log.Error("a worker's answer is no report of its own", "machine", m.id, "error", err)
		return
	}
	if r.Token > l.n.claim.term {
		l.n.stepDown("a worker has seen a higher token")
		return
	}
	l.report(r, false)
}

// recent says whether a report of the worker came lately.
func (l *leader) recent(m *machine) bool {
	return m.reported && !m.lapsed && l.n.now.Sub(m.lastReport) < l.silence()
}

// alive says whether the worker is surely there: it has shown this leader's
// token lately. What has not may be a copy of an old report.
func (l *leader) alive(m *machine) bool { return m.fresh && l.recent(m) }

// booting says whether a machine that never reported is still expected to. One
// that a predecessor recorded may have been returned since; unless the machine
// list shows it, it is not waited for.
func (l *leader) booting(m *machine) bool {
	if m.reported || m.session > 0 {
		return false
	}
	if !m.loaded || m.phase == protocol.MachineBooting {
		return true
	}
	lag := 2*seconds(l.n.cfg.Cluster.Cloud.ListLagS) + tuning.ListEvery
	return l.n.now.Sub(l.since) < l.silence()+lag
}

// deaf says whether reports of a worker come, but answers and orders do not
// reach it: what an answer told it does not show in its next report, or its
// lease ran out though it was answered. Its lease runs out again and again, so
// it takes no work; if it does not answer a call either, it is returned.
func (l *leader) deaf(m *machine) bool { return m.missed >= tuning.MissedAnswers }

// mute says whether a worker answers calls while no report of it comes, so that
// its lease is about to run out, or does so again and again: it takes no work.
func (l *leader) mute(m *machine) bool {
	from := l.since
	if m.answered.After(from) {
		from = m.answered
	}
	return l.n.now.Sub(from) > seconds(l.n.cfg.Cluster.Workers.LeaseS/2)
}

// silence is how long a worker may be silent before it is probed.
func (l *leader) silence() time.Duration {
	return max(seconds(l.n.cfg.Cluster.Workers.ReportS*tuning.SilentReports), tuning.SilentLeast)
}

// lapseAt is when a worker's lease has surely run out. One that this leader
// never answered may have been answered by its predecessor for the whole of
// the predecessor's grace.
func (l *leader) lapseAt(m *machine) time.Time {
	from := l.since.Add(l.n.grace())
	if m.answered.After(from) {
		from = m.answered
	}
	return from.Add(withDrift(seconds(l.n.cfg.Cluster.Workers.LeaseS)) + withDrift(l.n.grace()) - l.n.grace() + tuning.LapseMargin)
}

// tickMachines looks for workers that are silent, lapsed or dead.
func (l *leader) tickMachines() {
	now := l.n.now
	suspected, _ := l.suspectedZones(l.silence())
	var early, heard map[string]bool // the same as soon as a host may be missing
	for _, m := range l.roster {
		if l.n.lead != l {
			return
		}
		l.showToken(m)
		missing := l.hosts(m) && m.reported && now.Sub(m.lastReport) > l.hostSilence()
		if l.booting(m) || l.recent(m) && !l.deaf(m) && !missing || now.Sub(l.since) < l.silence() {
			continue
		}
		if !m.lapsed && !l.recent(m) && now.After(l.lapseAt(m)) {
			m.lapsed, m.lapsedAt = true, now
			l.n.log.Info("lease lapsed", "machine", m.id)
			for _, c := range sortedCopies(m) {
				l.drop(c)
			}
		}
		if !m.probing && !now.Before(m.probeAt) && m.address != "" && !m.deleting && l.mayCall(true) {
			l.probe(m)
		}
		if m.lapsed && m.address == "" && !m.deleting {
			l.delete(m, "lapsed and of no known address")
		}
		// With a sibling out of reach the worker may be behind the same cut and
		// on its way to a controller that carries its reports.
		// Nor is one deaf then because it does not answer this node's calls.
		patience, whole := l.silence(), len(l.n.links()) == len(l.n.cfg.Siblings)
		if missing {
			patience = l.hostSilence()
		}
		if !whole {
			patience += tuning.CutPatience
		}
		if m.deleting || m.probes < tuning.ProbesToDelete || !(whole && l.deaf(m) || now.Sub(m.lastReport) > patience) {
			continue
		}
		if !missing {
			if !suspected[m.zone] || l.outwaited(m) {
				l.delete(m, "silent")
			}
			continue
		}
		if early == nil {
			early, heard = l.suspectedZones(l.hostSilence())
		}
		if !early[m.zone] || l.outwaited(m) || l.replaceable(m, heard) {
			l.delete(m, "silent, with replicas")
		}
	}
}

// suspectedZones are those in which the network is suspected, not the machines:
// half of a zone's machines are silent at once, or a third of all. Machines
// behind a cut are back when it ends, with their images; what is rented in
// their place boots, perhaps behind the same cut. heard are the zones most of whose
// machines report as ever.
func (l *leader) suspectedZones(silence time.Duration) (suspected, heard map[string]bool) {
	type count struct{ silent, total int }
	zones := map[string]count{}
	var all count
	for _, m := range l.roster {
		if !m.reported && m.session == 0 {
			continue
		}
		z := zones[m.zone]
		z.total++
		all.total++
		if l.deaf(m) || (m.lapsed || !m.reported || l.n.now.Sub(m.lastReport) > silence) && l.n.now.Sub(l.since) > l.silence() {
			z.silent++
			all.silent++
		}
		zones[m.zone] = z
	}
	many := func(c count, share float64) bool { return c.silent > 2 && float64(c.silent) > share*float64(c.total) }
	suspected, heard = map[string]bool{}, map[string]bool{}
	for name, z := range zones {
		suspected[name] = many(z, tuning.ZoneSilentShare) || many(all, tuning.SilentShare)
		heard[name] = z.total > 0 && float64(z.silent) < tuning.HeardSilentShare*float64(z.total)
	}
	return suspected, heard
}

// outwaited says whether a machine behind a suspected cut has been gone for so
// long after its lease that another would have booted.
func (l *leader) outwaited(m *machine) bool {
	t := l.kind(m)
	return m.lapsed && (t == nil || l.n.now.Sub(m.lapsedAt) > seconds(t.BootS))
}

// probe asks a silent worker for its report.
func (l *leader) probe(m *machine) {
	m.probing = true
	l.call(m, "GET", protocol.PathInspect, nil, func(status int, body []byte) {
		m.probing, m.probeAt = false, l.n.now.Add(tuning.ProbeTimeout)
		if l.hosts(m) {
			m.probeAt = l.n.now
		}
		if status != 200 {
			m.probes++
			return
		}
		l.heard(m, body)
	})
}

// parse reads a JSON answer.
func parse[T any](body []byte) (T, bool) {
	var v T
	return v, json.Unmarshal(body, &v) == nil
}
