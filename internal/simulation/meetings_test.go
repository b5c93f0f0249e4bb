package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
)

// waitBeside is how long a job may wait beside room for it once all troubles are
// over.
const waitBeside = 90 * time.Second

// someWorkers draws up to n machines.
func (w *World) someWorkers(n int) (list []*worker) {
	for _, h := range w.cloud.hosts {
		if k := w.workers[h.ID]; k != nil {
			list = append(list, k)
		}
	}
	w.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// mute lets machines reach no controller for a while, though calls reach them.
func (w *World) mute(n int, d time.Duration) {
	for _, k := range w.someWorkers(n) {
		k.mute = true
		w.after(d, func() { k.mute = false })
	}
}

// forNext keeps copies of the reports of a while; every controller gets them just
// as the next leader begins.
func (w *World) forNext(d time.Duration) {
	w.keep, w.kept = true, nil
	was := w.leader()
	var look func()
	look = func() {
		if c := w.leader(); c != nil && c != was {
			w.keep = false
			for _, body := range w.kept {
				for _, n := range w.nodes {
					w.after(w.between(0, 20*time.Millisecond), func() { w.copyReport(n, body) })
				}
			}
			w.kept = nil
			return
		}
		d -= 5 * time.Millisecond
		if d > 0 {
			w.after(5*time.Millisecond, look)
		} else {
			w.keep, w.kept = false, nil
		}
	}
	look()
}

// cancelNow has users call off up to n jobs that run, within a fifth of a second;
// the machines of some hang.
func (w *World) cancelNow(n int, hang time.Duration) {
	for _, u := range w.users {
		if n == 0 {
			return
		}
		task := w.rules.onAt[protocol.TaskName(u.j.spec.ID, 0)]
		if !u.accepted || u.asked || u.over || task == nil {
			continue
		}
		n--
		w.after(w.between(0, 200*time.Millisecond), u.cancel)
		if hang > 0 && w.rng.IntN(2) == 0 {
			task.k.hang(hang)
		}
	}
}

// replace ends the leader; it is back after a while.
func (w *World) replace(back time.Duration) {
	if c := w.leader(); c != nil {
		c.crash(back)
	}
}

// oddRequests has users repeat submissions, cancel what is over and send what can
// never run.
func (w *World) oddRequests(d time.Duration) {
	for i := range int(d / (500 * time.Millisecond)) {
		w.after(time.Duration(i)*500*time.Millisecond, func() {
			c := w.nodes[w.rng.IntN(len(w.nodes))]
			if u := w.users[w.rng.IntN(len(w.users))]; u.accepted {
				u.look()
				if u.over {
					told := u.phase
					c.ask(func(id uint64) coordination.Event { return coordination.Cancel{ID: id, Job: u.j.spec.ID} }, func(status int, body []byte) {
						var a protocol.Accepted
						if decode(body, &a); status == 200 && a.Phase != told {
							w.rules.broken("went_back", "%s was %s and is %s when cancelled", a.ID, told, a.Phase)
						}
					})
				}
			}
			s := array(fmt.Sprintf("run-9%05d", w.rng.IntN(100_000)), 2)
			switch w.rng.IntN(5) {
			case 0:
				s.CPUs = 1000
			case 1:
				s.Team = "nobody"
			case 2:
				s.Team, s.GPUs, s.Shape, s.Tasks = "red", 4, protocol.ShapeGang, 3
			case 3:
				s.Zone = "nowhere"
			case 4:
				s.Shape, s.OneZone, s.Spread = protocol.ShapeGang, true, true
			}
			c.ask(func(id uint64) coordination.Event { return coordination.Submit{ID: id, Job: s} }, func(status int, _ []byte) {
				if status == 200 || status == 201 {
					w.rules.broken("accepted", "%+v can never run", *s)
				}
			})
		})
	}
}

// meetingTroubles are further kinds for random days, which so meet all others.
func (w *World) meetingTroubles(node *controller, someone *worker, span time.Duration) []func() string {
	return []func() string{
		func() string { w.state.lose(0.3, false, span); return "transactions late" },
		func() string { w.state.lose(0.3, true, span); return "answers to transactions lost" },
		func() string { w.mute(2, span); return "machines mute" },
		func() string { w.forNext(2 * span); return "copies kept for the next leader" },
		func() string { w.cancelNow(4, span); return "jobs called off, machines hang" },
		func() string {
			w.atEnd = 0.5
			w.after(span, func() { w.atEnd = 0 })
			return "jobs called off at their end"
		},
		func() string {
			w.close = true
			w.after(span, func() { w.close = false })
			return "users look closely"
		},
		func() string { w.oddRequests(min(span, 10*time.Second)); return "odd requests" },
		func() string {
			w.state.blind = node
			w.after(span, func() { w.state.blind = nil })
			return "watches of " + node.name + " hang"
		},
		func() string {
			if c := w.leader(); c != nil {
				w.state.refuse(c, 3*time.Second)
				w.cancelNow(3, 0)
				w.after(w.between(time.Second, 4*time.Second), func() { w.state.outage(span) })
			}
			return "the leader is refused, then all are"
		},
	}
}

// left checks, from calm on, that no job waits beside room for it.
func (w *World) left() {
	since := map[*user]time.Time{}
	var look func()
	look = func() {
		for _, u := range w.users {
			if !w.waitsBeside(u) {
				delete(since, u)
				continue
			}
			if since[u].IsZero() {
				since[u] = w.Now
			}
			if w.Now.Sub(since[u]) > waitBeside {
				w.rules.broken("left", "%s waits beside room for %v", u.j.spec.ID, w.Now.Sub(since[u]))
				since[u] = w.Now
			}
		}
		w.after(time.Second, look)
	}
	look()
}

// waitsBeside says whether an accepted job has a task nowhere while machines have
// room for it, a gang for all, and its team is under its limit.
func (w *World) waitsBeside(u *user) bool {
	s := u.j.spec
	if !u.accepted || u.asked || u.over || u.j.mistaken {
		return false
	}
	want := 0
	for i := range s.Tasks {
		if w.rules.onAt[protocol.TaskName(s.ID, i)] == nil && !u.j.done[i] {
			want++
		}
	}
	if want == 0 || s.Gang() && want < s.Tasks {
		return false
	}
	if !s.Gang() {
		want = 1
	}
	for _, team := range w.shape.Teams {
		if team.Name == s.Team && team.MaxGPUs > 0 && w.rules.use[s.Team]+s.GPUs*float64(want) > team.MaxGPUs+1e-6 {
			return false
		}
	}
	room := map[string]int{}
	for _, k := range w.workers {
		if k.hung || k.notice != nil || s.Zone != "" && s.Zone != k.h.Zone || k.h.Spot && !s.Spot {
			continue
		}
		cpus, gpus, memory := w.shape.Type.CPUs, w.shape.Type.GPUs, w.shape.Type.MemoryGB
		for _, t := range k.tasks {
			if t.state != protocol.TaskExited {
				cpus, gpus, memory = cpus-t.job.CPUs, gpus-t.job.GPUs, memory-t.job.MemoryGB
			}
		}
		for cpus >= s.CPUs && gpus >= s.GPUs && memory >= s.MemoryGB && room[k.h.Zone] < want {
			room[k.h.Zone]++
			cpus, gpus, memory = cpus-s.CPUs, gpus-s.GPUs, memory-s.MemoryGB
		}
	}
	if s.Spread && s.Tasks > 1 {
		return false // what it may have of a zone depends on the others
	}
	for _, n := range room {
		if n >= want {
			return true
		}
	}
	return false
}

// meeting is a pair or more of troubles that fall together, in a deployment that
// works at its limit.
type meeting struct {
	name  string
	shape func(s *Shape)
	play  func(w *World)
	most  int // starts after a confirmed cancellation, held-up commands apart
}

// every does something again and again.
func (w *World) every(d time.Duration, times int, do func(i int)) {
	for i := range times {
		w.after(time.Duration(i)*d, func() { do(i) })
	}
}

var meetings = []meeting{
	{name: "jobs bound to a zone lose machines", play: func(w *World) {
		for i := range 6 {
			s := array(fmt.Sprintf("run-80001%d", i), 4)
			s.OneZone = true
			if i%2 == 0 {
				s.Shape = protocol.ShapeGang
			}
			w.submit(time.Duration(i)*time.Second, s, 40, 0, false)
		}
		w.every(6*time.Second, 6, func(int) {
			for _, k := range w.someWorkers(1) {
				k.kill()
				delete(w.workers, k.h.ID)
			}
		})
		w.after(15*time.Second, func() { w.replace(time.Second) })
	}},
	{name: "a cancellation, a question and a repeated submission meet the end", play: func(w *World) {
		w.atEnd, w.close = 0.7, true
		w.after(60*time.Second, func() { w.replace(300 * time.Millisecond) })
		w.after(110*time.Second, func() { w.atEnd = 0 })
	}},
	{name: "jobs are cancelled while the lead changes hands", play: func(w *World) {
		w.every(14*time.Second, 6, func(i int) {
			w.replace(time.Duration(100+i*700) * time.Millisecond)
			w.every(700*time.Millisecond, 6, func(int) { w.cancelNow(1, 0) })
		})
	}, most: 4},
	{name: "a team at its limit, some machines cannot be asked, the leader changes", play: func(w *World) {
		w.every(25*time.Second, 4, func(i int) {
			for _, k := range w.someWorkers(2) {
				id := k.h.ID
				w.interrupt(18*time.Second, i%2 == 0, func(a, _ string) bool { return a == id })
			}
			w.after(2*time.Second, func() { w.replace(time.Second) })
			w.after(3*time.Second, func() { w.cancelNow(4, 0) })
		})
	}, most: 8},
	{name: "a report is held back until a new leader has acted", play: func(w *World) {
		w.every(30*time.Second, 4, func(int) {
			for _, k := range w.someWorkers(3) {
				id := k.h.ID
				held := &cut{hold: true, match: func(a, _ string) bool { return a == id }}
				w.cuts = append(w.cuts, held)
				w.after(12*time.Second, func() { w.mend(held) })
			}
			w.after(time.Second, func() { w.replace(20 * time.Second) })
		})
	}},
	{name: "transactions are carried out late, after newer ones", play: func(w *World) {
		w.state.lose(0.3, false, 100*time.Second)
		w.after(40*time.Second, func() { w.replace(200 * time.Millisecond) })
		w.after(70*time.Second, func() { w.replace(5 * time.Second) })
	}, most: 2},
	{name: "machines are up at once while writes lag, and the leader ends", shape: func(s *Shape) { s.Machines = 2 }, play: func(w *World) {
		w.cloud.quick = true
		w.every(15*time.Second, 6, func(i int) {
			w.state.lose(0.4, i%2 == 0, 10*time.Second)
			w.after(w.between(time.Second, 6*time.Second), func() { w.replace(500 * time.Millisecond) })
		})
	}},
	{name: "users ask all nodes within milliseconds, some cancel at once", play: func(w *World) {
		w.close = true
		w.every(time.Second, 100, func(i int) {
			var cancel time.Duration
			if i%3 == 0 {
				cancel = w.between(time.Millisecond, 80*time.Millisecond)
			}
			w.submit(0, array(fmt.Sprintf("run-8002%02d", i), 1), 3, cancel, false)
		})
		w.every(30*time.Second, 3, func(int) { w.replace(400 * time.Millisecond) })
	}, most: 2},
	{name: "controllers hand over and back, all end, one returns within a second", play: func(w *World) {
		w.every(10*time.Second, 9, func(i int) {
			if i%3 < 2 {
				w.replace(w.between(50*time.Millisecond, 900*time.Millisecond))
				return
			}
			for k, c := range w.nodes {
				c.crash(time.Duration(400+k*4000) * time.Millisecond)
			}
		})
	}},
	{name: "the gap", play: func(w *World) {
		w.every(100*time.Second, 2, func(int) {
			if c := w.leader(); c != nil {
				// Its watches hang while renewals pass: it knows of no cancellation.
				w.state.blind = c
				w.after(500*time.Millisecond, func() { w.cancelNow(20, 0) })
				w.after(9*time.Second, func() { w.state.outage(61 * time.Second) })
				w.after(75*time.Second, func() { w.state.blind = nil })
			}
		})
	}, most: 20},
	{name: "the leader alone is refused, then everybody", play: func(w *World) {
		w.every(90*time.Second, 2, func(i int) {
			if c := w.leader(); c != nil {
				w.state.refuse(c, 14*time.Second)
				w.cancelNow(20, 0)
				w.after(time.Duration(1+i)*time.Second, func() { w.state.outage(58 * time.Second) })
			}
		})
	}, most: 4},
	{name: "a leader without state service and siblings keeps workers and users", play: func(w *World) {
		w.every(60*time.Second, 2, func(i int) {
			if c := w.leader(); c != nil {
				w.isolate(c, 40*time.Second, i == 0)
				w.after(6*time.Second, func() { w.cancelNow(12, 0) })
				w.after(9*time.Second, func() { w.cancelNow(12, 0) })
			}
		})
	}, most: 6},
	{name: "workers open no connections, calls reach them", play: func(w *World) {
		w.every(45*time.Second, 3, func(i int) {
			w.mute([]int{1, 3, 99}[i], 35*time.Second)
			w.after(10*time.Second, func() { w.cancelNow(4, 0) })
			w.after(14*time.Second, func() { w.replace(2 * time.Second) })
		})
	}, most: 4},
	{name: "all controllers are away for longer than a lease", play: func(w *World) {
		w.after(20*time.Second, func() {
			for _, c := range w.nodes {
				c.crash(secs(w.shape.Workers.LeaseS) + w.between(2*time.Second, 9*time.Second))
			}
		})
	}},
	{name: "jobs of a few tasks end far apart across changes of leader", play: func(w *World) {
		for i := range 8 {
			u := w.submit(time.Duration(i)*time.Second, array(fmt.Sprintf("run-80003%d", i), 2+i%2), 60, 0, false)
			u.j.progress[0], u.j.progress[1] = 55, 25
		}
		w.every(13*time.Second, 6, func(int) { w.replace(1500 * time.Millisecond) })
	}},
	{name: "commands and answers are held up and the machine goes on", play: func(w *World) {
		w.every(12*time.Second, 8, func(i int) {
			for _, k := range w.someWorkers(2) {
				k.hang(w.between(2*time.Second, 20*time.Second))
			}
			w.after(time.Second, func() { w.cancelNow(1, 0) })
			if i%3 == 1 {
				w.replace(time.Second)
			}
		})
	}, most: 6},
	{name: "leaders change ten times in two minutes, also in an outage", play: func(w *World) {
		w.every(12*time.Second, 10, func(i int) {
			w.replace(w.between(100*time.Millisecond, 5*time.Second))
			if i == 4 {
				w.state.outage(15 * time.Second)
			}
		})
	}},
	{name: "a leader ends while machines with long tasks are cut off or deaf", play: func(w *World) {
		w.every(40*time.Second, 3, func(i int) {
			for n, k := range w.someWorkers(3) {
				if n == 0 {
					w.deafen(k.h.ID, 35*time.Second, i%2 == 0)
				} else {
					id := k.h.ID
					w.interrupt(15*time.Second, true, func(a, _ string) bool { return a == id })
				}
			}
			w.after(2*time.Second, func() { w.replace(3 * time.Second) })
		})
	}},
	{name: "a zone with a controller is cut off for longer than a lease", play: func(w *World) {
		for i, hold := range []bool{true, false} {
			w.after(time.Duration(i)*70*time.Second, func() {
				w.interrupt(45*time.Second, hold, func(a, _ string) bool { return w.zoneOf[a] == "east" })
				w.after(10*time.Second, func() { w.cancelNow(6, 0) })
			})
		}
	}, most: 6},
	{name: "old reports reach every controller as a new leader begins", play: func(w *World) {
		w.every(25*time.Second, 5, func(i int) {
			w.forNext(24 * time.Second)
			w.after(15*time.Second, func() {
				for _, k := range w.someWorkers(1) {
					k.kill()
					delete(w.workers, k.h.ID)
				}
				w.cancelNow(2, 0)
				w.replace(time.Duration(i) * 400 * time.Millisecond)
			})
		})
	}, most: 2},
	{name: "more work than room, urgent and not, over slow links", play: func(w *World) {
		w.load(30, 40*time.Second)
		w.state.slow = 150 * time.Millisecond
		w.after(100*time.Second, func() { w.state.slow = 0 })
		w.after(50*time.Second, func() { w.replace(2 * time.Second) })
	}, most: 4},
	{name: "transactions are carried out at once and their answers lost", play: func(w *World) {
		w.close = true
		w.state.lose(0.4, true, 110*time.Second)
		w.after(50*time.Second, func() { w.replace(time.Second) })
	}, most: 4},
	{name: "old reports arrive after newer ones, of earlier sessions and attempts", play: func(w *World) {
		w.copies = 3 * secs(w.shape.Workers.LeaseS)
		w.after(110*time.Second, func() { w.copies = 0 })
		w.every(30*time.Second, 4, func(i int) {
			for _, k := range w.someWorkers(2) {
				w.deafen(k.h.ID, secs(w.shape.Workers.LeaseS)+3*time.Second, i%2 == 0)
			}
			w.after(10*time.Second, func() { w.replace(time.Second) })
		})
	}, most: 2},
	{name: "teams at their limits, cancelled jobs' machines are cut off or hang, the leader changes", play: func(w *World) {
		for i := range 10 {
			s := array(fmt.Sprintf("run-80004%d", i), 6)
			s.Team = []string{"red", "blue"}[i%2]
			w.submit(0, s, 45, 0, false)
		}
		w.every(22*time.Second, 5, func(i int) {
			w.cancelNow(5, 20*time.Second)
			for _, k := range w.someWorkers(1) {
				id := k.h.ID
				w.interrupt(20*time.Second, i%2 == 0, func(a, _ string) bool { return a == id })
			}
			w.after(time.Duration(i)*time.Second, func() { w.replace(2 * time.Second) })
		})
	}, most: 10},
	{name: "the state service is slow, refuses the leader, then everybody, while users cancel and ask", play: func(w *World) {
		w.close = true
		w.state.slow = 300 * time.Millisecond
		w.every(3*time.Second, 12, func(int) { w.cancelNow(1, 0) })
		w.after(20*time.Second, func() {
			if c := w.leader(); c != nil {
				w.state.refuse(c, 20*time.Second)
			}
		})
		w.after(26*time.Second, func() { w.state.outage(secs(w.shape.Workers.CancelS) + 6*time.Second) })
		w.after(95*time.Second, func() { w.state.slow = 0 })
	}, most: 4},
	{name: "one-task jobs come four a second, a quarter cancelled", shape: func(s *Shape) {
		s.State.RPS, s.State.WriteRPS, s.State.TxnOps, s.Capacity = 300, 50, 12, 30
	}, play: func(w *World) {
		w.every(250*time.Millisecond, 400, func(i int) {
			var cancel time.Duration
			if i%4 == 0 {
				cancel = w.between(10*time.Millisecond, 8*time.Second)
			}
			w.submit(0, array(fmt.Sprintf("run-81%04d", i), 1), 4, cancel, false)
		})
	}, most: 10},
}

// TestMeetings plays every meeting of troubles on a few seeds, over work of every
// shape, with reports going to the leader and by way of the other controllers. All
// rules are checked at every step, and once the troubles are over that no job is
// forgotten, none waits beside room for it and all end.
func TestMeetings(t *testing.T) {
	seeds := uint64(6)
	if testing.Short() {
		seeds = 2
	}
	for _, m := range meetings {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			late := 0
			for seed := range seeds {
				shape := Small()
				if seed%2 == 1 {
					shape = tiny()
				}
				if m.shape != nil {
					m.shape(&shape)
				}
				late += m.run(t, 500+seed, shape)
			}
			if late > (m.most+1)*int(seeds) { // one may be on its way at any time
				t.Errorf("%d starts after a confirmed cancellation", late)
			}
		})
	}
}

func (m *meeting) run(t *testing.T, seed uint64, shape Shape) (late int) {
	t.Helper()
	w := NewShaped(seed, logs(), shape)
	w.load(16, 60*time.Second)
	w.Run(20 * time.Second)
	m.play(w)
	w.Run(200 * time.Second)
	w.atEnd, w.close, w.cloud.quick = 0, false, false
	w.calm = w.Now
	w.left()
	w.end()
	if w.rules.started == 0 {
		t.Errorf("seed %d: nothing ran", seed)
	}
	for _, f := range w.rules.failures {
		t.Errorf("seed %d: %s", seed, f)
	}
	return w.rules.late
}

// end lets a day come to its end: every job but a mistaken one must be over.
func (w *World) end() {
	for end := w.Now.Add(600 * time.Second); w.Now.Before(end) && !w.over(); {
		w.Run(5 * time.Second)
	}
	for _, u := range w.users {
		if !u.over && !u.j.mistaken {
			w.rules.broken("liveness", "%s %s of %d tasks is still %q: done %v", u.j.spec.ID, u.j.spec.Shape, u.j.spec.Tasks, u.phase, u.j.done)
		}
	}
}

// TestGap: the leader's watches hang while its renewals pass, others confirm
// cancellations, and the state service is then away for longer than cancel_s. The
// leader's workers must be without those tasks in time all the same: its authority
// counts from when it last knew all cancellations, not from its renewal.
func TestGap(t *testing.T) {
	for seed := range uint64(4) {
		for _, blindFor := range []time.Duration{3 * time.Second, 7 * time.Second, 11 * time.Second, 30 * time.Second} {
			w := New(600+seed, logs())
			w.Run(6 * time.Second)
			u := w.submit(0, array("run-000001", 8), 500, 0, false)
			w.waitFor(t, 20*time.Second, "it runs", func() bool { return w.running(u) })
			c := w.leader()
			w.state.blind = c
			w.Run(400 * time.Millisecond)
			for _, o := range w.nodes { // no word over the links
				if o != c {
					w.interrupt(100*time.Second, false, func(a, b string) bool { return a == c.name && b == o.name })
				}
			}
			for !u.over {
				u.cancel()
				w.Run(100 * time.Millisecond)
			}
			w.Run(blindFor)
			w.state.outage(61 * time.Second)
			w.Run(100 * time.Second)
			for _, f := range w.rules.failures {
				t.Errorf("seed %d, blind for %v: %s", seed, blindFor, f)
			}
		}
	}
}

// TestToldOfCancellation: a leader that the state service refuses stops a job's
// tasks as soon as a sibling that has confirmed the cancellation tells it.
func TestToldOfCancellation(t *testing.T) {
	w := New(610, logs())
	w.Run(6 * time.Second)
	u := w.submit(0, array("run-000001", 4), 500, 0, false)
	w.waitFor(t, 20*time.Second, "it runs", func() bool { return w.running(u) })
	c := w.leader()
	w.state.blind = c
	w.state.refuse(c, 60*time.Second)
	at := slices.IndexFunc(w.nodes, func(o *controller) bool { return o != c })
	status := 0
	u.asked = true
	w.nodes[at].ask(func(id uint64) coordination.Event { return coordination.Cancel{ID: id, Job: u.j.spec.ID} }, func(s int, _ []byte) { status = s })
	took := w.waitFor(t, 2*time.Second, "its tasks are gone", func() bool { return w.rules.onAt["run-000001/0"] == nil && w.rules.onAt["run-000001/3"] == nil })
	t.Logf("answered %d, gone after %v", cmp.Or(status, -1), took)
	if status != 200 {
		t.Errorf("the cancellation is answered %d", status)
	}
	w.check(t)
}

// TestLongOutage: the state service is out for far longer than a leader's
// authority. All controllers are there and vouch for one another, so nothing that
// runs is lost, and what was cancelled a moment before is gone in time.
func TestLongOutage(t *testing.T) {
	for _, refused := range []bool{false, true} {
		w := New(620, logs())
		w.Run(6 * time.Second)
		u := w.submit(0, array("run-000001", 6), 200, 0, false)
		v := w.submit(0, array("run-000002", 2), 500, 0, false)
		w.waitFor(t, 20*time.Second, "they run", func() bool { return w.running(u) && w.running(v) })
		c, starts := w.leader(), w.rules.started
		if refused {
			w.state.refuse(c, 100*time.Second)
			w.state.blind = c
			// The word of the cancellation is lost: only the vouching names it.
			w.interrupt(1500*time.Millisecond, false, func(a, b string) bool { return a == c.name && b != "state" && w.workers[b] == nil })
			w.Run(200 * time.Millisecond)
		}
		for !v.over {
			v.cancel()
			w.Run(100 * time.Millisecond)
		}
		w.state.outage(80 * time.Second)
		w.Run(85 * time.Second)
		w.state.blind = nil
		w.waitFor(t, 200*time.Second, "it is done", func() bool { return u.over })
		if n := w.rules.started - starts; n > 0 {
			t.Errorf("refused %v: %d tasks were started again", refused, n)
		}
		w.check(t)
	}
}

// TestVouchedByAnotherLife: a sibling confirms a cancellation that the leader does
// not hear of, ends, and is back in an outage that all share. It can't vouch for its
// earlier life: the leader gives up within its authority, and the cancelled tasks
// are gone in time.
func TestVouchedByAnotherLife(t *testing.T) {
	for seed := range uint64(4) {
		w := New(630+seed, logs())
		w.Run(6 * time.Second)
		u := w.submit(0, array("run-000001", 6), 500, 0, false)
		w.waitFor(t, 20*time.Second, "it runs", func() bool { return w.running(u) })
		c := w.leader()
		w.state.blind = c
		w.Run(400 * time.Millisecond)
		var s *controller
		for _, o := range w.nodes {
			if o != c {
				s = o
			}
		}
		cutOff := &cut{match: func(a, b string) bool { return a == s.name && b == c.name }}
		w.cuts = append(w.cuts, cutOff)
		status := 0
		u.asked = true
		for status != 200 {
			s.ask(func(id uint64) coordination.Event { return coordination.Cancel{ID: id, Job: u.j.spec.ID} }, func(got int, body []byte) {
				if status = got; got == 200 && !u.over {
					u.hear(body)
				}
			})
			w.Run(30 * time.Millisecond)
		}
		w.state.outage(100 * time.Second)
		s.crash(200 * time.Millisecond)
		w.Run(100 * time.Millisecond)
		w.mend(cutOff)
		w.Run(60 * time.Second)
		if c.node.Leading() {
			t.Errorf("seed %d: it still leads", seed)
		}
		w.Run(60 * time.Second)
		w.check(t)
	}
}
