package config

import (
	"time"

	"github.com/gappond/gappond/internal/tuning"
)

// ProcessLimits are the limits of this process.
type ProcessLimits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	FDLimit  int     `toml:"fd_limit"`
}

// ThrottleInterval is the pause between things that cost so much processor time each, for
// them to take no more than a part of the process's share of a core.
func (p ProcessLimits) ThrottleInterval(cost time.Duration, part float64) time.Duration {
	if p.Cores <= 0 {
		return 0
	}
	return time.Duration(float64(cost) / (p.Cores * part))
}

// RequestDelay is the pause before a request that can wait, longer the smaller the share of
// a core is.
func (p ProcessLimits) RequestDelay(least time.Duration, part float64) time.Duration {
	return max(least, min(p.ThrottleInterval(tuning.StoreRequestCPUCost, part), tuning.MaxRequestDelay))
}

// MaxUserRequests bounds users' requests under way at one node: a part of the connections
// that are kept for users, so that heartbeats always find room.
func (p ProcessLimits) MaxUserRequests() int {
	return max(tuning.MinUserQueueLength, int(float64(p.FDLimit)*tuning.UserKeepAliveShare*tuning.UserQueueConnectionShare))
}
