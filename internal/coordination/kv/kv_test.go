package kv

import (
	"net/http"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/google/go-cmp/cmp"
)

// scriptedStore answers every call alike and keeps the last one.
type scriptedStore struct {
	status int
	body   string
	last   Call
}

// CallStore implements Transport.
func (s *scriptedStore) CallStore(call Call, done func(status int, body []byte)) {
	s.last = call
	done(s.status, []byte(s.body))
}

// TestOutcomeOfEachStatus: every status of the store has its outcome, and one that the
// protocol does not name means that the store does not serve this node.
func TestOutcomeOfEachStatus(t *testing.T) {
	for status, want := range map[int]Outcome{
		0: Unknown, http.StatusOK: Done, http.StatusConflict: ConditionFailed, http.StatusNotFound: NotFound,
		http.StatusTooManyRequests: Throttled, http.StatusBadRequest: Rejected, http.StatusGone: Compacted,
		http.StatusRequestEntityTooLarge: Compacted, http.StatusServiceUnavailable: Unavailable, http.StatusTeapot: Unavailable,
	} {
		client := New(&scriptedStore{status: status, body: "{}"})
		client.Get("g/a", func(result GetResult) {
			if result.Outcome != want {
				t.Errorf("status %d: outcome %d, want %d", status, result.Outcome, want)
			}
		})
	}
}

// TestTransactionResult: revision and keys are read from an answer that has them; one that
// does not say is told apart from its outcome, and a rejection is kept for the logs.
func TestTransactionResult(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
		want   TransactionResult
	}{
		"committed":        {http.StatusOK, `{"ledger":432}`, TransactionResult{Outcome: Done, Revision: 432}},
		"committed, how?":  {http.StatusOK, `nonsense`, TransactionResult{Outcome: Done, Malformed: true}},
		"condition failed": {http.StatusConflict, `{"failed":["a/b"],"ledger":431}`, TransactionResult{Outcome: ConditionFailed, Revision: 431, Failed: []string{"a/b"}}},
		"rejected":         {http.StatusBadRequest, `no such lease`, TransactionResult{Outcome: Rejected, Detail: "no such lease"}},
		"not answered":     {0, ``, TransactionResult{Outcome: Unknown}},
	} {
		t.Run(name, func(t *testing.T) {
			New(&scriptedStore{status: c.status, body: c.body}).Transact(protocol.Transaction{}, func(result TransactionResult) {
				if d := cmp.Diff(c.want, result); d != "" {
					t.Error(d)
				}
			})
		})
	}
}

// TestConnectionOfEachCall: renewals of the leader lease and watches have connections of
// their own.
func TestConnectionOfEachCall(t *testing.T) {
	store := &scriptedStore{}
	client := New(store)
	for name, c := range map[string]struct {
		call func()
		want Connection
	}{
		"read":    {func() { client.Get("g/a", func(GetResult) {}) }, Shared},
		"range":   {func() { client.Range("g/", "", 10, func(RangeResult) {}) }, Shared},
		"grant":   {func() { client.GrantLease(time.Second, func(LeaseResult) {}) }, Shared},
		"renewal": {func() { client.RenewLeaderLease(7, func(Outcome) {}) }, LeaderLease},
		"watch":   {func() { client.Watch("g/", 4, time.Second, func(WatchResult) {}) }, Watching},
	} {
		if c.call(); store.last.Connection != c.want {
			t.Errorf("%s goes over connection %d, want %d", name, store.last.Connection, c.want)
		}
	}
}

// TestLeaseResponseWithoutIDGrantsNone: an answer that names no lease grants none.
func TestLeaseResponseWithoutIDGrantsNone(t *testing.T) {
	for body, want := range map[string]protocol.LeaseID{`{"permit":7}`: 7, `{}`: 0, `nonsense`: 0} {
		New(&scriptedStore{status: http.StatusOK, body: body}).GrantLease(time.Second, func(result LeaseResult) {
			if result.Outcome != Done || result.Lease != want {
				t.Errorf("%s: %+v, want lease %d", body, result, want)
			}
		})
	}
}
