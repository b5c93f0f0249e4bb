package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

func newReader(b []byte) io.Reader { return bytes.NewReader(b) }

// encode returns a value in the wire format of the protocol.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// decode reads a value that the program under test has sent. A value that does not parse is a bug
// of the program.
func decode(b []byte, v any) {
	if err := json.Unmarshal(b, v); err != nil {
		panic(fmt.Sprintf("simulation: %v in %s", err, b))
	}
}
