package api

import (
	"net/http"
	"slices"
	"testing"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
)

// TestCancellationIsAnnouncedBeforeItIsConfirmed: the leader is told of a cancellation that
// is in the records, a conflict reads the record again, and what users were told is
// remembered until it has taken effect.
func TestCancellationIsAnnouncedBeforeItIsConfirmed(t *testing.T) {
	c := newController(t)
	spec := testSpec()
	entry := c.storeJob(t, &spec, 5)
	c.Cancel(1, spec.ID)
	c.respond(t, protocol.PathTransactions, http.StatusConflict, protocol.TransactionResponse{Failed: []string{entry.Key}})
	c.respond(t, protocol.KeyPath(entry.Key), http.StatusOK, entry)
	c.expect(t)
	c.respond(t, protocol.PathTransactions, http.StatusOK, protocol.TransactionResponse{Revision: 9})
	c.expect(t, "announced run-000001", "confirmed run-000001", "1 accepted "+string(protocol.PhaseCancelled))
	if got := c.ConfirmedCancellations(); !slices.Equal(got, []protocol.JobID{spec.ID}) {
		t.Errorf("confirmed: %v", got)
	}
	c.now = c.now.Add(2 * config.Seconds(c.queries.cfg.Cluster.Agents.CancelS))
	if got := c.ConfirmedCancellations(); len(got) > 0 {
		t.Errorf("still kept: %v", got)
	}
}
