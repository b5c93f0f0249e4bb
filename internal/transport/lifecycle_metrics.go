package transport

import (
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/prometheus/client_golang/prometheus"
)

// lifecycleMetrics holds the metrics of the ends of attempts.
type lifecycleMetrics struct {
	goneAttempts [lifecycle.EvidenceKinds]prometheus.Counter
	last         lifecycle.Counters
}

func newLifecycleMetrics(registry *prometheus.Registry) *lifecycleMetrics {
	gone := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gappond_gone_attempts_total", Help: "Attempts taken to be gone, by the evidence."}, []string{"evidence"})
	registry.MustRegister(gone)
	m := &lifecycleMetrics{}
	for evidence := range m.goneAttempts {
		m.goneAttempts[evidence] = gone.WithLabelValues(lifecycle.Evidence(evidence).String())
	}
	return m
}

// update adds what was counted since the last call.
func (m *lifecycleMetrics) update(current lifecycle.Counters) {
	for evidence, counter := range m.goneAttempts {
		counter.Add(float64(current.GoneAttempts[evidence] - m.last.GoneAttempts[evidence]))
	}
	m.last = current
}
