package simulation

import (
	"bufio"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/golden"
	"github.com/gappond/gappond/internal/protocol"
)

const fingerprintsFile = "testdata/fingerprints.txt"

// fingerprint hashes every action of every controller, in order. Each action is hashed in the form
// in which it leaves the process, so that no type, field or package of the program affects the
// hash.
type fingerprint struct {
	w       *World
	hash    hash.Hash
	actions int
	trace   io.Writer // gets the actions in readable form, nil for none
}

// attach makes f record the actions of a world's controllers from now on, and returns the world.
func (f *fingerprint) attach(w *World) *World {
	f.w, f.hash = w, sha256.New()
	w.recorder = f.record
	return w
}

// sum returns the first 16 bytes of the hash in hexadecimal, and the number of actions.
func (f *fingerprint) sum() string {
	return fmt.Sprintf("%s %d", hex.EncodeToString(f.hash.Sum(nil)[:16]), f.actions)
}

// record adds an action of a controller.
func (f *fingerprint) record(controller string, action coordination.Action) {
	switch a := action.(type) {
	case coordination.Request:
		f.add(controller, "request", targetName(a.To), a.Address, a.Method, a.Path, a.Body, a.Timeout)
	case coordination.Reply:
		f.add(controller, "reply", a.ID, a.Status, a.Body, a.RetryAfter)
	case coordination.PeerSend:
		f.add(controller, "send", string(a.Peer), protocol.AppendPeerFrame(nil, a.Message))
	case coordination.PeerLinkReset:
		f.add(controller, "reset", string(a.Peer))
	default:
		panic("fingerprint: unknown type of action")
	}
}

// targetName returns the name of an external system in the hash. The separate connection to the
// store for the leader lease has its own name.
func targetName(to coordination.Target) string {
	switch to {
	case coordination.ToStore:
		return "state"
	case coordination.ToLeaderLease:
		return "leader lease"
	case coordination.ToCloud:
		return "cloud"
	case coordination.ToAgent:
		return "worker"
	}
	panic("fingerprint: unknown target")
}

// add hashes an action: the time, the controller, the kind and the parts. The length of each string
// is hashed before the string.
func (f *fingerprint) add(controller, kind string, parts ...any) {
	f.actions++
	f.addNumber(uint64(f.w.Now.UnixNano()))
	f.addBytes([]byte(controller))
	f.addBytes([]byte(kind))
	for _, part := range parts {
		switch p := part.(type) {
		case string:
			f.addBytes([]byte(p))
		case []byte:
			f.addBytes(p)
		case int:
			f.addNumber(uint64(p))
		case uint64:
			f.addNumber(p)
		case time.Duration:
			f.addNumber(uint64(p))
		default:
			panic("fingerprint: unknown type of part")
		}
	}
	if f.trace != nil {
		fmt.Fprintln(f.trace, f.w.clock(), controller, kind, readable(parts))
	}
}

// readable formats the parts of an action on one line.
func readable(parts []any) string {
	var out strings.Builder
	for _, part := range parts {
		switch p := part.(type) {
		case string, []byte:
			fmt.Fprintf(&out, " %q", p)
		default:
			fmt.Fprint(&out, " ", p)
		}
	}
	return out.String()
}

func (f *fingerprint) addNumber(n uint64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	f.hash.Write(b[:])
}

func (f *fingerprint) addBytes(b []byte) {
	f.addNumber(uint64(len(b)))
	f.hash.Write(b)
}

// fingerprintScenario is a kind of run of which fingerprints are taken.
type fingerprintScenario struct {
	name  string
	seeds int // the golden file has the seeds from 0 to seeds-1
	run   func(seed uint64, f *fingerprint)
}

// randomFaultsScenario returns a run with random faults in a deployment of a shape.
func randomFaultsScenario(shape Shape) func(seed uint64, f *fingerprint) {
	return func(seed uint64, f *fingerprint) {
		f.attach(NewWithShape(seed, logs(), shape)).runWithFaults(faultKinds)
	}
}

// fingerprintScenarios returns scenarios that together exercise everything that a controller does.
func fingerprintScenarios() []fingerprintScenario {
	recoveringTiny, slow := tinyCPUShape(), SmallShape()
	recoveringTiny.Recovery, slow.Slow = true, true
	return []fingerprintScenario{
		{"small", 6, randomFaultsScenario(SmallShape())},
		{"small-recovery", 6, randomFaultsScenario(smallWithRecovery())},
		{"tiny", 5, randomFaultsScenario(tinyCPUShape())},
		{"tiny-recovery", 5, randomFaultsScenario(recoveringTiny)},
		{"slow", 3, randomFaultsScenario(slow)},
		{"slow-crowd", 2, slowCrowdScenario},
		{"upgrade-0.2", 4, upgradeScenario(0)},
		{"upgrade-0.3", 4, upgradeScenario(1)},
		{"upgrade-mixed", 4, upgradeScenario(2)},
		{"lowered-limits", len(loweringScenarios), loweredLimitsScenario},
		{"services", len(serviceFaults), servicesScenario},
		{"cold-restart", 4, coldRestartScenario},
		{"restored-store", 3, restoredStoreScenario},
		{"damaged-records", 2, malformedRecordsScenario},
		{"fleet", 2, largeClusterScenario},
	}
}

// runWithRandomFaults runs the world and injects count random faults, one per interval. It runs for
// 40 s more before the faults count as over, and then repairs machines on which every task fails.
func (w *World) runWithRandomFaults(interval time.Duration, count int) {
	w.every(interval, count, func(int) { w.injectFault() })
	w.Run(time.Duration(count) * interval)
	w.Run(40 * time.Second)
	w.faultsEndedAt = w.Now
	w.healAgents()
}

// slowCrowdScenario submits many jobs and status queries to slow controllers, which take time for
// each step.
func slowCrowdScenario(seed uint64, f *fingerprint) {
	shape := smallestBudgetShape()
	shape.Slow, shape.Capacity = true, 328
	shape.Resources.Cores, shape.Resources.MemoryMB = 0.018, 65
	w := f.attach(NewWithShape(seed, logs(), shape))
	w.Run(3 * time.Second)
	w.submitJobBurst(60, 60*time.Second)
	w.every(20*time.Millisecond, 500, func(i int) {
		w.nodes[i%len(w.nodes)].ask(statusQuery(jobID(900_000+i)), func(int, []byte) {})
	})
	w.Run(40 * time.Second)
	w.runWithRandomFaults(7*time.Second, 8)
	w.Run(60 * time.Second)
}

// upgradeScenario returns a run of TestUpgradeUnderFaultsKeepsRules: an upgrade from release 0.2,
// 0.3 or both, after which the store's limits are lowered. Only the first seed injects no other
// faults.
func upgradeScenario(from int) func(seed uint64, f *fingerprint) {
	return func(seed uint64, f *fingerprint) {
		f.attach(newUpgradeWorld(3*int(seed) + from)).runUpgrade(seed > 0)
	}
}

// loweredLimitsScenario lowers the store's limits far, in one of the ways of
// TestLimitsLoweredFarBelowRecordSizes, and then injects other faults.
func loweredLimitsScenario(seed uint64, f *fingerprint) {
	c := loweringScenarios[seed%uint64(len(loweringScenarios))]
	w := f.attach(c.newWorld(seed))
	w.submitLargeJobs()
	c.lowerLimits(w)
	w.Run(20 * time.Second)
	w.runWithRandomFaults(9*time.Second, 5)
	w.Run(60 * time.Second)
}

// servicesScenario runs services in addition to other jobs, with one of the faults of
// TestServicesServeThroughFaults and then random faults.
func servicesScenario(seed uint64, f *fingerprint) {
	w := f.attach(New(seed, logs()))
	w.Run(6 * time.Second)
	u := w.submit(arrival{job: service("run-000001", 4), cancelAfter: 150 * time.Second})
	w.Run(10 * time.Second)
	for i := range 3 {
		spec := service(jobID(10+i), 1+w.rng.IntN(6))
		spec.Spread, spec.GPUs = i%2 == 0, float64(w.rng.IntN(2))
		w.submit(arrival{after: w.between(0, 20*time.Second), job: spec, cancelAfter: w.between(100*time.Second, 200*time.Second)})
	}
	w.submitMixedJobs(8, 60*time.Second)
	w.Run(4 * time.Second)
	serviceFaults[seed%uint64(len(serviceFaults))].inject(w, u)
	w.Run(40 * time.Second)
	w.runWithRandomFaults(9*time.Second, 6)
	w.Run(60 * time.Second)
}

// coldRestartScenario crashes all controllers of a deployment of 120 machines while jobs run.
func coldRestartScenario(seed uint64, f *fingerprint) {
	c := ColdRestart{Machines: 120, Before: 15 * time.Second, Away: 3 * time.Second, After: 40 * time.Second, Recovery: seed%2 == 0, EqualPriorities: seed%3 == 0}
	w := f.attach(newWorld(seed, logs(), c.Shape(), nil))
	if _, err := c.run(&simulatedDeployment{w}); err != nil {
		panic(err)
	}
}

// restoredStoreScenario restores the store from a backup, without its newest records, while no
// controller is up.
func restoredStoreScenario(seed uint64, f *fingerprint) {
	shape := SmallShape()
	shape.Recovery, shape.Capacity = seed%2 == 0, 24
	w := f.attach(NewWithShape(seed, logs(), shape))
	w.Run(6 * time.Second)
	w.submitMixedJobs(10, 60*time.Second)
	w.Run(40 * time.Second)
	old := w.store.backup()
	w.Run(w.between(5*time.Second, 20*time.Second))
	if seed%3 == 1 {
		w.store.revision += 1_000_000
	}
	w.crashLeader(time.Second)
	w.Run(12 * time.Second)
	w.crashAll(2 * time.Second)
	w.Run(time.Second)
	w.store.restore(old)
	w.Run(100 * time.Second)
	w.runWithRandomFaults(9*time.Second, 4)
}

// malformedRecordsScenario makes new leaders read malformed records.
func malformedRecordsScenario(seed uint64, f *fingerprint) {
	shape := SmallShape()
	shape.Recovery, shape.Machines = seed%2 == 0, 8
	w := f.attach(NewWithShape(seed, logs(), shape))
	w.Run(6 * time.Second)
	w.submit(arrival{job: array("run-000001", 5), run: 150})
	w.submit(arrival{job: gangJob("run-000002", 6), run: 150})
	w.submitMixedJobs(8, 60*time.Second)
	w.Run(30 * time.Second)
	w.crashAll(3 * time.Second)
	w.writeMalformedRecord("g/j/run-000001", []string{`{"w":"x","spec":7}`, `{"w":"x","v":9}`, `null`}[seed%3])
	w.writeMalformedRecord("g/j/run-999998", `{"w":"x","v":9}`)
	w.writeMalformedRecord("g/t/run-000002/1", `{"w":"x","tasks":[[1]]}`)
	w.writeMalformedRecord("g/m/nobody", `{"w":"x","rooms":7}`)
	w.writeMalformedRecord("g/q/unknown", `1`)
	w.Run(60 * time.Second)
	w.runWithRandomFaults(9*time.Second, 4)
}

// largeClusterScenario runs a deployment of about three hundred machines in which a zone is cut
// off, machines die, all controllers crash and random faults follow.
func largeClusterScenario(seed uint64, f *fingerprint) {
	shape := thousandMachineShape()
	shape.Machines, shape.Capacity, shape.Recovery = 240, 360, seed%2 == 0
	w := f.attach(NewWithShape(seed, logs(), shape))
	w.submitJobBurst(70, 60*time.Second)
	w.Run(30 * time.Second)
	zone := shape.Zones[2]
	w.disconnect(30*time.Second, packetsHeld, w.acrossZoneBoundary(zone))
	w.Run(35 * time.Second)
	w.loseMachines(20)
	w.crashAll(4 * time.Second)
	w.Run(20 * time.Second)
	w.runWithRandomFaults(8*time.Second, 6)
}

// fingerprintOf runs a scenario with a seed and returns the fingerprint. If the environment
// variable FINGERPRINT_TRACE names a directory, the actions are also written there in readable
// form.
func fingerprintOf(t *testing.T, scenario fingerprintScenario, seed uint64) string {
	f := &fingerprint{}
	if dir := os.Getenv("FINGERPRINT_TRACE"); dir != "" {
		file, err := os.Create(filepath.Join(dir, fmt.Sprintf("%s-%d.txt", scenario.name, seed)))
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		out := bufio.NewWriter(file)
		defer out.Flush()
		f.trace = out
	}
	scenario.run(seed, f)
	return f.sum()
}

// TestFingerprints: with the same seed, every controller must do the same at the same time, byte
// for byte, in every process and in every version of the program that is meant to behave the same.
// A changed hash means that the behaviour has changed; -update rewrites the golden file. With
// FINGERPRINT_SEEDS=a-b, the test prints the hashes of these seeds instead and compares nothing.
func TestFingerprints(t *testing.T) {
	var first, last uint64
	seedRange := os.Getenv("FINGERPRINT_SEEDS")
	if seedRange != "" {
		if n, err := fmt.Sscanf(seedRange, "%d-%d", &first, &last); n != 2 || err != nil || last < first {
			t.Fatalf("FINGERPRINT_SEEDS=%s: want a range a-b with a <= b", seedRange)
		}
	}
	expected := readFingerprints(t)
	var lock sync.Mutex
	var names []string
	computed := map[string]string{}
	for _, scenario := range fingerprintScenarios() {
		from, to := first, last+1
		if seedRange == "" {
			from, to = 0, uint64(scenario.seeds)
		}
		for seed := from; seed < to; seed++ {
			name := fmt.Sprint(scenario.name, "/", seed)
			names = append(names, name)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				sum := fingerprintOf(t, scenario, seed)
				lock.Lock()
				computed[name] = sum
				lock.Unlock()
				if seedRange == "" && !golden.Updating() && sum != expected[name] {
					t.Errorf("the fingerprint is %s, the golden file has %q", sum, expected[name])
				}
			})
		}
	}
	t.Cleanup(func() {
		switch {
		case seedRange != "":
			for _, name := range names {
				fmt.Println("fingerprint", name, computed[name])
			}
		case golden.Updating() && len(computed) < len(names):
			t.Errorf("only %d of %d fingerprints were taken: the golden file is not rewritten", len(computed), len(names))
		case golden.Updating():
			writeFingerprints(t, names, computed)
		case len(expected) != len(names):
			t.Errorf("the golden file has %d fingerprints, want %d", len(expected), len(names))
		}
	})
}

// readFingerprints returns the fingerprints in the golden file by scenario and seed.
func readFingerprints(t *testing.T) map[string]string {
	t.Helper()
	expected := map[string]string{}
	for line := range strings.Lines(golden.Read(t, fingerprintsFile)) {
		name, sum, _ := strings.Cut(strings.TrimSpace(line), " ")
		expected[name] = sum
	}
	return expected
}

// writeFingerprints rewrites the golden file with the fingerprints in the order of names.
func writeFingerprints(t *testing.T, names []string, computed map[string]string) {
	t.Helper()
	var out strings.Builder
	for _, name := range names {
		fmt.Fprintln(&out, name, computed[name])
	}
	golden.Write(t, fingerprintsFile, out.String())
}
