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

// MaxJobBytes is the size of the largest job description, encoded as JSON. The description must
// leave room for tasks in the job's main record.
const MaxJobBytes = 2 << 10

// MaxTasks is the largest number of tasks of a job.
const MaxTasks = 100_000

// Shape says how the tasks of a job depend on each other.
type Shape string

// Shapes of a job.
const (
	// ShapeArray is a set of independent tasks.
	ShapeArray Shape = "array"
	// ShapeGang is a set of tasks that all run at the same time.
	ShapeGang Shape = "gang"
	// ShapeService is a set of tasks, called replicas, that run until their user cancels the
	// job. A replica that exits for any other reason is started again.
	ShapeService Shape = "standing"
)

// Phase is the state of a job that users see.
type Phase string

// Phases of a job.
const (
	PhasePending   Phase = "pending"
	PhaseRunning   Phase = "running"
	PhaseDone      Phase = "done"
	PhaseCancelled Phase = "withdrawn"
)

// Priority is a job's priority. A larger value takes precedence.
type Priority int

// Priorities, in ascending order.
const (
	PriorityIdle Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityCritical
)

var priorityNames = []string{"idle", "normal", "high", "critical"}

// ParsePriority returns the priority with the given wire name, and false if there is none.
func ParsePriority(s string) (Priority, bool) {
	for i, name := range priorityNames {
		if s == name {
			return Priority(i), true
		}
	}
	return 0, false
}

// Job is the description of a job that its user submits.
type Job struct {
	ID       JobID             `json:"uid"`
	Class    string            `json:"lane"`
	Team     TeamName          `json:"crew"`
	Shape    Shape             `json:"shape"`
	Priority string            `json:"rank"`
	Tasks    int               `json:"pieces"`
	CPUs     float64           `json:"cpus"`
	GPUs     float64           `json:"gpus"`
	MemoryGB float64           `json:"memory_gb"`
	Image    string            `json:"bundle"`
	ImageGB  float64           `json:"pull_gb"`
	Types    []MachineTypeName `json:"builds,omitempty"`
	Zone     ZoneName          `json:"yard,omitempty"`
	OneZone  bool              `json:"one_zone"`
	// Spread allows at most half of the tasks, rounded up, in one zone.
	Spread bool `json:"scatter"`
	// Spot allows spot machines.
	Spot                bool    `json:"loaners"`
	EstimateS           float64 `json:"expect_s"`
	CheckpointIntervalS float64 `json:"snapshot_s"`
	CheckpointSaveS     float64 `json:"flush_s"`
	DeadlineS           float64 `json:"due_s,omitempty"`
}

// Gang reports whether all tasks run at the same time.
func (j *Job) Gang() bool { return j.Shape == ShapeGang }

// Service reports whether the tasks run until the job is cancelled.
func (j *Job) Service() bool { return j.Shape == ShapeService }

// PriorityLevel returns the job's priority as a number.
func (j *Job) PriorityLevel() Priority {
	priority, _ := ParsePriority(j.Priority)
	return priority
}

// jobWire mirrors Job with pointers, to distinguish a missing field from a zero value.
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

// ValidJobID reports whether id has the form of a job ID: "run-" and 1 to 32 digits.
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

// maxNameBytes limits the length of a name in a submission or heartbeat.
const maxNameBytes = 200

// ParseJob decodes and validates a submission. Fields that may be null may also be missing. All
// other fields must be present and valid.
func ParseJob(body []byte) (*Job, error) {
	trimmed := bytes.TrimLeft(body, " \t\r\n")
	if len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, errors.New("not a JSON object")
	}
	var wire jobWire
	if err := Unmarshal(body, &wire); err != nil {
		return nil, fmt.Errorf("not valid JSON for a job: %w", err)
	}
	checker := &jobChecker{}
	spec := checker.jobFromWire(&wire)
	if len(checker.invalid) > 0 {
		return nil, fmt.Errorf("missing or invalid: %s", strings.Join(checker.invalid, ", "))
	}
	if encoded, err := json.Marshal(spec); err != nil || len(encoded) > MaxJobBytes {
		return nil, fmt.Errorf("the description takes more than %d bytes", MaxJobBytes)
	}
	return spec, nil
}

// Wire names of a submission's fields, as error messages list them.
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

// jobChecker validates the fields of a submission and collects the wire names of those that are
// missing or invalid.
type jobChecker struct{ invalid []string }

// jobFromWire validates all fields and returns them as a Job.
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

// check records the field as invalid unless valid is true.
func (c *jobChecker) check(key string, valid bool) {
	if !valid {
		c.invalid = append(c.invalid, key)
	}
}

func (c *jobChecker) text(key string, value *string) string {
	if value == nil || *value == "" || len(*value) > maxNameBytes {
		c.check(key, false)
		return ""
	}
	return *value
}

func (c *jobChecker) amount(key string, value *float64) float64 {
	if value == nil || *value < 0 || math.IsNaN(*value) || math.IsInf(*value, 0) {
		c.check(key, false)
		return 0
	}
	return *value
}

// optionalAmount validates an amount that may be missing and is then 0.
func (c *jobChecker) optionalAmount(key string, value *float64) float64 {
	if value == nil {
		return 0
	}
	return c.amount(key, value)
}

func (c *jobChecker) flag(key string, value *bool) bool {
	c.check(key, value != nil)
	return value != nil && *value
}

func (c *jobChecker) tasks(value *uint64) int {
	if value == nil || *value == 0 || *value > MaxTasks {
		c.check(keyTasks, false)
		return 0
	}
	return int(*value)
}

// types validates the allowed machine types. Null allows every type, but an empty list allows none.
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
	maxTypeNameBytes = 64
	// noMachineType is a name that no machine type has. It stands for an empty list of types.
	noMachineType = " "
)

// Status is the response to a query about a job.
type Status struct {
	ID      JobID `json:"uid"`
	Phase   Phase `json:"phase"`
	Done    int   `json:"done"`
	Running int   `json:"running"`
}

// Accepted is the response to a submission or cancellation.
type Accepted struct {
	ID    JobID `json:"uid"`
	Phase Phase `json:"phase"`
}
