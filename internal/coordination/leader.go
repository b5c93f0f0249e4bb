package coordination

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/gappond/gappond/internal/bookkeeping"
	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// leader is everything that only the leading controller knows. It is rebuilt
// from the records at every takeover and dropped when the node steps down.
type leader struct {
	n     *Node
	since time.Time

	jobs     map[string]*job
	machines map[string]*machine
	roster   []*machine // the machines by name, the order of their creation; never changed in place
	teams    map[string]*team
	waiting  int

	dirty         []*job   // jobs with unwritten changes, in the order they came
	racks         []*rack  // the machines' room records
	cleanup       []string // keys to delete when there is time
	inFlight      *commit
	commitAt      time.Time
	hurried       []*machine    // have orders that should not wait for a report
	calls         *rate.Limiter // calls to workers: direct orders and probes
	calling       int           // calls to workers under way
	spreading     bool          // the siblings answer a part of the workers
	plan          bool          // something changed that placement may depend on
	planAt        time.Time
	pass          *pass     // the pass over the queue under way, nil between two
	looks         int       // machines looked at in the last pass
	watchAt       time.Time // when the machines are looked over again
	fleet         fleet
	splitSearched bool // all records that had outgrown the limits were found
	besideGPU     room // what work on GPUs needs beside each of them
	// when a job last came, and one that may not use spot machines
	lastJob, lastOrdinary time.Time
}

// team is a team's use of the machines.
type team struct {
	guaranteeCPUs, guaranteeGPUs float64
	maxCPUs, maxGPUs             float64
	cpus, gpus                   float64 // of every task that may be on a machine
}

// job is an unfinished job.
type job struct {
	id         string
	spec       *protocol.Job
	rank       protocol.Rank
	seq        uint64
	at         time.Time
	startBy    []time.Time // an array must start by then to meet its deadline and its class's aims
	begun      bool        // a task of it has had a place
	attempt    uint64      // the gang's epoch
	cancelled  bool
	chunk      int
	tasks      []task
	done       int
	revisions  []uint64    // revision of every record, the first is the job's own
	moved      map[int]int // tasks that are not in the record that the chunk says
	extraParts [][]int     // the tasks of the records beyond those
	newParts   map[int]int // records split off that are yet to be written, and from which
	specSize   int         // of the description in the first record

	copies     map[copyKey]*taskCopy
	dirty      map[int]bool // records that must be written
	queued     bool         // in the leader's list of dirty jobs
	dirtySince time.Time    // when it came into the list
	writing    bool         // in the transaction under way
	gone       bool         // the final record is committed
	guaranteed bool         // fits into its team's guarantee
	entitled   bool         // may stop other teams' work for its guarantee
	judged     bool         // whether it is entitled was first looked at
	stopping   bool         // the gang's attempt is being ended
	retryAt    time.Time
	survivors  map[string]bool // machines of the broken attempt that are still there
	failures   map[string]bool // machines on which a task failed
	blamed     int             // how often the job, not a machine, was blamed for a failure
	avoid      map[string]time.Time
	waits      time.Time  // since when something waits for its place
	held       []*machine // machines whose room is kept for it
	searchAt   time.Time  // when room may be made for it again
	warmAt     time.Time  // the same on machines that have its image
}

// task is one task of a job. A task has at most one copy that it is waiting
// for; older copies that may still be somewhere are in job.copies too.
type task struct {
	attempt uint64
	done    bool
	copies  int
	active  *taskCopy
	ended   int       // how often in a row a replica ended soon after its start
	retryAt time.Time // when one that did may start again
}

type copyKey struct {
	index   int
	attempt uint64
	machine string
}

// taskCopy is one attempt of a task on one machine, from the moment it is
// planned until it is proven gone. While it exists it takes room and quota.
type taskCopy struct {
	j         *job
	key       copyKey
	m         *machine
	session   uint64
	slots     []int
	committed bool
	sent      bool   // a start may have left
	state     string // as last reported, "" while never seen
	since     time.Time
	running   time.Time // when it was first seen running
	pinned    bool      // a direct start was never answered: it may yet arrive
	direct    int       // direct orders with its start under way
	stop      bool
	grace     float64
	stopSent  time.Time
	inReply   bool // its start is in the answer to the last report
	// loaded copies come from a predecessor's record, which does not say whether
	// they ended since: what they took may have been given to others by then.
	// So they are never started again; one that a worker does not have is gone.
	loaded bool
	stray  bool // no record asks for it
}

func (n *Node) takeOver() {
	l := &leader{n: n, since: n.now, jobs: map[string]*job{}, machines: map[string]*machine{}, teams: map[string]*team{}, plan: true,
		calls: n.workerCalls(), fleet: newFleet(n.cfg.Cluster.Cloud.RPS)}
	n.lead = l
	n.beatAt = n.now  // the siblings learn how many workers it keeps
	n.typesAt = n.now // today's prices, and a record of the types if there is none
	for _, t := range n.cfg.Cluster.Teams {
		l.teams[t.Name] = &team{guaranteeCPUs: t.CPUs, guaranteeGPUs: t.GPUs, maxCPUs: t.MaxCPUs, maxGPUs: t.MaxGPUs}
	}
	sound := true
	n.mirror.Each(bookkeeping.MachinePrefix, func(e protocol.Entry) {
		rec, ok := parse[bookkeeping.Rack](e.Value)
		if !ok || len(rec.Machines) == 0 { // an empty one is deleted, so this is something else
			sound = false
			n.log.Error("room record does not parse", "key", e.Key)
			return
		}
		l.loadRack(e.Key, e.Stamp, &rec)
	})
	slices.SortFunc(l.racks, func(a, b *rack) int { return cmp.Compare(a.key, b.key) })
	n.mirror.Each(bookkeeping.JobPrefix, func(e protocol.Entry) {
		rec, err := bookkeeping.DecodeJob(e.Value)
		if err != nil {
			n.log.Error("job record does not parse", "key", e.Key, "error", err)
			return
		}
		l.addJob(rec, e.Stamp)
	})
	n.mirror.Each(bookkeeping.TaskPrefix, func(e protocol.Entry) {
		id, num, ok := bookkeeping.SplitChunkKey(e.Key)
		j := l.jobs[id]
		if !ok || j == nil || num >= len(j.revisions) {
			l.cleanup = append(l.cleanup, e.Key) // left by a finished job
			return
		}
		var c bookkeeping.Chunk
		if json.Unmarshal(e.Value, &c) != nil {
			n.log.Error("task record does not parse", "key", e.Key)
			return
		}
		j.revisions[num] = e.Stamp
		l.addTasks(j, num, c.Tasks)
	})
	slices.Sort(l.cleanup)
	l.splitRacks()
	for _, m := range l.roster {
		if m.rack == nil && sound {
			// Places are committed only on machines that a room record has, and a
			// machine leaves its record only after its deletion was answered: a
			// predecessor has proven it gone.
			l.forget(m.id)
		}
	}
	// Jobs and machines come out of the mirror in no order; what follows must
	// not depend on that.
	for _, j := range l.ordered() {
		l.settle(j)
	}
	n.log.Info("leading", "term", n.claim.term, "jobs", len(l.jobs), "machines", len(l.machines))
}

// ordered lists the jobs in order of priority and arrival.
func (l *leader) ordered() []*job {
	type entry struct {
		j    *job
		turn time.Time
	}
	entries := make([]entry, 0, len(l.jobs))
	for _, j := range l.jobs {
		entries = append(entries, entry{j, j.turn(l.n.now)})
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.j.rank, a.j.rank), a.turn.Compare(b.turn), cmp.Compare(a.j.seq, b.j.seq), cmp.Compare(a.j.id, b.j.id))
	})
	list := make([]*job, len(entries))
	for i, e := range entries {
		list[i] = e.j
	}
	return list
}

// turn is a job's place among those of its priority: the moment it came or,
// for an array, the moment by which it must start to meet the next of its aims.
// One that is late for an aim can wait for those that are not; but none waits
// for ever, and one that nothing was done for in a long time goes first.
func (j *job) turn(now time.Time) time.Time {
	if len(j.startBy) == 0 || j.overdue(now) {
		return j.at
	}
	for missed, at := range j.startBy {
		if !now.After(at) {
			return at.Add(time.Duration(missed)*tuning.LateTurn + time.Duration(len(j.tasks)-j.done)*tuning.SizeTurn)
		}
	}
	return j.at.Add(time.Duration(len(j.startBy)) * tuning.LateTurn)
}

// overdue says whether an array has waited so long for its first place that it
// goes first: with one task, then it takes its turn again.
func (j *job) overdue(now time.Time) bool {
	return !j.begun && !j.spec.Gang() && now.Sub(j.at) > tuning.BeginWithin
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
		case o.Kind == config.ObjectiveWait:
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

func (l *leader) addJob(rec *bookkeeping.Job, stamp uint64) *job {
	s := rec.Spec
	j := &job{
		id: s.ID, spec: s, rank: s.Rank(), seq: rec.Seq, at: time.UnixMilli(rec.AtMs),
		attempt: rec.Attempt, cancelled: rec.Cancelled, chunk: rec.Chunk,
		tasks:     make([]task, s.Tasks),
		revisions: make([]uint64, max(rec.Regular(), rec.Parts)),
		copies:    map[copyKey]*taskCopy{}, dirty: map[int]bool{},
		failures: map[string]bool{}, avoid: map[string]time.Time{},
		waits: l.n.now,
	}
	if j.seq == 0 {
		j.seq = stamp // never written since its submission
	}
	j.revisions[0] = stamp
	j.extraParts = make([][]int, len(j.revisions)-rec.Regular())
	j.startBy = l.startTimes(j)
	l.n.log.Debug("job", "job", j.id, "class", s.Class, "shape", s.Shape, "tasks", s.Tasks, "gpus", s.GPUs, "team", s.Team, "estimate", s.EstimateS, "deadline", s.DeadlineS, "age", l.n.now.Sub(j.at).Seconds())
	l.jobs[j.id] = j
	l.lastJob = l.n.now
	if !s.Spot {
		l.lastOrdinary = l.n.now
	}
	l.addTasks(j, 0, rec.Tasks)
	return j
}

// addTasks takes the tasks of one of a job's records.
func (l *leader) addTasks(j *job, record int, tasks []bookkeeping.Task) {
	for _, t := range tasks {
		if t.Index < 0 || t.Index >= len(j.tasks) {
			continue
		}
		if record >= j.baseRecords() {
			j.move(t.Index, record)
		}
		jt := &j.tasks[t.Index]
		jt.attempt = t.Attempt
		j.begun = true
		if t.Done && !jt.done {
			jt.done = true
			j.done++
		}
		if t.Machine == "" || t.Done {
			continue
		}
		m := l.machine(t.Machine, "", "", "", false)
		c := l.addCopy(j, t.Index, t.Attempt, m, t.Session)
		c.committed, c.sent, c.loaded = true, true, true
		jt.active = c
		m.useImage(j.spec, nil)
		m.session = max(m.session, t.Session)
	}
}

// addCopy enters a copy into every account.
func (l *leader) addCopy(j *job, index int, attempt uint64, m *machine, session uint64) *taskCopy {
	c := &taskCopy{j: j, key: copyKey{index, attempt, m.id}, m: m, session: session, since: l.n.now}
	c.slots = m.slots.carve(taskSlots(j.spec))
	j.copies[c.key] = c
	j.tasks[index].copies++
	m.copies[taskKey{j.id, index, attempt}] = c
	m.take(j.spec, 1)
	if t := l.teams[j.spec.Team]; t != nil {
		t.cpus += j.spec.CPUs
		t.gpus += j.spec.GPUs
	}
	return c
}

// drop takes a copy that is proven gone out of every account.
func (l *leader) drop(c *taskCopy) {
	j, m := c.j, c.m
	if j.copies[c.key] != c {
		return
	}
	l.n.log.Debug("task gone", "job", j.id, "task", c.key.index, "attempt", c.key.attempt, "machine", m.id, "state", c.state)
	delete(j.copies, c.key)
	delete(m.copies, taskKey{j.id, c.key.index, c.key.attempt})
	m.slots.release(c.slots)
	m.take(j.spec, -1)
	if len(m.copies) == 0 {
		m.idleSince = l.n.now
	}
	if t := l.teams[j.spec.Team]; t != nil {
		t.cpus -= j.spec.CPUs
		t.gpus -= j.spec.GPUs
	}
	t := &j.tasks[c.key.index]
	t.copies--
	if t.active == c {
		t.active = nil
		j.waits = l.n.now
	}
	l.plan = true
	if j.spec.Gang() && !c.stray && !j.complete() && !j.stopping && len(j.copies) > 0 {
		l.pinSurvivors(j)
		l.endGang(j, 0)
	}
	l.settle(j)
}

// complete says whether all tasks are done.
func (j *job) complete() bool { return j.done == len(j.tasks) }

// settle looks whether a job's attempt, or the whole job, is over.
func (l *leader) settle(j *job) {
	if j.gone {
		return
	}
	if j.stopping && len(j.copies) == 0 {
		j.stopping = false
		l.plan = true
	}
	switch {
	case j.cancelled:
		for _, c := range j.list() {
			l.stop(c, 0)
		}
		if len(j.copies) == 0 {
			l.touch(j, 0)
		}
	case j.complete():
		l.touch(j, 0)
	case j.spec.Gang() && len(j.copies) > 0 && !j.stopping && l.broken(j):
		l.endGang(j, 0)
	}
}

// broken says whether a gang's attempt can no longer become whole.
func (l *leader) broken(j *job) bool {
	whole := 0
	for _, c := range j.copies {
		if c.stray {
			continue // an older attempt that is being ended
		}
		if c.key.attempt != j.attempt {
			return true
		}
		whole++
	}
	return whole > 0 && whole != len(j.tasks)
}

// list is the job's copies in a fixed order.
func (j *job) list() []*taskCopy {
	list := make([]*taskCopy, 0, len(j.copies))
	for _, c := range j.copies {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *taskCopy) int {
		return cmp.Or(cmp.Compare(a.key.index, b.key.index), cmp.Compare(a.key.attempt, b.key.attempt), cmp.Compare(a.key.machine, b.key.machine))
	})
	return list
}

// endGang ends a gang's attempt: every copy is told to stop at once, so that
// an orderly stop reaches all of them within the gang's patience.
func (l *leader) endGang(j *job, grace float64) {
	if len(j.copies) == 0 {
		return // nothing would ever end the stop
	}
	j.stopping = true
	l.n.log.Debug("gang stops", "job", j.id, "attempt", j.attempt, "grace", grace)
	for _, c := range j.list() {
		l.stop(c, grace)
	}
}

// pinSurvivors keeps the machines of a broken gang's other tasks for its next
// attempt: the repair then only has to find room for what was lost.
func (l *leader) pinSurvivors(j *job) {
	j.survivors = map[string]bool{}
	for _, c := range j.copies {
		j.survivors[c.m.id] = true
		if c.m.hold == nil {
			c.m.keep(j, l.n.now.Add(tuning.HoldFor))
		}
	}
}

// stop asks a copy to end. A copy whose start never left is gone at once,
// unless the transaction that places it is still under way.
func (l *leader) stop(c *taskCopy, grace float64) {
	if !c.stop || grace < c.grace {
		c.stop, c.grace, c.stopSent = true, grace, time.Time{}
	}
	if !c.sent && !(c.j.writing && !c.committed) {
		l.drop(c)
		return
	}
	l.hurry(c.m)
}

// setDone notes that a task has completed. The tasks of a gang complete
// together: if one is done, every one is.
func (l *leader) setDone(j *job, index int) {
	if j.gone || j.tasks[index].done || j.spec.Service() {
		return // a replica is never done, whatever it says
	}
	mark := func(i int) {
		if !j.tasks[i].done {
			j.tasks[i].done = true
			j.done++
			l.touch(j, j.recordOf(i))
		}
	}
	if j.spec.Gang() {
		for i := range j.tasks {
			mark(i)
		}
	} else {
		mark(index)
	}
	l.plan = true
}

// touch marks one of a job's records as to be written.
func (l *leader) touch(j *job, record int) {
	if j.gone {
		return
	}
	j.dirty[record] = true
	if !j.queued {
		j.queued, j.dirtySince = true, l.n.now
		l.dirty = append(l.dirty, j)
	}
}

// changed takes a change of a record that the watch saw.
func (l *leader) changed(ev *protocol.WatchEvent) {
	if tx := l.inFlight; tx != nil && ev.Set != "" && ev.Set == tx.probe && bookkeeping.Writer(ev.Value) == tx.writer {
		// The transaction under way is done, though its answer may be lost.
		l.committed(tx, ev.Stamp)
		return
	}
	if strings.HasPrefix(ev.Set, bookkeeping.MachinePrefix) {
		l.strayRack(ev)
		return
	}
	id, ok := strings.CutPrefix(ev.Set, bookkeeping.JobPrefix)
	if !ok {
		return
	}
	j := l.jobs[id]
	if j != nil && ev.Stamp <= j.revisions[0] {
		return
	}
	if j != nil && l.inFlight != nil && bookkeeping.Writer(ev.Value) == l.inFlight.writer {
		return // our own write, whose answer is on its way
	}
	rec, err := bookkeeping.DecodeJob(ev.Value)
	if err != nil {
		l.n.log.Error("job record does not parse", "key", ev.Set, "error", err)
		return
	}
	if j == nil {
		l.addJob(rec, ev.Stamp)
		l.settle(l.jobs[id])
		l.plan = true
		return
	}
	l.merge(j, rec, ev.Stamp)
}

// merge takes what a sibling may have written: a cancellation.
func (l *leader) merge(j *job, rec *bookkeeping.Job, stamp uint64) {
	j.revisions[0] = max(j.revisions[0], stamp)
	if rec.Cancelled {
		l.cancelJob(j)
	}
}

// cancelledElsewhere takes a sibling's word that a job's cancellation is in the
// records. What is written of the job before the watch shows that is refused, and
// read again.
func (l *leader) cancelledElsewhere(id string) {
	if j := l.jobs[id]; j != nil {
		l.cancelJob(j)
	}
}

func (l *leader) cancelJob(j *job) {
	if !j.cancelled {
		j.cancelled = true
		l.plan = true
		l.settle(j)
	}
}

func (l *leader) tick() {
	if !l.n.now.Before(l.watchAt) {
		l.watchAt = l.n.now.Add(tuning.WatchMachines)
		l.tickMachines()
		if l.n.lead != l {
			return
		}
		l.tickFleet()
	}
	if l.plan && !l.n.now.Before(l.planAt) || l.n.now.Sub(l.planAt) > tuning.PlanIdle {
		l.plan = false
		l.schedule()
		l.planAt = l.n.now.Add(l.planPause())
	}
	l.splitOutgrown()
	l.commitNext()
	l.sendDirect()
}
