package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A small deployment: controllers as processes, and stand-ins for the state service, the cloud, the
// workers and the users. What is on which machine is known exactly, so the rules can be checked.

type jobSpec struct {
	UID      string   `json:"uid"`
	Lane     string   `json:"lane"`
	Crew     string   `json:"crew"`
	Shape    string   `json:"shape"`
	Rank     string   `json:"rank"`
	Pieces   int      `json:"pieces"`
	CPUs     float64  `json:"cpus"`
	GPUs     float64  `json:"gpus"`
	MemoryGB float64  `json:"memory_gb"`
	Bundle   string   `json:"bundle"`
	PullGB   float64  `json:"pull_gb"`
	Builds   []string `json:"builds"`
	Yard     *string  `json:"yard"`
	OneZone  bool     `json:"one_zone"`
	Scatter  bool     `json:"scatter"`
	Loaners  bool     `json:"loaners"`
	ExpectS  float64  `json:"expect_s"`
	Snapshot float64  `json:"snapshot_s"`
	Flush    float64  `json:"flush_s"`
	Due      *float64 `json:"due_s"`
}

type job struct {
	spec        jobSpec
	run         float64 // seconds that each task runs
	done        []bool
	gangs       map[uint64]map[int]*task
	withdrawnAt time.Time // when its user was told
	final       string    // the final phase that its user was told
	accepted    bool
	askedCancel bool
}

type team struct {
	name                         string
	cpus, cpusMax, gpus, gpusMax float64
}

type deployment struct {
	zones                                          []string
	reportS, leaseS, gangWaitS, gangPeerS, cancelS float64
	stateRPS, stateWriteRPS, valueKB               float64
	txnOps                                         int
	nextValueKB                                    float64 // announced limits, 0 if there are none
	nextTxnOps                                     int
	cloudRPS, listLagS                             float64
	cores, memoryMB                                float64
	fdLimit                                        int
	teams                                          []team
	build                                          machineType
	capacity                                       map[string]int // by zone
	machines                                       map[string]int // up at the start, by zone
	bootMin, bootMax                               float64        // as a share of startup_s
}

type machineType struct {
	Label    string   `json:"label"`
	CPUs     float64  `json:"cpus"`
	GPUs     float64  `json:"gpus"`
	MemoryGB float64  `json:"memory_gb"`
	CacheGB  float64  `json:"cache_gb"`
	Fetch    float64  `json:"fetch_gb_per_s"`
	Hourly   float64  `json:"hourly"`
	Low      float64  `json:"low_price"`
	StartupS float64  `json:"startup_s"`
	Yards    []string `json:"yards"`
}

// kente is close to the first deployment of kentegrid-prod.
func kente() deployment {
	return deployment{
		zones: []string{"accra-east", "kumasi-central"}, reportS: 3, leaseS: 24, gangWaitS: 40, gangPeerS: 4, cancelS: 49,
		stateRPS: 80, stateWriteRPS: 15, valueKB: 8, txnOps: 12, cloudRPS: 6, listLagS: 6, cores: 0.06, memoryMB: 98, fdLimit: 800,
		teams: []team{{name: "editorial-desk"}, {name: "lexicon-team"}, {name: "delivery-ops"}},
		build: machineType{Label: "adinkra-gpu", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 120, Fetch: 1, Hourly: 11.24, Low: 2.91, StartupS: 30,
			Yards: []string{"accra-east", "kumasi-central"}},
		capacity: map[string]int{"accra-east": 4, "kumasi-central": 4}, machines: map[string]int{"accra-east": 2, "kumasi-central": 2},
		bootMin: 0.6, bootMax: 1.5,
	}
}

// current is the world of this run.
var current *world

type world struct {
	mu    sync.Mutex
	d     deployment
	root  string
	dir   string
	start time.Time
	rec   *os.File
	store *store
	cloud *cloud

	nodes       []*node
	machines    map[string]*machine
	jobs        map[string]*job
	placed      map[string]*task
	used        map[string][2]float64 // CPUs and GPUs by team
	broken      []string
	starts      int
	cancelCheck sync.WaitGroup
	crashes     int // controllers that ended by themselves
	closing     bool
	copies      bool        // calls of workers that were executed may arrive once more
	onHalt      func(*task) // called before a halt is executed
	rng         *rand.Rand
}

type node struct {
	w       *world
	name    string
	zone    string
	listen  string // of the process
	peers   string
	toState *link
	toCloud *link
	toPeer  map[string]*link // by peer
	config  string
	cmd     *exec.Cmd
	ended   chan struct{}
	killed  bool
	turn    sync.Mutex // held during a restart
	program []string   // with its folder first, if it isn't that of the deploy file
}

func fatal(format string, a ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", a...)
	os.Exit(2)
}

func (w *world) clock() string { return fmt.Sprintf("%8.3f", time.Since(w.start).Seconds()) }

// note writes a line to the record.
func (w *world) note(format string, a ...any) {
	fmt.Fprintf(w.rec, "%s %s\n", w.clock(), fmt.Sprintf(format, a...))
}

// violated notes a broken rule.
func (w *world) violated(rule, format string, a ...any) {
	text := rule + ": " + fmt.Sprintf(format, a...)
	w.broken = append(w.broken, text)
	w.note("BROKEN %s", text)
}

// freePort returns a free address below the ports that the system gives to outgoing connections, so
// that none of these takes it before the controller listens.
func freePort() string {
	for range 1000 {
		address := "127.0.0.1:" + strconv.Itoa(12000+rand.Intn(18000))
		if ln, err := net.Listen("tcp", address); err == nil {
			ln.Close()
			return address
		}
	}
	fatal("no free port")
	return ""
}

func serve(h http.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	go http.Serve(ln, h)
	return ln.Addr().String()
}

func newWorld(d deployment, root, record string) *world {
	rec, err := os.Create(record)
	if err != nil {
		fatal("%v", err)
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fatal("%v", err)
	}
	w := &world{d: d, root: root, dir: dir, start: time.Now(), rec: rec, machines: map[string]*machine{}, jobs: map[string]*job{},
		placed: map[string]*task{}, used: map[string][2]float64{}, rng: rand.New(rand.NewSource(time.Now().UnixNano()))}
	current = w
	w.store = newStore(d.valueKB, d.txnOps)
	w.cloud = newCloud(w)
	zoneOf := func(i int) string { return d.zones[i%len(d.zones)] }
	for i := range 3 {
		n := &node{w: w, name: "berth-" + strconv.Itoa(i), zone: zoneOf(i), listen: freePort(), peers: freePort(), toPeer: map[string]*link{}}
		n.toState = newLink(serve(w.store.handler(n.name)))
		n.toCloud = newLink(w.cloud.address)
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		for _, o := range w.nodes {
			if o != n {
				n.toPeer[o.name] = newLink(o.peers)
			}
		}
		n.writeConfig()
	}
	for _, zone := range d.zones {
		for range d.machines[zone] {
			w.cloud.add(zone, false, 0)
		}
	}
	return w
}

func (n *node) writeConfig() {
	d := &n.w.d
	var b strings.Builder
	fmt.Fprintf(&b, "host_name = %q\ndomain = %q\nlisten = %q\npeer_bind = %q\n", n.name, n.zone, n.listen, n.peers)
	for _, o := range n.w.nodes {
		if o != n {
			fmt.Fprintf(&b, "\n[[siblings]]\nhost_name = %q\ndomain = %q\naddr = %q\n", o.name, o.zone, n.toPeer[o.name].address)
		}
	}
	fmt.Fprintf(&b, "\n[endpoints]\ncloud = %q\nstate = %q\n", n.toCloud.address, n.toState.address)
	zones, _ := json.Marshal(d.zones)
	fmt.Fprintf(&b, "\n[cluster]\nnodes = 3\nzones = %s\nskew_ms = 250.0\n", zones)
	for _, t := range d.teams {
		fmt.Fprintf(&b, "\n[[cluster.teams]]\nname = %q\ncpus = %f\ncpus_max = %f\ngpus = %f\ngpus_max = %f\n", t.name, t.cpus, t.cpusMax, t.gpus, t.gpusMax)
	}
	fmt.Fprintf(&b, "\n[cluster.workers]\nreport_s = %f\nlease_s = %f\ngang_wait_s = %f\ngang_peer_s = %f\ncancel_s = %f\n", d.reportS, d.leaseS, d.gangWaitS, d.gangPeerS, d.cancelS)
	fmt.Fprintf(&b, "\n[cluster.state]\nrps = %f\nwrite_rps = %f\nvalue_kb = %f\ntxn_ops = %d\n", d.stateRPS, d.stateWriteRPS, d.valueKB, d.txnOps)
	if d.nextValueKB > 0 {
		fmt.Fprintf(&b, "\n[cluster.state.next]\nvalue_kb = %f\ntxn_ops = %d\nwrite_rps = %f\n", d.nextValueKB, d.nextTxnOps, d.stateWriteRPS)
	}
	fmt.Fprintf(&b, "\n[cluster.cloud]\nrps = %f\nlist_lag_s = %f\n", d.cloudRPS, d.listLagS)
	fmt.Fprintf(&b, "\n[cluster.resources]\ncores = %f\nmemory_mb = %f\nfd_limit = %d\n", d.cores, d.memoryMB, d.fdLimit)
	n.config = filepath.Join(n.w.dir, n.name+".toml")
	if err := os.WriteFile(n.config, []byte(b.String()), 0o644); err != nil {
		fatal("%v", err)
	}
}

// startCommand returns the program and arguments of the deploy file.
func (w *world) startCommand() []string {
	b, err := os.ReadFile(filepath.Join(w.root, "deploy", "service.toml"))
	if err != nil {
		fatal("%v", err)
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(strings.TrimSpace(rest), `"`))
		}
	}
	fatal("the deploy file has no run command")
	return nil
}

// up starts the controller's process.
func (n *node) up() {
	dir, args := n.w.root, append(n.w.startCommand(), n.config)
	if len(n.program) > 0 {
		dir, args = n.program[0], append(append([]string{}, n.program[1:]...), n.config)
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir = dir
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fatal("%v", err)
	}
	cmd.Stderr, cmd.Stdout = log, log
	if err := cmd.Start(); err != nil {
		fatal("start a controller: %v", err)
	}
	n.w.mu.Lock()
	n.cmd, n.killed, n.ended = cmd, false, make(chan struct{})
	n.w.note("%s started", n.name)
	n.w.mu.Unlock()
	ended := n.ended
	go func() {
		err := cmd.Wait()
		log.Close()
		n.w.mu.Lock()
		if n.cmd == cmd && !n.killed && !n.w.closing {
			n.w.crashes++
			n.w.violated("ended_by_itself", "%s ended by itself: %v", n.name, err)
		}
		n.w.mu.Unlock()
		close(ended)
	}()
}

// kill ends the process without a signal that it could handle.
func (n *node) kill() {
	n.w.mu.Lock()
	cmd, ended := n.cmd, n.ended
	n.killed = true
	n.w.note("%s killed", n.name)
	n.w.mu.Unlock()
	cmd.Process.Kill()
	<-ended
}

// restart kills the process and starts it again after a while.
func (n *node) restart(after time.Duration) {
	n.turn.Lock()
	defer n.turn.Unlock()
	n.kill()
	time.Sleep(after)
	n.up()
}

func (n *node) signal(s syscall.Signal) {
	n.w.mu.Lock()
	cmd := n.cmd
	n.w.note("%s gets signal %v", n.name, s)
	n.w.mu.Unlock()
	cmd.Process.Signal(s)
}

func (w *world) upAll() {
	for _, n := range w.nodes {
		n.up()
	}
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	for _, n := range w.nodes {
		if n.cmd != nil {
			n.cmd.Process.Signal(syscall.SIGCONT)
			n.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	}
}

func (w *world) leader() *node {
	name := w.store.leader()
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// waitFor waits until holds returns true.
func (w *world) waitFor(what string, limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	w.mu.Lock()
	w.note("waited %v in vain: %s", limit, what)
	w.mu.Unlock()
	return false
}

// ready reports whether a controller answers that it can take requests.
func (n *node) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.listen + "/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

func (w *world) waitReady() {
	if !w.waitFor("all controllers are ready", 20*time.Second, func() bool {
		for _, n := range w.nodes {
			if !n.ready() {
				return false
			}
		}
		return w.leader() != nil
	}) {
		w.close()
		fatal("the controllers are not ready")
	}
}

// request makes one request on a connection of its own.
func request(method, url string, body any, timeout time.Duration) (int, []byte) {
	var b io.Reader
	if body != nil {
		encoded, ok := body.([]byte)
		if !ok {
			encoded, _ = json.Marshal(body)
		}
		b = bytes.NewReader(encoded)
	}
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, url, b)
	if err != nil {
		return 0, nil
	}
	resp, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

type phaseAnswer struct {
	UID   string `json:"uid"`
	Phase string `json:"phase"`
	Done  int    `json:"done"`
}

// submit submits a job until it is accepted, for 60 s at most. It reports whether it was.
func (w *world) submit(j *job, pick func() *node) bool {
	w.mu.Lock()
	w.jobs[j.spec.UID] = j
	j.done = make([]bool, j.spec.Pieces)
	j.gangs = map[uint64]map[int]*task{}
	w.mu.Unlock()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		n := pick()
		status, body := request("POST", "http://"+n.listen+"/v2/runs", j.spec, 5*time.Second)
		w.mu.Lock()
		w.note("submit %s at %s: %d %s", j.spec.UID, n.name, status, body)
		w.judge(j, status, body, "submission", time.Now())
		accepted := status == 200 || status == 201
		j.accepted = j.accepted || accepted
		w.mu.Unlock()
		if accepted {
			return true
		}
		if status == 400 || status == 422 {
			return false
		}
	}
	return false
}

// judge checks an answer about a job. sent is when the request was sent. The caller holds mu.
func (w *world) judge(j *job, status int, body []byte, what string, sent time.Time) (phase string) {
	if j.accepted && (status == 404 || status == 400 || status == 422) {
		w.violated("forgotten", "%s was accepted, but a %s gets %d", j.spec.UID, what, status)
	}
	if status != 200 && status != 201 {
		return ""
	}
	var a phaseAnswer
	json.Unmarshal(body, &a)
	if j.final != "" && a.Phase != j.final {
		w.violated("went_back", "%s was called %s, and then a %s calls it %s", j.spec.UID, j.final, what, a.Phase)
	}
	switch a.Phase {
	case "withdrawn":
		if !j.askedCancel {
			w.violated("went_back", "%s is called withdrawn, but its user didn't ask for it", j.spec.UID)
		}
		if j.final == "" {
			j.final, j.withdrawnAt = a.Phase, time.Now()
			w.cancelCheck.Add(1)
			time.AfterFunc(time.Duration(w.d.cancelS*float64(time.Second)), func() {
				defer w.cancelCheck.Done()
				w.mu.Lock()
				defer w.mu.Unlock()
				for i := range j.spec.Pieces {
					if t := w.placed[pieceName(j.spec.UID, i)]; t != nil && !w.closing {
						w.violated("ran_cancelled", "%s is on %s %.1f s after its user was told", t.piece, t.m.id, w.d.cancelS)
					}
				}
			})
		}
	case "done":
		for i, done := range j.done {
			if !done {
				w.violated("not_done", "%s is called done, but task %d is not", j.spec.UID, i)
				break
			}
		}
		if j.final == "" {
			j.final = a.Phase
		}
	}
	return a.Phase
}

// poll asks for a job's phase once.
func (w *world) poll(j *job, n *node) (status int, phase string) {
	sent := time.Now()
	status, body := request("GET", "http://"+n.listen+"/v2/runs/"+j.spec.UID, nil, 2*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note("poll %s at %s, sent %.3f: %d %s", j.spec.UID, n.name, sent.Sub(w.start).Seconds(), status, body)
	return status, w.judge(j, status, body, "poll", sent)
}

// withdraw asks to cancel a job until that is answered.
func (w *world) withdraw(j *job, pick func() *node) {
	w.mu.Lock()
	j.askedCancel = true
	w.mu.Unlock()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		n, sent := pick(), time.Now()
		status, body := request("POST", "http://"+n.listen+"/v2/runs/"+j.spec.UID+"/withdraw", nil, 5*time.Second)
		w.mu.Lock()
		w.note("withdraw %s at %s, sent %.3f: %d %s", j.spec.UID, n.name, sent.Sub(w.start).Seconds(), status, body)
		w.judge(j, status, body, "withdrawal", sent)
		w.mu.Unlock()
		if status == 200 {
			return
		}
	}
}

// anyNode returns a random controller that is ready, or a random one if none is.
func (w *world) anyNode() *node {
	w.mu.Lock()
	order := w.rng.Perm(len(w.nodes))
	w.mu.Unlock()
	for _, i := range order {
		if w.nodes[i].ready() {
			return w.nodes[i]
		}
	}
	return w.nodes[order[0]]
}

func pieceName(uid string, i int) string { return uid + "/" + strconv.Itoa(i) }

// finish prints the outcome, ends everything and returns the exit code.
func (w *world) finish() int {
	w.close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note("%d task starts, %d broken rules", w.starts, len(w.broken))
	for i, b := range w.broken {
		if i == 20 {
			fmt.Println("...")
			break
		}
		fmt.Println("BROKEN", b)
	}
	if len(w.broken) > 0 {
		return 1
	}
	fmt.Println("held")
	return 0
}

// cloud

type cloud struct {
	w       *world
	address string
	next    int
	hired   map[string][]string
	down    bool
	past    []listing
}

type listing struct {
	at   time.Time
	list []map[string]any
}

type machine struct {
	id, yard, phase string
	loaners         bool
	created         time.Time
	gone            bool
	listed          bool
	worker          *worker
}

func newCloud(w *world) *cloud {
	c := &cloud{w: w, hired: map[string][]string{}}
	c.address = serve(c)
	go func() {
		for range time.Tick(500 * time.Millisecond) {
			w.mu.Lock()
			c.past = append(c.past, listing{time.Now(), c.current()})
			if len(c.past) > 60 {
				c.past = c.past[1:]
			}
			w.mu.Unlock()
		}
	}()
	return c
}

func (c *cloud) current() []map[string]any {
	var ids []string
	for id, m := range c.w.machines {
		if m.listed {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	list := []map[string]any{}
	for _, id := range ids {
		m := c.w.machines[id]
		e := map[string]any{"uid": id, "build": c.w.d.build.Label, "yard": m.yard, "loaners": m.loaners, "phase": m.phase, "age_s": time.Since(m.created).Seconds()}
		e["address"] = m.worker.link.address
		list = append(list, e)
	}
	return list
}

// add creates a machine. The caller holds mu, or the world has not started.
func (c *cloud) add(zone string, spot bool, boot time.Duration) string {
	c.next++
	m := &machine{id: fmt.Sprintf("i-%06d", c.next), yard: zone, phase: "starting", loaners: spot, created: time.Now(), listed: true}
	m.worker = newWorker(c.w, m)
	c.w.machines[m.id] = m
	c.w.note("machine %s in %s, up in %v", m.id, zone, boot)
	time.AfterFunc(boot, func() {
		c.w.mu.Lock()
		defer c.w.mu.Unlock()
		if !m.gone {
			m.phase = "running"
			m.worker.begin()
		}
	})
	return m.id
}

func (c *cloud) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(20 * time.Millisecond)
	w := c.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.down {
		answer(out, 503, map[string]string{"error": "trouble"})
		return
	}
	switch {
	case r.URL.Path == "/machine_types":
		answer(out, 200, map[string]any{"builds": []machineType{w.d.build}})
	case r.URL.Path == "/hosts" && r.Method == "GET":
		var list []map[string]any
		for _, p := range c.past {
			if time.Since(p.at).Seconds() >= w.d.listLagS {
				list = p.list
			}
		}
		rest := []map[string]any{}
		for _, e := range list {
			if e["uid"].(string) > r.URL.Query().Get("after") {
				rest = append(rest, e)
			}
		}
		answer(out, 200, map[string]any{"berths": rest, "truncated": false})
	case r.URL.Path == "/hosts":
		var q struct {
			Hire    string `json:"hire"`
			Yard    string `json:"yard"`
			Loaners bool   `json:"loaners"`
			Count   int    `json:"count"`
		}
		json.Unmarshal(body, &q)
		if ids, ok := c.hired[q.Hire]; ok {
			answer(out, 200, map[string]any{"berths": ids})
			return
		}
		up := 0
		for _, m := range w.machines {
			if !m.gone && m.yard == q.Yard {
				up++
			}
		}
		n := min(q.Count, w.d.capacity[q.Yard]-up)
		if n <= 0 {
			answer(out, 503, map[string]string{"error": "no capacity"})
			return
		}
		ids := []string{}
		for range n {
			boot := w.d.build.StartupS * (w.d.bootMin + (w.d.bootMax-w.d.bootMin)*w.rng.Float64())
			ids = append(ids, c.add(q.Yard, q.Loaners, time.Duration(boot*float64(time.Second))))
		}
		c.hired[q.Hire] = ids
		answer(out, 200, map[string]any{"berths": ids})
	case r.URL.Path == "/hosts/delete":
		var q struct {
			Berths []string `json:"berths"`
		}
		json.Unmarshal(body, &q)
		for _, id := range q.Berths {
			if m := w.machines[id]; m != nil && m.listed {
				w.note("machine %s deleted", id)
				m.listed = false
				m.end()
			}
		}
		answer(out, 200, map[string]any{})
	default:
		answer(out, 400, map[string]string{"error": "malformed"})
	}
}

// end ends a machine and everything on it. The caller holds mu.
func (m *machine) end() {
	if m.gone {
		return
	}
	m.gone = true
	m.worker.killAll()
}
