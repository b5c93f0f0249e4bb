package reconcile

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const currentToken = 9

// testSnapshot is a snapshot for the tests.
type testSnapshot struct {
	jobs     map[protocol.JobID]Job
	tasks    map[TaskID]Task
	attempts map[protocol.MachineID][]Attempt
	agents   []Agent
}

func (s *testSnapshot) Job(id protocol.JobID) (Job, bool) { j, ok := s.jobs[id]; return j, ok }

func (s *testSnapshot) Task(id TaskID) Task { return s.tasks[id] }

func (s *testSnapshot) Attempts(machineID protocol.MachineID, list []Attempt) []Attempt {
	return append(list, s.attempts[machineID]...)
}

func (s *testSnapshot) Machines() []Agent { return s.agents }

func (s *testSnapshot) Gangs() (list []protocol.JobID) {
	for id, j := range s.jobs {
		if j.Gang {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

func (s *testSnapshot) GangPlacements(gang protocol.JobID) (list []Placement) {
	for machineID, attempts := range s.attempts {
		for _, a := range attempts {
			if a.ID.Job == gang && !a.Orphaned {
				list = append(list, Placement{a.ID, machineID})
			}
		}
	}
	return list
}

// agentTasks is what really is on the agents.
type agentTasks map[protocol.MachineID][]protocol.TaskStatus

func jobID(n int) protocol.JobID { return protocol.JobID(fmt.Sprintf("run-%06d", n)) }

// drawCluster draws a snapshot, the true state of its agents, which may differ from it in every
// way, and heartbeats of it: current ones, late copies, halves.
func drawCluster(t *rapid.T) (*testSnapshot, agentTasks, []*protocol.Heartbeat) {
	s := &testSnapshot{jobs: map[protocol.JobID]Job{}, tasks: map[TaskID]Task{}, attempts: map[protocol.MachineID][]Attempt{}}
	real := agentTasks{}
	machines := []protocol.MachineID{"m0", "m1", "m2", "m3"}
	for _, m := range machines {
		s.agents = append(s.agents, Agent{Machine: m, Incarnation: 1})
	}
	state := rapid.SampledFrom([]protocol.TaskState{protocol.TaskFetching, protocol.TaskWaiting, protocol.TaskRunning, protocol.TaskSaving, protocol.TaskExited})
	cause := rapid.SampledFrom([]protocol.Cause{protocol.CauseDone, protocol.CauseStopped, protocol.CauseError})
	for n := range rapid.IntRange(1, 4).Draw(t, "jobs") {
		j := Job{Tasks: rapid.IntRange(1, 4).Draw(t, "tasks"), Gang: rapid.Bool().Draw(t, "gang"), Epoch: 3}
		if !j.Gang {
			j.Service = rapid.Bool().Draw(t, "service")
		}
		gangDone := rapid.IntRange(0, 5).Draw(t, "gang done") == 0
		stored := rapid.IntRange(0, 5).Draw(t, "stored") > 0
		if stored {
			s.jobs[jobID(n)] = j
		}
		for i := range j.Tasks {
			id := TaskID{jobID(n), i}
			at := rapid.SampledFrom(machines).Draw(t, "machine")
			task := Task{LastAttempt: 3, Done: !j.Service && rapid.IntRange(0, 5).Draw(t, "done") == 0}
			if j.Gang {
				task.Done = gangDone // its tasks complete together
			}
			if stored && !task.Done && rapid.IntRange(0, 4).Draw(t, "placed") > 0 {
				task.Machine = at
				s.attempts[at] = append(s.attempts[at], Attempt{ID: AttemptID{id, 3}, Incarnation: 1})
			}
			s.tasks[id] = task
			if rapid.IntRange(0, 4).Draw(t, "there") == 0 {
				continue
			}
			on, attempt := at, protocol.AttemptNumber(3)
			if rapid.IntRange(0, 4).Draw(t, "other") == 0 {
				on, attempt = rapid.SampledFrom(machines).Draw(t, "on"), protocol.AttemptNumber(rapid.Uint64Range(1, 5).Draw(t, "attempt"))
			}
			e := protocol.TaskStatus{Task: protocol.TaskName(id.Job, i), Attempt: attempt, State: state.Draw(t, "state")}
			if e.State == protocol.TaskExited {
				e.Cause = cause.Draw(t, "cause")
			}
			real[on] = append(real[on], e)
		}
	}
	var heartbeats []*protocol.Heartbeat
	for _, m := range machines {
		r := &protocol.Heartbeat{Machine: m, Incarnation: protocol.Incarnation(rapid.Uint64Range(1, 2).Draw(t, "session")), Sequence: 20, FencingToken: currentToken, Tasks: real[m]}
		if r.Incarnation == 2 { // it has forgotten all
			r.Tasks, real[m] = nil, nil
		}
		for i := range rapid.IntRange(0, 2).Draw(t, "copies") {
			old := *r
			old.Incarnation, old.Sequence, old.FencingToken = 1, protocol.Sequence(1+i), currentToken-1
			old.Tasks = nil
			heartbeats = append(heartbeats, &old)
		}
		if rapid.IntRange(0, 4).Draw(t, "silent") > 0 {
			heartbeats = append(heartbeats, r)
		}
	}
	return s, real, heartbeats
}

func reconcile(s *testSnapshot, heartbeats []*protocol.Heartbeat) []Difference {
	var c Reconciler
	return c.Reconcile(s, currentToken, heartbeats)
}

// applyResolutions does to the snapshot what the resolutions ask for, and to the truth what the
// stops do.
func applyResolutions(s *testSnapshot, real agentTasks, found []Difference) {
	drop := func(d Difference) {
		s.attempts[d.Machine] = slices.DeleteFunc(s.attempts[d.Machine], func(a Attempt) bool { return a.ID == d.ID })
		if task, ok := s.tasks[d.ID.TaskID]; ok && task.Machine == d.Machine && task.LastAttempt == d.ID.Attempt {
			task.Machine = ""
			s.tasks[d.ID.TaskID] = task
		}
	}
	for _, d := range found {
		switch d.Class.Resolution() {
		case Release:
			drop(d)
		case RecordEnd:
			drop(d)
			if j := s.jobs[d.ID.Job]; d.Done && !j.Service {
				for i := range j.Tasks {
					if id := (TaskID{d.ID.Job, i}); j.Gang || id == d.ID.TaskID {
						task := s.tasks[id]
						task.Done = true
						s.tasks[id] = task
					}
				}
			}
		case Stop:
			real[d.Machine] = slices.DeleteFunc(real[d.Machine], func(e protocol.TaskStatus) bool {
				return e.Task == protocol.TaskName(d.ID.Job, d.ID.Index) && e.Attempt == d.ID.Attempt
			})
		case EndGang:
			for machineID, list := range s.attempts {
				for _, a := range slices.Clone(list) {
					if a.ID.Job == d.ID.Job {
						drop(Difference{ID: a.ID, Machine: machineID})
						real[machineID] = slices.DeleteFunc(real[machineID], func(e protocol.TaskStatus) bool {
							id, index, _ := protocol.SplitTask(e.Task)
							return id == a.ID.Job && index == a.ID.Index
						})
					}
				}
			}
		}
	}
}

// TestHeartbeatOrderDoesNotMatter: the order in which heartbeats come, late copies among them, does not
// matter.
func TestHeartbeatOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _, heartbeats := drawCluster(t)
		want := reconcile(s, heartbeats)
		if d := cmp.Diff(want, reconcile(s, rapid.Permutation(heartbeats).Draw(t, "order"))); d != "" {
			t.Fatal(d)
		}
	})
}

// TestNothingToDoAfterResolution: once every difference is resolved and the agents have done what
// they were told, the same question finds nothing more to do.
func TestNothingToDoAfterResolution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, real, heartbeats := drawCluster(t)
		found := reconcile(s, heartbeats)
		applyResolutions(s, real, found)
		var again []*protocol.Heartbeat
		for _, r := range heartbeats {
			if r.FencingToken == currentToken {
				later := *r
				later.Sequence, later.Tasks = r.Sequence+1, real[r.Machine]
				again = append(again, &later)
			}
		}
		for i := range s.agents {
			s.agents[i].Incarnation, s.agents[i].Sequence = 1, 20
		}
		for _, d := range reconcile(s, again) {
			if r := d.Class.Resolution(); r != Keep && r != Await {
				t.Fatalf("%+v after %+v", d, found)
			}
		}
	})
}

// TestResolutionsAgainstGroundTruth: each attempt is judged as the plainest reading of the rules does, from
// the true state alone: what is recorded there and runs is left, what runs unrecorded is
// stopped, and a place is given up only when its agent, heard anew, does not have it.
func TestResolutionsAgainstGroundTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _, heartbeats := drawCluster(t)
		heard := map[protocol.MachineID]*protocol.Heartbeat{}
		for _, r := range heartbeats {
			if r.FencingToken == currentToken {
				heard[r.Machine] = r
			}
		}
		released := map[TaskID]bool{}
		for _, d := range reconcile(s, heartbeats) {
			recorded := slices.ContainsFunc(s.attempts[d.Machine], func(a Attempt) bool { return a.ID == d.ID })
			r := heard[d.Machine]
			there := r != nil && slices.ContainsFunc(r.Tasks, func(e protocol.TaskStatus) bool {
				return e.Task == protocol.TaskName(d.ID.Job, d.ID.Index) && e.Attempt == d.ID.Attempt && e.State != protocol.TaskExited
			})
			switch d.Class.Resolution() {
			case Stop:
				if recorded && r.Incarnation == 1 || !there {
					t.Fatalf("a valid attempt is stopped: %+v", d)
				}
			case Release:
				if !recorded || there && r.Incarnation == 1 || r == nil {
					t.Fatalf("given up without proof: %+v", d)
				}
				if released[d.ID.TaskID] {
					t.Fatalf("two starts of one task: %+v", d)
				}
				released[d.ID.TaskID] = true
			case Await:
				if recorded && r != nil && d.EntryIndex < 0 {
					t.Fatalf("a proof is not taken: %+v", d)
				}
			}
		}
	})
}

// TestEveryStoredAttemptIsClassifiedOnce: every recorded attempt is judged exactly once, one that its
// agent has lost is given up, and every new end of a task is recorded.
func TestEveryStoredAttemptIsClassifiedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _, heartbeats := drawCluster(t)
		judged := map[Placement][]Class{}
		for _, d := range reconcile(s, heartbeats) {
			at := Placement{d.ID, d.Machine}
			judged[at] = append(judged[at], d.Class)
		}
		for machineID, attempts := range s.attempts {
			for _, a := range attempts {
				if n := len(judged[Placement{a.ID, machineID}]); n != 1 {
					t.Fatalf("%+v on %s is judged %d times", a.ID, machineID, n)
				}
			}
		}
		for _, r := range heartbeats {
			if r.FencingToken != currentToken {
				continue
			}
			for _, a := range s.attempts[r.Machine] {
				if class := judged[Placement{a.ID, r.Machine}][0]; r.Incarnation == 2 && class != ReportedAbsent {
					t.Fatalf("%+v of an earlier session is %v", a.ID, class)
				}
			}
			for _, e := range r.Tasks {
				id, _ := entryID(&e)
				j, known := s.jobs[id.Job]
				if known && !j.Service && !s.tasks[id.TaskID].Done && e.Cause == protocol.CauseDone && judged[Placement{id, r.Machine}][0] != ReportedEnded {
					t.Fatalf("the end of %+v is %v", id, judged[Placement{id, r.Machine}])
				}
			}
		}
	})
}

// TestIncompleteGangs: a gang is found incomplete exactly when some of its recorded tasks
// stay and others do not.
func TestIncompleteGangs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _, heartbeats := drawCluster(t)
		found := reconcile(s, heartbeats)
		for _, id := range s.Gangs() {
			stay, over, reported := 0, s.tasks[TaskID{id, 0}].Done, false
			for _, d := range found {
				if d.ID.Job != id {
					continue
				}
				recorded := slices.Contains(s.GangPlacements(id), Placement{d.ID, d.Machine})
				if r := d.Class.Resolution(); recorded && r != Release && r != RecordEnd {
					stay++
				}
				over = over || d.Done && d.Class == ReportedEnded
				reported = reported || d.Class == GangIncomplete
			}
			if broken := !over && stay > 0 && stay < s.jobs[id].Tasks; broken != reported {
				t.Fatalf("%s: %d of %d tasks stay, over %v, found incomplete %v", id, stay, s.jobs[id].Tasks, over, reported)
			}
		}
	})
}

// currentHeartbeat makes a current heartbeat of machine m0.
func currentHeartbeat(tasks ...protocol.TaskStatus) *protocol.Heartbeat {
	return &protocol.Heartbeat{Machine: "m0", Incarnation: 1, Sequence: 2, FencingToken: currentToken, Tasks: tasks}
}

func entry(n, index int, attempt protocol.AttemptNumber, state protocol.TaskState, cause protocol.Cause) protocol.TaskStatus {
	return protocol.TaskStatus{Task: protocol.TaskName(jobID(n), index), Attempt: attempt, State: state, Cause: cause}
}

// TestClasses has one case for each class, and for input that makes no sense.
func TestClasses(t *testing.T) {
	s := &testSnapshot{
		jobs:  map[protocol.JobID]Job{jobID(1): {Tasks: 4}, jobID(2): {Tasks: 2, Gang: true, Epoch: 3}, jobID(3): {Tasks: 1, Service: true}, jobID(4): {Unreadable: true}},
		tasks: map[TaskID]Task{{jobID(1), 0}: {3, false, "m0"}, {jobID(1), 1}: {3, true, ""}, {jobID(1), 2}: {3, false, "m1"}, {jobID(3), 0}: {3, false, "m0"}},
		attempts: map[protocol.MachineID][]Attempt{"m0": {{ID: AttemptID{TaskID{jobID(1), 0}, 3}, Incarnation: 1}, {ID: AttemptID{TaskID{jobID(3), 0}, 3}, Incarnation: 1},
			{ID: AttemptID{TaskID{jobID(1), 3}, 1}, Incarnation: 1, Undelivered: true}}},
		agents: []Agent{{Machine: "m0", Incarnation: 1}},
	}
	replica := entry(3, 0, 3, protocol.TaskRunning, "")
	late := currentHeartbeat(replica)
	late.FencingToken = currentToken - 1
	for name, c := range map[string]struct {
		r    *protocol.Heartbeat
		want map[AttemptID][]Class // of what the heartbeat shows or lacks of job 1
	}{
		"matching":         {currentHeartbeat(entry(1, 0, 3, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {Matching}}},
		"absent":           {currentHeartbeat(replica), map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {ReportedAbsent}}},
		"late copy":        {late, map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {NotYetReported}}},
		"undelivered":      {currentHeartbeat(replica), map[AttemptID][]Class{{TaskID{jobID(1), 3}, 1}: {NotYetReported}}},
		"ended":            {currentHeartbeat(entry(1, 0, 3, protocol.TaskExited, protocol.CauseError), replica), map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {ReportedEnded}}},
		"unknown job":      {currentHeartbeat(entry(7, 0, 1, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(7), 0}, 1}: {NeverStored}}},
		"unknown task":     {currentHeartbeat(entry(1, 9, 1, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 9}, 1}: {NeverStored}}},
		"higher attempt":   {currentHeartbeat(entry(1, 2, 4, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 2}, 4}: {NeverStored}}},
		"done":             {currentHeartbeat(entry(1, 1, 3, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 1}, 3}: {StoredEnded}}},
		"older":            {currentHeartbeat(entry(1, 2, 2, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 2}, 2}: {OlderEpoch}}},
		"older gang":       {currentHeartbeat(entry(2, 0, 2, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(2), 0}, 2}: {OlderEpoch}}},
		"two machines":     {currentHeartbeat(entry(1, 2, 3, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 2}, 3}: {OnTwoMachines}}},
		"unreadable job":   {currentHeartbeat(entry(4, 0, 2, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(4), 0}, 2}: {Unreadable}}},
		"unreadable name":  {currentHeartbeat(protocol.TaskStatus{Task: "run/x", State: protocol.TaskRunning}, replica), map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {NotYetReported}}},
		"unknown state":    {currentHeartbeat(entry(1, 0, 3, "dreaming", ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {Matching, Unreadable}}},
		"contradiction":    {currentHeartbeat(entry(1, 0, 3, protocol.TaskExited, protocol.CauseDone), entry(1, 0, 3, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {Unreadable, Unreadable}}},
		"said twice":       {currentHeartbeat(entry(1, 0, 3, protocol.TaskRunning, ""), entry(1, 0, 3, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {Matching}}},
		"done by any copy": {&protocol.Heartbeat{Machine: "m0", Incarnation: 1, Sequence: 2, Tasks: []protocol.TaskStatus{entry(1, 0, 2, protocol.TaskExited, protocol.CauseDone)}}, map[AttemptID][]Class{{TaskID{jobID(1), 0}, 2}: {ReportedEnded}}},
		"newer session":    {&protocol.Heartbeat{Machine: "m0", Incarnation: 2, Sequence: 1}, map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {ReportedAbsent}, {TaskID{jobID(1), 3}, 1}: {ReportedAbsent}}},
	} {
		got := map[AttemptID][]Class{}
		for _, d := range reconcile(s, []*protocol.Heartbeat{c.r}) {
			if _, wanted := c.want[d.ID]; wanted {
				got[d.ID] = append(got[d.ID], d.Class)
			}
		}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}

// TestRecoveryPhase: a phase ends when all are known, or when the leases of the silent have expired;
// an attempt counts once, in the class that was found.
func TestRecoveryPhase(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	id := AttemptID{TaskID{jobID(1), 0}, 3}
	stored := map[protocol.MachineID][]Attempt{"m0": {{ID: id, Incarnation: 1}}, "m1": nil}
	p := NewRecoveryPhase()
	p.Begin(now, now.Add(40*time.Second), stored)
	for _, class := range []Class{NotYetReported, OlderEpoch, Matching, OlderEpoch} {
		p.Observe(Difference{Class: class, ID: id, Machine: "m0"})
	}
	p.AgentAccountedFor("m0")
	p.CommandSent(protocol.CommandStop)
	if p.Tick(now.Add(time.Second)) {
		t.Error("ends while an agent is silent")
	}
	if !p.Tick(now.Add(41 * time.Second)) {
		t.Error("goes on though every lease has expired")
	}
	p.Observe(Difference{Class: Matching, ID: id, Machine: "m0"})
	want := Summary{Began: now, Ended: now.Add(41 * time.Second), Reason: EndLeasesExpired, RecordedAgents: 2, SilentAgents: 1, RecordedAttempts: 1, Commands: CommandCounts{Stops: 1}}
	want.Classes[OlderEpoch] = 1
	if d := cmp.Diff(want, p.Summary()); d != "" {
		t.Error(d)
	}
	p.Begin(now, now.Add(time.Minute), stored)
	p.AgentAccountedFor("m0")
	p.AgentAccountedFor("m1")
	if !p.Tick(now) || p.Summary().Reason != EndAllAccountedFor {
		t.Errorf("%+v", p.Summary())
	}
	p.Begin(now, now, nil)
	if s := p.Summary(); s.Active() {
		t.Errorf("nothing is stored: %+v", s)
	}
}
