package protocol

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
)

// JobID names a job, as in run-000412. Its user chooses it; no two jobs share one.
type JobID string

// MachineID names a rented machine and the agent on it. The cloud chooses it and does
// not use it again.
type MachineID string

// AttemptNumber numbers the attempts of a task from 1. All tasks of a gang share the
// numbers, so that one names an attempt of the gang too. 0: there was none.
type AttemptNumber uint64

// Incarnation numbers the lives of a machine's agent from 1. A newer one has none of the
// tasks of an older one, and refuses commands that are meant for that. 0: not known.
type Incarnation uint64

// Sequence numbers an agent's heartbeats within an incarnation.
type Sequence uint64

// Revision counts the changes of the key-value store. That of a key is the store's at the
// key's last change; 0: the key does not exist.
type Revision uint64

// Term is a leader's time in office, which agents see as its fencing token: they obey none
// that is lower than the highest they have seen. It is the revision at which the leader
// lease was won, so that a later leader's is higher. 0: nobody leads.
type Term uint64

// LeaseID names a lease of the key-value store. 0: none.
type LeaseID uint64

// ZoneName names a failure domain, in which machines and controllers are.
type ZoneName string

// TeamName names a team, which has a guarantee and a limit.
type TeamName string

// NodeName names a controller.
type NodeName string

// MachineTypeName names a machine type of the cloud's price list.
type MachineTypeName string

// decodeError is a decoder's error in the words of the wire. Senders are told them, so
// that they are part of the protocol and do not follow the names of types in Go.
type decodeError struct{ cause *json.UnmarshalTypeError }

// wireTypeNames puts the names of messages in errors in the place of the types' own.
var wireTypeNames = strings.NewReplacer(
	"struct field Heartbeat.", "struct field Report.",
	"struct field TaskStatus.", "struct field TaskReport.",
	"protocol.Heartbeat", "protocol.Report",
	"protocol.TaskStatus", "protocol.TaskReport",
)

func (e *decodeError) Error() string { return wireTypeNames.Replace(e.cause.Error()) }

func (e *decodeError) Unwrap() error { return e.cause }

// withWireTypeNames has a decoder's error name the type that an identifier has in JSON and not
// the identifier's own, and a message by its name in errors.
func withWireTypeNames(err error) error {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return err
	}
	switch mismatch.Type {
	case reflect.TypeFor[MachineID](), reflect.TypeFor[MachineTypeName](), reflect.TypeFor[ZoneName]():
		mismatch.Type = reflect.TypeFor[string]()
	case reflect.TypeFor[AttemptNumber](), reflect.TypeFor[Incarnation](), reflect.TypeFor[Sequence](), reflect.TypeFor[Term]():
		mismatch.Type = reflect.TypeFor[uint64]()
	}
	return &decodeError{mismatch}
}
