// Package tuning holds every constant of gappond, each with its unit and the
// reason for its value. What depends on the site is derived from the
// platform's settings; what operators may set is a field of Operator.
package tuning

import "time"

// Operator holds what operators may set in the properties file.
type Operator struct {
	// MachineIdleTimeout is how long a machine may be idle before it is returned.
	// The cloud charges a minute at least, and a boot costs most of one.
	MachineIdleTimeout time.Duration
	// SparesPerZone is the number of idle machines kept in every zone.
	SparesPerZone int
	// ZoneReserve reserves capacity outside every zone for the replicas of services that
	// it has, so that they run again at once when it is lost.
	ZoneReserve bool
	// BackfillBarrierDelay is how long a gang waits before smaller jobs no longer pass it.
	BackfillBarrierDelay time.Duration
	// RecoveryPhase follows what is found and ordered after a failover until every
	// agent is known, and gives the largest of waiting gangs their turn first.
	RecoveryPhase bool
	// DirectStarts sends starts straight to the agents instead of leaving
	// them for the next heartbeat.
	DirectStarts bool
}

// Defaults are the operators' settings when none are given.
func Defaults() Operator {
	return Operator{MachineIdleTimeout: 20 * time.Second, SparesPerZone: 1, ZoneReserve: true, BackfillBarrierDelay: 10 * time.Second, DirectStarts: true}
}
