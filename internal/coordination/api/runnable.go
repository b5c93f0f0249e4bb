package api

import (
	"slices"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// runnableCheck determines which jobs can never run.
type runnableCheck struct {
	cfg   *config.Config
	types map[protocol.MachineTypeName]*protocol.MachineType // known so far; New's caller adds more
}

// ready reports whether any machine types are known. Without them every job would look as if
// it could never run.
func (rc *runnableCheck) ready() bool { return len(rc.types) > 0 }

// unrunnableReason returns the reason why a job can never run, or "" if there is none.
func (rc *runnableCheck) unrunnableReason(spec *protocol.Job) string {
	if !storage.Storable(rc.cfg.Cluster.Store.ValueKB, spec) {
		return "its description is too long to be kept"
	}
	teams := rc.cfg.Cluster.Teams
	index := slices.IndexFunc(teams, func(team config.Team) bool { return team.Name == spec.Team })
	if index < 0 {
		return "unknown team"
	}
	if exceedsLimit(&teams[index], spec) {
		return "more than the team's limit"
	}
	zones := rc.allowedZones(spec)
	switch {
	case zones == 0:
		return "fits no allowed machine type"
	case spec.Gang() && spec.Spread && spec.Tasks > 1 && (spec.OneZone || zones < 2):
		return "its tasks may neither be in one zone nor in several"
	}
	return ""
}

// exceedsLimit reports whether a job needs more at one time than the limit of its team, even
// if no other job of the team is running.
func exceedsLimit(team *config.Team, spec *protocol.Job) bool {
	count := 1.0
	if spec.Gang() || spec.Service() { // all its tasks run at the same time
		count = float64(spec.Tasks)
	}
	return team.MaxGPUs > 0 && spec.GPUs*count > team.MaxGPUs+cluster.AmountTolerance ||
		team.MaxCPUs > 0 && spec.CPUs*count > team.MaxCPUs+cluster.AmountTolerance
}

// allowedZones returns the number of zones in which the job may run and which have a machine
// type that fits a task of the job.
func (rc *runnableCheck) allowedZones(spec *protocol.Job) int {
	allowed := map[protocol.ZoneName]bool{}
	for _, machineType := range rc.types {
		if !machineType.Fits(spec) {
			continue
		}
		for _, zone := range machineType.Zones {
			if spec.Zone == "" || spec.Zone == zone {
				allowed[zone] = true
			}
		}
	}
	return len(allowed)
}
