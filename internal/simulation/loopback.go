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

// Loopback runs a world's stand-ins in real time on loopback, for controllers that run outside the
// world, in processes or event loops of their own. The store and the cloud are HTTP servers. Every
// agent has an address of its own, sends heartbeats by HTTP and is called by HTTP. Users send their
// requests by HTTP.
type Loopback struct {
	mu               sync.Mutex
	w                *World
	startedAt        time.Time
	client           *http.Client
	servers          []*httptest.Server
	storeServer      *httptest.Server
	cloud            *httptest.Server
	requestAddresses []string          // by controller, where it listens for users and agents
	peerAddresses    map[string]string // by controller name, where it listens for peers
	stop             context.CancelFunc
}

// loopbackTick is the interval at which the world runs its due events.
const loopbackTick = 3 * time.Millisecond

// NewLoopback starts a world whose controllers run outside it. The world's Audit follows its
// agents.
func NewLoopback(seed uint64, shape Shape) *Loopback {
	v := &Loopback{peerAddresses: map[string]string{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * shape.Machines}}}
	v.storeServer = v.serve(func(r *http.Request, body []byte, respond responseFunc) {
		v.w.store.serve(r.Method, r.URL.RequestURI(), body, &controller{}, respond)
	})
	v.cloud = v.serve(func(r *http.Request, body []byte, respond responseFunc) {
		v.w.cloud.serve(r.Method, r.URL.RequestURI(), body, respond)
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

// Close stops the world and its servers.
func (v *Loopback) Close() {
	v.stop()
	for _, s := range v.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// Controllers returns the number of controllers.
func (v *Loopback) Controllers() int { return len(v.requestAddresses) }

// Config returns the settings of controller i.
func (v *Loopback) Config(i int) *config.Config {
	c := v.w.config(v.w.nodes[i].name)
	c.Listen, c.PeerListen = v.requestAddresses[i], v.peerAddresses[string(c.Name)]
	c.Endpoints = config.Endpoints{State: v.storeServer.Listener.Addr().String(), Cloud: v.cloud.Listener.Addr().String()}
	for k := range c.Peers {
		c.Peers[k].Addr = v.peerAddresses[string(c.Peers[k].Name)]
	}
	return c
}

// Do runs the world's due events and then calls do, with exclusive access to the world.
func (v *Loopback) Do(do func(w *World)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.w.Run(time.Since(v.startedAt) - v.w.elapsed())
	do(v.w)
}

// run runs the world's due events until ctx is done.
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

// serve starts a server on loopback. handle passes each request to a stand-in, which responds at
// once or later.
func (v *Loopback) serve(handle func(r *http.Request, body []byte, respond responseFunc)) *httptest.Server {
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

// address starts a server for a machine's agent and returns its address.
func (v *Loopback) address(id protocol.MachineID) string {
	s := v.serve(func(r *http.Request, body []byte, respond responseFunc) {
		if agent := v.w.agents[id]; agent != nil {
			agent.serve(r.Method, r.URL.Path, body, respond)
		}
	})
	return s.Listener.Addr().String()
}

// ask sends a request of a user or agent to a controller.
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
		status, response := v.fetch(method, "http://"+v.requestAddresses[node]+path, timeout, body)
		v.Do(func(*World) { done(status, response) })
	}()
}

// fetch makes an HTTP request. It returns status 0 if no valid response came in time.
func (v *Loopback) fetch(method, url string, timeout time.Duration, body []byte) (status int, response []byte) {
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
	if response, err = io.ReadAll(resp.Body); err != nil || !json.Valid(response) {
		return 0, nil
	}
	return resp.StatusCode, response
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}
