package simulation

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
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
	w    *World
	ends map[string][stages]time.Time // by task
	lost map[string]string            // machines that were lost, by the tasks that they had
}

var logLine = regexp.MustCompile(`msg="?(returning machine|task gone|task placed|start)"? .*`)

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
	case "returning machine":
		for task, machine := range s.lost {
			if machine == field["machine"] {
				s.end(task, detection)
			}
		}
	case "task gone":
		if s.lost[name] == field["machine"] {
			s.end(name, proof)
		}
	case "task placed":
		s.end(name, placement)
	case "start":
		s.end(name, commitment)
	}
	return len(line), nil
}

// end notes the first end of a stage of a task that was lost.
func (s *stageLog) end(task string, x stage) {
	if _, ok := s.lost[task]; !ok {
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

// look notes what the workers have.
func (s *stageLog) look() {
	for task, machine := range s.lost {
		id, index, _ := strings.Cut(task, "/")
		for _, k := range s.w.workers {
			if k.h.ID == machine || k.dead {
				continue
			}
			for _, t := range k.tasks {
				if t.name != task || t.job == nil || t.job.ID != id || strconv.Itoa(t.index) != index || s.ends[task][commitment].IsZero() {
					continue
				}
				s.end(task, command)
				if t.state == protocol.TaskRunning {
					s.end(task, image)
				}
			}
		}
	}
}

// replicaLoss plays a loss of machines and returns the mean of each stage over the
// replicas that were on them and run again, and how many do not.
func replicaLoss(t *testing.T, seed uint64, shape Shape, lose func(w *World, id string) []string) (mean [stages]time.Duration, again, missing int) {
	t.Helper()
	s := &stageLog{ends: map[string][stages]time.Time{}, lost: map[string]string{}}
	w := NewShaped(seed, s, shape)
	w.Run(6 * time.Second)
	var users []*user
	for i := range 6 {
		j := service(fmt.Sprintf("run-00000%d", i), 6)
		j.Team = shape.Teams[0].Name
		users = append(users, w.submit(0, j, 0, 0, false))
	}
	w.waitFor(t, 60*time.Second, "all run", func() bool {
		for _, u := range users {
			if !w.running(u) {
				return false
			}
		}
		return true
	})
	w.Run(w.between(40*time.Second, 45*time.Second))
	at := w.Now
	victim := w.rules.onAt["run-000000/1"].k.h.ID
	gone := map[string]bool{}
	s.w = w
	for _, id := range lose(w, victim) {
		gone[id] = true
	}
	for _, u := range users {
		for i := range u.j.spec.Tasks {
			name := protocol.TaskName(u.j.spec.ID, i)
			if t := w.rules.onAt[name]; t != nil && gone[t.k.h.ID] {
				s.lost[name] = t.k.h.ID
			}
		}
	}
	for id := range gone {
		if k := w.workers[id]; k != nil {
			k.kill()
			delete(w.workers, id)
		}
	}
	for range 3000 {
		w.Run(10 * time.Millisecond)
		s.look()
	}
	for task := range s.lost {
		ends := s.ends[task]
		if ends[image].IsZero() {
			missing++
			continue
		}
		again++
		from := at
		for x := range stages {
			mean[x] += max(0, ends[x].Sub(from))
			from = ends[x]
		}
	}
	for x := range mean {
		mean[x] /= time.Duration(max(1, again))
	}
	w.check(t)
	return mean, again, missing
}

// TestReplicaLossByStage measures where the time goes for which replicas of a lost
// machine are away, and keeps each part within its bound.
func TestReplicaLossByStage(t *testing.T) {
	shape := grown()
	shape.Machines, shape.Capacity = 12, 60
	shape.Resources = config.Resources{}
	var sum [stages]time.Duration
	total, lost := 0, 0
	for seed := range uint64(12) {
		mean, again, missing := replicaLoss(t, 700+seed, shape, func(_ *World, id string) []string { return []string{id} })
		if missing > 0 {
			t.Errorf("seed %d: %d replicas do not run again", seed, missing)
		}
		for x := range mean {
			sum[x] += mean[x] * time.Duration(again)
		}
		total += again
		lost += again + missing
	}
	limits := [stages]time.Duration{8 * time.Second, 1500 * time.Millisecond, time.Second, 500 * time.Millisecond, 200 * time.Millisecond, 5 * time.Second}
	for x := range stages {
		mean := sum[x] / time.Duration(max(1, total))
		t.Logf("%-10s %v", stageNames[x], mean.Round(time.Millisecond))
		if mean > limits[x] {
			t.Errorf("%s takes %v", stageNames[x], mean)
		}
	}
	t.Logf("%d replicas", lost)
}

// TestServiceStartByStage measures where the time goes from a service's submission until
// its replicas run, on machines that are up and do not have its image.
func TestServiceStartByStage(t *testing.T) {
	shape := grown()
	shape.Machines, shape.Capacity = 30, 60
	shape.Resources = config.Resources{}
	var sum [stages]time.Duration
	total := 0
	for seed := range uint64(12) {
		s := &stageLog{ends: map[string][stages]time.Time{}, lost: map[string]string{}}
		w := NewShaped(750+seed, s, shape)
		w.Run(8 * time.Second)
		s.w = w
		j := service("run-000000", 6)
		j.Team = shape.Teams[0].Name
		at := w.Now
		w.submit(0, j, 0, 0, false)
		for i := range j.Tasks {
			s.lost[protocol.TaskName(j.ID, i)] = ""
		}
		for range 800 {
			w.Run(10 * time.Millisecond)
			s.look()
		}
		for task := range s.lost {
			ends := s.ends[task]
			if ends[image].IsZero() {
				t.Errorf("seed %d: %s does not run", seed, task)
				continue
			}
			total++
			from := at
			for x := placement; x < stages; x++ {
				sum[x] += ends[x].Sub(from)
				from = ends[x]
			}
		}
		w.check(t)
	}
	limits := [stages]time.Duration{placement: 300 * time.Millisecond, commitment: 200 * time.Millisecond, command: 100 * time.Millisecond, image: 3 * time.Second}
	for x := placement; x < stages; x++ {
		mean := sum[x] / time.Duration(max(1, total))
		t.Logf("%-10s %v", stageNames[x], mean.Round(time.Millisecond))
		if mean > limits[x] {
			t.Errorf("%s takes %v", stageNames[x], mean)
		}
	}
}
