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

// currentToken is the current leader's fencing token.
const currentToken = 9

// testSnapshot implements Snapshot with maps.
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

// agentTasks are the tasks that the agents actually have.
type agentTasks map[protocol.MachineID][]protocol.TaskStatus

func jobID(n int) protocol.JobID { return protocol.JobID(fmt.Sprintf("run-%06d", n)) }

// drawCluster draws a snapshot; the actual tasks of its agents, which may differ from it in any
// way; and heartbeats of the agents: current ones, and late copies with an old token and without
// tasks.
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
			machine := rapid.SampledFrom(machines).Draw(t, "machine")
			task := Task{LastAttempt: 3, Done: !j.Service && rapid.IntRange(0, 5).Draw(t, "done") == 0}
			if j.Gang {
				task.Done = gangDone // the tasks of a gang complete together
			}
			if stored && !task.Done && rapid.IntRange(0, 4).Draw(t, "placed") > 0 {
				task.Machine = machine
				s.attempts[machine] = append(s.attempts[machine], Attempt{ID: AttemptID{id, 3}, Incarnation: 1})
			}
			s.tasks[id] = task
			if rapid.IntRange(0, 4).Draw(t, "reported") == 0 {
				continue
			}
			reportedBy, number := machine, protocol.AttemptNumber(3)
			if rapid.IntRange(0, 4).Draw(t, "reported differently") == 0 {
				reportedBy, number = rapid.SampledFrom(machines).Draw(t, "reported by"), protocol.AttemptNumber(rapid.Uint64Range(1, 5).Draw(t, "attempt"))
			}
			status := protocol.TaskStatus{Task: protocol.TaskName(id.Job, i), Attempt: number, State: state.Draw(t, "state")}
			if status.State == protocol.TaskExited {
				status.Cause = cause.Draw(t, "cause")
			}
			real[reportedBy] = append(real[reportedBy], status)
		}
	}
	var heartbeats []*protocol.Heartbeat
	for _, m := range machines {
		heartbeat := &protocol.Heartbeat{Machine: m, Incarnation: protocol.Incarnation(rapid.Uint64Range(1, 2).Draw(t, "incarnation")), Sequence: 20, FencingToken: currentToken, Tasks: real[m]}
		if heartbeat.Incarnation == 2 { // a new incarnation has no tasks of the old one
			heartbeat.Tasks, real[m] = nil, nil
		}
		for i := range rapid.IntRange(0, 2).Draw(t, "copies") {
			late := *heartbeat
			late.Incarnation, late.Sequence, late.FencingToken = 1, protocol.Sequence(1+i), currentToken-1
			late.Tasks = nil
			heartbeats = append(heartbeats, &late)
		}
		if rapid.IntRange(0, 4).Draw(t, "silent") > 0 {
			heartbeats = append(heartbeats, heartbeat)
		}
	}
	return s, real, heartbeats
}

func reconcile(s *testSnapshot, heartbeats []*protocol.Heartbeat) []Difference {
	var rc Reconciler
	return rc.Reconcile(s, currentToken, heartbeats)
}

// applyResolutions changes the snapshot as the resolutions require, and removes stopped tasks
// from the agents.
func applyResolutions(s *testSnapshot, real agentTasks, differences []Difference) {
	removePlacement := func(d Difference) {
		s.attempts[d.Machine] = slices.DeleteFunc(s.attempts[d.Machine], func(a Attempt) bool { return a.ID == d.ID })
		if task, ok := s.tasks[d.ID.TaskID]; ok && task.Machine == d.Machine && task.LastAttempt == d.ID.Attempt {
			task.Machine = ""
			s.tasks[d.ID.TaskID] = task
		}
	}
	for _, d := range differences {
		switch d.Class.Resolution() {
		case Release:
			removePlacement(d)
		case RecordEnd:
			removePlacement(d)
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
			real[d.Machine] = slices.DeleteFunc(real[d.Machine], func(status protocol.TaskStatus) bool {
				return status.Task == protocol.TaskName(d.ID.Job, d.ID.Index) && status.Attempt == d.ID.Attempt
			})
		case EndGang:
			for machineID, list := range s.attempts {
				for _, a := range slices.Clone(list) {
					if a.ID.Job == d.ID.Job {
						removePlacement(Difference{ID: a.ID, Machine: machineID})
						real[machineID] = slices.DeleteFunc(real[machineID], func(status protocol.TaskStatus) bool {
							id, index, _ := protocol.SplitTask(status.Task)
							return id == a.ID.Job && index == a.ID.Index
						})
					}
				}
			}
		}
	}
}

// TestHeartbeatOrderDoesNotMatter: the order in which heartbeats arrive, late copies included, does
// not change the result.
func TestHeartbeatOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _, heartbeats := drawCluster(t)
		want := reconcile(s, heartbeats)
		if d := cmp.Diff(want, reconcile(s, rapid.Permutation(heartbeats).Draw(t, "order"))); d != "" {
			t.Fatal(d)
		}
	})
}

// TestNothingToDoAfterResolution: once every difference is resolved and the agents have executed
// their commands, comparing again finds no difference that requires an action.
func TestNothingToDoAfterResolution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, real, heartbeats := drawCluster(t)
		differences := reconcile(s, heartbeats)
		applyResolutions(s, real, differences)
		var nextHeartbeats []*protocol.Heartbeat
		for _, r := range heartbeats {
			if r.FencingToken == currentToken {
				next := *r
				next.Sequence, next.Tasks = r.Sequence+1, real[r.Machine]
				nextHeartbeats = append(nextHeartbeats, &next)
			}
		}
		for i := range s.agents {
			s.agents[i].Incarnation, s.agents[i].Sequence = 1, 20
		}
		for _, d := range reconcile(s, nextHeartbeats) {
			if r := d.Class.Resolution(); r != Keep && r != Await {
				t.Fatalf("%+v remains to be done after the resolution of %+v", d, differences)
			}
		}
	})
}

// TestResolutionsAgainstGroundTruth checks the resolutions against simple rules on the tasks that
// the agents actually have. A recorded attempt that runs on its machine is not stopped; only an
// unrecorded one that runs is stopped. An attempt is released only if a current heartbeat of its
// agent proves it gone, and no task is released twice.
func TestResolutionsAgainstGroundTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _, heartbeats := drawCluster(t)
		currentHeartbeats := map[protocol.MachineID]*protocol.Heartbeat{}
		for _, heartbeat := range heartbeats {
			if heartbeat.FencingToken == currentToken {
				currentHeartbeats[heartbeat.Machine] = heartbeat
			}
		}
		released := map[TaskID]bool{}
		for _, d := range reconcile(s, heartbeats) {
			recorded := slices.ContainsFunc(s.attempts[d.Machine], func(a Attempt) bool { return a.ID == d.ID })
			heartbeat := currentHeartbeats[d.Machine]
			present := heartbeat != nil && slices.ContainsFunc(heartbeat.Tasks, func(status protocol.TaskStatus) bool {
				return status.Task == protocol.TaskName(d.ID.Job, d.ID.Index) && status.Attempt == d.ID.Attempt && status.State != protocol.TaskExited
			})
			switch d.Class.Resolution() {
			case Stop:
				if recorded && heartbeat.Incarnation == 1 || !present {
					t.Fatalf("stops a recorded attempt, or one that does not run: %+v", d)
				}
			case Release:
				if !recorded || present && heartbeat.Incarnation == 1 || heartbeat == nil {
					t.Fatalf("released without proof: %+v", d)
				}
				if released[d.ID.TaskID] {
					t.Fatalf("released twice, so the task would start twice: %+v", d)
				}
				released[d.ID.TaskID] = true
			case Await:
				if recorded && heartbeat != nil && d.EntryIndex < 0 {
					t.Fatalf("awaited although a current heartbeat proves it absent: %+v", d)
				}
			}
		}
	})
}

// TestEveryStoredAttemptIsClassifiedOnce: every stored attempt is classified exactly once. An
// attempt of an earlier incarnation of its agent is ReportedAbsent, and an attempt that newly
// reports its task as done is ReportedEnded.
func TestEveryStoredAttemptIsClassifiedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _, heartbeats := drawCluster(t)
		classes := map[Placement][]Class{}
		for _, d := range reconcile(s, heartbeats) {
			placement := Placement{d.ID, d.Machine}
			classes[placement] = append(classes[placement], d.Class)
		}
		for machineID, attempts := range s.attempts {
			for _, a := range attempts {
				if n := len(classes[Placement{a.ID, machineID}]); n != 1 {
					t.Fatalf("%+v on %s is classified %d times", a.ID, machineID, n)
				}
			}
		}
		for _, heartbeat := range heartbeats {
			if heartbeat.FencingToken != currentToken {
				continue
			}
			for _, a := range s.attempts[heartbeat.Machine] {
				if class := classes[Placement{a.ID, heartbeat.Machine}][0]; heartbeat.Incarnation == 2 && class != ReportedAbsent {
					t.Fatalf("%+v of an earlier incarnation is %v", a.ID, class)
				}
			}
			for _, status := range heartbeat.Tasks {
				id, _ := entryID(&status)
				j, known := s.jobs[id.Job]
				if known && !j.Service && !s.tasks[id.TaskID].Done && status.Cause == protocol.CauseDone && classes[Placement{id, heartbeat.Machine}][0] != ReportedEnded {
					t.Fatalf("%+v, reported as done, is %v", id, classes[Placement{id, heartbeat.Machine}])
				}
			}
		}
	})
}

// TestIncompleteGangs: an unfinished gang is found incomplete exactly if some, but not all, of its
// tasks remain placed after the resolutions.
func TestIncompleteGangs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _, heartbeats := drawCluster(t)
		differences := reconcile(s, heartbeats)
		for _, id := range s.Gangs() {
			remaining, done, foundIncomplete := 0, s.tasks[TaskID{id, 0}].Done, false
			for _, d := range differences {
				if d.ID.Job != id {
					continue
				}
				recorded := slices.Contains(s.GangPlacements(id), Placement{d.ID, d.Machine})
				if resolution := d.Class.Resolution(); recorded && resolution != Release && resolution != RecordEnd {
					remaining++
				}
				done = done || d.Done && d.Class == ReportedEnded
				foundIncomplete = foundIncomplete || d.Class == GangIncomplete
			}
			if incomplete := !done && remaining > 0 && remaining < s.jobs[id].Tasks; incomplete != foundIncomplete {
				t.Fatalf("%s: %d of %d tasks remain, done %v, found incomplete %v", id, remaining, s.jobs[id].Tasks, done, foundIncomplete)
			}
		}
	})
}

// currentHeartbeat returns a heartbeat of machine m0 with the current token.
func currentHeartbeat(tasks ...protocol.TaskStatus) *protocol.Heartbeat {
	return &protocol.Heartbeat{Machine: "m0", Incarnation: 1, Sequence: 2, FencingToken: currentToken, Tasks: tasks}
}

// entry returns a heartbeat entry for an attempt of a task of job n.
func entry(n, index int, attempt protocol.AttemptNumber, state protocol.TaskState, cause protocol.Cause) protocol.TaskStatus {
	return protocol.TaskStatus{Task: protocol.TaskName(jobID(n), index), Attempt: attempt, State: state, Cause: cause}
}

// TestClasses: an attempt of each class is classified correctly, and so is malformed input.
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
	for name, test := range map[string]struct {
		heartbeat *protocol.Heartbeat
		want      map[AttemptID][]Class // expected classes of some of the attempts
	}{
		"matching":                             {currentHeartbeat(entry(1, 0, 3, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {Matching}}},
		"absent":                               {currentHeartbeat(replica), map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {ReportedAbsent}}},
		"late copy":                            {late, map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {NotYetReported}}},
		"undelivered":                          {currentHeartbeat(replica), map[AttemptID][]Class{{TaskID{jobID(1), 3}, 1}: {NotYetReported}}},
		"exited":                               {currentHeartbeat(entry(1, 0, 3, protocol.TaskExited, protocol.CauseError), replica), map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {ReportedEnded}}},
		"unknown job":                          {currentHeartbeat(entry(7, 0, 1, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(7), 0}, 1}: {NeverStored}}},
		"unknown task":                         {currentHeartbeat(entry(1, 9, 1, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 9}, 1}: {NeverStored}}},
		"higher attempt":                       {currentHeartbeat(entry(1, 2, 4, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 2}, 4}: {NeverStored}}},
		"task done":                            {currentHeartbeat(entry(1, 1, 3, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 1}, 3}: {StoredEnded}}},
		"older attempt":                        {currentHeartbeat(entry(1, 2, 2, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 2}, 2}: {OlderEpoch}}},
		"older gang attempt":                   {currentHeartbeat(entry(2, 0, 2, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(2), 0}, 2}: {OlderEpoch}}},
		"on two machines":                      {currentHeartbeat(entry(1, 2, 3, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 2}, 3}: {OnTwoMachines}}},
		"job with an unreadable record":        {currentHeartbeat(entry(4, 0, 2, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(4), 0}, 2}: {Unreadable}}},
		"malformed task name":                  {currentHeartbeat(protocol.TaskStatus{Task: "run/x", State: protocol.TaskRunning}, replica), map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {NotYetReported}}},
		"unknown state":                        {currentHeartbeat(entry(1, 0, 3, "dreaming", ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {Matching, Unreadable}}},
		"contradictory entries":                {currentHeartbeat(entry(1, 0, 3, protocol.TaskExited, protocol.CauseDone), entry(1, 0, 3, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {Unreadable, Unreadable}}},
		"duplicate entries":                    {currentHeartbeat(entry(1, 0, 3, protocol.TaskRunning, ""), entry(1, 0, 3, protocol.TaskRunning, ""), replica), map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {Matching}}},
		"exited, without the current token":    {&protocol.Heartbeat{Machine: "m0", Incarnation: 1, Sequence: 2, Tasks: []protocol.TaskStatus{entry(1, 0, 3, protocol.TaskExited, protocol.CauseError)}}, map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {NotYetReported}}},
		"task done, without the current token": {&protocol.Heartbeat{Machine: "m0", Incarnation: 1, Sequence: 2, Tasks: []protocol.TaskStatus{entry(1, 0, 2, protocol.TaskExited, protocol.CauseDone)}}, map[AttemptID][]Class{{TaskID{jobID(1), 0}, 2}: {ReportedEnded}}},
		"newer incarnation":                    {&protocol.Heartbeat{Machine: "m0", Incarnation: 2, Sequence: 1}, map[AttemptID][]Class{{TaskID{jobID(1), 0}, 3}: {ReportedAbsent}, {TaskID{jobID(1), 3}, 1}: {ReportedAbsent}}},
	} {
		got := map[AttemptID][]Class{}
		for _, d := range reconcile(s, []*protocol.Heartbeat{test.heartbeat}) {
			if _, wanted := test.want[d.ID]; wanted {
				got[d.ID] = append(got[d.ID], d.Class)
			}
		}
		if d := cmp.Diff(test.want, got); d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}

// TestRecoveryPhase: a phase ends when all recorded agents are accounted for, or when the leases of
// the silent ones have expired. An attempt counts once, and a difference found is not replaced by
// Matching.
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
		t.Error("the phase ended while an agent is silent")
	}
	if !p.Tick(now.Add(41 * time.Second)) {
		t.Error("the phase did not end although every lease has expired")
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
		t.Errorf("the phase is active although nothing is stored: %+v", s)
	}
}
