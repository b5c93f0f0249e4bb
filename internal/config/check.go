package config

import (
	"fmt"
	"math"
	"net"
	"reflect"
	"strconv"

	"github.com/gappond/gappond/internal/protocol"
)

// The smallest store limits that gappond supports: a job's description must fit into one
// value, and the parts of a record into one transaction.
const (
	minValueKB = 2.0
	minTxnOps  = 4
)

// Problems that several settings can have.
const (
	problemMissing   = "is missing"
	problemEmpty     = "is empty"
	problemNotUnique = "is empty or used twice"
	problemNegative  = "must be 0 or more"
)

// checker collects the problems found in the settings.
type checker struct{ problems []error }

// addProblem adds a problem of a setting that is present.
func (c *checker) addProblem(key string, value any, problem string) {
	text := fmt.Sprint(value)
	if reflect.ValueOf(value).Kind() == reflect.String {
		text = fmt.Sprintf("%q", value)
	}
	c.problems = append(c.problems, &SettingError{Key: key, Value: text, Problem: problem})
}

// addMissing adds a problem of a setting that is missing or empty.
func (c *checker) addMissing(key, problem string) {
	c.problems = append(c.problems, &SettingError{Key: key, Problem: problem})
}

// err returns an error with all problems found, or nil if there are none.
func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: c.problems}
}

// address checks that an address has the form host:port.
func (c *checker) address(key, hostPort string) {
	_, port, err := net.SplitHostPort(hostPort)
	if err != nil {
		c.addProblem(key, hostPort, "is not host:port")
		return
	}
	if p, err := strconv.Atoi(port); err != nil || p < 0 || p > 65535 {
		c.addProblem(key, hostPort, "has no valid port")
	}
}

func (c *checker) positive(key string, v float64) {
	if !(v > 0) || math.IsInf(v, 0) {
		c.addProblem(key, v, "must be above 0")
	}
}

func (c *checker) nonNegative(key string, v float64) {
	if !(v >= 0) || math.IsInf(v, 0) {
		c.addProblem(key, v, problemNegative)
	}
}

// teams checks that team names are unique and that no amount is negative.
func (c *checker) teams(teams []Team) {
	seen := map[protocol.TeamName]bool{}
	for i, t := range teams {
		if t.Name == "" || seen[t.Name] {
			c.addProblem(fmt.Sprintf("cluster.teams[%d].name", i), t.Name, problemNotUnique)
		}
		seen[t.Name] = true
		c.nonNegative("cluster.teams["+string(t.Name)+"].cpus", t.CPUs)
		c.nonNegative("cluster.teams["+string(t.Name)+"].cpus_max", t.MaxCPUs)
		c.nonNegative("cluster.teams["+string(t.Name)+"].gpus", t.GPUs)
		c.nonNegative("cluster.teams["+string(t.Name)+"].gpus_max", t.MaxGPUs)
	}
}

// agentTimings checks the timings of the agents.
func (c *checker) agentTimings(w AgentTimings) {
	c.positive("cluster.workers.report_s", w.ReportS)
	c.positive("cluster.workers.lease_s", w.LeaseS)
	c.positive("cluster.workers.gang_wait_s", w.GangWaitS)
	c.positive("cluster.workers.gang_peer_s", w.GangPeerS)
	c.positive("cluster.workers.cancel_s", w.CancelS)
	if w.CancelS <= w.LeaseS {
		c.addProblem("cluster.workers.cancel_s", w.CancelS,
			fmt.Sprintf("must be above lease_s (%v), or a cut-off worker outlives a cancellation", w.LeaseS))
	}
}

// storeLimits checks limits of the store, given under the key.
func (c *checker) storeLimits(key string, s StoreLimits) {
	c.positive(key+".rps", s.RPS)
	c.positive(key+".write_rps", s.WriteRPS)
	if !(s.ValueKB >= minValueKB) {
		c.addProblem(key+".value_kb", s.ValueKB, fmt.Sprintf("is too small for a job's record (%v at least)", minValueKB))
	}
	if s.TxnOps < minTxnOps {
		c.addProblem(key+".txn_ops", s.TxnOps, fmt.Sprintf("is too small (%d at least)", minTxnOps))
	}
}

// nodes checks the names and addresses of this controller and its peers.
func (c *checker) nodes(cfg *Config) {
	if cfg.Name == "" {
		c.addMissing("host_name", problemMissing)
	}
	c.address("listen", cfg.Listen)
	c.address("peer_bind", cfg.PeerListen)
	c.address("endpoints.cloud", cfg.Endpoints.Cloud)
	c.address("endpoints.state", cfg.Endpoints.State)
	seen := map[protocol.NodeName]bool{cfg.Name: true}
	for i, peer := range cfg.Peers {
		if peer.Name == "" || seen[peer.Name] {
			c.addProblem(fmt.Sprintf("siblings[%d].host_name", i), peer.Name, problemNotUnique)
		}
		seen[peer.Name] = true
		c.address(fmt.Sprintf("siblings[%d].addr", i), peer.Addr)
	}
}

// check checks all settings and returns an error that names every invalid one.
func (c *Config) check() error {
	cluster, checks := &c.Cluster, &checker{}
	checks.nodes(c)
	if len(cluster.Zones) == 0 {
		checks.addMissing("cluster.zones", problemEmpty)
	}
	checks.nonNegative("cluster.skew_ms", cluster.SkewMs)
	checks.teams(cluster.Teams)
	checks.agentTimings(cluster.Agents)
	checks.storeLimits("cluster.state", cluster.Store)
	if cluster.Store.Next != nil {
		checks.storeLimits("cluster.state.next", cluster.Store.Smallest())
	}
	checks.positive("cluster.cloud.rps", cluster.Cloud.RPS)
	checks.nonNegative("cluster.cloud.list_lag_s", cluster.Cloud.ListLagS)
	checks.nonNegative("cluster.resources.cores", cluster.Process.Cores)
	checks.nonNegative("cluster.resources.memory_mb", cluster.Process.MemoryMB)
	if cluster.Process.FDLimit < 0 {
		checks.addProblem("cluster.resources.fd_limit", cluster.Process.FDLimit, problemNegative)
	}
	return checks.err()
}
