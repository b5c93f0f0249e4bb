package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"
)

// Cloud is a stand-in of the cloud. The world's lock guards it.
type Cloud struct {
	w         *World
	types     []machineType
	machines  []*machine
	hires     map[string][]string
	next      int
	room      map[string]int // by "zone/spot": how many more machines can be rented
	down      bool
	boot      func() time.Duration
	snapshots []cloudSnapshot
}

type machineType struct {
	Label    string   `json:"label"`
	CPUs     float64  `json:"cpus"`
	GPUs     float64  `json:"gpus"`
	MemoryGB float64  `json:"memory_gb"`
	CacheGB  float64  `json:"cache_gb"`
	Fetch    float64  `json:"fetch_gb_per_s"`
	Hourly   float64  `json:"hourly"`
	Low      float64  `json:"low_price"`
	Startup  float64  `json:"startup_s"`
	Yards    []string `json:"yards"`
}

type machine struct {
	id, build, yard string
	spot            bool
	rented          time.Time
	phase           string
	gone            bool
	worker          *Worker
}

// kind names the zone and kind of a machine, as in Cloud.room.
func (m *machine) kind() string { return fmt.Sprintf("%s/%v", m.yard, m.spot) }

type listed struct {
	UID     string  `json:"uid"`
	Address string  `json:"address"`
	Build   string  `json:"build"`
	Yard    string  `json:"yard"`
	Loaners bool    `json:"loaners"`
	Phase   string  `json:"phase"`
	Age     float64 `json:"age_s"`
}

type cloudSnapshot struct {
	at   time.Time
	list []listed
}

// add creates a machine that is up after the given time. The caller holds the lock.
func (c *Cloud) add(build, yard string, spot bool, boot time.Duration) *machine {
	c.next++
	m := &machine{id: fmt.Sprintf("i-%06d", c.next), build: build, yard: yard, spot: spot, rented: time.Now(), phase: "starting"}
	c.machines = append(c.machines, m)
	m.worker = newWorker(c.w, m)
	up := func() {
		if !m.gone && m.phase == "starting" {
			m.phase = "running"
			m.worker.begin()
		}
	}
	if boot == 0 {
		up()
	} else {
		time.AfterFunc(boot, func() {
			c.w.mu.Lock()
			defer c.w.mu.Unlock()
			up()
		})
	}
	return m
}

func (c *Cloud) snapshot() {
	s := cloudSnapshot{at: time.Now()}
	for _, m := range c.machines {
		if !m.gone {
			s.list = append(s.list, listed{m.id, m.worker.address, m.build, m.yard, m.spot, m.phase, time.Since(m.rented).Seconds()})
		}
	}
	c.snapshots = append(c.snapshots, s)
	if len(c.snapshots) > 60 {
		c.snapshots = c.snapshots[1:]
	}
}

func (c *Cloud) find(id string) *machine {
	for _, m := range c.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (c *Cloud) handler() http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		c.w.mu.Lock()
		defer c.w.mu.Unlock()
		switch {
		case c.down:
			reply(out, 503, map[string]string{"error": "trouble"})
		case r.URL.Path == "/machine_types":
			reply(out, 200, map[string]any{"builds": c.types})
		case r.URL.Path == "/hosts" && r.Method == http.MethodGet:
			c.list(out, r)
		case r.URL.Path == "/hosts":
			c.rent(out, body)
		case r.URL.Path == "/hosts/delete":
			var v struct {
				Berths []string `json:"berths"`
			}
			if json.Unmarshal(body, &v) != nil || len(v.Berths) > 100 {
				reply(out, 400, map[string]string{"error": "malformed"})
				return
			}
			for _, id := range v.Berths {
				if m := c.find(id); m != nil && !m.gone {
					m.gone = true
					m.worker.die()
					if m.worker.recall == nil { // its place can be rented again
						c.room[m.kind()]++
					}
					c.w.logf("cloud: %s deleted", id)
				}
			}
			reply(out, 200, struct{}{})
		default:
			reply(out, 404, nil)
		}
	})
}

func (c *Cloud) list(out http.ResponseWriter, r *http.Request) {
	lag := time.Duration(c.w.set.ListLag * float64(time.Second))
	var list []listed
	for _, s := range c.snapshots {
		if time.Since(s.at) >= lag {
			list = s.list
		}
	}
	limit, _ := strconv.Atoi(r.URL.Query().Get("page"))
	after := r.URL.Query().Get("after")
	i := sort.Search(len(list), func(i int) bool { return list[i].UID > after })
	list = list[i:]
	reply(out, 200, map[string]any{"berths": append([]listed{}, list[:min(limit, len(list))]...), "truncated": len(list) > limit})
}

func (c *Cloud) rent(out http.ResponseWriter, body []byte) {
	var v struct {
		Hire    string `json:"hire"`
		Build   string `json:"build"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		Count   int    `json:"count"`
	}
	if json.Unmarshal(body, &v) != nil || v.Count < 1 || v.Count > 50 {
		reply(out, 400, map[string]string{"error": "malformed"})
		return
	}
	ids, known := c.hires[v.Hire]
	if !known {
		kind := fmt.Sprintf("%s/%v", v.Yard, v.Loaners)
		n := min(v.Count, c.room[kind])
		c.w.logf("cloud: rental of %d in %s: %d", v.Count, kind, n)
		if n == 0 {
			reply(out, 503, map[string]string{"error": "no capacity"})
			return
		}
		c.room[kind] -= n
		for range n {
			ids = append(ids, c.add(v.Build, v.Yard, v.Loaners, c.boot()).id)
		}
		c.hires[v.Hire] = ids
	}
	reply(out, 200, map[string]any{"berths": ids})
}
