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
	CauseNoCapacity  Cause = "full"
	CauseBusy        Cause = "in_use"
	CauseUnknown     Cause = "no_such"
)

// CommandKind is what a command asks of a worker.
type CommandKind string

// Verbs of a worker's commands.
const (
	CommandStart  CommandKind = "start"
	CommandStop   CommandKind = "halt"
	CommandForget CommandKind = "reap"
)

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task    string        `json:"piece"`
	Attempt AttemptNumber `json:"try"`
	State   TaskState     `json:"phase"`
	Cause   Cause         `json:"cause,omitempty"`
	Saved   bool          `json:"kept,omitempty"`
}

// Heartbeat is a worker's report.
type Heartbeat struct {
	Machine           MachineID       `json:"berth"`
	Address           string          `json:"address"`
	Type              MachineTypeName `json:"build"`
	Zone              ZoneName        `json:"yard"`
	Spot              bool            `json:"loaners"`
	Incarnation       Incarnation     `json:"tenure"`
	Sequence          Sequence        `json:"tally"`
	FencingToken      Term            `json:"warrant"`
	PreemptionNoticeS *float64        `json:"recall_s"`
	Tasks             []TaskStatus    `json:"pieces"`
}

// Newer says whether r is a newer message than (incarnation, sequence).
func (r *Heartbeat) Newer(incarnation Incarnation, sequence Sequence) bool {
	return r.Incarnation > incarnation || r.Incarnation == incarnation && r.Sequence > sequence
}

// HasAttempt says whether the report has an attempt of a task, in any state.
func (r *Heartbeat) HasAttempt(task string, attempt AttemptNumber) bool {
	return slices.ContainsFunc(r.Tasks, func(t TaskStatus) bool { return t.Attempt == attempt && t.Task == task })
}

// ParseHeartbeat decodes and validates a worker's report.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var r Heartbeat
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
	Kind    CommandKind   `json:"verb"`
	Task    string        `json:"piece"`
	Attempt AttemptNumber `json:"try"`
	GraceS  float64       `json:"leeway_s,omitempty"`
}

// MarshalJSON writes the grace for a stop even when it is zero.
func (c Command) MarshalJSON() ([]byte, error) {
	b := make([]byte, 0, 80)
	b = append(b, `{"verb":"`...)
	b = append(b, c.Kind...)
	b = append(b, `","piece":`...)
	b = strconv.AppendQuote(b, c.Task)
	b = append(b, `,"try":`...)
	b = strconv.AppendUint(b, uint64(c.Attempt), 10)
	if c.Kind == CommandStop {
		b = append(b, `,"leeway_s":`...)
		b = strconv.AppendFloat(b, c.GraceS, 'f', -1, 64)
	}
	return append(b, '}'), nil
}

// HeartbeatResponse is the answer to a report that was taken.
type HeartbeatResponse struct {
	FencingToken Term      `json:"warrant"`
	Commands     []Command `json:"orders"`
}

// Redirect sends a worker to another node.
type Redirect struct {
	Target NodeName `json:"steward,omitempty"`
}

// CommandBatch is a direct command to a worker.
type CommandBatch struct {
	FencingToken Term        `json:"warrant"`
	Incarnation  Incarnation `json:"tenure"`
	Commands     []Command   `json:"orders"`
}
