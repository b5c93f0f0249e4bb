package transport

import (
	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/prometheus/client_golang/prometheus"
)

// agentMetrics holds the metrics of the communication with agents.
type agentMetrics struct {
	callCommands, responseCommands                prometheus.Counter
	refusedCalls, newerTokens, forgottenReported  prometheus.Counter
	incarnationsInHeartbeats, incarnationsInCalls prometheus.Counter
	last                                          agents.Counters
}

func newAgentMetrics(registry *prometheus.Registry) *agentMetrics {
	commands := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gappond_commands_total", Help: "Commands sent to workers, by path."}, []string{"path"})
	registry.MustRegister(commands)
	incarnations := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gappond_new_sessions_total", Help: "New sessions of known workers, by how the leader learned of them."}, []string{"source"})
	registry.MustRegister(incarnations)
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		registry.MustRegister(c)
		return c
	}
	return &agentMetrics{
		callCommands:             commands.WithLabelValues("call"),
		responseCommands:         commands.WithLabelValues("response"),
		refusedCalls:             counter("gappond_refused_calls_total", "Calls that workers refused because of the token or the session."),
		newerTokens:              counter("gappond_newer_tokens_total", "Newer tokens shown to workers."),
		incarnationsInHeartbeats: incarnations.WithLabelValues("heartbeat"),
		incarnationsInCalls:      incarnations.WithLabelValues("call"),
		forgottenReported:        counter("gappond_forgotten_attempts_reported_total", "Attempts that workers reported after they had forgotten them."),
	}
}

// update adds what was counted since the last call.
func (m *agentMetrics) update(current agents.Counters) {
	m.callCommands.Add(float64(current.CallCommands - m.last.CallCommands))
	m.responseCommands.Add(float64(current.ResponseCommands - m.last.ResponseCommands))
	m.refusedCalls.Add(float64(current.RefusedCalls - m.last.RefusedCalls))
	m.newerTokens.Add(float64(current.NewerTokens - m.last.NewerTokens))
	m.forgottenReported.Add(float64(current.ForgottenReported - m.last.ForgottenReported))
	m.incarnationsInHeartbeats.Add(float64(current.IncarnationsInHeartbeats - m.last.IncarnationsInHeartbeats))
	m.incarnationsInCalls.Add(float64(current.IncarnationsInCalls - m.last.IncarnationsInCalls))
	m.last = current
}
