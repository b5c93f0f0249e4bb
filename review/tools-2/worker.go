package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// worker is the stand-in for the worker of one machine, written from the protocol.
type worker struct {
	w         *world
	m         *machine
	link      *link            // on which controllers reach it
	to        map[string]*link // on which it reaches the controllers
	tenure    uint64
	tally     uint64
	warrant   uint64
	leaseFrom time.Time
	tasks     map[string]*task // by piece and attempt
	images    map[string]bool
	target    int
	nextAt    time.Time
	lastSent  time.Time
	changed   bool
	inFlight  bool
	up        bool
	hung      bool
	sick      bool
	recall    *float64
	tokenNews time.Time
	client    *http.Client
}

type task struct {
	w         *world
	m         *machine
	job       *job
	uid       string
	piece     string
	index     int
	try       uint64
	phase     string
	cause     string
	kept      bool
	on        bool // on its machine: has its image and has not exited
	timer     *time.Timer
	startedAt time.Time
}

func newWorker(w *world, m *machine) *worker {
	k := &worker{w: w, m: m, tenure: 1, tasks: map[string]*task{}, images: map[string]bool{}, target: w.rng.Intn(3), to: map[string]*link{}}
	k.link = newLink(serve(k))
	for _, n := range w.nodes {
		k.to[n.name] = newLink(n.listen)
	}
	k.client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return k
}

// begin starts the worker. The caller holds mu.
func (k *worker) begin() {
	k.up, k.leaseFrom = true, time.Now()
	k.nextAt = time.Now().Add(time.Duration(k.w.rng.Float64() * k.w.d.reportS * float64(time.Second)))
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			k.w.mu.Lock()
			over := k.m.gone
			if !over {
				k.tick()
			}
			k.w.mu.Unlock()
			if over {
				return
			}
		}
	}()
}

func (k *worker) tick() {
	now := time.Now()
	if now.Sub(k.leaseFrom).Seconds() > k.w.d.leaseS {
		k.w.note("%s: lease ended", k.m.id)
		k.killAll()
		k.tenure, k.tally, k.leaseFrom, k.changed = k.tenure+1, 0, now, true
	}
	if k.hung || k.inFlight {
		return
	}
	if now.Before(k.nextAt) && !(k.changed && now.Sub(k.lastSent) > 500*time.Millisecond) {
		return
	}
	k.nextAt = now.Add(time.Duration((0.75 + 0.5*k.w.rng.Float64()) * k.w.d.reportS * float64(time.Second)))
	k.lastSent, k.changed, k.inFlight = now, false, true
	body, tenure := k.report(), k.tenure
	n := k.w.nodes[k.target]
	go k.send(n, body, now, tenure)
}

// report returns the worker's report. The caller holds mu.
func (k *worker) report() []byte {
	k.tally++
	pieces := []map[string]any{}
	var keys []string
	for key := range k.tasks {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		t := k.tasks[key]
		e := map[string]any{"piece": t.piece, "try": t.try, "phase": t.phase}
		if t.phase == "exited" {
			e["cause"] = t.cause
			if t.kept {
				e["kept"] = true
			}
		}
		pieces = append(pieces, e)
	}
	b, _ := json.Marshal(map[string]any{"berth": k.m.id, "address": k.link.address, "build": k.w.d.build.Label, "yard": k.m.yard, "loaners": k.m.loaners,
		"tenure": k.tenure, "tally": k.tally, "warrant": k.warrant, "recall_s": k.recall, "pieces": pieces})
	return b
}

func (k *worker) send(n *node, body []byte, sent time.Time, tenure uint64) {
	status, text := 0, []byte(nil)
	if len(body) <= 64<<10 {
		if r, err := k.client.Post("http://"+k.to[n.name].address+"/checkin", "application/json", bytes.NewReader(body)); err == nil {
			if text, err = io.ReadAll(r.Body); err == nil {
				status = r.StatusCode
			}
			r.Body.Close()
		}
	} else {
		k.w.mu.Lock()
		k.w.note("%s: its report has %d bytes and may not be sent", k.m.id, len(body))
		k.w.mu.Unlock()
	}
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	if k.m.gone {
		return
	}
	next := func() {
		k.target = (k.target + 1) % len(k.w.nodes)
		time.AfterFunc(time.Second, func() { k.w.mu.Lock(); k.inFlight, k.changed = false, true; k.w.mu.Unlock() })
	}
	switch status {
	case 200:
		k.inFlight = false
		if time.Since(sent) > 4*time.Second || k.hung || tenure != k.tenure {
			return
		}
		var a struct {
			Warrant uint64  `json:"warrant"`
			Orders  []order `json:"orders"`
		}
		if json.Unmarshal(text, &a) != nil || a.Warrant == 0 || !k.accept(a.Warrant) {
			return
		}
		k.leaseFrom = sent
		k.execute(a.Orders)
	case 421:
		var a struct {
			Steward string `json:"steward"`
		}
		json.Unmarshal(text, &a)
		for i, o := range k.w.nodes {
			if o.name == a.Steward && o != n {
				k.target = i
				time.AfterFunc(time.Duration(k.w.rng.Intn(500))*time.Millisecond, func() { k.w.mu.Lock(); k.inFlight, k.changed = false, true; k.w.mu.Unlock() })
				return
			}
		}
		next()
	default:
		next()
	}
}

type order struct {
	Verb   string  `json:"verb"`
	Piece  string  `json:"piece"`
	Try    uint64  `json:"try"`
	Leeway float64 `json:"leeway_s"`
}

func (k *worker) accept(warrant uint64) bool {
	if warrant < k.warrant {
		return false
	}
	if warrant > k.warrant {
		k.warrant = warrant
		if time.Since(k.tokenNews).Seconds() > k.w.d.leaseS/2 {
			k.tokenNews, k.changed = time.Now(), true
		}
	}
	return true
}

func (k *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	k.w.mu.Lock()
	for k.hung && !k.m.gone {
		k.w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		k.w.mu.Lock()
	}
	defer k.w.mu.Unlock()
	if k.m.gone || !k.up {
		panic(http.ErrAbortHandler)
	}
	k.tick0()
	if r.URL.Path == "/inspect" {
		out.Write(k.report())
		return
	}
	var q struct {
		Warrant *uint64 `json:"warrant"`
		Tenure  *uint64 `json:"tenure"`
		Orders  []order `json:"orders"`
	}
	json.Unmarshal(body, &q)
	switch {
	case q.Warrant == nil || q.Tenure == nil:
		out.WriteHeader(400)
	case *q.Tenure != k.tenure || !k.accept(*q.Warrant):
		out.WriteHeader(409)
	default:
		k.execute(q.Orders)
		if k.w.copies && k.w.rng.Intn(2) == 0 {
			k.copyLater(body)
		}
	}
	out.Write(k.report())
}

// copyLater has a copy of a call that was executed arrive once more, up to a minute late.
func (k *worker) copyLater(body []byte) {
	time.AfterFunc(time.Duration(500+k.w.rng.Intn(60000))*time.Millisecond, func() {
		k.w.mu.Lock()
		defer k.w.mu.Unlock()
		var q struct {
			Warrant uint64  `json:"warrant"`
			Tenure  uint64  `json:"tenure"`
			Orders  []order `json:"orders"`
		}
		json.Unmarshal(body, &q)
		if k.m.gone || k.hung {
			return
		}
		k.tick0()
		if q.Tenure == k.tenure && q.Warrant >= k.warrant {
			k.w.note("%s gets a copy of %d orders", k.m.id, len(q.Orders))
			k.execute(q.Orders)
		}
	})
}

// tick0 ends an expired lease before anything else is done.
func (k *worker) tick0() {
	if time.Since(k.leaseFrom).Seconds() > k.w.d.leaseS {
		k.killAll()
		k.tenure, k.tally, k.leaseFrom, k.changed = k.tenure+1, 0, time.Now(), true
	}
}

func (k *worker) execute(orders []order) {
	for _, o := range orders {
		key := o.Piece + "@" + strconv.FormatUint(o.Try, 10)
		t := k.tasks[key]
		if o.Verb != "reap" || os_verbose {
			k.w.note("%s executes %s %s", k.m.id, o.Verb, key)
		}
		switch {
		case o.Verb == "start" && t == nil:
			k.startTask(key, o)
		case o.Verb == "halt" && t != nil:
			t.halt(o.Leeway)
		case o.Verb == "reap" && t != nil && t.phase == "exited":
			delete(k.tasks, key)
		}
	}
}

var os_verbose = false

func (k *worker) startTask(key string, o order) {
	uid, rest, _ := strings.Cut(o.Piece, "/")
	index, _ := strconv.Atoi(rest)
	t := &task{w: k.w, m: k.m, uid: uid, piece: o.Piece, index: index, try: o.Try, phase: "fetching"}
	k.tasks[key] = t
	k.changed = true
	j := k.w.jobs[uid]
	refuse := func(cause string) { t.phase, t.cause = "exited", cause }
	if j == nil || index >= j.spec.Pieces {
		refuse("no_such")
		return
	}
	t.job = j
	cpus, gpus, memory := j.spec.CPUs, j.spec.GPUs, j.spec.MemoryGB
	for _, other := range k.tasks {
		if other == t || other.phase == "exited" {
			continue
		}
		if other.piece == t.piece {
			refuse("in_use")
			return
		}
		cpus, gpus, memory = cpus+other.job.spec.CPUs, gpus+other.job.spec.GPUs, memory+other.job.spec.MemoryGB
	}
	b := &k.w.d.build
	if cpus > b.CPUs+1e-6 || gpus > b.GPUs+1e-6 || memory > b.MemoryGB+1e-6 {
		refuse("full")
		return
	}
	fetch := 0.0
	if !k.images[j.spec.Bundle] {
		fetch = j.spec.PullGB / b.Fetch
	}
	t.after(fetch, func() { k.images[j.spec.Bundle] = true; t.imageReady() })
}

// after calls do later, unless the task has exited. A machine that hangs does nothing meanwhile.
func (t *task) after(s float64, do func()) {
	var fire func()
	fire = func() {
		t.w.mu.Lock()
		defer t.w.mu.Unlock()
		if t.phase == "exited" || t.m.gone {
			return
		}
		if t.m.worker.hung {
			time.AfterFunc(50*time.Millisecond, fire)
			return
		}
		do()
	}
	time.AfterFunc(time.Duration(s*float64(time.Second)), fire)
}

func (t *task) imageReady() {
	w, j := t.w, t.job
	t.m.worker.changed = true
	t.on, t.startedAt = true, time.Now()
	w.checkStart(t)
	w.placed[t.piece] = t
	u := w.used[j.spec.Crew]
	w.used[j.spec.Crew] = [2]float64{u[0] + j.spec.CPUs, u[1] + j.spec.GPUs}
	for _, team := range w.d.teams {
		if team.name == j.spec.Crew && (team.gpusMax > 0 && u[1]+j.spec.GPUs > team.gpusMax+1e-6 || team.cpusMax > 0 && u[0]+j.spec.CPUs > team.cpusMax+1e-6) {
			w.violated("quota", "%s uses %v CPUs and %v GPUs with %s on %s", team.name, u[0]+j.spec.CPUs, u[1]+j.spec.GPUs, t.piece, t.m.id)
		}
	}
	switch {
	case j.done[t.index]:
		t.exit("done", false)
	case t.m.worker.sick:
		t.phase = "running"
		t.after(0.3, func() { t.exit("error", false) })
	case j.spec.Shape == "gang":
		t.joinGang()
	case j.spec.Shape == "standing":
		t.phase = "running"
	default:
		t.phase = "running"
		t.after(j.run, func() {
			if t.phase == "running" {
				j.done[t.index] = true
				t.exit("done", false)
			}
		})
	}
}

// checkStart checks the rules for a task that is on its machine from now on.
func (w *world) checkStart(t *task) {
	w.starts++
	s := &t.job.spec
	w.note("%s@%d starts on %s in %s", t.piece, t.try, t.m.id, t.m.yard)
	if o := w.placed[t.piece]; o != nil {
		w.violated("ran_twice", "%s@%d starts on %s while it is on %s as attempt %d", t.piece, t.try, t.m.id, o.m.id, o.try)
	}
	if !t.job.withdrawnAt.IsZero() && time.Since(t.job.withdrawnAt).Seconds() > w.d.cancelS {
		w.violated("ran_cancelled", "%s starts %.1f s after its user was told that it is cancelled", t.piece, time.Since(t.job.withdrawnAt).Seconds())
	}
	if t.m.loaners && !s.Loaners || s.Yard != nil && *s.Yard != t.m.yard {
		w.violated("wrong_place", "%s starts on %s, in zone %s", t.piece, t.m.id, t.m.yard)
	}
	same, other := 1, 0
	for i := range s.Pieces {
		if o := w.placed[pieceName(s.UID, i)]; o != nil && o != t {
			if o.m.yard == t.m.yard {
				same++
			} else {
				other++
			}
		}
	}
	if s.OneZone && other > 0 {
		w.violated("wrong_place", "%s starts in %s while other tasks of its job are in another zone", t.piece, t.m.yard)
	}
	if s.Scatter && same > (s.Pieces+1)/2 {
		w.violated("wrong_place", "%s is the task number %d of %d in %s", t.piece, same, s.Pieces, t.m.yard)
	}
}

func (t *task) joinGang() {
	j := t.job
	t.phase = "waiting"
	if j.gangs[t.try] == nil {
		j.gangs[t.try] = map[int]*task{}
	}
	g := j.gangs[t.try]
	g[t.index] = t
	t.after(t.w.d.gangWaitS, func() {
		if t.phase == "waiting" {
			t.exit("alone", false)
		}
	})
	if len(g) < j.spec.Pieces {
		return
	}
	for _, o := range g {
		o.phase, o.m.worker.changed = "running", true
	}
	t.gangDone(g, time.Now().Add(time.Duration(j.run*float64(time.Second))))
}

func (t *task) gangDone(g map[int]*task, at time.Time) {
	time.AfterFunc(time.Until(at), func() {
		t.w.mu.Lock()
		defer t.w.mu.Unlock()
		for _, o := range g {
			if o.phase != "running" || o.m.gone || o.m.worker.hung {
				return
			}
		}
		for _, o := range g {
			t.job.done[o.index] = true
		}
		for _, o := range g {
			o.exit("done", false)
		}
	})
}

func (t *task) halt(leeway float64) {
	if t.phase == "exited" || t.phase == "saving" && leeway > 0 {
		return
	}
	if t.w.onHalt != nil {
		t.w.onHalt(t)
	}
	s := &t.job.spec
	if t.phase == "running" && s.Snapshot > 0 && leeway >= s.Flush {
		t.phase = "saving"
		t.m.worker.changed = true
		t.after(s.Flush, func() { t.exit("stopped", true) })
		return
	}
	t.exit("stopped", false)
}

// exit ends a task; it stays in the reports.
func (t *task) exit(cause string, kept bool) {
	if t.phase == "exited" {
		return
	}
	running := t.phase == "running" || t.phase == "saving"
	t.phase, t.cause, t.kept = "exited", cause, kept
	t.m.worker.changed = true
	t.leave()
	if t.job.spec.Shape == "gang" && cause != "done" {
		g := t.job.gangs[t.try]
		delete(g, t.index)
		if running {
			for _, o := range g {
				o.after(t.w.rng.Float64()*t.w.d.gangPeerS, func() {
					if o.phase == "running" {
						o.exit("mates_gone", false)
					}
				})
			}
		}
	}
}

// leave notes that a task is no longer on its machine.
func (t *task) leave() {
	if !t.on {
		return
	}
	t.on = false
	t.w.note("%s@%d leaves %s: %s", t.piece, t.try, t.m.id, t.cause)
	if t.w.placed[t.piece] == t {
		delete(t.w.placed, t.piece)
	}
	u := t.w.used[t.job.spec.Crew]
	t.w.used[t.job.spec.Crew] = [2]float64{u[0] - t.job.spec.CPUs, u[1] - t.job.spec.GPUs}
}

// killAll ends and forgets all tasks. The caller holds mu.
func (k *worker) killAll() {
	for _, t := range k.tasks {
		if t.phase != "exited" {
			t.exit("killed", false)
		}
	}
	k.tasks = map[string]*task{}
}
