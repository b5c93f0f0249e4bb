package transport

import (
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

// newStoppedController makes an owner whose loop never runs.
func newStoppedController() *Controller {
	cfg := &config.Config{Name: "n0", Operator: tuning.Defaults()}
	log := slog.New(slog.DiscardHandler)
	return NewController(cfg, log, coordination.New(cfg, log, 1, "boot"))
}

// heartbeatEvent is the event of an empty heartbeat that came with a request.
func heartbeatEvent(id uint64) coordination.Event {
	return coordination.AgentHeartbeat{ID: id, Heartbeat: &protocol.Heartbeat{}}
}

// TestUserRequestsAreShedWhenTheQueueIsFull: when the owner does not keep up, users are turned away at once
// while workers' reports still find room.
func TestUserRequestsAreShedWhenTheQueueIsFull(t *testing.T) {
	o := newStoppedController()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range tuning.MinUserQueueLength {
		go o.server.awaitReply(ctx, o.loop.queues.users, time.Minute, func(id uint64) coordination.Event { return coordination.StatusQuery{ID: id, Job: "run-1"} })
	}
	eventually(t, "the queue is full", func() bool { return len(o.loop.queues.users) == tuning.MinUserQueueLength })
	if r := o.server.awaitReply(ctx, o.loop.queues.users, time.Minute, func(id uint64) coordination.Event { return coordination.StatusQuery{ID: id} }); r.Status != 503 || r.RetryAfter == 0 {
		t.Errorf("one too many gets %+v", r)
	}
	// A submission is then refused before its body is read.
	body := &countingReader{}
	w := httptest.NewRecorder()
	o.server.handler().ServeHTTP(w, httptest.NewRequest("POST", protocol.PathJobs, body))
	if w.Code != 503 || w.Header().Get("Retry-After") == "" || body.reads > 0 {
		t.Errorf("a submission gets %d, Retry-After %q, after %d reads", w.Code, w.Header().Get("Retry-After"), body.reads)
	}
	go o.server.awaitReply(ctx, o.loop.queues.heartbeats, time.Minute, heartbeatEvent)
	eventually(t, "the report is queued", func() bool { return len(o.loop.queues.heartbeats) == 1 })
}

// TestHeartbeatsAreAcceptedDuringAQueryFlood: stalled connections and a flood of polls for jobs that nobody knows
// leave every worker's report its answer; each poll has one, too.
func TestHeartbeatsAreAcceptedDuringAQueryFlood(t *testing.T) {
	cfg, _ := startController(t, true, 0)
	eventually(t, "ready", isReady(t, cfg))
	for range 100 {
		conn, err := net.Dial("tcp", cfg.Listen)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprint(conn, "GET /v2/runs/run-1 HTTP/1.1\r\nHost:")
	}
	var polls sync.WaitGroup
	var wrong atomic.Int32
	for i := range 16 {
		polls.Add(1)
		go func() {
			defer polls.Done()
			for k := range 40 {
				if status, _, _ := call(t, cfg, "GET", fmt.Sprintf("/v2/runs/run-%06d", 100*i+k), ""); status != 404 && status != 503 {
					wrong.Add(1)
				}
			}
		}()
	}
	eventually(t, "a report is answered with 200", acceptsHeartbeat(t, cfg, heartbeatBody("i-1", "big", 1)))
	for seq := range 40 {
		began := time.Now()
		status, body, _ := call(t, cfg, "POST", protocol.PathHeartbeat, heartbeatBody("i-1", "big", seq+1000))
		if took := time.Since(began); status != 200 || took > 4*time.Second {
			t.Fatalf("report %d: %d %s after %v", seq, status, body, took)
		}
	}
	polls.Wait()
	if n := wrong.Load(); n > 0 {
		t.Errorf("%d polls have neither 404 nor 503", n)
	}
}

// TestMoreAgentsThanSockets: a fleet of more workers than the process has
// sockets has every report answered, and users and health checks are not kept
// waiting: beyond their share connections are closed after the answer.
func TestMoreAgentsThanSockets(t *testing.T) {
	const sockets, workers, users = 100, 200, 60
	cfg, _ := startController(t, true, sockets)
	eventually(t, "ready", isReady(t, cfg))
	var clients sync.WaitGroup
	var served atomic.Int32
	stop := make(chan struct{})
	// loop sends a request again and again over a connection that is kept for as
	// long as the server keeps it.
	loop := func(request func(i int) (method, path, body string)) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			// Far longer than an answer takes on a busy machine; who finds no socket
			// would wait for ever.
			client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
			defer client.CloseIdleConnections()
			answers := 0
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
				if answers++; answers == 3 {
					served.Add(1)
				}
			}
		}()
	}
	for k := range workers {
		loop(func(i int) (string, string, string) {
			return "POST", protocol.PathHeartbeat, heartbeatBody(fmt.Sprint("i-", 100+k), "big", i+1)
		})
	}
	for range users {
		loop(func(int) (string, string, string) { return "GET", "/v2/runs/run-000009", "" })
	}
	t.Cleanup(clients.Wait)
	t.Cleanup(func() { close(stop) })
	eventually(t, "every worker and user is answered three times", func() bool { return served.Load() == workers+users })
	for range 5 {
		eventually(t, "health checks are answered", isReady(t, cfg))
	}
}

// TestResponsesGoBeforeHeartbeats: the renewal of the leader lease is not behind the reports of a
// whole fleet: answers to what the node asked are taken first.
func TestResponsesGoBeforeHeartbeats(t *testing.T) {
	o := newStoppedController()
	for range 2 * tuning.MaxUrgentEventsPerBatch {
		o.loop.queues.heartbeats <- coordination.AgentHeartbeat{Heartbeat: &protocol.Heartbeat{}}
	}
	o.loop.queues.responses <- coordination.Response{ID: 1}
	batch := o.loop.fillBatch(nil)
	if _, ok := batch[0].(coordination.Response); !ok || len(batch) != 1+tuning.MaxUrgentEventsPerBatch {
		t.Errorf("a batch of %d begins with %T", len(batch), batch[0])
	}
}

// countingReader counts how often it is read.
type countingReader struct{ reads int }

func (r *countingReader) Read([]byte) (int, error) {
	r.reads++
	return 0, io.EOF
}

// TestAbandonedRequestsAreSkipped: a node that has fallen behind does no work for requests whose
// askers have given up; what nobody asked for in this way it does take.
func TestAbandonedRequestsAreSkipped(t *testing.T) {
	o := newStoppedController()
	gone, leave := context.WithCancel(context.Background())
	here, end := context.WithCancel(context.Background())
	defer end()
	for _, ctx := range []context.Context{gone, here} {
		for range 3 {
			go o.server.awaitReply(ctx, o.loop.queues.heartbeats, time.Minute, heartbeatEvent)
			go o.server.awaitReply(ctx, o.loop.queues.users, time.Minute, func(id uint64) coordination.Event { return coordination.StatusQuery{ID: id} })
		}
	}
	o.loop.queues.responses <- coordination.Response{ID: 99}
	eventually(t, "all are queued", func() bool { return len(o.loop.queues.heartbeats) == 6 && len(o.loop.queues.users) == 6 })
	leave()
	eventually(t, "three of each have gone", func() bool {
		pending := o.loop.pending
		pending.mu.Lock()
		defer pending.mu.Unlock()
		return len(pending.replies) == 6
	})
	if batch := o.loop.fillBatch(nil); len(batch) != 7 {
		t.Errorf("a batch of %d, want the answer and six requests", len(batch))
	}
}
