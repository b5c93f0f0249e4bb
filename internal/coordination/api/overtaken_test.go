package api

import (
	"net/http"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// respondTo completes the pending call at an index.
func (c *controller) respondTo(index, status int, body any) {
	call := c.calls[index]
	c.calls = append(c.calls[:index:index], c.calls[index+1:]...)
	call.done(status, storage.Encode(body))
}

// queryInFlight returns a controller whose comparison for a request about a stored job is under way.
func queryInFlight(t *testing.T, ask func(c *controller, spec *protocol.Job)) (*controller, protocol.Job) {
	t.Helper()
	c, spec := newController(t), testSpec()
	c.storeJob(t, &spec, 5)
	ask(c, &spec)
	c.now = c.now.Add(time.Second)
	c.Tick()
	return c, spec
}

// TestAnswersOvertakenOnOneController guards against a status query or repeated submission that is
// answered with the state of the time at which the store was asked, after the same controller has told a
// newer one.
func TestAnswersOvertakenOnOneController(t *testing.T) {
	committed := protocol.TransactionResponse{Revision: 9}
	requests := map[string]struct {
		ask   func(c *controller, spec *protocol.Job)
		reply string
	}{
		"query":               {func(c *controller, spec *protocol.Job) { c.Query(1, spec.ID) }, "1 status"},
		"repeated submission": {func(c *controller, spec *protocol.Job) { c.Submit(1, spec) }, "1 accepted"},
	}
	for name, request := range requests {
		t.Run(name+" by a cancellation", func(t *testing.T) {
			c, spec := queryInFlight(t, request.ask)
			c.Cancel(2, spec.ID)
			c.respondTo(1, http.StatusOK, committed)
			c.respondTo(0, http.StatusOK, committed)
			want := request.reply + " withdrawn"
			if name == "query" {
				want += " 0"
			}
			c.expect(t, "announced run-000001", "confirmed run-000001", "2 accepted withdrawn", "confirmed run-000001", want)
		})
		t.Run(name+" by the end of the job", func(t *testing.T) {
			c, spec := queryInFlight(t, request.ask)
			c.JobFinished(spec.ID, storage.FinalRecord{Phase: protocol.PhaseDone, Done: 2})
			c.Query(2, spec.ID)
			c.respondTo(0, http.StatusOK, committed)
			want := request.reply + " done"
			if name == "query" {
				want += " 2"
			}
			c.expect(t, "2 status done 2", want)
		})
		t.Run(name+" by one about a newer record", func(t *testing.T) {
			c, spec := queryInFlight(t, request.ask)
			c.storeJob(t, &spec, 7)
			c.Query(2, spec.ID)
			c.now = c.now.Add(100 * time.Millisecond)
			c.Tick()
			c.respondTo(1, http.StatusOK, committed)
			c.expect(t, "2 status pending 0")
			c.respondTo(0, http.StatusOK, committed)
			c.expect(t) // the record is compared again
			c.now = c.now.Add(100 * time.Millisecond)
			c.Tick()
			c.respond(t, protocol.PathTransactions, http.StatusOK, committed)
			if len(c.log) != 1 {
				t.Errorf("replies: %q, want one", c.log)
			}
		})
	}
}

// TestUnknownJobOvertakenByItsAcceptance guards against a query that finds no record, and is answered
// with status 404 after the job was accepted.
func TestUnknownJobOvertakenByItsAcceptance(t *testing.T) {
	c, spec := newController(t), testSpec()
	c.Query(1, spec.ID)
	c.Submit(2, &spec)
	c.now = c.now.Add(time.Millisecond)
	c.respondTo(1, http.StatusOK, protocol.TransactionResponse{Revision: 7})
	c.respondTo(0, http.StatusNotFound, nil)
	c.respond(t, protocol.KeyPath(storage.FinalRecordKey(spec.ID)), http.StatusNotFound, nil)
	c.expect(t, "2 created pending")
	stored := c.storeJob(t, &spec, 7)
	c.respond(t, protocol.KeyPath(stored.Key), http.StatusOK, stored)
	c.expect(t, "1 status pending 0")
}

// TestAcceptanceOvertakenByCancellation guards against a submission whose response from the store is
// late, and that is answered with "pending" after the job was cancelled.
func TestAcceptanceOvertakenByCancellation(t *testing.T) {
	c, spec := newController(t), testSpec()
	c.Submit(1, &spec)
	stored := c.storeJob(t, &spec, 7)
	c.Cancel(2, spec.ID)
	c.respondTo(1, http.StatusOK, protocol.TransactionResponse{Revision: 8})
	c.respondTo(0, http.StatusOK, protocol.TransactionResponse{Revision: stored.Revision})
	c.expect(t, "announced run-000001", "confirmed run-000001", "2 accepted withdrawn", "confirmed run-000001", "1 accepted withdrawn")
}

// TestRestoredStoreIsBelieved: a read that was sent after a newer state was told, and that shows an older
// one, shows that the store was restored. It is not read again and again.
func TestRestoredStoreIsBelieved(t *testing.T) {
	c, spec := newController(t), testSpec()
	c.Submit(1, &spec)
	c.respondTo(0, http.StatusOK, protocol.TransactionResponse{Revision: 7})
	c.now = c.now.Add(time.Millisecond)
	c.Query(2, spec.ID)
	c.respondTo(0, http.StatusNotFound, nil)
	c.respond(t, protocol.KeyPath(storage.FinalRecordKey(spec.ID)), http.StatusNotFound, nil)
	c.expect(t, "1 created pending", "2 unknown")
}

// TestOutdatedAnswersAreCheckedTogether: answers whose comparison took so long that a peer may have told a
// newer state are checked again, all by one transaction.
func TestOutdatedAnswersAreCheckedTogether(t *testing.T) {
	c, spec := newController(t), testSpec()
	c.storeJob(t, &spec, 5)
	c.Query(1, spec.ID)
	c.Query(2, spec.ID)
	c.Submit(3, &spec)
	for _, responseTime := range []time.Duration{tuning.MaxAnswerAge + 1, tuning.MaxAnswerAge / 10} {
		c.expect(t)
		c.now = c.now.Add(tuning.StatusQueryBatchDelay)
		c.Tick()
		c.now = c.now.Add(responseTime)
		c.respond(t, protocol.PathTransactions, http.StatusOK, protocol.TransactionResponse{Revision: 9})
	}
	c.expect(t, "1 status pending 0", "2 status pending 0", "3 accepted pending")
}
