package simulation

import "time"

// tickInterval is the interval between two ticks of an agent.
const tickInterval = 100 * time.Millisecond

// tickTimer wakes an agent at ticks. An agent checks its deadlines only at ticks, which come at a
// fixed interval from its start. A tick at which nothing is due has no effect, so the timer
// schedules only the ticks at which something may be due. Each of them has the position in the
// order of events that it would have if every tick scheduled the next one.
type tickTimer struct {
	world *World
	first position // of tick 0
	next  position // of the tick at which the agent is woken, if set
	set   bool
	wake  func()
}

// newTickTimer returns a timer whose first tick is now. The timer is not set.
func newTickTimer(w *World, wake func()) *tickTimer {
	return &tickTimer{world: w, first: w.lastEvent.following(0, w.nextNumber()), wake: wake}
}

// wakeBy sets the timer to the first future tick at or after due, unless it is already set to an
// earlier tick.
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

// tickFrom returns the position of the first future tick at or after an instant.
func (t *tickTimer) tickFrom(instant time.Duration) position {
	n := (instant - t.first.at + tickInterval - 1) / tickInterval
	if tick := t.tick(n); t.world.lastEvent.before(tick) {
		return tick
	}
	return t.tick(n + 1)
}

// tick returns the position of tick n. Tick 0 is scheduled at the agent's start.
func (t *tickTimer) tick(n time.Duration) position {
	if n == 0 {
		return t.first
	}
	at := t.first.at + n*tickInterval
	return position{at: at, scheduled: at - tickInterval, number: t.first.number, series: &t.first}
}
