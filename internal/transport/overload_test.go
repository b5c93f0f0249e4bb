package transport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// newStoppedController returns a controller whose event loop never runs.
func newStoppedController() *Controller {
	cfg := &config.Config{Name: "n0", Operator: tuning.Defaults()}
	log := slog.New(slog.DiscardHandler)
	return NewController(cfg, log, coordination.New(cfg, log, 1, "boot"))
}

// heartbeatEvent returns the event of an empty heartbeat that came with the request of this ID.
func heartbeatEvent(id uint64) coordination.Event {
	return coordination.AgentHeartbeat{ID: id, Heartbeat: &protocol.Heartbeat{}}
}

// TestUserRequestsAreShedWhenTheQueueIsFull checks that users' requests are rejected at once when
// the event loop does not keep up, while there is still room for agents' heartbeats.
func TestUserRequestsAreShedWhenTheQueueIsFull(t *testing.T) {
	c := newStoppedController()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range tuning.MinUserQueueLength {
		go c.server.awaitReply(ctx, c.loop.queues.users, time.Minute, func(id uint64) coordination.Event { return coordination.StatusQuery{ID: id, Job: "run-1"} })
	}
	eventually(t, "the users' queue is full", func() bool { return len(c.loop.queues.users) == tuning.MinUserQueueLength })
	if r := c.server.awaitReply(ctx, c.loop.queues.users, time.Minute, func(id uint64) coordination.Event { return coordination.StatusQuery{ID: id} }); r.Status != 503 || r.RetryAfter == 0 {
		t.Errorf("request beyond the queue's length: got %+v", r)
	}
	// While the queue is full, a submission is rejected before its body is read.
	body := &countingReader{}
	w := httptest.NewRecorder()
	c.server.handler().ServeHTTP(w, httptest.NewRequest("POST", protocol.PathJobs, body))
	if w.Code != 503 || w.Header().Get("Retry-After") == "" || body.reads > 0 {
		t.Errorf("submission: status %d, Retry-After %q, after %d reads of the body", w.Code, w.Header().Get("Retry-After"), body.reads)
	}
	go c.server.awaitReply(ctx, c.loop.queues.heartbeats, time.Minute, heartbeatEvent)
	eventually(t, "the heartbeat is queued", func() bool { return len(c.loop.queues.heartbeats) == 1 })
}

// TestHeartbeatsAreAcceptedDuringAQueryFlood checks that every heartbeat is accepted in time in
// spite of stalled connections and a flood of status queries for unknown jobs. Every query gets a
// response, too.
func TestHeartbeatsAreAcceptedDuringAQueryFlood(t *testing.T) {
	cfg, _ := startController(t, true, 0)
	eventually(t, "the controller is ready", isReady(t, cfg))
	for range 100 {
		conn, err := net.Dial("tcp", cfg.Listen)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprint(conn, "GET /v2/runs/run-1 HTTP/1.1\r\nHost:")
	}
	var queries sync.WaitGroup
	var unexpected atomic.Int32
	for i := range 16 {
		queries.Add(1)
		go func() {
			defer queries.Done()
			for k := range 40 {
				if status, _, _ := call(t, cfg, "GET", fmt.Sprintf("/v2/runs/run-%06d", 100*i+k), ""); status != 404 && status != 503 {
					unexpected.Add(1)
				}
			}
		}()
	}
	eventually(t, "a heartbeat is accepted", acceptsHeartbeat(t, cfg, heartbeatBody("i-1", "big", 1)))
	for seq := range 40 {
		began := time.Now()
		status, body, _ := call(t, cfg, "POST", protocol.PathHeartbeat, heartbeatBody("i-1", "big", seq+1000))
		if took := time.Since(began); status != 200 || took > 4*time.Second {
			t.Fatalf("heartbeat %d: status %d, %s after %v", seq, status, body, took)
		}
	}
	queries.Wait()
	if n := unexpected.Load(); n > 0 {
		t.Errorf("%d status queries got neither 404 nor 503", n)
	}
}

// TestMoreAgentsThanSockets checks that all agents of a fleet with more agents than the process has
// sockets get responses to their heartbeats, and that users and health checks do not starve:
// connections beyond the limits are closed after the response.
func TestMoreAgentsThanSockets(t *testing.T) {
	const sockets, agents, users = 100, 200, 60
	cfg, _ := startController(t, true, sockets)
	eventually(t, "the controller is ready", isReady(t, cfg))
	var clients sync.WaitGroup
	var servedClients atomic.Int32
	stop := make(chan struct{})
	// startClient starts a client that sends requests repeatedly, over one connection for as long
	// as the server keeps it open.
	startClient := func(request func(i int) (method, path, body string)) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			// The time-out is far longer than a response takes on a busy machine. Without it a
			// client that gets no socket would wait indefinitely.
			client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
			defer client.CloseIdleConnections()
			responses := 0
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				method, path, body := request(i)
				req, err := http.NewRequest(method, "http://"+cfg.Listen+path, strings.NewReader(body))
				if err != nil {
					t.Error(err)
					return
				}
				resp, err := client.Do(req)
				if err != nil {
					continue
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if responses++; responses == 3 {
					servedClients.Add(1)
				}
			}
		}()
	}
	for k := range agents {
		startClient(func(i int) (string, string, string) {
			return "POST", protocol.PathHeartbeat, heartbeatBody(fmt.Sprint("i-", 100+k), "big", i+1)
		})
	}
	for range users {
		startClient(func(int) (string, string, string) { return "GET", "/v2/runs/run-000009", "" })
	}
	t.Cleanup(clients.Wait)
	t.Cleanup(func() { close(stop) })
	eventually(t, "every agent and user has got three responses", func() bool { return servedClients.Load() == agents+users })
	for range 5 {
		eventually(t, "a health check succeeds", isReady(t, cfg))
	}
}

// TestResponsesGoBeforeHeartbeats checks that the event loop takes responses to the node's own
// requests first, so that the renewal of the leader lease does not wait behind the heartbeats of a
// whole fleet.
func TestResponsesGoBeforeHeartbeats(t *testing.T) {
	c := newStoppedController()
	for range 2 * tuning.MaxUrgentEventsPerBatch {
		c.loop.queues.heartbeats <- coordination.AgentHeartbeat{Heartbeat: &protocol.Heartbeat{}}
	}
	c.loop.queues.responses <- coordination.Response{ID: 1}
	batch := c.loop.fillBatch(nil)
	if _, ok := batch[0].(coordination.Response); !ok || len(batch) != 1+tuning.MaxUrgentEventsPerBatch {
		t.Errorf("batch of %d events begins with %T", len(batch), batch[0])
	}
}

// countingReader is an empty reader that counts the calls to Read.
type countingReader struct{ reads int }

func (r *countingReader) Read([]byte) (int, error) {
	r.reads++
	return 0, io.EOF
}

// TestAbandonedRequestsAreSkipped checks that a node that has fallen behind does no work for
// requests whose clients have given up. Events that belong to no request are still handled.
func TestAbandonedRequestsAreSkipped(t *testing.T) {
	c := newStoppedController()
	abandoned, abandon := context.WithCancel(context.Background())
	waiting, stopWaiting := context.WithCancel(context.Background())
	defer stopWaiting()
	for _, ctx := range []context.Context{abandoned, waiting} {
		for range 3 {
			go c.server.awaitReply(ctx, c.loop.queues.heartbeats, time.Minute, heartbeatEvent)
			go c.server.awaitReply(ctx, c.loop.queues.users, time.Minute, func(id uint64) coordination.Event { return coordination.StatusQuery{ID: id} })
		}
	}
	c.loop.queues.responses <- coordination.Response{ID: 99}
	eventually(t, "all requests are queued", func() bool { return len(c.loop.queues.heartbeats) == 6 && len(c.loop.queues.users) == 6 })
	abandon()
	eventually(t, "three requests of each kind are abandoned", func() bool {
		pending := c.loop.pending
		pending.mu.Lock()
		defer pending.mu.Unlock()
		return len(pending.replies) == 6
	})
	if batch := c.loop.fillBatch(nil); len(batch) != 7 {
		t.Errorf("batch of %d events, want the response and six requests", len(batch))
	}
}

// TestMalformedHeartbeatsDoNotFloodTheLog guards against senders that fill the log, and block the
// controller when nobody reads it as fast.
func TestMalformedHeartbeatsDoNotFloodTheLog(t *testing.T) {
	c := newStoppedController()
	var log bytes.Buffer
	c.server.log = slog.New(slog.NewTextHandler(&log, nil))
	for range 1000 {
		response := httptest.NewRecorder()
		c.server.handler().ServeHTTP(response, httptest.NewRequest("POST", protocol.PathHeartbeat, strings.NewReader("{")))
		if response.Code != http.StatusBadRequest {
			t.Fatalf("status %d, want 400", response.Code)
		}
	}
	if lines := strings.Count(log.String(), "heartbeat refused"); lines == 0 || lines > 2*tuning.UnlimitedRefusals {
		t.Errorf("%d lines for 1,000 malformed heartbeats", lines)
	}
}
