package commit

import "github.com/gappond/gappond/internal/config"

// StoreLimits are the limits that records and transactions must keep. A deployment may
// announce that the store will lower them; that it has is learned from a rejection. What
// is learned outlives the terms of this node's leadership.
type StoreLimits struct {
	settings *config.Config
	lowered  bool // the store has rejected what its limits used to allow
}

// NewStoreLimits makes the limits of a deployment.
func NewStoreLimits(settings *config.Config) *StoreLimits { return &StoreLimits{settings: settings} }

// Lowered says whether the limits are known to be lowered.
func (sl *StoreLimits) Lowered() bool { return sl.lowered }

// NoteRejection notes that the store has rejected a transaction: if the limits are to be
// lowered, they are now.
func (sl *StoreLimits) NoteRejection() {
	sl.lowered = sl.lowered || sl.settings.Cluster.Present != nil
}

// configured are the limits that hold once they are lowered.
func (sl *StoreLimits) configured() config.StoreLimits { return sl.settings.Cluster.State }

// present are the limits of today.
func (sl *StoreLimits) present() config.StoreLimits { return sl.settings.Cluster.StateNow() }

// rejects says whether the store is known to reject a value of that size.
func (sl *StoreLimits) rejects(bytes int) bool {
	return sl.lowered && float64(bytes) > sl.settings.Cluster.State.ValueKB*1024
}
