// Package commit brings the leader's state into the key-value store: it gathers the records
// with unwritten changes, builds guarded transactions within the store's limits, has one in
// flight at a time, and finds out what became of it when an answer is lost. Records that
// have outgrown the store's limits are split on the way.
//
// Every transaction is a compare-and-swap: it is guarded on the leader lease, so that a
// deposed leader writes nothing, and on the revision of each record that it changes. What
// is refused is undone and planned again. The package decides nothing about jobs and
// machines and sends agents nothing: what follows from an outcome is up to the leader.
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

// Store is the key-value store as this leader uses it. Nothing is answered any more once
// the leader has stepped down.
type Store interface {
	TransactEncoded(txn []byte, done func(kv.TransactionResult))
	Get(key string, done func(kv.GetResult))
	// WriteBudget is what the store's limit on changes leaves to the leader's decisions.
	WriteBudget() *rate.Limiter
	// NoteThrottled notes that the store refused so many changes as too many. It returns
	// the time after which they may be sent again.
	NoteThrottled(changes int) time.Duration
}

// Environment is what the committer needs of the node and of the leader's other parts.
type Environment interface {
	// After does something once the time has passed, if this leader still leads.
	After(pause time.Duration, do func())
	// UniqueName makes a name that no other request or record has.
	UniqueName() string
	// PeersSupport says whether every peer that counts has announced a level.
	PeersSupport(level uint64) bool
	// RequestScheduling has the next scheduling cycle run soon.
	RequestScheduling()
	// StepDown ends this leader's term.
	StepDown(reason string)
}

// Outcomes is what the leader does about attempts and jobs when transactions are built,
// committed or refused.
type Outcomes interface {
	// DropAttempt takes an attempt that is not committed out of every account.
	DropAttempt(attempt *cluster.Attempt)
	// DropUncommitted does that with all of a job's attempts that are not committed.
	DropUncommitted(job *cluster.Job)
	// JobCommitted says that records of a job are committed, and with them new attempts.
	JobCommitted(job *cluster.Job, placed []*cluster.Attempt)
	// JobFinished says that a job's final record is committed.
	JobFinished(id protocol.JobID, final storage.Final)
	// MergeRecord takes a job's own record that a peer may have changed.
	MergeRecord(job *cluster.Job, record *storage.Job, revision protocol.Revision)
	// QuarantineJob keeps a job as it is because a record of it cannot be read.
	QuarantineJob(id protocol.JobID, err error)
	// TransactionCommitted says that a whole transaction was handled that took so long.
	TransactionCommitted(latency time.Duration)
	// TransactionConflicted says that a transaction was refused.
	TransactionConflicted()
}

// Committer writes the leader's state. It has one transaction in flight at a time: what
// changes meanwhile goes into the next, as a batch.
type Committer struct {
	state    *cluster.State
	store    Store
	limits   *KnownLimits
	env      Environment
	outcomes Outcomes
	log      *slog.Logger
	term     protocol.Term

	// Machines are the records of the machines.
	Machines *MachineRecords

	reader          *recordReader
	splitter        *recordSplitter
	oversizedMarked bool // all records that had outgrown the limits are marked

	dirty     dirtyJobs
	obsolete  []string // keys to delete when there is time
	inFlight  *transaction
	notBefore time.Time // no transaction is sent earlier
}

// Dependencies are what a committer works with.
type Dependencies struct {
	State       *cluster.State
	Store       Store
	Limits      *KnownLimits
	Environment Environment
	Outcomes    Outcomes
	Log         *slog.Logger
	Term        protocol.Term // that every transaction is guarded on
}

// New makes the committer of a term.
func New(d Dependencies) *Committer {
	c := &Committer{
		state: d.State, store: d.Store, limits: d.Limits, env: d.Environment, outcomes: d.Outcomes, log: d.Log, term: d.Term,
		Machines: &MachineRecords{state: d.State, env: d.Environment, log: d.Log},
		splitter: &recordSplitter{limits: d.Limits, env: d.Environment, log: d.Log},
	}
	c.reader = &recordReader{state: d.State, store: d.Store, machines: c.Machines, outcomes: d.Outcomes, finish: c.finish}
	return c
}

// MarkDirty marks one of a job's records as to be written.
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

// DeleteLater has keys deleted that no record needs any more, when there is time.
func (c *Committer) DeleteLater(keys ...string) { c.obsolete = append(c.obsolete, keys...) }

// InFlight says whether a transaction is in flight.
func (c *Committer) InFlight() bool { return c.inFlight != nil }

// NextCommit is the time from which on the jobs with unwritten changes can be written;
// false if there are none, or while a transaction is in flight.
func (c *Committer) NextCommit() (at time.Time, due bool) {
	return c.notBefore, c.inFlight == nil && len(c.dirty) > 0
}

// Commit sends the next transaction, if there is something to write and the budget has
// something left.
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

// addDirtyJobs adds the jobs with unwritten changes by urgency, as far as the budget and
// the store's limits allow.
func (c *Committer) addDirtyJobs(b *transactionBuilder, budget writeBudget) {
	var later dirtyJobs
	for _, entry := range c.dirty.byUrgency(c.state.Now()) {
		job := entry.job
		job.Write.Queued = false
		if entry.urgency == urgent || entry.urgency != notDue && budget.allowsNonUrgent(b.changes()) {
			b.addJob(job)
		}
		if len(job.Write.Dirty) > 0 {
			job.Write.Queued = true
			later = append(later, job)
		}
	}
	c.dirty = later
}

// addDeletions adds deletions of obsolete keys, as many as fit.
func (c *Committer) addDeletions(b *transactionBuilder) {
	for len(c.obsolete) > 0 && b.fits(1, 0, smallRecordBytes) {
		b.remove(c.obsolete[0])
		b.tx.deletions = append(b.tx.deletions, c.obsolete[0])
		c.obsolete = c.obsolete[1:]
	}
}

// AwaitsRecordSplit says whether a gang has a record that must be split before its places
// are written, and marks those records.
func (c *Committer) AwaitsRecordSplit(job *cluster.Job) bool {
	limits := c.limits.afterLowering()
	if !c.splitter.maySplit() || job.Records.TasksPerRecord <= storage.GangRecordTasks(limits.TxnOps) {
		return false
	}
	return c.markOversized(job) || len(job.Records.UnnamedParts) > 0
}

// JobQueue lists the jobs in the order in which they are scheduled.
type JobQueue interface{ Queue() []*cluster.Job }

// MarkOversizedRecords has all records that have outgrown the limits split, once they may be:
// nobody knows when the limits are lowered, and a peer that marks a job as cancelled
// writes its first record as it is.
func (c *Committer) MarkOversizedRecords(jobs JobQueue) {
	if c.oversizedMarked || !c.splitter.maySplit() {
		return
	}
	c.oversizedMarked = true
	for _, job := range jobs.Queue() {
		c.markOversized(job)
	}
}

// markOversized marks those of a job's records that have outgrown the configured limits, and
// says whether there are any.
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
