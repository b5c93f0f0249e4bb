package config

import "slices"

// Objective is an aim for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"` // of a job's own deadline
}

// Kinds of objectives. A job's turn depends on all but the guarantee, which the
// teams' settings express.
const (
	ObjectiveWait      = "wait"
	ObjectiveFinished  = "finished"
	ObjectiveDeadline  = "deadline"
	ObjectiveGuarantee = "guarantee"
	// ObjectiveUp asks for a share of the time of a service's replicas, from a while
	// after its submission on.
	ObjectiveUp = "up"
)

var knownObjectiveKinds = []string{ObjectiveWait, ObjectiveFinished, ObjectiveDeadline, ObjectiveGuarantee, ObjectiveUp}

// UnknownObjectives lists the kinds of objectives that this version does not know and
// ignores, each once.
func (c *Cluster) UnknownObjectives() []string {
	var kinds []string
	for _, o := range c.Objectives {
		if !slices.Contains(knownObjectiveKinds, o.Kind) && !slices.Contains(kinds, o.Kind) {
			kinds = append(kinds, o.Kind)
		}
	}
	return kinds
}
