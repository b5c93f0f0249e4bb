// Package protocol holds the messages that gappond exchanges with users,
// agents, the cloud, the key-value store and its own peers: their wire
// names, their validation and their encodings. It does no I/O. Wire names
// appear here and nowhere else; the rest of the program uses the field's
// ordinary terms.
package protocol

// MaxBodyBytes is the largest request body that any interface accepts, in bytes.
const MaxBodyBytes = 64 << 10

// ErrorBody is the body of every refusal.
type ErrorBody struct {
	Error string `json:"error"`
}
