package protocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// The controllers speak a binary format of their own. A frame is
//
//	'G' 'P'  version  kind  length (4 bytes, big endian)  payload
//
// Numbers in a payload are unsigned varints, strings are a length and bytes.
const (
	peerVersion   = 2
	peerHeader    = 8
	maxPeerFrame  = 256 << 10
	maxPeerString = MaxBody
)

// ErrFrame is wrapped by every error about a wrong frame.
var ErrFrame = errors.New("bad peer frame")

// PeerMessage is one message between controllers.
type PeerMessage interface{ kind() byte }

// PeerHello opens a link.
type PeerHello struct{ Node NodeName }

// PeerStatus is what a node says of itself at every beat.
type PeerStatus struct {
	Term        Term
	Leader      NodeName
	StateOK     bool
	Links       []NodeName // peers that this node has a link to
	DirectShare uint64     // of a thousand workers the leader answers so many itself
}

// PeerForwardedHeartbeat carries a worker's report to the leader.
type PeerForwardedHeartbeat struct {
	ID        uint64
	Origin    NodeName
	Target    NodeName
	Hops      uint64
	Heartbeat *Heartbeat
}

// PeerResponse carries the answer back.
type PeerResponse struct {
	ID     uint64
	Target NodeName // the node that forwarded the request first
	Hops   uint64
	Status uint64
	Body   []byte
}

// PeerUserRequest carries a user's request to a node that reaches the state service.
type PeerUserRequest struct {
	ID        uint64
	Origin    NodeName
	Target    NodeName
	Operation string // submit, query or cancel
	Job       JobID
	Body      []byte
}

// PeerCancellation tells the leader of a job whose cancellation is in the records. It
// goes only to a node that has announced PeerKnowsCancelled.
type PeerCancellation struct{ Job JobID }

// PeerConfirmRequest has a node confirm for what it has told users and for not leading. ID is
// the asker's, and comes back.
type PeerConfirmRequest struct{ ID uint64 }

// PeerConfirmation answers: at the time of writing the node led under that term, or not if
// it is 0, had been up for so long, and had confirmed to users no cancellation that is
// younger than they may take but these.
type PeerConfirmation struct {
	ID       uint64
	Term     Term
	UpMs     uint64
	Complete bool // false: there were too many to name, or the node cannot say
	Cancels  []JobID
}

// FitsFrame says whether the cancellations fit into one frame.
func (m PeerConfirmation) FitsFrame() bool {
	size := peerHeader + 5*binary.MaxVarintLen64
	for _, jobID := range m.Cancels {
		size += binary.MaxVarintLen16 + len(jobID)
	}
	return size <= maxPeerFrame
}

// Levels of what a node knows. A node announces its own in a form that the first
// version, which knows none, takes for an answer to nothing and drops.
const (
	// PeerKnowsCancelled: PeerCancellation, PeerConfirmRequest and PeerConfirmation, and job
	// records with more parts than their number of tasks per record implies.
	PeerKnowsCancelled = 1
	// PeerKnowsStaged: parts of a job that are written before the job's own record
	// names them. An earlier version deletes such records when it takes over.
	PeerKnowsStaged = 2
	// PeerLevel is the level of this version.
	PeerLevel = PeerKnowsStaged
)

// announcementID is no request's: those count from a 40-bit number.
const announcementID = math.MaxUint64

// Announcement says to a peer what this node knows.
func Announcement(target NodeName) PeerMessage {
	return PeerResponse{ID: announcementID, Target: target, Status: PeerLevel, Body: []byte{}}
}

// Announced is the level that a message announces, if it does.
func Announced(m PeerMessage) (level uint64, ok bool) {
	a, ok := m.(PeerResponse)
	if !ok || a.ID != announcementID {
		return 0, false
	}
	return a.Status, true
}

// PeerAgentCall has a node send orders to a worker for the leader.
type PeerAgentCall struct {
	ID      uint64
	Origin  NodeName
	Address string // of the worker
	Body    []byte
}

func (PeerHello) kind() byte              { return 1 }
func (PeerStatus) kind() byte             { return 2 }
func (PeerForwardedHeartbeat) kind() byte { return 3 }
func (PeerResponse) kind() byte           { return 4 }
func (PeerUserRequest) kind() byte        { return 5 }
func (PeerAgentCall) kind() byte          { return 6 }
func (PeerCancellation) kind() byte       { return 7 }
func (PeerConfirmRequest) kind() byte     { return 8 }
func (PeerConfirmation) kind() byte       { return 9 }

type encoder struct{ b []byte }

func (e *encoder) num(v uint64) { e.b = binary.AppendUvarint(e.b, v) }
func (e *encoder) flag(v bool) {
	if v {
		e.num(1)
	} else {
		e.num(0)
	}
}
func (e *encoder) str(s string) {
	e.num(uint64(len(s)))
	e.b = append(e.b, s...)
}

type decoder struct {
	b   []byte
	err error
}

func (d *decoder) num() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.b = d.b[n:]
	return v
}
func (d *decoder) fail() {
	d.err = ErrFrame
	d.b = nil
}
func (d *decoder) flag() bool {
	v := d.num()
	if v > 1 {
		d.fail()
	}
	return v == 1
}
func (d *decoder) str() string {
	n := d.num()
	if n > uint64(len(d.b)) || n > maxPeerString {
		d.fail()
		return ""
	}
	s := string(d.b[:n])
	d.b = d.b[n:]
	return s
}

// count reads the length of a list whose items take at least size bytes each.
func (d *decoder) count(size int) int {
	n := d.num()
	if n > uint64(len(d.b)/size) {
		d.fail()
		return 0
	}
	return int(n)
}

func encodeStrings[S ~string](e *encoder, list []S) {
	e.num(uint64(len(list)))
	for _, s := range list {
		e.str(string(s))
	}
}

func decodeStrings[S ~string](d *decoder) (list []S) {
	n := d.count(1)
	for i := 0; i < n && d.err == nil; i++ {
		list = append(list, S(d.str()))
	}
	return list
}

// AppendPeerFrame appends the message's frame to b.
func AppendPeerFrame(b []byte, m PeerMessage) []byte {
	start := len(b)
	e := &encoder{append(b, 'G', 'P', peerVersion, m.kind(), 0, 0, 0, 0)}
	switch m := m.(type) {
	case PeerHello:
		e.str(string(m.Node))
	case PeerStatus:
		e.num(uint64(m.Term))
		e.str(string(m.Leader))
		e.flag(m.StateOK)
		encodeStrings(e, m.Links)
		e.num(m.DirectShare)
	case PeerForwardedHeartbeat:
		e.num(m.ID)
		e.str(string(m.Origin))
		e.str(string(m.Target))
		e.num(m.Hops)
		e.heartbeat(m.Heartbeat)
	case PeerResponse:
		e.num(m.ID)
		e.str(string(m.Target))
		e.num(m.Hops)
		e.num(m.Status)
		e.str(string(m.Body))
	case PeerUserRequest:
		e.num(m.ID)
		e.str(string(m.Origin))
		e.str(string(m.Target))
		e.str(m.Operation)
		e.str(string(m.Job))
		e.str(string(m.Body))
	case PeerAgentCall:
		e.num(m.ID)
		e.str(string(m.Origin))
		e.str(m.Address)
		e.str(string(m.Body))
	case PeerCancellation:
		e.str(string(m.Job))
	case PeerConfirmRequest:
		e.num(m.ID)
	case PeerConfirmation:
		e.num(m.ID)
		e.num(uint64(m.Term))
		e.num(m.UpMs)
		e.flag(m.Complete)
		encodeStrings(e, m.Cancels)
	}
	binary.BigEndian.PutUint32(e.b[start+4:], uint32(len(e.b)-start-peerHeader))
	return e.b
}

func (e *encoder) heartbeat(r *Heartbeat) {
	e.str(string(r.Machine))
	e.str(r.Address)
	e.str(string(r.Type))
	e.str(string(r.Zone))
	e.flag(r.Spot)
	e.num(uint64(r.Incarnation))
	e.num(uint64(r.Sequence))
	e.num(uint64(r.FencingToken))
	e.flag(r.PreemptionNoticeS != nil)
	if r.PreemptionNoticeS != nil {
		e.num(math.Float64bits(*r.PreemptionNoticeS))
	}
	e.num(uint64(len(r.Tasks)))
	for _, t := range r.Tasks {
		e.str(t.Task)
		e.num(uint64(t.Attempt))
		e.str(string(t.State))
		e.str(string(t.Cause))
		e.flag(t.Saved)
	}
}

func (d *decoder) heartbeat() *Heartbeat {
	r := &Heartbeat{Machine: MachineID(d.str()), Address: d.str(), Type: MachineTypeName(d.str()), Zone: ZoneName(d.str()), Spot: d.flag(),
		Incarnation: Incarnation(d.num()), Sequence: Sequence(d.num()), FencingToken: Term(d.num())}
	if d.flag() {
		v := math.Float64frombits(d.num())
		r.PreemptionNoticeS = &v
	}
	n := d.count(5)
	for i := 0; i < n && d.err == nil; i++ {
		r.Tasks = append(r.Tasks, TaskStatus{Task: d.str(), Attempt: AttemptNumber(d.num()), State: TaskState(d.str()), Cause: Cause(d.str()), Saved: d.flag()})
	}
	return r
}

// ReadPeerFrame reads one frame. A frame that is wrong, too large or of another
// version is an error that wraps ErrFrame; the link must then be closed.
func ReadPeerFrame(r io.Reader) (PeerMessage, error) {
	var h [peerHeader]byte
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
	if n > maxPeerFrame {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrame, n)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	return decodePeerMessage(h[3], b)
}

func decodePeerMessage(kind byte, b []byte) (PeerMessage, error) {
	d := &decoder{b: b}
	var m PeerMessage
	switch kind {
	case PeerHello{}.kind():
		m = PeerHello{Node: NodeName(d.str())}
	case PeerStatus{}.kind():
		m = PeerStatus{Term: Term(d.num()), Leader: NodeName(d.str()), StateOK: d.flag(), Links: decodeStrings[NodeName](d), DirectShare: d.num()}
	case PeerForwardedHeartbeat{}.kind():
		m = PeerForwardedHeartbeat{ID: d.num(), Origin: NodeName(d.str()), Target: NodeName(d.str()), Hops: d.num(), Heartbeat: d.heartbeat()}
	case PeerResponse{}.kind():
		m = PeerResponse{ID: d.num(), Target: NodeName(d.str()), Hops: d.num(), Status: d.num(), Body: []byte(d.str())}
	case PeerUserRequest{}.kind():
		m = PeerUserRequest{ID: d.num(), Origin: NodeName(d.str()), Target: NodeName(d.str()), Operation: d.str(), Job: JobID(d.str()), Body: []byte(d.str())}
	case PeerAgentCall{}.kind():
		m = PeerAgentCall{ID: d.num(), Origin: NodeName(d.str()), Address: d.str(), Body: []byte(d.str())}
	case PeerCancellation{}.kind():
		m = PeerCancellation{Job: JobID(d.str())}
	case PeerConfirmRequest{}.kind():
		m = PeerConfirmRequest{ID: d.num()}
	case PeerConfirmation{}.kind():
		m = PeerConfirmation{ID: d.num(), Term: Term(d.num()), UpMs: d.num(), Complete: d.flag(), Cancels: decodeStrings[JobID](d)}
	default:
		return nil, fmt.Errorf("%w: kind %d", ErrFrame, kind)
	}
	if d.err != nil || len(d.b) != 0 {
		return nil, fmt.Errorf("%w: kind %d does not parse", ErrFrame, kind)
	}
	return m, nil
}
