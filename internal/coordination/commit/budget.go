package commit

import (
	"time"

	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// writeBudget is what the store's limit on changes allows a transaction now.
type writeBudget struct {
	available float64 // changes
	burst     float64 // changes that are free after a long rest
}

// availableBudget is what a transaction may spend, after what is kept for users' requests.
func availableBudget(limiter *rate.Limiter, now time.Time) writeBudget {
	burst := float64(limiter.Burst())
	// The end of a job takes two changes, however few a second there are.
	return writeBudget{available: limiter.TokensAt(now) - min(burst*tuning.UserBurstReserve, burst-2), burst: burst}
}

// allowsNonUrgent says whether a transaction of so many changes may have further ones that
// are not urgent: a part of the budget is kept for those that are.
func (wb writeBudget) allowsNonUrgent(changes int) bool {
	return float64(changes+2) <= wb.available-wb.burst*tuning.GangBurstReserve
}

// allowsBackgroundWrites says whether there is time for what does not matter soon.
func (wb writeBudget) allowsBackgroundWrites() bool { return wb.available >= wb.burst/2 }
