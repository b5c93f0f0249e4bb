package config

import (
	"time"

	"github.com/gappond/gappond/internal/tuning"
)

// ProcessLimits holds the resource limits of this process.
type ProcessLimits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	FDLimit  int     `toml:"fd_limit"`
}

// ThrottleInterval returns the interval at which an operation with the given CPU cost takes no
// more than the given share of the process's cores. It returns 0 if the number of cores is not
// limited.
func (p ProcessLimits) ThrottleInterval(cpuCost time.Duration, cpuShare float64) time.Duration {
	if p.Cores <= 0 {
		return 0
	}
	return time.Duration(float64(cpuCost) / (p.Cores * cpuShare))
}

// RequestDelay returns the pause before a store request that can wait. The smaller the process's
// share of a core, the longer the pause.
func (p ProcessLimits) RequestDelay(minDelay time.Duration, cpuShare float64) time.Duration {
	return max(minDelay, min(p.ThrottleInterval(tuning.StoreRequestCPUCost, cpuShare), tuning.MaxRequestDelay))
}

// MaxUserRequests returns the limit on users' requests in progress at one node. It is a share of
// the connections that are kept open for users, so that heartbeats always find room in the queue.
func (p ProcessLimits) MaxUserRequests() int {
	return max(tuning.MinUserQueueLength, int(float64(p.FDLimit)*tuning.UserKeepAliveShare*tuning.UserQueueConnectionShare))
}
