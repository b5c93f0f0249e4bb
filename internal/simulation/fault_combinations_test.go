package simulation

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// maxWaitDespiteCapacity is how long a job may wait after the faults have ended while machines
// have free capacity for it.
const maxWaitDespiteCapacity = 90 * time.Second

// faultCombination is two or more faults that overlap, in a deployment under full load.
type faultCombination struct {
	name   string
	shape  func(s *Shape)
	inject func(w *World)
	// maxCancelledStarts bounds the starts of tasks after their job's cancellation was confirmed,
	// as an average over the seeds. One more start per seed is allowed, whose command may be in
	// flight.
	maxCancelledStarts int
}

var faultCombinations = []faultCombination{
	{name: "jobs that must run in one zone lose machines", inject: func(w *World) {
		for i := range 6 {
			s := array(jobID(800010+i), 4)
			s.OneZone = true
			if i%2 == 0 {
				s.Shape = protocol.ShapeGang
			}
			w.submit(arrival{after: time.Duration(i) * time.Second, job: s, run: 40})
		}
		w.every(6*time.Second, 6, func(int) {
			for _, k := range w.randomMachines(1) {
				w.loseAgent(k)
			}
		})
		w.after(15*time.Second, func() { w.crashLeader(time.Second) })
	}},
	{name: "jobs are cancelled, queried and resubmitted as they end", inject: func(w *World) {
		w.cancelAtEndShare, w.askAllNodes = 0.7, true
		w.after(60*time.Second, func() { w.crashLeader(300 * time.Millisecond) })
		w.after(110*time.Second, func() { w.cancelAtEndShare = 0 })
	}},
	{name: "jobs are cancelled while the leader changes", inject: func(w *World) {
		w.every(14*time.Second, 6, func(i int) {
			w.crashLeader(time.Duration(100+i*700) * time.Millisecond)
			w.every(700*time.Millisecond, 6, func(int) { w.cancelRunningJobs(1, 0) })
		})
	}, maxCancelledStarts: 4},
	{name: "a team is at its limit, some machines are unreachable, the leader changes", inject: func(w *World) {
		w.every(25*time.Second, 4, func(i int) {
			for _, k := range w.randomMachines(2) {
				id := k.host.ID
				w.disconnect(18*time.Second, i%2 == 0, fromHost(string(id)))
			}
			w.after(2*time.Second, func() { w.crashLeader(time.Second) })
			w.after(3*time.Second, func() { w.cancelRunningJobs(4, 0) })
		})
	}, maxCancelledStarts: 8},
	{name: "heartbeats are held back until a new leader has acted", inject: func(w *World) {
		w.every(30*time.Second, 4, func(int) {
			for _, k := range w.randomMachines(3) {
				id := k.host.ID
				held := &partition{handling: packetsHeld, match: fromHost(string(id))}
				w.partitions = append(w.partitions, held)
				w.after(12*time.Second, func() { w.heal(held) })
			}
			w.after(time.Second, func() { w.crashLeader(20 * time.Second) })
		})
	}},
	{name: "transactions are committed late, after newer ones", inject: func(w *World) {
		w.store.delayTransactions(0.3, 100*time.Second)
		w.after(40*time.Second, func() { w.crashLeader(200 * time.Millisecond) })
		w.after(70*time.Second, func() { w.crashLeader(5 * time.Second) })
	}, maxCancelledStarts: 2},
	{name: "machines boot within two seconds, transactions get no response or are committed late, the leader crashes", shape: func(s *Shape) { s.Machines = 2 }, inject: func(w *World) {
		w.cloud.fastBoot = true
		w.every(15*time.Second, 6, func(i int) {
			if i%2 == 0 {
				w.store.loseResponses(0.4, 10*time.Second)
			} else {
				w.store.delayTransactions(0.4, 10*time.Second)
			}
			w.after(w.between(time.Second, 6*time.Second), func() { w.crashLeader(500 * time.Millisecond) })
		})
	}},
	{name: "users query all controllers within milliseconds, some cancel at once", inject: func(w *World) {
		w.askAllNodes = true
		w.every(time.Second, 100, func(i int) {
			var cancel time.Duration
			if i%3 == 0 {
				cancel = w.between(time.Millisecond, 80*time.Millisecond)
			}
			w.submit(arrival{job: array(jobID(800200+i), 1), run: 3, cancelAfter: cancel})
		})
		w.every(30*time.Second, 3, func(int) { w.crashLeader(400 * time.Millisecond) })
	}, maxCancelledStarts: 2},
	{name: "leadership moves back and forth, all controllers crash, one restarts within a second", inject: func(w *World) {
		w.every(10*time.Second, 9, func(i int) {
			if i%3 < 2 {
				w.crashLeader(w.between(50*time.Millisecond, 900*time.Millisecond))
				return
			}
			for k, c := range w.nodes {
				c.crash(time.Duration(400+k*4000) * time.Millisecond)
			}
		})
	}},
	{name: "the leader misses cancellations, then the store fails", inject: func(w *World) {
		w.every(100*time.Second, 2, func(int) {
			if c := w.leader(); c != nil {
				// The leader's watches get no response while its lease renewals succeed, so
				// they report no cancellation to it.
				w.store.nodeWithoutWatches = c
				w.after(500*time.Millisecond, func() { w.cancelRunningJobs(20, 0) })
				w.after(9*time.Second, func() { w.store.outage(61 * time.Second) })
				w.after(75*time.Second, func() { w.store.nodeWithoutWatches = nil })
			}
		})
	}, maxCancelledStarts: 20},
	{name: "the store refuses the leader, then every controller", inject: func(w *World) {
		w.every(90*time.Second, 2, func(i int) {
			if c := w.leader(); c != nil {
				w.store.refuseNode(c, 14*time.Second)
				w.cancelRunningJobs(20, 0)
				w.after(time.Duration(1+i)*time.Second, func() { w.store.outage(58 * time.Second) })
			}
		})
	}, maxCancelledStarts: 4},
	{name: "a leader cut off from the store and its peers still reaches agents and users", inject: func(w *World) {
		w.every(60*time.Second, 2, func(i int) {
			if c := w.leader(); c != nil {
				w.isolate(c, 40*time.Second, i == 0)
				w.after(6*time.Second, func() { w.cancelRunningJobs(12, 0) })
				w.after(9*time.Second, func() { w.cancelRunningJobs(12, 0) })
			}
		})
	}, maxCancelledStarts: 6},
	{name: "agents open no connections but receive calls", inject: func(w *World) {
		w.every(45*time.Second, 3, func(i int) {
			w.blockHeartbeats([]int{1, 3, 99}[i], 35*time.Second)
			w.after(10*time.Second, func() { w.cancelRunningJobs(4, 0) })
			w.after(14*time.Second, func() { w.crashLeader(2 * time.Second) })
		})
	}, maxCancelledStarts: 4},
	{name: "all controllers are down for longer than an agent lease", inject: func(w *World) {
		w.after(20*time.Second, func() {
			for _, c := range w.nodes {
				c.crash(secs(w.shape.Agents.LeaseS) + w.between(2*time.Second, 9*time.Second))
			}
		})
	}},
	{name: "tasks of small jobs end far apart while the leader changes", inject: func(w *World) {
		for i := range 8 {
			u := w.submit(arrival{after: time.Duration(i) * time.Second, job: array(jobID(800030+i), 2+i%2), run: 60})
			u.job.progress[0], u.job.progress[1] = 55, 25
		}
		w.every(13*time.Second, 6, func(int) { w.crashLeader(1500 * time.Millisecond) })
	}},
	{name: "machines hang, then resume and handle late commands and responses", inject: func(w *World) {
		w.every(12*time.Second, 8, func(i int) {
			for _, k := range w.randomMachines(2) {
				k.hang(w.between(2*time.Second, 20*time.Second))
			}
			w.after(time.Second, func() { w.cancelRunningJobs(1, 0) })
			if i%3 == 1 {
				w.crashLeader(time.Second)
			}
		})
	}, maxCancelledStarts: 6},
	{name: "the leader crashes ten times in two minutes, also in a store outage", inject: func(w *World) {
		w.every(12*time.Second, 10, func(i int) {
			w.crashLeader(w.between(100*time.Millisecond, 5*time.Second))
			if i == 4 {
				w.store.outage(15 * time.Second)
			}
		})
	}},
	{name: "the leader crashes while machines are cut off or receive nothing", inject: func(w *World) {
		w.every(40*time.Second, 3, func(i int) {
			for n, k := range w.randomMachines(3) {
				if n == 0 {
					w.blockInbound(k.host.ID, 35*time.Second, i%2 == 0)
				} else {
					id := k.host.ID
					w.disconnect(15*time.Second, packetsHeld, fromHost(string(id)))
				}
			}
			w.after(2*time.Second, func() { w.crashLeader(3 * time.Second) })
		})
	}},
	{name: "a zone with a controller is cut off for longer than an agent lease", inject: func(w *World) {
		for i, handling := range []packetHandling{packetsHeld, packetsDropped} {
			w.after(time.Duration(i)*70*time.Second, func() {
				w.disconnect(45*time.Second, handling, func(a, _ string) bool { return w.zoneOf[a] == "east" })
				w.after(10*time.Second, func() { w.cancelRunningJobs(6, 0) })
			})
		}
	}, maxCancelledStarts: 6},
	{name: "old heartbeats reach every controller as a new leader takes over", inject: func(w *World) {
		w.every(25*time.Second, 5, func(i int) {
			w.replayHeartbeatsToNextLeader(24 * time.Second)
			w.after(15*time.Second, func() {
				for _, k := range w.randomMachines(1) {
					w.loseAgent(k)
				}
				w.cancelRunningJobs(2, 0)
				w.crashLeader(time.Duration(i) * 400 * time.Millisecond)
			})
		})
	}, maxCancelledStarts: 2},
	{name: "more work than capacity, urgent and not, with a slow store", inject: func(w *World) {
		w.submitMixedJobs(30, 40*time.Second)
		w.store.extraLatency = 150 * time.Millisecond
		w.after(100*time.Second, func() { w.store.extraLatency = 0 })
		w.after(50*time.Second, func() { w.crashLeader(2 * time.Second) })
	}, maxCancelledStarts: 4},
	{name: "transactions are committed at once but their responses are lost", inject: func(w *World) {
		w.askAllNodes = true
		w.store.loseResponses(0.4, 110*time.Second)
		w.after(50*time.Second, func() { w.crashLeader(time.Second) })
	}, maxCancelledStarts: 4},
	{name: "heartbeats of earlier incarnations and attempts arrive after newer ones", inject: func(w *World) {
		w.maxCopyDelay = 3 * secs(w.shape.Agents.LeaseS)
		w.after(110*time.Second, func() { w.maxCopyDelay = 0 })
		w.every(30*time.Second, 4, func(i int) {
			for _, k := range w.randomMachines(2) {
				w.blockInbound(k.host.ID, secs(w.shape.Agents.LeaseS)+3*time.Second, i%2 == 0)
			}
			w.after(10*time.Second, func() { w.crashLeader(time.Second) })
		})
	}, maxCancelledStarts: 2},
	{name: "teams are at their limits, jobs are cancelled, machines are cut off or hang, the leader changes", inject: func(w *World) {
		for i := range 10 {
			s := array(jobID(800040+i), 6)
			s.Team = []protocol.TeamName{"red", "blue"}[i%2]
			w.submit(arrival{job: s, run: 45})
		}
		w.every(22*time.Second, 5, func(i int) {
			w.cancelRunningJobs(5, 20*time.Second)
			for _, k := range w.randomMachines(1) {
				id := k.host.ID
				w.disconnect(20*time.Second, i%2 == 0, fromHost(string(id)))
			}
			w.after(time.Duration(i)*time.Second, func() { w.crashLeader(2 * time.Second) })
		})
	}, maxCancelledStarts: 10},
	{name: "the store is slow and refuses the leader, then every controller, while users cancel and query", inject: func(w *World) {
		w.askAllNodes = true
		w.store.extraLatency = 300 * time.Millisecond
		w.every(3*time.Second, 12, func(int) { w.cancelRunningJobs(1, 0) })
		w.after(20*time.Second, func() {
			if c := w.leader(); c != nil {
				w.store.refuseNode(c, 20*time.Second)
			}
		})
		w.after(26*time.Second, func() { w.store.outage(secs(w.shape.Agents.CancelS) + 6*time.Second) })
		w.after(95*time.Second, func() { w.store.extraLatency = 0 })
	}, maxCancelledStarts: 4},
	{name: "four one-task jobs a second arrive, a quarter are cancelled", shape: func(s *Shape) {
		s.Store.RPS, s.Store.WriteRPS, s.Store.TxnOps, s.Capacity = 300, 50, 12, 30
	}, inject: func(w *World) {
		w.every(250*time.Millisecond, 400, func(i int) {
			var cancel time.Duration
			if i%4 == 0 {
				cancel = w.between(10*time.Millisecond, 8*time.Second)
			}
			w.submit(arrival{job: array(jobID(810000+i), 1), run: 4, cancelAfter: cancel})
		})
	}, maxCancelledStarts: 10},
	{name: "executed calls arrive again, jobs are cancelled, machines are drained, controllers restart within a second", inject: func(w *World) {
		w.delayCommandCopies(0.5, 110*time.Second)
		w.every(11*time.Second, 9, func(i int) {
			w.cancelRunningJobs(2, 0)
			for _, k := range w.randomMachines(1) {
				k.announcePreemption(20)
			}
			if i%2 == 0 {
				w.nodes[i/2%len(w.nodes)].crash(w.between(50*time.Millisecond, 900*time.Millisecond))
			}
		})
	}, maxCancelledStarts: 4},
}

// TestFaultCombinations runs every combination of faults with a few seeds and with jobs of every
// shape. With even seeds the agents send their heartbeats to the leader. With odd seeds the leader
// has CPU time for few of them, so most go through the other controllers. All rules are checked at
// every step. After the faults, no job may be forgotten or wait although there is free capacity for
// it, and all jobs must end.
func TestFaultCombinations(t *testing.T) {
	t.Parallel()
	seeds := uint64(6)
	if testing.Short() {
		seeds = 2
	}
	for _, c := range faultCombinations {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cancelledStarts := 0
			for seed := range seeds {
				shape := SmallShape()
				if seed%2 == 1 {
					shape = tinyCPUShape()
				}
				if c.shape != nil {
					c.shape(&shape)
				}
				cancelledStarts += c.run(t, 500+seed, shape)
			}
			if cancelledStarts > (c.maxCancelledStarts+1)*int(seeds) { // one start per seed may be in flight
				t.Errorf("%d starts of tasks after their cancellation was confirmed", cancelledStarts)
			}
		})
	}
}

// run runs a combination with a seed and returns how many tasks were started after their job's
// cancellation was confirmed.
func (c *faultCombination) run(t *testing.T, seed uint64, shape Shape) (cancelledStarts int) {
	t.Helper()
	w := NewWithShape(seed, logs(), shape)
	w.submitMixedJobs(16, 60*time.Second)
	w.Run(20 * time.Second)
	c.inject(w)
	w.Run(200 * time.Second)
	w.cancelAtEndShare, w.askAllNodes, w.cloud.fastBoot = 0, false, false
	w.faultsEndedAt = w.Now
	w.watchWaitingJobs()
	w.runUntilOver()
	if w.rules.started == 0 {
		t.Errorf("seed %d: no task was started", seed)
	}
	for _, f := range w.rules.failures {
		t.Errorf("seed %d: %s", seed, f)
	}
	return w.rules.startsAfterCancellation
}
