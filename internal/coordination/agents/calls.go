package agents

import (
	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// Client makes calls to agents. Each call ends with one call of done, unless the leader that
// made it has stepped down.
type Client interface {
	SendCommands(machine *cluster.Machine, commands protocol.CommandBatch, done func(CallResult))
	// RequestHeartbeat asks an agent for a current heartbeat.
	RequestHeartbeat(machine *cluster.Machine, done func(CallResult))
}

// CallOutcome tells how a call to an agent ended.
type CallOutcome int

// Outcomes of a call to an agent.
const (
	// NoResponse: no response arrived. The agent may have executed the call, or may still do so.
	NoResponse CallOutcome = iota
	// Executed: the agent has executed the call.
	Executed
	// Refused: the agent has not executed the call, because it knows a higher fencing token or
	// has another incarnation than the call names.
	Refused
	// UnexpectedResponse: the response does not tell whether the agent executed the call.
	UnexpectedResponse
)

// CallResult is the result of a call.
type CallResult struct {
	Outcome CallOutcome
	// Heartbeat is the agent's state after the call, nil if ParseError tells why it cannot be
	// read. One of the two is set if the call was executed or refused, neither otherwise.
	Heartbeat  *protocol.Heartbeat
	ParseError error
	// StateLost: Heartbeat is older than one that had arrived before the call was made. The agent has
	// begun again, because each of its messages is newer than those before.
	StateLost bool
}

// Calls makes the calls to agents and counts them. Callers first check MaySendCommands or
// MayProbe, which limit the rate of the calls and the number in flight.
type Calls struct {
	Limiter  *rate.Limiter
	InFlight int
	state    *cluster.State
	client   Client
}

// NewLimiter returns a rate limiter for calls to agents. Calls may take
// tuning.AgentCallCPUShare of the controller's share of a core: a new leader that called every
// agent of a large fleet at once would not get to renew its leader lease.
func NewLimiter(resources config.ProcessLimits) *rate.Limiter {
	if resources.Cores <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	limit := resources.Cores * tuning.AgentCallCPUShare / tuning.AgentCallCPUCost.Seconds()
	return rate.NewLimiter(rate.Limit(limit), max(tuning.MinConcurrentAgentCalls, int(limit)))
}

// MaySendCommands reports whether an agent may be called now to send it commands.
func (c *Calls) MaySendCommands() bool { return c.hasCapacity(c.maxInFlight(), 1) }

// MayProbe reports whether an agent may be called now for something that can wait, such as a
// probe. It leaves half of the rate and of the sockets to commands, because each probe of a
// silent zone takes its whole time-out.
func (c *Calls) MayProbe() bool {
	return c.hasCapacity(c.maxInFlight()/2, float64(c.Limiter.Burst())/2)
}

func (c *Calls) maxInFlight() int {
	return max(tuning.MinConcurrentAgentCalls, int(float64(c.state.Config.Cluster.Process.FDLimit)*tuning.AgentCallConnectionShare))
}

func (c *Calls) hasCapacity(inFlight int, tokens float64) bool {
	return c.InFlight < inFlight && (c.Limiter.Limit() == rate.Inf || c.Limiter.TokensAt(c.state.Now()) >= tokens)
}

// SendCommands sends commands to an agent. The call counts as in flight until done is called.
func (c *Calls) SendCommands(machine *cluster.Machine, commands protocol.CommandBatch, done func(CallResult)) {
	c.client.SendCommands(machine, commands, c.begin(machine, done))
}

// RequestHeartbeat asks an agent for a current heartbeat. The call counts as in flight until
// done is called.
func (c *Calls) RequestHeartbeat(machine *cluster.Machine, done func(CallResult)) {
	c.client.RequestHeartbeat(machine, c.begin(machine, done))
}

// begin counts a call to a machine's agent against the limits. It returns a callback that ends the
// call and calls done.
func (c *Calls) begin(machine *cluster.Machine, done func(CallResult)) func(CallResult) {
	c.Limiter.AllowN(c.state.Now(), 1)
	c.InFlight++
	incarnation, sequence := machine.Agent.Incarnation, machine.Agent.Sequence
	return func(result CallResult) {
		c.InFlight--
		result.StateLost = result.Heartbeat != nil && !result.Heartbeat.NewerThan(incarnation, sequence)
		done(result)
	}
}
