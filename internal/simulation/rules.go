package simulation

import (
	"fmt"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// rule names a rule of the protocol that was broken.
type rule string

// The rules.
const (
	ruleRanTwice       rule = "ran_twice"     // a task is on one machine at most
	ruleQuota          rule = "quota"         // a team keeps within its limit
	ruleWrongPlacement rule = "wrong_place"   // zones and spot instances are as the job asks
	ruleRanCancelled   rule = "ran_cancelled" // a cancelled job is gone within cancel_s
	ruleWentBack       rule = "went_back"     // no answer is older than one before
	ruleNotDone        rule = "not_done"      // a job that is called done is
	ruleForgotten      rule = "forgotten"     // an accepted job stays known and is answered for
	ruleRefused        rule = "refused"       // a valid job is accepted
	ruleAccepted       rule = "accepted"      // a job that can never run is refused
	ruleLate           rule = "late"          // the largest jobs begin in time
	ruleUnserved       rule = "unserved"      // half of every class and team is served
	ruleLeftWaiting    rule = "left"          // no job waits for long beside capacity for it
	ruleLiveness       rule = "liveness"      // every job is over in the end
	ruleLimits         rule = "limits"        // transactions keep within the store's limits
	ruleCompatibility  rule = "compatibility" // earlier releases see nothing that they don't know
)

// rules checks the protocol's rules at every step.
type rules struct {
	w                       *World
	jobs                    map[protocol.JobID]*simJob
	placed                  map[string]*agentTask         // where a task is
	gpusInUse               map[protocol.TeamName]float64 // GPUs by team
	failures                []string
	started                 int
	startsAfterCancellation int // starts after a confirmed cancellation
	staleTokens             int // answers and orders with a lower token than the worker had seen
	stagedRecords           int // parts of records written before they were named
}

// simJob is a job as the outside world knows it.
type simJob struct {
	spec         *protocol.Job
	run          float64
	progress     []float64
	done         []bool
	gangs        map[protocol.AttemptNumber]*gang
	alwaysFails  bool
	cancelledAt  time.Time     // when its user was told
	startedAt    time.Time     // when it first ran, a gang as a whole
	onCompletion func()        // what happens when the last task has completed
	starts       map[int]int   // of each task
	ends         time.Duration // a service's replicas end by themselves after about this, 0: never
}

// newSimJob is a job none of whose tasks has run.
func newSimJob(spec *protocol.Job) *simJob {
	return &simJob{spec: spec, progress: make([]float64, spec.Tasks), done: make([]bool, spec.Tasks), gangs: map[protocol.AttemptNumber]*gang{}}
}

// maxFailures is how many broken rules are kept: the first ones tell the cause.
const maxFailures = 20

func newRules(w *World) *rules {
	return &rules{w: w, jobs: map[protocol.JobID]*simJob{}, placed: map[string]*agentTask{}, gpusInUse: map[protocol.TeamName]float64{}}
}

// violated notes that a rule was broken.
func (r *rules) violated(broken rule, format string, args ...any) {
	if len(r.failures) < maxFailures {
		r.failures = append(r.failures, fmt.Sprintf("%s %s: ", r.w.clock(), broken)+fmt.Sprintf(format, args...))
	}
}

// starts checks a task that has come to be on a machine.
func (r *rules) starts(task *agentTask) {
	r.started++
	spec := task.job
	if j := r.jobs[spec.ID]; j.starts == nil {
		j.starts = map[int]int{task.index: 1}
	} else {
		j.starts[task.index]++
	}
	if !r.jobs[spec.ID].cancelledAt.IsZero() {
		r.startsAfterCancellation++
	}
	if o := r.placed[task.name]; o != nil {
		r.violated(ruleRanTwice, "%s starts on %s while on %s", task.name, task.agent.host.ID, o.agent.host.ID)
	}
	r.placed[task.name] = task
	r.gpusInUse[spec.Team] += spec.GPUs
	r.checkQuota(spec.Team)
	r.checkPlacement(task)
	r.checkCancelled(task)
}

// checkQuota checks that a team keeps within its limit.
func (r *rules) checkQuota(name protocol.TeamName) {
	for _, team := range r.w.shape.Teams {
		if team.Name == name && team.MaxGPUs > 0 && r.gpusInUse[name] > team.MaxGPUs+1e-6 {
			r.violated(ruleQuota, "%s uses %v GPUs", name, r.gpusInUse[name])
		}
	}
}

// checkPlacement checks that a task is where its job may be.
func (r *rules) checkPlacement(task *agentTask) {
	spec := task.job
	if spec.Zone != "" && spec.Zone != task.agent.host.Zone || task.agent.host.Spot && !spec.Spot {
		r.violated(ruleWrongPlacement, "%s on %s", task.name, task.agent.host.ID)
	}
	if !spec.OneZone && !spec.Spread {
		return
	}
	zones := map[protocol.ZoneName]int{}
	for i := range spec.Tasks {
		if o := r.placed[protocol.TaskName(spec.ID, i)]; o != nil {
			zones[o.agent.host.Zone]++
		}
	}
	if spec.OneZone && len(zones) > 1 {
		r.violated(ruleWrongPlacement, "%s in more zones than one: %v", spec.ID, zones)
	}
	if spec.Spread && zones[task.agent.host.Zone] > (spec.Tasks+1)/2 {
		r.violated(ruleWrongPlacement, "%s has %v", spec.ID, zones)
	}
}

// checkCancelled checks that a task's job was not cancelled too long ago.
func (r *rules) checkCancelled(task *agentTask) {
	j := r.jobs[task.job.ID]
	if !j.cancelledAt.IsZero() && r.w.Now.Sub(j.cancelledAt) > secs(r.w.shape.Agents.CancelS) {
		r.violated(ruleRanCancelled, "%s is on %s %v after", task.name, task.agent.host.ID, r.w.Now.Sub(j.cancelledAt))
	}
}

// leaves notes that a task is off its machine.
func (r *rules) leaves(task *agentTask) {
	r.checkCancelled(task)
	if r.placed[task.name] == task {
		delete(r.placed, task.name)
	}
	r.gpusInUse[task.job.Team] -= task.job.GPUs
}
