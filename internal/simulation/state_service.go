package simulation

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"golang.org/x/time/rate"
)

func newReader(b []byte) io.Reader { return bytes.NewReader(b) }

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func decode(b []byte, v any) {
	if err := json.Unmarshal(b, v); err != nil {
		panic(fmt.Sprintf("simulation: %v in %s", err, b))
	}
}

// stateService is a stand-in for the state service.
type stateService struct {
	w        *World
	revision protocol.Revision
	keys     map[string]protocol.Entry
	changes  []change
	leases   map[protocol.LeaseID]*lease
	nextID   protocol.LeaseID
	watches  []*watch
	down     bool
	slow     time.Duration // an answer takes so much longer
	lost     float64       // of transactions: this share gets no answer
	atOnce   bool          // and is carried out at once, not 2 to 12 s later
	blind    *controller   // no watch of this node is answered
	limits   config.StoreLimits
	tooLarge int // transactions that are beyond them
	calls    *rate.Limiter
	writes   *rate.Limiter
	// what was asked of it
	requests, changed, refused, bytes int
}

type change struct {
	key   string
	event protocol.WatchEvent
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type watch struct {
	from   *controller
	prefix string
	after  protocol.Revision
	answer func(int, []byte)
	ended  bool
}

func newStateService(w *World) *stateService {
	budget := func(rps float64) *rate.Limiter { return rate.NewLimiter(rate.Limit(rps), int(rps)) }
	s := &stateService{w: w, limits: w.shape.State, keys: map[string]protocol.Entry{}, leases: map[protocol.LeaseID]*lease{},
		calls: budget(w.shape.State.RPS), writes: budget(w.shape.State.WriteRPS)}
	var tick func()
	tick = func() {
		s.expire()
		w.after(50*time.Millisecond, tick)
	}
	w.after(0, tick)
	return s
}

// outage makes the service refuse everything; afterwards every lease has its
// full time again.
func (s *stateService) outage(d time.Duration) {
	s.down = true
	s.w.after(d, func() {
		s.down = false
		for _, l := range s.leases {
			l.expires = s.w.Now.Add(l.ttl)
		}
		s.notify()
	})
}

// backup is the service's state at a moment.
type backup struct {
	revision protocol.Revision
	keys     map[string]protocol.Entry
}

func (s *stateService) backup() backup { return backup{s.revision, maps.Clone(s.keys)} }

// restore puts the service back to an earlier state: keys and revision are as they were
// then, less the keys under leases, for no lease of that time is known.
func (s *stateService) restore(b backup) {
	s.revision, s.keys = b.revision, maps.Clone(b.keys)
	maps.DeleteFunc(s.keys, func(_ string, e protocol.Entry) bool { return e.Lease != 0 })
	s.changes, s.leases, s.watches = nil, map[protocol.LeaseID]*lease{}, nil
}

// refuse makes the service refuse one node alone; its watches wait.
func (s *stateService) refuse(c *controller, d time.Duration) {
	c.refused = true
	s.w.after(d, func() {
		c.refused = false
		s.notify()
	})
}

// lower makes the limits those that the settings announced.
func (s *stateService) lower() {
	s.limits = *s.w.shape.Lowered
	s.calls.SetLimit(rate.Limit(s.limits.RPS))
	s.writes.SetLimit(rate.Limit(s.limits.WriteRPS))
	s.writes.SetBurst(int(s.limits.WriteRPS))
}

// lose leaves a share of the transactions without an answer for a while.
func (s *stateService) lose(share float64, atOnce bool, d time.Duration) {
	s.lost, s.atOnce = share, atOnce
	s.w.after(d, func() { s.lost = 0 })
}

func (s *stateService) expire() {
	if s.down {
		return
	}
	var ended []protocol.LeaseID
	for id, l := range s.leases {
		if s.w.Now.After(l.expires) {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		delete(s.leases, id)
		var gone []string
		for k, e := range s.keys {
			if e.Lease == id {
				gone = append(gone, k)
			}
		}
		slices.Sort(gone)
		for _, k := range gone {
			s.revision++
			s.remove(k)
		}
		s.notify()
	}
}

func (s *stateService) remove(key string) {
	if _, ok := s.keys[key]; ok {
		delete(s.keys, key)
		s.changes = append(s.changes, change{key, protocol.WatchEvent{Delete: key, Revision: s.revision}})
	}
}

// serve answers a request as the protocol says, within the budgets.
func (s *stateService) serve(method, path string, body []byte, from *controller, answer func(int, []byte)) {
	s.requests++
	s.bytes += len(body)
	if s.slow > 0 {
		prompt := answer
		answer = func(status int, body []byte) { s.w.after(s.slow, func() { prompt(status, body) }) }
	}
	if !s.calls.AllowN(s.w.Now, 1) {
		s.refused++
		answer(429, nil)
		return
	}
	u, _ := url.Parse(path)
	if s.down || from.refused {
		answer(503, encode(protocol.ErrorBody{Error: "trouble"}))
		return
	}
	switch {
	case u.Path == "/watch":
		s.watch(u.Query(), from, answer)
	case method == "GET" && u.Path == "/kv":
		s.list(u.Query(), answer)
	case method == "GET":
		s.get(strings.TrimPrefix(u.Path, "/kv/"), answer)
	case u.Path == protocol.PathTransactions:
		s.take(body, answer)
	case u.Path == protocol.PathLeases:
		s.grant(body, answer)
	default:
		s.renew(u.Path, answer)
	}
}

// watch opens a watch.
func (s *stateService) watch(q url.Values, from *controller, answer func(int, []byte)) {
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("block_ms"))
	x := &watch{from: from, prefix: q.Get("starts"), after: protocol.Revision(after), answer: answer}
	s.watches = append(s.watches, x)
	s.w.after(time.Duration(wait)*time.Millisecond, func() { s.show(x, true) })
	s.notify()
}

// list answers with a page of keys.
func (s *stateService) list(q url.Values, answer func(int, []byte)) {
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("starts")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	limit, _ := strconv.Atoi(q.Get("page"))
	page := protocol.Entries{Revision: s.revision, More: len(keys) > limit}
	for _, k := range keys[:min(limit, len(keys))] {
		page.Items = append(page.Items, s.keys[k])
	}
	answer(200, encode(page))
}

// get answers with one key.
func (s *stateService) get(key string, answer func(int, []byte)) {
	if e, ok := s.keys[key]; ok {
		answer(200, encode(e))
		return
	}
	answer(404, encode(protocol.TransactionResponse{Revision: s.revision}))
}

// take carries a transaction out, unless it, or its answer, is to be lost.
func (s *stateService) take(body []byte, answer func(int, []byte)) {
	nobody := func(int, []byte) {}
	switch {
	case s.lost == 0 || s.w.rng.Float64() >= s.lost:
		s.txn(body, answer)
	case s.atOnce:
		s.txn(body, nobody)
	default:
		s.w.after(s.w.between(2*time.Second, 12*time.Second), func() { s.txn(body, nobody) })
	}
}

// grant gives a lease.
func (s *stateService) grant(body []byte, answer func(int, []byte)) {
	var r protocol.LeaseRequest
	decode(body, &r)
	s.nextID++
	ttl := time.Duration(r.TTLMs) * time.Millisecond
	s.leases[s.nextID] = &lease{ttl, s.w.Now.Add(ttl)}
	answer(200, encode(protocol.LeaseResponse{Lease: s.nextID}))
}

// renew renews the lease that a path names.
func (s *stateService) renew(path string, answer func(int, []byte)) {
	id, _ := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
	l := s.leases[protocol.LeaseID(id)]
	if l == nil {
		answer(404, nil)
		return
	}
	l.expires = s.w.Now.Add(l.ttl)
	answer(200, encode(protocol.LeaseResponse{Lease: protocol.LeaseID(id)}))
}

// txn carries a transaction out if it keeps within the limits and its conditions hold.
func (s *stateService) txn(body []byte, answer func(int, []byte)) {
	var t protocol.Transaction
	decode(body, &t)
	if n := len(t.Changes); n > 0 && !s.writes.AllowN(s.w.Now, n) {
		s.refused++
		answer(429, nil)
		return
	}
	s.changed += len(t.Changes)
	if beyond := s.beyondLimits(&t, len(body)); beyond != "" {
		s.tooLarge++
		if s.limits == s.w.shape.State || s.tooLarge > 20 { // they were lowered without notice
			s.w.rules.violated("limits", "%s", beyond)
		}
		answer(400, nil)
		return
	}
	for _, c := range t.Changes {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			answer(400, encode(protocol.ErrorBody{Error: "no such lease"}))
			return
		}
	}
	var failed []string
	for _, c := range t.Conditions {
		if s.keys[c.Key].Revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		answer(409, encode(protocol.TransactionResponse{Revision: s.revision, Failed: failed}))
		return
	}
	s.apply(t.Changes)
	s.w.rules.checkStaged(t.Changes)
	answer(200, encode(protocol.TransactionResponse{Revision: s.revision}))
	s.notify()
}

// beyondLimits says in which way a transaction is too large, "" if it is not.
func (s *stateService) beyondLimits(t *protocol.Transaction, size int) string {
	if len(t.Changes) > s.limits.TxnOps || len(t.Conditions) > 4*s.limits.TxnOps || size > protocol.MaxBody {
		return fmt.Sprintf("transaction of %d operations, %d conditions, %d bytes", len(t.Changes), len(t.Conditions), size)
	}
	for _, c := range t.Changes {
		if float64(len(c.Value)) > s.limits.ValueKB*1024 {
			return fmt.Sprintf("value of %d bytes under %s", len(c.Value), c.Set)
		}
	}
	return ""
}

// apply makes the changes of a transaction, under one revision.
func (s *stateService) apply(changes []protocol.Change) {
	if len(changes) > 0 {
		s.revision++
	}
	for _, c := range changes {
		if c.Set == "" {
			s.remove(c.Delete)
			continue
		}
		s.keys[c.Set] = protocol.Entry{Key: c.Set, Value: c.Value, Revision: s.revision, Lease: c.Lease}
		s.changes = append(s.changes, change{c.Set, protocol.WatchEvent{Set: c.Set, Value: c.Value, Revision: s.revision}})
	}
}

func (s *stateService) notify() {
	for _, x := range slices.Clone(s.watches) {
		s.show(x, false)
	}
}

// show answers a watch that has something to show, or whose time is over. While
// the service does not serve its node, a watch waits.
func (s *stateService) show(x *watch, over bool) {
	if x.ended || x.from == s.blind {
		return
	}
	if s.down || x.from.refused {
		if over {
			s.w.after(50*time.Millisecond, func() { s.show(x, true) })
		}
		return
	}
	var events []protocol.WatchEvent
	from, _ := slices.BinarySearchFunc(s.changes, x.after+1, func(c change, after protocol.Revision) int { return cmp.Compare(c.event.Revision, after) })
	for _, c := range s.changes[from:] {
		if strings.HasPrefix(c.key, x.prefix) {
			events = append(events, c.event)
		}
	}
	if len(events) == 0 && !over {
		return
	}
	x.ended = true
	s.watches = slices.DeleteFunc(s.watches, func(o *watch) bool { return o == x })
	x.answer(200, encode(protocol.WatchResponse{Revision: s.revision, Events: events}))
}
