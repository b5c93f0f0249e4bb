package simulation

import (
	"fmt"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// rules checks the protocol's rules at every step.
type rules struct {
	w           *World
	jobs        map[protocol.JobID]*simJob
	onAt        map[string]*workerTask        // where a task is
	use         map[protocol.TeamName]float64 // GPUs by team
	failures    []string
	started     int
	late        int // starts after a confirmed cancellation
	lowerTokens int // answers and orders with a lower token than the worker had seen
	staged      int // parts of records written before they were named
}

// simJob is a job as the outside world knows it.
type simJob struct {
	spec      *protocol.Job
	run       float64
	progress  []float64
	done      []bool
	gangs     map[protocol.AttemptNumber]*gang
	mistaken  bool
	cancelled time.Time // when its user was told
	began     time.Time // when it first ran, a gang as a whole
	last      func()    // what happens when the last task has completed
	starts    map[int]int
	ends      time.Duration // a service's replicas end by themselves after about this, 0: never
}

// newSimJob is a job none of whose tasks has run.
func newSimJob(spec *protocol.Job) *simJob {
	return &simJob{spec: spec, progress: make([]float64, spec.Tasks), done: make([]bool, spec.Tasks), gangs: map[protocol.AttemptNumber]*gang{}}
}

func newRules(w *World) *rules {
	return &rules{w: w, jobs: map[protocol.JobID]*simJob{}, onAt: map[string]*workerTask{}, use: map[protocol.TeamName]float64{}}
}

func (r *rules) violated(rule, format string, args ...any) {
	if len(r.failures) < 20 {
		r.failures = append(r.failures, r.w.clock()+" "+rule+": "+fmt.Sprintf(format, args...))
	}
}

func (r *rules) starts(t *workerTask) {
	r.started++
	spec := t.job
	if j := r.jobs[spec.ID]; j.starts == nil {
		j.starts = map[int]int{t.index: 1}
	} else {
		j.starts[t.index]++
	}
	if !r.jobs[spec.ID].cancelled.IsZero() {
		r.late++
	}
	if o := r.onAt[t.name]; o != nil {
		r.violated("ran_twice", "%s starts on %s while on %s", t.name, t.k.h.ID, o.k.h.ID)
	}
	r.onAt[t.name] = t
	r.use[spec.Team] += spec.GPUs
	for _, team := range r.w.shape.Teams {
		if team.Name == spec.Team && team.MaxGPUs > 0 && r.use[spec.Team] > team.MaxGPUs+1e-6 {
			r.violated("quota", "%s uses %v GPUs", spec.Team, r.use[spec.Team])
		}
	}
	if spec.Zone != "" && spec.Zone != t.k.h.Zone || t.k.h.Spot && !spec.Spot {
		r.violated("wrong_place", "%s on %s", t.name, t.k.h.ID)
	}
	zones := map[protocol.ZoneName]int{}
	if spec.OneZone || spec.Spread {
		for i := range spec.Tasks {
			if o := r.onAt[protocol.TaskName(spec.ID, i)]; o != nil {
				zones[o.k.h.Zone]++
			}
		}
	}
	if spec.OneZone && len(zones) > 1 {
		r.violated("wrong_place", "%s in more zones than one: %v", spec.ID, zones)
	}
	if spec.Spread && zones[t.k.h.Zone] > (spec.Tasks+1)/2 {
		r.violated("wrong_place", "%s has %v", spec.ID, zones)
	}
	r.checkCancelled(t)
}

func (r *rules) checkCancelled(t *workerTask) {
	j := r.jobs[t.job.ID]
	if !j.cancelled.IsZero() && r.w.Now.Sub(j.cancelled) > secs(r.w.shape.Workers.CancelS) {
		r.violated("ran_cancelled", "%s is on %s %v after", t.name, t.k.h.ID, r.w.Now.Sub(j.cancelled))
	}
}

func (r *rules) leaves(t *workerTask) {
	r.checkCancelled(t)
	if r.onAt[t.name] == t {
		delete(r.onAt, t.name)
	}
	r.use[t.job.Team] -= t.job.GPUs
}
