package answers

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// revisionHistory records which revision of the store this controller knew at which time. A record with
// a revision that was known some time ago has been in the store for longer than that.
type revisionHistory struct {
	samples []revisionSample // in the order of time
}

type revisionSample struct {
	revision protocol.Revision
	at       time.Time
}

// observe records the revision that is known now, 0 if none is.
func (h *revisionHistory) observe(revision protocol.Revision, now time.Time) {
	last := revisionSample{}
	if len(h.samples) > 0 {
		last = h.samples[len(h.samples)-1]
	}
	if revision < last.revision {
		h.samples = nil // the records are loaded again, perhaps from a restored store
	}
	if revision == 0 || len(h.samples) > 0 && now.Sub(last.at) < tuning.RevisionSampleInterval {
		return
	}
	h.samples = append(h.samples, revisionSample{revision, now})
	oldestNeeded := now.Add(-contradictedFor(Finished))
	for len(h.samples) > 1 && !h.samples[1].at.After(oldestNeeded) {
		h.samples = h.samples[1:]
	}
}

// knownAt returns the newest revision that is recorded for a time or before it, 0 if there is none.
func (h *revisionHistory) knownAt(at time.Time) (revision protocol.Revision) {
	for _, sample := range h.samples {
		if sample.at.After(at) {
			break
		}
		revision = sample.revision
	}
	return revision
}
