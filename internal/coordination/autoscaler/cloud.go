package autoscaler

import "github.com/gappond/gappond/internal/protocol"

// Cloud is the part of the cloud's interface that the autoscaler uses. Each method calls done
// exactly once, unless the leader that made the call has stepped down by then.
type Cloud interface {
	// CreateMachines requests machines. It is idempotent: repeating a request with its ID
	// returns the same machines.
	CreateMachines(request protocol.CreateMachinesRequest, done func(CreateResult))
	// DeleteMachines deletes machines. It also succeeds for machines that are already deleted.
	DeleteMachines(machines []protocol.MachineID, done func(deleted bool))
	// ListMachines reads the page of the machine list that begins behind the machine named by
	// after, or the first page if after is empty. The page is nil if the call failed.
	ListMachines(after protocol.MachineID, done func(page *protocol.MachineList))
}

// CreateOutcome is the outcome of a request for machines.
type CreateOutcome int

// Outcomes of a request for machines.
const (
	// CreateOutcomeUnknown: no response, or an inconclusive one. The cloud may have created
	// machines nevertheless; repeating the request with its ID returns them.
	CreateOutcomeUnknown CreateOutcome = iota
	// Created: the response names the machines, at most as many as were requested.
	Created
	// NoCapacity: the cloud has no machines left of the requested offer.
	NoCapacity
	// CreateRejected: the request is malformed.
	CreateRejected
)

// CreateResult is the result of a request for machines.
type CreateResult struct {
	Outcome  CreateOutcome
	Machines []protocol.MachineID
	Detail   string // the cloud's response, for logs
}
