package simulation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
)

// withLoweredLimits returns the shape of a deployment whose key-value store will lower its
// limits.
func withLoweredLimits(s Shape, writes float64, ops int) Shape {
	s.NextStoreLimits = &config.StoreLimits{RPS: s.Store.RPS, WriteRPS: writes, ValueKB: 2, TxnOps: ops}
	return s
}

// upgradeInTurn crashes the controllers one after the other. Each restarts in the current
// version. A controller that crashes and restarts before its turn keeps its version.
func (w *World) upgradeInTurn(interval time.Duration) {
	for i, c := range w.nodes {
		w.after(time.Duration(i)*interval, func() {
			w.release[c.name] = current
			if c.alive {
				c.crash(w.between(200*time.Millisecond, 4*time.Second))
			}
		})
	}
}

// TestUpgradeUnderFaultsKeepsRules: controllers of version 0.2, of 0.3 or of both write records
// that exceed the lowered limits. The controllers are replaced, in two thirds of the runs under
// faults, and then the limits are lowered. The leader may run an earlier or the current version
// at any time. Every rule holds, nothing is lost, and all jobs are served.
func TestUpgradeUnderFaultsKeepsRules(t *testing.T) {
	t.Parallel()
	seeds := 36
	if testing.Short() {
		seeds = 9
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := newUpgradeWorld(seed)
			w.runUpgrade(seed%3 > 0)
			w.expectRulesHeld(t)
		})
	}
}

// newUpgradeWorld returns a world whose controllers run earlier versions.
func newUpgradeWorld(seed int) *World {
	shape := withLoweredLimits(SmallShape(), 12, 4)
	if seed%2 == 1 {
		shape = withLoweredLimits(tinyCPUShape(), 12, 4)
	}
	shape.Capacity = 30
	w := NewWithShape(uint64(900+seed), logs(), shape)
	for i, c := range w.nodes {
		// All in 0.2, all in 0.3, or both versions.
		w.release[c.name] = []release{release02, release03, []release{release02, release03}[(i+seed)%2]}[seed%3]
		c.crash(time.Millisecond)
	}
	return w
}

// runUpgrade replaces the controllers while jobs run, with or without faults, then has the limits
// lowered, and runs the world until all jobs are over.
func (w *World) runUpgrade(faults bool) {
	w.submitMixedJobs(12, 100*time.Second)
	for i := range 4 {
		spec := array(jobID(600000+i), 60+w.rng.IntN(90))
		withTaskResources(spec, 1, 0.25, 5).Spot = true
		w.submit(arrival{after: w.between(0, 50*time.Second), job: spec, run: 20 + 60*w.rng.Float64()})
		g := gangJob(jobID(600010+i), 16+w.rng.IntN(8))
		withCheckpoints(g, 10, 2).OneZone = true
		w.submit(arrival{after: w.between(0, 80*time.Second), job: g, run: 30})
	}
	w.Run(w.between(30*time.Second, 60*time.Second))
	if faults {
		w.every(9*time.Second, 8, func(int) { w.injectFault() })
	}
	w.upgradeInTurn(w.between(time.Second, 20*time.Second))
	w.Run(70 * time.Second)
	w.store.applyNextLimits()
	w.Run(40 * time.Second)
	w.crashLeader(300 * time.Millisecond)
	w.Run(60 * time.Second)
	w.faultsEndedAt = w.Now
	w.healAgents()
	w.watchWaitingJobs()
	w.runUntilOver()
}

// healAgents makes machines that fail all tasks work again.
func (w *World) healAgents() {
	for _, agent := range w.agents {
		agent.failsTasks = false
	}
}

// TestRecordsAreSplitBeforeLimitsAreLowered: records that version 0.2 wrote are split once all
// controllers support the new form. The transactions keep within the lowered limits, also if the
// limits are lowered while a new leader has not heard from its peers yet. The machine records of
// this large deployment are split too, and no machine is forgotten in the process.
func TestRecordsAreSplitBeforeLimitsAreLowered(t *testing.T) {
	t.Parallel()
	shape := withLoweredLimits(thousandMachineShape(), 21, 8)
	shape.Store.TxnOps = 24
	w := NewWithShape(77, logs(), shape)
	for _, c := range w.nodes {
		w.release[c.name] = release02
		c.crash(time.Millisecond)
	}
	w.Run(5 * time.Second)
	w.submitJobBurst(60, 30*time.Second)
	for i := range 5 {
		spec := withQueue(array(jobID(600000+i), 150), "array", "team-0", "idle")
		w.submit(arrival{job: spec, run: 150})
		g := withQueue(largeGang(jobID(600010+i)), "gang", "team-1", "high")
		w.submit(arrival{job: g, run: 100})
	}
	w.Run(60 * time.Second)
	starts, before := w.rules.started, w.gangTaskRestarts()
	for _, c := range w.nodes {
		w.release[c.name] = current
		c.crash(time.Second)
		w.Run(9 * time.Second)
	}
	w.Run(12 * time.Second)
	for key, e := range w.store.keys {
		if len(e.Value) > 2048 {
			t.Errorf("record %s still has %d bytes, want at most 2048", key, len(e.Value))
		}
	}
	w.store.applyNextLimits()
	w.crashAll(time.Second)
	w.Run(10 * time.Second)
	w.faultsEndedAt = w.Now
	w.finishAndCheck(t, 500*time.Second)
	again := w.gangTaskRestarts() - before
	t.Logf("%d tasks started before the upgrade, %d gang tasks restarted since", starts, again)
	if again > 0 {
		t.Errorf("%d gang tasks were restarted", again)
	}
}

// gangTaskRestarts counts the starts of gang tasks after the first start of each. Array tasks are
// not counted, because they are preempted for gangs.
func (w *World) gangTaskRestarts() (again int) {
	for _, j := range w.rules.jobs {
		if j.spec.Gang() {
			for _, n := range j.starts {
				again += n - 1
			}
		}
	}
	return again
}

// TestOversizedRecordsAreSplitUnderLoweredLimits: the limits are lowered before any record is
// split. A new leader that knows nothing about its peers then finds the oversized records.
func TestOversizedRecordsAreSplitUnderLoweredLimits(t *testing.T) {
	t.Parallel()
	shape := withLoweredLimits(SmallShape(), 15, 4)
	shape.Capacity = 40
	w := NewWithShape(78, logs(), shape)
	for _, c := range w.nodes {
		w.release[c.name] = release02
		c.crash(time.Millisecond)
	}
	w.Run(5 * time.Second)
	spec := array("run-600000", 140)
	withTaskResources(spec, 2, 0.5, 10)
	arrayUser := w.submit(arrival{job: spec, run: 60})
	g := gangJob("run-600001", 20)
	gangUser := w.submit(arrival{after: 5 * time.Second, job: g, run: 40})
	cancelled := w.submit(arrival{after: 5 * time.Second, job: withTaskResources(array("run-600002", 120), 1, 0.25, 20), run: 500, cancelAfter: 55 * time.Second})
	w.Run(40 * time.Second)
	w.store.applyNextLimits()
	for _, c := range w.nodes {
		w.release[c.name] = current
		c.crash(time.Second)
	}
	w.waitUntilOver(t, 300*time.Second, arrayUser, gangUser, cancelled)
	w.Run(80 * time.Second)
	w.expectRulesHeld(t)
}

// withLargeDescription gives a job a description that takes up most of the lowered record size,
// and returns the job.
func withLargeDescription(spec *protocol.Job) *protocol.Job {
	spec.Types = []protocol.MachineTypeName{"four", protocol.MachineTypeName(strings.Repeat("x", 1400))}
	return spec
}

// loweringScenario is a way in which the limits are lowered around an upgrade.
type loweringScenario struct {
	name        string
	from        release
	lowerLimits func(w *World)
}

var loweringScenarios = []loweringScenario{
	{"after the upgrade", release02, func(w *World) {
		w.upgradeInTurn(8 * time.Second)
		w.Run(40 * time.Second)
		w.store.applyNextLimits()
	}},
	{"at the start of the upgrade, no record split yet", release03, func(w *World) {
		w.upgradeInTurn(time.Second)
		w.store.applyNextLimits()
	}},
	{"during the upgrade from 0.3", release03, func(w *World) {
		w.upgradeInTurn(10 * time.Second)
		w.after(14*time.Second, w.store.applyNextLimits)
	}},
	{"during the upgrade from 0.2", release02, func(w *World) {
		w.upgradeInTurn(5 * time.Second)
		w.after(6*time.Second, w.store.applyNextLimits)
	}},
	{"during a failover", release02, func(w *World) {
		w.upgradeInTurn(time.Second)
		w.Run(8 * time.Second)
		w.store.applyNextLimits()
		w.crashLeader(300 * time.Millisecond)
		w.after(3*time.Second, func() { w.crashLeader(200 * time.Millisecond) })
		w.after(4*time.Second, func() { w.crashLeader(200 * time.Millisecond) })
	}},
	{"while the key-value store is slow", release02, func(w *World) {
		w.upgradeInTurn(2 * time.Second)
		w.Run(10 * time.Second)
		w.store.extraLatency = 400 * time.Millisecond
		w.store.applyNextLimits()
		w.after(25*time.Second, func() { w.store.extraLatency = 0 })
	}},
	{"during a store outage", release02, func(w *World) {
		w.upgradeInTurn(2 * time.Second)
		w.Run(5 * time.Second)
		w.store.outage(12 * time.Second)
		w.after(6*time.Second, w.store.applyNextLimits)
	}},
	{"responses are lost", release02, func(w *World) {
		w.upgradeInTurn(2 * time.Second)
		w.Run(5 * time.Second)
		w.store.applyNextLimits()
		w.store.loseResponses(0.3, 20*time.Second)
	}},
}

// TestLimitsLoweredFarBelowRecordSizes: the limit on record sizes falls to a sixteenth at once,
// so that a record needs more parts than a transaction may have changes. This happens around an
// upgrade, during a failover, or while the key-value store is slow or down. Every rule holds, and
// all jobs run to their end. No transaction is rejected twice as too large: the rules allow 20
// such rejections in total.
func TestLimitsLoweredFarBelowRecordSizes(t *testing.T) {
	t.Parallel()
	for _, c := range loweringScenarios {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(c.name, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				c.run(t, seed)
			})
		}
	}
}

// run runs the scenario with records that need many parts.
func (c loweringScenario) run(t *testing.T, seed uint64) {
	w := c.newWorld(seed)
	users := w.submitLargeJobs()
	c.lowerLimits(w)
	w.Run(60 * time.Second)
	w.faultsEndedAt = w.Now
	w.waitUntilOver(t, 400*time.Second, users...)
	w.Run(20 * time.Second)
	t.Logf("%d parts staged, %d transactions rejected as too large, %d tasks started", w.rules.stagedRecords, w.store.oversizedTransactions, w.rules.started)
	w.expectRulesHeld(t)
}

// newWorld returns a world of an earlier version, with store limits that allow large records.
func (c loweringScenario) newWorld(seed uint64) *World {
	shape := withLoweredLimits(SmallShape(), 15, 4)
	shape.Store.ValueKB, shape.Store.TxnOps, shape.Capacity = 32, 24, 40
	shape.Type.CPUs = 320
	w := NewWithShape(300+seed, logs(), shape)
	for _, n := range w.nodes {
		w.release[n.name] = c.from
		n.crash(time.Millisecond)
	}
	return w
}

// submitLargeJobs submits jobs with the largest records, and lets them run for a while.
func (w *World) submitLargeJobs() (users []*user) {
	w.Run(5 * time.Second)
	for i := range 3 {
		a := withLargeDescription(array(jobID(600000+i), 98))
		withTaskResources(a, 1, 0, 0.5)
		users = append(users, w.submit(arrival{job: a, run: 60 + 30*w.rng.Float64()}))
		g := withLargeDescription(gangJob(jobID(600010+i), 40))
		withCheckpoints(withTaskResources(g, 1, 0, 0.5), 20, 2)
		users = append(users, w.submit(arrival{job: g, run: 50 + 30*w.rng.Float64()}))
	}
	w.Run(30 * time.Second)
	return users
}
