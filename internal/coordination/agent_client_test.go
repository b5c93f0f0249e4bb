package coordination

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// TestCallResultFromStatus: each status of an agent's answer is one outcome, and only an agent that
// says whether it has executed a call has its heartbeat read.
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
		t.Errorf("an answer that is no heartbeat: %+v", result)
	}
}

// TestHeartbeatOutcomeAndStatus: what a controller makes of a heartbeat, and the status that tells
// its agent.
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
			heartbeat.Sequence++ // so that what was accepted is not stale
			if c.outcome == agents.Stale {
				heartbeat.Sequence = 0
			}
			if reply := l.n.respondToHeartbeat(heartbeat); result.Outcome != c.outcome || reply.status != c.status {
				t.Errorf("%+v is answered %+v, want %d and %d", result, reply, c.outcome, c.status)
			}
		})
	}
}
