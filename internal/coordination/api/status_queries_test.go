package api

import (
	"net/http"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// TestStatusQueryIsAnsweredFromNewestRecord: a status query is answered from the mirror's
// record only after the store has confirmed that there is no newer one.
func TestStatusQueryIsAnsweredFromNewestRecord(t *testing.T) {
	c := newController(t)
	spec := testSpec()
	c.storeJob(t, &spec, 5)
	c.Query(1, spec.ID)
	c.Submit(2, &spec) // a repeated submission
	c.Tick()
	if len(c.calls) > 0 {
		t.Fatal("checked at once, without waiting for other queries to join the batch")
	}
	var due time.Time
	c.Due(func(at time.Time) { due = at })
	c.now = due
	c.Tick()
	c.respond(t, protocol.PathTransactions, http.StatusOK, protocol.TransactionResponse{Revision: 9})
	c.expect(t, "1 status pending 0", "2 accepted pending")

	c.Query(3, spec.ID)
	c.now = c.now.Add(time.Second)
	c.Tick()
	c.respond(t, protocol.PathTransactions, http.StatusConflict, protocol.TransactionResponse{Failed: []string{storage.JobKey(spec.ID)}})
	c.respond(t, protocol.KeyPath(storage.JobKey(spec.ID)), http.StatusNotFound, nil)
	c.respond(t, protocol.KeyPath(storage.FinalRecordKey(spec.ID)), http.StatusOK,
		protocol.Entry{Value: storage.Encode(storage.FinalRecord{Phase: protocol.PhaseDone, Done: 2})})
	c.expect(t, "3 status done 2")
	c.Query(4, spec.ID) // cached: a final state never changes
	c.expect(t, "4 status done 2")

	c.Query(5, "run-000002")
	c.respond(t, protocol.KeyPath(storage.JobKey("run-000002")), http.StatusNotFound, nil)
	c.respond(t, protocol.KeyPath(storage.FinalRecordKey("run-000002")), http.StatusNotFound, nil)
	c.expect(t, "5 unknown")
}
