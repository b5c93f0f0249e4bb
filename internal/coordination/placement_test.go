package coordination

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/bookkeeping"
	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

var bigType = protocol.MachineType{Name: "big", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 100, FetchGBPerS: 1, Price: 10, SpotPrice: 3, BootS: 30, Zones: []protocol.ZoneName{"a", "b", "c"}}
var smallType = protocol.MachineType{Name: "small", CPUs: 16, GPUs: 2, MemoryGB: 128, CacheGB: 100, FetchGBPerS: 1, Price: 6, SpotPrice: 2, BootS: 30, Zones: []protocol.ZoneName{"a", "b"}}

// testLeader is a leader that never had to be elected.
func testLeader(now time.Time) *leader {
	cfg := &config.Config{Name: "n", Operator: tuning.Defaults()}
	cfg.Cluster = config.Cluster{Zones: []protocol.ZoneName{"a", "b", "c"}, Teams: []config.Team{{Name: "free"}, {Name: "tight", MaxGPUs: 6, GPUs: 2}},
		Workers: config.Workers{ReportS: 3, LeaseS: 24, GangWaitS: 40, GangPeerS: 4, CancelS: 49},
		State:   config.State{RPS: 80, WriteRPS: 15, ValueKB: 8, TxnOps: 12}, Cloud: config.Cloud{RPS: 6, ListLagS: 6}}
	n := New(cfg, slog.New(slog.DiscardHandler), 1, "boot")
	n.now = now
	n.types["big"], n.types["small"] = &bigType, &smallType
	n.lease.term, n.lease.renewedAt, n.syncedAt = 7, now, now
	n.takeOver()
	return n.lead
}

func (l *leader) testMachine(id protocol.MachineID, typeName protocol.MachineTypeName, zone protocol.ZoneName, spot bool) *machine {
	m := l.machine(id, "h:1", typeName, zone, spot)
	l.assignMachineRecord(m)
	m.record.revision = 1
	m.recorded, m.reported, m.tokenConfirmed, m.incarnation, m.lastReport, m.answered = true, true, true, 1, l.n.now, l.n.now
	l.kind(m)
	return m
}

func (l *leader) testJob(s protocol.Job) *job {
	s.ID = protocol.JobID(fmt.Sprintf("run-%06d", len(l.jobs)+1))
	if s.Priority == "" {
		s.Priority = "normal"
	}
	return l.addJob(&bookkeeping.Job{Spec: &s, AtMs: l.n.now.UnixMilli(), RecordTasks: 60}, protocol.Revision(len(l.jobs)+10))
}

// TestPlacementConstraints places generated jobs on generated fleets. Every
// placement keeps every limit; a gang is placed whole, in the smallest domain
// that holds it, and is turned away only if no domain does.
func TestPlacementConstraints(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	rng := rand.New(rand.NewPCG(3, 4))
	placed, refused := 0, 0
	for round := range 400 {
		l := testLeader(now)
		for i := range 1 + rng.IntN(8) {
			kind := &bigType
			if rng.IntN(3) == 0 {
				kind = &smallType
			}
			l.testMachine(protocol.MachineID(fmt.Sprintf("i-%02d", i)), kind.Name, kind.Zones[rng.IntN(len(kind.Zones))], rng.IntN(3) == 0)
		}
		for range 12 {
			s := protocol.Job{Team: []protocol.TeamName{"free", "tight"}[rng.IntN(2)], Shape: protocol.ShapeGang, Tasks: 1 + rng.IntN(6),
				CPUs: float64(1 + rng.IntN(9)), GPUs: float64(rng.IntN(5)), MemoryGB: float64(8 + rng.IntN(60)), Image: "x",
				OneZone: rng.IntN(2) == 0, Spread: rng.IntN(3) == 0, Spot: rng.IntN(2) == 0}
			if rng.IntN(3) == 0 {
				s.Shape = protocol.ShapeArray
			}
			if rng.IntN(5) == 0 {
				s.Zone = "a"
			}
			if rng.IntN(5) == 0 {
				s.Types = []protocol.MachineTypeName{"small"}
			}
			j := l.testJob(s)
			if !j.spec.Gang() {
				waiting := l.placeArray(j, false)
				if waiting+len(j.attempts) != s.Tasks {
					t.Fatalf("round %d: %d wait and %d are placed of %d", round, waiting, len(j.attempts), s.Tasks)
				}
				l.checkPlacement(t, j)
				continue
			}
			machine, zone, region := l.couldHold(j)
			if !l.placeGang(j) {
				refused++
				if region {
					t.Fatalf("round %d: %+v is turned away though it fits", round, s)
				}
				continue
			}
			placed++
			if len(j.attempts) != s.Tasks {
				t.Fatalf("round %d: a gang of %d has %d places", round, s.Tasks, len(j.attempts))
			}
			machines, zones := map[protocol.MachineID]bool{}, map[protocol.ZoneName]bool{}
			for _, c := range j.attempts {
				machines[c.m.id], zones[c.m.zone] = true, true
			}
			if machine && len(machines) > 1 || zone && len(zones) > 1 {
				t.Fatalf("round %d: %+v is spread over %v in %v though it need not be", round, s, machines, zones)
			}
			l.checkPlacement(t, j)
		}
	}
	if placed < 500 || refused < 200 {
		t.Errorf("%d placed and %d refused: the cases are too easy or too hard", placed, refused)
	}
}

// couldHold works out by counting which domains could hold a gang.
func (l *leader) couldHold(j *job) (machine, zone, region bool) {
	if l.teamQuota(j) < len(j.tasks) {
		return false, false, false
	}
	s, g := j.spec, len(j.tasks)
	perZone := map[protocol.ZoneName]int{}
	for _, m := range l.machines {
		if !l.usable(j, m) {
			continue
		}
		n := l.freeResources(m).fit(s, g)
		perZone[m.zone] += n
		machine = machine || n >= g
	}
	total := 0
	for _, n := range perZone {
		zone = zone || n >= g
		if s.Spread {
			n = min(n, (g+1)/2)
		}
		total += n
	}
	if s.Spread && g > 1 {
		machine, zone = false, false
	}
	return machine, zone, zone || machine || !s.OneZone && s.Zone == "" && total >= g
}

func (l *leader) checkPlacement(t *testing.T, j *job) {
	t.Helper()
	zones := map[protocol.ZoneName]int{}
	for _, c := range j.attempts {
		m := c.m
		zones[m.zone]++
		if !allows(j.spec, m.typeName, m.zone, m.spot) {
			t.Fatalf("%+v on %s in %s, spot %v", j.spec, m.typeName, m.zone, m.spot)
		}
	}
	if j.spec.OneZone && len(zones) > 1 {
		t.Fatalf("%+v in %v", j.spec, zones)
	}
	for _, n := range zones {
		if j.spec.Spread && n > (len(j.tasks)+1)/2 {
			t.Fatalf("%+v in %v", j.spec, zones)
		}
	}
	used := map[*machine]resources{}
	gpus := map[string]float64{}
	for _, o := range l.jobs {
		for _, c := range o.attempts {
			r := used[c.m]
			r.addTasks(o.spec, 1)
			used[c.m] = r
			gpus[string(o.spec.Team)] += o.spec.GPUs
		}
	}
	for m, r := range used {
		if k := l.kind(m); r.cpus > k.CPUs || r.gpus > k.GPUs || r.memory > k.MemoryGB {
			t.Fatalf("%s is over-full: %+v", m.id, r)
		}
	}
	if gpus["tight"] > 6 {
		t.Fatalf("the team uses %v GPUs of 6", gpus["tight"])
	}
}

func gangOf(tasks int, gpus float64) protocol.Job {
	return protocol.Job{Team: "free", Shape: protocol.ShapeGang, Tasks: tasks, CPUs: 2, GPUs: gpus, MemoryGB: 8, Image: "x"}
}

// TestLeastResidual: among machines that hold the gang, the fullest is taken;
// among equals the one that has the image, then the cheaper one.
func TestLeastResidual(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	empty, half := l.testMachine("i-1", "big", "a", false), l.testMachine("i-2", "big", "b", false)
	other := l.testJob(gangOf(1, 2))
	l.addAttempt(other, 0, 1, half, 1)
	j := l.testJob(gangOf(2, 1))
	if !l.placeGang(j) || j.sortedAttempts()[0].m != half {
		t.Errorf("not on the fuller machine")
	}
	l.testMachine("i-3", "big", "c", true)
	warm := l.testMachine("i-4", "big", "c", false)
	warm.useImage(&protocol.Job{Image: "x", ImageGB: 1}, &bigType)
	s := gangOf(1, 4)
	s.Spot = true
	j = l.testJob(s)
	if !l.placeGang(j) || j.sortedAttempts()[0].m != warm {
		t.Errorf("not on the machine with the image")
	}
	j = l.testJob(s)
	if !l.placeGang(j) || j.sortedAttempts()[0].m.id != "i-3" {
		t.Errorf("not on the cheaper machine")
	}
	if len(empty.attempts) != 0 {
		t.Errorf("the dear machine is used")
	}
}

// TestOneZoneWithOldAttempts: while old attempts of a one-zone job may still be in
// two zones, nothing of it starts anywhere.
func TestOneZoneWithOldAttempts(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	a, b := l.testMachine("i-1", "big", "a", false), l.testMachine("i-2", "big", "b", false)
	s := protocol.Job{Team: "free", Shape: protocol.ShapeArray, Tasks: 4, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "x", OneZone: true}
	j := l.testJob(s)
	l.addAttempt(j, 0, 1, a, 1)
	old := l.addAttempt(j, 1, 1, b, 1)
	if w := l.placeArray(j, false); w != 2 {
		t.Errorf("%d wait", w)
	}
	l.dropAttempt(old)
	if w := l.placeArray(j, false); w != 0 {
		t.Errorf("%d wait once the other zone's copy is gone", w)
	}
	l.checkPlacement(t, j)
}

// TestRepairPinsSurvivors: a gang that lost a machine goes back to the machines
// of its other tasks and takes its zone's spare for the lost one, though
// another zone could hold it whole.
func TestRepairPinsSurvivors(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	dead, survivor := l.testMachine("i-1", "big", "b", false), l.testMachine("i-2", "big", "b", false)
	s := gangOf(2, 4)
	s.OneZone, s.Priority = true, "normal"
	j := l.testJob(s)
	l.schedule()
	for _, c := range j.attempts {
		c.committed, c.sent, c.state = true, true, protocol.TaskRunning
	}
	epoch := j.epoch
	l.testMachine("i-3", "big", "a", false)
	l.testMachine("i-4", "big", "a", false)
	spare := l.testMachine("i-5", "big", "b", false)
	l.forget(dead.id)
	l.schedule()
	if len(j.attempts) != 1 || !j.stopping {
		t.Fatalf("%d copies, stopping %v: the survivor has yet to exit", len(j.attempts), j.stopping)
	}
	if survivor.hold != j {
		t.Error("the survivor's room is not held")
	}
	l.dropAttempt(j.sortedAttempts()[0])
	l.schedule()
	on := map[*machine]bool{}
	for _, c := range j.attempts {
		on[c.m] = true
	}
	if !on[survivor] || !on[spare] || j.epoch != epoch+1 {
		t.Errorf("repaired on %v at epoch %d", j.sortedAttempts(), j.epoch)
	}
}

// TestRentDeadlines: an array with time to spare has no ordinary machine
// rented for it, only spot ones; one without has.
func TestRentDeadlines(t *testing.T) {
	for _, c := range []struct {
		deadline float64
		spot     bool
	}{{1000, true}, {60, false}} {
		l := testLeader(time.Unix(1_800_000_000, 0))
		l.tickFleet()
		l.n.out = nil
		s := protocol.Job{Team: "free", Shape: protocol.ShapeArray, Tasks: 3, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "x", EstimateS: 30, DeadlineS: c.deadline}
		l.testJob(s)
		l.schedule()
		l.rent()
		if got := len(l.fleet.rentals); got != map[bool]int{true: 0, false: 1}[c.spot] {
			t.Errorf("deadline %v: %d ordinary rentals", c.deadline, got)
		}
	}
}
