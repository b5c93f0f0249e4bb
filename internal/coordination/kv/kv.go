// Package kv is the client of the consensus-backed key-value store. It offers typed calls and
// typed outcomes in place of HTTP methods, paths and statuses.
//
// The client keeps no state, makes no decisions and retries nothing. When a response is lost, it
// is up to the caller to find out whether the call was executed.
package kv

import (
	"net/http"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// Outcome tells how a call ended.
type Outcome int

// The outcomes of calls.
const (
	// Unknown: no response arrived. The call may have been executed, or may still be.
	Unknown Outcome = iota
	// Done: the call was executed.
	Done
	// ConditionFailed: a transaction changed nothing because one of its conditions does not hold.
	ConditionFailed
	// NotFound: the key or lease does not exist.
	NotFound
	// Throttled: the call was refused because it exceeds the store's rate limits.
	Throttled
	// Rejected: the call was refused because it is malformed or too large, or because it uses a
	// lease that has expired.
	Rejected
	// Compacted: a watch starts too far back, or has more changes than one response may hold.
	Compacted
	// Unavailable: the store does not currently serve this node.
	Unavailable
)

// outcomeOf returns the outcome for an HTTP status, or for 0 if no response arrived.
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

// Connection selects the connection that carries a call.
type Connection int

// The connections to the store.
const (
	Shared Connection = iota
	// LeaderLease is reserved for renewals of the leader lease.
	LeaderLease
	// Watching carries watches. A watch stays open until something changes, and it does not
	// count as a check whether the store serves this node.
	Watching
)

// Call is a request to the store. A body that is not a []byte is encoded as JSON.
type Call struct {
	Connection Connection
	Method     string
	Path       string
	Body       any
}

// Transport carries calls to the store. It passes status 0 to done if no response arrives.
type Transport interface {
	CallStore(call Call, done func(status int, body []byte))
}

// ConditionsPerChange is the ratio of the store's limit on a transaction's conditions to its
// limit on a transaction's changes.
const ConditionsPerChange = 4

// Client makes calls to the store. The result of each call is passed to done, which is called
// once.
type Client struct{ transport Transport }

// New returns a client that uses the transport.
func New(transport Transport) Client { return Client{transport} }

// TransactionResult is the result of a transaction. The outcome is Done if it was committed.
type TransactionResult struct {
	Outcome   Outcome
	Malformed bool              // the response cannot be decoded
	Revision  protocol.Revision // of the store, as the response states it
	Failed    []string          // keys whose conditions do not hold
	Detail    string            // response to a rejected transaction, for logs
}

// Transact executes a transaction if all its conditions hold.
func (c Client) Transact(txn protocol.Transaction, done func(TransactionResult)) {
	c.transact(txn, done)
}

// TransactEncoded is like Transact, but takes an encoded transaction, so that a caller can send
// exactly the same transaction again.
func (c Client) TransactEncoded(txn []byte, done func(TransactionResult)) { c.transact(txn, done) }

func (c Client) transact(body any, done func(TransactionResult)) {
	c.transport.CallStore(Call{Method: http.MethodPost, Path: protocol.PathTransactions, Body: body}, func(status int, body []byte) {
		result := TransactionResult{Outcome: outcomeOf(status)}
		switch result.Outcome {
		case Done, ConditionFailed:
			var response protocol.TransactionResponse
			result.Malformed = protocol.Unmarshal(body, &response) != nil
			result.Revision, result.Failed = response.Revision, response.Failed
		case Rejected:
			result.Detail = string(body)
		}
		done(result)
	})
}

// GetResult is the result of reading one key.
type GetResult struct {
	Outcome   Outcome
	Malformed bool // the entry cannot be decoded
	Entry     protocol.Entry
}

// Get reads one key.
func (c Client) Get(key string, done func(GetResult)) {
	read(c, Call{Method: http.MethodGet, Path: protocol.KeyPath(key)}, func(entry protocol.Entry, outcome Outcome, malformed bool) {
		done(GetResult{Outcome: outcome, Malformed: malformed, Entry: entry})
	})
}

// read makes a call whose response, if it was executed, has a value as its body.
func read[T any](c Client, call Call, done func(value T, outcome Outcome, malformed bool)) {
	c.transport.CallStore(call, func(status int, body []byte) {
		var value T
		outcome, malformed := outcomeOf(status), false
		if outcome == Done {
			malformed = protocol.Unmarshal(body, &value) != nil
		}
		done(value, outcome, malformed)
	})
}

// RangeResult is the result of reading a page of keys.
type RangeResult struct {
	Outcome   Outcome
	Malformed bool // the page cannot be decoded
	Page      protocol.Entries
}

// Range reads a page of up to limit keys that have a prefix and sort after a given key.
func (c Client) Range(prefix, after string, limit int, done func(RangeResult)) {
	read(c, Call{Method: http.MethodGet, Path: protocol.RangePath(prefix, after, limit)}, func(page protocol.Entries, outcome Outcome, malformed bool) {
		done(RangeResult{Outcome: outcome, Malformed: malformed, Page: page})
	})
}

// WatchResult is the result of a watch.
type WatchResult struct {
	Outcome   Outcome
	Malformed bool // the changes cannot be decoded
	Changes   protocol.WatchResponse
}

// Watch waits, for at most the duration block, for changes after a revision to keys with a
// prefix.
func (c Client) Watch(prefix string, after protocol.Revision, block time.Duration, done func(WatchResult)) {
	call := Call{Connection: Watching, Method: http.MethodGet, Path: protocol.WatchPath(prefix, after, block.Milliseconds())}
	read(c, call, func(changes protocol.WatchResponse, outcome Outcome, malformed bool) {
		done(WatchResult{Outcome: outcome, Malformed: malformed, Changes: changes})
	})
}

// LeaseResult is the result of requesting a lease.
type LeaseResult struct {
	Outcome Outcome
	Lease   protocol.LeaseID // 0 if the response does not name a lease
}

// GrantLease requests a lease with the given time to live.
func (c Client) GrantLease(ttl time.Duration, done func(LeaseResult)) {
	request := protocol.LeaseRequest{TTLMs: ttl.Milliseconds()}
	c.transport.CallStore(Call{Method: http.MethodPost, Path: protocol.PathLeases, Body: request}, func(status int, body []byte) {
		var response protocol.LeaseResponse
		if protocol.Unmarshal(body, &response) != nil {
			response.Lease = 0
		}
		done(LeaseResult{Outcome: outcomeOf(status), Lease: response.Lease})
	})
}

// RenewLeaderLease renews the leader lease, on the connection that is reserved for its renewals.
func (c Client) RenewLeaderLease(lease protocol.LeaseID, done func(Outcome)) {
	call := Call{Connection: LeaderLease, Method: http.MethodPost, Path: protocol.RenewPath(lease), Body: struct{}{}}
	c.transport.CallStore(call, func(status int, _ []byte) { done(outcomeOf(status)) })
}
