package answers

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// controller is the environment of a gate under test.
type controller struct {
	*Gate
	now     time.Time
	peers   []protocol.NodeName
	notices []State
}

func newController(peers ...protocol.NodeName) *controller {
	c := &controller{now: time.Unix(1_800_000_000, 0), peers: peers}
	c.Gate = NewGate(c)
	return c
}

func (c *controller) Now() time.Time { return c.now }

func (c *controller) NotifyPeers(s State) (id uint64, awaited []protocol.NodeName) {
	c.notices = append(c.notices, s)
	return uint64(len(c.notices)), append([]protocol.NodeName(nil), c.peers...)
}

// wait lets time pass in steps, as a node's timer does.
func (c *controller) wait(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(10 * time.Millisecond)
		c.Tick(0)
	}
}

// read returns the state that a read sent now shows.
func (c *controller) read(phase protocol.Phase) State {
	return State{Status: protocol.Status{ID: "run-1", Phase: phase}, SentAt: c.now}
}

// TestFinalStateWaitsForPeers guards against a final state that is told while a peer may still tell an
// older one: it waits for the confirmation of every peer, or until older answers have expired.
func TestFinalStateWaitsForPeers(t *testing.T) {
	c := newController("a", "b")
	settled := 0
	done := c.read(protocol.PhaseDone)
	running := c.read(protocol.PhaseRunning)
	for range 2 { // both answers wait for one notice
		c.Settle(done, func() { settled++ })
	}
	c.Confirm("a", 1)
	c.Confirm("a", 1)
	if settled > 0 || c.Settled(done) || len(c.notices) != 1 {
		t.Fatalf("settled %d after one of two confirmations, %d notices", settled, len(c.notices))
	}
	if c.Check(running) != Overtaken {
		t.Error("an older answer may be sent while a newer one waits")
	}
	c.Confirm("b", 1)
	if settled != 2 || !c.Settled(done) || c.Unconfirmed() != 0 {
		t.Errorf("settled %d after all confirmations, %d unconfirmed", settled, c.Unconfirmed())
	}

	c = newController("a")
	c.Settle(c.read(protocol.PhaseDone), func() { settled++ })
	c.wait(tuning.MaxAnswerAge)
	if settled != 2 {
		t.Error("settled while the peer's older answers may still be sent")
	}
	c.wait(tuning.AnswerAgeMargin)
	if settled != 3 || c.Unconfirmed() != 1 {
		t.Errorf("settled %d, %d unconfirmed", settled, c.Unconfirmed())
	}
}

// TestAnswersExpire: an answer about an unfinished or unknown job may be sent for a limited time after
// its read, which is shorter than the wait of a peer that gets no confirmation.
func TestAnswersExpire(t *testing.T) {
	for phase, limit := range map[protocol.Phase]time.Duration{
		protocol.PhasePending: tuning.MaxAnswerAge, protocol.PhaseRunning: tuning.MaxAnswerAge, "": tuning.MaxUnknownAnswerAge,
	} {
		c := newController()
		s := c.read(phase)
		c.now = c.now.Add(limit)
		if c.Check(s) != Current {
			t.Errorf("%q is not current after %v", phase, limit)
		}
		c.now = c.now.Add(1)
		if c.Check(s) != Outdated {
			t.Errorf("%q is current after more than %v", phase, limit)
		}
		if contradictedFor(s.Stage()+1) <= limit {
			t.Errorf("peers wait %v for %q, which expires after %v", contradictedFor(s.Stage()+1), phase, limit)
		}
	}
	c := newController()
	if s := c.read(protocol.PhaseDone); !s.Expires().IsZero() {
		t.Error("a final state expires")
	}
}

// TestOldStatesNeedNoNotice: a state that the store is known to have had for long enough is told at once.
func TestOldStatesNeedNoNotice(t *testing.T) {
	c := newController("a")
	c.Tick(40)
	c.now = c.now.Add(10 * time.Millisecond)
	c.Tick(41)
	for range 15 {
		c.now = c.now.Add(tuning.RevisionSampleInterval)
		c.Tick(50)
	}
	for revision, want := range map[protocol.Revision]bool{0: false, 40: true, 50: true, 51: false} {
		s := c.read(protocol.PhaseDone)
		s.ReachedBy = revision
		if got := c.Settled(s); got != want {
			t.Errorf("revision %d: settled %v", revision, got)
		}
	}
	s := c.read(protocol.PhaseDone)
	s.KnownSince = c.now.Add(-contradictedFor(Finished))
	if !c.Settled(s) {
		t.Error("a state that was known for long enough needs a notice")
	}
	c.Tick(0) // the records are loaded again
	s = c.read(protocol.PhaseDone)
	s.ReachedBy = 40
	if c.Settled(s) {
		t.Error("a revision from before a restore counts as old")
	}
}

// TestNoticeOfPeerOvertakesAnswers: after a peer's notice no older answer is sent, and the entry lasts for
// longer than any such answer.
func TestNoticeOfPeerOvertakesAnswers(t *testing.T) {
	c := newController("a")
	running := c.read(protocol.PhaseRunning)
	unknown := c.read("")
	if !c.ReceiveNotice(State{Status: protocol.Status{ID: "run-1", Phase: protocol.PhaseCancelled}}) {
		t.Fatal("the notice is not confirmed")
	}
	final, ok := c.Finished("run-1")
	if c.Check(running) != Overtaken || c.Check(unknown) != Overtaken || !ok || final.Status.Phase != protocol.PhaseCancelled {
		t.Errorf("older answers may be sent; final state %+v, %v", final, ok)
	}
	c.now = c.now.Add(tuning.AnswerMemory + 1)
	if c.Check(running) == Current || c.Check(unknown) == Current {
		t.Error("an older answer may be sent after the notice is forgotten")
	}
	if len(c.jobs) > 0 || len(c.expiries) > 0 {
		t.Errorf("%d jobs and %d expiries are kept", len(c.jobs), len(c.expiries))
	}
}

// TestGateIsBounded: beyond the limit a notice is not confirmed, and answers about further jobs are
// refused until older entries have expired.
func TestGateIsBounded(t *testing.T) {
	c := newController()
	for i := range tuning.MaxOrderedJobs {
		c.Raise(State{Status: protocol.Status{ID: protocol.JobID(fmt.Sprint("run-a", i)), Phase: protocol.PhaseDone}})
	}
	s := c.read(protocol.PhaseDone)
	if c.Check(s) != Overloaded || c.ReceiveNotice(s) {
		t.Error("more jobs are kept than the limit allows")
	}
	c.now = c.now.Add(tuning.AnswerMemory + 1)
	if c.Check(s) != Current || !c.ReceiveNotice(s) {
		t.Error("answers are refused although all entries have expired")
	}
}
