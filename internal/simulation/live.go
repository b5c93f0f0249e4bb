package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
)

// Loopback runs a world's stand-ins in real time on loopback, for controllers that are
// processes or owners of their own: every worker has an address, reports by HTTP and is
// called by HTTP, as the key-value store, the cloud and the users are.
type Loopback struct {
	mu               sync.Mutex
	w                *World
	startedAt        time.Time
	client           *http.Client
	servers          []*httptest.Server
	state            *httptest.Server
	cloud            *httptest.Server
	requestAddresses []string          // where the controllers take requests
	peerAddresses    map[string]string // and those of their peers, by name
	stop             context.CancelFunc
}

// loopbackTick is how often events of the world that are due are carried out.
const loopbackTick = 3 * time.Millisecond

// NewLoopback makes a world whose controllers are elsewhere. Its workers are logged.
func NewLoopback(seed uint64, shape Shape) *Loopback {
	v := &Loopback{peerAddresses: map[string]string{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * shape.Machines}}}
	v.state = v.serve(func(r *http.Request, body []byte, answer responseFunc) {
		v.w.store.serve(r.Method, r.URL.RequestURI(), body, &controller{}, answer)
	})
	v.cloud = v.serve(func(r *http.Request, body []byte, answer responseFunc) {
		v.w.cloud.serve(r.Method, r.URL.RequestURI(), body, answer)
	})
	v.w = newWorld(seed, nil, shape, v)
	for _, c := range v.w.nodes {
		v.requestAddresses = append(v.requestAddresses, freeAddress())
		v.peerAddresses[c.name] = freeAddress()
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.stop, v.startedAt = cancel, time.Now()
	go v.run(ctx)
	return v
}

// Close ends everything.
func (v *Loopback) Close() {
	v.stop()
	for _, s := range v.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// Controllers is how many controllers there are.
func (v *Loopback) Controllers() int { return len(v.requestAddresses) }

// Config is the settings of one of the controllers.
func (v *Loopback) Config(i int) *config.Config {
	c := v.w.config(v.w.nodes[i].name)
	c.Listen, c.PeerListen = v.requestAddresses[i], v.peerAddresses[string(c.Name)]
	c.Endpoints = config.Endpoints{State: v.state.Listener.Addr().String(), Cloud: v.cloud.Listener.Addr().String()}
	for k := range c.Peers {
		c.Peers[k].Addr = v.peerAddresses[string(c.Peers[k].Name)]
	}
	return c
}

// Do does something with the world while nothing else happens in it.
func (v *Loopback) Do(do func(w *World)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.w.Run(time.Since(v.startedAt) - v.w.elapsed())
	do(v.w)
}

// run carries out what is due until the world is closed.
func (v *Loopback) run(ctx context.Context) {
	tick := time.NewTicker(loopbackTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			v.Do(func(*World) {})
		}
	}
}

// serve starts a server on loopback whose requests are answered by a stand-in, at once
// or later.
func (v *Loopback) serve(handle func(r *http.Request, body []byte, answer responseFunc)) *httptest.Server {
	type reply struct {
		status int
		body   []byte
	}
	s := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		replies := make(chan reply, 1)
		v.Do(func(*World) {
			handle(r, body, func(status int, body []byte) {
				select {
				case replies <- reply{status, body}:
				default:
				}
			})
		})
		select {
		case a := <-replies:
			out.WriteHeader(a.status)
			out.Write(a.body)
		case <-r.Context().Done():
		}
	}))
	v.servers = append(v.servers, s)
	return s
}

// address gives a machine its worker's address.
func (v *Loopback) address(id protocol.MachineID) string {
	s := v.serve(func(r *http.Request, body []byte, answer responseFunc) {
		if agent := v.w.agents[id]; agent != nil {
			agent.serve(r.Method, r.URL.Path, body, answer)
		}
	})
	return s.Listener.Addr().String()
}

// ask sends a user's or worker's request to a controller.
func (v *Loopback) ask(node int, timeout time.Duration, event coordination.Event, done responseFunc) {
	method, path, body := "POST", "", []byte(nil)
	switch e := event.(type) {
	case coordination.AgentHeartbeat:
		path, body = protocol.PathHeartbeat, encode(e.Heartbeat)
	case coordination.Submit:
		path, body = protocol.PathJobs, encode(e.Job)
	case coordination.StatusQuery:
		method, path = "GET", protocol.PathJobs+"/"+string(e.Job)
	case coordination.Cancel:
		path = protocol.PathJobs + "/" + string(e.Job) + "/" + protocol.CancelAction
	}
	go func() {
		status, answer := v.fetch(method, "http://"+v.requestAddresses[node]+path, timeout, body)
		v.Do(func(*World) { done(status, answer) })
	}()
}

// fetch makes a request; status 0: no answer came in time.
func (v *Loopback) fetch(method, url string, timeout time.Duration, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := v.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	if answer, err = io.ReadAll(resp.Body); err != nil || !json.Valid(answer) {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// freeAddress is an address on loopback that nothing listens on.
func freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}
