package transport

import (
	"net/http"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics holds the metrics that the controller exposes to operators.
type metrics struct {
	registry                                                            *prometheus.Registry
	shedRequests, overtakenAnswers, unconfirmedAnswers                  prometheus.Counter
	term, leading, machines, waitingJobs, queuedEvents, openConnections prometheus.Gauge
	commits, commitConflicts, repairs, preemptions, starts              prometheus.Counter
	commitSeconds, startWaitSeconds                                     prometheus.Histogram
	agents                                                              *agentMetrics
	lifecycle                                                           *lifecycleMetrics
	recovery                                                            *recoveryMetrics
	last                                                                coordination.Metrics
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
	m.shedRequests = counter("gappond_shed_total", "Requests refused because too much was asked.")
	m.overtakenAnswers = counter("gappond_overtaken_answers_total", "Answers to users that were not sent because a newer one had been.")
	m.unconfirmedAnswers = counter("gappond_unconfirmed_answers_total", "States told to users without the confirmation of every peer, after the time that peers need none for.")
	m.term = gauge("gappond_term", "Term of the node's leadership, 0 while it follows.")
	m.leading = gauge("gappond_leading", "1 while the node leads.")
	m.machines = gauge("gappond_machines", "Machines known to the leader.")
	m.waitingJobs = gauge("gappond_jobs_waiting", "Jobs that wait for machines.")
	m.queuedEvents = gauge("gappond_queue_depth", "Events waiting for the owner.")
	m.openConnections = gauge("gappond_connections", "Open connections of users and workers.")
	m.commits = counter("gappond_commits_total", "Transactions committed by the leader.")
	m.commitConflicts = counter("gappond_commit_conflicts_total", "Transactions whose guard failed.")
	m.repairs = counter("gappond_repairs_total", "Tasks placed again.")
	m.preemptions = counter("gappond_preemptions_total", "Tasks stopped to make room.")
	m.starts = counter("gappond_starts_total", "Task starts ordered.")
	m.commitSeconds = histogram("gappond_commit_seconds", "Time a transaction took.", []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5})
	m.startWaitSeconds = histogram("gappond_start_wait_seconds", "Time from a job's submission to a task's start order.", []float64{.1, .5, 1, 2.5, 5, 10, 20, 40, 80, 160, 320})
	m.agents = newAgentMetrics(m.registry)
	m.lifecycle = newLifecycleMetrics(m.registry)
	m.recovery = newRecoveryMetrics(m.registry)
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// update copies the node's metrics to the registry. The event loop calls it after each step.
func (m *metrics) update(n *coordination.Node, connections, queueDepth int) {
	current := n.TakeMetrics()
	m.term.Set(float64(current.Term))
	m.leading.Set(0)
	if n.Leading() {
		m.leading.Set(1)
	}
	m.machines.Set(float64(current.Machines))
	m.waitingJobs.Set(float64(current.Waiting))
	m.openConnections.Set(float64(connections))
	m.queuedEvents.Set(float64(queueDepth))
	add := func(c prometheus.Counter, current, last uint64) {
		if current > last {
			c.Add(float64(current - last))
		}
	}
	add(m.shedRequests, current.ShedRequests, m.last.ShedRequests)
	add(m.overtakenAnswers, current.OvertakenAnswers, m.last.OvertakenAnswers)
	add(m.unconfirmedAnswers, current.UnconfirmedAnswers, m.last.UnconfirmedAnswers)
	add(m.commits, current.Commits, m.last.Commits)
	add(m.commitConflicts, current.CommitConflicts, m.last.CommitConflicts)
	add(m.repairs, current.Repairs, m.last.Repairs)
	add(m.preemptions, current.Preemptions, m.last.Preemptions)
	add(m.starts, current.Starts, m.last.Starts)
	for _, s := range current.CommitSeconds {
		m.commitSeconds.Observe(s)
	}
	for _, s := range current.StartWaitSeconds {
		m.startWaitSeconds.Observe(s)
	}
	m.agents.update(current.Agents)
	m.lifecycle.update(current.Lifecycle)
	m.recovery.update(current.Recovery, current.Now)
	m.last = current
}
