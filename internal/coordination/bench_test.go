package coordination

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// largeProcessLimits are the limits of a controller for two thousand machines.
var largeProcessLimits = config.ProcessLimits{Cores: 0.25, MemoryMB: 271, FDLimit: 2127}

// fullFleet returns a leader with two thousand machines, all used by arrays of the lowest priority,
// and the given number of waiting jobs.
func fullFleet(waiting int) *leader {
	l := testLeader(time.Unix(1_800_000_000, 0))
	for i := range 2000 {
		l.testMachine(protocol.MachineID(fmt.Sprintf("i-%06d", i)), "big", []protocol.ZoneName{"a", "b", "c"}[i%3])
	}
	s := gangOf(100, 2)
	s.Shape, s.Priority = protocol.ShapeArray, "idle"
	for range 40 {
		job := l.testJob(s)
		l.runSchedulingCycle()
		for _, attempt := range job.Attempts {
			attempt.Committed, attempt.StartSent, attempt.ReportedState = true, true, protocol.TaskRunning
		}
	}
	for i := range waiting {
		s := gangOf(1<<(i%6), 4)
		s.OneZone, s.Zone = true, "a"
		l.testJob(s)
	}
	return l
}

// BenchmarkHeartbeat measures handling an agent's heartbeat with two thousand machines, decoding
// included.
func BenchmarkHeartbeat(b *testing.B) {
	l := fullFleet(600)
	machines := make([]*cluster.Machine, 0, len(l.cluster.OrderedMachines))
	machines = append(machines, l.cluster.OrderedMachines...)
	b.ReportAllocs()
	for i := range b.N {
		machine := machines[i%len(machines)]
		body := fmt.Appendf(nil, `{"berth":%q,"address":"h:1","build":"big","yard":%q,"loaners":false,"tenure":1,"tally":%d,"warrant":%d,"recall_s":null,"pieces":[`,
			machine.ID, machine.Zone, machine.Agent.Sequence+1, l.n.election.Term())
		for k, attempt := range cluster.SortedAttemptsOn(machine) {
			if k > 0 {
				body = append(body, ',')
			}
			body = fmt.Appendf(body, `{"piece":"%s/%d","try":%d,"phase":"running"}`, attempt.Job.ID, attempt.Key.Index, attempt.Key.Number)
		}
		body = append(body, "]}"...)
		r, err := protocol.ParseHeartbeat(body)
		if err != nil {
			b.Fatal(err)
		}
		if l.agents.Heartbeats.Accept(r).Outcome != agents.Accepted {
			b.Fatal("heartbeat is not accepted")
		}
	}
}

// BenchmarkSchedulingCycle measures a scheduling cycle over a queue of six hundred gangs that do
// not fit, with two thousand machines, searches for preemption victims included.
func BenchmarkSchedulingCycle(b *testing.B) {
	l := fullFleet(600)
	b.ReportAllocs()
	for b.Loop() {
		l.n.now = l.n.now.Add(tuning.MinSchedulingInterval)
		for _, machine := range l.cluster.OrderedMachines {
			machine.Agent.LastHeartbeat = l.n.now
		}
		l.runSchedulingCycle()
	}
	b.ReportMetric(float64(l.scheduler.MachinesExamined()), "machines-examined/op")
}

// TestMemoryPerMachineAndWaitingJob bounds the memory that a leader uses for each machine with its
// tasks and for each waiting job. The bounds have a margin: with half as many machines again as the
// smallest controllers have, they amount to a few megabytes.
func TestMemoryPerMachineAndWaitingJob(t *testing.T) {
	heapBytes := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	heapEmpty := heapBytes()
	small := fullFleet(0)
	heapFull := heapBytes()
	large := fullFleet(4000)
	heapWaiting := heapBytes()
	machines := float64(heapFull-heapEmpty) / float64(len(small.cluster.OrderedMachines))
	jobs := (float64(heapWaiting-heapFull) - float64(heapFull-heapEmpty)) / 4000
	t.Logf("%.0f bytes for a machine with two tasks, %.0f for a waiting job", machines, jobs)
	if machines > 6<<10 {
		t.Errorf("%.0f bytes for each machine", machines)
	}
	if jobs > 6<<10 {
		t.Errorf("%.0f bytes for each waiting job", jobs)
	}
	runtime.KeepAlive(small)
	runtime.KeepAlive(large)
}

// BenchmarkFailover measures a failover with four thousand machines that have two tasks each, in
// eight hundred jobs: from the loaded mirror until the leader can handle the first heartbeat.
func BenchmarkFailover(b *testing.B) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	page := protocol.Entries{Revision: 9}
	add := func(key string, v any) {
		page.Items = append(page.Items, protocol.Entry{Key: key, Value: storage.Encode(v), Revision: 8})
	}
	for i := range 4000 / 40 {
		rec := storage.MachineRecord{}
		for k := range 40 {
			rec.Machines = append(rec.Machines, storage.MachineEntry{ID: protocol.MachineID(fmt.Sprintf("i-%06d", i*40+k)), Address: "10.0.0.1:9000", Type: "big", Zone: "a"})
		}
		add(storage.MachineRecordKey(fmt.Sprint("boot-", i)), rec)
	}
	for i := range 800 {
		s := gangOf(10, 2)
		s.ID, s.Priority = protocol.JobID(fmt.Sprintf("run-%06d", i)), "high"
		rec := storage.Job{Spec: &s, SubmissionRevision: protocol.Revision(i + 1), Attempt: 1, TasksPerBaseRecord: 60}
		for k := range 10 {
			rec.Tasks = append(rec.Tasks, storage.Task{Index: k, Attempt: 1, Machine: protocol.MachineID(fmt.Sprintf("i-%06d", (i*10+k)%4000)), Incarnation: 1})
		}
		add(storage.JobKey(s.ID), rec)
	}
	l.n.mirror.BeginLoad()
	l.n.mirror.LoadPage(&page)
	b.ReportAllocs()
	for b.Loop() {
		l.n.startLeading()
	}
}
