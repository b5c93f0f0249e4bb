// Package commit writes the leader's state to the key-value store. It collects the records with
// unwritten changes and builds guarded transactions within the store's limits. One transaction
// is in flight at a time. If its response is lost, the package finds out whether it was applied.
// Records that exceed the store's limits are split before they are written. A job has a main
// record, and task records for the tasks that do not fit into it.
//
// Every transaction is a compare-and-swap. It is guarded on the leader lease, so that a former
// leader cannot write anything, and on the revision of each record that it changes. A refused
// transaction is undone, and its changes are planned again. The package makes no decisions about
// jobs and machines and sends nothing to agents: the leader acts on the outcome of a transaction.
package commit

import (
	"log/slog"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"golang.org/x/time/rate"
)

// Store is the key-value store as this leader uses it. Once the leader has stepped down, no
// callback is called any more.
type Store interface {
	TransactEncoded(txn []byte, done func(kv.TransactionResult))
	Get(key string, done func(kv.GetResult))
	// WriteBudget returns the limiter for the share of the store's write limit that the leader's
	// decisions may use.
	WriteBudget() *rate.Limiter
	// NoteThrottled records that the store throttled a transaction with this many changes. It
	// returns the time after which they may be sent again.
	NoteThrottled(changes int) time.Duration
}

// Environment provides what the committer needs from the node and from the leader's other parts.
type Environment interface {
	// After calls do after the pause, if this leader still leads.
	After(pause time.Duration, do func())
	// UniqueName returns a name that no other request or record has.
	UniqueName() string
	// PeersSupport reports whether every relevant peer has announced at least this feature level.
	// A peer that is down is not relevant once the store's limits are known to be lowered.
	PeersSupport(level uint64) bool
	// RequestScheduling requests that a scheduling cycle runs soon.
	RequestScheduling()
	// StepDown ends this leader's term.
	StepDown(reason string)
}

// Outcomes is how the leader acts on attempts and jobs when transactions are built, committed
// or refused.
type Outcomes interface {
	// DropAttempt removes an uncommitted attempt from all accounting.
	DropAttempt(attempt *cluster.Attempt)
	// DropUncommitted drops all uncommitted attempts of a job.
	DropUncommitted(job *cluster.Job)
	// JobCommitted is called when records of a job are committed. placed holds the new attempts
	// that were committed with them.
	JobCommitted(job *cluster.Job, placed []*cluster.Attempt)
	// JobFinished is called when a job's final record is in the store.
	JobFinished(id protocol.JobID, final storage.FinalRecord)
	// MergeRecord merges a job's main record, which a peer may have changed, into the job.
	MergeRecord(job *cluster.Job, record *storage.Job, revision protocol.Revision)
	// QuarantineJob freezes a job in its present state, because one of its records cannot be read.
	QuarantineJob(id protocol.JobID, err error)
	// TransactionCommitted is called when a committed transaction has been handled completely.
	// revision is the store's revision after it, latency the time since it was first sent.
	TransactionCommitted(revision protocol.Revision, latency time.Duration)
	// TransactionConflicted is called when a transaction was refused.
	TransactionConflicted()
}

// Committer writes the leader's state to the store. It has one transaction in flight at a time.
// Changes that are made in the meantime are batched into the next one.
type Committer struct {
	state    *cluster.State
	store    Store
	limits   *KnownLimits
	env      Environment
	outcomes Outcomes
	log      *slog.Logger
	term     protocol.Term

	// Machines holds the machine records.
	Machines *MachineRecords

	reader          *recordReader
	splitter        *recordSplitter
	oversizedMarked bool // all oversized records were marked dirty

	dirty     dirtyJobs
	obsolete  []string // keys to delete when the budget allows
	inFlight  *transaction
	notBefore time.Time // no transaction is sent before this time
}

// Dependencies holds the dependencies of a committer.
type Dependencies struct {
	State       *cluster.State
	Store       Store
	Limits      *KnownLimits
	Environment Environment
	Outcomes    Outcomes
	Log         *slog.Logger
	Term        protocol.Term // every transaction is guarded on it
}

// New returns the committer for one term of a leader.
func New(d Dependencies) *Committer {
	c := &Committer{
		state: d.State, store: d.Store, limits: d.Limits, env: d.Environment, outcomes: d.Outcomes, log: d.Log, term: d.Term,
		Machines: &MachineRecords{state: d.State, env: d.Environment, log: d.Log},
		splitter: &recordSplitter{limits: d.Limits, env: d.Environment, log: d.Log},
	}
	c.reader = &recordReader{state: d.State, store: d.Store, machines: c.Machines, outcomes: d.Outcomes, finish: c.finish}
	return c
}

// MarkDirty marks one of a job's records as having unwritten changes.
func (c *Committer) MarkDirty(job *cluster.Job, record int) {
	if job.Finished {
		return
	}
	job.Write.Dirty[record] = true
	if !job.Write.Queued {
		job.Write.Queued, job.Write.DirtySince = true, c.state.Now()
		c.dirty = append(c.dirty, job)
	}
}

// DeleteLater queues obsolete keys for deletion when the write budget allows it.
func (c *Committer) DeleteLater(keys ...string) { c.obsolete = append(c.obsolete, keys...) }

// InFlight reports whether a transaction is in flight.
func (c *Committer) InFlight() bool { return c.inFlight != nil }

// NextCommit returns the earliest time at which the jobs with unwritten changes can be written.
// due is false if there are no such jobs, or while a transaction is in flight.
func (c *Committer) NextCommit() (at time.Time, due bool) {
	return c.notBefore, c.inFlight == nil && len(c.dirty) > 0
}

// Commit sends the next transaction, if there is something to write and the budget allows at
// least one change.
func (c *Committer) Commit() {
	now := c.state.Now()
	if c.inFlight != nil || now.Before(c.notBefore) {
		return
	}
	limiter := c.store.WriteBudget()
	budget := availableBudget(limiter, now)
	if budget.available < 1 {
		return
	}
	tx := &transaction{writer: c.env.UniqueName(), sentAt: now}
	b := c.newBuilder(tx, budget)
	b.guard(storage.LeaderKey, protocol.Revision(c.term))
	b.addMachineRecords(c.Machines, isQueued)
	c.addDirtyJobs(b, budget)
	if budget.allowsBackgroundWrites() {
		b.addMachineRecords(c.Machines, c.Machines.isStale)
		c.addDeletions(b)
	}
	if b.changes() == 0 {
		return
	}
	limiter.AllowN(now, b.changes())
	tx.body, tx.changes = storage.Encode(b.txn), b.changes()
	c.inFlight = tx
	c.send(tx)
}

// addDirtyJobs adds the jobs with unwritten changes in the order of their urgency, as far as the
// budget and the store's limits allow.
func (c *Committer) addDirtyJobs(b *transactionBuilder, budget writeBudget) {
	var remaining dirtyJobs
	for _, entry := range c.dirty.byUrgency(c.state.Now()) {
		job := entry.job
		job.Write.Queued = false
		if entry.urgency == urgent || entry.urgency != notDue && budget.allowsNonUrgent(b.changes()) {
			b.addJob(job)
		}
		if len(job.Write.Dirty) > 0 {
			job.Write.Queued = true
			remaining = append(remaining, job)
		}
	}
	c.dirty = remaining
}

// addDeletions adds as many deletions of obsolete keys as fit.
func (c *Committer) addDeletions(b *transactionBuilder) {
	for len(c.obsolete) > 0 && b.fits(1, 0, changeOverheadBytes) {
		b.remove(c.obsolete[0])
		b.tx.deletions = append(b.tx.deletions, c.obsolete[0])
		c.obsolete = c.obsolete[1:]
	}
}

// AwaitsRecordSplit reports whether a gang has a record that must be split, or is being split,
// before the gang's placements can be written. It marks oversized records dirty, so that they are
// split and written.
func (c *Committer) AwaitsRecordSplit(job *cluster.Job) bool {
	limits := c.limits.afterLowering()
	if !c.splitter.maySplit() || job.Records.TasksPerRecord <= storage.MaxGangTasksPerRecord(limits.TxnOps) {
		return false
	}
	return c.markOversized(job) || len(job.Records.UnreferencedParts) > 0
}

// JobQueue provides the jobs in scheduling order.
type JobQueue interface{ Queue() []*cluster.Job }

// MarkOversizedRecords marks all oversized records dirty as soon as records may be split, so
// that they are split and written. They must not wait for their next change: nobody knows when
// the limits will be lowered, and a peer that marks a job as cancelled writes the job's main
// record without splitting it.
func (c *Committer) MarkOversizedRecords(jobs JobQueue) {
	if c.oversizedMarked || !c.splitter.maySplit() {
		return
	}
	c.oversizedMarked = true
	for _, job := range jobs.Queue() {
		c.markOversized(job)
	}
}

// markOversized marks those of a job's records dirty that exceed the lowered limits, and
// reports whether there are any.
func (c *Committer) markOversized(job *cluster.Job) (found bool) {
	limits := c.limits.afterLowering()
	for r := range job.Records.Revisions {
		if c.splitter.oversized(job, r, limits) {
			c.MarkDirty(job, r)
			found = true
		}
	}
	return found
}
