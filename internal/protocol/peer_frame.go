package protocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Messages between controllers are sent in binary frames:
//
//	'G' 'P'  version  kind  payload length (4 bytes, big endian)  payload
//
// In a payload, numbers are unsigned varints, and strings are a length followed by the bytes.
const (
	peerVersion       = 2
	peerHeaderBytes   = 8
	maxPeerFrameBytes = 256 << 10
)

// Kinds of frames, one for each message type.
const (
	kindHello byte = iota + 1
	kindStatus
	kindForwardedHeartbeat
	kindResponse
	kindUserRequest
	kindAgentCall
	kindCancellation
	kindConfirmationRequest
	kindConfirmation
	kindAnswerNotice
	kindAnswerConfirmation
)

func (PeerHello) kind() byte               { return kindHello }
func (PeerStatus) kind() byte              { return kindStatus }
func (PeerForwardedHeartbeat) kind() byte  { return kindForwardedHeartbeat }
func (PeerResponse) kind() byte            { return kindResponse }
func (PeerUserRequest) kind() byte         { return kindUserRequest }
func (PeerAgentCall) kind() byte           { return kindAgentCall }
func (PeerCancellation) kind() byte        { return kindCancellation }
func (PeerConfirmationRequest) kind() byte { return kindConfirmationRequest }
func (PeerConfirmation) kind() byte        { return kindConfirmation }
func (PeerAnswerNotice) kind() byte        { return kindAnswerNotice }
func (PeerAnswerConfirmation) kind() byte  { return kindAnswerConfirmation }

// ErrFrame is wrapped by every error about an invalid frame.
var ErrFrame = errors.New("invalid peer frame")

// AppendPeerFrame appends the message's frame to b.
func AppendPeerFrame(b []byte, message PeerMessage) []byte {
	start := len(b)
	c := &codec{data: append(b, 'G', 'P', peerVersion, message.kind(), 0, 0, 0, 0)}
	switch m := message.(type) {
	case PeerHello:
		m.fields(c)
	case PeerStatus:
		m.fields(c)
	case PeerForwardedHeartbeat:
		m.fields(c)
	case PeerResponse:
		m.fields(c)
	case PeerUserRequest:
		m.fields(c)
	case PeerAgentCall:
		m.fields(c)
	case PeerCancellation:
		m.fields(c)
	case PeerConfirmationRequest:
		m.fields(c)
	case PeerConfirmation:
		m.fields(c)
	case PeerAnswerNotice:
		m.fields(c)
	case PeerAnswerConfirmation:
		m.fields(c)
	}
	binary.BigEndian.PutUint32(c.data[start+4:], uint32(len(c.data)-start-peerHeaderBytes))
	return c.data
}

// ReadPeerFrame reads one frame. If the frame is malformed, too large or of another version, the
// error wraps ErrFrame, and the caller must close the link.
func ReadPeerFrame(r io.Reader) (PeerMessage, error) {
	var header [peerHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	if header[0] != 'G' || header[1] != 'P' {
		return nil, fmt.Errorf("%w: does not begin with GP", ErrFrame)
	}
	if header[2] != peerVersion {
		return nil, fmt.Errorf("%w: version %d, want %d", ErrFrame, header[2], peerVersion)
	}
	length := binary.BigEndian.Uint32(header[4:])
	if length > maxPeerFrameBytes {
		return nil, fmt.Errorf("%w: payload of %d bytes is too large", ErrFrame, length)
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, err
	}
	return decodePeerMessage(header[3], payload)
}

func decodePeerMessage(kind byte, payload []byte) (PeerMessage, error) {
	c := &codec{data: payload, decoding: true}
	message := c.message(kind)
	if message == nil {
		return nil, fmt.Errorf("%w: unknown kind %d", ErrFrame, kind)
	}
	if c.failed || len(c.data) != 0 {
		return nil, fmt.Errorf("%w: malformed payload of kind %d", ErrFrame, kind)
	}
	return message, nil
}

// message decodes a message of the given kind. It returns nil if the kind is unknown.
func (c *codec) message(kind byte) PeerMessage {
	switch kind {
	case kindHello:
		var m PeerHello
		m.fields(c)
		return m
	case kindStatus:
		var m PeerStatus
		m.fields(c)
		return m
	case kindForwardedHeartbeat:
		m := PeerForwardedHeartbeat{Heartbeat: new(Heartbeat)}
		m.fields(c)
		return m
	case kindResponse:
		var m PeerResponse
		m.fields(c)
		return m
	case kindUserRequest:
		var m PeerUserRequest
		m.fields(c)
		return m
	case kindAgentCall:
		var m PeerAgentCall
		m.fields(c)
		return m
	case kindCancellation:
		var m PeerCancellation
		m.fields(c)
		return m
	case kindConfirmationRequest:
		var m PeerConfirmationRequest
		m.fields(c)
		return m
	case kindConfirmation:
		var m PeerConfirmation
		m.fields(c)
		return m
	case kindAnswerNotice:
		var m PeerAnswerNotice
		m.fields(c)
		return m
	case kindAnswerConfirmation:
		var m PeerAnswerConfirmation
		m.fields(c)
		return m
	}
	return nil
}
