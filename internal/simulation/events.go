package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// position is the place of an event in the order of all events: by the instant at which
// it happens, at the same instant by the one at which it was scheduled, then by the order
// of the scheduling. Both instants count from the start of the world.
type position struct {
	at        time.Duration
	scheduled time.Duration
	number    int
	// series is the place of the event with which a series began, nil for one that is in
	// none. Each event of a series is scheduled by the one before, a tickInterval ahead.
	series *position
}

// before says whether p comes before other.
func (p position) before(other position) bool {
	switch {
	case p.at != other.at:
		return p.at < other.at
	case p.scheduled != other.scheduled:
		return p.scheduled < other.scheduled
	case p.series != nil && other.series != nil && p.series != other.series:
		return p.series.beganBefore(*other.series)
	}
	return p.number < other.number
}

// beganBefore says whether the series that began with p comes before the one that began
// with other at all instants at which both have an event. The order at the first such
// instant decides: there the earlier series has an event that was scheduled a tickInterval
// ahead, and the later one its first, which was not.
func (p position) beganBefore(other position) bool {
	switch {
	case p.at < other.at:
		return other.at-tickInterval < other.scheduled
	case p.at > other.at:
		return p.at-tickInterval > p.scheduled
	}
	return p.before(other)
}

// following is the place of an event that the one at p schedules.
func (p position) following(delay time.Duration, number int) position {
	next := position{at: p.at + delay, scheduled: p.at, number: number}
	switch {
	case delay != tickInterval:
	case p.series != nil:
		next.series = p.series
	default:
		start := p
		next.series = &start
	}
	return next
}

// event is something that happens in the world.
type event struct {
	position
	do func()
}

// eventQueue is a binary heap of the events to come: the first one is at index 0, the
// children of index i are at 2i+1 and 2i+2.
type eventQueue []event

// push adds an event.
func (q *eventQueue) push(e event) {
	*q = append(*q, e)
	heap := *q
	i := len(heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !e.before(heap[parent].position) {
			break
		}
		heap[i] = heap[parent]
		i = parent
	}
	heap[i] = e
}

// pop removes and returns the first event.
func (q *eventQueue) pop() event {
	heap := *q
	first, last := heap[0], heap[len(heap)-1]
	heap[len(heap)-1] = event{} // frees what it refers to
	heap = heap[:len(heap)-1]
	*q = heap
	if len(heap) > 0 {
		heap.siftDown(last)
	}
	return first
}

// siftDown puts an event at the place of the first one and moves those that come before it up.
func (q eventQueue) siftDown(e event) {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(q) {
			break
		}
		if child+1 < len(q) && q[child+1].before(q[child].position) {
			child++
		}
		if !q[child].before(e.position) {
			break
		}
		q[i] = q[child]
		i = child
	}
	q[i] = e
}

// worldStart is the time at which every world starts.
var worldStart = time.Unix(1_800_000_000, 0)

// timeline is a world's clock with the events to come, and its random numbers.
type timeline struct {
	Now       time.Time
	rng       *rand.Rand
	queue     eventQueue
	scheduled int      // events so far
	lastEvent position // of the newest event that has happened
}

// newTimeline is a timeline at its start.
func newTimeline(seed uint64) timeline {
	return timeline{Now: worldStart, rng: rand.New(rand.NewPCG(seed, 7))}
}

// elapsed is how long the world has run.
func (t *timeline) elapsed() time.Duration { return t.Now.Sub(worldStart) }

// clock is the time since the start for logs, in seconds.
func (t *timeline) clock() string { return fmt.Sprintf("%.3f", t.elapsed().Seconds()) }

// between draws a time.
func (t *timeline) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(t.rng.Int64N(int64(hi-lo)+1))
}

// after does something once the time has passed.
func (t *timeline) after(d time.Duration, do func()) {
	t.queue.push(event{t.lastEvent.following(d, t.nextNumber()), do})
}

// nextNumber numbers events in the order in which they are scheduled.
func (t *timeline) nextNumber() int {
	t.scheduled++
	return t.scheduled
}

// Run lets the world go on for a while.
func (t *timeline) Run(d time.Duration) {
	end := t.elapsed() + d
	for len(t.queue) > 0 && t.queue[0].at <= end {
		e := t.queue.pop()
		t.Now, t.lastEvent = worldStart.Add(e.at), e.position
		e.do()
	}
	t.Now, t.lastEvent = worldStart.Add(end), position{at: end, scheduled: end, number: t.scheduled}
}
