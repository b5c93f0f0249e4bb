package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

func newReader(b []byte) io.Reader { return bytes.NewReader(b) }

// encode is a value in the protocol's form.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// decode reads a value that the program has sent. One that cannot be read is a fault of the
// program.
func decode(b []byte, v any) {
	if err := json.Unmarshal(b, v); err != nil {
		panic(fmt.Sprintf("simulation: %v in %s", err, b))
	}
}
