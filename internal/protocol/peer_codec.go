package protocol

import (
	"encoding/binary"
	"math"
)

// Limits of decoded fields.
const (
	maxPeerStringBytes = MaxBodyBytes
	// minTaskStatusBytes is the smallest size of a TaskStatus: five fields of at least one byte.
	minTaskStatusBytes = 5
)

// minTwoByteVarint is the smallest number whose varint takes more than one byte.
const minTwoByteVarint = 0x80

// codec encodes or decodes the fields of a message in order. The fields method of a message lists
// them for both directions: each call in it writes or reads one field.
type codec struct {
	data     []byte // encoding: the bytes written so far; decoding: the bytes yet to be read
	decoding bool
	failed   bool // decoding: the data is malformed, and reading has ended
}

func (m *PeerHello) fields(c *codec) { textField(c, &m.Node) }

func (m *PeerStatus) fields(c *codec) {
	numberField(c, &m.Term)
	textField(c, &m.Leader)
	c.booleanField(&m.HasStoreAccess)
	textListField(c, &m.Links)
	numberField(c, &m.DirectShare)
}

func (m *PeerForwardedHeartbeat) fields(c *codec) {
	numberField(c, &m.ID)
	textField(c, &m.Origin)
	textField(c, &m.Target)
	numberField(c, &m.Hops)
	m.Heartbeat.fields(c)
}

func (m *PeerResponse) fields(c *codec) {
	numberField(c, &m.ID)
	textField(c, &m.Target)
	numberField(c, &m.Hops)
	numberField(c, &m.Status)
	c.bytesField(&m.Body)
}

func (m *PeerUserRequest) fields(c *codec) {
	numberField(c, &m.ID)
	textField(c, &m.Origin)
	textField(c, &m.Target)
	textField(c, &m.Operation)
	textField(c, &m.Job)
	c.bytesField(&m.Body)
}

func (m *PeerAgentCall) fields(c *codec) {
	numberField(c, &m.ID)
	textField(c, &m.Origin)
	textField(c, &m.Address)
	c.bytesField(&m.Body)
}

func (m *PeerCancellation) fields(c *codec) { textField(c, &m.Job) }

func (m *PeerConfirmationRequest) fields(c *codec) { numberField(c, &m.ID) }

func (m *PeerConfirmation) fields(c *codec) {
	numberField(c, &m.ID)
	numberField(c, &m.Term)
	numberField(c, &m.UptimeMs)
	c.booleanField(&m.Complete)
	textListField(c, &m.Cancellations)
}

func (m *PeerAnswerNotice) fields(c *codec) {
	numberField(c, &m.ID)
	textField(c, &m.Origin)
	textField(c, &m.Target)
	numberField(c, &m.Hops)
	textField(c, &m.Job)
	textField(c, &m.Phase)
	numberField(c, &m.Done)
}

func (m *PeerAnswerConfirmation) fields(c *codec) {
	numberField(c, &m.ID)
	textField(c, &m.Origin)
	textField(c, &m.Target)
	numberField(c, &m.Hops)
	textField(c, &m.Job)
}

func (h *Heartbeat) fields(c *codec) {
	textField(c, &h.Machine)
	textField(c, &h.Address)
	textField(c, &h.Type)
	textField(c, &h.Zone)
	c.booleanField(&h.Spot)
	numberField(c, &h.Incarnation)
	numberField(c, &h.Sequence)
	numberField(c, &h.FencingToken)
	c.optionalFloatField(&h.PreemptionNoticeS)
	if c.decoding {
		for n := c.readCount(minTaskStatusBytes); n > 0 && !c.failed; n-- {
			h.Tasks = append(h.Tasks, TaskStatus{})
			h.Tasks[len(h.Tasks)-1].fields(c)
		}
		return
	}
	c.writeNumber(uint64(len(h.Tasks)))
	for i := range h.Tasks {
		h.Tasks[i].fields(c)
	}
}

func (t *TaskStatus) fields(c *codec) {
	textField(c, &t.Task)
	numberField(c, &t.Attempt)
	textField(c, &t.State)
	textField(c, &t.Cause)
	c.booleanField(&t.Saved)
}

// numberField encodes or decodes an unsigned integer.
func numberField[T ~uint64](c *codec, field *T) {
	if c.decoding {
		*field = T(c.readNumber())
	} else {
		c.writeNumber(uint64(*field))
	}
}

// textField encodes or decodes a string.
func textField[T ~string](c *codec, field *T) {
	if c.decoding {
		*field = T(c.readString())
		return
	}
	c.data = append(appendNumber(c.data, uint64(len(*field))), *field...)
}

// textListField encodes or decodes a list of strings.
func textListField[T ~string](c *codec, field *[]T) {
	if c.decoding {
		for n := c.readCount(1); n > 0 && !c.failed; n-- {
			*field = append(*field, T(c.readString()))
		}
		return
	}
	c.writeNumber(uint64(len(*field)))
	for i := range *field {
		textField(c, &(*field)[i])
	}
}

// bytesField encodes or decodes a body. Decoding copies the bytes.
func (c *codec) bytesField(field *[]byte) {
	if c.decoding {
		b := c.readBytes()
		*field = make([]byte, len(b))
		copy(*field, b)
		return
	}
	c.data = append(appendNumber(c.data, uint64(len(*field))), *field...)
}

// booleanField encodes or decodes a boolean as 1 or 0.
func (c *codec) booleanField(field *bool) {
	if c.decoding {
		*field = c.readBoolean()
	} else {
		c.writeBoolean(*field)
	}
}

// optionalFloatField encodes or decodes a number that may be missing: first whether it is present,
// then its IEEE 754 bits.
func (c *codec) optionalFloatField(field **float64) {
	if c.decoding {
		if c.readBoolean() {
			v := math.Float64frombits(c.readNumber())
			*field = &v
		}
		return
	}
	c.writeBoolean(*field != nil)
	if *field != nil {
		c.writeNumber(math.Float64bits(**field))
	}
}

func (c *codec) writeNumber(v uint64) { c.data = appendNumber(c.data, v) }

// appendNumber appends a varint. It writes the most frequent case, a single byte, without a loop.
func appendNumber(b []byte, v uint64) []byte {
	if v < minTwoByteVarint {
		return append(b, byte(v))
	}
	return binary.AppendUvarint(b, v)
}

func (c *codec) writeBoolean(v bool) {
	if v {
		c.data = append(c.data, 1)
	} else {
		c.data = append(c.data, 0)
	}
}

// fail marks the data as malformed. All later reads return zero values.
func (c *codec) fail() {
	c.failed = true
	c.data = nil
}

func (c *codec) readNumber() uint64 {
	if len(c.data) > 0 && c.data[0] < minTwoByteVarint {
		v := c.data[0]
		c.data = c.data[1:]
		return uint64(v)
	}
	v, n := binary.Uvarint(c.data)
	if n <= 0 {
		c.fail()
		return 0
	}
	c.data = c.data[n:]
	return v
}

func (c *codec) readBoolean() bool {
	v := c.readNumber()
	if v > 1 {
		c.fail()
	}
	return v == 1
}

func (c *codec) readString() string { return string(c.readBytes()) }

// readBytes reads a length and that many bytes. The result shares the memory of the data.
func (c *codec) readBytes() []byte {
	n := c.readNumber()
	if n > uint64(len(c.data)) || n > maxPeerStringBytes {
		c.fail()
		return nil
	}
	b := c.data[:n]
	c.data = c.data[n:]
	return b
}

// readCount reads the length of a list whose items take at least minItemBytes each. A length for
// which too few bytes are left is malformed.
func (c *codec) readCount(minItemBytes int) int {
	n := c.readNumber()
	if n > uint64(len(c.data)/minItemBytes) {
		c.fail()
		return 0
	}
	return int(n)
}
