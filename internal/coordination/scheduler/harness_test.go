package scheduler

import (
	"log/slog"
	"testing"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/clustertest"
)

// harness is a scheduler over a cluster that the test builds.
type harness struct {
	*Scheduler
	cluster     *clustertest.Cluster
	environment *clustertest.Environment
}

// newHarness makes a scheduler of a cluster without machines and jobs.
func newHarness() *harness {
	c := clustertest.New()
	environment := clustertest.NewEnvironment(c)
	return &harness{Scheduler: New(c.State, environment, slog.New(slog.DiscardHandler)), cluster: c, environment: environment}
}

// checkStopping checks how many attempts of a job are to end.
func checkStopping(t *testing.T, job *cluster.Job, want int) {
	t.Helper()
	if got := clustertest.Stopping(job); got != want {
		t.Errorf("%d tasks are preempted, want %d", got, want)
	}
}
