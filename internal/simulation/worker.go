package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
)

// worker is a stand-in for a machine's worker.
type worker struct {
	w        *World
	h        *host
	session  protocol.Incarnation
	seq      protocol.Sequence
	token    protocol.Term
	answered time.Time // when the last answered report was sent, or the session began
	tasks    map[string]*workerTask
	images   map[string]bool
	node     int
	inFlight bool
	due      time.Time // when the next report is due if nothing changes
	lastSent time.Time
	changed  bool // since the last report
	timer    *tickTimer
	dead     bool
	hung     bool
	stuck    []func() // what arrives while the machine hangs
	notice   *float64
	sick     bool
	mute     bool // opens no connection
	tokenAt  time.Time
}

func newWorker(w *World, h *host) *worker {
	k := &worker{w: w, h: h, session: 1, answered: w.Now, tasks: map[string]*workerTask{}, images: map[string]bool{}, node: w.rng.IntN(len(w.nodes))}
	k.due = w.Now.Add(w.between(0, secs(w.shape.Workers.ReportS)))
	k.timer = newTickTimer(w, k.tick)
	k.setTimer()
	return k
}

// minReportGap is the least time between two reports.
const minReportGap = 500 * time.Millisecond

// tick does what is due: the lease may be over, or it is time for a report.
func (k *worker) tick() {
	if k.dead {
		return
	}
	if k.w.Now.After(k.leaseEnd()) {
		k.startOver()
	}
	if k.reports() && !k.w.Now.Before(k.nextReport()) {
		k.due = k.w.Now.Add(k.w.between(secs(k.w.shape.Workers.ReportS*0.75), secs(k.w.shape.Workers.ReportS*1.25)))
		k.send()
	}
	k.setTimer()
}

// setTimer sets the timer to the next thing that is due. Whatever brings something
// forward calls it.
func (k *worker) setTimer() {
	due := k.leaseEnd().Add(1) // a lease is over after its end
	if next := k.nextReport(); k.reports() && next.Before(due) {
		due = next
	}
	k.timer.wakeBy(due)
}

// leaseEnd is the end of the machine's lease.
func (k *worker) leaseEnd() time.Time { return k.answered.Add(secs(k.w.shape.Workers.LeaseS)) }

// reports says whether the machine can report now.
func (k *worker) reports() bool { return !k.hung && !k.inFlight }

// nextReport is when the next report is due: at its time, or sooner if there is news.
func (k *worker) nextReport() time.Time {
	if soonest := k.lastSent.Add(minReportGap); k.changed && soonest.Before(k.due) {
		return soonest
	}
	return k.due
}

// startOver begins a new incarnation once the lease is over. A machine resumes within its
// lease or not at all: its tasks are gone when the lease ends, hanging or not.
func (k *worker) startOver() {
	for _, t := range k.list() {
		t.lose()
	}
	k.tasks = map[string]*workerTask{}
	k.session++
	k.seq = 0
	k.answered = k.w.Now
	k.changed = true
}

// noteChange has news reported before the next report's time.
func (k *worker) noteChange() {
	k.changed = true
	k.setTimer()
}

// reportAgain has the next report sent after one that was of no use.
func (k *worker) reportAgain() {
	k.inFlight, k.changed = false, true
	k.setTimer()
}

// hang stops the machine for a while; what arrives meanwhile is handled when
// it resumes.
func (k *worker) hang(d time.Duration) {
	k.hung = true
	k.w.after(d, func() {
		k.hung = false
		if k.dead {
			return
		}
		k.setTimer()
		stuck := k.stuck
		k.stuck = nil
		for _, do := range stuck {
			do()
		}
	})
}

func (k *worker) kill() {
	k.dead = true
	for _, t := range k.list() {
		t.lose()
	}
}

func (k *worker) list() []*workerTask {
	var l []*workerTask
	for _, t := range k.tasks {
		l = append(l, t)
	}
	slices.SortFunc(l, func(a, b *workerTask) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.attempt, b.attempt))
	})
	return l
}

func (k *worker) report() *protocol.Heartbeat {
	k.seq++
	r := &protocol.Heartbeat{Machine: k.h.ID, Address: k.h.Address, Type: k.h.Type, Zone: k.h.Zone, Spot: k.h.Spot,
		Incarnation: k.session, Sequence: k.seq, FencingToken: k.token, PreemptionNoticeS: k.notice}
	for _, t := range k.list() {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.kept})
	}
	return r
}

func (k *worker) send() {
	w := k.w
	k.inFlight, k.changed, k.lastSent = true, false, w.Now
	sent, session := w.Now, k.session
	body := encode(k.report())
	if w.keep {
		w.kept = append(w.kept, body)
	}
	if w.copies > 0 && w.rng.IntN(4) == 0 {
		w.after(w.between(time.Second, w.copies), func() { w.copyReport(w.nodes[w.rng.IntN(len(w.nodes))], body) })
	}
	w.reach(string(k.h.ID), k.node, 4*time.Second, func(id uint64) coordination.Event {
		r, err := protocol.ParseHeartbeat(body)
		if err != nil {
			panic(err)
		}
		return coordination.AgentHeartbeat{ID: id, Heartbeat: r}
	}, func(status int, body []byte) { k.reportAnswered(status, body, sent, session) })
}

// reportAnswered takes the answer to a report.
func (k *worker) reportAnswered(status int, body []byte, sent time.Time, session protocol.Incarnation) {
	if k.dead {
		return
	}
	switch status {
	case 200:
		k.inFlight = false
		k.setTimer()
		if k.w.Now.Sub(sent) > 4*time.Second || k.hung {
			return
		}
		var a protocol.HeartbeatResponse
		decode(body, &a)
		if k.session != session || !k.accept(a.FencingToken) {
			return
		}
		k.answered = sent
		k.execute(a.Commands)
	case 421:
		k.redirected(body)
	default:
		k.tryNext()
	}
}

// redirected goes to the node that an answer names, or to the next one.
func (k *worker) redirected(body []byte) {
	var r protocol.Redirect
	decode(body, &r)
	for i, o := range k.w.nodes {
		if o.name == string(r.Target) && i != k.node {
			k.node = i
			k.w.after(k.w.between(0, 500*time.Millisecond), k.reportAgain)
			return
		}
	}
	k.tryNext()
}

// tryNext reports to the next node a second later.
func (k *worker) tryNext() {
	k.node = (k.node + 1) % len(k.w.nodes)
	k.w.after(time.Second, k.reportAgain)
}

// copyReport delivers a late duplicate of an old report to a controller; nobody reads the
// answer.
func (w *World) copyReport(c *controller, body []byte) {
	r, err := protocol.ParseHeartbeat(body)
	if err != nil {
		panic(err)
	}
	c.ask(func(id uint64) coordination.Event { return coordination.AgentHeartbeat{ID: id, Heartbeat: r} }, func(int, []byte) {})
}

func (k *worker) accept(token protocol.Term) bool {
	if token < k.token {
		k.w.rules.lowerTokens++
		return false
	}
	if token > k.token {
		k.token = token
		if k.w.Now.Sub(k.tokenAt) > secs(k.w.shape.Workers.LeaseS/2) {
			k.tokenAt = k.w.Now
			k.noteChange()
		}
	}
	return true
}

// serve answers direct orders and probes.
func (k *worker) serve(method, path string, body []byte, answer func(int, []byte)) {
	if k.dead {
		return
	}
	if k.hung {
		k.stuck = append(k.stuck, func() { k.serve(method, path, body, answer) })
		return
	}
	if path == protocol.PathInspect {
		answer(200, encode(k.report()))
		return
	}
	var o protocol.CommandBatch
	decode(body, &o)
	if o.Incarnation != k.session || !k.accept(o.FencingToken) {
		answer(409, encode(k.report()))
		return
	}
	k.execute(o.Commands)
	answer(200, encode(k.report()))
}

func (k *worker) execute(commands []protocol.Command) {
	for _, c := range commands {
		id, index, ok := protocol.SplitTask(c.Task)
		if !ok {
			panic("simulation: bad task " + c.Task)
		}
		key := attemptName(c.Task, c.Attempt)
		t := k.tasks[key]
		k.w.Audit.ordered(k.w.Now, k.h.ID, c)
		switch c.Kind {
		case protocol.CommandStart:
			if t == nil {
				k.start(key, id, index, c)
			}
		case protocol.CommandStop:
			if t != nil {
				t.halt(c.GraceS)
			}
		case protocol.CommandForget:
			if t != nil && t.state == protocol.TaskExited {
				k.w.Audit.forgot(t.instance())
				delete(k.tasks, key)
			}
		}
	}
}

func attemptName(task string, attempt protocol.AttemptNumber) string {
	return fmt.Sprintf("%s#%d", task, attempt)
}

func (k *worker) start(key string, id protocol.JobID, index int, c protocol.Command) {
	j := k.w.rules.jobs[id]
	t := &workerTask{k: k, name: c.Task, index: index, attempt: c.Attempt, state: protocol.TaskFetching}
	k.noteChange()
	k.w.Audit.began(k.w.Now, t.instance())
	refuse := func(cause protocol.Cause) {
		t.state, t.cause = protocol.TaskExited, cause
		k.tasks[key] = t
		k.w.Audit.ended(t.instance(), cause, false)
	}
	if j == nil {
		refuse(protocol.CauseUnknown)
		return
	}
	t.job = j.spec
	cpus, gpus, memory := 0.0, 0.0, 0.0
	for _, o := range k.tasks {
		if o.name == t.name && o.state != protocol.TaskExited {
			refuse(protocol.CauseBusy)
			return
		}
		if o.state != protocol.TaskExited {
			cpus, gpus, memory = cpus+o.job.CPUs, gpus+o.job.GPUs, memory+o.job.MemoryGB
		}
	}
	machine := &k.w.shape.Type
	if cpus+t.job.CPUs > machine.CPUs || gpus+t.job.GPUs > machine.GPUs || memory+t.job.MemoryGB > machine.MemoryGB {
		refuse(protocol.CauseNoCapacity)
		return
	}
	k.tasks[key] = t
	fetch := secs(t.job.ImageGB / k.w.shape.Type.FetchGBPerS)
	if k.images[t.job.Image] {
		fetch = 0
	}
	k.wait(fetch, t, func() {
		k.images[t.job.Image] = true
		t.arrive()
	})
}

// wait does something for a task later, unless it is over by then or the
// machine hangs, in which case it waits for the machine.
func (k *worker) wait(d time.Duration, t *workerTask, do func()) {
	k.w.after(d, func() {
		if k.dead || t.state == protocol.TaskExited {
			return
		}
		if k.hung {
			k.stuck = append(k.stuck, func() { k.wait(0, t, do) })
			return
		}
		if k.tasks[attemptName(t.name, t.attempt)] == t {
			do()
		}
	})
}
