package config

import "slices"

// Objective is a service-level objective for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"` // multiple of the job's own deadline
}

// Kinds of objectives. All but the guarantee affect a job's position in the queue. The
// guarantee is expressed by the teams' settings.
const (
	ObjectiveWait      = "wait"     // to start within WithinS of the submission
	ObjectiveFinished  = "finished" // to be done within WithinS of the submission
	ObjectiveDeadline  = "deadline" // to be done within Times the job's own deadline
	ObjectiveGuarantee = "guarantee"
	// ObjectiveUp requires a service's replicas to run for a share of the time, counted from
	// WithinS after the submission.
	ObjectiveUp = "up"
)

var knownObjectiveKinds = []string{ObjectiveWait, ObjectiveFinished, ObjectiveDeadline, ObjectiveGuarantee, ObjectiveUp}

// UnknownObjectives returns the kinds of objectives that this version does not know and
// therefore ignores, without duplicates.
func (c *Cluster) UnknownObjectives() []string {
	var kinds []string
	for _, o := range c.Objectives {
		if !slices.Contains(knownObjectiveKinds, o.Kind) && !slices.Contains(kinds, o.Kind) {
			kinds = append(kinds, o.Kind)
		}
	}
	return kinds
}
