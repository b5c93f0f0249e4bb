package cluster

import (
	"slices"

	"github.com/gappond/gappond/internal/protocol"
)

// RecordLayout maps a job's tasks to its stored records. Every base record holds a fixed
// number of consecutive tasks. An oversized record is split like a node of a B-tree: some of
// its tasks move to an additional record, an extra part, which lists its tasks.
type RecordLayout struct {
	TasksPerRecord int                 // of a base record
	Revisions      []protocol.Revision // of every record; index 0 is the main record
	MovedTasks     map[int]int         // extra part of each task that is not in its base record
	ExtraParts     [][]int             // tasks of each extra part, in order
	// UnreferencedParts maps extra parts to the records that they were split from. It holds the
	// parts that the stored main record does not count in TotalRecords yet.
	// StagedParts are those of them that are already written with their current content.
	UnreferencedParts map[int]int
	StagedParts       map[int]bool
	// AbandonedParts are the extra parts that a previous leader staged without completing the
	// split, with their revisions.
	AbandonedParts map[int]protocol.Revision
	Splitting      bool // a split takes several transactions; no task of the job is placed meanwhile
	Quarantined    bool // a record cannot be read, or cannot be brought within the store's limits
	SpecBytes      int  // size of the specification in the main record, 0 if not computed yet
}

// BaseRecords returns the number of records that are not extra parts.
func (j *Job) BaseRecords() int { return len(j.Records.Revisions) - len(j.Records.ExtraParts) }

// RecordOf returns the number of the record that holds a task.
func (j *Job) RecordOf(index int) int {
	if record, ok := j.Records.MovedTasks[index]; ok {
		return record
	}
	return index / j.Records.TasksPerRecord
}

// TasksOf returns the indexes of a record's tasks in order.
func (j *Job) TasksOf(record int) []int {
	if record >= j.BaseRecords() {
		return j.Records.ExtraParts[record-j.BaseRecords()]
	}
	tasks := make([]int, 0, j.Records.TasksPerRecord)
	end := min((record+1)*j.Records.TasksPerRecord, len(j.Tasks))
	for index := record * j.Records.TasksPerRecord; index < end; index++ {
		if len(j.Records.MovedTasks) > 0 && j.RecordOf(index) != record {
			continue
		}
		tasks = append(tasks, index)
	}
	return tasks
}

// MoveTask moves a task to an extra part.
func (j *Job) MoveTask(index, record int) {
	if old, ok := j.Records.MovedTasks[index]; ok {
		if old == record {
			return
		}
		list := &j.Records.ExtraParts[old-j.BaseRecords()]
		*list = slices.DeleteFunc(*list, func(i int) bool { return i == index })
	}
	if j.Records.MovedTasks == nil {
		j.Records.MovedTasks = map[int]int{}
	}
	j.Records.MovedTasks[index] = record
	list := &j.Records.ExtraParts[record-j.BaseRecords()]
	at, _ := slices.BinarySearch(*list, index)
	*list = slices.Insert(*list, at, index)
}

// SplitRecord moves the second half of a record's tasks to a new extra part and returns the
// number of that part.
func (j *Job) SplitRecord(record int) (part int) {
	list := slices.Clone(j.TasksOf(record))
	part = len(j.Records.Revisions)
	j.Records.Revisions = append(j.Records.Revisions, j.Records.AbandonedParts[part])
	j.Records.ExtraParts = append(j.Records.ExtraParts, nil)
	for _, i := range list[(len(list)+1)/2:] {
		j.MoveTask(i, part)
	}
	if j.Records.UnreferencedParts == nil {
		j.Records.UnreferencedParts = map[int]int{}
	}
	j.Records.UnreferencedParts[part] = record
	return part
}
