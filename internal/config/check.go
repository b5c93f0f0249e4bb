package config

import (
	"fmt"
	"math"
	"net"
	"reflect"
	"strconv"

	"github.com/gappond/gappond/internal/protocol"
)

// The least limits of the store that the records keep within: the
// description of a job in one value, the parts of a record in one transaction.
const (
	minValueKB = 2.0
	minTxnOps  = 4
)

// Problems that several settings may have.
const (
	problemMissing   = "is missing"
	problemEmpty     = "is empty"
	problemNotUnique = "is empty or used twice"
	problemNegative  = "must be 0 or more"
)

// checker collects what is wrong with the settings.
type checker struct{ problems []error }

// addProblem notes a problem of a setting that is there.
func (c *checker) addProblem(key string, value any, problem string) {
	text := fmt.Sprint(value)
	if reflect.ValueOf(value).Kind() == reflect.String {
		text = fmt.Sprintf("%q", value)
	}
	c.problems = append(c.problems, &SettingError{Key: key, Value: text, Problem: problem})
}

// addMissing notes a setting that is not there.
func (c *checker) addMissing(key, problem string) {
	c.problems = append(c.problems, &SettingError{Key: key, Problem: problem})
}

// err is all that was found, nil if nothing was.
func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: c.problems}
}

// address checks an address with its port.
func (c *checker) address(key, a string) {
	_, port, err := net.SplitHostPort(a)
	if err != nil {
		c.addProblem(key, a, "is not host:port")
		return
	}
	if p, err := strconv.Atoi(port); err != nil || p < 0 || p > 65535 {
		c.addProblem(key, a, "has no valid port")
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

// teams checks that names are unique and amounts sound.
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

// agentTimings checks the agents' timings.
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

// storeLimits checks the limits of the store.
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

// nodes checks this controller's name and addresses and those of its peers.
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

// check checks every setting and names all that are wrong.
func (c *Config) check() error {
	k, found := &c.Cluster, &checker{}
	found.nodes(c)
	if len(k.Zones) == 0 {
		found.addMissing("cluster.zones", problemEmpty)
	}
	found.nonNegative("cluster.skew_ms", k.SkewMs)
	found.teams(k.Teams)
	found.agentTimings(k.Agents)
	found.storeLimits("cluster.state", k.Store)
	if k.Store.Next != nil {
		found.storeLimits("cluster.state.next", k.Store.Smallest())
	}
	found.positive("cluster.cloud.rps", k.Cloud.RPS)
	found.nonNegative("cluster.cloud.list_lag_s", k.Cloud.ListLagS)
	found.nonNegative("cluster.resources.cores", k.Process.Cores)
	found.nonNegative("cluster.resources.memory_mb", k.Process.MemoryMB)
	if k.Process.FDLimit < 0 {
		found.addProblem("cluster.resources.fd_limit", k.Process.FDLimit, problemNegative)
	}
	return found.err()
}
