package transport

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/prometheus/client_golang/prometheus"
)

// recoveryMetrics are the operators' numbers of the recovery after a failover. They stay
// as they were at its end until the node leads anew.
type recoveryMetrics struct {
	phase, seconds, silent prometheus.Gauge
	differences, orders    *prometheus.GaugeVec
	last                   reconcile.Summary
}

func newRecoveryMetrics(registry *prometheus.Registry) *recoveryMetrics {
	m := &recoveryMetrics{
		phase:       prometheus.NewGauge(prometheus.GaugeOpts{Name: "gappond_recovery_phase", Help: "1 while a recovery lasts."}),
		seconds:     prometheus.NewGauge(prometheus.GaugeOpts{Name: "gappond_recovery_duration_seconds", Help: "Duration of this node's last recovery."}),
		silent:      prometheus.NewGauge(prometheus.GaugeOpts{Name: "gappond_recovery_silent_workers", Help: "Recorded workers neither heard nor proven gone."}),
		differences: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "gappond_recovery_differences", Help: "Attempts by class of difference."}, []string{"class"}),
		orders:      prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "gappond_recovery_orders", Help: "Orders given in the recovery."}, []string{"verb"}),
	}
	registry.MustRegister(m.phase, m.seconds, m.silent, m.differences, m.orders)
	return m
}

// take shows a recovery's summary; that of a node that does not lead is empty.
func (m *recoveryMetrics) take(s reconcile.Summary, now time.Time) {
	if s.Began.IsZero() {
		m.phase.Set(0)
		return
	}
	end := s.Ended
	if s.Active() {
		end = now
	}
	m.seconds.Set(end.Sub(s.Began).Seconds())
	if s == m.last {
		return
	}
	m.last = s
	m.phase.Set(0)
	if s.Active() {
		m.phase.Set(1)
	}
	m.silent.Set(float64(s.SilentAgents))
	for class, n := range s.Classes {
		m.differences.WithLabelValues(reconcile.Class(class).String()).Set(float64(n))
	}
	m.orders.WithLabelValues("start").Set(float64(s.Commands.Starts))
	m.orders.WithLabelValues("stop").Set(float64(s.Commands.Stops))
	m.orders.WithLabelValues("forget").Set(float64(s.Commands.Forgets))
}
