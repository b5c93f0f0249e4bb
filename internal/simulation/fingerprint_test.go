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

// fingerprint is a hash over every action of every controller in order, in the form in
// which it leaves the process: no type, field or package of the program has a part in it.
type fingerprint struct {
	w       *World
	hash    hash.Hash
	actions int
	trace   io.Writer // a readable copy, nil for none
}

// attach has a fingerprint made of what the controllers of a world do from now on.
func (f *fingerprint) attach(w *World) *World {
	f.w, f.hash = w, sha256.New()
	w.recorder = f.record
	return w
}

// sum is the hash in hexadecimal and the number of actions.
func (f *fingerprint) sum() string {
	return fmt.Sprintf("%s %d", hex.EncodeToString(f.hash.Sum(nil)[:16]), f.actions)
}

// record adds an action.
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
		panic("an action that fingerprints do not know")
	}
}

// targetName names an outside system, and the connection kept for the leader lease.
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
	panic("a target that fingerprints do not know")
}

// add hashes the parts of an action, each with its length before it.
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
			panic("a part that fingerprints do not know")
		}
	}
	if f.trace != nil {
		fmt.Fprintln(f.trace, f.w.clock(), controller, kind, readable(parts))
	}
}

// readable shows the parts of an action on one line.
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

// fingerprintScenario is a kind of day that fingerprints are taken of.
type fingerprintScenario struct {
	name  string
	seeds int // that the golden file has, from 0 on
	run   func(seed uint64, f *fingerprint)
}

// randomFaultsScenario is a random day of a shape.
func randomFaultsScenario(shape Shape) func(seed uint64, f *fingerprint) {
	return func(seed uint64, f *fingerprint) { f.attach(NewWithShape(seed, logs(), shape)).runWithFaults() }
}

// fingerprintScenarios are shapes and events that between them reach all that a controller does.
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

// runWithRandomFaults injects faults of kinds drawn by lot for a while.
func (w *World) runWithRandomFaults(apart time.Duration, times int) {
	w.every(apart, times, func(int) { w.injectFault() })
	w.Run(time.Duration(times) * apart)
	w.Run(40 * time.Second)
	w.faultsEndedAt = w.Now
	w.healAgents()
}

// slowCrowdScenario is a crowd of jobs and questions at controllers that take time for all.
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

// upgradeScenario is a day of TestUpgradeUnderFaultsKeepsRules: from 0.2, 0.3 or both; the limits are lowered after.
// Only the first seed is without other faults.
func upgradeScenario(from int) func(seed uint64, f *fingerprint) {
	return func(seed uint64, f *fingerprint) {
		f.attach(newUpgradeWorld(3*int(seed) + from)).runUpgrade(seed > 0)
	}
}

// loweredLimitsScenario has the limits fall far in one of the ways of TestLimitsLoweredFarBelowRecordSizes, with
// other faults after.
func loweredLimitsScenario(seed uint64, f *fingerprint) {
	c := loweringScenarios[seed%uint64(len(loweringScenarios))]
	w := f.attach(c.newWorld(seed))
	w.submitLargeJobs()
	c.lowerLimits(w)
	w.Run(20 * time.Second)
	w.runWithRandomFaults(9*time.Second, 5)
	w.Run(60 * time.Second)
}

// servicesScenario has services beside other work, one of the faults of TestServicesServeThroughFaults and others
// after.
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

// coldRestartScenario loses all controllers of a hundred and twenty machines in the middle of work.
func coldRestartScenario(seed uint64, f *fingerprint) {
	c := ColdRestart{Machines: 120, Before: 15 * time.Second, Away: 3 * time.Second, After: 40 * time.Second, Recovery: seed%2 == 0, EqualPriorities: seed%3 == 0}
	w := f.attach(newWorld(seed, logs(), c.Shape(), nil))
	if _, err := c.run(&simulatedDeployment{w}); err != nil {
		panic(err)
	}
}

// restoredStoreScenario has the key-value store come back without its newest records while no
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

// malformedRecordsScenario has new leaders find records that make no sense.
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

// largeClusterScenario is a day of some three hundred machines with random faults, the loss of a zone
// and of all controllers.
func largeClusterScenario(seed uint64, f *fingerprint) {
	shape := thousandMachineShape()
	shape.Machines, shape.Capacity, shape.Recovery = 240, 360, seed%2 == 0
	w := f.attach(NewWithShape(seed, logs(), shape))
	w.submitJobBurst(70, 60*time.Second)
	w.Run(30 * time.Second)
	dark := shape.Zones[2]
	w.disconnect(30*time.Second, packetsHeld, w.acrossZoneBoundary(dark))
	w.Run(35 * time.Second)
	w.loseMachines(20)
	w.crashAll(4 * time.Second)
	w.Run(20 * time.Second)
	w.runWithRandomFaults(8*time.Second, 6)
}

// fingerprintOf plays a day; FINGERPRINT_TRACE names a directory for readable copies.
func fingerprintOf(t *testing.T, day fingerprintScenario, seed uint64) string {
	f := &fingerprint{}
	if dir := os.Getenv("FINGERPRINT_TRACE"); dir != "" {
		file, err := os.Create(filepath.Join(dir, fmt.Sprintf("%s-%d.txt", day.name, seed)))
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		out := bufio.NewWriter(file)
		defer out.Flush()
		f.trace = out
	}
	day.run(seed, f)
	return f.sum()
}

// TestFingerprints: the same seed makes every controller do the same at the same moment, to
// the byte, in every process and in every version of the program that is to behave the
// same. A change of a hash is a change of behaviour: -update writes the golden file anew.
// FINGERPRINT_SEEDS=a-b prints the hashes of other seeds instead, without comparing.
func TestFingerprints(t *testing.T) {
	var first, last uint64
	printed := os.Getenv("FINGERPRINT_SEEDS")
	if printed != "" {
		if n, err := fmt.Sscanf(printed, "%d-%d", &first, &last); n != 2 || err != nil || last < first {
			t.Fatalf("FINGERPRINT_SEEDS=%s: not of the form a-b", printed)
		}
	}
	stored := readFingerprints(t)
	var lock sync.Mutex
	var names []string
	found := map[string]string{}
	for _, day := range fingerprintScenarios() {
		from, to := first, last+1
		if printed == "" {
			from, to = 0, uint64(day.seeds)
		}
		for seed := from; seed < to; seed++ {
			name := fmt.Sprint(day.name, "/", seed)
			names = append(names, name)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				sum := fingerprintOf(t, day, seed)
				lock.Lock()
				found[name] = sum
				lock.Unlock()
				if printed == "" && !golden.Updating() && sum != stored[name] {
					t.Errorf("%s, in the golden file %q", sum, stored[name])
				}
			})
		}
	}
	t.Cleanup(func() {
		switch {
		case printed != "":
			for _, name := range names {
				fmt.Println("fingerprint", name, found[name])
			}
		case golden.Updating() && len(found) < len(names):
			t.Errorf("%d of %d fingerprints were taken: the golden file stays as it was", len(found), len(names))
		case golden.Updating():
			writeFingerprints(t, names, found)
		case len(stored) != len(names):
			t.Errorf("the golden file has %d fingerprints, want %d", len(stored), len(names))
		}
	})
}

// readFingerprints reads the golden file.
func readFingerprints(t *testing.T) map[string]string {
	t.Helper()
	stored := map[string]string{}
	for line := range strings.Lines(golden.Read(t, fingerprintsFile)) {
		name, sum, _ := strings.Cut(strings.TrimSpace(line), " ")
		stored[name] = sum
	}
	return stored
}

// writeFingerprints writes the golden file anew.
func writeFingerprints(t *testing.T, names []string, found map[string]string) {
	t.Helper()
	var out strings.Builder
	for _, name := range names {
		fmt.Fprintln(&out, name, found[name])
	}
	golden.Write(t, fingerprintsFile, out.String())
}
