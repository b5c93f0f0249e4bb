package coordination

import (
	"cmp"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// job is an unfinished job.
type job struct {
	id         protocol.JobID
	spec       *protocol.Job
	rank       protocol.Rank
	seq        protocol.Revision
	at         time.Time
	startBy    []time.Time            // an array must start by then to meet its deadline and its class's aims
	everPlaced bool                   // a task of it has had a place
	epoch      protocol.AttemptNumber // the gang's epoch
	cancelled  bool
	chunk      int
	tasks      []task
	done       int
	revisions  []protocol.Revision       // revision of every record, the first is the job's own
	moved      map[int]int               // tasks that are not in the record that the chunk says
	extraParts [][]int                   // the tasks of the records beyond those
	newParts   map[int]int               // records split off that the job's own record does not name yet, and from which
	staged     map[int]bool              // those of them that are written as they should be
	leftovers  map[int]protocol.Revision // parts that a predecessor staged and never named, with their revisions
	splitting  bool                      // the split takes several transactions: nothing is placed meanwhile
	unwritable bool                      // its records cannot be brought under the lowered limits
	specSize   int                       // of the description in the first record

	attempts       map[attemptKey]*taskAttempt
	dirty          map[int]bool // records that must be written
	queued         bool         // in the leader's list of dirty jobs
	dirtySince     time.Time    // when it came into the list
	writing        bool         // in the transaction under way
	loaded         bool         // known from the records at the takeover
	gone           bool         // the final record is committed
	guaranteed     bool         // fits into its team's guarantee
	mayReclaim     bool         // may stop other teams' work for its guarantee
	reclaimChecked bool         // whether mayReclaim was first decided
	stopping       bool         // the gang's attempt is being ended
	retryAt        time.Time
	survivors      map[protocol.MachineID]bool // machines of the broken attempt that are still there
	failures       map[protocol.MachineID]bool // machines on which a task failed
	blamedCount    int                         // how often the job, not a machine, was blamed for a failure
	avoid          map[protocol.MachineID]time.Time
	waitingSince   time.Time  // since when something waits for its place
	held           []*machine // machines whose room is kept for it
	searchAt       time.Time  // when room may be made for it again
	warmAt         time.Time  // the same on machines that have its image
}

// task is one task of a job. A task has at most one attempt that it is waiting
// for; older attempts that may still be somewhere are in job.attempts too.
type task struct {
	lastAttempt  protocol.AttemptNumber
	done         bool
	liveAttempts int
	active       *taskAttempt
	earlyEnds    int       // how often in a row a replica ended soon after its start
	retryAt      time.Time // when one that did may start again
}

type attemptKey struct {
	index   int
	attempt protocol.AttemptNumber
	machine protocol.MachineID
}

// taskAttempt is one attempt of a task on one machine, from the moment it is
// planned until it is proven gone. While it exists it takes room and quota.
type taskAttempt struct {
	j           *job
	key         attemptKey
	m           *machine
	incarnation protocol.Incarnation
	slots       []int
	committed   bool
	sent        bool               // a start may have left
	state       protocol.TaskState // as last reported, "" while never seen
	since       time.Time
	running     time.Time // when it was first seen running
	pinned      bool      // a direct start was never answered: it may yet arrive
	direct      int       // direct orders with its start under way
	directAt    time.Time // when the last of them left
	stop        bool
	grace       float64
	stopSent    time.Time
	inReply     bool // its start is in the answer to the last report
	// loaded attempts come from a predecessor's record, which does not say whether
	// they ended since: what they took may have been given to others by then.
	// So they are never started again; one that a worker does not have is gone.
	loaded bool
	stray  bool // no record asks for it
}

// queueTime is a job's place among those of its priority: the moment it came or,
// for an array, the moment by which it must start to meet the next of its aims.
// One that is late for an aim can wait for those that are not; but none waits
// for ever, and one that nothing was done for in a long time goes first.
func (j *job) queueTime(now time.Time) time.Time {
	if len(j.startBy) == 0 || j.isOverdue(now) {
		return j.at
	}
	for missed, at := range j.startBy {
		if !now.After(at) {
			return at.Add(time.Duration(missed)*tuning.LatePenalty + time.Duration(len(j.tasks)-j.done)*tuning.SizePenalty)
		}
	}
	return j.at.Add(time.Duration(len(j.startBy)) * tuning.LatePenalty)
}

// isOverdue says whether an array has waited so long for its first place that it
// goes first: with one task, then it takes its turn again.
func (j *job) isOverdue(now time.Time) bool {
	return !j.everPlaced && !j.spec.Gang() && now.Sub(j.at) > tuning.BeginWithin
}

// startTimes lists the moments by which an array must start to meet its own
// deadline and the aims that the settings give for its class, the next first.
func (l *leader) startTimes(j *job) []time.Time {
	s := j.spec
	if s.Gang() {
		return nil // gangs go in order of arrival
	}
	var list []time.Time
	add := func(after float64) { list = append(list, j.at.Add(seconds(after))) }
	deadline := false
	for _, o := range l.n.cfg.Cluster.Objectives {
		if o.Class != s.Class {
			continue
		}
		switch {
		case o.Kind == config.ObjectiveWait, o.Kind == config.ObjectiveUp:
			add(o.WithinS)
		case s.Service(): // it has no end
		case o.Kind == config.ObjectiveFinished:
			add(o.WithinS - s.EstimateS)
		case o.Kind == config.ObjectiveDeadline && s.DeadlineS > 0:
			add(s.DeadlineS*max(1, o.Times) - s.EstimateS)
			deadline = true
		}
	}
	if s.DeadlineS > 0 && !deadline && !s.Service() {
		add(s.DeadlineS - s.EstimateS)
	}
	slices.SortFunc(list, time.Time.Compare)
	return slices.Compact(list)
}

// gangSize is the number of a gang's tasks, 0 for other jobs.
func (j *job) gangSize() int {
	if !j.spec.Gang() {
		return 0
	}
	return len(j.tasks)
}

// isComplete says whether all tasks are done.
func (j *job) isComplete() bool { return j.done == len(j.tasks) }

// sortedAttempts is the job's attempts in a fixed order.
func (j *job) sortedAttempts() []*taskAttempt {
	list := make([]*taskAttempt, 0, len(j.attempts))
	for _, c := range j.attempts {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *taskAttempt) int {
		return cmp.Or(cmp.Compare(a.key.index, b.key.index), cmp.Compare(a.key.attempt, b.key.attempt), cmp.Compare(a.key.machine, b.key.machine))
	})
	return list
}

// hasUncommitted says whether a job has places that are not written yet.
func (j *job) hasUncommitted() bool {
	for _, c := range j.attempts {
		if !c.committed {
			return true
		}
	}
	return false
}

// taskKey is the key of the attempt on its machine.
func (c *taskAttempt) taskKey() taskKey { return taskKey{c.j.id, c.key.index, c.key.attempt} }
