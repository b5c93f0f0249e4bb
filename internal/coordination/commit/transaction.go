package commit

import (
	"encoding/json"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// What changes and conditions add to the size of a transaction, at most.
const (
	operationOverheadBytes = 40  // of a change or a condition, beside key and value
	smallRecordBytes       = 200 // of a change and its conditions, beside a large value
	finalRecordBytes       = 400 // of a job's final record and the deletion of its own
)

// transaction is a transaction that was built, with all that its outcome decides on.
type transaction struct {
	writer         string // names it in each record that it writes
	body           []byte // as it is sent, and sent again
	changes        int
	probeKey       string // a key that it sets, by which a lost answer is found out
	sentAt         time.Time
	responseLost   bool // it may have been applied
	jobs           []*jobWrite
	machineRecords []machineRecordWrite
	deletions      []string
}

// jobWrite is a job's part of a transaction.
type jobWrite struct {
	job     *cluster.Job
	records []int
	final   *storage.Final
	placed  []*cluster.Attempt // by this transaction
	staging bool               // the records are parts that the job's own record does not name yet
}

// transactionBuilder builds a transaction within the store's limits.
type transactionBuilder struct {
	splitter   *recordSplitter
	limits     config.StoreLimits // that records and transactions must keep now
	outcomes   Outcomes
	tx         *transaction
	txn        protocol.Transaction
	bytes      int
	guarded    map[*cluster.MachineRecord]bool
	maxChanges int // that the write budget allows
}

// newBuilder begins a transaction.
func (c *Committer) newBuilder(tx *transaction, budget writeBudget) *transactionBuilder {
	return &transactionBuilder{
		splitter: c.splitter, limits: c.splitter.currentLimits(), outcomes: c.outcomes, tx: tx,
		guarded:    map[*cluster.MachineRecord]bool{},
		maxChanges: min(c.limits.afterLowering().TxnOps, int(budget.available)),
	}
}

// changes is the number of changes that the transaction has.
func (b *transactionBuilder) changes() int { return len(b.txn.Changes) }

// remainingChanges is how many it may have yet.
func (b *transactionBuilder) remainingChanges() int { return b.maxChanges - b.changes() }

// fits says whether the transaction may have so much more.
func (b *transactionBuilder) fits(changes, conditions, bytes int) bool {
	return b.remainingChanges() >= changes &&
		len(b.txn.Conditions)+conditions <= kv.ConditionsPerChange*b.limits.TxnOps &&
		b.bytes+bytes <= tuning.MaxTransactionBytes
}

// guard demands that a key has a revision: the compare-and-swap guard.
func (b *transactionBuilder) guard(key string, revision protocol.Revision) {
	b.txn.Conditions = append(b.txn.Conditions, protocol.Condition{Key: key, Revision: revision})
	b.bytes += len(key) + operationOverheadBytes
}

// set writes a key.
func (b *transactionBuilder) set(key string, value json.RawMessage) {
	b.txn.Changes = append(b.txn.Changes, protocol.Change{Set: key, Value: value})
	b.bytes += len(key) + len(value) + operationOverheadBytes
	if b.tx.probeKey == "" {
		b.tx.probeKey = key
	}
}

// remove deletes a key.
func (b *transactionBuilder) remove(key string) {
	b.txn.Changes = append(b.txn.Changes, protocol.Change{Delete: key})
	b.bytes += len(key) + operationOverheadBytes
}
