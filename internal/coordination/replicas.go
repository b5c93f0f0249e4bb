package coordination

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// The replicas of a service run until their user cancels it. They take what room
// there is, as the tasks of an array do, but no two of a service on one machine if
// there is a choice, and they leave GPUs the processors and memory that work on
// them needs.

// replicaEnded notes that a replica ended by itself. It starts again elsewhere at
// once; one that ends again and again does so ever more rarely. One that ran for a
// while is stable: neither it nor its machine is to blame.
func (l *leader) replicaEnded(attempt *cluster.Attempt) (stable bool) {
	task := &attempt.Job.Tasks[attempt.Key.Index]
	if !attempt.RunningSince.IsZero() && l.n.now.Sub(attempt.RunningSince) >= tuning.ReplicaStableTime {
		task.EarlyExits = 0
		return true
	}
	if task.EarlyExits > 0 {
		task.RetryAt = l.n.now.Add(tuning.ReplicaRestartBackoff << min(task.EarlyExits-1, tuning.MaxReplicaBackoffDoublings))
	}
	task.EarlyExits++
	return false
}
