package commit

import "github.com/gappond/gappond/internal/config"

// KnownLimits is what a node knows about the store's limits on records and transactions. The
// settings may announce that the store will lower its limits. The node learns that this has
// happened when the store rejects a transaction. It keeps this knowledge beyond its own terms as
// leader.
type KnownLimits struct {
	settings *config.Config
	lowered  bool // the store has rejected what its earlier limits allowed
}

// NewKnownLimits returns the limits according to the settings.
func NewKnownLimits(settings *config.Config) *KnownLimits { return &KnownLimits{settings: settings} }

// Lowered reports whether the limits are known to be lowered.
func (kl *KnownLimits) Lowered() bool { return kl.lowered }

// NoteRejection records that the store has rejected a transaction. If lower limits are
// announced, they are taken to be in force from now on.
func (kl *KnownLimits) NoteRejection() {
	kl.lowered = kl.lowered || kl.settings.Cluster.Present != nil
}

// afterLowering returns the limits that hold once the store has lowered them.
func (kl *KnownLimits) afterLowering() config.StoreLimits { return kl.settings.Cluster.Store }

// beforeLowering returns the limits that hold until the store lowers them.
func (kl *KnownLimits) beforeLowering() config.StoreLimits {
	return kl.settings.Cluster.CurrentStoreLimits()
}

// rejects reports whether the store is known to reject a value of this size.
func (kl *KnownLimits) rejects(bytes int) bool {
	return kl.lowered && float64(bytes) > kl.settings.Cluster.Store.ValueKB*1024
}
