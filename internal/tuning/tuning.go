// Package tuning holds every constant of gappond, each with its unit and the
// reason for its value. What depends on the site is derived from the
// platform's settings; what operators may set is a field of Operator.
package tuning

import "time"

// Owner loop.
const (
	// MinTimerInterval is the least pause after which the owner looks at its timers by
	// itself. Waking up for one costs a process some 100 microseconds of its
	// share, in system calls more than in code.
	MinTimerInterval = 100 * time.Millisecond
	// MaxTimerInterval is the longest such pause, when no timer is due: well below
	// ProcessPause, by which a node knows that it was paused.
	MaxTimerInterval = time.Second
	// EventQueueLength bounds the owner's queue of commands; beyond it requests are shed.
	EventQueueLength = 4096
	// MinUserQueueLength is the least bound of users' requests under way at one node, so that
	// reports always find room in the queue.
	MinUserQueueLength = 512
	// UserQueueConnectionShare is the share of the users' connections that makes the bound where
	// there are many.
	UserQueueConnectionShare = 0.5
)

// Operator holds what operators may set in the properties file.
type Operator struct {
	// MachineIdleTimeout is how long a machine may be idle before it is returned.
	// The cloud charges a minute at least, and a boot costs most of one.
	MachineIdleTimeout time.Duration
	// SparesPerZone is the number of idle machines kept in every zone.
	SparesPerZone int
	// ZoneReserve keeps room outside every zone for the replicas of services that
	// it has, so that they run again at once when it is lost.
	ZoneReserve bool
	// ReserveAfter is how long a gang waits before smaller jobs no longer pass it.
	BackfillBarrierDelay time.Duration
	// RecoveryPhase follows what is found and ordered after a takeover until every
	// worker is known, and gives the largest of waiting gangs their turn first.
	RecoveryPhase bool
	// DirectStarts sends starts straight to the workers instead of leaving
	// them for the next report.
	DirectStarts bool
}

// Defaults are the operators' settings when none are given.
func Defaults() Operator {
	return Operator{MachineIdleTimeout: 20 * time.Second, SparesPerZone: 1, ZoneReserve: true, BackfillBarrierDelay: 10 * time.Second, DirectStarts: true}
}
