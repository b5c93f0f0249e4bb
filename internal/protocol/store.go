package protocol

import (
	"encoding/json"
)

// Entry is a key of the key-value store. Revision is the revision of its last
// change.
type Entry struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"data"`
	Revision Revision        `json:"stamp"`
	Lease    LeaseID         `json:"permit,omitempty"`
}

// Entries is a page of keys.
type Entries struct {
	Items    []Entry  `json:"entries"`
	More     bool     `json:"truncated"`
	Revision Revision `json:"ledger"`
}

// Condition demands that a key's last change is the given revision; 0: the
// key does not exist.
type Condition struct {
	Key      string   `json:"k"`
	Revision Revision `json:"stamp"`
}

// Change writes or deletes a key.
type Change struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  LeaseID         `json:"permit,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Transaction is an atomic transaction.
type Transaction struct {
	Conditions []Condition `json:"if"`
	Changes    []Change    `json:"apply,omitempty"`
}

// TransactionResponse is the answer to a transaction, done or refused.
type TransactionResponse struct {
	Revision Revision `json:"ledger"`
	Failed   []string `json:"failed"`
}

// LeaseRequest asks for a lease; LeaseResponse names it.
type LeaseRequest struct {
	TTLMs int64 `json:"ttl_ms"`
}

// LeaseResponse names a new lease.
type LeaseResponse struct {
	Lease LeaseID `json:"permit"`
}

// WatchEvent is one change that a watch saw.
type WatchEvent struct {
	Set      string          `json:"set"`
	Value    json.RawMessage `json:"data"`
	Delete   string          `json:"delete"`
	Revision Revision        `json:"stamp"`
}

// WatchResponse is what a watch returns.
type WatchResponse struct {
	Revision Revision     `json:"ledger"`
	Events   []WatchEvent `json:"news"`
}
