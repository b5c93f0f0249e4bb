package simulation

import (
	"time"

	"golang.org/x/time/rate"
)

// storeFaults is what goes wrong at the key-value store.
type storeFaults struct {
	down               bool          // it refuses everything
	extraLatency       time.Duration // an answer takes so much longer
	lostShare          float64       // this share of the transactions gets no answer
	lateCommits        bool          // and is carried out 2 to 12 s later, not at once
	nodeWithoutWatches *controller   // no watch of this node is answered
}

// outage makes the store refuse everything; afterwards every lease has its full time again.
func (s *keyValueStore) outage(d time.Duration) {
	s.down = true
	s.w.after(d, func() {
		s.down = false
		s.renewAll(s.w.Now)
		s.notify()
	})
}

// refuseNode makes the store refuse one node alone; its watches wait.
func (s *keyValueStore) refuseNode(c *controller, d time.Duration) {
	c.refused = true
	s.w.after(d, func() {
		c.refused = false
		s.notify()
	})
}

// loseResponses has a share of the transactions carried out without an answer for a while.
func (s *keyValueStore) loseResponses(share float64, d time.Duration) {
	s.lostShare, s.lateCommits = share, false
	s.w.after(d, func() { s.lostShare = 0 })
}

// delayTransactions has a share of the transactions carried out late, after newer ones, and
// without an answer, for a while.
func (s *keyValueStore) delayTransactions(share float64, d time.Duration) {
	s.lostShare, s.lateCommits = share, true
	s.w.after(d, func() { s.lostShare = 0 })
}

// applyNextLimits makes the limits those that the settings announced.
func (s *keyValueStore) applyNextLimits() {
	s.limits = *s.w.shape.NextStoreLimits
	s.requestLimiter.SetLimit(rate.Limit(s.limits.RPS))
	s.writeLimiter.SetLimit(rate.Limit(s.limits.WriteRPS))
	s.writeLimiter.SetBurst(int(s.limits.WriteRPS))
}
