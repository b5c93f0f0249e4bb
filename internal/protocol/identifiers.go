package protocol

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
)

// JobID identifies a job, such as run-000412. The user chooses it, and no two jobs share one.
type JobID string

// MachineID identifies a machine and the agent on it. The cloud chooses it and never reuses it.
type MachineID string

// AttemptNumber counts the attempts of a task from 1. All tasks of a gang share the numbers, so
// that a number also identifies an attempt of the whole gang. 0 means that there was no attempt.
type AttemptNumber uint64

// Incarnation numbers the successive incarnations of a machine's agent, from 1. A newer incarnation
// has none of the tasks of an older one, and refuses commands that are addressed to an older one.
// 0 means unknown.
type Incarnation uint64

// Sequence counts an agent's heartbeats within an incarnation.
type Sequence uint64

// Revision counts the changes of the key-value store. The revision of a key is the store's
// revision at the key's last change. For a key, 0 means that it does not exist.
type Revision uint64

// Term identifies a leadership and is the fencing token that agents check: they reject commands
// with a token lower than the highest they have seen. It is the store's revision at which the
// leader lease was acquired, so that a later leader's term is higher. 0 means that no node leads.
type Term uint64

// LeaseID identifies a lease of the key-value store. 0 means none.
type LeaseID uint64

// ZoneName names a zone, a failure domain that contains machines and controllers.
type ZoneName string

// TeamName names a team, which has a guarantee and a limit.
type TeamName string

// NodeName names a controller.
type NodeName string

// MachineTypeName names a machine type in the cloud's price list.
type MachineTypeName string

// decodeError is a JSON decoder's error with the wire names of types. The sender receives its
// text, which is therefore part of the protocol and does not depend on the names of Go types.
type decodeError struct{ cause *json.UnmarshalTypeError }

// wireTypeNames replaces the Go names of message types in an error by their wire names.
var wireTypeNames = strings.NewReplacer(
	"struct field Heartbeat.", "struct field Report.",
	"struct field TaskStatus.", "struct field TaskReport.",
	"protocol.Heartbeat", "protocol.Report",
	"protocol.TaskStatus", "protocol.TaskReport",
)

func (e *decodeError) Error() string { return wireTypeNames.Replace(e.cause.Error()) }

func (e *decodeError) Unwrap() error { return e.cause }

// withWireTypeNames makes a decoder's error name the basic type of an identifier, not the
// identifier's Go type, and use the wire names of messages. It returns other errors unchanged.
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
