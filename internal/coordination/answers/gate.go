package answers

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// Environment is what a Gate needs from the controller.
type Environment interface {
	Now() time.Time
}

// Verdict tells what to do with an answer.
type Verdict int

// The verdicts on an answer.
const (
	// Current answers may be sent now.
	Current Verdict = iota
	// Overtaken answers are older than one that was sent, or is about to be sent. The state must be
	// read again.
	Overtaken
)

// newest is the newest state of a job that this controller has told a user, or is about to tell.
type newest struct {
	state State
	at    time.Time // when it was last told
}

// Gate decides whether an answer may be sent. It keeps the newest state that was told about each job
// for as long as an answer that rests on an older read may still come.
type Gate struct {
	env      Environment
	jobs     map[protocol.JobID]newest
	expiries []expiry // in the order of time
}

// expiry is the time at which a job was told about, and so when its entry may be dropped.
type expiry struct {
	job protocol.JobID
	at  time.Time
}

// NewGate returns a gate that knows of no answer.
func NewGate(env Environment) *Gate {
	return &Gate{env: env, jobs: map[protocol.JobID]newest{}}
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
	if ok && older(s, known.state) && !s.SentAt.After(known.at) {
		return Overtaken
	}
	return Current // a later read that shows an older state shows that the store was restored
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
	now := g.env.Now()
	g.jobs[job] = newest{state: s, at: now}
	g.expiries = append(g.expiries, expiry{job, now})
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
