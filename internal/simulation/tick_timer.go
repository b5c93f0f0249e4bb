package simulation

import "time"

// tickInterval is the time between two ticks of an agent.
const tickInterval = 100 * time.Millisecond

// tickTimer wakes an agent at ticks. The agent looks at its timers at ticks only, which
// come at a fixed interval from its start on; a tick at which nothing is due would do
// nothing, so that the timer has only those happen at which something may be. Each has
// the place in the order of events that it would have if every tick scheduled the next.
type tickTimer struct {
	world *World
	first position // of the first tick
	next  position // at which the agent is woken, if set
	set   bool
	wake  func()
}

// newTickTimer makes a timer whose first tick is at once. It is not set.
func newTickTimer(w *World, wake func()) *tickTimer {
	return &tickTimer{world: w, first: w.lastEvent.following(0, w.nextNumber()), wake: wake}
}

// wakeBy has the agent woken at the first tick to come at or after a time, unless it is
// to be woken before that anyway.
func (t *tickTimer) wakeBy(due time.Time) {
	next := t.tickFrom(max(due.Sub(worldStart), t.world.elapsed()))
	if t.set && !next.before(t.next) {
		return
	}
	t.next, t.set = next, true
	t.world.queue.push(event{next, func() {
		if t.set && t.next == next {
			t.set = false
			t.wake()
		}
	}})
}

// tickFrom is the first tick at or after an instant that is still to come.
func (t *tickTimer) tickFrom(instant time.Duration) position {
	n := (instant - t.first.at + tickInterval - 1) / tickInterval
	if tick := t.tick(n); t.world.lastEvent.before(tick) {
		return tick
	}
	return t.tick(n + 1)
}

// tick is the place of tick n; the first one, number 0, is scheduled at the agent's start.
func (t *tickTimer) tick(n time.Duration) position {
	if n == 0 {
		return t.first
	}
	at := t.first.at + n*tickInterval
	return position{at: at, scheduled: at - tickInterval, number: t.first.number, series: &t.first}
}
