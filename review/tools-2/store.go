package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The state service, written from the protocol. Each controller reaches it under an address of its
// own, so that the service can refuse a single controller.

type entry struct {
	Key    string          `json:"k"`
	Data   json.RawMessage `json:"data"`
	Stamp  uint64          `json:"stamp"`
	Permit uint64          `json:"permit,omitempty"`
}

type change struct {
	Set    string          `json:"set,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

type grant struct {
	ttl     time.Duration
	expires time.Time
}

type txnRequest struct {
	If []struct {
		Key   string `json:"k"`
		Stamp uint64 `json:"stamp"`
	} `json:"if"`
	Apply []struct {
		Set    string          `json:"set"`
		Delete string          `json:"delete"`
		Data   json.RawMessage `json:"data"`
		Permit uint64          `json:"permit"`
	} `json:"apply"`
}

type store struct {
	mu        sync.Mutex
	keys      map[string]entry
	ledger    uint64
	log       []change // the last 10,000 changes
	grants    map[uint64]*grant
	nextGrant uint64
	changed   chan struct{} // closed and replaced at every change
	down      bool          // outage: every controller gets 503
	refused   map[string]bool
	valueKB   float64
	txnOps    int
	// answerDelay returns how long the answer to a request that was carried out is on its way.
	answerDelay func(node, method, path string, txn *txnRequest) time.Duration
}

func newStore(valueKB float64, txnOps int) *store {
	s := &store{keys: map[string]entry{}, grants: map[uint64]*grant{}, changed: make(chan struct{}), refused: map[string]bool{}, valueKB: valueKB, txnOps: txnOps}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
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

// endGrant ends a lease and removes its keys. The caller holds mu.
func (s *store) endGrant(id uint64) {
	delete(s.grants, id)
	for k, e := range s.keys {
		if e.Permit == id {
			s.ledger++
			delete(s.keys, k)
			s.note(change{Delete: k, Stamp: s.ledger})
		}
	}
}

func (s *store) note(c change) {
	s.log = append(s.log, c)
	if len(s.log) > 10000 {
		s.log = s.log[len(s.log)-10000:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// outage starts or ends an outage. At its end, every lease has its full time again.
func (s *store) outage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		for _, g := range s.grants {
			g.expires = time.Now().Add(g.ttl)
		}
	}
}

func (s *store) refuse(node string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = on
}

// leader returns the holder of the key that ends in "/leader", for waiting on a leader only.
func (s *store) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, e := range s.keys {
		if strings.HasSuffix(k, "/leader") {
			var v struct {
				Node string `json:"node"`
			}
			json.Unmarshal(e.Data, &v)
			return v.Node
		}
	}
	return ""
}

func answer(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(b)
}

func (s *store) handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/watch" {
			s.watch(node, w, r)
			return
		}
		s.mu.Lock()
		if s.down || s.refused[node] {
			s.mu.Unlock()
			answer(w, 503, map[string]string{"error": "unavailable"})
			return
		}
		status, v, txn := s.serve(r, body)
		s.mu.Unlock()
		if s.answerDelay != nil {
			time.Sleep(s.answerDelay(node, r.Method, r.URL.Path, txn))
		}
		answer(w, status, v)
	})
}

// serve carries out a request. The caller holds mu.
func (s *store) serve(r *http.Request, body []byte) (int, any, *txnRequest) {
	path := r.URL.Path
	switch {
	case path == "/kv":
		return 200, s.list(r), nil
	case strings.HasPrefix(path, "/kv/"):
		e, ok := s.keys[strings.TrimPrefix(path, "/kv/")]
		if !ok {
			return 404, map[string]uint64{"ledger": s.ledger}, nil
		}
		return 200, e, nil
	case path == "/txn":
		var t txnRequest
		if json.Unmarshal(body, &t) != nil || len(body) > 64<<10 || len(t.Apply) > s.txnOps || len(t.If) > 4*s.txnOps {
			return 400, map[string]string{"error": "malformed or too large"}, &t
		}
		status, v := s.txn(&t)
		return status, v, &t
	case path == "/grants":
		var g struct {
			TTL int64 `json:"ttl_ms"`
		}
		json.Unmarshal(body, &g)
		s.nextGrant++
		ttl := time.Duration(g.TTL) * time.Millisecond
		s.grants[s.nextGrant] = &grant{ttl, time.Now().Add(ttl)}
		return 200, map[string]uint64{"permit": s.nextGrant}, nil
	case strings.HasPrefix(path, "/grants/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(path, "/grants/"), "/renew"), 10, 64)
		g := s.grants[id]
		if g == nil {
			return 404, map[string]string{"error": "no such lease"}, nil
		}
		if r.Method == http.MethodDelete {
			s.endGrant(id)
		} else {
			g.expires = time.Now().Add(g.ttl)
		}
		return 200, map[string]uint64{"permit": id}, nil
	}
	return 400, map[string]string{"error": "malformed"}, nil
}

func (s *store) list(r *http.Request) any {
	q := r.URL.Query()
	page, _ := strconv.Atoi(q.Get("page"))
	if page <= 0 || page > 1000 {
		page = 1000
	}
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("starts")) && k > q.Get("after") {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	list, size := []entry{}, 0
	for _, k := range names {
		if len(list) == page || size > 500<<10 {
			break
		}
		list = append(list, s.keys[k])
		size += len(s.keys[k].Data) + len(k) + 60
	}
	return map[string]any{"entries": list, "truncated": len(list) < len(names), "ledger": s.ledger}
}

func (s *store) txn(t *txnRequest) (int, any) {
	failed := []string{}
	for _, c := range t.If {
		if s.keys[c.Key].Stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	for _, a := range t.Apply {
		if a.Set != "" && a.Permit != 0 && s.grants[a.Permit] == nil {
			return 400, map[string]string{"error": "no such lease"}
		}
		if float64(len(a.Data)) > s.valueKB*1024 {
			return 400, map[string]string{"error": "value too large"}
		}
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "ledger": s.ledger}
	}
	if len(t.Apply) > 0 {
		s.ledger++
	}
	for _, a := range t.Apply {
		if a.Set != "" {
			s.keys[a.Set] = entry{a.Set, a.Data, s.ledger, a.Permit}
			s.note(change{Set: a.Set, Data: a.Data, Stamp: s.ledger})
		} else if _, ok := s.keys[a.Delete]; ok {
			delete(s.keys, a.Delete)
			s.note(change{Delete: a.Delete, Stamp: s.ledger})
		}
	}
	return 200, map[string]uint64{"ledger": s.ledger}
}

func (s *store) watch(node string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	block, _ := strconv.Atoi(q.Get("block_ms"))
	end := time.After(time.Duration(block) * time.Millisecond)
	first, ended := true, false
	for {
		s.mu.Lock()
		out := s.down || s.refused[node]
		if first && out {
			s.mu.Unlock()
			answer(w, 503, map[string]string{"error": "unavailable"})
			return
		}
		first = false
		if !out && len(s.log) == 10000 && s.log[0].Stamp > after+1 {
			s.mu.Unlock()
			answer(w, 410, map[string]string{"error": "too old"})
			return
		}
		news := []change{}
		if !out {
			for i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Stamp > after }); i < len(s.log); i++ {
				if strings.HasPrefix(s.log[i].Set+s.log[i].Delete, q.Get("starts")) {
					news = append(news, s.log[i])
				}
			}
		}
		ledger, changed := s.ledger, s.changed
		s.mu.Unlock()
		if len(news) > 0 || ended && !out {
			answer(w, 200, map[string]any{"ledger": ledger, "news": news})
			return
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-time.After(100 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}
