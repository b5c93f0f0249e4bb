package simulation

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"golang.org/x/time/rate"
)

// storeTick is the interval at which the store looks for expired leases. At the same interval it
// retries the response to a watch that timed out while the store does not serve its node.
const storeTick = 50 * time.Millisecond

// keyValueStore is the stand-in for the key-value store, written from the protocol.
type keyValueStore struct {
	keyspace
	leaseTable
	storeFaults
	storeUsage

	w              *World
	watches        []*watch
	limits         config.StoreLimits
	requestLimiter *rate.Limiter
	writeLimiter   *rate.Limiter
}

// storeUsage counts the requests to the store.
type storeUsage struct {
	requests              int
	bytes                 int // of request bodies
	changed               int // key changes requested by transactions within the write rate limit
	refused               int // requests and transactions beyond the rate limits
	oversizedTransactions int // transactions beyond the size limits
}

// watch is a request that waits for changes of keys with a prefix.
type watch struct {
	from    *controller
	prefix  string
	after   protocol.Revision
	respond responseFunc
	ended   bool
}

func newKeyValueStore(w *World) *keyValueStore {
	budget := func(rps float64) *rate.Limiter { return rate.NewLimiter(rate.Limit(rps), int(rps)) }
	s := &keyValueStore{
		keyspace:       keyspace{keys: map[string]protocol.Entry{}},
		leaseTable:     leaseTable{leases: map[protocol.LeaseID]*lease{}},
		w:              w,
		limits:         w.shape.Store,
		requestLimiter: budget(w.shape.Store.RPS),
		writeLimiter:   budget(w.shape.Store.WriteRPS),
	}
	w.after(0, s.tick)
	return s
}

// tick ends the expired leases and schedules the next tick.
func (s *keyValueStore) tick() {
	if !s.down {
		for _, id := range s.expired(s.w.Now) {
			delete(s.leases, id)
			s.removeLeased(id)
			s.notify()
		}
	}
	s.w.after(storeTick, s.tick)
}

// restore restores the store from a backup. No lease and no watch survives.
func (s *keyValueStore) restore(b backup) {
	s.keyspace.restore(b)
	s.leases, s.watches = map[protocol.LeaseID]*lease{}, nil
}

// serve responds to a request as the protocol says, within the rate limits.
func (s *keyValueStore) serve(method, path string, body []byte, from *controller, respond responseFunc) {
	s.requests++
	s.bytes += len(body)
	if s.extraLatency > 0 || s.slowShare > 0 {
		respondNow := respond
		respond = func(status int, body []byte) { s.w.after(s.responseDelay(), func() { respondNow(status, body) }) }
	}
	if !s.requestLimiter.AllowN(s.w.Now, 1) {
		s.refused++
		respond(http.StatusTooManyRequests, nil)
		return
	}
	u, _ := url.Parse(path)
	if s.down || from.refused {
		respond(http.StatusServiceUnavailable, encode(protocol.ErrorBody{Error: "unavailable"}))
		return
	}
	switch {
	case u.Path == "/watch":
		s.watch(u.Query(), from, respond)
	case method == http.MethodGet && u.Path == "/kv":
		s.list(u.Query(), respond)
	case method == http.MethodGet:
		s.get(strings.TrimPrefix(u.Path, "/kv/"), respond)
	case u.Path == protocol.PathTransactions:
		s.handleTransaction(body, respond)
	case u.Path == protocol.PathLeases:
		s.grantLease(body, respond)
	default:
		s.renewLease(u.Path, respond)
	}
}

// list responds with a page of keys.
func (s *keyValueStore) list(q url.Values, respond responseFunc) {
	limit, _ := strconv.Atoi(q.Get("page"))
	respond(http.StatusOK, encode(s.page(q.Get("starts"), q.Get("after"), limit)))
}

// get responds with one key.
func (s *keyValueStore) get(key string, respond responseFunc) {
	if e, ok := s.keys[key]; ok {
		respond(http.StatusOK, encode(e))
		return
	}
	respond(http.StatusNotFound, encode(protocol.TransactionResponse{Revision: s.revision}))
}

// grantLease grants a lease.
func (s *keyValueStore) grantLease(body []byte, respond responseFunc) {
	var r protocol.LeaseRequest
	decode(body, &r)
	id := s.grant(s.w.Now, time.Duration(r.TTLMs)*time.Millisecond)
	respond(http.StatusOK, encode(protocol.LeaseResponse{Lease: id}))
}

// renewLease renews the lease named in the path.
func (s *keyValueStore) renewLease(path string, respond responseFunc) {
	number, _ := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
	id := protocol.LeaseID(number)
	if !s.renew(s.w.Now, id) {
		respond(http.StatusNotFound, nil)
		return
	}
	respond(http.StatusOK, encode(protocol.LeaseResponse{Lease: id}))
}

// handleTransaction commits a transaction. A random share of them, lostShare, gets no response, and
// is committed late if lateCommits is set.
func (s *keyValueStore) handleTransaction(body []byte, respond responseFunc) {
	discardResponse := func(int, []byte) {}
	switch {
	case s.lostShare == 0 || s.w.rng.Float64() >= s.lostShare:
		s.commit(body, respond)
	case s.lateCommits:
		s.w.after(s.w.between(2*time.Second, 12*time.Second), func() { s.commit(body, discardResponse) })
	default:
		s.commit(body, discardResponse)
	}
}

// commit commits a transaction if it is within the limits and its conditions hold.
func (s *keyValueStore) commit(body []byte, respond responseFunc) {
	var t protocol.Transaction
	decode(body, &t)
	if status, refusal := s.refusal(&t, len(body)); status != 0 {
		respond(status, refusal)
		return
	}
	s.apply(t.Changes)
	s.w.rules.checkStagedRecords(t.Changes)
	respond(http.StatusOK, encode(protocol.TransactionResponse{Revision: s.revision}))
	s.notify()
}

// refusal returns the response to a transaction that must not be committed, status 0 for one that
// may.
func (s *keyValueStore) refusal(t *protocol.Transaction, size int) (status int, body []byte) {
	if n := len(t.Changes); n > 0 && !s.writeLimiter.AllowN(s.w.Now, n) {
		s.refused++
		return http.StatusTooManyRequests, nil
	}
	s.changed += len(t.Changes)
	if excess := s.limitViolation(t, size); excess != "" {
		s.oversizedTransactions++
		// The limits are lowered without notice, so up to 20 transactions may exceed the new ones.
		if s.limits == s.w.shape.Store || s.oversizedTransactions > 20 {
			s.w.rules.violated(ruleLimits, "%s", excess)
		}
		return http.StatusBadRequest, nil
	}
	for _, c := range t.Changes {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return http.StatusBadRequest, encode(protocol.ErrorBody{Error: "no such lease"})
		}
	}
	if failed := s.failed(t.Conditions); len(failed) > 0 {
		return http.StatusConflict, encode(protocol.TransactionResponse{Revision: s.revision, Failed: failed})
	}
	return 0, nil
}

// limitViolation describes which limit a transaction exceeds, "" if it exceeds none.
func (s *keyValueStore) limitViolation(t *protocol.Transaction, size int) string {
	if len(t.Changes) > s.limits.TxnOps || len(t.Conditions) > 4*s.limits.TxnOps || size > protocol.MaxBodyBytes {
		return fmt.Sprintf("transaction of %d operations, %d conditions, %d bytes", len(t.Changes), len(t.Conditions), size)
	}
	for _, c := range t.Changes {
		if float64(len(c.Value)) > s.limits.ValueKB*1024 {
			return fmt.Sprintf("value of %d bytes under %s", len(c.Value), c.Set)
		}
	}
	return ""
}

// watch opens a watch.
func (s *keyValueStore) watch(q url.Values, from *controller, respond responseFunc) {
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("block_ms"))
	x := &watch{from: from, prefix: q.Get("starts"), after: protocol.Revision(after), respond: respond}
	s.watches = append(s.watches, x)
	s.w.after(time.Duration(wait)*time.Millisecond, func() { s.respondToWatch(x, true) })
	s.notify()
}

// notify responds to the watches that have events.
func (s *keyValueStore) notify() {
	for _, x := range slices.Clone(s.watches) {
		s.respondToWatch(x, false)
	}
}

// respondToWatch responds to a watch that has events or has timed out. While the store does not
// serve its node, the watch waits.
func (s *keyValueStore) respondToWatch(x *watch, timedOut bool) {
	if x.ended || x.from == s.nodeWithoutWatches {
		return
	}
	if s.down || x.from.refused {
		if timedOut {
			s.w.after(storeTick, func() { s.respondToWatch(x, true) })
		}
		return
	}
	events := s.eventsAfter(x.after, x.prefix)
	if len(events) == 0 && !timedOut {
		return
	}
	x.ended = true
	s.watches = slices.DeleteFunc(s.watches, func(o *watch) bool { return o == x })
	x.respond(http.StatusOK, encode(protocol.WatchResponse{Revision: s.revision, Events: events}))
}
