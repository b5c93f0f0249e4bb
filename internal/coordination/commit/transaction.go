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

// Upper bounds on what changes and conditions add to the size of a transaction.
const (
	operationOverheadBytes = 40  // per change or condition, without its key and value
	changeOverheadBytes    = 200 // per change with its conditions, without the value that it writes
	finalRecordBytes       = 400 // per job: its final record and the deletion of its main record
)

// transaction is a transaction that was built, with everything that depends on its outcome.
type transaction struct {
	writer         string // its unique name, stored in each record that it writes
	body           []byte // encoded; a retry sends the same bytes
	changes        int
	probeKey       string // a key that it sets, read back if the response is lost
	sentAt         time.Time
	responseLost   bool // the store may have applied it
	jobs           []*jobWrite
	machineRecords []machineRecordWrite
	deletions      []string
}

// jobWrite is one job's part of a transaction.
type jobWrite struct {
	job     *cluster.Job
	records []int
	final   *storage.FinalRecord
	placed  []*cluster.Attempt // attempts that this transaction commits
	staging bool               // the records are parts that the main record does not reference yet
}

// transactionBuilder builds a transaction within the store's limits.
type transactionBuilder struct {
	splitter   *recordSplitter
	limits     config.StoreLimits // that records and conditions must keep within now
	outcomes   Outcomes
	tx         *transaction
	txn        protocol.Transaction
	bytes      int
	guarded    map[*cluster.MachineRecord]bool
	maxChanges int // allowed by the write budget and by the limits after lowering
}

// newBuilder returns a builder for tx that keeps within the write budget.
func (c *Committer) newBuilder(tx *transaction, budget writeBudget) *transactionBuilder {
	return &transactionBuilder{
		splitter: c.splitter, limits: c.splitter.currentLimits(), outcomes: c.outcomes, tx: tx,
		guarded:    map[*cluster.MachineRecord]bool{},
		maxChanges: min(c.limits.afterLowering().TxnOps, int(budget.available)),
	}
}

// changes returns the number of changes that the transaction has.
func (b *transactionBuilder) changes() int { return len(b.txn.Changes) }

// remainingChanges returns the number of changes that can still be added.
func (b *transactionBuilder) remainingChanges() int { return b.maxChanges - b.changes() }

// fits reports whether the given numbers of further changes, conditions and bytes fit into the
// transaction.
func (b *transactionBuilder) fits(changes, conditions, bytes int) bool {
	return b.remainingChanges() >= changes &&
		len(b.txn.Conditions)+conditions <= kv.ConditionsPerChange*b.limits.TxnOps &&
		b.bytes+bytes <= tuning.MaxTransactionBytes
}

// guard adds the compare-and-swap condition that a key has a revision.
func (b *transactionBuilder) guard(key string, revision protocol.Revision) {
	b.txn.Conditions = append(b.txn.Conditions, protocol.Condition{Key: key, Revision: revision})
	b.bytes += len(key) + operationOverheadBytes
}

// set adds a change that writes a key.
func (b *transactionBuilder) set(key string, value json.RawMessage) {
	b.txn.Changes = append(b.txn.Changes, protocol.Change{Set: key, Value: value})
	b.bytes += len(key) + len(value) + operationOverheadBytes
	if b.tx.probeKey == "" {
		b.tx.probeKey = key
	}
}

// remove adds a change that deletes a key.
func (b *transactionBuilder) remove(key string) {
	b.txn.Changes = append(b.txn.Changes, protocol.Change{Delete: key})
	b.bytes += len(key) + operationOverheadBytes
}
