package commit

import "github.com/gappond/gappond/internal/config"

// KnownLimits are what a node knows of the limits that records and transactions must keep.
// A deployment may announce that the store will lower them; that it has is learned from a
// rejection. What is learned outlives the terms of this node's leadership.
type KnownLimits struct {
	settings *config.Config
	lowered  bool // the store has rejected what its limits used to allow
}

// NewKnownLimits makes the limits of a deployment.
func NewKnownLimits(settings *config.Config) *KnownLimits { return &KnownLimits{settings: settings} }

// Lowered says whether the limits are known to be lowered.
func (kl *KnownLimits) Lowered() bool { return kl.lowered }

// NoteRejection notes that the store has rejected a transaction: if the limits are to be
// lowered, they are now.
func (kl *KnownLimits) NoteRejection() {
	kl.lowered = kl.lowered || kl.settings.Cluster.Present != nil
}

// afterLowering are the limits that hold once they are lowered.
func (kl *KnownLimits) afterLowering() config.StoreLimits { return kl.settings.Cluster.Store }

// beforeLowering are the limits of today.
func (kl *KnownLimits) beforeLowering() config.StoreLimits { return kl.settings.Cluster.StoreNow() }

// rejects says whether the store is known to reject a value of that size.
func (kl *KnownLimits) rejects(bytes int) bool {
	return kl.lowered && float64(bytes) > kl.settings.Cluster.Store.ValueKB*1024
}
