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

// statusNoResponse is the status of a Response if none arrived from the external system.
const statusNoResponse = 0

// errResponseTooLarge means that a response was cut off at the size limit. The response to a
// repeated request would be cut off again.
var errResponseTooLarge = errors.New("response exceeds the size limit")

// endpoint is an external system: its address and the client that calls it.
type endpoint struct {
	baseURL string // scheme and address, without a path
	client  *http.Client
}

// clients send the node's requests to the external systems. Every request leads to exactly one
// Response in the event loop's queue, unless the context ends.
type clients struct {
	store          endpoint
	leaderLease    endpoint // the store; separate, so that renewals wait for no other request
	cloud          endpoint
	agents         *http.Client
	agentCallSlots chan struct{} // one element for each call to an agent in progress
	responses      chan<- coordination.Event
	running        sync.WaitGroup // requests in progress
}

func newClients(cfg *config.Config, responses chan<- coordination.Event) *clients {
	socketLimit := cfg.Cluster.Process.FDLimit
	externalClient := newHTTPClient(2*tuning.MaxConnectionsPerHost, tuning.MaxConnectionsPerHost)
	storeURL := "http://" + cfg.Endpoints.State
	return &clients{
		store:       endpoint{storeURL, externalClient},
		leaderLease: endpoint{storeURL, newHTTPClient(1, 1)},
		cloud:       endpoint{"http://" + cfg.Endpoints.Cloud, externalClient},
		agents:      newHTTPClient(max(tuning.MinConnections, int(float64(socketLimit)*tuning.AgentIdleConnectionShare)), 1),
		// The node limits its calls to the same share. The channel enforces this whatever the
		// node does.
		agentCallSlots: make(chan struct{}, max(tuning.MinConcurrentAgentCalls, int(float64(socketLimit)*tuning.AgentCallConnectionShare))),
		responses:      responses,
	}
}

// newHTTPClient returns a client that keeps up to maxIdle idle connections, and up to
// maxIdlePerHost of them to one host.
func newHTTPClient(maxIdle, maxIdlePerHost int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: tuning.DialTimeout, KeepAlive: noKeepAlive}).DialContext,
			MaxIdleConns:        maxIdle,
			MaxIdleConnsPerHost: maxIdlePerHost,
			MaxConnsPerHost:     tuning.MaxConnectionsPerHost,
			IdleConnTimeout:     tuning.ClientIdleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// start sends a request in a goroutine that ends with the response, the time-out or the context.
func (c *clients) start(ctx context.Context, r coordination.Request) {
	c.running.Go(func() { c.call(ctx, r) })
}

// close waits for the requests in progress, whose context has ended, and closes all connections.
func (c *clients) close() {
	c.running.Wait()
	for _, client := range []*http.Client{c.store.client, c.leaderLease.client, c.cloud.client, c.agents} {
		client.CloseIdleConnections()
	}
}

// call sends a request and queues the Response for the event loop.
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
		response.Status = statusNoResponse // the request may have been executed or not
	default:
		response.Status, response.Body = status, body
	}
	select {
	case c.responses <- response:
	case <-ctx.Done():
	}
}

// endpoint returns where a request is sent.
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

// roundTrip sends a request and returns the response, whatever its status.
func (c *clients) roundTrip(ctx context.Context, r coordination.Request) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	target := c.endpoint(r)
	var requestBody io.Reader
	if r.Body != nil {
		requestBody = bytes.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target.baseURL+r.Path, requestBody)
	if err != nil {
		return 0, nil, fmt.Errorf("create request %s %s: %w", r.Method, r.Path, err)
	}
	if r.Body != nil {
		req.Header.Set("Content-Type", "application/json")
		// Without GetBody, the HTTP client does not resend the request by itself: only requests
		// that are safe to repeat may be resent.
		req.GetBody = nil
	}
	resp, err := target.client.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	body, err = readAll(io.LimitReader(resp.Body, tuning.MaxResponseBytes), resp.ContentLength, protocol.MaxBodyBytes)
	if err != nil {
		return 0, nil, fmt.Errorf("read response to %s %s: %w", r.Method, r.Path, err)
	}
	if len(body) == tuning.MaxResponseBytes {
		return 0, nil, fmt.Errorf("read response to %s %s: %w", r.Method, r.Path, errResponseTooLarge)
	}
	return resp.StatusCode, body, nil
}

// readAll reads a body. It allocates a buffer of the announced length in advance, because a buffer
// that grows step by step takes several times the memory. The length is negative if none was
// announced. It is not trusted beyond maxPreallocation bytes.
func readAll(r io.Reader, announcedLength, maxPreallocation int64) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(int(min(max(announcedLength, 0), maxPreallocation)) + bytes.MinRead)
	_, err := b.ReadFrom(r)
	return b.Bytes(), err
}
