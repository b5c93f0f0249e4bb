package tuning

import (
	"time"
)

// Calls to the cloud.
const (
	// CloudTimeout bounds a call; responses take some hundred milliseconds.
	CloudTimeout = 5 * time.Second
	// MachineListInterval is the least interval between two reads of the machine list, well below
	// the lag of the list.
	MachineListInterval = 4 * time.Second
	// MachineListBudgetShare is the share of the leader's calls that the pages of the machine list
	// may use. A large fleet is listed less often, so that machine requests get the rest.
	MachineListBudgetShare = 0.35
	// MachineTypesInterval is the interval between two reads of the machine types and their prices.
	MachineTypesInterval = 30 * time.Second
	// MachineListPageSize is the number of machines on a page of the machine list, the largest that
	// the cloud allows.
	MachineListPageSize = 500
	// MaxMachinesPerRequest is the largest number of machines that one request may create.
	MaxMachinesPerRequest = 50
	// MaxMachinesPerDeletion is the largest number of machines that one request may delete.
	MaxMachinesPerDeletion = 100
	// NoCapacityBackoff is how long a machine type is not requested again in a zone, as spot or
	// on-demand, after the cloud had no capacity for it.
	NoCapacityBackoff = 12 * time.Second
	// BootTimeoutFactor is how long a machine may take to boot, as a multiple of its nominal boot
	// time, before it is deleted and another one is requested in its place.
	BootTimeoutFactor = 2.2
	// BootTimeoutSlack is added to the time that BootTimeoutFactor gives.
	BootTimeoutSlack = 5 * time.Second
)

// Scaling out and in.
const (
	// CloudBudgetShare is the share of the cloud's call budget that the leader uses;
	// the peers only ask for prices now and then.
	CloudBudgetShare = 0.8
	// ScaleOutInterval is the pause between two evaluations of demand.
	ScaleOutInterval = time.Second
	// ScaleOutDelayAfterFailover gives a new leader time to learn from heartbeats which machines
	// it has.
	ScaleOutDelayAfterFailover = 2 * time.Second
	// SpareRetention is how long spares are kept after the last job was submitted: a few
	// boot times, within which the next job would have to wait if there were no spares.
	SpareRetention = 100 * time.Second
	// ZoneReserveInterval is the pause between two evaluations of the capacity that is reserved for
	// the loss of a zone. It is well below a boot time.
	ZoneReserveInterval = 5 * time.Second
	// MaxZoneReserveMachines bounds the machines that an evaluation of the zone reserve considers,
	// including those that it would request.
	MaxZoneReserveMachines = 20_000
	// EstimateSlackFactor extends a user's estimate of a job's run time, which is often wrong by
	// half.
	EstimateSlackFactor = 1.3
	// BootTimeSlackFactor extends a nominal boot time, to decide whether a machine that is requested
	// later would still boot in time for a job's deadline.
	BootTimeSlackFactor = 1.2
	// ConsolidationInterval is the pause between two rounds that drain machines to save money.
	ConsolidationInterval = 5 * time.Second
	// MaxConsolidationCandidates is the number of machines that are examined for each machine that
	// may be drained.
	MaxConsolidationCandidates = 8
	// ConsolidationFleetDivisor limits a round to one drained machine for every this many machines
	// of the fleet, but allows at least one.
	ConsolidationFleetDivisor = 20
	// MaxConsolidationUtilization is the largest share of a machine's GPUs in use at which the
	// machine may be drained.
	MaxConsolidationUtilization = 0.5
	// MinRemainingSecondsToMove is how much longer, in seconds, a task must be expected to run
	// to be worth moving. Saving its checkpoint and fetching its image take about ten seconds.
	MinRemainingSecondsToMove = 40.0
	// MaxMachineRequestAttempts is how often a machine request is sent before it is abandoned.
	// Machines that it created nevertheless appear in the machine list.
	MaxMachineRequestAttempts = 5
)
