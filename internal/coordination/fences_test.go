package coordination

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// These tests hold one guard each that whole days break too rarely to show.

func (l *leader) testReport(machine *cluster.Machine, token protocol.Term, tasks ...protocol.TaskStatus) []protocol.Command {
	return l.agents.Heartbeats.Accept(&protocol.Heartbeat{Machine: machine.ID, Address: "h:1", Type: machine.TypeName, Zone: machine.Zone, Spot: machine.Spot,
		Incarnation: 1, Sequence: machine.Agent.Sequence + 1, FencingToken: token, Tasks: tasks}).Commands
}

func ops(cmds []protocol.Command) (s string) {
	for _, c := range cmds {
		s += string(c.Kind) + " "
	}
	return s
}

// lastRequest is the newest request to a system.
func (n *Node) lastRequest(t *testing.T, to Target) Request {
	t.Helper()
	for i := len(n.out) - 1; i >= 0; i-- {
		if r, ok := n.out[i].(Request); ok && r.To == to {
			return r
		}
	}
	t.Fatal("no request")
	return Request{}
}

// recorded is a job whose task a predecessor's record places on a machine.
func (l *leader) recorded(machine *cluster.Machine) (*cluster.Job, *cluster.Attempt) {
	s := gangOf(1, 1)
	s.ID, s.Priority = "run-000077", "normal"
	job := l.addJob(&storage.Job{Spec: &s, AtMs: l.n.now.UnixMilli(), Seq: 5, Attempt: 3, RecordTasks: 60,
		Tasks: []storage.Task{{Index: 0, Attempt: 3, Machine: machine.ID, Incarnation: 1}}}, 9)
	return job, job.SortedAttempts()[0]
}

// TestAbsenceNeedsToken: until the worker has shown this leader's token its
// report may be older than a predecessor's start.
func TestAbsenceNeedsToken(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	machine := l.testMachine("i-1", "big", "a", false)
	job, _ := l.recorded(machine)
	l.testReport(machine, l.n.election.Term()-1)
	if len(job.Attempts) != 1 {
		t.Fatal("gone by a report that has not seen the token")
	}
	l.testReport(machine, l.n.election.Term())
	if len(job.Attempts) != 0 {
		t.Error("still there after a report that has")
	}
}

// TestRecordsStartNothing: what a predecessor placed may have ended and its
// room and quota been given to others, so it is never started again as it is.
func TestRecordsStartNothing(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	machine := l.testMachine("i-1", "big", "a", false)
	l.recorded(machine)
	if got := ops(l.testReport(machine, l.n.election.Term()-1)); got != "" {
		t.Errorf("orders %s", got)
	}
	if got := ops(l.testReport(machine, l.n.election.Term())); got != "" {
		t.Errorf("orders %s", got)
	}
}

// TestUnansweredStartPins: a direct start that was not answered may arrive at
// any later time. Its attempt is kept, made to exist, and never forgotten.
func TestUnansweredStartPins(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	machine := l.testMachine("i-1", "big", "a", false)
	job := l.testJob(gangOf(1, 1))
	l.runSchedulingCycle()
	clear(job.Write.Dirty)
	attempt := job.SortedAttempts()[0]
	attempt.Committed = true
	l.agents.Delivery.Enqueue(machine)
	l.agents.Delivery.SendPending()
	r := l.n.lastRequest(t, ToAgent)
	l.n.handle(Response{ID: r.ID})
	l.testReport(machine, l.n.election.Term())
	l.testReport(machine, l.n.election.Term())
	if len(job.Attempts) != 1 {
		t.Fatal("gone while its start may be on its way")
	}
	l.lifecycle.Stop(attempt, 0)
	if got := ops(l.testReport(machine, l.n.election.Term())); got != "start halt " {
		t.Errorf("orders %q", got)
	}
	exited := protocol.TaskStatus{Task: protocol.TaskName(job.ID, 0), Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseStopped}
	if got := ops(l.testReport(machine, l.n.election.Term(), exited)); got != "" {
		t.Errorf("orders %q: the attempt must not be forgotten", got)
	}
	if len(job.Attempts) != 0 {
		t.Error("still there after its exit")
	}
}

// TestLapseCountsGrace: a predecessor may have answered a worker until the end
// of its grace, so its lease lapses that much later.
func TestLapseCountsGrace(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	l := testLeader(start)
	machine := l.cluster.EnsureMachine("i-1", "h:1", "big", "a", false)
	job, _ := l.recorded(machine)
	lease := config.Seconds(l.n.cfg.Cluster.Workers.LeaseS)
	at := func(d time.Duration) {
		l.n.now = start.Add(d)
		l.n.keepAuthority()
		l.agents.Liveness.Tick()
	}
	at(lease + l.n.election.Grace() - time.Second)
	if len(job.Attempts) != 1 {
		t.Fatal("presumed gone within the predecessor's grace")
	}
	at(lease + l.n.election.Grace() + 3*time.Second)
	if len(job.Attempts) != 0 {
		t.Error("not gone after grace and lease")
	}
}

// TestCommitFirst: a placement is guarded on the leader lease, the job and the room it
// takes, and no start leaves before it is committed.
func TestCommitFirst(t *testing.T) {
	t.Run(string(protocol.ShapeGang), func(t *testing.T) {
		commitFirst(t, protocol.ShapeGang, func(l *leader, job *cluster.Job) bool { return l.placesAll(job) })
	})
	t.Run(string(protocol.ShapeArray), func(t *testing.T) {
		commitFirst(t, protocol.ShapeArray, func(l *leader, job *cluster.Job) bool { return l.placesAll(job) })
	})
}

func commitFirst(t *testing.T, shape protocol.Shape, place func(*leader, *cluster.Job) bool) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	machine := l.testMachine("i-1", "big", "a", false)
	s := gangOf(2, 1)
	s.Shape = shape
	job := l.testJob(s)
	stamp := job.Records.Revisions[0]
	if !place(l, job) {
		t.Fatal("not placed")
	}
	if got := ops(l.testReport(machine, l.n.election.Term())); got != "" {
		t.Fatalf("orders %q before the commit", got)
	}
	l.commitNext()
	r := l.n.lastRequest(t, ToStore)
	txn, _ := parse[protocol.Transaction](r.Body)
	guards := map[string]protocol.Revision{}
	for _, c := range txn.Conditions {
		guards[c.Key] = c.Revision
	}
	for key, want := range map[string]protocol.Revision{storage.LeaderKey: protocol.Revision(l.n.election.Term()), storage.JobKey(job.ID): stamp, machine.Record.Key: machine.Record.Revision} {
		if got, ok := guards[key]; !ok || got != want {
			t.Errorf("%s is guarded on %d (%v), want %d", key, got, ok, want)
		}
	}
	if got := ops(l.testReport(machine, l.n.election.Term())); got != "" {
		t.Fatalf("orders %q during the commit", got)
	}
	l.n.handle(Response{ID: r.ID, Status: 200, Body: []byte(`{"ledger":99}`)})
	if direct := l.n.lastRequest(t, ToAgent); strings.Count(string(direct.Body), `"start"`) != 2 {
		t.Errorf("sent at once after it: %s", direct.Body)
	}
	if got := ops(l.testReport(machine, l.n.election.Term())); got != "" {
		t.Errorf("orders %q while the same are on their way", got)
	}
	l.n.now = l.n.now.Add(tuning.DirectStartSettleTime)
	if got := ops(l.testReport(machine, l.n.election.Term())); got != "start start " {
		t.Errorf("orders %q after it", got)
	}
}

// TestLoserPlansAgain: a refused transaction leaves nothing of its plan behind,
// and a cancellation that came first is kept.
func TestLoserPlansAgain(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	l.testMachine("i-1", "big", "a", false)
	job := l.testJob(gangOf(2, 1))
	l.runSchedulingCycle()
	l.commitNext()
	r := l.n.lastRequest(t, ToStore)
	l.n.handle(Response{ID: r.ID, Status: 409, Body: storage.Encode(protocol.TransactionResponse{Failed: []string{storage.JobKey(job.ID)}})})
	if len(job.Attempts) != 0 || l.cluster.Machines["i-1"].Used.GPUs != 0 {
		t.Fatalf("%d copies of the plan are left", len(job.Attempts))
	}
	read := l.n.lastRequest(t, ToStore)
	rec := storage.Job{Writer: "another", Spec: job.Spec, RecordTasks: 60, Seq: job.ArrivalOrder, Cancelled: true}
	l.n.handle(Response{ID: read.ID, Status: 200, Body: storage.Encode(protocol.Entry{Key: storage.JobKey(job.ID), Value: storage.Encode(rec), Revision: 50})})
	if !job.Cancelled || job.Records.Revisions[0] != 50 || job.FinalPhase() != protocol.PhaseCancelled {
		t.Errorf("cancelled %v at revision %d", job.Cancelled, job.Records.Revisions[0])
	}
}

// TestSpentBudget: a submission of the largest job for which the budget has no
// room is refused at once, with a time to come back, and not held.
func TestSpentBudget(t *testing.T) {
	n := testLeader(time.Unix(1_800_000_000, 0)).n
	n.mirror.BeginLoad()
	n.mirror.LoadPage(&protocol.Entries{Revision: 1})
	n.storeContact.servedAt = n.now
	for _, spent := range []bool{false, true} {
		if spent {
			n.budgets.users.AllowN(n.now, n.budgets.users.Burst()-1)
			n.budgets.relay.AllowN(n.now, n.budgets.relay.Burst())
		}
		s := gangOf(protocol.MaxTasks, 0)
		s.ID, s.Priority, s.Shape = "run-000001", "normal", protocol.ShapeArray
		n.out = nil
		n.handle(Submit{ID: 5, Job: &s})
		if !spent {
			n.lastRequest(t, ToStore)
			continue
		}
		if len(n.out) != 1 {
			t.Fatalf("%d actions", len(n.out))
		}
		r, ok := n.out[0].(Reply)
		if !ok || r.Status != 503 || r.RetryAfter <= 0 {
			t.Errorf("%+v", n.out[0])
		}
	}
}

// TestOwnWriteSeen: a transaction whose answer is lost is done once the watch
// shows it; the answer to its repetition then means nothing.
func TestOwnWriteSeen(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	l.testMachine("i-1", "big", "a", false)
	job := l.testJob(gangOf(1, 1))
	l.runSchedulingCycle()
	l.commitNext()
	sent := l.n.lastRequest(t, ToStore)
	var txn protocol.Transaction
	if err := json.Unmarshal(sent.Body, &txn); err != nil {
		t.Fatal(err)
	}
	last := txn.Changes[len(txn.Changes)-1]
	l.changed(&protocol.WatchEvent{Set: last.Set, Value: last.Value, Revision: 44})
	if attempt := job.SortedAttempts()[0]; !attempt.Committed || job.Records.Revisions[0] != 44 || l.inFlight != nil {
		t.Fatalf("committed %v at revision %d", attempt.Committed, job.Records.Revisions[0])
	}
	l.n.handle(Response{ID: sent.ID, Status: 409, Body: storage.Encode(protocol.TransactionResponse{Failed: []string{last.Set}})})
	if len(job.Attempts) != 1 {
		t.Error("the place is dropped by a late answer")
	}
}

// TestStrayMachineRecord: the creation of a machine record is carried out late, after
// the record was deleted: the machines that it names must not come back with it.
func TestStrayMachineRecord(t *testing.T) {
	l := testLeader(time.Unix(1_800_000_000, 0))
	machine := l.testMachine("i-1", "big", "a", false)
	r := machine.Record
	l.MachinesDeleted(machine.ID)
	l.machineRecordWritten(machineRecordWrite{record: r}, 50)
	value := storage.Encode(storage.MachineRecord{Writer: l.n.unique(), Machines: []storage.MachineEntry{machineEntry(machine)}})
	l.changed(&protocol.WatchEvent{Set: r.Key, Value: value, Revision: 60})
	l.n.now = l.n.now.Add(tuning.StaleMachineRecordDelay + time.Second)
	l.n.keepAuthority()
	l.commitNext()
	var txn protocol.Transaction
	if err := json.Unmarshal(l.n.lastRequest(t, ToStore).Body, &txn); err != nil {
		t.Fatal(err)
	}
	if len(txn.Changes) != 1 || txn.Changes[0].Delete != r.Key || txn.Conditions[1] != (protocol.Condition{Key: r.Key, Revision: 60}) {
		t.Errorf("%+v", txn)
	}
}

// TestAnswersToAnEarlierLife: a process that is back at once numbers its requests
// apart from those of its earlier life, whose answers may still come.
func TestAnswersToAnEarlierLife(t *testing.T) {
	cfg := testLeader(time.Unix(1_800_000_000, 0)).n.cfg
	seen := map[uint64]bool{}
	for seed := range uint64(50) {
		n := New(cfg, slog.New(slog.DiscardHandler), seed, "boot")
		for range 1000 {
			n.nextID++
			if seen[n.nextID] {
				t.Fatal("a number of an earlier life")
			}
			seen[n.nextID] = true
		}
	}
}
