// Package config reads the platform's settings (TOML) and the operators' settings
// (Java-style properties) and checks every value before the controller starts.
package config

import (
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// Peer is another controller.
type Peer struct {
	Name protocol.NodeName `toml:"host_name"`
	Zone protocol.ZoneName `toml:"domain"`
	Addr string            `toml:"addr"`
}

// Team is a team with its guaranteed resources and its limits. A limit of 0 means no limit.
type Team struct {
	Name    protocol.TeamName `toml:"name"`
	CPUs    float64           `toml:"cpus"`
	MaxCPUs float64           `toml:"cpus_max"`
	GPUs    float64           `toml:"gpus"`
	MaxGPUs float64           `toml:"gpus_max"`
}

// AgentTimings holds the timings that are the same for all agents.
type AgentTimings struct {
	ReportS   float64 `toml:"report_s"`    // nominal interval of an agent's heartbeats
	LeaseS    float64 `toml:"lease_s"`     // how long an agent keeps its tasks without a response
	GangWaitS float64 `toml:"gang_wait_s"` // how long a task waits for the others of its gang
	GangPeerS float64 `toml:"gang_peer_s"` // within which a gang's other tasks exit after one is lost
	CancelS   float64 `toml:"cancel_s"`    // within which a cancellation must have taken effect
}

// CloudLimits holds the limits of the cloud's API.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Cluster holds the settings that are the same for all controllers.
type Cluster struct {
	Nodes      int                 `toml:"nodes"`
	Zones      []protocol.ZoneName `toml:"zones"`
	SkewMs     float64             `toml:"skew_ms"`
	Teams      []Team              `toml:"teams"`
	Objectives []Objective         `toml:"objectives"`
	Agents     AgentTimings        `toml:"workers"`
	// Store holds the tightest known limits of the store: of each current and announced limit the
	// smaller one. Present holds the current limits if others are announced, and otherwise nil.
	Store   StoreLimits   `toml:"state"`
	Present *StoreLimits  `toml:"-"`
	Cloud   CloudLimits   `toml:"cloud"`
	Process ProcessLimits `toml:"resources"`
}

// Endpoints holds the addresses of the external systems.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Config holds all settings of a controller.
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
