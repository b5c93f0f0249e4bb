// Package protocol defines the messages that gappond exchanges with users, agents, the cloud and
// the key-value store, and those between its controllers: their wire names, validation and
// encoding. It does no I/O. Wire names appear only in this package; the rest of the program uses
// the usual terms of cluster scheduling.
package protocol

// MaxBodyBytes is the size of the largest request body that any interface accepts.
const MaxBodyBytes = 64 << 10

// ErrorBody is the body of a response that refuses a request.
type ErrorBody struct {
	Error string `json:"error"`
}
