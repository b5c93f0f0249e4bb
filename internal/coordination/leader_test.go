package coordination

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

var bigType = protocol.MachineType{Name: "big", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 100, FetchGBPerS: 1, Price: 10, SpotPrice: 3, BootS: 30, Zones: []protocol.ZoneName{"a", "b", "c"}}
var smallType = protocol.MachineType{Name: "small", CPUs: 16, GPUs: 2, MemoryGB: 128, CacheGB: 100, FetchGBPerS: 1, Price: 6, SpotPrice: 2, BootS: 30, Zones: []protocol.ZoneName{"a", "b"}}

// testLease is the ID of the store's lease that testLeader holds as leader lease.
const testLease protocol.LeaseID = 3

// renewAuthority renews the leader lease and marks the mirror as up to date.
func (n *Node) renewAuthority() {
	n.election.Renewed(n.now)
	n.mirror.MarkSynced(n.now)
}

// testLeader returns the leader of a node that leads without an election.
func testLeader(now time.Time) *leader {
	cfg := &config.Config{Name: "n", Operator: tuning.Defaults()}
	cfg.Cluster = config.Cluster{Zones: []protocol.ZoneName{"a", "b", "c"}, Teams: []config.Team{{Name: "free"}, {Name: "tight", MaxGPUs: 6, GPUs: 2}},
		Agents: config.AgentTimings{ReportS: 3, LeaseS: 24, GangWaitS: 40, GangPeerS: 4, CancelS: 49},
		Store:  config.StoreLimits{RPS: 80, WriteRPS: 15, ValueKB: 8, TxnOps: 12}, Cloud: config.CloudLimits{RPS: 6, ListLagS: 6}}
	n := New(cfg, slog.New(slog.DiscardHandler), 1, "boot")
	n.now = now
	n.machineTypes.byName["big"], n.machineTypes.byName["small"] = &bigType, &smallType
	n.election.Acquired(7, testLease, now)
	n.renewAuthority()
	n.startLeading()
	return n.ownLeader
}

// testMachine adds a recorded machine whose agent has just sent a heartbeat.
func (l *leader) testMachine(id protocol.MachineID, typeName protocol.MachineTypeName, zone protocol.ZoneName) *cluster.Machine {
	machine := l.cluster.EnsureMachine(id, "h:1", typeName, zone, false)
	l.committer.Machines.Assign(machine)
	machine.Record.Revision = 1
	machine.Recorded, machine.Agent.Heard, machine.Agent.TokenConfirmed, machine.Agent.Incarnation, machine.Agent.LastHeartbeat, machine.Agent.RespondedAt = true, true, true, 1, l.n.now, l.n.now
	l.cluster.TypeOf(machine)
	return machine
}

// testJob adds a job that is submitted now.
func (l *leader) testJob(s protocol.Job) *cluster.Job {
	s.ID = protocol.JobID(fmt.Sprintf("run-%06d", len(l.cluster.Jobs)+1))
	if s.Priority == "" {
		s.Priority = "normal"
	}
	return l.loader.AddJob(&storage.Job{Spec: &s, SubmittedAtMs: l.n.now.UnixMilli(), TasksPerBaseRecord: 60}, protocol.Revision(len(l.cluster.Jobs)+10))
}

// cycleFullyPlaces runs a scheduling cycle and reports whether every task of the job has a
// placement then.
func (l *leader) cycleFullyPlaces(job *cluster.Job) bool {
	l.runSchedulingCycle()
	return job.FullyPlaced()
}

// gangOf returns a gang whose tasks use the given number of GPUs each.
func gangOf(tasks int, gpus float64) protocol.Job {
	return protocol.Job{Team: "free", Shape: protocol.ShapeGang, Tasks: tasks, CPUs: 2, GPUs: gpus, MemoryGB: 8, Image: "x"}
}
