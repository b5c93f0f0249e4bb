package simulation

import (
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// stage is a part of the time for which a replica whose machine is lost is away.
type stage int

const (
	detection  stage = iota // from the loss to the decision that the machine is gone
	proof                   // until its tasks are known to be gone
	placement               // until the replica has its next place
	commitment              // until the place is written and its start is ordered
	command                 // until the worker has the order
	image                   // until the replica runs
	stages
)

var stageNames = [stages]string{"detection", "proof", "placement", "commit", "command", "image"}

// stageLog reads from the leader's log when each stage of a replica's way ends.
type stageLog struct {
	w           *World
	ends        map[string][stages]time.Time // by task
	lostMachine map[string]string            // machines that were lost, by the tasks that they had
}

var logLine = regexp.MustCompile(`msg="?(deleting machine|task gone|task placed|start)"? .*`)

// Write takes one line of the log.
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

// recordEnd notes the first end of a stage of a task that was lost.
func (s *stageLog) recordEnd(task string, x stage) {
	if _, ok := s.lostMachine[task]; !ok {
		return
	}
	ends := s.ends[task]
	if x > detection && ends[x-1].IsZero() {
		ends[x-1] = s.w.Now // it ended in the same step, or needed none
	}
	if ends[x].IsZero() {
		ends[x] = s.w.Now
		s.ends[task] = ends
	}
}

// observeAgents notes what the workers have.
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

// measureReplicaLoss lets the machine of a replica die and returns the mean of each stage over
// the replicas that were on it and run again, and how many do not.
func measureReplicaLoss(t *testing.T, seed uint64, shape Shape) (mean [stages]time.Duration, again, missing int) {
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
	at := w.Now
	s.w = w
	s.loseMachine(w.agentOf("run-000000", 1))
	for range 3000 {
		w.Run(10 * time.Millisecond)
		s.observeAgents()
	}
	w.expectRulesHeld(t)
	return s.mean(at, detection)
}

// loseMachine lets a machine die and notes the replicas that it had.
func (s *stageLog) loseMachine(agent *agent) {
	for name, task := range s.w.rules.placed {
		if task.agent == agent {
			s.lostMachine[name] = string(agent.host.ID)
		}
	}
	s.w.loseAgent(agent)
}

// mean is the mean of each stage from the first one on, over the tasks that run, and
// how many run and do not.
func (s *stageLog) mean(at time.Time, first stage) (mean [stages]time.Duration, again, missing int) {
	for task := range s.lostMachine {
		ends := s.ends[task]
		if ends[image].IsZero() {
			missing++
			continue
		}
		again++
		from := at
		for x := first; x < stages; x++ {
			mean[x] += max(0, ends[x].Sub(from))
			from = ends[x]
		}
	}
	for x := range mean {
		mean[x] /= time.Duration(max(1, again))
	}
	return mean, again, missing
}

// stageSums adds up the means of several seeds.
type stageSums struct {
	sum      [stages]time.Duration
	replicas int
}

// add takes in the means of a seed, by the number of replicas that they are of.
func (s *stageSums) add(mean [stages]time.Duration, again int) {
	for x := range mean {
		s.sum[x] += mean[x] * time.Duration(again)
	}
	s.replicas += again
}

// expectWithin logs the mean of each stage from the first one on and keeps it within a limit.
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

// TestReplicaLossByStage measures where the time goes for which replicas of a lost
// machine are away, and keeps each part within its bound.
func TestReplicaLossByStage(t *testing.T) {
	t.Parallel()
	shape := threeZoneShape(12)
	var sums stageSums
	for seed := range uint64(12) {
		mean, again, missing := measureReplicaLoss(t, 700+seed, shape)
		if missing > 0 {
			t.Errorf("seed %d: %d replicas do not run again", seed, missing)
		}
		sums.add(mean, again)
	}
	sums.expectWithin(t, detection, [stages]time.Duration{8 * time.Second, 1500 * time.Millisecond, time.Second, 500 * time.Millisecond, 200 * time.Millisecond, 5 * time.Second})
	t.Logf("%d replicas", sums.replicas)
}

// TestServiceStartByStage measures where the time goes from a service's submission until
// its replicas run, on machines that are up and do not have its image.
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
		at := w.Now
		w.submit(arrival{job: spec})
		for i := range spec.Tasks {
			s.lostMachine[protocol.TaskName(spec.ID, i)] = ""
		}
		for range 800 {
			w.Run(10 * time.Millisecond)
			s.observeAgents()
		}
		mean, again, missing := s.mean(at, placement)
		if missing > 0 {
			t.Errorf("seed %d: %d replicas do not run", seed, missing)
		}
		sums.add(mean, again)
		w.expectRulesHeld(t)
	}
	sums.expectWithin(t, placement, [stages]time.Duration{placement: 300 * time.Millisecond, commitment: 200 * time.Millisecond, command: 100 * time.Millisecond, image: 3 * time.Second})
}
