package simulation

import (
	"regexp"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// release is a version of the program. A controller of an earlier release runs
// today's state machine behind the boundaries that the earlier one had: what it
// sends, what it is sent and which fields of a record it keeps.
type release int

const (
	current   release = iota // as built
	release03                // 0.3: knows services and split records, no staged parts
	release02                // 0.2: knows none of these
)

// featureLevel is the level that a release announces to its peers, 0 if it announces none.
func (r release) featureLevel() uint64 {
	switch r {
	case release02:
		return 0
	case release03:
		return protocol.FeatureLevelCancellations
	}
	return protocol.CurrentFeatureLevel
}

// limitAnnouncement is a message as a controller of one release takes it from another: the
// announced level is the lower of both, since an earlier release does nothing that a
// later level would allow.
func limitAnnouncement(m protocol.PeerMessage, from, to release) protocol.PeerMessage {
	if _, ok := protocol.AnnouncedFeatureLevel(m); !ok {
		return m
	}
	a := m.(protocol.PeerResponse)
	a.Status = min(from.featureLevel(), to.featureLevel())
	return a
}

// canSend says whether a node sends a message: version 0.2 knows nothing of what was
// added, and cuts a link on which it comes.
func (c *controller) canSend(a coordination.PeerSend) bool {
	_, announces := protocol.AnnouncedFeatureLevel(a.Message)
	added := false
	switch a.Message.(type) {
	case protocol.PeerCancellation, protocol.PeerConfirmationRequest, protocol.PeerConfirmation:
		added = true
	}
	if added && c.w.release[string(a.Peer)] == release02 {
		c.w.rules.violated(ruleCompatibility, "%s sends %T to %s", c.name, a.Message, a.Peer)
	}
	return c.w.release[c.name] != release02 || !announces && !added
}

// dropNewFields takes out of records what version 0.2 drops when it reads them.
func dropNewFields(body []byte) []byte { return newFields.ReplaceAll(body, nil) }

var newFields = regexp.MustCompile(`"parts":\d+,`)

// reencode passes a message through the peers' wire format.
func reencode(m protocol.PeerMessage) protocol.PeerMessage {
	out, err := protocol.ReadPeerFrame(newReader(protocol.AppendPeerFrame(nil, m)))
	if err != nil {
		panic(err)
	}
	return out
}

// checkStagedRecords reports a part of a job that its own record does not name while a
// controller of an earlier release is up, which would delete it.
func (r *rules) checkStagedRecords(changes []protocol.Change) {
	for _, c := range changes {
		id, num, ok := storage.ParseTaskRecordKey(c.Set)
		if !ok {
			continue
		}
		rec, err := storage.DecodeJob(r.w.store.keys[storage.JobKey(id)].Value)
		if err != nil || num < max(rec.BaseRecords(), rec.TotalRecords) {
			continue
		}
		r.stagedRecords++
		for _, n := range r.w.nodes {
			if n.alive && r.w.release[n.name] != current {
				r.violated(ruleCompatibility, "%s is staged beside %s of an earlier release", c.Set, n.name)
			}
		}
	}
}
