package simulation

import "time"

// The requests that a user has under way at the same time.
const (
	overlapInterval = 200 * time.Millisecond // between the times at which a random user begins
	overlapSpread   = 300 * time.Millisecond // within which a user sends the requests
)

// overlapRequests has users send several requests about their job to random controllers, without
// waiting for the responses, for the time d: random users at any time, and every user at the first
// submission and when the job's last task completes. A few of the users cancel their job meanwhile.
func (w *World) overlapRequests(d time.Duration) {
	w.overlapping = true
	w.after(d, func() { w.overlapping = false })
	w.every(overlapInterval, int(d/overlapInterval), func(int) {
		u := w.users[w.rng.IntN(len(w.users))]
		if !u.accepted {
			return
		}
		u.sendOverlapping()
		if !u.over && w.rng.IntN(8) == 0 {
			w.after(w.between(0, overlapSpread), u.cancel)
		}
	})
}

// sendOverlapping sends queries and a repeated submission to random controllers.
func (u *user) sendOverlapping() {
	requests := []request{statusQuery(u.job.spec.ID), statusQuery(u.job.spec.ID), statusQuery(u.job.spec.ID), submission(u.job.spec)}
	for _, r := range requests {
		u.w.after(u.w.between(0, overlapSpread), func() { u.send(queryTimeout, r, func(int, []byte) {}) })
	}
}
