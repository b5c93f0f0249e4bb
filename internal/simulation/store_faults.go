package simulation

import (
	"time"

	"golang.org/x/time/rate"
)

// storeFaults are the faults that the key-value store simulates at present.
type storeFaults struct {
	down               bool          // the store refuses all requests
	extraLatency       time.Duration // added to the time of every response
	slowShare          float64       // the share of the responses that take up to maxSlowResponse longer
	lostShare          float64       // the share of the transactions that get no response
	lateCommits        bool          // those transactions are committed 2 to 12 s later, not at once
	nodeWithoutWatches *controller   // watches of this node get no response
}

// outage makes the store refuse all requests for the time d. All leases are renewed at its end.
func (s *keyValueStore) outage(d time.Duration) {
	s.down = true
	s.w.after(d, func() {
		s.down = false
		s.renewAll(s.w.Now)
		s.notify()
	})
}

// refuseNode makes the store refuse all requests of one node for the time d. The node's watches
// wait meanwhile.
func (s *keyValueStore) refuseNode(c *controller, d time.Duration) {
	c.refused = true
	s.w.after(d, func() {
		c.refused = false
		s.notify()
	})
}

// maxSlowResponse is the longest time that a slow response takes in addition to the others.
const maxSlowResponse = 500 * time.Millisecond

// delayResponses makes a share of the responses slow, each by a random time, for the time d. Later
// responses overtake them.
func (s *keyValueStore) delayResponses(share float64, d time.Duration) {
	s.slowShare = share
	s.w.after(d, func() { s.slowShare = 0 })
}

// responseDelay returns the time that is added to a response.
func (s *keyValueStore) responseDelay() time.Duration {
	if s.slowShare > 0 && s.w.rng.Float64() < s.slowShare {
		return s.extraLatency + s.w.between(0, maxSlowResponse)
	}
	return s.extraLatency
}

// loseResponses makes a share of the transactions be committed without a response for the time d.
func (s *keyValueStore) loseResponses(share float64, d time.Duration) {
	s.lostShare, s.lateCommits = share, false
	s.w.after(d, func() { s.lostShare = 0 })
}

// delayTransactions makes a share of the transactions be committed late, after newer ones, and
// without a response, for the time d.
func (s *keyValueStore) delayTransactions(share float64, d time.Duration) {
	s.lostShare, s.lateCommits = share, true
	s.w.after(d, func() { s.lostShare = 0 })
}

// applyNextLimits lowers the limits to those that the settings announce.
func (s *keyValueStore) applyNextLimits() {
	s.limits = *s.w.shape.NextStoreLimits
	s.requestLimiter.SetLimit(rate.Limit(s.limits.RPS))
	s.writeLimiter.SetLimit(rate.Limit(s.limits.WriteRPS))
	s.writeLimiter.SetBurst(int(s.limits.WriteRPS))
}
