package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// clients carries out the node's requests to outside systems. Every request
// ends in exactly one Response on the owner's queue.
type clients struct {
	state, cloud string
	outside      *http.Client // state service and cloud
	leaderLease  *http.Client // state service, renewals of the leader lease: they wait for no other request
	workers      *http.Client
	calls        chan struct{} // calls to workers under way
	answers      chan<- coordination.Event
}

func newClients(cfg *config.Config, answers chan<- coordination.Event) *clients {
	client := func(idle int, perHost int) *http.Client {
		return &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: tuning.DialTimeout, KeepAlive: noKeepAlive}).DialContext,
				MaxIdleConns:        idle,
				MaxIdleConnsPerHost: perHost,
				MaxConnsPerHost:     tuning.MaxConnectionsPerHost,
				IdleConnTimeout:     tuning.ClientIdleTimeout,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return &clients{
		state: "http://" + cfg.Endpoints.State, cloud: "http://" + cfg.Endpoints.Cloud,
		outside:     client(2*tuning.MaxConnectionsPerHost, tuning.MaxConnectionsPerHost),
		leaderLease: client(1, 1),
		workers:     client(max(tuning.MinConnections, int(float64(cfg.Cluster.Resources.FDLimit)*tuning.AgentIdleConnectionShare)), 1),
		// The node bounds its calls by the same share; this holds whatever it does.
		calls:   make(chan struct{}, max(tuning.MinConcurrentAgentCalls, int(float64(cfg.Cluster.Resources.FDLimit)*tuning.AgentCallConnectionShare))),
		answers: answers,
	}
}

func (c *clients) call(r coordination.Request) {
	if r.To == coordination.ToAgent {
		c.calls <- struct{}{}
		defer func() { <-c.calls }()
	}
	status, body := c.fetch(r)
	c.answers <- coordination.Response{ID: r.ID, Status: status, Body: body}
}

func (c *clients) fetch(r coordination.Request) (status int, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	base, client := c.state, c.outside
	switch r.To {
	case coordination.ToLeaderLease:
		client = c.leaderLease
	case coordination.ToCloud:
		base = c.cloud
	case coordination.ToAgent:
		base, client = "http://"+r.Address, c.workers
	}
	var in io.Reader
	if r.Body != nil {
		in = bytes.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, base+r.Path, in)
	if err != nil {
		return 0, nil
	}
	if r.Body != nil {
		req.Header.Set("Content-Type", "application/json")
		// Only requests that may be repeated are sent again by the client.
		req.GetBody = nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, err = readAll(io.LimitReader(resp.Body, tuning.MaxResponseBytes), resp.ContentLength, protocol.MaxBody)
	if err != nil {
		return 0, nil
	}
	if len(body) == tuning.MaxResponseBytes {
		return http.StatusRequestEntityTooLarge, nil // cut short; the same request would be again
	}
	return resp.StatusCode, body
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

// retryAfter writes a pause as the header's whole seconds.
func retryAfter(d time.Duration) int { return max(1, int((d+time.Second-1)/time.Second)) }
