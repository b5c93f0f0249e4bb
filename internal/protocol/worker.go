package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// TaskState is the state of a task on a worker.
type TaskState string

// States of a task on a worker.
const (
	TaskFetching TaskState = "fetching"
	TaskWaiting  TaskState = "waiting"
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving"
	TaskExited   TaskState = "exited"
)

// Cause says why a task exited.
type Cause string

// Causes of a task's exit.
const (
	CauseDone        Cause = "done"
	CauseStopped     Cause = "stopped"
	CauseGangBroken  Cause = "mates_gone"
	CauseGangTimeout Cause = "alone"
	CauseError       Cause = "error"
	CauseNoRoom      Cause = "full"
	CauseBusy        Cause = "in_use"
	CauseUnknown     Cause = "no_such"
)

// Verb is what a command asks of a worker.
type Verb string

// Verbs of a worker's commands.
const (
	OpStart  Verb = "start"
	OpStop   Verb = "halt"
	OpForget Verb = "reap"
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    string        `json:"piece"`
	Attempt AttemptNumber `json:"try"`
	State   TaskState     `json:"phase"`
	Cause   Cause         `json:"cause,omitempty"`
	Saved   bool          `json:"kept,omitempty"`
}

// Report is a worker's report.
type Report struct {
	Machine     MachineID       `json:"berth"`
	Address     string          `json:"address"`
	Type        MachineTypeName `json:"build"`
	Zone        ZoneName        `json:"yard"`
	Spot        bool            `json:"loaners"`
	Incarnation Incarnation     `json:"tenure"`
	Sequence    Sequence        `json:"tally"`
	Token       Term            `json:"warrant"`
	NoticeS     *float64        `json:"recall_s"`
	Tasks       []TaskReport    `json:"pieces"`
}

// Newer says whether r is a newer message than (incarnation, sequence).
func (r *Report) Newer(incarnation Incarnation, sequence Sequence) bool {
	return r.Incarnation > incarnation || r.Incarnation == incarnation && r.Sequence > sequence
}

// Shows says whether the report has an attempt of a task, in any state.
func (r *Report) Shows(task string, attempt AttemptNumber) bool {
	return slices.ContainsFunc(r.Tasks, func(t TaskReport) bool { return t.Attempt == attempt && t.Task == task })
}

// ParseReport decodes and validates a worker's report.
func ParseReport(body []byte) (*Report, error) {
	var r Report
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("not valid JSON for a report: %w", inWireTypes(err))
	}
	if r.Machine == "" || len(r.Machine) > maxName || strings.ContainsAny(string(r.Machine), " /") || r.Incarnation == 0 {
		return nil, errors.New("a report needs a machine's name and a session")
	}
	return &r, nil
}

// SplitTask takes a task's name, such as run-000412/3, apart.
func SplitTask(name string) (jobID JobID, index int, ok bool) {
	before, rest, ok := strings.Cut(name, "/")
	jobID = JobID(before)
	if !ok || !ValidID(jobID) {
		return "", 0, false
	}
	index, err := strconv.Atoi(rest)
	if err != nil || index < 0 || index >= MaxTasks {
		return "", 0, false
	}
	return jobID, index, true
}

// TaskName is the name of a job's task.
func TaskName(jobID JobID, index int) string { return string(jobID) + "/" + strconv.Itoa(index) }

// Command is one order to a worker.
type Command struct {
	Op      Verb          `json:"verb"`
	Task    string        `json:"piece"`
	Attempt AttemptNumber `json:"try"`
	GraceS  float64       `json:"leeway_s,omitempty"`
}

// MarshalJSON writes the grace for a stop even when it is zero.
func (c Command) MarshalJSON() ([]byte, error) {
	b := make([]byte, 0, 80)
	b = append(b, `{"verb":"`...)
	b = append(b, c.Op...)
	b = append(b, `","piece":`...)
	b = strconv.AppendQuote(b, c.Task)
	b = append(b, `,"try":`...)
	b = strconv.AppendUint(b, uint64(c.Attempt), 10)
	if c.Op == OpStop {
		b = append(b, `,"leeway_s":`...)
		b = strconv.AppendFloat(b, c.GraceS, 'f', -1, 64)
	}
	return append(b, '}'), nil
}

// ReportAnswer is the answer to a report that was taken.
type ReportAnswer struct {
	Token    Term      `json:"warrant"`
	Commands []Command `json:"orders"`
}

// Redirect sends a worker to another node.
type Redirect struct {
	ReportTo NodeName `json:"steward,omitempty"`
}

// Orders is a direct command to a worker.
type Orders struct {
	Token       Term        `json:"warrant"`
	Incarnation Incarnation `json:"tenure"`
	Commands    []Command   `json:"orders"`
}
