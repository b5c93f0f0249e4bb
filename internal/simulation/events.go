package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// position is the place of an event in the order of all events. Events are ordered by the time at
// which they happen, then by the time at which they were scheduled, then by the order in which
// they were scheduled. Both times count from the start of the world.
type position struct {
	at        time.Duration
	scheduled time.Duration
	number    int
	// series is the position of the event that began the series of this one, nil if the event
	// is in no series. Each event of a series schedules the next one tickInterval ahead.
	series *position
}

// before reports whether p comes before other.
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

// beganBefore reports whether the series begun by p comes before the series begun by other
// whenever both have an event at the same time. Their order at the first such time decides. At
// that time the event of the earlier series was scheduled tickInterval ahead. The event of the
// later series is its first one, which was not scheduled tickInterval ahead.
func (p position) beganBefore(other position) bool {
	switch {
	case p.at < other.at:
		return other.at-tickInterval < other.scheduled
	case p.at > other.at:
		return p.at-tickInterval > p.scheduled
	}
	return p.before(other)
}

// following returns the position of an event that the event at p schedules.
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

// event is a function that the world calls at a given position.
type event struct {
	position
	do func()
}

// eventQueue is a binary heap of the events to come. The first event is at index 0. The children
// of index i are at 2i+1 and 2i+2.
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
	heap[len(heap)-1] = event{} // releases the references it holds
	heap = heap[:len(heap)-1]
	*q = heap
	if len(heap) > 0 {
		heap.siftDown(last)
	}
	return first
}

// siftDown inserts an event at the root and moves events that come before it up.
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

// worldStart is the time on the fake clock at which every world starts.
var worldStart = time.Unix(1_800_000_000, 0)

// timeline holds a world's clock, its queue of events and its random number generator.
type timeline struct {
	Now       time.Time
	rng       *rand.Rand
	queue     eventQueue
	scheduled int      // number of events scheduled so far
	lastEvent position // of the event that happened last
}

// newTimeline returns a timeline at the start of a world.
func newTimeline(seed uint64) timeline {
	return timeline{Now: worldStart, rng: rand.New(rand.NewPCG(seed, 7))}
}

// elapsed returns how long the world has run.
func (t *timeline) elapsed() time.Duration { return t.Now.Sub(worldStart) }

// clock formats the elapsed time in seconds, for logs.
func (t *timeline) clock() string { return fmt.Sprintf("%.3f", t.elapsed().Seconds()) }

// between returns a random duration from lo to hi.
func (t *timeline) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(t.rng.Int64N(int64(hi-lo)+1))
}

// after schedules a call of do once d has passed.
func (t *timeline) after(d time.Duration, do func()) {
	t.queue.push(event{t.lastEvent.following(d, t.nextNumber()), do})
}

// every calls do several times at a fixed interval, the first time at once.
func (t *timeline) every(interval time.Duration, times int, do func(i int)) {
	for i := range times {
		t.after(time.Duration(i)*interval, func() { do(i) })
	}
}

// nextNumber returns the number of the next event in the order of scheduling.
func (t *timeline) nextNumber() int {
	t.scheduled++
	return t.scheduled
}

// Run advances the world by d and runs all events that are due until then.
func (t *timeline) Run(d time.Duration) {
	end := t.elapsed() + d
	for len(t.queue) > 0 && t.queue[0].at <= end {
		e := t.queue.pop()
		t.Now, t.lastEvent = worldStart.Add(e.at), e.position
		e.do()
	}
	t.Now, t.lastEvent = worldStart.Add(end), position{at: end, scheduled: end, number: t.scheduled}
}
