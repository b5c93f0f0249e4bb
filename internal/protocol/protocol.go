// Package protocol holds the messages that gappond exchanges with users,
// workers, the cloud, the state service and its own siblings: their wire
// names, their validation and their encodings. It does no I/O. Wire names
// appear here and nowhere else; the rest of the program uses the field's
// ordinary terms.
package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// MaxBody is the largest request body that any interface accepts, in bytes.
const MaxBody = 64 << 10

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

// States of a task on a worker.
const (
	TaskFetching = "fetching"
	TaskWaiting  = "waiting"
	TaskRunning  = "running"
	TaskSaving   = "saving"
	TaskExited   = "exited"
)

// Causes of a task's exit.
const (
	CauseDone    = "done"
	CauseStopped = "stopped"
	CausePeers   = "mates_gone"
	CauseAlone   = "alone"
	CauseError   = "error"
	CauseNoRoom  = "full"
	CauseBusy    = "in_use"
	CauseUnknown = "no_such"
)

// Verbs of a worker's commands.
const (
	OpStart  = "start"
	OpStop   = "halt"
	OpForget = "reap"
)

// Phases of a machine in the cloud's list.
const (
	MachineBooting = "starting"
	MachineRunning = "running"
	MachineFailed  = "failed"
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

// ErrorBody is the body of every refusal.
type ErrorBody struct {
	Error string `json:"error"`
}

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	State   string `json:"phase"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"kept,omitempty"`
}

// Report is a worker's report.
type Report struct {
	Machine string       `json:"berth"`
	Address string       `json:"address"`
	Type    string       `json:"build"`
	Zone    string       `json:"yard"`
	Spot    bool         `json:"loaners"`
	Session uint64       `json:"tenure"`
	Seq     uint64       `json:"tally"`
	Token   uint64       `json:"warrant"`
	NoticeS *float64     `json:"recall_s"`
	Tasks   []TaskReport `json:"pieces"`
}

// Newer says whether r is a newer message than (session, seq).
func (r *Report) Newer(session, seq uint64) bool {
	return r.Session > session || r.Session == session && r.Seq > seq
}

// ParseReport decodes and validates a worker's report.
func ParseReport(body []byte) (*Report, error) {
	var r Report
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("not valid JSON for a report: %w", err)
	}
	if r.Machine == "" || len(r.Machine) > maxName || strings.ContainsAny(r.Machine, " /") || r.Session == 0 {
		return nil, errors.New("a report needs a machine's name and a session")
	}
	return &r, nil
}

// SplitTask takes a task's name, such as run-000412/3, apart.
func SplitTask(name string) (job string, index int, ok bool) {
	job, rest, ok := strings.Cut(name, "/")
	if !ok || !ValidID(job) {
		return "", 0, false
	}
	index, err := strconv.Atoi(rest)
	if err != nil || index < 0 || index >= MaxTasks {
		return "", 0, false
	}
	return job, index, true
}

// TaskName is the name of a job's task.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// Command is one order to a worker.
type Command struct {
	Op      string  `json:"verb"`
	Task    string  `json:"piece"`
	Attempt uint64  `json:"try"`
	GraceS  float64 `json:"leeway_s,omitempty"`
}

// MarshalJSON writes the grace for a stop even when it is zero.
func (c Command) MarshalJSON() ([]byte, error) {
	b := make([]byte, 0, 80)
	b = append(b, `{"verb":"`...)
	b = append(b, c.Op...)
	b = append(b, `","piece":`...)
	b = strconv.AppendQuote(b, c.Task)
	b = append(b, `,"try":`...)
	b = strconv.AppendUint(b, c.Attempt, 10)
	if c.Op == OpStop {
		b = append(b, `,"leeway_s":`...)
		b = strconv.AppendFloat(b, c.GraceS, 'f', -1, 64)
	}
	return append(b, '}'), nil
}

// ReportAnswer is the answer to a report that was taken.
type ReportAnswer struct {
	Token    uint64    `json:"warrant"`
	Commands []Command `json:"orders"`
}

// Redirect sends a worker to another node.
type Redirect struct {
	ReportTo string `json:"steward,omitempty"`
}

// Orders is a direct command to a worker.
type Orders struct {
	Token    uint64    `json:"warrant"`
	Session  uint64    `json:"tenure"`
	Commands []Command `json:"orders"`
}

// MachineType is one entry of the cloud's price list.
type MachineType struct {
	Name        string   `json:"label"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"gpus"`
	MemoryGB    float64  `json:"memory_gb"`
	CacheGB     float64  `json:"cache_gb"`
	FetchGBPerS float64  `json:"fetch_gb_per_s"`
	Price       float64  `json:"hourly"`
	SpotPrice   float64  `json:"low_price"`
	BootS       float64  `json:"startup_s"`
	Zones       []string `json:"yards"`
}

// Fits says whether one task of the job fits an empty machine of this type,
// the job's wishes for type and zone included.
func (t *MachineType) Fits(j *Job) bool {
	if j.CPUs > t.CPUs || j.GPUs > t.GPUs || j.MemoryGB > t.MemoryGB {
		return false
	}
	if !Allowed(j.Types, t.Name) {
		return false
	}
	if j.Zone == "" {
		return true
	}
	for _, z := range t.Zones {
		if z == j.Zone {
			return true
		}
	}
	return false
}

// Allowed says whether a list of types, empty for any, has this one.
func Allowed(types []string, name string) bool {
	if len(types) == 0 {
		return true
	}
	for _, t := range types {
		if t == name {
			return true
		}
	}
	return false
}

// NoCapacity is the error of a rental that nothing is left for.
const NoCapacity = "no capacity"

// MachineTypes is the cloud's price list.
type MachineTypes struct {
	Types []MachineType `json:"builds"`
}

// Rental asks the cloud for machines.
type Rental struct {
	Request string `json:"hire"`
	Type    string `json:"build"`
	Zone    string `json:"yard"`
	Spot    bool   `json:"loaners"`
	Count   int    `json:"count"`
}

// MachineNames lists machines by name.
type MachineNames struct {
	Machines []string `json:"berths"`
}

// Machine is an entry of the cloud's machine list.
type Machine struct {
	ID      string  `json:"uid"`
	Address string  `json:"address"`
	Type    string  `json:"build"`
	Zone    string  `json:"yard"`
	Spot    bool    `json:"loaners"`
	Phase   string  `json:"phase"`
	AgeS    float64 `json:"age_s"`
}

// MachineList is a page of the cloud's machine list.
type MachineList struct {
	Machines []Machine `json:"berths"`
	More     bool      `json:"truncated"`
}

// Entry is a key of the state service. Stamp is the revision of its last
// change.
type Entry struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"data"`
	Stamp uint64          `json:"stamp"`
	Lease uint64          `json:"permit,omitempty"`
}

// Entries is a page of keys.
type Entries struct {
	Items    []Entry `json:"entries"`
	More     bool    `json:"truncated"`
	Revision uint64  `json:"ledger"`
}

// Condition demands that a key's last change is the given revision; 0: the
// key does not exist.
type Condition struct {
	Key   string `json:"k"`
	Stamp uint64 `json:"stamp"`
}

// Change writes or deletes a key.
type Change struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Txn is an atomic transaction.
type Txn struct {
	If   []Condition `json:"if"`
	Then []Change    `json:"apply,omitempty"`
}

// TxnAnswer is the answer to a transaction, done or refused.
type TxnAnswer struct {
	Revision uint64   `json:"ledger"`
	Failed   []string `json:"failed"`
}

// LeaseRequest asks for a lease; LeaseAnswer names it.
type LeaseRequest struct {
	TTLMs int64 `json:"ttl_ms"`
}

// LeaseAnswer names a new lease.
type LeaseAnswer struct {
	Lease uint64 `json:"permit"`
}

// WatchEvent is one change that a watch saw.
type WatchEvent struct {
	Set    string          `json:"set"`
	Value  json.RawMessage `json:"data"`
	Delete string          `json:"delete"`
	Stamp  uint64          `json:"stamp"`
}

// WatchAnswer is what a watch returns.
type WatchAnswer struct {
	Revision uint64       `json:"ledger"`
	Events   []WatchEvent `json:"news"`
}
