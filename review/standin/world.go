package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings are those of the deployment, in the units of the settings file.
type Settings struct {
	Zones                                             []string
	NodeZones                                         []string
	Teams                                             []team
	ReportS, LeaseS, GangWaitS, GangPeerS, CancelS    float64
	StateRPS, StateWrites, ValueKB, CloudRPS, ListLag float64
	TxnOps                                            int
	Cores, MemoryMB                                   float64
	FDLimit                                           int
}

type team struct {
	Name                     string
	CPUs, CPUsMax, GPUs, Max float64
}

// World holds the stand-ins and the controllers' processes.
type World struct {
	mu     sync.Mutex
	set    Settings
	t0     time.Time
	record *os.File
	recMu  sync.Mutex
	dir    string
	run    []string // the deploy file's run command
	root   string
	client *http.Client
	nodes  []*Node
	store  *Store
	cloud  *Cloud
	jobs   map[string]*job
	gangs  map[string]*gang
	check  *Check
}

type spec struct {
	UID       string   `json:"uid"`
	Lane      string   `json:"lane"`
	Crew      string   `json:"crew"`
	Shape     string   `json:"shape"`
	Rank      string   `json:"rank"`
	Pieces    int      `json:"pieces"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"gpus"`
	MemoryGB  float64  `json:"memory_gb"`
	Bundle    string   `json:"bundle"`
	PullGB    float64  `json:"pull_gb"`
	Builds    []string `json:"builds"`
	Yard      *string  `json:"yard"`
	OneZone   bool     `json:"one_zone"`
	Scatter   bool     `json:"scatter"`
	Loaners   bool     `json:"loaners"`
	ExpectS   float64  `json:"expect_s"`
	SnapshotS float64  `json:"snapshot_s"`
	FlushS    float64  `json:"flush_s"`
	DueS      *float64 `json:"due_s"`
}

// job is what the users and workers know about a job.
type job struct {
	spec        spec
	runS        float64
	done        []bool
	progress    []float64
	submitted   time.Time
	accepted    time.Time // the user was told so
	cancelTried time.Time
	cancelled   time.Time // the user was told so
	saidDone    time.Time
	firstStart  time.Time
	mistake     bool // submitted with a mistake: it fails on every machine
}

// Node is a controller.
type Node struct {
	w                  *World
	index              int
	name, listen, peer string
	settings           string
	cmd                *exec.Cmd
	exited             chan struct{}
	stopped            bool
}

func (w *World) at() float64 { return time.Since(w.t0).Seconds() }

func (w *World) logf(format string, args ...any) {
	w.recMu.Lock()
	defer w.recMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", w.at(), fmt.Sprintf(format, args...))
}

// serve starts an HTTP server on a free loopback address.
func (w *World) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	go http.Serve(l, h)
	return l.Addr().String()
}

// freeAddress returns a loopback address on which nothing listens. Its port is below those that the
// system chooses for connections.
func freeAddress() string {
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 15000+rand.Intn(17000)))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	cannotRun("no free port")
	return ""
}

// cleanUp ends what this process started.
var cleanUp = func() {}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	cleanUp()
	os.Exit(2)
}

func newWorld(record string, set Settings) *World {
	f, err := os.Create(record)
	if err != nil {
		cannotRun("%v", err)
	}
	dir, err := os.MkdirTemp("", "gappond-review-")
	if err != nil {
		cannotRun("%v", err)
	}
	w := &World{set: set, t0: time.Now(), record: f, dir: dir, jobs: map[string]*job{}, gangs: map[string]*gang{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}}
	w.check = &Check{w: w, on: map[string]map[*task]bool{}}
	w.root, _ = os.Getwd()
	deploy, err := os.ReadFile(filepath.Join(w.root, "deploy", "service.toml"))
	if err != nil {
		cannotRun("start it in the repository: %v", err)
	}
	for _, line := range strings.Split(string(deploy), "\n") {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			w.run = strings.Fields(strings.Trim(v, `"`))
		}
	}
	for i := range set.NodeZones {
		w.nodes = append(w.nodes, &Node{w: w, index: i, name: fmt.Sprintf("berth-%d", i), listen: freeAddress(), peer: freeAddress()})
	}
	w.store = newStore(w, len(w.nodes))
	w.cloud = &Cloud{w: w, hires: map[string][]string{}, room: map[string]int{}, boot: func() time.Duration { return 3 * time.Second }}
	cloudAddress := w.serve(w.cloud.handler())
	for i, n := range w.nodes {
		n.writeSettings(w.serve(w.store.handler(i)), cloudAddress)
	}
	cleanUp = func() {
		for _, n := range w.nodes {
			n.kill()
		}
		os.RemoveAll(dir)
	}
	go func() {
		last := time.Now()
		for range time.Tick(20 * time.Millisecond) {
			w.mu.Lock()
			dt := time.Since(last).Seconds()
			last = time.Now()
			for _, m := range w.cloud.machines {
				m.worker.tick(dt)
			}
			for _, g := range w.gangs {
				g.tick(dt, w.set.GangPeerS)
			}
			w.check.tick()
			w.mu.Unlock()
		}
	}()
	go func() {
		for range time.Tick(500 * time.Millisecond) {
			w.mu.Lock()
			w.cloud.snapshot()
			w.mu.Unlock()
		}
	}()
	return w
}

func (n *Node) writeSettings(state, cloud string) {
	s := &n.w.set
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("host_name = %q\ndomain = %q\nlisten = %q\npeer_bind = %q", n.name, s.NodeZones[n.index], n.listen, n.peer)
	for _, o := range n.w.nodes {
		if o != n {
			link := newLink(n.w, n, o)
			p("[[siblings]]\nhost_name = %q\ndomain = %q\naddr = %q", o.name, s.NodeZones[o.index], link)
		}
	}
	p("[endpoints]\ncloud = %q\nstate = %q", cloud, state)
	zones, _ := json.Marshal(s.Zones)
	p("[cluster]\nnodes = %d\nzones = %s\nskew_ms = 5.0", len(n.w.nodes), zones)
	for _, t := range s.Teams {
		p("[[cluster.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = %.1f\ngpus_max = %.1f", t.Name, t.CPUs, t.CPUsMax, t.GPUs, t.Max)
	}
	p("[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f", s.ReportS, s.LeaseS, s.GangWaitS, s.GangPeerS, s.CancelS)
	p("[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d", s.StateRPS, s.StateWrites, s.ValueKB, s.TxnOps)
	p("[cluster.cloud]\nrps = %.1f\nlist_lag_s = %.1f", s.CloudRPS, s.ListLag)
	p("[cluster.resources]\ncores = %.3f\nmemory_mb = %.1f\nfd_limit = %d", s.Cores, s.MemoryMB, s.FDLimit)
	n.settings = filepath.Join(n.w.dir, n.name+".toml")
	if err := os.WriteFile(n.settings, []byte(b.String()), 0o600); err != nil {
		cannotRun("%v", err)
	}
}

// start starts the controller's process with the command of the deploy file.
func (n *Node) start() {
	args := append(append([]string{}, n.w.run...), n.settings)
	n.cmd = exec.Command(args[0], args[1:]...)
	n.cmd.Dir = n.w.root
	level := os.Getenv("LOG_LEVEL")
	n.cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	n.cmd.Stderr, n.cmd.Stdout = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		cannotRun("start of a controller: %v", err)
	}
	n.w.logf("controller %d started", n.index)
	cmd, exited := n.cmd, make(chan struct{})
	n.exited = exited
	go func() {
		cmd.Wait()
		n.w.logf("controller %d ended: %v", n.index, cmd.ProcessState)
		close(exited)
	}()
}

func (n *Node) running() bool {
	if n.cmd == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

func (n *Node) kill() {
	if n.running() {
		n.w.logf("controller %d killed", n.index)
		n.cmd.Process.Kill()
		<-n.exited
	}
}

func (n *Node) signal(s syscall.Signal) {
	n.w.logf("controller %d: signal %v", n.index, s)
	n.cmd.Process.Signal(s)
}

func (w *World) startAll() {
	for _, n := range w.nodes {
		n.start()
	}
}

// leaderNode returns the controller that holds the leader lease, nil if none does.
func (w *World) leaderNode() *Node {
	name := w.store.leader()
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// waitReady waits until every controller is ready, there is a leader, and machines report.
func (w *World) waitReady(timeout time.Duration) {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		ready := 0
		for _, n := range w.nodes {
			if !n.running() {
				cannotRun("controller %d ended at its start", n.index)
			}
			if status, _ := w.call("GET", "http://"+n.listen+"/ready", nil, time.Second); status == 200 {
				ready++
			}
		}
		if ready == len(w.nodes) && w.leaderNode() != nil {
			w.logf("all controllers are ready, leader %s", w.store.leader())
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	cannotRun("the controllers did not become ready")
}

// links holds the proxies between controllers, by "from>to".
var links = map[string]*link{}

// link is a proxy for the connections of one controller to another. While held is set, what arrives
// is kept back, and is passed on in order afterwards.
type link struct {
	w     *World
	mu    sync.Mutex
	held  bool
	conns map[net.Conn]bool
}

func newLink(w *World, from, to *Node) string {
	l := &link{w: w, conns: map[net.Conn]bool{}}
	links[fmt.Sprintf("%d>%d", from.index, to.index)] = l
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c, to.peer)
		}
	}()
	return listener.Addr().String()
}

func (l *link) wait() {
	for {
		l.mu.Lock()
		held := l.held
		l.mu.Unlock()
		if !held {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (l *link) serve(c net.Conn, to string) {
	defer c.Close()
	l.wait()
	out, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan bool, 2)
	pipe := func(dst, src net.Conn) {
		b := make([]byte, 32<<10)
		for {
			n, err := src.Read(b)
			l.wait()
			if n > 0 {
				if _, err := dst.Write(b[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- true
	}
	go pipe(out, c)
	go pipe(c, out)
	<-done
}

// cutPeers cuts a controller from the others, or ends the cut.
func (w *World) cutPeers(n *Node, held bool) {
	w.logf("controller %d cut from the others: %v", n.index, held)
	for key, l := range links {
		if strings.HasPrefix(key, fmt.Sprint(n.index, ">")) || strings.HasSuffix(key, fmt.Sprint(">", n.index)) {
			l.mu.Lock()
			l.held = held
			l.mu.Unlock()
		}
	}
}

// user requests

func (w *World) newJob(s spec, runS float64) *job {
	j := &job{spec: s, runS: runS, done: make([]bool, s.Pieces), progress: make([]float64, s.Pieces)}
	w.mu.Lock()
	w.jobs[s.UID] = j
	w.mu.Unlock()
	return j
}

// ask sends a user's request to a controller.
func (w *World) ask(n *Node, method, path string, body any, timeout time.Duration) (int, map[string]any) {
	b, _ := json.Marshal(body)
	if body == nil {
		b = nil
	}
	status, answer := w.call(method, "http://"+n.listen+path, b, timeout)
	var v map[string]any
	json.Unmarshal(answer, &v)
	w.logf("user: %s %s at controller %d: %d %s", method, path, n.index, status, strings.TrimSpace(string(answer)))
	return status, v
}

// submit submits a job as users do: it repeats the request for up to a minute.
func (w *World) submit(j *job, first int) bool {
	j.submitted = time.Now()
	for i := first; time.Since(j.submitted) < time.Minute; i++ {
		n := w.nodes[i%len(w.nodes)]
		status, _ := w.ask(n, "POST", "/v2/runs", j.spec, 5*time.Second)
		switch status {
		case 200, 201:
			w.mu.Lock()
			j.accepted = time.Now()
			w.mu.Unlock()
			return true
		case 400, 422:
			if !j.accepted.IsZero() {
				w.check.violated("forgotten", "%s refused with %d", j.spec.UID, status)
			}
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// poll asks for a job's state and checks the answer.
func (w *World) poll(j *job, n *Node) (int, string) {
	w.mu.Lock()
	accepted, cancelled, saidDone := j.accepted, j.cancelled, j.saidDone
	w.mu.Unlock()
	status, v := w.ask(n, "GET", "/v2/runs/"+j.spec.UID, nil, 2*time.Second)
	phase, _ := v["phase"].(string)
	if status == 404 && !accepted.IsZero() {
		w.check.violated("forgotten", "%s: 404", j.spec.UID)
	}
	if status != 200 {
		return status, ""
	}
	if !cancelled.IsZero() && phase != "withdrawn" || !saidDone.IsZero() && phase != "done" {
		w.check.violated("went_back", "%s is called %s", j.spec.UID, phase)
	}
	w.noteAnswer(j, phase)
	return status, phase
}

func (w *World) noteAnswer(j *job, phase string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch phase {
	case "done":
		if j.saidDone.IsZero() {
			j.saidDone = time.Now()
		}
		for _, done := range j.done {
			if !done {
				w.check.violated("not_done", "%s is called done", j.spec.UID)
				break
			}
		}
	case "withdrawn":
		if j.cancelTried.IsZero() {
			w.check.violated("went_back", "%s is called cancelled, its user did not cancel it", j.spec.UID)
		}
		if j.cancelled.IsZero() {
			j.cancelled = time.Now()
			w.logf("user: %s is cancelled", j.spec.UID)
		}
	}
}

// cancel cancels a job as users do, until it is answered.
func (w *World) cancel(j *job, first int) string {
	w.mu.Lock()
	j.cancelTried = time.Now()
	w.mu.Unlock()
	for i, end := first, time.Now().Add(time.Minute); time.Now().Before(end); i++ {
		status, v := w.ask(w.nodes[i%len(w.nodes)], "POST", "/v2/runs/"+j.spec.UID+"/withdraw", nil, 5*time.Second)
		if status == 200 {
			phase, _ := v["phase"].(string)
			w.noteAnswer(j, phase)
			return phase
		}
		if status == 404 && !j.accepted.IsZero() {
			w.check.violated("forgotten", "%s: 404 to its cancellation", j.spec.UID)
		}
		time.Sleep(time.Second)
	}
	return ""
}

// keepLogs copies the controllers' logs next to the record.
func (w *World) keepLogs(dir string) {
	for _, n := range w.nodes {
		if b, err := os.ReadFile(filepath.Join(w.dir, n.name+".log")); err == nil {
			os.WriteFile(filepath.Join(dir, n.name+".log"), b, 0o600)
		}
	}
}
