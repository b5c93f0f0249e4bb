package tuning

import (
	"time"
)

// The key-value store.
const (
	// StoreRequestTimeout bounds one request. Responses usually take under 10 ms, and now and then a
	// few hundred milliseconds.
	StoreRequestTimeout = 1500 * time.Millisecond
	// WatchLongPoll is how long the store may hold a watch open.
	WatchLongPoll = 10 * time.Second
	// MinWatchDelay is the least pause before a watch that returned is opened again,
	// so that a burst of changes costs one request and not one request each.
	MinWatchDelay = 20 * time.Millisecond
	// StoreRequestCPUCost is the approximate CPU time of a request to the store:
	// a write, two or three reads, two wake-ups, and the code.
	StoreRequestCPUCost = 250 * time.Microsecond
	// WatchCPUShare is the share of the CPU time that watches may take. On a small
	// share of a core, the pauses between watches grow.
	WatchCPUShare = 0.05
	// StatusQueryCPUShare is the share of the CPU time that the checks of status queries may take.
	StatusQueryCPUShare = 0.05
	// MaxRequestDelay bounds the pauses before watches and before checks of status queries on a
	// small share of a core, because they delay the starts of jobs and the responses to users.
	MaxRequestDelay = 250 * time.Millisecond
	// StoreRetryDelay is the pause after a store request that was refused or got no response.
	StoreRetryDelay = 250 * time.Millisecond
	// ConflictRetryDelay is the pause after a transaction whose conditions failed. It leaves time
	// to read the changed keys.
	ConflictRetryDelay = 50 * time.Millisecond
	// RangePageSize is the number of keys requested at once.
	RangePageSize = 500
	// StatusQueryBatchDelay is the least time for which status queries are collected, so that one
	// transaction checks them together.
	StatusQueryBatchDelay = 30 * time.Millisecond
	// UserRequestTimeout bounds a user's request. Users give up status queries after 2 s and
	// submissions after 5 s.
	UserRequestTimeout = 1800 * time.Millisecond
	// WriteBudgetShare is the share of the store's write limit that all nodes use together. The rest
	// absorbs differences between clocks.
	WriteBudgetShare = 0.95
	// UserWriteBudgetShare is the share of the store's write limit for users' submissions and
	// cancellations. It is divided equally among the nodes.
	UserWriteBudgetShare = 0.2
	// RelayWriteBudgetShare is the share of the store's write limit for messages relayed through
	// the store, also divided equally among the nodes. During a network partition, each of hundreds
	// of agents must have a heartbeat forwarded, and get its response, within its lease.
	RelayWriteBudgetShare = 0.2
	// UserBurstReserve is the share of the write burst that the leader's own transactions leave for
	// users' requests and relayed messages, because the leader sees those writes only afterwards.
	UserBurstReserve = 0.2
	// RequestBudgetShare is the share of the store's request limit that the nodes use together. The
	// rest absorbs watches and differences between clocks.
	RequestBudgetShare = 0.8
	// NodeRequestReserve is the share of a node's request burst that users' requests leave for the
	// node's own requests.
	NodeRequestReserve = 0.25
	// MaxWriteDelay is how long the placements of arrays and the ends of jobs may wait behind
	// gangs to be written. Users expect a finished job to be reported as done within 3 s.
	MaxWriteDelay = 1500 * time.Millisecond
	// GangBurstReserve is the share of the leader's write burst that is reserved for
	// the placements of gangs, whose tasks all wait for one commit.
	GangBurstReserve = 0.25
	// CompletionWriteDelay is how long task completions wait to be written together with others of
	// their job.
	CompletionWriteDelay = 700 * time.Millisecond
	// MaxCompletionWriteDelay is how long they may wait when there is much else to write. Until
	// a completion is stored, the loss of the machine loses the task's work.
	MaxCompletionWriteDelay = 5 * time.Second
	// StaleMachineRecordDelay is how long a machine record may list machines that are gone. They
	// get no tasks, and a replacement machine has a name of its own.
	StaleMachineRecordDelay = 10 * time.Second
	// MaxTransactionBytes is the largest body of a transaction, below the limit of 64 KiB.
	MaxTransactionBytes = 60 << 10
	// BytesPerCondition is a generous estimate of the size of one condition of a transaction,
	// including its key.
	BytesPerCondition = 80
	// BytesPerTask is a generous estimate of the size of one task's entry in a record. It
	// determines how many tasks fit into a record under the store's value limit.
	BytesPerTask = 40
	// MaxTasksPerRecord bounds that number: every change of a task writes the whole record,
	// and every mirror reads it.
	MaxTasksPerRecord = 98
	// RecordHeaderBytes is the space kept in a job's main record for everything but its
	// description and its tasks, for example a cancellation.
	RecordHeaderBytes = 320
	// MaxCachedFinalStates is the number of final job states that a node caches. Final states never
	// change.
	MaxCachedFinalStates = 20_000
)
