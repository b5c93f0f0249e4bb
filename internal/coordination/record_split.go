package coordination

import (
	"slices"

	"github.com/gappond/gappond/internal/bookkeeping"
	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// A job's tasks are in records of a fixed number of tasks, its chunk. When the
// state service's limits are lowered, a record may have outgrown them: it is split,
// as a node of a B-tree is, before it is next written. What it gives away is in a
// further record, whose tasks are named in it; both and the job's own record, which
// has the number of all, are written by one guarded transaction.

// baseRecords is the number of records that the chunk says.
func (j *job) baseRecords() int { return len(j.revisions) - len(j.extraParts) }

// recordOf is the record that a task is in.
func (j *job) recordOf(index int) int {
	if r, ok := j.moved[index]; ok {
		return r
	}
	return index / j.chunk
}

// tasksOf lists a record's tasks in order.
func (j *job) tasksOf(r int) []int {
	if r >= j.baseRecords() {
		return j.extraParts[r-j.baseRecords()]
	}
	list := make([]int, 0, j.chunk)
	for i := r * j.chunk; i < min((r+1)*j.chunk, len(j.tasks)); i++ {
		if len(j.moved) > 0 && j.recordOf(i) != r {
			continue
		}
		list = append(list, i)
	}
	return list
}

// move puts a task into a further record.
func (j *job) move(index, r int) {
	if old, ok := j.moved[index]; ok {
		if old == r {
			return
		}
		list := &j.extraParts[old-j.baseRecords()]
		*list = slices.DeleteFunc(*list, func(i int) bool { return i == index })
	}
	if j.moved == nil {
		j.moved = map[int]int{}
	}
	j.moved[index] = r
	list := &j.extraParts[r-j.baseRecords()]
	at, _ := slices.BinarySearch(*list, index)
	*list = slices.Insert(*list, at, index)
}

// split gives half of a record's tasks to a new one.
func (j *job) split(r int) (part int) {
	list := slices.Clone(j.tasksOf(r))
	part = len(j.revisions)
	j.revisions = append(j.revisions, 0)
	j.extraParts = append(j.extraParts, nil)
	for _, i := range list[(len(list)+1)/2:] {
		j.move(i, part)
	}
	if j.newParts == nil {
		j.newParts = map[int]int{}
	}
	j.newParts[part] = r
	return part
}

// maySplit says whether records may be written that version 0.2 does not
// read whole, because all controllers know them, or because the state service has
// lowered its limits, which it does only then. Until then its present limits hold.
func (l *leader) maySplit() bool {
	return l.n.limitsLowered || l.n.allKnow(protocol.PeerKnowsCancelled)
}

// limits are those that a record must keep within now.
func (l *leader) limits() config.State {
	if l.maySplit() {
		return l.n.cfg.Cluster.State
	}
	return l.n.cfg.Cluster.StateNow()
}

// outgrown says whether a record must be split before it is written.
func (l *leader) outgrown(j *job, r int, limits config.State) bool {
	list := j.tasksOf(r)
	if len(list) < 2 {
		return false
	}
	if j.spec.Gang() && len(list) > bookkeeping.GangRecordTasks(limits.TxnOps) {
		return true
	}
	room := int(limits.ValueKB * 1024)
	if r == 0 {
		if j.specSize == 0 {
			j.specSize = len(bookkeeping.Encode(j.spec))
		}
		room -= j.specSize
	}
	if len(list)*tuning.TaskBytes+tuning.HeaderBytes <= room {
		return false // with entries of any size
	}
	tasks, _ := j.record(r)
	return len(bookkeeping.Encode(tasks))+tuning.HeaderBytes > room
}

// splitRecords lists the records of a job that must be written together because one
// of them is being split, the job's own last; nil if none is.
func (l *leader) splitRecords(j *job) []int {
	limits := l.limits()
	if len(j.newParts) == 0 && l.maySplit() {
		var dirty []int
		for r := range j.dirty {
			dirty = append(dirty, r)
		}
		slices.Sort(dirty)
		for _, r := range dirty {
			if l.outgrown(j, r, limits) {
				l.splitUp(j, r, limits)
				break
			}
		}
	}
	if len(j.newParts) == 0 {
		return nil
	}
	// The job's own record, which is always written, may have outgrown them too.
	if _, splits := j.newParts[0]; !splits && l.outgrown(j, 0, limits) {
		l.splitUp(j, 0, limits)
	}
	var list []int
	for part, source := range j.newParts {
		list = append(list, part, source)
	}
	slices.Sort(list)
	list = slices.Compact(list)
	return append(slices.DeleteFunc(list, func(r int) bool { return r == 0 }), 0)
}

// splitUp splits a record until every part keeps within the limits, as far as one
// transaction can write them. Of a gang's parts the rest may be split in the next.
func (l *leader) splitUp(j *job, r int, limits config.State) {
	open := []int{r}
	for len(open) > 0 && len(j.newParts) < limits.TxnOps-2 {
		r := open[0]
		open = open[1:]
		if l.outgrown(j, r, limits) {
			open = append(open, r, j.split(r))
		}
	}
	l.n.log.Info("record split", "job", j.id, "record", r, "records", len(j.revisions))
}

// splitFirst says whether a gang has a record that must be split before its places
// are written, and sees to it.
func (l *leader) splitFirst(j *job) bool {
	if !l.maySplit() || j.chunk <= bookkeeping.GangRecordTasks(l.n.cfg.Cluster.State.TxnOps) {
		return false
	}
	first := len(j.newParts) > 0
	for r := range j.revisions {
		if l.outgrown(j, r, l.n.cfg.Cluster.State) {
			l.touch(j, r)
			first = true
		}
	}
	return first
}

// splitOutgrown has all records that have outgrown the limits split, once they may be:
// nobody knows when the limits are lowered, and a peer that marks a job as
// cancelled writes its first record as it is.
func (l *leader) splitOutgrown() {
	if l.splitSearched || !l.maySplit() {
		return
	}
	l.splitSearched = true
	for _, j := range l.ordered() {
		for r := range j.revisions {
			if l.outgrown(j, r, l.n.cfg.Cluster.State) {
				l.touch(j, r)
			}
		}
	}
}
