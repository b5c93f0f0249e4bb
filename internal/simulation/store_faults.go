package simulation

import (
	"time"

	"golang.org/x/time/rate"
)

// storeFaults is what goes wrong at the key-value store.
type storeFaults struct {
	down  bool          // it refuses everything
	slow  time.Duration // an answer takes so much longer
	lost  float64       // this share of the transactions gets no answer
	late  bool          // and is carried out 2 to 12 s later, not at once
	blind *controller   // no watch of this node is answered
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

// refuse makes the store refuse one node alone; its watches wait.
func (s *keyValueStore) refuse(c *controller, d time.Duration) {
	c.refused = true
	s.w.after(d, func() {
		c.refused = false
		s.notify()
	})
}

// loseAnswers has a share of the transactions carried out without an answer for a while.
func (s *keyValueStore) loseAnswers(share float64, d time.Duration) {
	s.lost, s.late = share, false
	s.w.after(d, func() { s.lost = 0 })
}

// delayTransactions has a share of the transactions carried out late, after newer ones, and
// without an answer, for a while.
func (s *keyValueStore) delayTransactions(share float64, d time.Duration) {
	s.lost, s.late = share, true
	s.w.after(d, func() { s.lost = 0 })
}

// lower makes the limits those that the settings announced.
func (s *keyValueStore) lower() {
	s.limits = *s.w.shape.Lowered
	s.calls.SetLimit(rate.Limit(s.limits.RPS))
	s.writes.SetLimit(rate.Limit(s.limits.WriteRPS))
	s.writes.SetBurst(int(s.limits.WriteRPS))
}
