package commit

import (
	"time"

	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// writeBudget is the number of changes that the store's write limit allows a transaction now.
type writeBudget struct {
	available float64 // in changes
	burst     float64 // in changes: the capacity of the token bucket
}

// availableBudget returns the budget for a transaction, without the part that is reserved for
// users' requests and relayed messages.
func availableBudget(limiter *rate.Limiter, now time.Time) writeBudget {
	burst := float64(limiter.Burst())
	// Storing the end of a job takes two changes. The reserve therefore leaves at least two, even
	// where the store allows few changes per second.
	return writeBudget{available: limiter.TokensAt(now) - min(burst*tuning.UserBurstReserve, burst-2), burst: burst}
}

// allowsNonUrgent reports whether a transaction that already has this many changes may get two
// more that are not urgent. Part of the budget is reserved for urgent ones.
func (wb writeBudget) allowsNonUrgent(changes int) bool {
	return float64(changes+2) <= wb.available-wb.burst*tuning.GangBurstReserve
}

// allowsBackgroundWrites reports whether enough of the budget is left for low-priority changes.
func (wb writeBudget) allowsBackgroundWrites() bool { return wb.available >= wb.burst/2 }
