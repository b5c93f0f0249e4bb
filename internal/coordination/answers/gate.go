package answers

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// Environment is what a Gate needs from the controller.
type Environment interface {
	Now() time.Time
	// NotifyPeers tells the peers which state of a job is about to be told. It returns the number of
	// the notice, and the peers that may answer users and have to confirm it.
	NotifyPeers(s State) (id uint64, awaited []protocol.NodeName)
}

// Verdict tells what to do with an answer.
type Verdict int

// The verdicts on an answer.
const (
	// Current answers may be sent now, if their stage is settled.
	Current Verdict = iota
	// Overtaken answers are older than one that was sent, or is about to be sent, by this controller or
	// by a peer that has given notice of it. The state must be read again.
	Overtaken
	// Outdated answers rest on a read that is so old that a peer may have told a newer state without
	// notice. The state must be read again.
	Outdated
	// Overloaded means that the gate keeps too many jobs to keep another one.
	Overloaded
)

// newest is the newest state of a job that any controller is known to have told a user, or to be about
// to tell.
type newest struct {
	state   State
	settled Stage     // the latest stage that no peer contradicts any more
	at      time.Time // when it was last told
}

// Gate decides whether an answer may be sent. It keeps the newest state that was told about each job
// for as long as an answer that rests on an older read may still come.
type Gate struct {
	env       Environment
	jobs      map[protocol.JobID]newest
	expiries  []expiry // in the order of time
	revisions revisionHistory
	rounds    rounds
}

// expiry is the time at which a job was told about, and so when its entry may be dropped.
type expiry struct {
	job protocol.JobID
	at  time.Time
}

// NewGate returns a gate that knows of no answer.
func NewGate(env Environment) *Gate {
	return &Gate{env: env, jobs: map[protocol.JobID]newest{}, rounds: rounds{byID: map[uint64]*round{}}}
}

// Finished returns the final state of a job if it was told lately or is about to be told.
func (g *Gate) Finished(job protocol.JobID) (State, bool) {
	known, ok := g.jobs[job]
	return known.state, ok && known.state.Stage() == Finished
}

// Check returns the verdict on an answer that shows a state.
func (g *Gate) Check(s State) Verdict {
	g.expire()
	known, ok := g.jobs[s.Status.ID]
	expires := s.Expires()
	switch {
	case ok && older(s, known.state) && !s.SentAt.After(known.at):
		return Overtaken // a later read that shows an older state shows that the store was restored
	case !expires.IsZero() && g.env.Now().After(expires):
		return Outdated
	case !ok && len(g.jobs) >= tuning.MaxOrderedJobs:
		return Overloaded
	}
	return Current
}

// older reports whether a state is older than the newest that was told.
func older(s, told State) bool {
	if s.Stage() != told.Stage() {
		return s.Stage() < told.Stage()
	}
	return s.Stage() == Accepted && s.Revision != 0 && s.Revision < told.Revision
}

// Raise records a state that is told, or is about to be told. From now on, older answers are
// Overtaken.
func (g *Gate) Raise(s State) {
	job := s.Status.ID
	known, ok := g.jobs[job]
	if s.Stage() == Unknown || ok && older(s, known.state) {
		return
	}
	if !ok || older(known.state, s) || s.Revision != 0 {
		known.state = s
	}
	known.at = g.env.Now()
	g.jobs[job] = known
	g.expiries = append(g.expiries, expiry{job, known.at})
}

// ReceiveNotice records the state that a peer is about to tell. It returns true if the peer may rely on
// that no older answer is sent from now on.
func (g *Gate) ReceiveNotice(s State) bool {
	g.expire()
	if _, ok := g.jobs[s.Status.ID]; !ok && len(g.jobs) >= tuning.MaxOrderedJobs {
		return false
	}
	g.Raise(s)
	return true
}

// expire drops the entries after which no answer with an older read can come any more.
func (g *Gate) expire() {
	now, expired := g.env.Now(), 0
	for _, e := range g.expiries {
		if now.Sub(e.at) <= tuning.AnswerMemory {
			break
		}
		expired++
		if g.jobs[e.job].at.Equal(e.at) {
			delete(g.jobs, e.job)
		}
	}
	g.expiries = g.expiries[expired:]
}
