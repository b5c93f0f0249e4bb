package simulation

import (
	"regexp"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// release is a version of the program. A controller of an earlier release runs the current state
// machine. Only what it sends, what it receives and which fields of a record it keeps are limited
// to what the earlier release had.
type release int

const (
	current   release = iota // the version under test
	release03                // 0.3: supports services and split records, but no staged records
	release02                // 0.2: supports none of these
)

// featureLevel returns the feature level that a release announces to its peers, 0 if it announces
// none.
func (r release) featureLevel() uint64 {
	switch r {
	case release02:
		return 0
	case release03:
		return protocol.FeatureLevelCancellations
	}
	return protocol.CurrentFeatureLevel
}

// limitAnnouncement returns a message as a controller of one release receives it from one of
// another. An announced feature level becomes the lower level of the two releases, because an
// earlier release does nothing that a later level would allow.
func limitAnnouncement(m protocol.PeerMessage, from, to release) protocol.PeerMessage {
	if _, ok := protocol.AnnouncedFeatureLevel(m); !ok {
		return m
	}
	a := m.(protocol.PeerResponse)
	a.Status = min(from.featureLevel(), to.featureLevel())
	return a
}

// canSend reports whether the node's release supports a message. An earlier release closes a link on
// which a message arrives that was added later. To send it one violates a rule.
func (c *controller) canSend(a coordination.PeerSend) bool {
	_, announces := protocol.AnnouncedFeatureLevel(a.Message)
	required := requiredFeatureLevel(a.Message)
	for _, peer := range c.w.nodes {
		if peer.name == string(a.Peer) && peer.started.featureLevel() < required {
			c.w.rules.violated(ruleCompatibility, "%s sends %T to %s", c.name, a.Message, a.Peer)
		}
	}
	return c.w.release[c.name] != release02 || !announces && required == 0
}

// requiredFeatureLevel returns the feature level that a message was added with, 0 for the first version.
func requiredFeatureLevel(m protocol.PeerMessage) uint64 {
	switch m.(type) {
	case protocol.PeerCancellation, protocol.PeerConfirmationRequest, protocol.PeerConfirmation:
		return protocol.FeatureLevelCancellations
	case protocol.PeerAnswerNotice, protocol.PeerAnswerConfirmation:
		return protocol.FeatureLevelOrderedAnswers
	}
	return 0
}

// dropNewFields removes from records the fields that version 0.2 drops when it reads them.
func dropNewFields(body []byte) []byte { return newFields.ReplaceAll(body, nil) }

var newFields = regexp.MustCompile(`"parts":\d+,`)

// reencode encodes a message in the wire format of the peers and decodes it again.
func reencode(m protocol.PeerMessage) protocol.PeerMessage {
	out, err := protocol.ReadPeerFrame(newReader(protocol.AppendPeerFrame(nil, m)))
	if err != nil {
		panic(err)
	}
	return out
}

// checkStagedRecords counts the staged task records: those that the job's main record does not name
// yet. It reports one that is written while a controller of an earlier release is up, because that
// release would delete it.
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
				r.violated(ruleCompatibility, "%s is staged while %s of an earlier release is up", c.Set, n.name)
			}
		}
	}
}
