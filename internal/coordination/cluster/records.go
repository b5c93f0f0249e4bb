package cluster

import (
	"slices"

	"github.com/gappond/gappond/internal/protocol"
)

// RecordLayout says which of a job's stored records holds which tasks. Every record has a
// fixed number of tasks; one that has outgrown the store's limits is split, as a node of
// a B-tree is: what it gives away is in a further record, an extra part, which names its
// tasks.
type RecordLayout struct {
	TasksPerRecord int
	Revisions      []protocol.Revision // of every record, the first is the job's own
	MovedTasks     map[int]int         // tasks that are not in the record that their index says
	ExtraParts     [][]int             // the tasks of the extra parts
	// UnnamedParts are extra parts that the job's own record does not name yet, and the records
	// that they were split from; Staged are those of them that are written as they
	// should be.
	UnnamedParts map[int]int
	StagedParts  map[int]bool
	// AbandonedParts are extra parts that a predecessor staged and never named, with their revisions.
	AbandonedParts map[int]protocol.Revision
	Splitting      bool // the split takes several transactions: nothing is placed meanwhile
	Quarantined    bool // a record cannot be read, or cannot be brought under the limits
	SpecBytes      int  // of the specification in the first record
}

// BaseRecords is the number of records without the extra parts.
func (j *Job) BaseRecords() int { return len(j.Records.Revisions) - len(j.Records.ExtraParts) }

// RecordOf is the record that a task is in.
func (j *Job) RecordOf(index int) int {
	if r, ok := j.Records.MovedTasks[index]; ok {
		return r
	}
	return index / j.Records.TasksPerRecord
}

// TasksOf lists a record's tasks in order.
func (j *Job) TasksOf(r int) []int {
	if r >= j.BaseRecords() {
		return j.Records.ExtraParts[r-j.BaseRecords()]
	}
	tasks := make([]int, 0, j.Records.TasksPerRecord)
	end := min((r+1)*j.Records.TasksPerRecord, len(j.Tasks))
	for index := r * j.Records.TasksPerRecord; index < end; index++ {
		if len(j.Records.MovedTasks) > 0 && j.RecordOf(index) != r {
			continue
		}
		tasks = append(tasks, index)
	}
	return tasks
}

// MoveTask puts a task into an extra part.
func (j *Job) MoveTask(index, r int) {
	if old, ok := j.Records.MovedTasks[index]; ok {
		if old == r {
			return
		}
		list := &j.Records.ExtraParts[old-j.BaseRecords()]
		*list = slices.DeleteFunc(*list, func(i int) bool { return i == index })
	}
	if j.Records.MovedTasks == nil {
		j.Records.MovedTasks = map[int]int{}
	}
	j.Records.MovedTasks[index] = r
	list := &j.Records.ExtraParts[r-j.BaseRecords()]
	at, _ := slices.BinarySearch(*list, index)
	*list = slices.Insert(*list, at, index)
}

// SplitRecord gives half of a record's tasks to a new extra part, whose number it returns.
func (j *Job) SplitRecord(r int) (part int) {
	list := slices.Clone(j.TasksOf(r))
	part = len(j.Records.Revisions)
	j.Records.Revisions = append(j.Records.Revisions, j.Records.AbandonedParts[part])
	j.Records.ExtraParts = append(j.Records.ExtraParts, nil)
	for _, i := range list[(len(list)+1)/2:] {
		j.MoveTask(i, part)
	}
	if j.Records.UnnamedParts == nil {
		j.Records.UnnamedParts = map[int]int{}
	}
	j.Records.UnnamedParts[part] = r
	return part
}
