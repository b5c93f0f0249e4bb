package coordination

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
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

func (l *leader) testMachine(id protocol.MachineID, typeName protocol.MachineTypeName, zone protocol.ZoneName, spot bool) *cluster.Machine {
	machine := l.cluster.EnsureMachine(id, "h:1", typeName, zone, spot)
	l.assignMachineRecord(machine)
	machine.Record.Revision = 1
	machine.Recorded, machine.Agent.Heard, machine.Agent.TokenConfirmed, machine.Agent.Incarnation, machine.Agent.LastHeartbeat, machine.Agent.AnsweredAt = true, true, true, 1, l.n.now, l.n.now
	l.cluster.TypeOf(machine)
	return machine
}

func (l *leader) testJob(s protocol.Job) *cluster.Job {
	s.ID = protocol.JobID(fmt.Sprintf("run-%06d", len(l.cluster.Jobs)+1))
	if s.Priority == "" {
		s.Priority = "normal"
	}
	return l.addJob(&storage.Job{Spec: &s, AtMs: l.n.now.UnixMilli(), RecordTasks: 60}, protocol.Revision(len(l.cluster.Jobs)+10))
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
			job := l.testJob(s)
			if !job.Spec.Gang() {
				waiting := l.scheduler.PlaceArray(job, false)
				if waiting+len(job.Attempts) != s.Tasks {
					t.Fatalf("round %d: %d wait and %d are placed of %d", round, waiting, len(job.Attempts), s.Tasks)
				}
				l.checkPlacement(t, job)
				continue
			}
			machine, zone, region := l.couldHold(job)
			if !l.scheduler.PlaceGang(job) {
				refused++
				if region {
					t.Fatalf("round %d: %+v is turned away though it fits", round, s)
				}
				continue
			}
			placed++
			if len(job.Attempts) != s.Tasks {
				t.Fatalf("round %d: a gang of %d has %d places", round, s.Tasks, len(job.Attempts))
			}
			machines, zones := map[protocol.MachineID]bool{}, map[protocol.ZoneName]bool{}
			for _, attempt := range job.Attempts {
				machines[attempt.Machine.ID], zones[attempt.Machine.Zone] = true, true
			}
			if machine && len(machines) > 1 || zone && len(zones) > 1 {
				t.Fatalf("round %d: %+v is spread over %v in %v though it need not be", round, s, machines, zones)
			}
			l.checkPlacement(t, job)
		}
	}
	if placed < 500 || refused < 200 {
		t.Errorf("%d placed and %d refused: the cases are too easy or too hard", placed, refused)
	}
}

// couldHold works out by counting which domains could hold a gang.
func (l *leader) couldHold(job *cluster.Job) (machine, zone, region bool) {
	if l.cluster.TasksWithinLimit(job) < len(job.Tasks) {
		return false, false, false
	}
	spec, g := job.Spec, len(job.Tasks)
	perZone := map[protocol.ZoneName]int{}
	for _, m := range l.cluster.Machines {
		if !l.cluster.Usable(job, m) {
			continue
		}
		n := l.cluster.FreeResources(m).Fit(spec, g)
		perZone[m.Zone] += n
		machine = machine || n >= g
	}
	total := 0
	for _, n := range perZone {
		zone = zone || n >= g
		if spec.Spread {
			n = min(n, (g+1)/2)
		}
		total += n
	}
	if spec.Spread && g > 1 {
		machine, zone = false, false
	}
	return machine, zone, zone || machine || !spec.OneZone && spec.Zone == "" && total >= g
}

func (l *leader) checkPlacement(t *testing.T, job *cluster.Job) {
	t.Helper()
	zones := map[protocol.ZoneName]int{}
	for _, attempt := range job.Attempts {
		machine := attempt.Machine
		zones[machine.Zone]++
		if !cluster.Allows(job.Spec, machine.TypeName, machine.Zone, machine.Spot) {
			t.Fatalf("%+v on %s in %s, spot %v", job.Spec, machine.TypeName, machine.Zone, machine.Spot)
		}
	}
	if job.Spec.OneZone && len(zones) > 1 {
		t.Fatalf("%+v in %v", job.Spec, zones)
	}
	for _, n := range zones {
		if job.Spec.Spread && n > (len(job.Tasks)+1)/2 {
			t.Fatalf("%+v in %v", job.Spec, zones)
		}
	}
	used := map[*cluster.Machine]cluster.Resources{}
	gpus := map[string]float64{}
	for _, o := range l.cluster.Jobs {
		for _, attempt := range o.Attempts {
			r := used[attempt.Machine]
			r.AddTasks(o.Spec, 1)
			used[attempt.Machine] = r
			gpus[string(o.Spec.Team)] += o.Spec.GPUs
		}
	}
	for machine, r := range used {
		if k := l.cluster.TypeOf(machine); r.CPUs > k.CPUs || r.GPUs > k.GPUs || r.MemoryGB > k.MemoryGB {
			t.Fatalf("%s is over-full: %+v", machine.ID, r)
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
	l.cluster.AddAttempt(other, 0, 1, half, 1)
	job := l.testJob(gangOf(2, 1))
	if !l.scheduler.PlaceGang(job) || job.SortedAttempts()[0].Machine != half {
		t.Errorf("not on the fuller machine")
	}
	l.testMachine("i-3", "big", "c", true)
	warm := l.testMachine("i-4", "big", "c", false)
	warm.UseImage(&protocol.Job{Image: "x", ImageGB: 1}, &bigType)
	s := gangOf(1, 4)
	s.Spot = true
	job = l.testJob(s)
	if !l.scheduler.PlaceGang(job) || job.SortedAttempts()[0].Machine != warm {
		t.Errorf("not on the machine with the image")
	}
	job = l.testJob(s)
	if !l.scheduler.PlaceGang(job) || job.SortedAttempts()[0].Machine.ID != "i-3" {
		t.Errorf("not on the cheaper machine")
	}
	if len(empty.Attempts) != 0 {
		t.Errorf("the dear machine is used")
	}
}

// TestOneZoneWithOldAttempts: while old attempts of a one-zone job may still be in
// two zones, nothing of it starts anywhere.
func TestOneZoneWithOldAttempts(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	a, b := l.testMachine("i-1", "big", "a", false), l.testMachine("i-2", "big", "b", false)
	s := protocol.Job{Team: "free", Shape: protocol.ShapeArray, Tasks: 4, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "x", OneZone: true}
	job := l.testJob(s)
	l.cluster.AddAttempt(job, 0, 1, a, 1)
	old := l.cluster.AddAttempt(job, 1, 1, b, 1)
	if w := l.scheduler.PlaceArray(job, false); w != 2 {
		t.Errorf("%d wait", w)
	}
	l.lifecycle.RemoveGone(old)
	if w := l.scheduler.PlaceArray(job, false); w != 0 {
		t.Errorf("%d wait once the other zone's copy is gone", w)
	}
	l.checkPlacement(t, job)
}

// TestRepairPinsSurvivors: a gang that lost a machine goes back to the machines
// of its other tasks and takes its zone's spare for the lost one, though
// another zone could hold it whole.
func TestRepairPinsSurvivors(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	dead, survivor := l.testMachine("i-1", "big", "b", false), l.testMachine("i-2", "big", "b", false)
	s := gangOf(2, 4)
	s.OneZone, s.Priority = true, "normal"
	job := l.testJob(s)
	l.runSchedulingCycle()
	for _, attempt := range job.Attempts {
		attempt.Committed, attempt.StartSent, attempt.ReportedState = true, true, protocol.TaskRunning
	}
	epoch := job.Epoch
	l.testMachine("i-3", "big", "a", false)
	l.testMachine("i-4", "big", "a", false)
	spare := l.testMachine("i-5", "big", "b", false)
	l.MachinesDeleted(dead.ID)
	l.runSchedulingCycle()
	if len(job.Attempts) != 1 || !job.Stopping {
		t.Fatalf("%d copies, stopping %v: the survivor has yet to exit", len(job.Attempts), job.Stopping)
	}
	if survivor.ReservedFor != job {
		t.Error("the survivor's room is not held")
	}
	l.lifecycle.RemoveGone(job.SortedAttempts()[0])
	l.runSchedulingCycle()
	on := map[*cluster.Machine]bool{}
	for _, attempt := range job.Attempts {
		on[attempt.Machine] = true
	}
	if !on[survivor] || !on[spare] || job.Epoch != epoch+1 {
		t.Errorf("repaired on %v at epoch %d", job.SortedAttempts(), job.Epoch)
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
		l.autoscaler.Tick()
		l.n.out = nil
		s := protocol.Job{Team: "free", Shape: protocol.ShapeArray, Tasks: 3, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "x", EstimateS: 30, DeadlineS: c.deadline}
		l.testJob(s)
		l.runSchedulingCycle()
		l.autoscaler.ScaleOut()
		if got := l.autoscaler.PendingRentals(); got != map[bool]int{true: 0, false: 1}[c.spot] {
			t.Errorf("deadline %v: %d ordinary rentals", c.deadline, got)
		}
	}
}
