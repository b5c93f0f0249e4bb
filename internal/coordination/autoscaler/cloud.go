package autoscaler

import "github.com/gappond/gappond/internal/protocol"

// Cloud is the cloud's interface. Each call is answered by one call of done, unless the
// leader that made it leads no more.
type Cloud interface {
	// CreateMachines asks for machines. The same request under the same name gives the same
	// machines.
	CreateMachines(request protocol.CreateMachinesRequest, done func(CreateResult))
	// DeleteMachines deletes machines; that some are gone already is no failure.
	DeleteMachines(machines []protocol.MachineID, done func(deleted bool))
	// ListMachines reads a page of the machine list; the page is nil if that failed.
	ListMachines(after protocol.MachineID, done func(page *protocol.MachineList))
}

// CreateOutcome is how a request for machines ended.
type CreateOutcome int

// Outcomes of a request for machines.
const (
	// CreateOutcomeUnknown: no answer, or one that does not say; there may be new machines all the
	// same. The same request under the same name gives them.
	CreateOutcomeUnknown CreateOutcome = iota
	// Created: the machines are named, up to as many as were asked for.
	Created
	// NoCapacity: the cloud has none of this kind.
	NoCapacity
	// CreateRejected: the request is malformed.
	CreateRejected
)

// CreateResult is the answer to a request for machines.
type CreateResult struct {
	Outcome  CreateOutcome
	Machines []protocol.MachineID
	Detail   string // what the cloud said, for logs
}
