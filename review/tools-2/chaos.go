package main

import (
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

func init() { cases["chaos"] = chaos }

func chaos(root, record string, trouble bool) int {
	d := kente()
	d.teams = []team{{name: "editorial-desk", gpus: 8, gpusMax: 16}, {name: "lexicon-team", gpus: 4, gpusMax: 12}, {name: "delivery-ops"}}
	d.build.StartupS = 8
	d.capacity = map[string]int{"accra-east": 5, "kumasi-central": 5}
	if cores, err := strconv.ParseFloat(os.Getenv("CORES"), 64); err == nil {
		d.cores = cores // with a small share, most workers are served through other controllers
	}
	if os.Getenv("ZONES") == "3" {
		d.zones = []string{"santander-norte", "torrelavega-sur", "oviedo-oeste"}
		d.reportS, d.leaseS, d.cancelS, d.gangWaitS, d.gangPeerS = 5, 31, 51, 50, 8
		d.stateRPS, d.stateWriteRPS, d.txnOps, d.cloudRPS, d.listLagS = 250, 30, 24, 8, 5
		d.build.Yards = d.zones
		d.capacity, d.machines = map[string]int{}, map[string]int{}
		for _, z := range d.zones {
			d.capacity[z], d.machines[z] = 3, 2
		}
	}
	old := os.Getenv("OLD_ROOT") // a checkout of the version in production, built
	if old != "" {
		d.nextValueKB, d.nextTxnOps = 2, 4
	}
	w := newWorld(d, root, record)
	w.copies = os.Getenv("COPIES") != ""
	if old != "" {
		for _, n := range w.nodes {
			n.program = []string{old, "target/gappond", "serve", "--config"}
		}
		go func() {
			for _, i := range w.rng.Perm(3) {
				time.Sleep(15 * time.Second)
				w.nodes[i].program = nil
				w.nodes[i].restart(time.Second)
			}
			time.Sleep(15 * time.Second)
			w.store.mu.Lock()
			w.store.valueKB, w.store.txnOps = d.nextValueKB, d.nextTxnOps
			w.store.mu.Unlock()
			w.mu.Lock()
			w.note("FAULT the limits of the state service are lowered")
			w.mu.Unlock()
		}()
	}
	secs, _ := strconv.Atoi(os.Getenv("SECS"))
	if secs == 0 {
		secs = 120
	}
	w.upAll()
	w.waitReady()
	rnd := func(n int) int { w.mu.Lock(); defer w.mu.Unlock(); return w.rng.Intn(n) }
	stop := time.Now().Add(time.Duration(secs) * time.Second)
	go func() {
		for i := 0; time.Now().Before(stop); i++ {
			s := jobSpec{UID: fmt.Sprintf("run-%06d", i*7+1), Lane: "x", Crew: d.teams[rnd(3)].name, Shape: "array", Rank: []string{"idle", "normal", "high", "critical"}[rnd(4)],
				Pieces: 1 + rnd(6), CPUs: 4, GPUs: 1, MemoryGB: 20, Bundle: fmt.Sprint("img-", rnd(4)), PullGB: 1 + float64(rnd(3)), Loaners: rnd(2) == 0, ExpectS: 15}
			switch rnd(4) {
			case 0:
				s.OneZone = true
			case 1:
				s.Scatter = true
			case 2:
				s.Yard = &d.zones[rnd(len(d.zones))]
			}
			if rnd(2) == 0 {
				s.Snapshot, s.Flush = 5, 2
			}
			if x := rnd(6); x < 2 {
				s.Shape, s.Pieces = "gang", 1+rnd(4)
				if s.Scatter && s.Pieces > 1 {
					s.OneZone = false
				}
			} else if x == 3 && old != "" {
				s.Pieces, s.CPUs, s.GPUs, s.MemoryGB = 60+rnd(80), 0.5, 0, 2
				if rnd(3) == 0 {
					s.Shape, s.Scatter, s.Pieces = "gang", false, 12+rnd(16)
				}
			} else if x == 2 {
				s.Shape, s.CPUs, s.GPUs, s.ExpectS = "standing", 1, 0, 0
			}
			j := &job{spec: s, run: float64(3 + rnd(25))}
			go func() {
				if !w.submit(j, w.anyNode) {
					return
				}
				cancelAt := time.Time{}
				if s.Shape == "standing" || rnd(4) == 0 {
					cancelAt = time.Now().Add(time.Duration(rnd(40)) * time.Second)
				}
				for {
					time.Sleep(time.Duration(4000+rnd(2000)) * time.Millisecond)
					if !cancelAt.IsZero() && time.Now().After(cancelAt) {
						cancelAt = time.Time{}
						w.withdraw(j, w.anyNode)
					}
					_, phase := w.poll(j, w.anyNode())
					if (phase == "done" || phase == "withdrawn") && rnd(3) == 0 {
						return
					}
					if rnd(10) == 0 {
						w.submit2(j)
					}
				}
			}()
			time.Sleep(time.Duration(500+rnd(3500)) * time.Millisecond)
		}
	}()
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(2000+rnd(8000)) * time.Millisecond)
		n := w.nodes[rnd(3)]
		if rnd(2) == 0 {
			if l := w.leader(); l != nil {
				n = l
			}
		}
		dur := time.Duration(1000+rnd(29000)) * time.Millisecond
		mode := []linkMode{hold, reset}[rnd(2)]
		say := func(f string, a ...any) { w.mu.Lock(); w.note("FAULT "+f, a...); w.mu.Unlock() }
		cut := func(ls ...*link) {
			for _, l := range ls {
				l.set(mode)
			}
			time.AfterFunc(dur, func() {
				say("heal")
				for _, l := range ls {
					l.set(pass)
				}
			})
		}
		var ms []*machine
		w.mu.Lock()
		for _, m := range w.machines {
			if !m.gone && m.worker.up {
				ms = append(ms, m)
			}
		}
		w.mu.Unlock()
		m := ms[rnd(len(ms))]
		switch rnd(13) {
		case 0:
			say("kill %s", n.name)
			go n.restart(time.Duration(50+rnd(4000)) * time.Millisecond)
			time.Sleep(200 * time.Millisecond)
		case 1:
			say("kill all")
			for _, n := range w.nodes {
				go n.restart(time.Duration(50+rnd(4000)) * time.Millisecond)
			}
			time.Sleep(5 * time.Second)
		case 2:
			say("stop %s", n.name)
			n.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rnd(20000)) * time.Millisecond)
			n.signal(syscall.SIGCONT)
		case 3:
			say("outage %v", dur)
			w.store.outage(true)
			time.AfterFunc(dur, func() { say("outage ends"); w.store.outage(false) })
		case 4:
			say("store refuses %s for %v", n.name, dur)
			w.store.refuse(n.name, true)
			time.AfterFunc(dur, func() { w.store.refuse(n.name, false) })
		case 5:
			say("%s cut from the store %v %v", n.name, dur, mode)
			cut(n.toState)
		case 6:
			say("machine %s cut %v %v", m.id, dur, mode)
			ls := []*link{m.worker.link}
			for _, l := range m.worker.to {
				ls = append(ls, l)
			}
			cut(ls...)
		case 7:
			say("machine %s hangs %v", m.id, dur)
			w.mu.Lock()
			m.worker.hung = true
			w.mu.Unlock()
			time.AfterFunc(dur, func() { w.mu.Lock(); m.worker.tick0(); m.worker.hung = false; w.mu.Unlock() })
		case 8:
			say("machine %s dies", m.id)
			w.mu.Lock()
			m.end()
			w.mu.Unlock()
		case 9:
			say("%s cut from everything %v %v", n.name, dur, mode)
			ls := []*link{n.toState, n.toCloud}
			for _, o := range w.nodes {
				if o != n {
					ls = append(ls, n.toPeer[o.name], o.toPeer[n.name])
				}
			}
			for _, m := range ms {
				ls = append(ls, m.worker.to[n.name])
			}
			cut(ls...)
		case 10:
			say("peers cut %v %v", dur, mode)
			var ls []*link
			for _, n := range w.nodes {
				for _, l := range n.toPeer {
					ls = append(ls, l)
				}
			}
			cut(ls...)
		case 11:
			say("cloud down %v", dur)
			w.mu.Lock()
			w.cloud.down = true
			w.mu.Unlock()
			time.AfterFunc(dur, func() { w.mu.Lock(); w.cloud.down = false; w.mu.Unlock() })
		case 12:
			say("responses to %s lost %v", m.id, dur)
			cut(m.worker.to[n.name], m.worker.link)
		}
	}
	time.Sleep(35 * time.Second)
	w.mu.Lock()
	left := 0
	for _, j := range w.jobs {
		if j.accepted && j.final == "" {
			left++
			w.note("left: %s %s x%d %s", j.spec.UID, j.spec.Shape, j.spec.Pieces, j.spec.Crew)
		}
	}
	fmt.Println("jobs", len(w.jobs), "left", left, "starts", w.starts)
	w.mu.Unlock()
	return w.finish()
}

func (w *world) submit2(j *job) {
	n := w.anyNode()
	sent := time.Now()
	status, body := request("POST", "http://"+n.listen+"/v2/runs", j.spec, 5*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note("submit again %s at %s: %d %s", j.spec.UID, n.name, status, body)
	w.judge(j, status, body, "submission", sent)
}
