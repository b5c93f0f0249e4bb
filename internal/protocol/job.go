package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// MaxJobBytes is the largest description of a job, in bytes as JSON: it must leave
// room for tasks in a record of the store.
const MaxJobBytes = 2 << 10

// MaxTasks is the largest number of tasks a job may have.
const MaxTasks = 100_000

// Shape says how the tasks of a job belong together.
type Shape string

// Shapes of a job.
const (
	ShapeArray Shape = "array"
	ShapeGang  Shape = "gang"
	// ShapeService is a set of tasks, replicas, that run until their user cancels
	// them: one that ends for any other cause runs again.
	ShapeService Shape = "standing"
)

// Phase is the state of a job as users see it.
type Phase string

// Phases of a job as users see them.
const (
	PhasePending   Phase = "pending"
	PhaseRunning   Phase = "running"
	PhaseDone      Phase = "done"
	PhaseCancelled Phase = "withdrawn"
)

// Priority is a job's priority; a larger one goes first.
type Priority int

// The four priorities.
const (
	PriorityIdle Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityCritical
)

var priorityNames = []string{"idle", "normal", "high", "critical"}

// ParsePriority reads a priority's wire name.
func ParsePriority(s string) (Priority, bool) {
	for i, name := range priorityNames {
		if s == name {
			return Priority(i), true
		}
	}
	return 0, false
}

// Job is a submission.
type Job struct {
	ID                  JobID             `json:"uid"`
	Class               string            `json:"lane"`
	Team                TeamName          `json:"crew"`
	Shape               Shape             `json:"shape"`
	Priority            string            `json:"rank"`
	Tasks               int               `json:"pieces"`
	CPUs                float64           `json:"cpus"`
	GPUs                float64           `json:"gpus"`
	MemoryGB            float64           `json:"memory_gb"`
	Image               string            `json:"bundle"`
	ImageGB             float64           `json:"pull_gb"`
	Types               []MachineTypeName `json:"builds,omitempty"`
	Zone                ZoneName          `json:"yard,omitempty"`
	OneZone             bool              `json:"one_zone"`
	Spread              bool              `json:"scatter"`
	Spot                bool              `json:"loaners"`
	EstimateS           float64           `json:"expect_s"`
	CheckpointIntervalS float64           `json:"snapshot_s"`
	CheckpointSaveS     float64           `json:"flush_s"`
	DeadlineS           float64           `json:"due_s,omitempty"`
}

// Gang says whether all tasks run at the same time.
func (j *Job) Gang() bool { return j.Shape == ShapeGang }

// Service says whether the tasks run until the job is cancelled.
func (j *Job) Service() bool { return j.Shape == ShapeService }

// PriorityLevel is the job's priority as a number.
func (j *Job) PriorityLevel() Priority {
	r, _ := ParsePriority(j.Priority)
	return r
}

// jobWire mirrors Job with pointers, so that a missing field shows.
type jobWire struct {
	ID                  *string   `json:"uid"`
	Class               *string   `json:"lane"`
	Team                *string   `json:"crew"`
	Shape               *string   `json:"shape"`
	Priority            *string   `json:"rank"`
	Tasks               *uint64   `json:"pieces"`
	CPUs                *float64  `json:"cpus"`
	GPUs                *float64  `json:"gpus"`
	MemoryGB            *float64  `json:"memory_gb"`
	Image               *string   `json:"bundle"`
	ImageGB             *float64  `json:"pull_gb"`
	Types               []*string `json:"builds"`
	Zone                *string   `json:"yard"`
	OneZone             *bool     `json:"one_zone"`
	Spread              *bool     `json:"scatter"`
	Spot                *bool     `json:"loaners"`
	EstimateS           *float64  `json:"expect_s"`
	CheckpointIntervalS *float64  `json:"snapshot_s"`
	CheckpointSaveS     *float64  `json:"flush_s"`
	DeadlineS           *float64  `json:"due_s"`
}

// ValidJobID says whether id has the form of a job id: "run-" and digits.
func ValidJobID(id JobID) bool {
	digits, ok := strings.CutPrefix(string(id), "run-")
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

// maxNameBytes bounds the length of a name in a submission or report, in bytes.
const maxNameBytes = 200

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
	c := &jobChecker{}
	spec := c.jobFromWire(&w)
	if len(c.invalid) > 0 {
		return nil, fmt.Errorf("missing or invalid: %s", strings.Join(c.invalid, ", "))
	}
	if size, err := json.Marshal(spec); err != nil || len(size) > MaxJobBytes {
		return nil, fmt.Errorf("the description takes more than %d bytes", MaxJobBytes)
	}
	return spec, nil
}

// Keys of a submission's fields, by which a refusal names them.
const (
	keyID                  = "uid"
	keyClass               = "lane"
	keyTeam                = "crew"
	keyShape               = "shape"
	keyPriority            = "rank"
	keyTasks               = "pieces"
	keyCPUs                = "cpus"
	keyGPUs                = "gpus"
	keyMemoryGB            = "memory_gb"
	keyImage               = "bundle"
	keyImageGB             = "pull_gb"
	keyTypes               = "builds"
	keyZone                = "yard"
	keyOneZone             = "one_zone"
	keySpread              = "scatter"
	keySpot                = "loaners"
	keyEstimateS           = "expect_s"
	keyCheckpointIntervalS = "snapshot_s"
	keyCheckpointSaveS     = "flush_s"
	keyDeadlineS           = "due_s"
)

// jobChecker takes the fields of a submission and notes the wire names of those that
// are missing or invalid.
type jobChecker struct{ invalid []string }

// jobFromWire takes all fields.
func (c *jobChecker) jobFromWire(w *jobWire) *Job {
	spec := &Job{
		ID:                  JobID(c.text(keyID, w.ID)),
		Class:               c.text(keyClass, w.Class),
		Team:                TeamName(c.text(keyTeam, w.Team)),
		Shape:               Shape(c.text(keyShape, w.Shape)),
		Priority:            c.text(keyPriority, w.Priority),
		Image:               c.text(keyImage, w.Image),
		CPUs:                c.amount(keyCPUs, w.CPUs),
		GPUs:                c.amount(keyGPUs, w.GPUs),
		MemoryGB:            c.amount(keyMemoryGB, w.MemoryGB),
		ImageGB:             c.amount(keyImageGB, w.ImageGB),
		EstimateS:           c.amount(keyEstimateS, w.EstimateS),
		CheckpointIntervalS: c.amount(keyCheckpointIntervalS, w.CheckpointIntervalS),
		CheckpointSaveS:     c.amount(keyCheckpointSaveS, w.CheckpointSaveS),
		DeadlineS:           c.optionalAmount(keyDeadlineS, w.DeadlineS),
		OneZone:             c.flag(keyOneZone, w.OneZone),
		Spread:              c.flag(keySpread, w.Spread),
		Spot:                c.flag(keySpot, w.Spot),
	}
	c.check(keyID, ValidJobID(spec.ID))
	c.check(keyShape, slices.Contains([]Shape{ShapeArray, ShapeGang, ShapeService}, spec.Shape))
	_, known := ParsePriority(spec.Priority)
	c.check(keyPriority, known)
	spec.Tasks = c.tasks(w.Tasks)
	if w.Zone != nil {
		spec.Zone = ZoneName(c.text(keyZone, w.Zone))
	}
	spec.Types = c.types(w.Types)
	return spec
}

// check notes a field that is not sound.
func (c *jobChecker) check(name string, sound bool) {
	if !sound {
		c.invalid = append(c.invalid, name)
	}
}

func (c *jobChecker) text(name string, value *string) string {
	if value == nil || *value == "" || len(*value) > maxNameBytes {
		c.check(name, false)
		return ""
	}
	return *value
}

func (c *jobChecker) amount(name string, value *float64) float64 {
	if value == nil || *value < 0 || math.IsNaN(*value) || math.IsInf(*value, 0) {
		c.check(name, false)
		return 0
	}
	return *value
}

// optionalAmount takes an amount that may be missing.
func (c *jobChecker) optionalAmount(name string, value *float64) float64 {
	if value == nil {
		return 0
	}
	return c.amount(name, value)
}

func (c *jobChecker) flag(name string, value *bool) bool {
	c.check(name, value != nil)
	return value != nil && *value
}

func (c *jobChecker) tasks(value *uint64) int {
	if value == nil || *value == 0 || *value > MaxTasks {
		c.check(keyTasks, false)
		return 0
	}
	return int(*value)
}

// types takes the allowed machine types. An empty list allows no machine at all: it is
// not the same as null.
func (c *jobChecker) types(values []*string) []MachineTypeName {
	if values != nil && len(values) == 0 {
		return []MachineTypeName{noMachineType}
	}
	var list []MachineTypeName
	for _, t := range values {
		if t == nil || *t == "" || len(*t) > maxTypeNameBytes || len(values) > maxTypes {
			c.check(keyTypes, false)
			return nil
		}
		list = append(list, MachineTypeName(*t))
	}
	return list
}

// Limits of a job's machine types.
const (
	maxTypes         = 64 // names in the list
	maxTypeNameBytes = 64 // bytes of each
	// noMachineType is the name of no machine type.
	noMachineType = " "
)

// Status is what a user is told of a job.
type Status struct {
	ID      JobID `json:"uid"`
	Phase   Phase `json:"phase"`
	Done    int   `json:"done"`
	Running int   `json:"running"`
}

// Accepted is the short answer to a submission or a cancellation.
type Accepted struct {
	ID    JobID `json:"uid"`
	Phase Phase `json:"phase"`
}
