package transport

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/prometheus/client_golang/prometheus"
)

// recoveryMetrics are the operators' numbers of the recovery after a failover. They stay
// as they were at its end until the node leads anew.
type recoveryMetrics struct {
	phase, durationSeconds, silentAgents prometheus.Gauge
	differences, commands                *prometheus.GaugeVec
	last                                 reconcile.Summary
}

func newRecoveryMetrics(registry *prometheus.Registry) *recoveryMetrics {
	m := &recoveryMetrics{
		phase:           prometheus.NewGauge(prometheus.GaugeOpts{Name: "gappond_recovery_phase", Help: "1 while a recovery lasts."}),
		durationSeconds: prometheus.NewGauge(prometheus.GaugeOpts{Name: "gappond_recovery_duration_seconds", Help: "Duration of this node's last recovery."}),
		silentAgents:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "gappond_recovery_silent_workers", Help: "Recorded workers neither heard nor proven gone."}),
		differences:     prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "gappond_recovery_differences", Help: "Attempts by class of difference."}, []string{"class"}),
		commands:        prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "gappond_recovery_orders", Help: "Orders given in the recovery."}, []string{"verb"}),
	}
	registry.MustRegister(m.phase, m.durationSeconds, m.silentAgents, m.differences, m.commands)
	return m
}

// update shows a recovery's summary; that of a node that does not lead is empty.
func (m *recoveryMetrics) update(s reconcile.Summary, now time.Time) {
	if s.Began.IsZero() {
		m.phase.Set(0)
		return
	}
	end := s.Ended
	if s.Active() {
		end = now
	}
	m.durationSeconds.Set(end.Sub(s.Began).Seconds())
	if s == m.last {
		return
	}
	m.last = s
	m.phase.Set(0)
	if s.Active() {
		m.phase.Set(1)
	}
	m.silentAgents.Set(float64(s.SilentAgents))
	for class, n := range s.Classes {
		m.differences.WithLabelValues(reconcile.Class(class).String()).Set(float64(n))
	}
	m.commands.WithLabelValues("start").Set(float64(s.Commands.Starts))
	m.commands.WithLabelValues("stop").Set(float64(s.Commands.Stops))
	m.commands.WithLabelValues("forget").Set(float64(s.Commands.Forgets))
}
