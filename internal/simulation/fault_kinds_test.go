package simulation

import (
	"fmt"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// faultParameters are the randomly drawn parameters of a fault. Each kind uses some of them.
type faultParameters struct {
	node     *controller
	machine  *agent // nil if no machine is up
	duration time.Duration
	handling packetHandling // of packets in a partition
}

// faultKind is a kind of fault that a run with random faults can inject.
type faultKind struct {
	name   string
	inject func(w *World, d faultParameters)
}

// machineFault returns the inject function for a fault of a machine. It does nothing if no machine
// is up.
func machineFault(inject func(w *World, agent *agent, d faultParameters)) func(*World, faultParameters) {
	return func(w *World, d faultParameters) {
		if d.machine != nil {
			inject(w, d.machine, d)
		}
	}
}

// faultKinds are all kinds of faults, which are equally likely. Their order and number determine
// which faults a seed draws, so a new kind changes every run with random faults.
var faultKinds = []faultKind{
	// A controller's process crashes without a shutdown signal and restarts within seconds.
	{"controller crashes", func(w *World, d faultParameters) { d.node.crash(w.randomDowntime()) }},
	// All controllers crash at once and restart one after the other.
	{"all controllers crash", func(w *World, _ faultParameters) {
		for _, c := range w.nodes {
			c.crash(w.randomDowntime())
		}
	}},
	// No packet passes between zones.
	{"zones cut off from each other", func(w *World, d faultParameters) { w.disconnect(d.duration, d.handling, w.inDifferentZones) }},
	// A controller reaches neither the store nor any machine or other controller.
	{"controller cut off", func(w *World, d faultParameters) {
		w.disconnect(d.duration, d.handling, func(a, b string) bool { return a == d.node.name && (b == storeHost || w.zoneOf[b] != "") })
	}},
	// A controller reaches everything except the store.
	{"controller cut off from the store", func(w *World, d faultParameters) {
		w.disconnect(d.duration, d.handling, func(a, b string) bool { return a == d.node.name && b == storeHost })
	}},
	// The store refuses every request.
	{"store outage", func(w *World, d faultParameters) { w.store.outage(d.duration) }},
	// The store refuses the requests of one controller only.
	{"store refuses a controller", func(w *World, d faultParameters) { w.store.refuseNode(d.node, d.duration) }},
	// The cloud refuses every request.
	{"cloud outage", func(w *World, d faultParameters) {
		w.cloud.down = true
		w.after(d.duration, func() { w.cloud.down = false })
	}},
	// A machine reaches no other host, and no other host reaches it.
	{"machine cut off", machineFault(func(w *World, machine *agent, d faultParameters) {
		w.disconnect(d.duration, d.handling, fromHost(string(machine.host.ID)))
	})},
	// A machine hangs for a while and then resumes.
	{"machine hangs", machineFault(func(_ *World, machine *agent, d faultParameters) { machine.hang(d.duration) })},
	// A machine's agent and tasks end, but the cloud still lists the machine.
	{"machine dies", machineFault(func(w *World, machine *agent, _ faultParameters) { w.loseAgent(machine) })},
	// Every task that starts on a machine fails.
	{"machine fails every task", machineFault(func(_ *World, machine *agent, _ faultParameters) { machine.failsTasks = true })},
	// A machine's heartbeats arrive, but no response and no command reaches the machine.
	{"machine receives nothing", machineFault(func(w *World, machine *agent, d faultParameters) {
		w.blockInbound(machine.host.ID, 2*d.duration, d.handling)
	})},
	// Copies of heartbeats arrive late, at random controllers.
	{"heartbeat copies arrive late", func(w *World, d faultParameters) {
		w.maxCopyDelay = w.between(2*time.Second, 90*time.Second)
		w.after(d.duration, func() { w.maxCopyDelay = 0 })
	}},
	// A controller reaches agents, but neither the store nor its peers.
	{"controller isolated", func(w *World, d faultParameters) { w.isolate(d.node, d.duration, d.handling) }},
	// Random controllers crash one after the other and restart within a fraction of a second.
	{"controllers restart quickly", func(w *World, _ faultParameters) {
		for i := range 3 {
			w.after(time.Duration(i)*w.between(100*time.Millisecond, 2*time.Second), func() {
				w.nodes[w.rng.IntN(len(w.nodes))].crash(w.between(10*time.Millisecond, 400*time.Millisecond))
			})
		}
	}},
	// Every response of the store takes long.
	{"store slow", func(w *World, d faultParameters) {
		w.store.extraLatency = w.between(50*time.Millisecond, 400*time.Millisecond)
		w.after(d.duration, func() { w.store.extraLatency = 0 })
	}},
	// The cloud reclaims a spot instance, with notice.
	{"spot instance reclaimed", machineFault(func(w *World, machine *agent, _ faultParameters) {
		if machine.host.Spot {
			machine.announcePreemption(20)
			w.after(w.between(10*time.Second, 30*time.Second), func() { w.cloud.destroy(machine.host) })
		}
	})},
	// Some transactions are committed late, after newer ones, and get no response.
	{"transactions committed late", func(w *World, d faultParameters) { w.store.delayTransactions(0.3, d.duration) }},
	// Some transactions are committed at once but get no response.
	{"transaction responses lost", func(w *World, d faultParameters) { w.store.loseResponses(0.3, d.duration) }},
	// Two machines open no connections, but calls reach them.
	{"machines open no connections", func(w *World, d faultParameters) { w.blockHeartbeats(2, d.duration) }},
	// All controllers are down for a long time, up to 45 s.
	{"cold restart", func(w *World, d faultParameters) {
		for _, c := range w.nodes {
			c.crash(w.between(d.duration/2, d.duration))
		}
	}},
	// All controllers crash. Copies of old heartbeats arrive as the next leader takes over, and
	// some machines send their heartbeats late.
	{"cold restart with late heartbeats and copies", func(w *World, d faultParameters) {
		for _, c := range w.nodes {
			c.crash(w.between(time.Second, 8*time.Second))
		}
		w.replayHeartbeatsToNextLeader(2 * d.duration)
		w.blockHeartbeats(2, d.duration/2)
	}},
	// Copies of old heartbeats reach every controller as the next leader takes over.
	{"old heartbeats replayed to the next leader", func(w *World, d faultParameters) { w.replayHeartbeatsToNextLeader(2 * d.duration) }},
	// Jobs are cancelled, and some of their machines hang.
	{"jobs cancelled, machines hang", func(w *World, d faultParameters) { w.cancelRunningJobs(4, d.duration) }},
	// Half of the jobs are cancelled at the moment their last task completes.
	{"jobs cancelled at their end", func(w *World, d faultParameters) {
		w.cancelAtEndShare = 0.5
		w.after(d.duration, func() { w.cancelAtEndShare = 0 })
	}},
	// Users query every controller each time they learn of a new phase of their job.
	{"users query all controllers", func(w *World, d faultParameters) {
		w.askAllNodes = true
		w.after(d.duration, func() { w.askAllNodes = false })
	}},
	// Users repeat submissions, cancel jobs that are over and submit jobs that can never run.
	{"redundant and invalid requests", func(w *World, d faultParameters) { w.sendRedundantAndInvalidRequests(min(d.duration, 10*time.Second)) }},
	// A controller's watches get no response, while its other requests do.
	{"watches of a controller hang", func(w *World, d faultParameters) {
		w.store.nodeWithoutWatches = d.node
		w.after(d.duration, func() { w.store.nodeWithoutWatches = nil })
	}},
	// The store refuses only the leader, jobs are cancelled, and then the store refuses all
	// controllers.
	{"store refuses the leader, then all controllers", func(w *World, d faultParameters) {
		if c := w.leader(); c != nil {
			w.store.refuseNode(c, 3*time.Second)
			w.cancelRunningJobs(3, 0)
			w.after(w.between(time.Second, 4*time.Second), func() { w.store.outage(d.duration) })
		}
	}},
}

// randomDowntime returns a random time for which a crashed controller is down.
func (w *World) randomDowntime() time.Duration { return w.between(200*time.Millisecond, 6*time.Second) }

// commandCopiesKind is the kind of fault in which half of the calls that agents execute arrive once
// more, up to three agent leases late. It is not among faultKinds, so that the seeds of the other
// random runs keep their faults.
var commandCopiesKind = faultKind{"copies of calls arrive late", func(w *World, d faultParameters) {
	w.delayCommandCopies(0.5, 2*d.duration)
}}

// lateSessionKind is the kind of fault in which the leases of two machines expire although their last
// heartbeats arrived, calls show their next session, and then nothing more is heard of them. Like
// commandCopiesKind it is not among faultKinds.
var lateSessionKind = faultKind{"responses lost, then heartbeats, then machines hang", func(w *World, d faultParameters) {
	for _, machine := range w.randomMachines(2) {
		w.beginSessionUnheard(machine, d.duration)
	}
}}

// overtakenAnswersKind is the kind of fault in which some responses of the store are slow, so that later
// ones overtake them, while users have several requests under way. Like commandCopiesKind it is not
// among faultKinds.
var overtakenAnswersKind = faultKind{"responses overtake each other, users send several requests", func(w *World, d faultParameters) {
	w.store.delayResponses(0.3, 2*d.duration)
	w.overlapRequests(2 * d.duration)
}}

// injectFault injects one fault of a random kind.
func (w *World) injectFault() { w.injectFaultOf(faultKinds) }

// injectFaultOf injects one fault, of a random one of the given kinds, and returns a description of
// it.
func (w *World) injectFaultOf(kinds []faultKind) string {
	d := w.drawFaultParameters()
	kind := kinds[w.rng.IntN(len(kinds))]
	kind.inject(w, d)
	var machine protocol.MachineID
	if d.machine != nil {
		machine = d.machine.host.ID
	}
	description := fmt.Sprintf("%s (drawn: controller %s, machine %s, %v, %v)", kind.name, d.node.name, machine, d.duration, d.handling)
	w.log.Info("fault injected", "fault", description)
	return description
}

// drawFaultParameters draws the parameters that a fault may need.
func (w *World) drawFaultParameters() faultParameters {
	d := faultParameters{node: w.nodes[w.rng.IntN(len(w.nodes))], handling: w.rng.IntN(2) == 0}
	for _, agent := range w.agentsInCreationOrder() {
		if d.machine == nil || w.rng.IntN(3) == 0 {
			d.machine = agent
		}
	}
	d.duration = w.between(time.Second, 45*time.Second)
	return d
}

// announcePreemption has a machine report that it will be preempted after some seconds.
func (a *agent) announcePreemption(seconds float64) {
	a.preemptionNoticeS = &seconds
	a.reportChange()
}
