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

// storeTick is how often the store looks for leases that are over, and how often a watch
// whose time is over while the store does not serve its node is tried again.
const storeTick = 50 * time.Millisecond

// keyValueStore is a stand-in for the key-value store, by the protocol.
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

// storeUsage counts what was asked of the store.
type storeUsage struct {
	requests              int
	bytes                 int // of requests
	changed               int // keys, by transactions within the budget
	refused               int // requests and transactions beyond the budgets
	oversizedTransactions int // transactions beyond the limits
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

// tick ends the leases that are over, again and again.
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

// restore puts the store back to an earlier state; it knows no lease and no watch then.
func (s *keyValueStore) restore(b backup) {
	s.keyspace.restore(b)
	s.leases, s.watches = map[protocol.LeaseID]*lease{}, nil
}

// serve answers a request as the protocol says, within the budgets.
func (s *keyValueStore) serve(method, path string, body []byte, from *controller, answer responseFunc) {
	s.requests++
	s.bytes += len(body)
	if s.extraLatency > 0 {
		prompt := answer
		answer = func(status int, body []byte) { s.w.after(s.extraLatency, func() { prompt(status, body) }) }
	}
	if !s.requestLimiter.AllowN(s.w.Now, 1) {
		s.refused++
		answer(http.StatusTooManyRequests, nil)
		return
	}
	u, _ := url.Parse(path)
	if s.down || from.refused {
		answer(http.StatusServiceUnavailable, encode(protocol.ErrorBody{Error: "unavailable"}))
		return
	}
	switch {
	case u.Path == "/watch":
		s.watch(u.Query(), from, answer)
	case method == http.MethodGet && u.Path == "/kv":
		s.list(u.Query(), answer)
	case method == http.MethodGet:
		s.get(strings.TrimPrefix(u.Path, "/kv/"), answer)
	case u.Path == protocol.PathTransactions:
		s.handleTransaction(body, answer)
	case u.Path == protocol.PathLeases:
		s.grantLease(body, answer)
	default:
		s.renewLease(u.Path, answer)
	}
}

// list answers with a page of keys.
func (s *keyValueStore) list(q url.Values, answer responseFunc) {
	limit, _ := strconv.Atoi(q.Get("page"))
	answer(http.StatusOK, encode(s.page(q.Get("starts"), q.Get("after"), limit)))
}

// get answers with one key.
func (s *keyValueStore) get(key string, answer responseFunc) {
	if e, ok := s.keys[key]; ok {
		answer(http.StatusOK, encode(e))
		return
	}
	answer(http.StatusNotFound, encode(protocol.TransactionResponse{Revision: s.revision}))
}

// grantLease gives a lease.
func (s *keyValueStore) grantLease(body []byte, answer responseFunc) {
	var r protocol.LeaseRequest
	decode(body, &r)
	id := s.grant(s.w.Now, time.Duration(r.TTLMs)*time.Millisecond)
	answer(http.StatusOK, encode(protocol.LeaseResponse{Lease: id}))
}

// renewLease renews the lease that a path names.
func (s *keyValueStore) renewLease(path string, answer responseFunc) {
	number, _ := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
	id := protocol.LeaseID(number)
	if !s.renew(s.w.Now, id) {
		answer(http.StatusNotFound, nil)
		return
	}
	answer(http.StatusOK, encode(protocol.LeaseResponse{Lease: id}))
}

// handleTransaction carries a transaction out, unless it, or its answer, is to be lost.
func (s *keyValueStore) handleTransaction(body []byte, answer responseFunc) {
	unanswered := func(int, []byte) {}
	switch {
	case s.lostShare == 0 || s.w.rng.Float64() >= s.lostShare:
		s.commit(body, answer)
	case s.lateCommits:
		s.w.after(s.w.between(2*time.Second, 12*time.Second), func() { s.commit(body, unanswered) })
	default:
		s.commit(body, unanswered)
	}
}

// commit carries a transaction out if it keeps within the limits and its conditions hold.
func (s *keyValueStore) commit(body []byte, answer responseFunc) {
	var t protocol.Transaction
	decode(body, &t)
	if status, refusal := s.refusal(&t, len(body)); status != 0 {
		answer(status, refusal)
		return
	}
	s.apply(t.Changes)
	s.w.rules.checkStagedRecords(t.Changes)
	answer(http.StatusOK, encode(protocol.TransactionResponse{Revision: s.revision}))
	s.notify()
}

// refusal is the answer to a transaction that is not carried out, status 0 for one that is.
func (s *keyValueStore) refusal(t *protocol.Transaction, size int) (status int, body []byte) {
	if n := len(t.Changes); n > 0 && !s.writeLimiter.AllowN(s.w.Now, n) {
		s.refused++
		return http.StatusTooManyRequests, nil
	}
	s.changed += len(t.Changes)
	if excess := s.limitViolation(t, size); excess != "" {
		s.oversizedTransactions++
		if s.limits == s.w.shape.Store || s.oversizedTransactions > 20 { // they were lowered without notice
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

// limitViolation says in which way a transaction is too large, "" if it is not.
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
func (s *keyValueStore) watch(q url.Values, from *controller, answer responseFunc) {
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("block_ms"))
	x := &watch{from: from, prefix: q.Get("starts"), after: protocol.Revision(after), respond: answer}
	s.watches = append(s.watches, x)
	s.w.after(time.Duration(wait)*time.Millisecond, func() { s.answerWatch(x, true) })
	s.notify()
}

// notify answers the watches that have something to show.
func (s *keyValueStore) notify() {
	for _, x := range slices.Clone(s.watches) {
		s.answerWatch(x, false)
	}
}

// answerWatch answers a watch that has something to show, or whose time is over. While
// the store does not serve its node, a watch waits.
func (s *keyValueStore) answerWatch(x *watch, over bool) {
	if x.ended || x.from == s.nodeWithoutWatches {
		return
	}
	if s.down || x.from.refused {
		if over {
			s.w.after(storeTick, func() { s.answerWatch(x, true) })
		}
		return
	}
	events := s.eventsAfter(x.after, x.prefix)
	if len(events) == 0 && !over {
		return
	}
	x.ended = true
	s.watches = slices.DeleteFunc(s.watches, func(o *watch) bool { return o == x })
	x.respond(http.StatusOK, encode(protocol.WatchResponse{Revision: s.revision, Events: events}))
}
