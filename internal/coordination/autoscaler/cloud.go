package autoscaler

import "github.com/gappond/gappond/internal/protocol"

// Cloud is the cloud's interface. Each call is answered by one call of done, unless the
// leader that made it leads no more.
type Cloud interface {
	// RentMachines asks for machines. The same request under the same name gives the same
	// machines.
	RentMachines(request protocol.Rental, done func(RentResult))
	// DeleteMachines deletes machines; that some are gone already is no failure.
	DeleteMachines(machines []protocol.MachineID, done func(deleted bool))
	// ListMachines reads a page of the machine list; the page is nil if that failed.
	ListMachines(after protocol.MachineID, done func(page *protocol.MachineList))
}

// RentOutcome is how a request for machines ended.
type RentOutcome int

// Outcomes of a request for machines.
const (
	// RentFailed: no answer, or one that does not say; there may be new machines all the
	// same. The same request under the same name gives them.
	RentFailed RentOutcome = iota
	// Rented: the machines are named, up to as many as were asked for.
	Rented
	// NoCapacity: the cloud has none of this kind.
	NoCapacity
	// RentRejected: the request is malformed.
	RentRejected
)

// RentResult is the answer to a request for machines.
type RentResult struct {
	Outcome  RentOutcome
	Machines []protocol.MachineID
	Detail   string // what the cloud said, for logs
}
