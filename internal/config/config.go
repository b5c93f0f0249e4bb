// Package config reads the platform's settings (TOML) and the operators' own
// (Java-style properties) and checks every value before the service starts.
package config

import (
	"errors"
	"os"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
	"github.com/pelletier/go-toml/v2"
)

// Peer is another controller.
type Peer struct {
	Name protocol.NodeName `toml:"host_name"`
	Zone protocol.ZoneName `toml:"domain"`
	Addr string            `toml:"addr"`
}

// Team is a team's guarantee and limit. A limit of 0 means none.
type Team struct {
	Name    protocol.TeamName `toml:"name"`
	CPUs    float64           `toml:"cpus"`
	MaxCPUs float64           `toml:"cpus_max"`
	GPUs    float64           `toml:"gpus"`
	MaxGPUs float64           `toml:"gpus_max"`
}

// Objective is an aim for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"` // of a job's own deadline
}

// Kinds of objectives. A job's turn depends on all but the guarantee, which the
// teams' settings express.
const (
	ObjectiveWait      = "wait"
	ObjectiveFinished  = "finished"
	ObjectiveDeadline  = "deadline"
	ObjectiveGuarantee = "guarantee"
	// ObjectiveUp asks for a share of the time of a service's replicas, from a while
	// after its submission on.
	ObjectiveUp = "up"
)

var objectiveKinds = []string{ObjectiveWait, ObjectiveFinished, ObjectiveDeadline, ObjectiveGuarantee, ObjectiveUp}

// UnknownObjectives lists the kinds of objectives that this version does not know and
// ignores, each once.
func (c *Cluster) UnknownObjectives() []string {
	var kinds []string
	for _, o := range c.Objectives {
		if !slices.Contains(objectiveKinds, o.Kind) && !slices.Contains(kinds, o.Kind) {
			kinds = append(kinds, o.Kind)
		}
	}
	return kinds
}

// AgentTimings are the timings that all workers share.
type AgentTimings struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
}

// StoreLimits holds the state service's limits.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next are the limits that the service will have some time after all
	// controllers run this version, without notice; what is missing stays.
	Next *NextStoreLimits `toml:"next"`
}

// NextStoreLimits holds limits to come.
type NextStoreLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Smallest are the limits that hold now and later: the smaller of each.
func (s StoreLimits) Smallest() StoreLimits {
	t := s
	t.Next = nil
	if n := s.Next; n != nil {
		lower(&t.RPS, n.RPS)
		lower(&t.WriteRPS, n.WriteRPS)
		lower(&t.ValueKB, n.ValueKB)
		lower(&t.TxnOps, n.TxnOps)
	}
	return t
}

func lower[T int | float64](limit *T, next *T) {
	if next != nil {
		*limit = min(*limit, *next)
	}
}

// CloudLimits holds the cloud's limits.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// ProcessLimits are the limits of this process.
type ProcessLimits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	FDLimit  int     `toml:"fd_limit"`
}

// Pause is the pause between things that cost so much processor time each, for
// them to take no more than a part of the process's share of a core.
func (r ProcessLimits) Pause(cost time.Duration, part float64) time.Duration {
	if r.Cores <= 0 {
		return 0
	}
	return time.Duration(float64(cost) / (r.Cores * part))
}

// RequestPause is the pause before a request that can wait, longer the smaller the share of
// a core is.
func (r ProcessLimits) RequestPause(least time.Duration, part float64) time.Duration {
	return max(least, min(r.Pause(tuning.StoreRequestCPUCost, part), tuning.MaxRequestDelay))
}

// UserRequests bounds users' requests under way at one node: a part of the connections
// that are kept for users, so that reports always find room.
func (r ProcessLimits) UserRequests() int {
	return max(tuning.MinUserQueueLength, int(float64(r.FDLimit)*tuning.UserKeepAliveShare*tuning.UserQueueConnectionShare))
}

// Cluster is what all controllers share.
type Cluster struct {
	Nodes      int                 `toml:"nodes"`
	Zones      []protocol.ZoneName `toml:"zones"`
	SkewMs     float64             `toml:"skew_ms"`
	Teams      []Team              `toml:"teams"`
	Objectives []Objective         `toml:"objectives"`
	Workers    AgentTimings        `toml:"workers"`
	// State holds the tightest limits of the state service that are known; Present
	// those that it has now, where they are others.
	State     StoreLimits   `toml:"state"`
	Present   *StoreLimits  `toml:"-"`
	Cloud     CloudLimits   `toml:"cloud"`
	Resources ProcessLimits `toml:"resources"`
}

// Endpoints are the outside systems' addresses.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Config is the whole of the settings.
type Config struct {
	Name       protocol.NodeName `toml:"host_name"`
	Zone       protocol.ZoneName `toml:"domain"`
	Listen     string            `toml:"listen"`
	PeerListen string            `toml:"peer_bind"`
	Peers      []Peer            `toml:"siblings"`
	Endpoints  Endpoints         `toml:"endpoints"`
	Cluster    Cluster           `toml:"cluster"`

	Operator tuning.Operator `toml:"-"`
}

// Load reads and checks the settings file and, unless its path is empty, the
// operators' properties.
func Load(path, propertiesPath string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(data)
	if err != nil {
		return nil, &FileError{File: path, Err: err}
	}
	if propertiesPath != "" {
		data, err := os.ReadFile(propertiesPath)
		if err != nil {
			return nil, err
		}
		if c.Operator, err = ParseProperties(data); err != nil {
			return nil, &FileError{File: propertiesPath, Err: err}
		}
	}
	return c, nil
}

// Parse decodes and checks the platform's settings. Unknown fields are ignored.
func Parse(data []byte) (*Config, error) {
	c := &Config{Operator: tuning.Defaults()}
	if err := toml.Unmarshal(data, c); err != nil {
		var cause *toml.DecodeError
		if errors.As(err, &cause) {
			return nil, newSyntaxError(cause)
		}
		return nil, err
	}
	if err := c.check(); err != nil {
		return c, err
	}
	if present := c.Cluster.State; present.Next != nil {
		c.Cluster.Present, c.Cluster.State = &present, present.Smallest()
	}
	return c, nil
}

// StateNow holds the limits that the state service has before they are lowered.
func (c *Cluster) StateNow() StoreLimits {
	if c.Present != nil {
		return *c.Present
	}
	return c.State
}
