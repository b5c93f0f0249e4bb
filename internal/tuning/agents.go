package tuning

import (
	"time"
)

// Agents.
const (
	// SilenceIntervals is the silence time-out in heartbeat intervals: how long an agent may be
	// silent before it is probed. Heartbeats jitter by a quarter of the interval. An agent whose
	// heartbeat was lost responds to the probe.
	SilenceIntervals = 1.7
	// MinSilenceTimeout is the lower bound of the silence time-out: an agent that gets no response
	// waits 4 s and tries the next node a second later.
	MinSilenceTimeout = 7 * time.Second
	// ReplicaSilenceIntervals replaces SilenceIntervals for a machine that has service replicas,
	// because users notice at once when these are lost. It is little more than one interval:
	// a probe is sent when a heartbeat is a fifth of an interval late. Up to one heartbeat in five
	// is that late without a fault.
	ReplicaSilenceIntervals = 1.2
	// ZoneSuspicionTime is how long replicas are placed in other zones, if possible, after a
	// machine of a zone was deleted as unresponsive. By the end of this time, the silence of any
	// other lost machine of the zone has been noticed.
	ZoneSuspicionTime = 15 * time.Second
	// ProbeTimeout bounds a probe and a direct command.
	ProbeTimeout = 1200 * time.Millisecond
	// MaxUnansweredProbes is the number of unanswered probes after which a silent machine is
	// deleted.
	MaxUnansweredProbes = 2
	// MaxIneffectiveResponses is the number of consecutive responses without a visible effect
	// after which responses and commands count as not reaching an agent. A single response may be
	// lost or late.
	MaxIneffectiveResponses = 2
	// PartitionSilenceAllowance is added to the silence time-out while a peer is unreachable:
	// the agent tries the leader, waits 4 s, and then tries another node.
	PartitionSilenceAllowance = 9 * time.Second
	// MaxHeartbeatIntervalFactor is the longest heartbeat interval as a multiple of the nominal
	// one: heartbeats jitter by a quarter.
	MaxHeartbeatIntervalFactor = 1.25
	// HeartbeatRerouteTime is the time from an agent's unanswered heartbeat to its next one
	// at another node: the agent waits 4 s for a response and tries the other node a second
	// later. One more second allows for transmission.
	HeartbeatRerouteTime = 6 * time.Second
	// MaxSilentShare is the share of the fleet that may be silent at once before
	// a network partition is suspected instead of machine failures.
	MaxSilentShare = 0.34
	// MaxZoneSilentShare is the share of a zone's machines that may be silent at once before
	// a network partition of the zone is suspected.
	MaxZoneSilentShare = 0.5
	// MaxReachableZoneSilentShare is the share of silent machines below which a zone counts as
	// reachable. Some machines are silent without a fault, because heartbeats jitter by a quarter
	// of the interval.
	MaxReachableZoneSilentShare = 0.25
	// RedirectRetention is how long a follower remembers that it redirected an agent. An agent
	// that returns within this time could not reach the leader, and its heartbeats are forwarded.
	RedirectRetention = time.Minute
	// HeartbeatForwardTimeout bounds a forwarded heartbeat; the agent stops waiting after 4 s.
	HeartbeatForwardTimeout = 3 * time.Second
	// HeartbeatCPUCost is the approximate CPU time of a heartbeat that an agent sends to the
	// leader directly: two or three reads, a write, a wake-up, and about 20 microseconds of code.
	HeartbeatCPUCost = 120 * time.Microsecond
	// HeartbeatCPUShare is the share of the leader's CPU time for agents that send their
	// heartbeats to it directly. The peers respond to the other agents on its behalf.
	HeartbeatCPUShare = 0.15
	// RetainedAgentShare is the share of the agents within the leader's limit that it still
	// responds to directly when the fleet exceeds that limit. The rest of the CPU time is left
	// for scheduling cycles, which come in bursts.
	RetainedAgentShare = 0.33
	// DirectResumeShare is the share of the leader's limit to which a fleet that exceeded it must
	// shrink before the leader responds to all agents directly again.
	DirectResumeShare = 0.8
	// RedirectCPUCost is the approximate CPU time of redirecting an agent to its proxy: the
	// response, and at the proxy a new connection with its first heartbeat.
	RedirectCPUCost = 600 * time.Microsecond
	// RedirectCPUShare is the share of each node's CPU time for agents redirected to it.
	RedirectCPUShare = 0.25
	// MaxRedirectBurst is the number of agents that may be redirected at once.
	MaxRedirectBurst = 20
	// DelegatedCallMargin is added to the time-out of a call that a peer makes for the leader.
	DelegatedCallMargin = time.Second
	// DirectShareScale is the scale of the direct share, which is the share of agents that send
	// heartbeats to the leader directly. It is given in thousandths, so 1000 stands for all agents.
	DirectShareScale = 1000
	// DirectShareSteps is the number of steps in which the direct share changes, so that few agents
	// change their proxy as the fleet grows.
	DirectShareSteps = 20
	// AgentCallCPUCost is the approximate CPU time of a call to an agent: a connection, a
	// request, and a response with the agent's heartbeat.
	AgentCallCPUCost = 300 * time.Microsecond
	// AgentCallCPUShare is the share of the controller's CPU time for calls to agents.
	// Commands that have to wait are sent in the response to the agent's next heartbeat.
	AgentCallCPUShare = 0.25
	// MinConcurrentAgentCalls is the number of calls to agents that may be made at once however
	// small the shares of CPU time and sockets are.
	MinConcurrentAgentCalls = 32
	// StopGraceSeconds is added to a job's checkpoint save time in an orderly stop, in seconds.
	StopGraceSeconds = 3.0
	// DirectStartSettleTime is how long a start that was sent directly is not repeated in a
	// heartbeat response. A direct start usually takes a few milliseconds, and a heartbeat that
	// arrives in the meantime was sent before the agent received the start.
	DirectStartSettleTime = 300 * time.Millisecond
	// CommandResendDelay is the pause before a direct command is repeated.
	CommandResendDelay = 1500 * time.Millisecond
)

// Failures of machines, jobs and replicas.
const (
	// MaxMachineFailures is the number of different jobs that may fail on a machine, without a
	// success in between, before the machine is drained and deleted.
	MaxMachineFailures = 2
	// QuarantineTime is how long a machine is quarantined before it is tried again. With a trial
	// and an image fetch it stays below the 90 s for which no job may wait beside free capacity.
	QuarantineTime = 40 * time.Second
	// DrainTime is how long a machine may be drained before it is used again: long enough to stop
	// every task that can save its progress, and below the 90 s mentioned at QuarantineTime.
	DrainTime = 60 * time.Second
	// TrialInterval is the pause between two jobs that are admitted to a machine on trial.
	TrialInterval = 15 * time.Second
	// WorkingRunTime is how long a task must have run to show that its machine works.
	WorkingRunTime = 10 * time.Second
	// RunningStatusLag is how long the record of a job without attempts may show it as running. Users
	// may be told a state that is 3 s old, and the write and the next heartbeat take time too.
	RunningStatusLag = time.Second
	// MaxJobFailures is the number of different machines on which a job may fail before the
	// failures are attributed to the job and not to the machines.
	MaxJobFailures = 3
	// FailureBackoff is the pause before a job is retried after its failures were attributed to it.
	FailureBackoff = 10 * time.Second
	// MaxFailureBackoffDoublings is how often that pause may double: up to 40 s. Once all faults
	// are over, no job may wait 90 s for its retry while there is free capacity.
	MaxFailureBackoffDoublings = 2
	// CapacityRetryPause is the pause until machines are freed or requested again for a job to which
	// its failures were attributed.
	CapacityRetryPause = 30 * time.Second
	// MaxCapacityRetryDoublings is how often that pause may double: up to 32 minutes.
	MaxCapacityRetryDoublings = 6
	// ReplicaStableTime is how long a replica must have run for its exit not to count as
	// one of a series of early exits.
	ReplicaStableTime = 30 * time.Second
	// ReplicaRestartBackoff is the pause after the second early exit in a row. The first one may
	// be the machine's fault, so the replica restarts elsewhere at once.
	ReplicaRestartBackoff = time.Second
	// MaxReplicaBackoffDoublings is how often that pause may double: up to 32 s.
	MaxReplicaBackoffDoublings = 5
)

const (
	// MaxTrustedAttempt bounds the attempt numbers that are accepted from heartbeats. The next
	// attempt of a task gets a number above all reported ones, but reported numbers from this bound
	// on are ignored. Otherwise a corrupted heartbeat could use up all numbers.
	MaxTrustedAttempt = 1 << 62
	// MaxRememberedLogKeys is the number of keys of malformed input that are remembered so that
	// each is logged only once. It allows a few keys for each of thousands of machines.
	MaxRememberedLogKeys = 20_000
)

// MaxRememberedForgets is the number of forgotten attempts that are remembered to detect agents that
// report them again: a few leases' worth at production size, in under a megabyte.
const MaxRememberedForgets = 4096

// MaxCommandsPerResponse bounds the commands in one response. At 100 bytes each they fit into a
// message of 64 KiB.
const MaxCommandsPerResponse = 400
