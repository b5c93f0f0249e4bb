package tuning

import (
	"time"
)

// The key-value store.
const (
	// StoreRequestTimeout bounds one request; answers usually take under 10 ms and
	// now and then a few hundred.
	StoreRequestTimeout = 1500 * time.Millisecond
	// WatchLongPoll is how long a watch is held open.
	WatchLongPoll = 10 * time.Second
	// MinWatchDelay is the least pause before a watch that returned is opened again,
	// so that a burst of changes costs one request and not one each.
	MinWatchDelay = 20 * time.Millisecond
	// StoreRequestCPUCost is about what a request to the store costs of a core:
	// a write, two or three reads, waking up twice, and the code.
	StoreRequestCPUCost = 250 * time.Microsecond
	// WatchCPUShare is the part of the processor time that watches may take: on a small
	// share of a core their pauses grow.
	WatchCPUShare = 0.05
	// StatusQueryCPUShare is the same for the checks of status queries.
	StatusQueryCPUShare = 0.05
	// MaxRequestDelay is the longest that such a pause grows: jobs start, and users
	// are answered, so much later.
	MaxRequestDelay = 250 * time.Millisecond
	// StoreRetryDelay is the pause after a refused or lost store request.
	StoreRetryDelay = 250 * time.Millisecond
	// ConflictRetryDelay is left after a refused transaction for the keys to be read.
	ConflictRetryDelay = 50 * time.Millisecond
	// RangePageSize is the number of keys asked for at once.
	RangePageSize = 500
	// StatusQueryBatchDelay is how long status queries wait at least to be checked by one transaction.
	StatusQueryBatchDelay = 30 * time.Millisecond
	// UserRequestTimeout bounds a user's request: users give up status queries after 2 s and
	// submissions after 5 s.
	UserRequestTimeout = 1800 * time.Millisecond
	// WriteBudgetShare is the part of the store's write budget that all nodes
	// use together; the rest absorbs uneven clocks.
	WriteBudgetShare = 0.95
	// UserWriteBudgetShare is the part that users' submissions and cancellations use, in
	// equal parts at every node.
	UserWriteBudgetShare = 0.2
	// RelayWriteBudgetShare is the part for relayed messages: in a cut, each of hundreds of agents must
	// have a heartbeat forwarded within its lease, and the answer back.
	RelayWriteBudgetShare = 0.2
	// UserBurstReserve is the part of the burst that the leader's decisions leave to
	// users and relayed messages, whose writes it sees only when they are done.
	UserBurstReserve = 0.2
	// RequestBudgetShare is the part of the store's request budget that the nodes
	// use together; the rest absorbs watches and uneven clocks.
	RequestBudgetShare = 0.8
	// NodeRequestReserve is the part of a budget that users' requests leave to the
	// node's own needs.
	NodeRequestReserve = 0.25
	// MaxWriteDelay is how long ends of tasks, progress and places of arrays may wait behind
	// gangs: users expect a job that is over to be called done within 3 s.
	MaxWriteDelay = 1500 * time.Millisecond
	// GangBurstReserve is the part of the leader's burst of writes that is kept for
	// the places of gangs, whose tasks all wait for one commit.
	GangBurstReserve = 0.25
	// CompletionWriteDelay is how long done tasks wait to be written, for others of their job.
	CompletionWriteDelay = 700 * time.Millisecond
	// MaxCompletionWriteDelay is how long they may wait when there is much else to write: what
	// a machine did is lost with it until it is stored.
	MaxCompletionWriteDelay = 5 * time.Second
	// StaleMachineRecordDelay is how long a machine record may name machines that are gone: they
	// take no task, and a machine in its place would be told by its own name.
	StaleMachineRecordDelay = 10 * time.Second
	// MaxTransactionBytes is the largest body of a transaction, below the 64 KiB limit.
	MaxTransactionBytes = 60 << 10
	// BytesPerCondition is a generous size of one condition of a transaction, its key
	// included.
	BytesPerCondition = 80
	// BytesPerTask is a generous size of one task's entry in a record, by which
	// the number of tasks in a record follows from the value limit.
	BytesPerTask = 40
	// MaxTasksPerRecord bounds that number: every change of a task writes, and every
	// mirror reads, the whole record.
	MaxTasksPerRecord = 98
	// RecordHeaderBytes is kept free in a job's first record for all but its description
	// and its tasks, a cancellation among it.
	RecordHeaderBytes = 320
	// MaxCachedFinalStates is how many final states a node remembers; they never change.
	MaxCachedFinalStates = 20_000
)
