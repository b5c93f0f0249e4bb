package tuning

import (
	"time"
)

// State service.
const (
	// StateTimeout bounds one request; answers usually take under 10 ms and
	// now and then a few hundred.
	StateTimeout = 1500 * time.Millisecond
	// WatchBlock is how long a watch is held open.
	WatchBlock = 10 * time.Second
	// WatchPause is the least pause before a watch that returned is opened again,
	// so that a burst of changes costs one request and not one each.
	WatchPause = 20 * time.Millisecond
	// RequestCost is about what a request to the state service costs of a core:
	// a write, two or three reads, waking up twice, and the code.
	RequestCost = 250 * time.Microsecond
	// WatchShare is the part of the processor time that watches may take: on a small
	// share of a core their pauses grow.
	WatchShare = 0.05
	// PollShare is the same for the checks of polls.
	PollShare = 0.05
	// RequestPause is the longest that such a pause grows: jobs start, and users
	// are answered, so much later.
	RequestPause = 250 * time.Millisecond
	// RetryPause is the pause after a refused or lost state request.
	RetryPause = 250 * time.Millisecond
	// ConflictPause is left after a refused transaction for the keys to be read.
	ConflictPause = 50 * time.Millisecond
	// RangePage is the number of keys asked for at once.
	RangePage = 500
	// PollBatch is how long polls wait at least to be checked by one transaction.
	PollBatch = 30 * time.Millisecond
	// UserDeadline bounds a user's request: users give up polls after 2 s and
	// submissions after 5 s.
	UserDeadline = 1800 * time.Millisecond
	// WriteShare is the part of the state service's write budget that all nodes
	// use together; the rest absorbs uneven clocks.
	WriteShare = 0.95
	// UserShare is the part that users' submissions and cancellations use, in
	// equal parts at every node.
	UserShare = 0.2
	// RelayShare is the part for relayed messages: in a cut, each of hundreds of workers must
	// have a report forwarded within its lease, and the answer back.
	RelayShare = 0.2
	// UserFloor is the part of the burst that the leader's decisions leave to
	// users and relayed messages, whose writes it sees only when they are done.
	UserFloor = 0.2
	// CallShare is the part of the state service's request budget that the nodes
	// use together; the rest absorbs watches and uneven clocks.
	CallShare = 0.8
	// UserReserve is the part of a budget that users' requests leave to the
	// node's own needs.
	UserReserve = 0.25
	// WriteWait is how long ends, marks and places of arrays may wait behind
	// gangs: users expect a job that is over to be called done within 3 s.
	WriteWait = 1500 * time.Millisecond
	// GangReserve is the part of the leader's burst of writes that is kept for
	// the places of gangs, whose tasks all wait for one commit.
	GangReserve = 0.25
	// MarkWait is how long marks of done tasks wait for others of their job.
	MarkWait = 700 * time.Millisecond
	// MarkLate is how long they may wait when there is much else to write: what
	// a machine did is lost with it until it is stored.
	MarkLate = 5 * time.Second
	// StaleWait is how long a machine record may name machines that are gone: they
	// take no task, and a machine in its place would be told by its own name.
	StaleWait = 10 * time.Second
	// TxnBytes is the largest body of a transaction, below the 64 KiB limit.
	TxnBytes = 60 << 10
	// ConditionBytes is a generous size of one condition of a transaction, its key
	// included.
	ConditionBytes = 80
	// TaskBytes is a generous size of one task's entry in a record, by which
	// the number of tasks in a record follows from the value limit.
	TaskBytes = 40
	// TasksPerRecord bounds that number: every change of a task writes, and every
	// mirror reads, the whole record.
	TasksPerRecord = 98
	// HeaderBytes is kept free in a job's first record for all but its description
	// and its tasks, a cancellation's mark among it.
	HeaderBytes = 320
	// FinalCache is how many final states a node remembers; they never change.
	FinalCache = 20_000
)
