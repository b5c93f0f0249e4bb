package agents

import (
	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// Client calls agents. Each call is answered by one call of done, unless the leader that
// made it leads no more.
type Client interface {
	SendCommands(machine *cluster.Machine, commands protocol.CommandBatch, done func(CallResult))
	// RequestHeartbeat asks an agent for its heartbeat.
	RequestHeartbeat(machine *cluster.Machine, done func(CallResult))
}

// CallOutcome is how a call to an agent ended.
type CallOutcome int

// Outcomes of a call to an agent.
const (
	// NoResponse: no answer came. The call may have been executed, or may be yet.
	NoResponse CallOutcome = iota
	// Executed: the agent has executed the call.
	Executed
	// Refused: the agent has not executed it, for it knows a higher fencing token or is of
	// another incarnation.
	Refused
	// UnexpectedResponse: the answer says neither.
	UnexpectedResponse
)

// CallResult is the answer to a call.
type CallResult struct {
	Outcome CallOutcome
	// Heartbeat is the agent's state after the call, nil if Malformed says why it cannot be
	// read. Only answered and refused calls have one of them.
	Heartbeat  *protocol.Heartbeat
	ParseError error
}

// Calls paces the calls to agents.
type Calls struct {
	Limiter  *rate.Limiter
	InFlight int
	state    *cluster.State
	client   Client
}

// NewLimiter paces the calls to agents by what they cost of the controller's share of a
// core: a new leader that called every agent of a large fleet at once would not come to
// renew its leader lease.
func NewLimiter(resources config.ProcessLimits) *rate.Limiter {
	if resources.Cores <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	limit := resources.Cores * tuning.AgentCallCPUShare / tuning.AgentCallCPUCost.Seconds()
	return rate.NewLimiter(rate.Limit(limit), max(tuning.MinConcurrentAgentCalls, int(limit)))
}

// MaySendCommands says whether an agent may be called now to send it commands.
func (c *Calls) MaySendCommands() bool { return c.hasCapacity(c.maxInFlight(), 1) }

// MayProbe says whether an agent may be called now for what can wait. That leaves half of
// the pace and of the sockets to commands: probes of a silent zone take their whole time-out.
func (c *Calls) MayProbe() bool {
	return c.hasCapacity(c.maxInFlight()/2, float64(c.Limiter.Burst())/2)
}

func (c *Calls) maxInFlight() int {
	return max(tuning.MinConcurrentAgentCalls, int(float64(c.state.Config.Cluster.Process.FDLimit)*tuning.AgentCallConnectionShare))
}

func (c *Calls) hasCapacity(inFlight int, tokens float64) bool {
	return c.InFlight < inFlight && (c.Limiter.Limit() == rate.Inf || c.Limiter.TokensAt(c.state.Now()) >= tokens)
}

// SendCommands sends commands to an agent.
func (c *Calls) SendCommands(machine *cluster.Machine, commands protocol.CommandBatch, done func(CallResult)) {
	c.client.SendCommands(machine, commands, c.begin(done))
}

// RequestHeartbeat asks an agent for its heartbeat.
func (c *Calls) RequestHeartbeat(machine *cluster.Machine, done func(CallResult)) {
	c.client.RequestHeartbeat(machine, c.begin(done))
}

// begin counts a call until it has ended.
func (c *Calls) begin(done func(CallResult)) func(CallResult) {
	c.Limiter.AllowN(c.state.Now(), 1)
	c.InFlight++
	return func(result CallResult) {
		c.InFlight--
		done(result)
	}
}
