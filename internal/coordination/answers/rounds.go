package answers

import (
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// round is a notice to the peers, and the answers that wait for its confirmation.
type round struct {
	id      uint64
	state   State
	awaited []protocol.NodeName // peers that have not confirmed
	endsAt  time.Time           // when the peers that have not confirmed no longer tell an earlier stage
	waiting []func()
}

// rounds are the notices that are not confirmed by all peers yet.
type rounds struct {
	byID        map[uint64]*round
	order       []*round // by the time at which they began
	unconfirmed uint64   // rounds that ended without the confirmation of all peers
}

// find returns the round for a stage of a job, nil if there is none.
func (r *rounds) find(job protocol.JobID, stage Stage) *round {
	for _, candidate := range r.order {
		if candidate.state.Status.ID == job && candidate.state.Stage() == stage {
			return candidate
		}
	}
	return nil
}

// remove ends a round.
func (r *rounds) remove(ended *round) {
	delete(r.byID, ended.id)
	r.order = slices.DeleteFunc(r.order, func(candidate *round) bool { return candidate == ended })
}

// Settled reports whether a state may be told as far as the peers are concerned: none of them will
// tell an earlier stage of the job any more.
func (g *Gate) Settled(s State) bool {
	now, stage := g.env.Now(), s.Stage()
	since := now.Add(-contradictedFor(stage))
	switch {
	case stage == Unknown || g.jobs[s.Status.ID].settled >= stage:
		return true
	case s.ReachedBy != 0 && s.ReachedBy <= g.revisions.knownAt(since):
		return true
	}
	return !s.KnownSince.IsZero() && !s.KnownSince.After(since)
}

// Settle gives the peers notice of a state, and calls done once none of them will tell an earlier stage
// of the job: when each has confirmed the notice, or when those that have not are bound to have noticed
// by themselves. Older answers of this controller are Overtaken at once.
func (g *Gate) Settle(s State, done func()) {
	g.Raise(s)
	if current := g.rounds.find(s.Status.ID, s.Stage()); current != nil {
		current.waiting = append(current.waiting, done)
		return
	}
	id, awaited := g.env.NotifyPeers(s)
	begun := &round{id: id, state: s, awaited: awaited,
		endsAt: g.env.Now().Add(contradictedFor(s.Stage())), waiting: []func(){done}}
	g.rounds.byID[id] = begun
	g.rounds.order = append(g.rounds.order, begun)
	if len(awaited) == 0 {
		g.end(begun)
	}
}

// Confirm records that a peer has confirmed a notice.
func (g *Gate) Confirm(from protocol.NodeName, id uint64) {
	confirmed := g.rounds.byID[id]
	if confirmed == nil {
		return
	}
	confirmed.awaited = slices.DeleteFunc(confirmed.awaited, func(name protocol.NodeName) bool { return name == from })
	if len(confirmed.awaited) == 0 {
		g.end(confirmed)
	}
}

// end settles the stage of a round and lets the answers that wait for it go on.
func (g *Gate) end(ended *round) {
	g.rounds.remove(ended)
	g.Raise(ended.state)
	if known, ok := g.jobs[ended.state.Status.ID]; ok {
		known.settled = max(known.settled, ended.state.Stage())
		g.jobs[ended.state.Status.ID] = known
	}
	for _, proceed := range ended.waiting {
		proceed()
	}
}

// Tick ends the rounds whose time is over. revision is the revision of the store that this controller
// knows, 0 if it knows none.
func (g *Gate) Tick(revision protocol.Revision) {
	now := g.env.Now()
	g.revisions.observe(revision, now)
	for _, candidate := range slices.Clone(g.rounds.order) {
		if !now.Before(candidate.endsAt) {
			g.rounds.unconfirmed++
			g.end(candidate)
		}
	}
}

// Due calls wakeBy with the times at which rounds end.
func (g *Gate) Due(wakeBy func(time.Time)) {
	for _, candidate := range g.rounds.order {
		wakeBy(candidate.endsAt)
	}
}

// Unconfirmed returns the number of notices that not all peers have confirmed in time.
func (g *Gate) Unconfirmed() uint64 { return g.rounds.unconfirmed }
