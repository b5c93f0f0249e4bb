package cluster

import "time"

// CordonState says whether and why a machine accepts no new tasks. A machine is cordoned before it
// is deleted. Only the cordon itself is stored, in the machine record, and not its reason.
type CordonState struct {
	Cordoned      bool
	CordonedSince time.Time // according to this leader
	// CordonInherited: a previous leader cordoned the machine, for a reason that is not known.
	CordonInherited bool
	Quarantined     bool // cordoned because too many jobs failed on the machine
}

// Cordon makes the machine accept no new tasks. It returns false if it was cordoned before.
func (c *CordonState) Cordon(now time.Time) bool {
	if c.Cordoned {
		return false
	}
	c.Cordoned, c.CordonedSince = true, now
	return true
}

// InheritCordon cordons the machine as a previous leader did.
func (c *CordonState) InheritCordon(now time.Time) {
	if c.Cordon(now) {
		c.CordonInherited = true
	}
}

// Uncordon makes the machine accept tasks again.
func (c *CordonState) Uncordon() { *c = CordonState{} }

// Quarantine records that too many jobs failed on the machine. It returns false if the
// machine was quarantined before. The caller cordons the machine.
func (c *CordonState) Quarantine(now time.Time) bool {
	if c.Quarantined {
		return false
	}
	c.Quarantined, c.CordonedSince = true, now
	return true
}
