// Package tuning holds every constant of gappond, each with its unit and the
// reason for its value. What depends on the site is derived from the
// platform's settings; what operators may set is a field of Operator.
package tuning

import "time"

// Leadership.
const (
	// ClaimTTL is how long the leader's claim outlives its last renewal. Short
	// enough that a crashed leader is replaced before workers' reports have
	// gone unanswered for two intervals; long enough for two lost renewals.
	ClaimTTL = 3 * time.Second
	// TakeoverWork is about what a takeover costs of a core: the records of some
	// hundred jobs are read while all workers return. ClaimTTL is longer by the time
	// that this takes, for no healthy leader to lose its claim over it,
	TakeoverWork = 60 * time.Millisecond
	// but no more than this: so much later is a crashed leader replaced.
	TakeoverMost = 1500 * time.Millisecond
	// ClaimRenew is how often the claim is renewed: three tries within the TTL.
	ClaimRenew = 900 * time.Millisecond
	// Standstill is the pause between two steps of a node from which on its claim
	// may have lapsed and been taken: it is woken once a second at least.
	Standstill = ClaimTTL - ClaimRenew
	// ClaimRetry is the pause after a failed attempt to claim.
	ClaimRetry = 200 * time.Millisecond
	// AuthorityMargin is kept free between grace + worker lease and the time a
	// cancellation may take: orders and reports need a few seconds on the way.
	AuthorityMargin = 6 * time.Second
	// MaxGrace bounds the grace whatever the settings say.
	MaxGrace = 20 * time.Second
	// CancelMargin is kept free between a leader's authority + worker lease and the
	// time a cancellation may take: whoever tells the user may have read another
	// clock, and the worker's last answer was on its way.
	CancelMargin = 3 * time.Second
	// VouchAfter is how long a leader must be without proof to ask its siblings to
	// vouch for it: a few renewals have failed.
	VouchAfter = 2500 * time.Millisecond
	// VouchEvery is how often it asks: many times within its grace.
	VouchEvery = time.Second
	// VouchMost is the largest number of cancellations that a word may name.
	VouchMost = 4000
	// KnownFor is how old a leader's knowledge of the records may be before it asks
	// the state service how far they have come: with every renewal at most.
	KnownFor = ClaimRenew
	// WatchStuck is how long a watch may fail to show a change that the state
	// service is known to have made before another watch is opened beside it.
	WatchStuck = 2 * time.Second
	// ClockDrift is the largest disagreement of two steady clocks, as a share
	// (0.05% each way, doubled).
	ClockDrift = 0.001
	// LapseMargin is added before a worker's lease is presumed to have lapsed:
	// the leases themselves are exact, processing is not.
	LapseMargin = 1500 * time.Millisecond
)

// Owner loop.
const (
	// Tick is the least pause after which the owner looks at its timers by
	// itself. Waking up for one costs a process some 100 microseconds of its
	// share, in system calls more than in code.
	Tick = 100 * time.Millisecond
	// TickMost is the longest such pause, when no timer is due: well below
	// Standstill, by which a node knows that it stood still.
	TickMost = time.Second
	// QueueLen bounds the owner's queue of commands; beyond it requests are shed.
	QueueLen = 4096
	// QueueUsers bounds users' requests under way at one node, so that reports
	// always find room in the queue.
	QueueUsers = 512
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
	// WatchShare and PollShare are the parts of the processor time that watches and
	// the checks of polls may take: on a small share of a core their pauses grow.
	WatchShare = 0.05
	PollShare  = 0.05
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
	// MailShare is the part for mail: in a cut, each of hundreds of workers must
	// have a report carried within its lease, and the answer back.
	MailShare = 0.2
	// UserFloor is the part of the burst that the leader's decisions leave to
	// users and mail, whose writes it sees only when they are done.
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
	// StaleWait is how long a room record may name machines that are gone: they
	// take no task, and a machine in its place would be told by its own name.
	StaleWait = 10 * time.Second
	// TxnBytes is the largest body of a transaction, below the 64 KiB limit.
	TxnBytes = 60 << 10
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

// Workers.
const (
	// SilentReports is how many report intervals a worker may be silent before
	// it is probed: reports jitter by a quarter. One whose report was lost
	// answers the probe.
	SilentReports = 1.7
	// SilentLeast is the least such time: a worker that is not answered waits 4 s
	// and comes to the next node a second later.
	SilentLeast = 7 * time.Second
	// HostReports is the same for a machine that has replicas of a service, whose
	// users miss them at once: a little more than an interval, so that a probe is
	// sent when one report in five is late.
	HostReports = 1.2
	// ProbeTimeout bounds a probe and a direct order.
	ProbeTimeout = 1200 * time.Millisecond
	// ProbesToDelete is the number of unanswered probes after which a silent
	// machine is deleted.
	ProbesToDelete = 2
	// MissedAnswers is how many answers in a row must have shown no effect for a
	// worker to count as deaf: one may be lost or late.
	MissedAnswers = 2
	// CutPatience is how much longer a worker may be silent while a sibling is
	// out of reach: it tries the leader, waits 4 s, and comes to another node.
	CutPatience = 9 * time.Second
	// SilentShare is the part of the fleet that may be silent at once before
	// the network is suspected instead of the machines.
	SilentShare = 0.34
	// ZoneSilentShare is the same for one zone's machines.
	ZoneSilentShare = 0.5
	// HeardSilentShare is the part of a zone's machines that may be silent for the
	// zone to be heard all the same: reports jitter by a quarter.
	HeardSilentShare = 0.25
	// RelayMemory is how long a follower remembers that it redirected a worker;
	// one that comes back within it could not reach the leader and is carried.
	RelayMemory = time.Minute
	// RelayTimeout bounds a carried report; the worker gives up after 4 s.
	RelayTimeout = 3 * time.Second
	// ReportCost is about what a worker's own report costs of a core: two or three
	// reads, a write, the waking up, and some 20 microseconds of code.
	ReportCost = 120 * time.Microsecond
	// ReportShare is the part of the leader's processor time for workers that
	// report to it directly. The siblings answer the rest for it.
	ReportShare = 0.15
	// KeepsPart is the part of the workers that it could pay for which the leader
	// keeps when it cannot keep all: passes over the queue come in bursts.
	KeepsPart = 0.33
	// SpreadUntil is the part of that number below which it keeps all again.
	SpreadUntil = 0.8
	// MoveCost is about what sending a worker to its front costs: the answer, and
	// there a new connection with its first report.
	MoveCost = 600 * time.Microsecond
	// MoveShare is the part of each node's processor time for moves to it.
	MoveShare = 0.25
	// MovesAtOnce is how many workers may be sent away at once.
	MovesAtOnce = 20
	// DelegateSlack is added to the time of a call that a sibling makes.
	DelegateSlack = time.Second
	// KeepsAll stands for all workers where a share of them is meant.
	KeepsAll = 1000
	// KeepsSteps is the number of steps in which that share changes.
	KeepsSteps = 20
	// OrderCost is about what a call to a worker costs of a core: a connection, a
	// request, an answer with its report.
	OrderCost = 300 * time.Microsecond
	// OrderShare is the part of the controller's processor time for calls to
	// workers. What waits goes with the answer to the next report.
	OrderShare = 0.25
	// OrdersLeast is the number of calls that may always be made at once.
	OrdersLeast = 32
	// StopGrace is added to a job's saving time in an orderly stop, seconds.
	StopGrace = 3.0
	// StopResend is the pause before a direct order is repeated.
	StopResend = 1500 * time.Millisecond
)

// Cloud.
const (
	// CloudTimeout bounds a call; answers take some hundred milliseconds.
	CloudTimeout = 5 * time.Second
	// ListEvery is the interval between machine lists, well inside their lag.
	ListEvery = 4 * time.Second
	// TypesEvery is the interval between price lists.
	TypesEvery = 30 * time.Second
	// ListPage is the page size of the machine list, the largest allowed.
	ListPage = 500
	// RentCount is the most machines one request may name.
	RentCount = 50
	// DeleteCount is the most names one deletion may carry.
	DeleteCount = 100
	// NoCapacityPause is how long a refused type, zone and kind is left alone.
	NoCapacityPause = 12 * time.Second
	// BootPatience is how many nominal boot times a machine may take before
	// another is rented in its place.
	BootPatience = 2.2
	// BootSlack is added to BootPatience.
	BootSlack = 5 * time.Second
)

// Trust.
const (
	// MachineErrors is how many different jobs may fail on a machine, none
	// succeeding between, before it is returned.
	MachineErrors = 2
	// JobErrors is how many different machines a job may fail on before the
	// job, not the machines, is blamed.
	JobErrors = 3
	// ErrorPause is the pause before a job that was blamed is tried again.
	ErrorPause = 10 * time.Second
	// ErrorDoublings is how often the pause doubles: up to 40 s. Once all troubles are
	// over no job may wait 90 s beside room for it.
	ErrorDoublings = 2
	// ReplicaStable is how long a replica must have run for its end not to count as
	// one of a series.
	ReplicaStable = 30 * time.Second
	// ReplicaPause is the pause after the second such end in a row; the first may be
	// the machine's fault, and the replica starts elsewhere at once.
	ReplicaPause = time.Second
	// ReplicaDoublings is how often the pause doubles: up to 32 s.
	ReplicaDoublings = 5
)

// Operator holds what operators may set in the properties file.
type Operator struct {
	// IdleReturn is how long a machine may be idle before it is returned.
	// The cloud charges a minute at least, and a boot costs most of one.
	IdleReturn time.Duration
	// SparesPerZone is the number of idle machines kept in every zone.
	SparesPerZone int
	// BarAfter is how long a gang waits before smaller jobs no longer pass it.
	BarAfter time.Duration
	// DirectStarts sends starts straight to the workers instead of leaving
	// them for the next report.
	DirectStarts bool
}

// Defaults are the operators' settings when none are given.
func Defaults() Operator {
	return Operator{IdleReturn: 20 * time.Second, SparesPerZone: 1, BarAfter: 10 * time.Second, DirectStarts: true}
}

// Nodes.
const (
	// WatchOverrun is how much longer than asked a watch may take to return.
	WatchOverrun = 3 * time.Second
	// AloneAfter is how long a node may miss the state service, while a sibling
	// reaches it, before it asks to be spared users' requests.
	AloneAfter = 5 * time.Second
	// CutOffAfter is how long requests to the state service must have gone
	// unanswered for users to be turned away at once: two time-outs.
	CutOffAfter = 3 * time.Second
	// StateProbe is how long a node asks the state service for nothing before
	// it asks just to know whether it is served.
	StateProbe = time.Second
	// ServedLately is how fresh the last served request must be for a node to
	// tell its siblings that the state service serves it: less than AloneAfter,
	// so that in an outage no node takes an old word for a sign of life.
	ServedLately = 1500 * time.Millisecond
	// PeerBeat is the interval of the siblings' beats.
	PeerBeat = time.Second
	// MailEvery is the least pause between two values written for a sibling
	// that no link leads to: few enough for the write budget, often enough for
	// a worker that waits 4 s for its answer.
	MailEvery = 400 * time.Millisecond
	// PeerSilent is how long a link may be silent before it counts as cut.
	PeerSilent = 3 * time.Second
	// ExpireEvery is the pause between two looks for carried requests that no
	// answer came to.
	ExpireEvery = 250 * time.Millisecond
	// PeerHops bounds the nodes that carry one message.
	PeerHops = 2
	// ClaimJitter spreads the candidates' attempts.
	ClaimJitter = 120 * time.Millisecond
)

// Planning.
const (
	// PlanEvery is the least pause between two passes over the queue.
	PlanEvery = 100 * time.Millisecond
	// PlanIdle is the longest pause between two passes: time-outs have no event.
	PlanIdle = time.Second
	// LookCost is about what a look at one machine for one job costs of a core.
	LookCost = 100 * time.Nanosecond
	// PassLength is how long one pass over the queue may go on making room: a
	// claim must be renewed, and reports answered, between two passes.
	PassLength = 100 * time.Millisecond
	// LooksLeast is the number of looks that a pass may take however small the
	// controller's share of a core: a few jobs' searches on a small fleet.
	LooksLeast = 5000
	// PlanShare is the part of the controller's processor time that passes over
	// the queue may take; reports, commits and users need the rest.
	PlanShare = 0.25
	// SearchPause is the pause after a search for work to stop found nothing.
	SearchPause = time.Second
	// WatchMachines is how often all machines are looked over for silence,
	// lapse and return: finer than any time-out that depends on it.
	WatchMachines = 500 * time.Millisecond
	// SlotCPUs is the share of processors that makes a slot on machines
	// without GPUs; memory follows in the machine's own proportion.
	SlotCPUs = 4.0
	// AvoidFor is how long a job avoids a machine that refused its task.
	AvoidFor = 15 * time.Second
	// AvoidFailed is how long a job avoids a machine on which its task failed:
	// long enough for another job to show whether the machine is to blame, well below
	// the 90 s that no job may wait beside room for it.
	AvoidFailed = time.Minute
	// WarmFetch is the fetch time, in seconds, from which a gang would rather
	// take machines that have its image.
	WarmFetch = 5.0
	// WarmPatience is for how many times its fetch an array leaves machines
	// without its image to others: it gains one fetch and may lose its deadline.
	WarmPatience = 2.0
	// WarmSave is the share of the fetch time that saving the work in the way
	// may take.
	WarmSave = 0.6
	// SavePays is how many times the saving time the work at stake must be for a
	// task that yields to save: the job that waits pays for the saving too.
	SavePays = 2.0
	// GangRestart is how long, in seconds, a gang that yields takes to gather
	// again: a new place, perhaps a fetch, and its slowest task.
	GangRestart = 10.0
	// WarmLoss is how much more work, in GPU seconds, may be lost than the
	// gang's GPUs would idle during the fetch.
	WarmLoss = 2.0
	// BeginWithin is how long an array may wait for its first place before it
	// goes first: users expect the largest to begin within four minutes, and
	// renting takes up to one.
	BeginWithin = 150 * time.Second
	// LateTurn is how far back an array goes in the queue for every aim that it
	// is too late for.
	LateTurn = 5 * time.Minute
	// SizeTurn is how much later than by its aims alone an array's turn comes for
	// every task that is not done: when not all can be in time, small ones can.
	SizeTurn = 1500 * time.Millisecond
	// HoldFor is how long room freed by preemption is held for its job.
	HoldFor = 25 * time.Second
)

// OrdersAtOnce bounds the commands in one answer: with 100 bytes each they
// keep within a line of 64 KiB.
const OrdersAtOnce = 400

// Renting.
const (
	// CloudShare is the part of the cloud's call budget that the leader uses;
	// the siblings only ask for prices now and then.
	CloudShare = 0.8
	// RentEvery is the pause between two reckonings of demand.
	RentEvery = time.Second
	// RentAfterTakeover leaves a new leader time to hear which machines it has.
	RentAfterTakeover = 2 * time.Second
	// SpareMemory is how long spares are kept after the last job came: a few
	// boot times, within which the next one would miss them.
	SpareMemory = 100 * time.Second
	// EstimateSlack stretches an owner's estimate, often wrong by half.
	EstimateSlack = 1.3
	// BootSlackShare stretches a nominal boot time.
	BootSlackShare = 1.2
	// PackEvery is the pause between two machines that are emptied to save money.
	PackEvery = 5 * time.Second
	// PackTries is how many machines are looked at for one to empty.
	PackTries = 8
	// PackFleet: one in so many machines may be emptied at once.
	PackFleet = 20
	// PackBelow is the share of its GPUs in use from which on a machine stays.
	PackBelow = 0.5
	// PackWorth is how much longer, in seconds, a task must be expected to run
	// to be worth moving: saving it and fetching its image take some ten.
	PackWorth = 40.0
	// RentTries is how often a request is sent before it is given up; what it
	// rented all the same shows in the machine list.
	RentTries = 5
)

// Sockets.
const (
	// DialTimeout bounds connecting; packets cross the region in milliseconds.
	DialTimeout = time.Second
	// ConnsPerHost bounds the connections to one outside system.
	ConnsPerHost = 16
	// WorkerConns is the share of the socket limit for idle connections to
	// workers; they must not take the rest from accepted ones.
	WorkerConns = 0.03
	// IdleConn is how long an idle connection to a worker or outside system is kept.
	IdleConn = 20 * time.Second
	// IdleServer is how long an idle connection of a user or worker is kept:
	// users poll every 5 s, workers report as often. Connections of machines that
	// hang or are behind a cut are let go.
	IdleServer = 20 * time.Second
	// ReadTimeout bounds the reading of one request, so that slow or half-open
	// clients never hold a socket for long.
	ReadTimeout = 5 * time.Second
	// AnswerLimit bounds the owner's answer; users give up after 5 s.
	AnswerLimit = 4 * time.Second
	// MaxAnswer bounds an answer from outside. A watch's answer has no limit of
	// its own: 10,000 changes of a few KiB are the most that is kept.
	MaxAnswer = 32 << 20
	// TrustedBody is how many bytes of a request's body are made room for before
	// they have come: most reports are smaller, and hundreds of stalled clients
	// that announce more cost no more than this each.
	TrustedBody = 2 << 10
	// ServerSockets is the share of the socket limit for users and workers.
	ServerSockets = 0.8
	// KeptSockets is the share up to which a worker's connection is kept open
	// between two reports; the rest are for workers that come for one report and
	// for the load balancer's probes.
	KeptSockets = 0.68
	// UserSockets is the same for users: workers' reports go first.
	UserSockets = 0.5
	// SocketsLeast is the least of these numbers, whatever the limit.
	SocketsLeast = 16
	// WorkerSockets is the share for calls to workers under way; the links to
	// siblings and outside systems need a few dozen.
	WorkerSockets = 0.08
	// PeerQueue bounds the messages that wait for a link.
	PeerQueue = 512
	// PeerBatch is about how many bytes of frames are written, and read, at once.
	PeerBatch = 16 << 10
	// GatherCost is about what a write of gathered reports costs the leader of a
	// core: a read, the waking up, and the write of the answers.
	GatherCost = 250 * time.Microsecond
	// GatherShare is the part of the leader's processor time for these.
	GatherShare = 0.15
	// GatherMost bounds how long reports are gathered: a task's end is known so
	// much later.
	GatherMost = 250 * time.Millisecond
	// PeerRedial is the pause before a sibling is dialled again.
	PeerRedial = 500 * time.Millisecond
	// PeerWrite bounds the writing of one frame.
	PeerWrite = 3 * time.Second
	// PeerRead is how long a link may be silent: five beats.
	PeerRead = 5 * time.Second
	// BatchUrgent and BatchUsers bound one batch of the owner. Users' requests
	// are fewer, so that reports never wait long behind them.
	BatchUrgent = 256
	BatchUsers  = 32
	// GCPercent and MemoryShare trade memory, of which there is enough, for
	// processor time, of which there is little.
	GCPercent   = 300
	MemoryShare = 0.6
)
