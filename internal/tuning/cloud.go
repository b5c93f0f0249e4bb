package tuning

import (
	"time"
)

// Calls to the cloud.
const (
	// CloudTimeout bounds a call; answers take some hundred milliseconds.
	CloudTimeout = 5 * time.Second
	// MachineListInterval is the interval between machine lists, well inside their lag.
	MachineListInterval = 4 * time.Second
	// MachineListBudgetShare is the part of the leader's calls that the pages of the machine list may
	// take: a large fleet is listed less often, so that rentals have the rest.
	MachineListBudgetShare = 0.35
	// MachineTypesInterval is the interval between price lists.
	MachineTypesInterval = 30 * time.Second
	// MachineListPageSize is the page size of the machine list, the largest allowed.
	MachineListPageSize = 500
	// MaxMachinesPerRequest is the most machines one request may name.
	MaxMachinesPerRequest = 50
	// MaxMachinesPerDeletion is the most names one deletion may carry.
	MaxMachinesPerDeletion = 100
	// NoCapacityBackoff is how long a refused type, zone and kind is not asked for.
	NoCapacityBackoff = 12 * time.Second
	// BootTimeoutFactor is how many nominal boot times a machine may take before
	// another is rented in its place.
	BootTimeoutFactor = 2.2
	// BootTimeoutSlack is added to BootTimeoutFactor.
	BootTimeoutSlack = 5 * time.Second
)

// Scaling out and in.
const (
	// CloudBudgetShare is the part of the cloud's call budget that the leader uses;
	// the peers only ask for prices now and then.
	CloudBudgetShare = 0.8
	// ScaleOutInterval is the pause between two evaluations of demand.
	ScaleOutInterval = time.Second
	// ScaleOutDelayAfterFailover leaves a new leader time to hear which machines it has.
	ScaleOutDelayAfterFailover = 2 * time.Second
	// SpareRetention is how long spares are kept after the last job came: a few
	// boot times, within which the next one would miss them.
	SpareRetention = 100 * time.Second
	// ZoneReserveInterval is the pause between two evaluations of the capacity that is reserved for
	// the loss of a zone: well below a boot time.
	ZoneReserveInterval = 5 * time.Second
	// MaxZoneReserveMachines bounds the machines that such an evaluation considers, those that
	// it would rent included.
	MaxZoneReserveMachines = 20_000
	// EstimateSlackFactor stretches an owner's estimate, often wrong by half.
	EstimateSlackFactor = 1.3
	// BootTimeSlackFactor stretches a nominal boot time.
	BootTimeSlackFactor = 1.2
	// ConsolidationInterval is the pause between two machines that are emptied to save money.
	ConsolidationInterval = 5 * time.Second
	// MaxConsolidationCandidates is how many machines are examined for one to empty.
	MaxConsolidationCandidates = 8
	// ConsolidationFleetDivisor has no more than one in so many machines emptied at once.
	ConsolidationFleetDivisor = 20
	// MaxConsolidationUtilization is the share of its GPUs in use from which on a machine stays.
	MaxConsolidationUtilization = 0.5
	// MinRemainingSecondsToMove is how much longer, in seconds, a task must be expected to run
	// to be worth moving: saving it and fetching its image take some ten.
	MinRemainingSecondsToMove = 40.0
	// MaxMachineRequestAttempts is how often a request is sent before it is given up; what it
	// rented all the same shows in the machine list.
	MaxMachineRequestAttempts = 5
)
