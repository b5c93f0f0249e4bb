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

// buddyModel is the classical allocator: lists of free blocks by order, split
// on allocation and merged with their buddies on release.
type buddyModel struct {
	n    int
	free map[int]map[int]bool // order -> starts
}

func newBuddyModel(n int) *buddyModel {
	m := &buddyModel{n: n, free: map[int]map[int]bool{}}
	for i := range n {
		m.release(i)
	}
	return m
}

func (m *buddyModel) release(start int) {
	k := 0
	for {
		buddy := start ^ 1<<k
		if m.free[k][buddy] {
			delete(m.free[k], buddy)
			start &^= 1 << k
			k++
			continue
		}
		if m.free[k] == nil {
			m.free[k] = map[int]bool{}
		}
		m.free[k][start] = true
		return
	}
}

// take removes one slot, splitting the block that holds it.
func (m *buddyModel) take(slot int) bool {
	for k, starts := range m.free {
		for start := range starts {
			if slot < start || slot >= start+1<<k {
				continue
			}
			delete(starts, start)
			for i := start; i < start+1<<k; i++ {
				if i != slot {
					m.release(i)
				}
			}
			return true
		}
	}
	return false
}

// smallest is the order of the smallest free block of at least order k, or -1.
func (m *buddyModel) smallest(k int) int {
	for ; k < 16; k++ {
		if len(m.free[k]) > 0 {
			return k
		}
	}
	return -1
}

func (m *buddyModel) aligned(k int) int {
	n := 0
	for o, starts := range m.free {
		if o >= k {
			n += len(starts) << (o - k)
		}
	}
	return n
}

// TestBuddyAgainstModel compares the slot map with the classical allocator.
func TestBuddyAgainstModel(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		n := 1 + rng.IntN(20)
		b, m := newBuddy(n), newBuddyModel(n)
		var held [][]int
		for range 60 {
			if len(held) > 0 && rng.IntN(2) == 0 {
				i := rng.IntN(len(held))
				b.release(held[i])
				for _, s := range held[i] {
					m.release(s)
				}
				held = append(held[:i], held[i+1:]...)
			} else {
				size := 1 + rng.IntN(5)
				k := order(size)
				from := m.smallest(k)
				free := b.free
				got := b.carve(size)
				if want := min(size, free); len(got) != want {
					t.Fatalf("%d of %d slots for %d with %d free", len(got), n, size, free)
				}
				if from >= 0 {
					// An aligned block: it starts at a multiple of its size and
					// lies in a free block of the smallest order there was.
					if got[0]%(1<<k) != 0 || got[len(got)-1] != got[0]+size-1 {
						t.Fatalf("%v is not an aligned block of order %d", got, k)
					}
					if !m.free[from][got[0]>>from<<from] {
						t.Fatalf("%v is not from a free block of order %d: %v", got, from, m.free)
					}
				}
				for _, s := range got {
					if !m.take(s) {
						t.Fatalf("slot %d was not free", s)
					}
				}
				held = append(held, got)
			}
			for k := range 5 {
				if b.aligned(k) != m.aligned(k) {
					t.Fatalf("%d slots, order %d: %d blocks, the model has %d", n, k, b.aligned(k), m.aligned(k))
				}
			}
		}
	}
}

var bigType = protocol.MachineType{Name: "big", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 100, FetchGBPerS: 1, Price: 10, SpotPrice: 3, BootS: 30, Zones: []string{"a", "b", "c"}}
var smallType = protocol.MachineType{Name: "small", CPUs: 16, GPUs: 2, MemoryGB: 128, CacheGB: 100, FetchGBPerS: 1, Price: 6, SpotPrice: 2, BootS: 30, Zones: []string{"a", "b"}}

// testLeader is a leader that never had to be elected.
func testLeader(now time.Time) *leader {
	cfg := &config.Config{Name: "n", Operator: tuning.Defaults()}
	cfg.Cluster = config.Cluster{Zones: []string{"a", "b", "c"}, Teams: []config.Team{{Name: "free"}, {Name: "tight", MaxGPUs: 6, GPUs: 2}},
		Workers: config.Workers{ReportS: 3, LeaseS: 24, GangWaitS: 40, GangPeerS: 4, CancelS: 49},
		State:   config.State{RPS: 80, WriteRPS: 15, ValueKB: 8, TxnOps: 12}, Cloud: config.Cloud{RPS: 6, ListLagS: 6}}
	n := New(cfg, slog.New(slog.DiscardHandler), 1, "boot")
	n.now = now
	n.types["big"], n.types["small"] = &bigType, &smallType
	n.claim.term, n.claim.renewed, n.known = 7, now, now
	n.takeOver()
	return n.lead
}

func (l *leader) testMachine(id, typeName, zone string, spot bool) *machine {
	m := l.machine(id, "h:1", typeName, zone, spot)
	l.assignRack(m)
	m.rack.stamp = 1
	m.recorded, m.reported, m.fresh, m.session, m.lastReport, m.answered = true, true, true, 1, l.n.now, l.n.now
	l.kind(m)
	return m
}

func (l *leader) testJob(s protocol.Job) *job {
	s.ID = fmt.Sprintf("run-%06d", len(l.jobs)+1)
	if s.Priority == "" {
		s.Priority = "normal"
	}
	return l.addJob(&bookkeeping.Job{Spec: &s, AtMs: l.n.now.UnixMilli(), Chunk: 60}, uint64(len(l.jobs)+10))
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
			l.testMachine(fmt.Sprintf("i-%02d", i), kind.Name, kind.Zones[rng.IntN(len(kind.Zones))], rng.IntN(3) == 0)
		}
		for range 12 {
			s := protocol.Job{Team: []string{"free", "tight"}[rng.IntN(2)], Shape: protocol.ShapeGang, Tasks: 1 + rng.IntN(6),
				CPUs: float64(1 + rng.IntN(9)), GPUs: float64(rng.IntN(5)), MemoryGB: float64(8 + rng.IntN(60)), Image: "x",
				OneZone: rng.IntN(2) == 0, Spread: rng.IntN(3) == 0, Spot: rng.IntN(2) == 0}
			if rng.IntN(3) == 0 {
				s.Shape = protocol.ShapeArray
			}
			if rng.IntN(5) == 0 {
				s.Zone = "a"
			}
			if rng.IntN(5) == 0 {
				s.Types = []string{"small"}
			}
			j := l.testJob(s)
			if !j.spec.Gang() {
				waiting := l.placeArray(j, false)
				if waiting+len(j.copies) != s.Tasks {
					t.Fatalf("round %d: %d wait and %d are placed of %d", round, waiting, len(j.copies), s.Tasks)
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
			if len(j.copies) != s.Tasks {
				t.Fatalf("round %d: a gang of %d has %d places", round, s.Tasks, len(j.copies))
			}
			machines, zones := map[string]bool{}, map[string]bool{}
			for _, c := range j.copies {
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
	if l.teamRoom(j) < len(j.tasks) {
		return false, false, false
	}
	s, g := j.spec, len(j.tasks)
	perZone := map[string]int{}
	for _, m := range l.machines {
		if !l.usable(j, m) {
			continue
		}
		n := l.left(m).holds(s, g)
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
	zones := map[string]int{}
	for _, c := range j.copies {
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
	used := map[*machine]room{}
	gpus := map[string]float64{}
	for _, o := range l.jobs {
		for _, c := range o.copies {
			r := used[c.m]
			r.add(o.spec, 1)
			used[c.m] = r
			gpus[o.spec.Team] += o.spec.GPUs
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
	l.addCopy(other, 0, 1, half, 1)
	j := l.testJob(gangOf(2, 1))
	if !l.placeGang(j) || j.list()[0].m != half {
		t.Errorf("not on the fuller machine")
	}
	l.testMachine("i-3", "big", "c", true)
	warm := l.testMachine("i-4", "big", "c", false)
	warm.useImage(&protocol.Job{Image: "x", ImageGB: 1}, &bigType)
	s := gangOf(1, 4)
	s.Spot = true
	j = l.testJob(s)
	if !l.placeGang(j) || j.list()[0].m != warm {
		t.Errorf("not on the machine with the image")
	}
	j = l.testJob(s)
	if !l.placeGang(j) || j.list()[0].m.id != "i-3" {
		t.Errorf("not on the cheaper machine")
	}
	if len(empty.copies) != 0 {
		t.Errorf("the dear machine is used")
	}
}

// TestOneZoneWithOldCopies: while old copies of a one-zone job may still be in
// two zones, nothing of it starts anywhere.
func TestOneZoneWithOldCopies(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	a, b := l.testMachine("i-1", "big", "a", false), l.testMachine("i-2", "big", "b", false)
	s := protocol.Job{Team: "free", Shape: protocol.ShapeArray, Tasks: 4, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "x", OneZone: true}
	j := l.testJob(s)
	l.addCopy(j, 0, 1, a, 1)
	old := l.addCopy(j, 1, 1, b, 1)
	if w := l.placeArray(j, false); w != 2 {
		t.Errorf("%d wait", w)
	}
	l.drop(old)
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
	for _, c := range j.copies {
		c.committed, c.sent, c.state = true, true, protocol.TaskRunning
	}
	epoch := j.attempt
	l.testMachine("i-3", "big", "a", false)
	l.testMachine("i-4", "big", "a", false)
	spare := l.testMachine("i-5", "big", "b", false)
	l.forget(dead.id)
	l.schedule()
	if len(j.copies) != 1 || !j.stopping {
		t.Fatalf("%d copies, stopping %v: the survivor has yet to exit", len(j.copies), j.stopping)
	}
	if survivor.hold != j {
		t.Error("the survivor's room is not held")
	}
	l.drop(j.list()[0])
	l.schedule()
	on := map[*machine]bool{}
	for _, c := range j.copies {
		on[c.m] = true
	}
	if !on[survivor] || !on[spare] || j.attempt != epoch+1 {
		t.Errorf("repaired on %v at epoch %d", j.list(), j.attempt)
	}
}

// TestPreemption: a higher priority takes what it needs and no more; work of
// equal priority, and work within its team's guarantee, stays.
func TestPreemption(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	m := l.testMachine("i-1", "big", "a", false)
	s := protocol.Job{Team: "free", Shape: protocol.ShapeArray, Tasks: 4, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "x", Priority: "idle"}
	low := l.testJob(s)
	l.placeArray(low, false)
	for _, c := range low.copies {
		c.committed, c.sent, c.state = true, true, protocol.TaskRunning
	}
	same := gangOf(1, 2)
	same.Priority = "idle"
	l.testJob(same)
	l.schedule()
	if n := stopping(low); n != 0 {
		t.Errorf("%d tasks yield to equal priority", n)
	}
	high := gangOf(1, 2)
	high.Priority = "high"
	l.testJob(high)
	l.schedule()
	if n := stopping(low); n != 2 {
		t.Errorf("%d tasks yield where 2 do", n)
	}
	l.schedule()
	if n := stopping(low); n != 2 {
		t.Errorf("%d tasks yield after a second pass", n)
	}
	if m.hold == nil {
		t.Error("the room is not held")
	}
}

// TestDistrust: a machine on which two jobs failed takes no more tasks, and its
// room record says so to every later leader.
func TestDistrust(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	m := l.testMachine("i-1", "big", "a", false)
	for range tuning.MachineErrors {
		j := l.testJob(gangOf(1, 1))
		c := l.addCopy(j, 0, 1, m, 1)
		l.exited(m, c, protocol.TaskReport{Cause: protocol.CauseError})
		l.drop(c)
	}
	if l.open(m) || !m.rack.queued || !m.room().Closed {
		t.Errorf("open %v, record to be written %v", l.open(m), m.rack.queued)
	}
	l.judge(m, l.spares())
	if !m.deleting {
		t.Error("not returned once it is empty")
	}
}

// TestBlamedJobYields: a job that failed on several machines is tried on what
// is free, but nothing is stopped or rented for it any more.
func TestBlamedJobYields(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	l.testMachine("i-1", "big", "a", false)
	s := protocol.Job{Team: "free", Shape: protocol.ShapeArray, Tasks: 4, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "x", Priority: "idle"}
	low := l.testJob(s)
	l.placeArray(low, false)
	high := gangOf(1, 2)
	high.Priority = "high"
	j := l.testJob(high)
	for i := range tuning.JobErrors {
		m := l.testMachine(fmt.Sprintf("i-%d", 10+i), "small", "b", false)
		c := l.addCopy(j, 0, uint64(i+1), m, 1)
		l.exited(m, c, protocol.TaskReport{Cause: protocol.CauseError})
		l.drop(c)
		m.closed = true
		if m.distrust {
			t.Errorf("%s is distrusted for a job that fails everywhere", m.id)
		}
	}
	l.n.now = l.n.now.Add(tuning.ErrorPause)
	l.schedule()
	if n := stopping(low); n != 0 || len(l.fleet.demand) != 0 {
		t.Errorf("%d tasks yield, %d jobs want machines", n, len(l.fleet.demand))
	}
}

func stopping(j *job) (n int) {
	for _, c := range j.copies {
		if c.stop {
			n++
		}
	}
	return n
}

// TestGuarantee: a team within its guarantee takes machines from one beyond
// its own, but not from higher priority and not from guaranteed work.
func TestGuarantee(t *testing.T) {
	for _, c := range []struct {
		priority   string
		guaranteed bool
		want       int
	}{{"normal", false, 2}, {"high", false, 0}, {"normal", true, 0}} {
		l := testLeader(time.Unix(1_800_000_000, 0))
		l.testMachine("i-1", "big", "a", false)
		s := protocol.Job{Team: "free", Shape: protocol.ShapeArray, Tasks: 4, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "x", Priority: c.priority}
		if c.guaranteed {
			l.teams["free"].guaranteeGPUs = 4
		}
		other := l.testJob(s)
		l.placeArray(other, false)
		for _, o := range other.copies {
			o.committed, o.sent = true, true
		}
		s.Team, s.Tasks, s.Priority = "tight", 2, "normal"
		l.testJob(s)
		l.schedule()
		if n := stopping(other); n != c.want {
			t.Errorf("%+v: %d tasks yield", c, n)
		}
	}
}

// TestGuaranteeInTurn: a job that was beyond its team's guarantee when it came,
// and comes within it while more of its team waits, stops nobody's work: the
// teams of an overloaded deployment would go on taking machines in turn.
func TestGuaranteeInTurn(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	l.testMachine("i-1", "big", "a", false)
	s := gangOf(4, 1)
	s.Shape = protocol.ShapeArray
	other := l.testJob(s)
	l.placeArray(other, false)
	for _, o := range other.copies {
		o.committed, o.sent = true, true
	}
	s.Team, s.Tasks, s.Zone = "tight", 2, "b"
	first := l.testJob(s) // takes the whole guarantee, waits for another zone
	s.Zone = ""
	l.testJob(s)
	s.Tasks = 3
	l.testJob(s)
	l.schedule()
	first.gone = true
	delete(l.jobs, first.id)
	l.schedule()
	if n := stopping(other); n != 0 {
		t.Errorf("%d tasks yield", n)
	}
}

// TestBar: a gang that has waited past the time-out keeps the free machines of
// the zone where it lacks least from smaller jobs behind it.
func TestBar(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l := testLeader(now)
	l.testMachine("i-1", "big", "a", false)
	big := gangOf(2, 4)
	big.OneZone = true
	j := l.testJob(big)
	l.schedule()
	l.n.now = now.Add(l.n.cfg.Operator.BarAfter + time.Second)
	for _, m := range l.machines {
		m.lastReport = l.n.now
	}
	small := l.testJob(gangOf(1, 1))
	l.schedule()
	if len(small.copies) != 0 || len(j.copies) != 0 {
		t.Errorf("the smaller job passes")
	}
	l.testMachine("i-2", "big", "a", false)
	l.schedule()
	if len(j.copies) != 2 {
		t.Errorf("the gang is not placed when it could be")
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
