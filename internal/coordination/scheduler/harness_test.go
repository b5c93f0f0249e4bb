package scheduler

import (
	"log/slog"
	"testing"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/clustertest"
)

// harness is a scheduler for a cluster that the test builds.
type harness struct {
	*Scheduler
	cluster     *clustertest.Cluster
	environment *clustertest.Environment
}

// newHarness returns a scheduler for a cluster without machines and jobs.
func newHarness() *harness {
	c := clustertest.New()
	environment := clustertest.NewEnvironment(c)
	return &harness{Scheduler: New(c.State, environment, slog.New(slog.DiscardHandler)), cluster: c, environment: environment}
}

// checkStopping checks how many attempts of a job are stopping.
func checkStopping(t *testing.T, job *cluster.Job, want int) {
	t.Helper()
	if got := clustertest.Stopping(job); got != want {
		t.Errorf("%d attempts are stopping, want %d", got, want)
	}
}
