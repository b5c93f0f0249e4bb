package coordination

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// TestCallResultFromStatus: each status of an agent's response maps to one outcome. The heartbeat
// in the body is parsed only if the status says whether the agent executed the call.
func TestCallResultFromStatus(t *testing.T) {
	body := storage.Encode(protocol.Heartbeat{Machine: "i-1", Incarnation: 1, Sequence: 4})
	for status, want := range map[int]agents.CallOutcome{0: agents.NoResponse, 200: agents.Executed, 409: agents.Refused,
		400: agents.UnexpectedResponse, 404: agents.UnexpectedResponse, 421: agents.UnexpectedResponse, 500: agents.UnexpectedResponse, 503: agents.UnexpectedResponse} {
		result := callResult(status, body)
		hasHeartbeat := result.Heartbeat != nil && result.Heartbeat.Sequence == 4
		if result.Outcome != want || result.ParseError != nil || hasHeartbeat != (want == agents.Executed || want == agents.Refused) {
			t.Errorf("status %d: %+v, want outcome %d", status, result, want)
		}
	}
	if result := callResult(200, []byte("{}")); result.Outcome != agents.Executed || result.ParseError == nil || result.Heartbeat != nil {
		t.Errorf("a response that is no heartbeat: %+v", result)
	}
}

// TestHeartbeatOutcomeAndStatus: a controller processes a heartbeat with the outcome that fits its
// own state and the heartbeat, and responds to the agent with the status of that outcome.
func TestHeartbeatOutcomeAndStatus(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(l *leader, heartbeat *protocol.Heartbeat)
		outcome agents.HeartbeatOutcome
		status  int
	}{
		{"accepted", func(*leader, *protocol.Heartbeat) {}, agents.Accepted, 200},
		{"stale", func(_ *leader, heartbeat *protocol.Heartbeat) { heartbeat.Sequence = 0 }, agents.Stale, 503},
		{"higher token", func(l *leader, heartbeat *protocol.Heartbeat) { heartbeat.FencingToken = l.n.election.Term() + 1 }, agents.HigherToken, 503},
		{"leadership unconfirmed", func(l *leader, _ *protocol.Heartbeat) { l.n.election.ProcessPaused(time.Second) }, agents.LeadershipUnconfirmed, 503},
		{"not leading", func(l *leader, _ *protocol.Heartbeat) { l.n.election.StepDown("a test") }, agents.NotLeading, 421},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := testLeader(time.Unix(1_800_000_000, 0))
			machine := l.testMachine("i-1", "big", "a")
			heartbeat := &protocol.Heartbeat{Machine: machine.ID, Address: "h:1", Type: machine.TypeName, Zone: machine.Zone,
				Incarnation: 1, Sequence: 1, FencingToken: l.n.election.Term()}
			c.prepare(l, heartbeat)
			result := l.n.processHeartbeat(heartbeat)
			heartbeat.Sequence++ // so that a heartbeat that was just accepted is not stale
			if c.outcome == agents.Stale {
				heartbeat.Sequence = 0
			}
			if reply := l.n.respondToHeartbeat(heartbeat); result.Outcome != c.outcome || reply.status != c.status {
				t.Errorf("result %+v, reply %+v, want outcome %d and status %d", result, reply, c.outcome, c.status)
			}
		})
	}
}
