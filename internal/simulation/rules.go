package simulation

import (
	"fmt"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// rule is the name of a rule of the protocol.
type rule string

// The rules.
const (
	ruleRanTwice       rule = "ran_twice"     // a task is on at most one machine
	ruleQuota          rule = "quota"         // a team stays within its limit
	ruleWrongPlacement rule = "wrong_place"   // zones and spot machines are as the job requests
	ruleRanCancelled   rule = "ran_cancelled" // a cancelled job has no task on a machine after cancel_s
	ruleWentBack       rule = "went_back"     // no response shows an older state than a previous one
	ruleNotDone        rule = "not_done"      // a job that is reported done is done
	ruleForgotten      rule = "forgotten"     // an accepted job stays known, and requests about it get a response
	ruleRefused        rule = "refused"       // a valid job is accepted
	ruleAccepted       rule = "accepted"      // a job that can never run is refused
	ruleLate           rule = "late"          // the largest jobs start in time
	ruleUnserved       rule = "unserved"      // at least half of the jobs of every class and team are done
	ruleLeftWaiting    rule = "left"          // no job waits long while there is free capacity for it
	ruleLiveness       rule = "liveness"      // every job ends eventually
	ruleLimits         rule = "limits"        // transactions stay within the store's limits
	ruleCompatibility  rule = "compatibility" // earlier releases receive nothing that they do not support
)

// rules checks the rules of the protocol at every step.
type rules struct {
	w                       *World
	jobs                    map[protocol.JobID]*simJob
	placed                  map[string]*agentTask         // by task name, the attempt that is on a machine
	gpusInUse               map[protocol.TeamName]float64 // by team
	failures                []string
	started                 int
	startsAfterCancellation int // task starts after a confirmed cancellation
	staleTokens             int // responses and commands with a lower fencing token than the agent had seen
	stagedRecords           int // task records written before the job's main record names them
}

// simJob is a job as its user and the agents know it.
type simJob struct {
	spec         *protocol.Job
	run          float64   // run time of each task, in seconds
	progress     []float64 // seconds of saved run time by task index; a gang uses only index 0
	done         []bool
	gangs        map[protocol.AttemptNumber]*gang
	alwaysFails  bool
	cancelledAt  time.Time     // when the user received the confirmation
	startedAt    time.Time     // when it first ran; for a gang, when all tasks ran
	onCompletion func()        // called when the last task has completed
	starts       map[int]int   // by task index
	ends         time.Duration // a service's replicas end by themselves after about this time; 0: never
}

// newSimJob returns a job none of whose tasks has run.
func newSimJob(spec *protocol.Job) *simJob {
	return &simJob{spec: spec, progress: make([]float64, spec.Tasks), done: make([]bool, spec.Tasks), gangs: map[protocol.AttemptNumber]*gang{}}
}

// maxFailures bounds the violations that are kept. The first ones show the cause.
const maxFailures = 20

func newRules(w *World) *rules {
	return &rules{w: w, jobs: map[protocol.JobID]*simJob{}, placed: map[string]*agentTask{}, gpusInUse: map[protocol.TeamName]float64{}}
}

// violated records a violation of a rule.
func (r *rules) violated(broken rule, format string, args ...any) {
	if len(r.failures) < maxFailures {
		r.failures = append(r.failures, fmt.Sprintf("%s %s: ", r.w.clock(), broken)+fmt.Sprintf(format, args...))
	}
}

// starts records that a task is on a machine from now on, and checks the rules for it.
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
		r.violated(ruleRanTwice, "%s starts on %s while it is on %s", task.name, task.agent.host.ID, o.agent.host.ID)
	}
	r.placed[task.name] = task
	r.gpusInUse[spec.Team] += spec.GPUs
	r.checkQuota(spec.Team)
	r.checkPlacement(task)
	r.checkCancelled(task)
}

// checkQuota checks that a team stays within its limit.
func (r *rules) checkQuota(name protocol.TeamName) {
	for _, team := range r.w.shape.Teams {
		if team.Name == name && team.MaxGPUs > 0 && r.gpusInUse[name] > team.MaxGPUs+1e-6 {
			r.violated(ruleQuota, "%s uses %v GPUs", name, r.gpusInUse[name])
		}
	}
}

// checkPlacement checks that a task is on a machine that its job allows.
func (r *rules) checkPlacement(task *agentTask) {
	spec := task.job
	if spec.Zone != "" && spec.Zone != task.agent.host.Zone || task.agent.host.Spot && !spec.Spot {
		r.violated(ruleWrongPlacement, "%s is on %s, which its job does not allow", task.name, task.agent.host.ID)
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
		r.violated(ruleWrongPlacement, "tasks of %s are in more than one zone: %v", spec.ID, zones)
	}
	if spec.Spread && zones[task.agent.host.Zone] > (spec.Tasks+1)/2 {
		r.violated(ruleWrongPlacement, "tasks of %s are not spread over the zones: %v", spec.ID, zones)
	}
}

// checkCancelled checks that a task on a machine does not belong to a job whose cancellation was
// confirmed more than cancel_s ago.
func (r *rules) checkCancelled(task *agentTask) {
	j := r.jobs[task.job.ID]
	if !j.cancelledAt.IsZero() && r.w.Now.Sub(j.cancelledAt) > secs(r.w.shape.Agents.CancelS) {
		r.violated(ruleRanCancelled, "%s is on %s %v after its cancellation was confirmed", task.name, task.agent.host.ID, r.w.Now.Sub(j.cancelledAt))
	}
}

// leaves records that a task is no longer on its machine.
func (r *rules) leaves(task *agentTask) {
	r.checkCancelled(task)
	if r.placed[task.name] == task {
		delete(r.placed, task.name)
	}
	r.gpusInUse[task.job.Team] -= task.job.GPUs
}
