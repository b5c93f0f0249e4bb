package coordination

import (
	"net/http"

	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// agentClient makes the leader's calls to agents. Responses that arrive after the leader has
// stepped down are dropped.
type agentClient struct{ l *leader }

// SendCommands implements agents.Client.
func (c agentClient) SendCommands(machine *cluster.Machine, commands protocol.CommandBatch, done func(agents.CallResult)) {
	body, handleResponse := storage.Encode(commands), c.whileLeading(done)
	if c.l.usesProxies() && c.l.n.forwarder.Delegate(machine.ID, machine.Address, body, handleResponse) {
		return
	}
	c.l.n.request(ToAgent, machine.Address, http.MethodPost, protocol.PathCommands, body, tuning.ProbeTimeout, handleResponse)
}

// RequestHeartbeat implements agents.Client.
func (c agentClient) RequestHeartbeat(machine *cluster.Machine, done func(agents.CallResult)) {
	c.l.n.request(ToAgent, machine.Address, http.MethodGet, protocol.PathInspect, nil, tuning.ProbeTimeout, c.whileLeading(done))
}

// whileLeading returns a response handler that calls done only while the leader still leads.
func (c agentClient) whileLeading(done func(agents.CallResult)) func(status int, body []byte) {
	return func(status int, body []byte) {
		if c.l.n.ownLeader == c.l {
			done(callResult(status, body))
		}
	}
}

// callResult returns the result of a call whose response had this status and body. Status 0 means
// that no response arrived.
func callResult(status int, body []byte) agents.CallResult {
	var result agents.CallResult
	switch status {
	case 0:
		return agents.CallResult{Outcome: agents.NoResponse}
	case http.StatusOK:
		result.Outcome = agents.Executed
	case http.StatusConflict:
		result.Outcome = agents.Refused
	default:
		return agents.CallResult{Outcome: agents.UnexpectedResponse}
	}
	result.Heartbeat, result.ParseError = protocol.ParseHeartbeat(body)
	return result
}

// callAgentFor sends commands to an agent for the leader, which delegated the call, and sends the
// agent's response back to the leader.
func (n *Node) callAgentFor(c protocol.PeerAgentCall) {
	n.request(ToAgent, c.Address, http.MethodPost, protocol.PathCommands, c.Body, tuning.ProbeTimeout, func(status int, body []byte) {
		n.peers.Send(c.Origin, protocol.PeerResponse{ID: c.ID, Target: c.Origin, Status: uint64(status), Body: body})
	})
}
