package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the state service. It listens on one address for each controller, so that
// it can refuse or delay the requests of one controller.
type Store struct {
	w       *World
	mu      sync.Mutex
	changed chan struct{} // closed at every change and at the end of a fault
	ledger  uint64
	keys    map[string]storeEntry
	news    []storeEvent
	grants  map[uint64]*storeGrant
	permits uint64
	down    bool
	refused []bool
	silent  []bool // requests of the controller get no answer
	delay   time.Duration
	rps     *bucket
	writes  *bucket
	// onTxn may take a transaction over, for example to apply it late. It returns true if so.
	onTxn     func(node int, body []byte) bool
	throttled int
}

type storeEntry struct {
	K      string          `json:"k"`
	Data   json.RawMessage `json:"data"`
	Stamp  uint64          `json:"stamp"`
	Permit uint64          `json:"permit,omitempty"`
}

type storeEvent struct {
	Set    string          `json:"set,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

type storeGrant struct {
	ttl     time.Duration
	expires time.Time
}

// bucket is a token bucket with a burst of one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func newBucket(rate, seconds float64) *bucket {
	return &bucket{rate: rate, tokens: rate * seconds, at: time.Now()}
}

func (b *bucket) take(n, seconds float64) bool {
	now := time.Now()
	b.tokens = min(b.rate*seconds, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newStore(w *World, nodes int) *Store {
	s := &Store{w: w, changed: make(chan struct{}), keys: map[string]storeEntry{}, grants: map[uint64]*storeGrant{},
		refused: make([]bool, nodes), silent: make([]bool, nodes), rps: newBucket(w.set.StateRPS, 1), writes: newBucket(w.set.StateWrites, 1)}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	now := time.Now()
	for id, g := range s.grants {
		if now.After(g.expires) {
			s.endGrant(id)
		}
	}
}

func (s *Store) endGrant(id uint64) {
	delete(s.grants, id)
	for k, e := range s.keys {
		if e.Permit == id {
			s.ledger++
			delete(s.keys, k)
			s.news = append(s.news, storeEvent{Delete: k, Stamp: s.ledger})
			s.w.logf("state: %s removed, its lease ended", k)
			s.wake()
		}
	}
}

// setDown begins or ends an outage. At its end every lease has its full time again.
func (s *Store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.w.logf("state: outage %v", down)
	for _, g := range s.grants {
		g.expires = time.Now().Add(g.ttl)
	}
	s.wake()
}

func (s *Store) setRefused(node int, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = refused
	s.w.logf("state: refuses controller %d: %v", node, refused)
	s.wake()
}

func (s *Store) setSilent(node int, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[node] = silent
	s.w.logf("state: silent to controller %d: %v", node, silent)
	s.wake()
}

// value returns the value of a key, nil if there is none.
func (s *Store) value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].Data
}

// leader returns the name of the controller that holds the leader lease.
func (s *Store) leader() string {
	var v struct {
		Node string `json:"node"`
	}
	json.Unmarshal(s.value("g/c/leader"), &v)
	return v.Node
}

func reply(out http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	out.Write(b)
}

func (s *Store) handler(node int) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		silent, delay := s.silent[node], s.delay
		s.mu.Unlock()
		if delay > 0 && r.URL.Path != "/watch" {
			time.Sleep(delay)
		}
		if silent {
			<-r.Context().Done()
			return
		}
		s.mu.Lock()
		if !s.rps.take(1, 1) {
			s.throttled++
			s.mu.Unlock()
			reply(out, 429, map[string]string{"error": "too many"})
			return
		}
		if s.down || s.refused[node] {
			s.mu.Unlock()
			reply(out, 503, map[string]string{"error": "trouble"})
			return
		}
		s.mu.Unlock()
		switch {
		case r.URL.Path == "/watch":
			s.watch(out, r, node)
		case r.URL.Path == "/kv":
			s.page(out, r)
		case strings.HasPrefix(r.URL.Path, "/kv/"):
			s.mu.Lock()
			e, ok := s.keys[strings.TrimPrefix(r.URL.Path, "/kv/")]
			ledger := s.ledger
			s.mu.Unlock()
			if !ok {
				reply(out, 404, map[string]uint64{"ledger": ledger})
				return
			}
			reply(out, 200, e)
		case r.URL.Path == "/txn":
			if s.onTxn != nil && s.onTxn(node, body) {
				<-r.Context().Done()
				return
			}
			status, v := s.txn(body)
			reply(out, status, v)
		default:
			s.grantCall(out, r, body)
		}
	})
}

func (s *Store) txn(body []byte) (int, any) {
	var t struct {
		If []struct {
			K     string `json:"k"`
			Stamp uint64 `json:"stamp"`
		} `json:"if"`
		Apply []struct {
			Set    string          `json:"set"`
			Data   json.RawMessage `json:"data"`
			Permit uint64          `json:"permit"`
			Delete string          `json:"delete"`
		} `json:"apply"`
	}
	if json.Unmarshal(body, &t) != nil || len(body) > 64<<10 || len(t.Apply) > s.w.set.TxnOps || len(t.If) > 4*s.w.set.TxnOps {
		return 400, map[string]string{"error": "malformed or too large"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := float64(len(t.Apply)); n > 0 && !s.writes.take(n, 1) {
		s.throttled++
		return 429, map[string]string{"error": "too many"}
	}
	for _, a := range t.Apply {
		if float64(len(a.Data)) > s.w.set.ValueKB*1024 {
			return 400, map[string]string{"error": "value too large"}
		}
		if a.Permit != 0 && s.grants[a.Permit] == nil {
			return 400, map[string]string{"error": "no such lease"}
		}
	}
	var failed []string
	for _, c := range t.If {
		if s.keys[c.K].Stamp != c.Stamp {
			failed = append(failed, c.K)
		}
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "ledger": s.ledger}
	}
	if len(t.Apply) > 0 {
		s.ledger++
		for _, a := range t.Apply {
			if a.Set != "" {
				s.keys[a.Set] = storeEntry{a.Set, a.Data, s.ledger, a.Permit}
				s.news = append(s.news, storeEvent{Set: a.Set, Data: a.Data, Stamp: s.ledger})
				if a.Set == "g/c/leader" {
					s.w.logf("state: leader lease %d: %s", s.ledger, a.Data)
				}
			} else if _, ok := s.keys[a.Delete]; ok {
				delete(s.keys, a.Delete)
				s.news = append(s.news, storeEvent{Delete: a.Delete, Stamp: s.ledger})
			}
		}
		s.wake()
	}
	return 200, map[string]uint64{"ledger": s.ledger}
}

func (s *Store) page(out http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("page"))
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	s.mu.Lock()
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("starts")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	entries, size := []storeEntry{}, 0
	for _, k := range keys {
		if len(entries) == limit || size > 500<<10 {
			break
		}
		entries = append(entries, s.keys[k])
		size += len(s.keys[k].Data) + len(k) + 60
	}
	v := map[string]any{"entries": entries, "truncated": len(entries) < len(keys), "ledger": s.ledger}
	s.mu.Unlock()
	reply(out, 200, v)
}

func (s *Store) watch(out http.ResponseWriter, r *http.Request, node int) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	block, _ := strconv.Atoi(q.Get("block_ms"))
	end := time.Now().Add(time.Duration(block) * time.Millisecond)
	for {
		s.mu.Lock()
		served := !s.down && !s.refused[node] && !s.silent[node]
		i := sort.Search(len(s.news), func(i int) bool { return s.news[i].Stamp > after })
		news := []storeEvent{}
		for _, e := range s.news[i:] {
			if strings.HasPrefix(e.Set+e.Delete, q.Get("starts")) {
				news = append(news, e)
			}
		}
		if served && (len(news) > 0 || !time.Now().Before(end)) {
			v := map[string]any{"ledger": s.ledger, "news": news}
			s.mu.Unlock()
			reply(out, 200, v)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		wait := time.Until(end)
		if !served {
			wait = time.Hour
		}
		select {
		case <-changed:
		case <-time.After(max(wait, time.Millisecond)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) grantCall(out http.ResponseWriter, r *http.Request, body []byte) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(parts) == 1 {
		var v struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.Unmarshal(body, &v) != nil || v.TTL < 100 || v.TTL > 600000 {
			reply(out, 400, map[string]string{"error": "malformed"})
			return
		}
		s.permits++
		ttl := time.Duration(v.TTL) * time.Millisecond
		s.grants[s.permits] = &storeGrant{ttl, time.Now().Add(ttl)}
		reply(out, 200, map[string]uint64{"permit": s.permits})
		return
	}
	id, _ := strconv.ParseUint(parts[1], 10, 64)
	g := s.grants[id]
	if g == nil {
		reply(out, 404, map[string]string{"error": fmt.Sprint("no lease ", id)})
		return
	}
	if r.Method == http.MethodDelete {
		s.endGrant(id)
	} else {
		g.expires = time.Now().Add(g.ttl)
	}
	reply(out, 200, map[string]uint64{"permit": id})
}
