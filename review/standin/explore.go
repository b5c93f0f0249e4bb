package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["explore"] = scenario{
		settings: func(s *Settings) {
			s.Teams = []team{{Name: "editorial-desk", GPUs: 4, Max: 12}, {Name: "lexicon-team", GPUs: 4, Max: 8}, {Name: "delivery-ops"}}
		},
		run: explore,
	}
}

// explore runs random work under random troubles, drawn from the variable SEED, and checks the rules.
// It is no case: the report names its runs.
func explore(w *World, trouble bool) {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	if seed == 0 {
		seed = time.Now().UnixNano()
	}
	w.logf("seed %d", seed)
	rng := rand.New(rand.NewSource(seed))
	w.cloud.types = []machineType{adinkra("accra-east", "kumasi-central")}
	w.mu.Lock()
	for i := range 6 {
		w.cloud.add("adinkra-gpu", w.set.Zones[i%2], false, 0)
	}
	for _, z := range w.set.Zones {
		w.cloud.room[z+"/false"], w.cloud.room[z+"/true"] = 3, 1
	}
	w.cloud.boot = func() time.Duration { return time.Duration(1000+rand.Intn(5000)) * time.Millisecond }
	w.mu.Unlock()
	w.startAll()
	w.waitReady(15 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var jobs []*job
	start := time.Now()
	end := start.Add(75 * time.Second)
	number := 0
	newSpec := func() (spec, float64) {
		number++
		s := spec{UID: fmt.Sprintf("run-%06d", number), Lane: "clue-score", Crew: w.set.Teams[rng.Intn(3)].Name, Bundle: fmt.Sprintf("img-%d", rng.Intn(3)), PullGB: 0.5 + rng.Float64(),
			Rank: []string{"idle", "normal", "high", "critical"}[rng.Intn(4)], Loaners: rng.Intn(2) == 0, ExpectS: 5, SnapshotS: float64(rng.Intn(2) * 5), FlushS: 1}
		switch rng.Intn(8) {
		case 0, 1, 2:
			s.Shape, s.Pieces, s.CPUs, s.GPUs, s.MemoryGB = "array", 1+rng.Intn(5), 6, 1, 48
			s.OneZone = rng.Intn(3) == 0
		case 3:
			s.Shape, s.Pieces, s.CPUs, s.GPUs, s.MemoryGB = "standing", 1+rng.Intn(3), 1, 0, 6
			s.ExpectS, s.SnapshotS = 0, 0
			s.Scatter = s.Pieces > 1 && rng.Intn(2) == 0
		default:
			s.Shape, s.Pieces, s.CPUs, s.GPUs, s.MemoryGB = "gang", 1+rng.Intn(4), 14, 2, 100
			s.OneZone = rng.Intn(2) == 0
		}
		if rng.Intn(6) == 0 {
			s.Yard = text(w.set.Zones[rng.Intn(2)])
			s.Scatter = false
		}
		return s, 2 + rng.Float64()*12
	}
	user := func(j *job, first int, cancelAfter time.Duration) {
		defer wg.Done()
		if !w.submit(j, first) {
			return
		}
		mu.Lock()
		jobs = append(jobs, j)
		mu.Unlock()
		look := func() {
			for _, n := range w.nodes {
				wg.Add(1)
				go func() { defer wg.Done(); w.poll(j, n) }()
			}
		}
		look()
		from := time.Now()
		for time.Now().Before(end.Add(28 * time.Second)) {
			if cancelAfter > 0 && time.Since(from) > cancelAfter {
				w.cancel(j, rand.Intn(3))
				look()
				return
			}
			time.Sleep(time.Duration(1500+rand.Intn(2000)) * time.Millisecond)
			if _, phase := w.poll(j, w.nodes[rand.Intn(3)]); phase == "done" || phase == "withdrawn" {
				look()
				return
			}
		}
	}
	if trouble {
		go exploreTroubles(w, rand.New(rand.NewSource(seed+1)), start, end)
	}
	for time.Now().Before(end) {
		s, run := newSpec()
		j := w.newJob(s, run)
		var after time.Duration
		if rng.Intn(3) == 0 || s.Shape == "standing" {
			after = time.Duration(1+rng.Intn(25000)) * time.Millisecond
		}
		wg.Add(1)
		go user(j, rng.Intn(3), after)
		time.Sleep(time.Duration(500+rng.Intn(1500)) * time.Millisecond)
	}
	done := make(chan bool)
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(time.Until(start.Add(105 * time.Second))):
	}
	finished := 0
	mu.Lock()
	for _, j := range jobs {
		if !j.saidDone.IsZero() || !j.cancelled.IsZero() {
			finished++
		} else {
			w.logf("unfinished: %s %s %d accepted %.1f first start %v", j.spec.UID, j.spec.Shape, j.spec.Pieces, j.accepted.Sub(w.t0).Seconds(), !j.firstStart.IsZero())
		}
	}
	w.logf("jobs accepted %d, ended %d, throttled %d", len(jobs), finished, w.store.throttled)
	fmt.Printf("seed %d: accepted %d, ended %d, throttled %d\n", seed, len(jobs), finished, w.store.throttled)
	mu.Unlock()
}

// exploreTroubles causes troubles until the end, several at once.
func exploreTroubles(w *World, rng *rand.Rand, start, end time.Time) {
	pick := func() *Worker {
		w.mu.Lock()
		defer w.mu.Unlock()
		var up []*Worker
		for _, m := range w.cloud.machines {
			if !m.gone && m.worker.up && !m.worker.dead {
				up = append(up, m.worker)
			}
		}
		if len(up) == 0 {
			return nil
		}
		return up[rng.Intn(len(up))]
	}
	leader := func() *Node {
		if n := w.leaderNode(); n != nil && rng.Intn(4) > 0 {
			return n
		}
		return w.nodes[rng.Intn(3)]
	}
	var copies sync.Mutex
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+rng.Intn(5000)) * time.Millisecond)
		d := time.Duration(500+rng.Intn(12000)) * time.Millisecond
		if rng.Intn(4) == 0 {
			d *= 3
		}
		d = min(d, time.Until(end))
		if d <= 0 {
			return
		}
		switch k := rng.Intn(14); k {
		case 0, 1:
			n := leader()
			if !n.running() || n.stopped {
				continue
			}
			n.kill()
			pause := []time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second}[rng.Intn(3)]
			time.AfterFunc(pause, func() { n.start() })
		case 2, 3:
			n := leader()
			if !n.running() || n.stopped {
				continue
			}
			n.stopped = true
			n.signal(syscall.SIGSTOP)
			time.AfterFunc(d, func() { n.signal(syscall.SIGCONT); n.stopped = false })
		case 4:
			w.store.setDown(true)
			time.AfterFunc(min(d, 15*time.Second), func() { w.store.setDown(false) })
		case 5:
			n := leader()
			w.store.setRefused(n.index, true)
			time.AfterFunc(d, func() { w.store.setRefused(n.index, false) })
		case 6:
			n := leader()
			w.store.setSilent(n.index, true)
			w.cutPeers(n, true)
			time.AfterFunc(d, func() { w.store.setSilent(n.index, false); w.cutPeers(n, false) })
		case 7:
			n := leader()
			w.cutPeers(n, true)
			time.AfterFunc(d, func() { w.cutPeers(n, false) })
		case 8:
			share := 0.2 + rng.Float64()*0.4
			atOnce := rng.Intn(2) == 0
			w.logf("state: %.2f of the transactions get no answer, at once %v, for %v", share, atOnce, d)
			w.store.onTxn = func(node int, body []byte) bool {
				if rand.Float64() >= share {
					return false
				}
				if atOnce {
					w.store.txn(body)
				} else {
					time.AfterFunc(time.Duration(2000+rand.Intn(10000))*time.Millisecond, func() { w.store.txn(body) })
				}
				return true
			}
			time.AfterFunc(d, func() { w.store.onTxn = nil })
		case 9:
			if x := pick(); x != nil {
				w.mu.Lock()
				x.hang(d)
				w.mu.Unlock()
			}
		case 10:
			if x := pick(); x != nil {
				w.mu.Lock()
				w.logf("%s mute for %v", x.m.id, d)
				x.mute = true
				w.mu.Unlock()
				time.AfterFunc(d, func() { w.mu.Lock(); x.mute = false; w.mu.Unlock() })
			}
		case 11:
			if x := pick(); x != nil {
				w.mu.Lock()
				w.logf("%s deaf for %v", x.m.id, d)
				x.deaf = true
				w.mu.Unlock()
				time.AfterFunc(d, func() { w.mu.Lock(); x.deaf = false; w.mu.Unlock() })
			}
		case 12:
			w.mu.Lock()
			w.logf("late commands for %v", d)
			for _, m := range w.cloud.machines {
				x := m.worker
				x.ordersDelay = func() time.Duration {
					if rand.Intn(2) == 0 {
						return 0
					}
					return time.Duration(2000+rand.Intn(14000)) * time.Millisecond
				}
				time.AfterFunc(d, func() { w.mu.Lock(); x.ordersDelay = nil; w.mu.Unlock() })
			}
			w.mu.Unlock()
		case 13:
			w.mu.Lock()
			w.logf("late copies of reports for %v", d)
			for _, m := range w.cloud.machines {
				x := m.worker
				x.onReport = func(node int, body []byte) {
					if rand.Intn(3) == 0 {
						time.AfterFunc(time.Duration(2000+rand.Intn(30000))*time.Millisecond, func() {
							copies.Lock()
							defer copies.Unlock()
							go w.call("POST", "http://"+w.nodes[rand.Intn(3)].listen+"/checkin", body, 4*time.Second)
						})
					}
				}
				time.AfterFunc(d, func() { w.mu.Lock(); x.onReport = nil; w.mu.Unlock() })
			}
			w.mu.Unlock()
		}
	}
}
