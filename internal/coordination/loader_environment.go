package coordination

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// loaderEnvironment implements loader.Environment.
type loaderEnvironment struct{ leaderEnvironment }

// JobLoaded implements loader.Environment.
func (le loaderEnvironment) JobLoaded(spec *protocol.Job) { le.l.autoscaler.JobSubmitted(spec) }

// CheckEnded implements loader.Environment.
func (le loaderEnvironment) CheckEnded(job *cluster.Job) { le.l.lifecycle.CheckEnded(job) }

// CancelJob implements loader.Environment.
func (le loaderEnvironment) CancelJob(job *cluster.Job) { le.l.cancelJob(job) }

// DropUncommitted implements loader.Environment.
func (le loaderEnvironment) DropUncommitted(job *cluster.Job) { le.l.dropUncommitted(job) }
