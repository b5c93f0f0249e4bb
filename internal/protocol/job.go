package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
)

// MaxSpec is the largest description of a job, in bytes as JSON: it must leave
// room for tasks in a record of the state service.
const MaxSpec = 2 << 10

// MaxTasks is the largest number of tasks a job may have.
const MaxTasks = 100_000

// Shapes of a job.
const (
	ShapeArray = "array"
	ShapeGang  = "gang"
	// ShapeService is a set of tasks, replicas, that run until their user cancels
	// them: one that ends for any other cause runs again.
	ShapeService = "standing"
)

// Phases of a job as users see them.
const (
	PhasePending   = "pending"
	PhaseRunning   = "running"
	PhaseDone      = "done"
	PhaseCancelled = "withdrawn"
)

// Rank is a job's priority; a larger one goes first.
type Rank int

// The four priorities.
const (
	RankIdle Rank = iota
	RankNormal
	RankHigh
	RankCritical
)

var rankNames = []string{"idle", "normal", "high", "critical"}

// ParseRank reads a priority's wire name.
func ParseRank(s string) (Rank, bool) {
	for i, name := range rankNames {
		if s == name {
			return Rank(i), true
		}
	}
	return 0, false
}

// Job is a submission.
type Job struct {
	ID          string   `json:"uid"`
	Class       string   `json:"lane"`
	Team        string   `json:"crew"`
	Shape       string   `json:"shape"`
	Priority    string   `json:"rank"`
	Tasks       int      `json:"pieces"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"gpus"`
	MemoryGB    float64  `json:"memory_gb"`
	Image       string   `json:"bundle"`
	ImageGB     float64  `json:"pull_gb"`
	Types       []string `json:"builds,omitempty"`
	Zone        string   `json:"yard,omitempty"`
	OneZone     bool     `json:"one_zone"`
	Spread      bool     `json:"scatter"`
	Spot        bool     `json:"loaners"`
	EstimateS   float64  `json:"expect_s"`
	CheckpointS float64  `json:"snapshot_s"`
	SaveS       float64  `json:"flush_s"`
	DeadlineS   float64  `json:"due_s,omitempty"`
}

// Gang says whether all tasks run at the same time.
func (j *Job) Gang() bool { return j.Shape == ShapeGang }

// Service says whether the tasks run until the job is cancelled.
func (j *Job) Service() bool { return j.Shape == ShapeService }

// Rank is the job's priority as a number.
func (j *Job) Rank() Rank {
	r, _ := ParseRank(j.Priority)
	return r
}

// jobWire mirrors Job with pointers, so that a missing field shows.
type jobWire struct {
	ID          *string   `json:"uid"`
	Class       *string   `json:"lane"`
	Team        *string   `json:"crew"`
	Shape       *string   `json:"shape"`
	Priority    *string   `json:"rank"`
	Tasks       *uint64   `json:"pieces"`
	CPUs        *float64  `json:"cpus"`
	GPUs        *float64  `json:"gpus"`
	MemoryGB    *float64  `json:"memory_gb"`
	Image       *string   `json:"bundle"`
	ImageGB     *float64  `json:"pull_gb"`
	Types       []*string `json:"builds"`
	Zone        *string   `json:"yard"`
	OneZone     *bool     `json:"one_zone"`
	Spread      *bool     `json:"scatter"`
	Spot        *bool     `json:"loaners"`
	EstimateS   *float64  `json:"expect_s"`
	CheckpointS *float64  `json:"snapshot_s"`
	SaveS       *float64  `json:"flush_s"`
	DeadlineS   *float64  `json:"due_s"`
}

// ValidID says whether s has the form of a job id: "run-" and digits.
func ValidID(s string) bool {
	digits, ok := strings.CutPrefix(s, "run-")
	if !ok || len(digits) == 0 || len(digits) > 32 {
		return false
	}
	for i := 0; i < len(digits); i++ {
		if digits[i] < '0' || digits[i] > '9' {
			return false
		}
	}
	return true
}

// maxName bounds the length of a name in a submission or report, in bytes.
const maxName = 200

// ParseJob decodes and validates a submission. Fields that may be null may
// also be missing; everything else must be there and sound.
func ParseJob(body []byte) (*Job, error) {
	trimmed := bytes.TrimLeft(body, " \t\r\n")
	if len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, errors.New("not a JSON object")
	}
	var w jobWire
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, fmt.Errorf("not valid JSON for a job: %w", err)
	}
	var j Job
	var bad []string
	str := func(name string, from *string, to *string) {
		if from == nil || *from == "" || len(*from) > maxName {
			bad = append(bad, name)
			return
		}
		*to = *from
	}
	num := func(name string, from *float64, to *float64, required bool) {
		if from == nil {
			if required {
				bad = append(bad, name)
			}
			return
		}
		if *from < 0 || math.IsNaN(*from) || math.IsInf(*from, 0) {
			bad = append(bad, name)
			return
		}
		*to = *from
	}
	flag := func(name string, from *bool, to *bool) {
		if from == nil {
			bad = append(bad, name)
			return
		}
		*to = *from
	}
	str("uid", w.ID, &j.ID)
	str("lane", w.Class, &j.Class)
	str("crew", w.Team, &j.Team)
	str("shape", w.Shape, &j.Shape)
	str("rank", w.Priority, &j.Priority)
	str("bundle", w.Image, &j.Image)
	num("cpus", w.CPUs, &j.CPUs, true)
	num("gpus", w.GPUs, &j.GPUs, true)
	num("memory_gb", w.MemoryGB, &j.MemoryGB, true)
	num("pull_gb", w.ImageGB, &j.ImageGB, true)
	num("expect_s", w.EstimateS, &j.EstimateS, true)
	num("snapshot_s", w.CheckpointS, &j.CheckpointS, true)
	num("flush_s", w.SaveS, &j.SaveS, true)
	num("due_s", w.DeadlineS, &j.DeadlineS, false)
	flag("one_zone", w.OneZone, &j.OneZone)
	flag("scatter", w.Spread, &j.Spread)
	flag("loaners", w.Spot, &j.Spot)
	if !ValidID(j.ID) {
		bad = append(bad, "uid")
	}
	if j.Shape != ShapeArray && j.Shape != ShapeGang && j.Shape != ShapeService {
		bad = append(bad, "shape")
	}
	if _, ok := ParseRank(j.Priority); !ok {
		bad = append(bad, "rank")
	}
	if w.Tasks == nil || *w.Tasks == 0 || *w.Tasks > MaxTasks {
		bad = append(bad, "pieces")
	} else {
		j.Tasks = int(*w.Tasks)
	}
	if w.Zone != nil {
		str("yard", w.Zone, &j.Zone)
	}
	if len(w.Types) > 64 {
		bad = append(bad, "builds")
	} else {
		for _, t := range w.Types {
			if t == nil || *t == "" || len(*t) > 64 {
				bad = append(bad, "builds")
				break
			}
			j.Types = append(j.Types, *t)
		}
	}
	if w.Types != nil && len(w.Types) == 0 {
		// An empty list allows no machine at all: it is not the same as null.
		j.Types = []string{" "}
	}
	if size, err := json.Marshal(&j); len(bad) == 0 && (err != nil || len(size) > MaxSpec) {
		return nil, fmt.Errorf("the description takes more than %d bytes", MaxSpec)
	}
	if len(bad) > 0 {
		return nil, fmt.Errorf("missing or invalid: %s", strings.Join(bad, ", "))
	}
	return &j, nil
}

// Status is what a user is told of a job.
type Status struct {
	ID      string `json:"uid"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Accepted is the short answer to a submission or a cancellation.
type Accepted struct {
	ID    string `json:"uid"`
	Phase string `json:"phase"`
}
