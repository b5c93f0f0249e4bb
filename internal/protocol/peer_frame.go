package protocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// The controllers speak a binary format of their own. A frame is
//
//	'G' 'P'  version  kind  length (4 bytes, big endian)  payload
//
// Numbers in a payload are unsigned varints, strings are a length and bytes.
const (
	peerVersion       = 2
	peerHeaderBytes   = 8
	maxPeerFrameBytes = 256 << 10
)

// Kinds of frames, one for each type of message.
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

// ErrFrame is wrapped by every error about a wrong frame.
var ErrFrame = errors.New("bad peer frame")

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
	}
	binary.BigEndian.PutUint32(c.data[start+4:], uint32(len(c.data)-start-peerHeaderBytes))
	return c.data
}

// ReadPeerFrame reads one frame. A frame that is wrong, too large or of another
// version is an error that wraps ErrFrame; the link must then be closed.
func ReadPeerFrame(r io.Reader) (PeerMessage, error) {
	var h [peerHeaderBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return nil, err
	}
	if h[0] != 'G' || h[1] != 'P' {
		return nil, fmt.Errorf("%w: no frame mark", ErrFrame)
	}
	if h[2] != peerVersion {
		return nil, fmt.Errorf("%w: version %d, want %d", ErrFrame, h[2], peerVersion)
	}
	n := binary.BigEndian.Uint32(h[4:])
	if n > maxPeerFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrame, n)
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, err
	}
	return decodePeerMessage(h[3], payload)
}

func decodePeerMessage(kind byte, payload []byte) (PeerMessage, error) {
	c := &codec{data: payload, decoding: true}
	message := c.message(kind)
	if message == nil {
		return nil, fmt.Errorf("%w: kind %d", ErrFrame, kind)
	}
	if c.failed || len(c.data) != 0 {
		return nil, fmt.Errorf("%w: kind %d does not parse", ErrFrame, kind)
	}
	return message, nil
}

// message decodes a message of a kind, nil if there is no such kind.
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
	}
	return nil
}
