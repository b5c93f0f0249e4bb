package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Worker is a stand-in of a machine's worker. The world's lock guards it.
type Worker struct {
	w              *World
	m              *machine
	address        string
	up, dead       bool
	tenure, tally  uint64
	warrant        uint64
	leaseFrom      time.Time
	tasks          map[string]*task
	images         map[string]bool
	node           int
	changed        bool
	lastSent       time.Time
	tokenChangedAt time.Time
	recall         *float64
	hungUntil      time.Time
	resumed        chan struct{} // closed when the machine goes on
	mute           bool          // its reports reach no controller
	deaf           bool          // answers and direct commands to it are lost
	cutFrom        map[int]bool  // controllers that it does not reach
	sick           bool          // fails every task
	onReport       func(node int, body []byte)
	ordersDelay    func() time.Duration // a direct command is held up for so long, if above 0
}

type task struct {
	worker    *Worker
	job       *job
	piece     string
	index     int
	try       uint64
	phase     string
	cause     string
	kept      bool
	on        bool // it has its image and has not exited
	fetchLeft float64
	waited    float64
	ran       float64
	saveLeft  float64
	exitIn    float64 // above 0: it exits after this time because a mate is gone
	gang      *gang
}

type gang struct {
	job     *job
	members map[int]*task
	running bool
	ended   bool
	ran     float64
	stopAt  float64 // since the first halt, 0 without one
	stopped bool
}

type order struct {
	Verb   string  `json:"verb"`
	Piece  string  `json:"piece"`
	Try    uint64  `json:"try"`
	Leeway float64 `json:"leeway_s"`
}

func newWorker(w *World, m *machine) *Worker {
	x := &Worker{w: w, m: m, tasks: map[string]*task{}, images: map[string]bool{}, cutFrom: map[int]bool{}, node: rand.Intn(len(w.nodes))}
	x.address = w.serve(x.handler())
	return x
}

// begin is called when the machine is up.
func (x *Worker) begin() {
	x.up, x.tenure, x.leaseFrom, x.changed = true, 1, time.Now(), true
	go x.loop()
}

func (x *Worker) die() {
	x.dead = true
	for _, t := range x.tasks {
		t.leave()
	}
	x.tasks = map[string]*task{}
}

func (x *Worker) hung() bool { return time.Now().Before(x.hungUntil) }

// hang stops the machine for a time. What arrives meanwhile is handled when it goes on.
func (x *Worker) hang(d time.Duration) {
	x.hungUntil, x.resumed = time.Now().Add(d), make(chan struct{})
	resumed := x.resumed
	x.w.logf("%s hangs for %v", x.m.id, d)
	time.AfterFunc(d, func() { close(resumed) })
}

func (x *Worker) report() []byte {
	x.tally++
	pieces := []map[string]any{}
	for _, t := range x.tasks {
		p := map[string]any{"piece": t.piece, "try": t.try, "phase": t.phase}
		if t.phase == "exited" {
			p["cause"] = t.cause
			if t.kept {
				p["kept"] = true
			}
		}
		pieces = append(pieces, p)
	}
	b, _ := json.Marshal(map[string]any{"berth": x.m.id, "address": x.address, "build": x.m.build, "yard": x.m.yard, "loaners": x.m.spot,
		"tenure": x.tenure, "tally": x.tally, "warrant": x.warrant, "recall_s": x.recall, "pieces": pieces})
	return b
}

// loop sends the reports.
func (x *Worker) loop() {
	w := x.w
	due := time.Now().Add(time.Duration(rand.Float64() * w.set.ReportS * float64(time.Second)))
	for {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		if x.dead {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		if x.hung() || !(now.After(due) || x.changed && now.Sub(x.lastSent) >= 500*time.Millisecond) {
			w.mu.Unlock()
			continue
		}
		due = now.Add(time.Duration((0.75 + 0.5*rand.Float64()) * w.set.ReportS * float64(time.Second)))
		x.changed, x.lastSent = false, now
		body, tenure, node := x.report(), x.tenure, x.node
		lost, deaf, onReport := x.mute || x.cutFrom[node], x.deaf, x.onReport
		w.mu.Unlock()
		if onReport != nil {
			onReport(node, body)
		}
		status, answer := 0, []byte(nil)
		if lost {
			time.Sleep(4 * time.Second)
		} else {
			status, answer = w.call("POST", "http://"+w.nodes[node].listen+"/checkin", body, 4*time.Second)
			if deaf {
				time.Sleep(4*time.Second - min(4*time.Second, time.Since(now)))
				status = 0
			}
		}
		for { // an answer that arrives while the machine hangs is read when it goes on
			w.mu.Lock()
			if !x.hung() {
				break
			}
			w.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
		}
		if time.Since(now) > 4*time.Second {
			status = 0
		}
		pause := x.handleAnswer(status, answer, now, tenure)
		w.mu.Unlock()
		time.Sleep(pause)
	}
}

// handleAnswer handles the answer to a report and returns the pause before the next one. The caller
// holds the lock.
func (x *Worker) handleAnswer(status int, answer []byte, sent time.Time, tenure uint64) time.Duration {
	switch status {
	case 200:
		var v struct {
			Warrant *uint64 `json:"warrant"`
			Orders  []order `json:"orders"`
		}
		if json.Unmarshal(answer, &v) != nil || v.Warrant == nil || tenure != x.tenure || !x.accept(*v.Warrant) {
			return 0
		}
		x.leaseFrom = sent
		x.execute(v.Orders, "report")
		return 0
	case 421:
		var v struct {
			Steward string `json:"steward"`
		}
		json.Unmarshal(answer, &v)
		for i, n := range x.w.nodes {
			if n.name == v.Steward && i != x.node {
				x.node, x.changed = i, true
				return time.Duration(rand.Intn(500)) * time.Millisecond
			}
		}
	}
	x.node, x.changed = (x.node+1)%len(x.w.nodes), true
	return time.Second
}

func (x *Worker) accept(warrant uint64) bool {
	if warrant < x.warrant {
		x.w.logf("%s drops token %d, has %d", x.m.id, warrant, x.warrant)
		return false
	}
	if warrant > x.warrant {
		x.warrant = warrant
		if time.Since(x.tokenChangedAt).Seconds() > x.w.set.LeaseS/2 {
			x.tokenChangedAt, x.changed = time.Now(), true
		}
	}
	return true
}

// handler serves direct commands.
func (x *Worker) handler() http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w := x.w
		w.mu.Lock()
		for x.hung() {
			resumed := x.resumed
			w.mu.Unlock()
			<-resumed
			w.mu.Lock()
		}
		if x.dead || !x.up || x.deaf {
			w.mu.Unlock()
			<-r.Context().Done()
			return
		}
		if r.URL.Path == "/inspect" {
			b := x.report()
			w.mu.Unlock()
			out.Write(b)
			return
		}
		if x.ordersDelay != nil {
			if d := x.ordersDelay(); d > 0 {
				w.mu.Unlock()
				time.Sleep(d)
				w.mu.Lock()
				w.logf("%s executes a command that was held up for %v", x.m.id, d)
				x.direct(body)
				w.mu.Unlock()
				<-r.Context().Done()
				return
			}
		}
		status, b := x.direct(body)
		w.mu.Unlock()
		out.WriteHeader(status)
		out.Write(b)
	})
}

func (x *Worker) direct(body []byte) (int, []byte) {
	var v struct {
		Warrant *uint64 `json:"warrant"`
		Tenure  *uint64 `json:"tenure"`
		Orders  []order `json:"orders"`
	}
	if json.Unmarshal(body, &v) != nil || v.Warrant == nil || v.Tenure == nil {
		return 400, []byte("{}")
	}
	if x.dead || *v.Tenure != x.tenure || !x.accept(*v.Warrant) {
		return 409, x.report()
	}
	x.execute(v.Orders, "direct")
	return 200, x.report()
}

func (x *Worker) execute(orders []order, via string) {
	for _, o := range orders {
		key := fmt.Sprintf("%s#%d", o.Piece, o.Try)
		t := x.tasks[key]
		x.w.logf("%s order by %s, token %d: %s %s %g", x.m.id, via, x.warrant, o.Verb, key, o.Leeway)
		switch {
		case o.Verb == "start" && t == nil:
			x.start(key, o)
		case o.Verb == "halt" && t != nil:
			t.halt(o.Leeway)
		case o.Verb == "reap" && t != nil && t.phase == "exited":
			delete(x.tasks, key)
		}
		x.changed = true
	}
}

func (x *Worker) start(key string, o order) {
	uid, number, _ := strings.Cut(o.Piece, "/")
	index, err := strconv.Atoi(number)
	t := &task{worker: x, piece: o.Piece, index: index, try: o.Try, phase: "fetching", job: x.w.jobs[uid]}
	x.tasks[key] = t
	if t.job == nil || err != nil || index >= t.job.spec.Pieces {
		t.phase, t.cause = "exited", "no_such"
		return
	}
	s := &t.job.spec
	cpus, gpus, memory := s.CPUs, s.GPUs, s.MemoryGB
	for _, other := range x.tasks {
		if other == t || other.phase == "exited" {
			continue
		}
		if other.piece == t.piece {
			t.phase, t.cause = "exited", "in_use"
			return
		}
		cpus, gpus, memory = cpus+other.job.spec.CPUs, gpus+other.job.spec.GPUs, memory+other.job.spec.MemoryGB
	}
	build := x.w.cloud.types[0]
	for _, b := range x.w.cloud.types {
		if b.Label == x.m.build {
			build = b
		}
	}
	if cpus > build.CPUs+1e-9 || gpus > build.GPUs+1e-9 || memory > build.MemoryGB+1e-9 {
		t.phase, t.cause = "exited", "full"
		x.w.logf("%s: %s refused, full", x.m.id, key)
		return
	}
	if !x.images[s.Bundle] {
		t.fetchLeft = s.PullGB / build.Fetch
	}
}

func (t *task) exit(cause string, kept bool) {
	if t.phase == "exited" {
		return
	}
	t.leave()
	t.phase, t.cause, t.kept = "exited", cause, kept
	t.worker.changed = true
	t.worker.w.logf("%s: %s#%d exited: %s", t.worker.m.id, t.piece, t.try, cause)
}

// leave takes the task off its machine, and out of its gang.
func (t *task) leave() {
	w := t.worker.w
	if t.on {
		t.on = false
		w.check.left(t)
	}
	if g := t.gang; g != nil && !g.ended {
		if g.running {
			g.fail(t)
		} else {
			delete(g.members, t.index)
		}
	}
	t.gang = nil
}

func (g *gang) fail(lost *task) {
	if g.ended {
		return
	}
	g.ended = true
	if every := g.job.spec.SnapshotS; every > 0 && g.stopAt == 0 {
		g.job.progress[0] = max(g.job.progress[0], math.Floor(g.ran/every)*every)
	}
	for _, t := range g.members {
		if t != lost {
			t.exitIn = 0.1 + rand.Float64()*(t.worker.w.set.GangPeerS-0.2)
		}
	}
}

func (t *task) halt(leeway float64) {
	if t.phase == "exited" || t.phase == "saving" && leeway > 0 {
		return
	}
	if t.phase != "running" || t.job.spec.SnapshotS == 0 || leeway < t.job.spec.FlushS {
		t.exit("stopped", false)
		return
	}
	t.phase, t.saveLeft = "saving", t.job.spec.FlushS
	if t.gang != nil && t.gang.stopAt == 0 {
		t.gang.stopAt = 0.001
	}
}

// tick advances the machine by dt seconds. The caller holds the lock.
func (x *Worker) tick(dt float64) {
	if !x.up || x.dead {
		return
	}
	if time.Since(x.leaseFrom).Seconds() > x.w.set.LeaseS {
		x.w.logf("%s: lease expired, session %d", x.m.id, x.tenure+1)
		for _, t := range x.tasks {
			t.leave()
		}
		x.tasks = map[string]*task{}
		x.tenure++
		x.tally, x.leaseFrom, x.changed = 0, time.Now(), true
	}
	if x.hung() {
		for _, t := range x.tasks {
			if t.gang != nil && t.gang.running {
				t.gang.fail(t)
			}
		}
		return
	}
	for _, t := range x.tasks {
		t.tick(dt)
	}
}

func (t *task) tick(dt float64) {
	w := t.worker.w
	if t.exitIn > 0 {
		if t.exitIn -= dt; t.exitIn <= 0 {
			t.exit("mates_gone", false)
		}
		return
	}
	switch t.phase {
	case "fetching":
		if t.fetchLeft -= dt; t.fetchLeft <= 0 {
			t.worker.images[t.job.spec.Bundle] = true
			t.on, t.worker.changed = true, true
			w.check.started(t)
			t.imageReady()
		}
	case "waiting":
		if t.waited += dt; t.waited > w.set.GangWaitS {
			t.exit("alone", false)
		}
	case "running":
		if t.gang != nil {
			return // the world advances gangs
		}
		if t.ran += dt; t.job.spec.Shape == "array" && t.job.progress[t.index]+t.ran >= t.job.runS {
			t.job.done[t.index] = true
			t.exit("done", false)
		}
	case "saving":
		if t.gang != nil {
			return
		}
		if t.saveLeft -= dt; t.saveLeft <= 0 {
			if t.job.spec.Shape == "array" {
				t.job.progress[t.index] += t.ran
			}
			t.exit("stopped", true)
		}
	}
}

func (t *task) imageReady() {
	j := t.job
	switch {
	case j.done[t.index]:
		t.exit("done", false)
	case t.worker.sick || j.mistake:
		t.exit("error", false)
	case j.spec.Shape == "gang":
		key := fmt.Sprintf("%s#%d", j.spec.UID, t.try)
		g := t.worker.w.gangs[key]
		if g == nil || g.ended {
			g = &gang{job: j, members: map[int]*task{}}
			t.worker.w.gangs[key] = g
		}
		t.phase, t.gang = "waiting", g
		g.members[t.index] = t
		if len(g.members) == j.spec.Pieces {
			g.running = true
			for _, m := range g.members {
				m.phase, m.worker.changed = "running", true
			}
		}
	default:
		t.phase = "running"
	}
}

func (g *gang) tick(dt float64, peerS float64) {
	if !g.running || g.ended {
		return
	}
	if g.stopAt > 0 {
		if g.stopAt += dt; g.stopAt >= min(peerS, g.job.spec.FlushS+1) {
			for _, t := range g.members {
				if t.phase != "saving" {
					if g.stopAt < peerS {
						return
					}
					g.fail(nil)
					return
				}
			}
			g.ended = true
			g.job.progress[0] += g.ran
			for _, t := range g.members {
				t.exit("stopped", true)
			}
		}
		return
	}
	if g.ran += dt; g.job.progress[0]+g.ran >= g.job.runS {
		g.ended = true
		for i := range g.job.done {
			g.job.done[i] = true
		}
		for _, t := range g.members {
			t.exit("done", false)
		}
	}
}

// call makes an HTTP request. Status 0 means that no answer came in time.
func (w *World) call(method, url string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}
