// Package kv is the client of the consensus-backed key-value store: typed calls and typed
// outcomes in place of HTTP methods, paths and statuses.
//
// It keeps no state, decides nothing and repeats nothing: what a lost answer means is for
// the caller to find out.
package kv

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// Outcome is how a call ended.
type Outcome int

// Outcomes of calls.
const (
	// Unknown: no answer came; the call may have been carried out, or may be yet.
	Unknown Outcome = iota
	// Done: the call was carried out.
	Done
	// ConditionFailed: a transaction changed nothing, for a condition of it does not hold.
	ConditionFailed
	// NotFound: there is no such key or lease.
	NotFound
	// Throttled: refused, more was asked for than the store's limits allow.
	Throttled
	// Rejected: refused as malformed, too large, or under a lease that has expired.
	Rejected
	// Compacted: a watch begins too far back, or at more changes than one answer holds.
	Compacted
	// Unavailable: the store does not serve this node now.
	Unavailable
)

// outcomeOf translates a status.
func outcomeOf(status int) Outcome {
	switch status {
	case 0:
		return Unknown
	case http.StatusOK:
		return Done
	case http.StatusConflict:
		return ConditionFailed
	case http.StatusNotFound:
		return NotFound
	case http.StatusTooManyRequests:
		return Throttled
	case http.StatusBadRequest:
		return Rejected
	case http.StatusGone, http.StatusRequestEntityTooLarge:
		return Compacted
	}
	return Unavailable
}

// Connection is the connection that a call goes over.
type Connection int

// Connections to the store.
const (
	Shared Connection = iota
	// LeaderLease is kept for renewals of the leader lease.
	LeaderLease
	// Watching calls hang until something changes, and do not count as asking whether the
	// store serves this node.
	Watching
)

// Call is a request to the store. A body that is no []byte is encoded as JSON.
type Call struct {
	Connection Connection
	Method     string
	Path       string
	Body       any
}

// Transport carries calls to the store. Status 0 stands for no answer.
type Transport interface {
	CallStore(call Call, done func(status int, body []byte))
}

// ConditionsPerChange is how many conditions a transaction may have for each change that it
// may have.
const ConditionsPerChange = 4

// Client makes calls to the store. Each is answered by one call of done.
type Client struct{ transport Transport }

// New makes a client.
func New(transport Transport) Client { return Client{transport} }

// TransactionResult is the answer to a transaction: Done if it was committed.
type TransactionResult struct {
	Outcome   Outcome
	Malformed bool              // the answer does not say revision and keys
	Revision  protocol.Revision // of the store
	Failed    []string          // keys whose conditions do not hold
	Detail    string            // what the store said of a rejected one, for logs
}

// Transact carries out a transaction on conditions.
func (c Client) Transact(txn protocol.Transaction, done func(TransactionResult)) {
	c.transact(txn, done)
}

// TransactEncoded is Transact of a transaction that is encoded already, so that the same
// one can be sent again.
func (c Client) TransactEncoded(txn []byte, done func(TransactionResult)) { c.transact(txn, done) }

func (c Client) transact(body any, done func(TransactionResult)) {
	c.transport.CallStore(Call{Method: http.MethodPost, Path: protocol.PathTransactions, Body: body}, func(status int, body []byte) {
		result := TransactionResult{Outcome: outcomeOf(status)}
		switch result.Outcome {
		case Done, ConditionFailed:
			var answer protocol.TransactionResponse
			result.Malformed = json.Unmarshal(body, &answer) != nil
			result.Revision, result.Failed = answer.Revision, answer.Failed
		case Rejected:
			result.Detail = string(body)
		}
		done(result)
	})
}

// GetResult is the answer to a read of one key.
type GetResult struct {
	Outcome   Outcome
	Malformed bool // the entry cannot be read
	Entry     protocol.Entry
}

// Get reads one key.
func (c Client) Get(key string, done func(GetResult)) {
	c.transport.CallStore(Call{Method: http.MethodGet, Path: protocol.KeyPath(key)}, func(status int, body []byte) {
		result := GetResult{Outcome: outcomeOf(status)}
		if result.Outcome == Done {
			result.Malformed = json.Unmarshal(body, &result.Entry) != nil
		}
		done(result)
	})
}

// RangeResult is the answer to a read of a page of keys.
type RangeResult struct {
	Outcome   Outcome
	Malformed bool
	Page      protocol.Entries
}

// Range reads a page of the keys with a prefix that come after a key.
func (c Client) Range(prefix, after string, limit int, done func(RangeResult)) {
	c.transport.CallStore(Call{Method: http.MethodGet, Path: protocol.RangePath(prefix, after, limit)}, func(status int, body []byte) {
		result := RangeResult{Outcome: outcomeOf(status)}
		if result.Outcome == Done {
			result.Malformed = json.Unmarshal(body, &result.Page) != nil
		}
		done(result)
	})
}

// WatchResult is the answer to a watch.
type WatchResult struct {
	Outcome   Outcome
	Malformed bool
	Changes   protocol.WatchResponse
}

// Watch waits for changes of keys with a prefix after a revision, for so long at most.
func (c Client) Watch(prefix string, after protocol.Revision, block time.Duration, done func(WatchResult)) {
	call := Call{Connection: Watching, Method: http.MethodGet, Path: protocol.WatchPath(prefix, after, block.Milliseconds())}
	c.transport.CallStore(call, func(status int, body []byte) {
		result := WatchResult{Outcome: outcomeOf(status)}
		if result.Outcome == Done {
			result.Malformed = json.Unmarshal(body, &result.Changes) != nil
		}
		done(result)
	})
}

// LeaseResult is the answer to a request for a lease.
type LeaseResult struct {
	Outcome Outcome
	Lease   protocol.LeaseID // 0 if the answer does not name one
}

// GrantLease asks for a lease.
func (c Client) GrantLease(ttl time.Duration, done func(LeaseResult)) {
	request := protocol.LeaseRequest{TTLMs: ttl.Milliseconds()}
	c.transport.CallStore(Call{Method: http.MethodPost, Path: protocol.PathLeases, Body: request}, func(status int, body []byte) {
		var answer protocol.LeaseResponse
		if json.Unmarshal(body, &answer) != nil {
			answer.Lease = 0
		}
		done(LeaseResult{Outcome: outcomeOf(status), Lease: answer.Lease})
	})
}

// RenewLeaderLease renews a lease on the connection that is kept for that.
func (c Client) RenewLeaderLease(lease protocol.LeaseID, done func(Outcome)) {
	call := Call{Connection: LeaderLease, Method: http.MethodPost, Path: protocol.RenewPath(lease), Body: struct{}{}}
	c.transport.CallStore(call, func(status int, _ []byte) { done(outcomeOf(status)) })
}
