package transport

import (
	"net/http"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics are the operators' numbers.
type metrics struct {
	registry                                       *prometheus.Registry
	sheds                                          prometheus.Counter
	term, leading, machines, waiting, queue, conns prometheus.Gauge
	commits, conflicts, repairs, preempted, starts prometheus.Counter
	commitSeconds, waitSeconds                     prometheus.Histogram
	recovery                                       *recoveryMetrics
	last                                           coordination.Metrics
}

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
		m.registry.MustRegister(g)
		return g
	}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		m.registry.MustRegister(c)
		return c
	}
	histogram := func(name, help string, buckets []float64) prometheus.Histogram {
		h := prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets})
		m.registry.MustRegister(h)
		return h
	}
	m.sheds = counter("gappond_shed_total", "Requests refused because too much was asked.")
	m.term = gauge("gappond_term", "Term of the node's leadership, 0 while it follows.")
	m.leading = gauge("gappond_leading", "1 while the node leads.")
	m.machines = gauge("gappond_machines", "Machines known to the leader.")
	m.waiting = gauge("gappond_jobs_waiting", "Jobs that wait for machines.")
	m.queue = gauge("gappond_queue_depth", "Events waiting for the owner.")
	m.conns = gauge("gappond_connections", "Open connections of users and workers.")
	m.commits = counter("gappond_commits_total", "Transactions committed by the leader.")
	m.conflicts = counter("gappond_commit_conflicts_total", "Transactions whose guard failed.")
	m.repairs = counter("gappond_repairs_total", "Tasks placed again.")
	m.preempted = counter("gappond_preemptions_total", "Tasks stopped to make room.")
	m.starts = counter("gappond_starts_total", "Task starts ordered.")
	m.commitSeconds = histogram("gappond_commit_seconds", "Time a transaction took.", []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5})
	m.waitSeconds = histogram("gappond_start_wait_seconds", "Time from a job's submission to a task's start order.", []float64{.1, .5, 1, 2.5, 5, 10, 20, 40, 80, 160, 320})
	m.recovery = newRecoveryMetrics(m.registry)
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// take moves the node's counters into the registry. The event loop calls it.
func (m *metrics) take(n *coordination.Node, connections, queued int) {
	now := n.TakeMetrics()
	m.term.Set(float64(now.Term))
	m.leading.Set(0)
	if n.Leading() {
		m.leading.Set(1)
	}
	m.machines.Set(float64(now.Machines))
	m.waiting.Set(float64(now.Waiting))
	m.conns.Set(float64(connections))
	m.queue.Set(float64(queued))
	add := func(c prometheus.Counter, now, last uint64) {
		if now > last {
			c.Add(float64(now - last))
		}
	}
	add(m.sheds, now.ShedRequests, m.last.ShedRequests)
	add(m.commits, now.Commits, m.last.Commits)
	add(m.conflicts, now.CommitConflicts, m.last.CommitConflicts)
	add(m.repairs, now.Repairs, m.last.Repairs)
	add(m.preempted, now.Preemptions, m.last.Preemptions)
	add(m.starts, now.Starts, m.last.Starts)
	for _, s := range now.CommitSeconds {
		m.commitSeconds.Observe(s)
	}
	for _, s := range now.StartWaitSeconds {
		m.waitSeconds.Observe(s)
	}
	m.recovery.take(now.Recovery, now.Now)
	m.last = now
}
