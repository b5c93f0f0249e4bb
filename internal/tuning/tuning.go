// Package tuning holds the constants that determine gappond's timing, budgets and limits, each
// with its unit and the reason for its value. Values that depend on the deployment are derived
// from the platform's settings. Values that operators may set are fields of Operator.
package tuning

import "time"

// Operator holds the settings that operators may change in the properties file.
type Operator struct {
	// MachineIdleTimeout is how long a machine may be idle before it is deleted.
	// The cloud charges for at least a minute, and a boot takes most of one.
	MachineIdleTimeout time.Duration
	// SparesPerZone is the number of idle machines kept in every zone.
	SparesPerZone int
	// ZoneReserve enables the zone reserve: for every zone, capacity for its service replicas is
	// reserved in the other zones, so that the replicas run again at once when the zone is lost.
	ZoneReserve bool
	// BackfillBarrierDelay is how long a gang must have waited before smaller jobs may no longer
	// start ahead of it.
	BackfillBarrierDelay time.Duration
	// RecoveryPhase enables the recovery phase after a failover. It tracks the differences found
	// and the commands sent until every agent is accounted for, and during it the largest of
	// the waiting gangs go first.
	RecoveryPhase bool
	// DirectStarts enables direct calls to agents for starts, which otherwise wait for the
	// response to the agent's next heartbeat.
	DirectStarts bool
}

// Defaults returns the operators' settings that apply when none are given.
func Defaults() Operator {
	return Operator{MachineIdleTimeout: 20 * time.Second, SparesPerZone: 1, ZoneReserve: true, BackfillBarrierDelay: 10 * time.Second, DirectStarts: true}
}
