package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// statusNoResponse stands for the status of an answer that did not come.
const statusNoResponse = 0

// errResponseTooLarge says that an answer was cut short; the same request's would be again.
var errResponseTooLarge = errors.New("the answer is larger than any may be")

// endpoint is an outside system: where it is and the client that calls it.
type endpoint struct {
	baseURL string // of its URLs
	client  *http.Client
}

// clients carry out the node's requests to outside systems and to agents. Every request
// ends in exactly one Response on the event loop's queue, unless the context ends.
type clients struct {
	store          endpoint
	leaderLease    endpoint // the store: renewals of the leader lease wait for no other request
	cloud          endpoint
	agents         *http.Client
	agentCallSlots chan struct{} // one for each call to an agent under way
	responses      chan<- coordination.Event
	running        sync.WaitGroup // requests under way
}

func newClients(cfg *config.Config, responses chan<- coordination.Event) *clients {
	sockets := cfg.Cluster.Process.FDLimit
	outside := newHTTPClient(2*tuning.MaxConnectionsPerHost, tuning.MaxConnectionsPerHost)
	storeURL := "http://" + cfg.Endpoints.State
	return &clients{
		store:       endpoint{storeURL, outside},
		leaderLease: endpoint{storeURL, newHTTPClient(1, 1)},
		cloud:       endpoint{"http://" + cfg.Endpoints.Cloud, outside},
		agents:      newHTTPClient(max(tuning.MinConnections, int(float64(sockets)*tuning.AgentIdleConnectionShare)), 1),
		// The node bounds its calls by the same share; this holds whatever it does.
		agentCallSlots: make(chan struct{}, max(tuning.MinConcurrentAgentCalls, int(float64(sockets)*tuning.AgentCallConnectionShare))),
		responses:      responses,
	}
}

// newHTTPClient makes a client that keeps so many idle connections, and so many to one host.
func newHTTPClient(idle, idlePerHost int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: tuning.DialTimeout, KeepAlive: noKeepAlive}).DialContext,
			MaxIdleConns:        idle,
			MaxIdleConnsPerHost: idlePerHost,
			MaxConnsPerHost:     tuning.MaxConnectionsPerHost,
			IdleConnTimeout:     tuning.ClientIdleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// start carries out a request in a goroutine that ends with its answer, its time-out or
// the context.
func (c *clients) start(ctx context.Context, r coordination.Request) {
	c.running.Go(func() { c.call(ctx, r) })
}

// close waits for the requests under way, whose context has ended, and closes all
// connections.
func (c *clients) close() {
	c.running.Wait()
	for _, client := range []*http.Client{c.store.client, c.leaderLease.client, c.cloud.client, c.agents} {
		client.CloseIdleConnections()
	}
}

// call carries out a request and hands in its response.
func (c *clients) call(ctx context.Context, r coordination.Request) {
	if r.To == coordination.ToAgent {
		select {
		case c.agentCallSlots <- struct{}{}:
			defer func() { <-c.agentCallSlots }()
		case <-ctx.Done():
			return
		}
	}
	response := coordination.Response{ID: r.ID}
	status, body, err := c.roundTrip(ctx, r)
	switch {
	case errors.Is(err, errResponseTooLarge):
		response.Status = http.StatusRequestEntityTooLarge
	case err != nil:
		response.Status = statusNoResponse // it may have been carried out or not
	default:
		response.Status, response.Body = status, body
	}
	select {
	case c.responses <- response:
	case <-ctx.Done():
	}
}

// endpoint is where a request goes.
func (c *clients) endpoint(r coordination.Request) endpoint {
	switch r.To {
	case coordination.ToLeaderLease:
		return c.leaderLease
	case coordination.ToCloud:
		return c.cloud
	case coordination.ToAgent:
		return endpoint{"http://" + r.Address, c.agents}
	}
	return c.store
}

// roundTrip sends a request and reads its answer, whatever its status.
func (c *clients) roundTrip(ctx context.Context, r coordination.Request) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	to := c.endpoint(r)
	var in io.Reader
	if r.Body != nil {
		in = bytes.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, to.baseURL+r.Path, in)
	if err != nil {
		return 0, nil, fmt.Errorf("make request %s %s: %w", r.Method, r.Path, err)
	}
	if r.Body != nil {
		req.Header.Set("Content-Type", "application/json")
		// Only requests that may be repeated are sent again by the client.
		req.GetBody = nil
	}
	resp, err := to.client.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	body, err = readAll(io.LimitReader(resp.Body, tuning.MaxResponseBytes), resp.ContentLength, protocol.MaxBodyBytes)
	if err != nil {
		return 0, nil, fmt.Errorf("read answer to %s %s: %w", r.Method, r.Path, err)
	}
	if len(body) == tuning.MaxResponseBytes {
		return 0, nil, fmt.Errorf("read answer to %s %s: %w", r.Method, r.Path, errResponseTooLarge)
	}
	return resp.StatusCode, body, nil
}

// readAll reads a body of about the announced length, which is negative if none
// was: a buffer that grows by and by takes several times the memory. No more than
// most is taken on trust.
func readAll(r io.Reader, length, most int64) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(int(min(max(length, 0), most)) + bytes.MinRead)
	_, err := b.ReadFrom(r)
	return b.Bytes(), err
}
