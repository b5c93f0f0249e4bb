package simulation

import (
	"fmt"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// faultParameters is what the lot has drawn for a fault.
type faultParameters struct {
	node     *controller
	machine  *agent // nil if none is up
	duration time.Duration
	fate     packetHandling // at a cut
}

// faultKind is a kind of fault that random days inject.
type faultKind struct {
	name   string
	inject func(w *World, d faultParameters)
}

// machineFault makes a fault of a machine one that does nothing if no machine is up.
func machineFault(inject func(w *World, agent *agent, d faultParameters)) func(*World, faultParameters) {
	return func(w *World, d faultParameters) {
		if d.machine != nil {
			inject(w, d.machine, d)
		}
	}
}

// faultKinds are all kinds, equally likely. Their order and number decide what a seed draws:
// a new kind changes every random day.
var faultKinds = []faultKind{
	// A controller's process ends without a signal and is back within seconds.
	{"controller crashes", func(w *World, d faultParameters) { d.node.crash(w.randomDowntime()) }},
	// All controllers end at once and are back one after the other.
	{"all controllers crash", func(w *World, _ faultParameters) {
		for _, c := range w.nodes {
			c.crash(w.randomDowntime())
		}
	}},
	// Nothing passes between the zones.
	{"zones cut off from each other", func(w *World, d faultParameters) { w.disconnect(d.duration, d.fate, w.inDifferentZones) }},
	// A controller reaches neither the key-value store nor any other host.
	{"controller cut off", func(w *World, d faultParameters) {
		w.disconnect(d.duration, d.fate, func(a, b string) bool { return a == d.node.name && (b == storeHost || w.zoneOf[b] != "") })
	}},
	// A controller reaches everything but the key-value store.
	{"controller cut off from the store", func(w *World, d faultParameters) {
		w.disconnect(d.duration, d.fate, func(a, b string) bool { return a == d.node.name && b == storeHost })
	}},
	// The key-value store refuses every request.
	{"store outage", func(w *World, d faultParameters) { w.store.outage(d.duration) }},
	// The key-value store refuses one controller alone.
	{"store refuses a controller", func(w *World, d faultParameters) { w.store.refuseNode(d.node, d.duration) }},
	// The cloud refuses every request.
	{"cloud outage", func(w *World, d faultParameters) {
		w.cloud.down = true
		w.after(d.duration, func() { w.cloud.down = false })
	}},
	// A machine reaches nobody and nobody reaches it.
	{"machine cut off", machineFault(func(w *World, k *agent, d faultParameters) {
		w.disconnect(d.duration, d.fate, fromHost(string(k.host.ID)))
	})},
	// A machine stands still and goes on.
	{"machine hangs", machineFault(func(_ *World, k *agent, d faultParameters) { k.hang(d.duration) })},
	// A machine's worker ends with its tasks; the cloud goes on listing the machine.
	{"machine dies", machineFault(func(w *World, k *agent, _ faultParameters) { w.loseAgent(k) })},
	// Every task that starts on a machine ends with an error.
	{"machine fails every task", machineFault(func(_ *World, k *agent, _ faultParameters) { k.failsTasks = true })},
	// A machine's reports arrive, but no answer and no order reaches it.
	{"machine receives nothing", machineFault(func(w *World, k *agent, d faultParameters) {
		w.blockInbound(k.host.ID, 2*d.duration, d.fate)
	})},
	// Copies of reports arrive late, at any controller.
	{"copies of reports come late", func(w *World, d faultParameters) {
		w.maxCopyDelay = w.between(2*time.Second, 90*time.Second)
		w.after(d.duration, func() { w.maxCopyDelay = 0 })
	}},
	// A controller reaches its workers, but neither the store nor its peers.
	{"controller isolated", func(w *World, d faultParameters) { w.isolate(d.node, d.duration, d.fate) }},
	// Controllers end one after the other and are back within a fraction of a second.
	{"controllers restart at once", func(w *World, _ faultParameters) {
		for i := range 3 {
			w.after(time.Duration(i)*w.between(100*time.Millisecond, 2*time.Second), func() {
				w.nodes[w.rng.IntN(len(w.nodes))].crash(w.between(10*time.Millisecond, 400*time.Millisecond))
			})
		}
	}},
	// Every answer of the key-value store takes long.
	{"store slow", func(w *World, d faultParameters) {
		w.store.extraLatency = w.between(50*time.Millisecond, 400*time.Millisecond)
		w.after(d.duration, func() { w.store.extraLatency = 0 })
	}},
	// The cloud takes a spot instance back, with notice.
	{"spot instance reclaimed", machineFault(func(w *World, k *agent, _ faultParameters) {
		if k.host.Spot {
			k.announcePreemption(20)
			w.after(w.between(10*time.Second, 30*time.Second), func() { w.cloud.destroy(k.host) })
		}
	})},
	// Some transactions are carried out late, after newer ones, and get no answer.
	{"transactions late", func(w *World, d faultParameters) { w.store.delayTransactions(0.3, d.duration) }},
	// Some transactions are carried out at once and get no answer.
	{"answers to transactions lost", func(w *World, d faultParameters) { w.store.loseResponses(0.3, d.duration) }},
	// Two machines open no connection; calls reach them.
	{"machines cannot report", func(w *World, d faultParameters) { w.blockHeartbeats(2, d.duration) }},
	// All controllers are away for long.
	{"cold restart", func(w *World, d faultParameters) {
		for _, c := range w.nodes {
			c.crash(w.between(d.duration/2, d.duration))
		}
	}},
	// All controllers end; the next leader gets copies of old reports, and some machines
	// report late.
	{"cold restart, copies and machines late", func(w *World, d faultParameters) {
		for _, c := range w.nodes {
			c.crash(w.between(time.Second, 8*time.Second))
		}
		w.replayHeartbeatsToNextLeader(2 * d.duration)
		w.blockHeartbeats(2, d.duration/2)
	}},
	// The next leader gets copies of old reports as it begins.
	{"copies kept for the next leader", func(w *World, d faultParameters) { w.replayHeartbeatsToNextLeader(2 * d.duration) }},
	// Jobs are cancelled whose machines hang.
	{"jobs cancelled, machines hang", func(w *World, d faultParameters) { w.cancelRunningJobs(4, d.duration) }},
	// Half of the jobs are cancelled at the moment of their end.
	{"jobs cancelled at their end", func(w *World, d faultParameters) {
		w.cancelAtEndShare = 0.5
		w.after(d.duration, func() { w.cancelAtEndShare = 0 })
	}},
	// Users ask every node after every answer.
	{"users ask all nodes", func(w *World, d faultParameters) {
		w.askAllNodes = true
		w.after(d.duration, func() { w.askAllNodes = false })
	}},
	// Users repeat submissions, cancel what is over and submit what can never run.
	{"odd requests", func(w *World, d faultParameters) { w.sendRedundantAndInvalidRequests(min(d.duration, 10*time.Second)) }},
	// No watch of a controller is answered, while its other requests are.
	{"watches of a controller hang", func(w *World, d faultParameters) {
		w.store.nodeWithoutWatches = d.node
		w.after(d.duration, func() { w.store.nodeWithoutWatches = nil })
	}},
	// The store refuses the leader alone, jobs are cancelled, and then it refuses everybody.
	{"the leader is refused, then all are", func(w *World, d faultParameters) {
		if c := w.leader(); c != nil {
			w.store.refuseNode(c, 3*time.Second)
			w.cancelRunningJobs(3, 0)
			w.after(w.between(time.Second, 4*time.Second), func() { w.store.outage(d.duration) })
		}
	}},
}

// randomDowntime draws how long a crashed controller is away.
func (w *World) randomDowntime() time.Duration { return w.between(200*time.Millisecond, 6*time.Second) }

// injectFault injects one fault of a kind drawn by lot, and says which.
func (w *World) injectFault() string {
	d := w.drawFaultParameters()
	kind := faultKinds[w.rng.IntN(len(faultKinds))]
	kind.inject(w, d)
	var machine protocol.MachineID
	if d.machine != nil {
		machine = d.machine.host.ID
	}
	what := fmt.Sprintf("%s (of %s or %s, %v, %v)", kind.name, d.node.name, machine, d.duration, d.fate)
	w.log.Info("fault injected", "fault", what)
	return what
}

// drawFaultParameters draws what a fault may need: a controller, a machine, its time.
func (w *World) drawFaultParameters() faultParameters {
	d := faultParameters{node: w.nodes[w.rng.IntN(len(w.nodes))], fate: w.rng.IntN(2) == 0}
	for _, agent := range w.agentsInCreationOrder() {
		if d.machine == nil || w.rng.IntN(3) == 0 {
			d.machine = agent
		}
	}
	d.duration = w.between(time.Second, 45*time.Second)
	return d
}

// announcePreemption has a machine report that it is taken away after some seconds.
func (a *agent) announcePreemption(seconds float64) {
	a.preemptionNoticeS = &seconds
	a.reportChange()
}
