package api

import (
	"net/http"
	"testing"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// TestSubmissionIsRetriedWhileItsResponseIsLost: after a lost response the same transaction is
// sent again, which shows whether the first one was applied. If it was, the job is reported as
// accepted and is not created twice.
func TestSubmissionIsRetriedWhileItsResponseIsLost(t *testing.T) {
	c := newController(t)
	spec := testSpec()
	c.Submit(1, &spec)
	first := c.calls[0].Body.([]byte)
	c.respond(t, protocol.PathTransactions, 0, nil)
	if again := c.calls[0].Body.([]byte); string(again) != string(first) {
		t.Errorf("transaction sent again as %s, was %s", again, first)
	}
	c.respond(t, protocol.PathTransactions, http.StatusConflict, protocol.TransactionResponse{Failed: []string{storage.JobKey(spec.ID)}})
	c.respond(t, protocol.KeyPath(storage.JobKey(spec.ID)), http.StatusOK,
		protocol.Entry{Key: storage.JobKey(spec.ID), Revision: 5, Value: storage.Encode(storage.Job{Spec: &spec, TasksPerBaseRecord: 60})})
	c.expect(t, "1 accepted pending")
	c.Submit(2, &spec)
	c.respond(t, protocol.PathTransactions, http.StatusOK, protocol.TransactionResponse{Revision: 7})
	c.expect(t, "2 created pending")
	c.Submit(3, &spec)
	c.now = c.now.Add(tuning.UserRequestTimeout)
	c.respond(t, protocol.PathTransactions, 0, nil)
	c.expect(t, "3 unavailable: "+reasonStoreNotResponding)
}
