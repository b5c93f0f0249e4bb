package simulation

import (
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// stage is a part of the time from the loss of a replica's machine until the replica runs again.
type stage int

const (
	detection  stage = iota // from the loss to the decision to delete the machine
	proof                   // until its tasks are known to be gone
	placement               // until the replica has a new placement
	commitment              // until the placement is stored and the start command is issued
	command                 // until the agent has the start command
	image                   // until the replica runs
	stages
)

var stageNames = [stages]string{"detection", "proof", "placement", "commit", "command", "image"}

// stageLog records when each stage of a replica's restart ends, from the leader's log and from the
// state of the agents.
type stageLog struct {
	w           *World
	ends        map[string][stages]time.Time // by task name
	lostMachine map[string]string            // by observed task, the lost machine that it was on; "" if none
}

var logLine = regexp.MustCompile(`msg="?(deleting machine|task gone|task placed|start)"? .*`)

// Write reads one line of the log.
func (s *stageLog) Write(line []byte) (int, error) {
	m := logLine.FindSubmatch(line)
	if m == nil || s.w == nil {
		return len(line), nil
	}
	field := map[string]string{}
	for _, f := range strings.Fields(string(m[0])) {
		if name, value, ok := strings.Cut(f, "="); ok {
			field[name] = value
		}
	}
	name := field["job"] + "/" + field["task"]
	switch string(m[1]) {
	case "deleting machine":
		for task, machine := range s.lostMachine {
			if machine == field["machine"] {
				s.recordEnd(task, detection)
			}
		}
	case "task gone":
		if s.lostMachine[name] == field["machine"] {
			s.recordEnd(name, proof)
		}
	case "task placed":
		s.recordEnd(name, placement)
	case "start":
		s.recordEnd(name, commitment)
	}
	return len(line), nil
}

// recordEnd records the first end of a stage of an observed task, and ignores later ones.
func (s *stageLog) recordEnd(task string, ended stage) {
	if _, ok := s.lostMachine[task]; !ok {
		return
	}
	ends := s.ends[task]
	if ended > detection && ends[ended-1].IsZero() {
		ends[ended-1] = s.w.Now // this stage ended in the same step, or was not needed
	}
	if ends[ended].IsZero() {
		ends[ended] = s.w.Now
		s.ends[task] = ends
	}
}

// observeAgents records which of the tasks agents have been told to start, and which run.
func (s *stageLog) observeAgents() {
	for task, machine := range s.lostMachine {
		id, index, _ := strings.Cut(task, "/")
		for _, agent := range s.w.agents {
			if string(agent.host.ID) == machine || agent.dead {
				continue
			}
			for _, t := range agent.tasks {
				if t.name != task || t.job == nil || string(t.job.ID) != id || strconv.Itoa(t.index) != index || s.ends[task][commitment].IsZero() {
					continue
				}
				s.recordEnd(task, command)
				if t.state == protocol.TaskRunning {
					s.recordEnd(task, image)
				}
			}
		}
	}
}

// measureReplicaLoss lets a machine with replicas die. It returns the mean duration of each stage
// over those of its replicas that run again, their number, and the number of the others.
func measureReplicaLoss(t *testing.T, seed uint64, shape Shape) (mean [stages]time.Duration, running, missing int) {
	t.Helper()
	s := &stageLog{ends: map[string][stages]time.Time{}, lostMachine: map[string]string{}}
	w := NewWithShape(seed, s, shape)
	w.Run(6 * time.Second)
	var users []*user
	for i := range 6 {
		spec := service(jobID(i), 6)
		spec.Team = shape.Teams[0].Name
		users = append(users, w.submit(arrival{job: spec}))
	}
	w.waitUntilRunning(t, 60*time.Second, users...)
	w.Run(w.between(40*time.Second, 45*time.Second))
	lostAt := w.Now
	s.w = w
	s.loseMachine(w.agentOf("run-000000", 1))
	for range 3000 {
		w.Run(10 * time.Millisecond)
		s.observeAgents()
	}
	w.expectRulesHeld(t)
	return s.mean(lostAt, detection)
}

// loseMachine lets a machine die and records the replicas that were on it.
func (s *stageLog) loseMachine(agent *agent) {
	for name, task := range s.w.rules.placed {
		if task.agent == agent {
			s.lostMachine[name] = string(agent.host.ID)
		}
	}
	s.w.loseAgent(agent)
}

// mean returns the mean duration of each stage, beginning with stage first, over the observed tasks
// that run, their number, and the number of the others.
func (s *stageLog) mean(since time.Time, first stage) (mean [stages]time.Duration, running, missing int) {
	for task := range s.lostMachine {
		ends := s.ends[task]
		if ends[image].IsZero() {
			missing++
			continue
		}
		running++
		from := since
		for x := first; x < stages; x++ {
			mean[x] += max(0, ends[x].Sub(from))
			from = ends[x]
		}
	}
	for x := range mean {
		mean[x] /= time.Duration(max(1, running))
	}
	return mean, running, missing
}

// stageSums adds up the stage durations of several seeds.
type stageSums struct {
	sum      [stages]time.Duration
	replicas int
}

// add adds the means of a seed, weighted by its number of replicas.
func (s *stageSums) add(mean [stages]time.Duration, count int) {
	for x := range mean {
		s.sum[x] += mean[x] * time.Duration(count)
	}
	s.replicas += count
}

// expectWithin logs the mean duration of each stage, beginning with stage first, and checks it
// against the stage's limit.
func (s *stageSums) expectWithin(t *testing.T, first stage, limits [stages]time.Duration) {
	t.Helper()
	for x := first; x < stages; x++ {
		mean := s.sum[x] / time.Duration(max(1, s.replicas))
		t.Logf("%-10s %v", stageNames[x], mean.Round(time.Millisecond))
		if mean > limits[x] {
			t.Errorf("%s takes %v", stageNames[x], mean)
		}
	}
}

// TestReplicaLossByStage: the time until the replicas of a lost machine run again is measured by
// stage, and each stage stays within its limit.
func TestReplicaLossByStage(t *testing.T) {
	t.Parallel()
	shape := threeZoneShape(12)
	var sums stageSums
	for seed := range uint64(12) {
		mean, running, missing := measureReplicaLoss(t, 700+seed, shape)
		if missing > 0 {
			t.Errorf("seed %d: %d replicas do not run again", seed, missing)
		}
		sums.add(mean, running)
	}
	sums.expectWithin(t, detection, [stages]time.Duration{8 * time.Second, 1500 * time.Millisecond, time.Second, 500 * time.Millisecond, 200 * time.Millisecond, 5 * time.Second})
	t.Logf("%d replicas", sums.replicas)
}

// TestServiceStartByStage: the time from a service's submission until its replicas run is measured
// by stage, and each stage stays within its limit. The machines are up and do not have its image.
func TestServiceStartByStage(t *testing.T) {
	t.Parallel()
	shape := threeZoneShape(30)
	var sums stageSums
	for seed := range uint64(12) {
		s := &stageLog{ends: map[string][stages]time.Time{}, lostMachine: map[string]string{}}
		w := NewWithShape(750+seed, s, shape)
		w.Run(8 * time.Second)
		s.w = w
		spec := service("run-000000", 6)
		spec.Team = shape.Teams[0].Name
		submittedAt := w.Now
		w.submit(arrival{job: spec})
		for i := range spec.Tasks {
			s.lostMachine[protocol.TaskName(spec.ID, i)] = ""
		}
		for range 800 {
			w.Run(10 * time.Millisecond)
			s.observeAgents()
		}
		mean, running, missing := s.mean(submittedAt, placement)
		if missing > 0 {
			t.Errorf("seed %d: %d replicas do not run", seed, missing)
		}
		sums.add(mean, running)
		w.expectRulesHeld(t)
	}
	sums.expectWithin(t, placement, [stages]time.Duration{placement: 300 * time.Millisecond, commitment: 200 * time.Millisecond, command: 100 * time.Millisecond, image: 3 * time.Second})
}
