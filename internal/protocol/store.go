package protocol

import (
	"encoding/json"
)

// Entry is a key of the key-value store with its value. Revision is the store's revision at the
// key's last change.
type Entry struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"data"`
	Revision Revision        `json:"stamp"`
	Lease    LeaseID         `json:"permit,omitempty"`
}

// Entries is a page of the entries with a prefix. More is true if further pages follow.
type Entries struct {
	Items    []Entry  `json:"entries"`
	More     bool     `json:"truncated"`
	Revision Revision `json:"ledger"`
}

// Condition requires that a key was last changed at the given revision. Revision 0 requires that
// the key does not exist.
type Condition struct {
	Key      string   `json:"k"`
	Revision Revision `json:"stamp"`
}

// Change sets or deletes a key.
type Change struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  LeaseID         `json:"permit,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Transaction applies all its changes atomically if all its conditions hold, and otherwise none.
type Transaction struct {
	Conditions []Condition `json:"if"`
	Changes    []Change    `json:"apply,omitempty"`
}

// TransactionResponse is the response to a transaction. Failed holds the keys whose conditions do
// not hold.
type TransactionResponse struct {
	Revision Revision `json:"ledger"`
	Failed   []string `json:"failed"`
}

// LeaseRequest asks for a lease with the given time to live.
type LeaseRequest struct {
	TTLMs int64 `json:"ttl_ms"`
}

// LeaseResponse names the lease that was granted or renewed.
type LeaseResponse struct {
	Lease LeaseID `json:"permit"`
}

// WatchEvent is a change that a watch observed: a key was set or deleted.
type WatchEvent struct {
	Set      string          `json:"set"`
	Value    json.RawMessage `json:"data"`
	Delete   string          `json:"delete"`
	Revision Revision        `json:"stamp"`
}

// WatchResponse holds the changes that a watch observed, and the revision up to which it did.
type WatchResponse struct {
	Revision Revision     `json:"ledger"`
	Events   []WatchEvent `json:"news"`
}
