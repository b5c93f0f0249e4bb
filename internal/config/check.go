package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"

	"github.com/gappond/gappond/internal/protocol"
)

// The least limits of the state service that the records keep within: the
// description of a job in one value, the parts of a record in one transaction.
const (
	leastValueKB = 2.0
	leastTxnOps  = 4
)

// checker collects what is wrong with the settings, each with the name of the setting.
type checker struct{ errs []error }

func (c *checker) add(format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf(format, args...))
}

// address checks an address with its port.
func (c *checker) address(name, a string) {
	_, port, err := net.SplitHostPort(a)
	if err != nil {
		c.add("%s: %q is not host:port", name, a)
		return
	}
	if p, err := strconv.Atoi(port); err != nil || p < 0 || p > 65535 {
		c.add("%s: %q has no valid port", name, a)
	}
}

func (c *checker) positive(name string, v float64) {
	if !(v > 0) || math.IsInf(v, 0) {
		c.add("%s: %v must be above 0", name, v)
	}
}

func (c *checker) amount(name string, v float64) {
	if !(v >= 0) || math.IsInf(v, 0) {
		c.add("%s: %v must be 0 or more", name, v)
	}
}

// teams checks that names are unique and amounts sound.
func (c *checker) teams(teams []Team) {
	seen := map[protocol.TeamName]bool{}
	for i, t := range teams {
		if t.Name == "" || seen[t.Name] {
			c.add("cluster.teams[%d].name: %q is empty or used twice", i, t.Name)
		}
		seen[t.Name] = true
		c.amount("cluster.teams["+string(t.Name)+"].cpus", t.CPUs)
		c.amount("cluster.teams["+string(t.Name)+"].cpus_max", t.MaxCPUs)
		c.amount("cluster.teams["+string(t.Name)+"].gpus", t.GPUs)
		c.amount("cluster.teams["+string(t.Name)+"].gpus_max", t.MaxGPUs)
	}
}

// agentTimings checks the workers' timings.
func (c *checker) agentTimings(w AgentTimings) {
	c.positive("cluster.workers.report_s", w.ReportS)
	c.positive("cluster.workers.lease_s", w.LeaseS)
	c.positive("cluster.workers.gang_wait_s", w.GangWaitS)
	c.positive("cluster.workers.gang_peer_s", w.GangPeerS)
	c.positive("cluster.workers.cancel_s", w.CancelS)
	if w.CancelS <= w.LeaseS {
		c.add("cluster.workers.cancel_s: %v must be above lease_s (%v), or a cut-off worker outlives a cancellation", w.CancelS, w.LeaseS)
	}
}

// storeLimits checks the limits of the state service.
func (c *checker) storeLimits(name string, s StoreLimits) {
	c.positive(name+".rps", s.RPS)
	c.positive(name+".write_rps", s.WriteRPS)
	if !(s.ValueKB >= leastValueKB) {
		c.add("%s.value_kb: %v is too small for a job's record (%v at least)", name, s.ValueKB, leastValueKB)
	}
	if s.TxnOps < leastTxnOps {
		c.add("%s.txn_ops: %d is too small (%d at least)", name, s.TxnOps, leastTxnOps)
	}
}

// nodes checks this controller's name and addresses and those of its peers.
func (c *checker) nodes(cfg *Config) {
	if cfg.Name == "" {
		c.add("host_name is missing")
	}
	c.address("listen", cfg.Listen)
	c.address("peer_bind", cfg.PeerListen)
	c.address("endpoints.cloud", cfg.Endpoints.Cloud)
	c.address("endpoints.state", cfg.Endpoints.State)
	seen := map[protocol.NodeName]bool{cfg.Name: true}
	for i, s := range cfg.Peers {
		if s.Name == "" || seen[s.Name] {
			c.add("siblings[%d].host_name: %q is empty or used twice", i, s.Name)
		}
		seen[s.Name] = true
		c.address(fmt.Sprintf("siblings[%d].addr", i), s.Addr)
	}
}

// check checks every setting and names all that are wrong.
func (c *Config) check() error {
	k, found := &c.Cluster, &checker{}
	found.nodes(c)
	if len(k.Zones) == 0 {
		found.add("cluster.zones is empty")
	}
	found.amount("cluster.skew_ms", k.SkewMs)
	found.teams(k.Teams)
	found.agentTimings(k.Workers)
	found.storeLimits("cluster.state", k.State)
	if k.State.Next != nil {
		found.storeLimits("cluster.state.next", k.State.Smallest())
	}
	found.positive("cluster.cloud.rps", k.Cloud.RPS)
	found.amount("cluster.cloud.list_lag_s", k.Cloud.ListLagS)
	found.amount("cluster.resources.cores", k.Resources.Cores)
	found.amount("cluster.resources.memory_mb", k.Resources.MemoryMB)
	if k.Resources.FDLimit < 0 {
		found.add("cluster.resources.fd_limit: %d must be 0 or more", k.Resources.FDLimit)
	}
	return errors.Join(found.errs...)
}
