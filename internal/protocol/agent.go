package protocol

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// TaskState is the state of a task on a machine.
type TaskState string

// States of a task on a machine.
const (
	TaskFetching TaskState = "fetching"
	TaskWaiting  TaskState = "waiting" // for the other tasks of its gang
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving"
	TaskExited   TaskState = "exited"
)

// Cause is the reason why a task exited.
type Cause string

// Causes of a task's exit. With the last three, the agent refused to start the task.
const (
	CauseDone        Cause = "done"
	CauseStopped     Cause = "stopped"
	CauseGangBroken  Cause = "mates_gone" // another task of its gang is lost
	CauseGangTimeout Cause = "alone"      // it waited too long for the other tasks of its gang
	CauseError       Cause = "error"
	CauseNoCapacity  Cause = "full"
	CauseTaskPresent Cause = "in_use" // another attempt of the task is on the machine
	CauseUnknownTask Cause = "no_such"
)

// CommandKind is what a command tells an agent to do.
type CommandKind string

// Kinds of commands.
const (
	CommandStart  CommandKind = "start"
	CommandStop   CommandKind = "halt"
	CommandForget CommandKind = "reap"
)

// TaskStatus is the status of an attempt of a task in a heartbeat.
type TaskStatus struct {
	Task    string        `json:"piece"`
	Attempt AttemptNumber `json:"try"`
	State   TaskState     `json:"phase"`
	Cause   Cause         `json:"cause,omitempty"`
	Saved   bool          `json:"kept,omitempty"`
}

// Heartbeat is an agent's report on its machine and the tasks on it.
type Heartbeat struct {
	Machine           MachineID       `json:"berth"`
	Address           string          `json:"address"`
	Type              MachineTypeName `json:"build"`
	Zone              ZoneName        `json:"yard"`
	Spot              bool            `json:"loaners"`
	Incarnation       Incarnation     `json:"tenure"`
	Sequence          Sequence        `json:"tally"`
	FencingToken      Term            `json:"warrant"`  // highest that the agent has seen
	PreemptionNoticeS *float64        `json:"recall_s"` // time until the preemption; nil: no notice
	Tasks             []TaskStatus    `json:"pieces"`
}

// NewerThan reports whether h is newer than the heartbeat with the given incarnation and sequence
// number.
func (h *Heartbeat) NewerThan(incarnation Incarnation, sequence Sequence) bool {
	return h.Incarnation > incarnation || h.Incarnation == incarnation && h.Sequence > sequence
}

// HasAttempt reports whether the heartbeat contains an attempt of a task, in any state.
func (h *Heartbeat) HasAttempt(task string, attempt AttemptNumber) bool {
	return slices.ContainsFunc(h.Tasks, func(t TaskStatus) bool { return t.Attempt == attempt && t.Task == task })
}

// ParseHeartbeat decodes and validates a heartbeat.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if err := Unmarshal(body, &heartbeat); err != nil {
		return nil, fmt.Errorf("not valid JSON for a report: %w", withWireTypeNames(err))
	}
	if heartbeat.Machine == "" || len(heartbeat.Machine) > maxNameBytes || strings.ContainsAny(string(heartbeat.Machine), " /") || heartbeat.Incarnation == 0 {
		return nil, errors.New("a report needs a machine's name and a session")
	}
	return &heartbeat, nil
}

// SplitTask splits a task's name, such as run-000412/3, into the job's ID and the task's index. The
// result ok is false if the name is invalid.
func SplitTask(name string) (jobID JobID, index int, ok bool) {
	before, rest, ok := strings.Cut(name, "/")
	jobID = JobID(before)
	if !ok || !ValidJobID(jobID) {
		return "", 0, false
	}
	index, err := strconv.Atoi(rest)
	if err != nil || index < 0 || index >= MaxTasks {
		return "", 0, false
	}
	return jobID, index, true
}

// TaskName returns the name of a job's task.
func TaskName(jobID JobID, index int) string { return string(jobID) + "/" + strconv.Itoa(index) }

// AttemptName returns the name of an attempt of a task in logs.
func AttemptName(task string, attempt AttemptNumber) string {
	return task + "@" + strconv.FormatUint(uint64(attempt), 10)
}

// Command tells an agent what to do with an attempt of a task.
type Command struct {
	Kind    CommandKind   `json:"verb"`
	Task    string        `json:"piece"`
	Attempt AttemptNumber `json:"try"`
	GraceS  float64       `json:"leeway_s,omitempty"`
}

// MarshalJSON encodes a command. The grace period of a stop is included even if it is zero; other
// commands have none.
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

// HeartbeatResponse is the response to an accepted heartbeat.
type HeartbeatResponse struct {
	FencingToken Term      `json:"warrant"`
	Commands     []Command `json:"orders"`
}

// Redirect tells an agent to send its heartbeats to another node.
type Redirect struct {
	Target NodeName `json:"steward,omitempty"`
}

// CommandBatch carries commands that are sent to an agent in a separate call, without waiting for
// its next heartbeat.
type CommandBatch struct {
	FencingToken Term        `json:"warrant"`
	Incarnation  Incarnation `json:"tenure"`
	Commands     []Command   `json:"orders"`
}
