package tuning

import (
	"time"
)

// Agents.
const (
	// SilenceIntervals is how many heartbeat intervals an agent may be silent before
	// it is probed: heartbeats jitter by a quarter. One whose heartbeat was lost
	// answers the probe.
	SilenceIntervals = 1.7
	// MinSilenceTimeout is the least such time: an agent that is not answered waits 4 s
	// and comes to the next node a second later.
	MinSilenceTimeout = 7 * time.Second
	// ReplicaSilenceIntervals is the same for a machine that has replicas of a service, whose
	// users miss them at once: a little more than an interval, so that a probe is
	// sent when one heartbeat in five is late.
	ReplicaSilenceIntervals = 1.2
	// ZoneSuspicionTime is how long replicas go to other zones, if they can, after a
	// machine of a zone was given up as silent: what else is lost there is missed by
	// then.
	ZoneSuspicionTime = 15 * time.Second
	// ProbeTimeout bounds a probe and a direct command.
	ProbeTimeout = 1200 * time.Millisecond
	// MaxUnansweredProbes is the number of unanswered probes after which a silent
	// machine is deleted.
	MaxUnansweredProbes = 2
	// MaxIneffectiveResponses is how many answers in a row must have shown no effect for a
	// agent to count as not receiving: one may be lost or late.
	MaxIneffectiveResponses = 2
	// PartitionSilenceAllowance is how much longer an agent may be silent while a peer is
	// out of reach: it tries the leader, waits 4 s, and comes to another node.
	PartitionSilenceAllowance = 9 * time.Second
	// MaxHeartbeatIntervalFactor is the longest heartbeat interval, as a multiple of the nominal one:
	// heartbeats jitter by a quarter.
	MaxHeartbeatIntervalFactor = 1.25
	// HeartbeatRerouteTime is how long an agent takes from a heartbeat that nobody answers to its
	// next one at another node: it waits 4 s and comes a second later. One second is
	// for the way.
	HeartbeatRerouteTime = 6 * time.Second
	// MaxSilentShare is the part of the fleet that may be silent at once before
	// the network is suspected instead of the machines.
	MaxSilentShare = 0.34
	// MaxZoneSilentShare is the same for one zone's machines.
	MaxZoneSilentShare = 0.5
	// MaxReachableZoneSilentShare is the part of a zone's machines that may be silent for the
	// zone to be heard all the same: heartbeats jitter by a quarter.
	MaxReachableZoneSilentShare = 0.25
	// RedirectRetention is how long a follower remembers that it redirected an agent;
	// one that comes back within it could not reach the leader, and its heartbeats are forwarded.
	RedirectRetention = time.Minute
	// HeartbeatForwardTimeout bounds a forwarded heartbeat; the agent gives up after 4 s.
	HeartbeatForwardTimeout = 3 * time.Second
	// HeartbeatCPUCost is about what an agent's own heartbeat costs of a core: two or three
	// reads, a write, the waking up, and some 20 microseconds of code.
	HeartbeatCPUCost = 120 * time.Microsecond
	// HeartbeatCPUShare is the part of the leader's processor time for agents that
	// report to it directly. The peers answer the rest for it.
	HeartbeatCPUShare = 0.15
	// RetainedAgentShare is the part of the agents that it could pay for which the leader
	// keeps when it cannot keep all: scheduling cycles come in bursts.
	RetainedAgentShare = 0.33
	// DirectResumeShare is the part of that number below which it keeps all again.
	DirectResumeShare = 0.8
	// RedirectCPUCost is about what sending an agent to its proxy costs: the answer, and
	// there a new connection with its first heartbeat.
	RedirectCPUCost = 600 * time.Microsecond
	// RedirectCPUShare is the part of each node's processor time for moves to it.
	RedirectCPUShare = 0.25
	// MaxRedirectBurst is how many agents may be sent away at once.
	MaxRedirectBurst = 20
	// DelegatedCallMargin is added to the time of a call that a peer makes.
	DelegatedCallMargin = time.Second
	// DirectShareScale stands for all agents where a share of them is meant.
	DirectShareScale = 1000
	// DirectShareSteps is the number of steps in which that share changes.
	DirectShareSteps = 20
	// AgentCallCPUCost is about what a call to an agent costs of a core: a connection, a
	// request, an answer with its heartbeat.
	AgentCallCPUCost = 300 * time.Microsecond
	// AgentCallCPUShare is the part of the controller's processor time for calls to
	// agents. What waits goes with the answer to the next heartbeat.
	AgentCallCPUShare = 0.25
	// MinConcurrentAgentCalls is the number of calls that may always be made at once.
	MinConcurrentAgentCalls = 32
	// StopGraceSeconds is added to a job's saving time in an orderly stop, seconds.
	StopGraceSeconds = 3.0
	// DirectStartSettleTime is how long a direct start is not repeated in the answer to a heartbeat that
	// comes meanwhile: a command mostly takes some milliseconds, and the heartbeat was sent
	// before it came.
	DirectStartSettleTime = 300 * time.Millisecond
	// CommandResendDelay is the pause before a direct command is repeated.
	CommandResendDelay = 1500 * time.Millisecond
)

// Failures of machines, jobs and replicas.
const (
	// MaxMachineFailures is how many different jobs may fail on a machine, none
	// succeeding between, before it is returned.
	MaxMachineFailures = 2
	// MaxJobFailures is how many different machines a job may fail on before the
	// job, not the machines, is at fault.
	MaxJobFailures = 3
	// FailureBackoff is the pause before a job that its failures were attributed to is tried again.
	FailureBackoff = 10 * time.Second
	// MaxFailureBackoffDoublings is how often the pause doubles: up to 40 s. Once all faults are
	// over no job may wait 90 s beside free capacity for it.
	MaxFailureBackoffDoublings = 2
	// ReplicaStableTime is how long a replica must have run for its end not to count as
	// one of a series.
	ReplicaStableTime = 30 * time.Second
	// ReplicaRestartBackoff is the pause after the second such end in a row; the first may be
	// the machine's fault, and the replica starts elsewhere at once.
	ReplicaRestartBackoff = time.Second
	// MaxReplicaBackoffDoublings is how often the pause doubles: up to 32 s.
	MaxReplicaBackoffDoublings = 5
)

const (
	// MaxTrustedAttempt is the highest attempt of a heartbeat that the next attempt of its task
	// is numbered above: a damaged report must not use all numbers up.
	MaxTrustedAttempt = 1 << 62
	// MaxRememberedLogKeys is how many keys of bad input are remembered, so that each is logged
	// once: a few for each of thousands of machines.
	MaxRememberedLogKeys = 20_000
)

// MaxCommandsPerResponse bounds the commands in one answer: with 100 bytes each they
// keep within a line of 64 KiB.
const MaxCommandsPerResponse = 400
