package coordination

import "github.com/gappond/gappond/internal/coordination/cluster"

// autoscalerEnvironment implements autoscaler.Environment.
type autoscalerEnvironment struct{ leaderEnvironment }

// Drain implements autoscaler.Environment.
func (ae autoscalerEnvironment) Drain(machine *cluster.Machine) { ae.l.lifecycle.Drain(machine) }
