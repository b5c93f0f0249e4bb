package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/net/netutil"
)

// maxHeaderBytes bounds the headers of one request.
const maxHeaderBytes = 16 << 10

// httpServer answers users, agents, the load balancer and operators.
type httpServer struct {
	address     string
	log         *slog.Logger
	queues      *eventQueues
	pending     *pendingRequests
	connections *connectionLimits
	metrics     *metrics
	ready       func() bool
}

// listen opens the server's listener, which has no more connections than it may.
func (s *httpServer) listen(ctx context.Context) (net.Listener, error) {
	listener, err := listen(ctx, s.address)
	if err != nil {
		return nil, fmt.Errorf("listen for users and agents: %w", err)
	}
	if s.connections.maxOpen > 0 {
		listener = netutil.LimitListener(listener, s.connections.maxOpen)
	}
	return listener, nil
}

// serve answers until the context ends, which is no error, or the listener fails. Then it
// closes the listener and all connections.
func (s *httpServer) serve(ctx context.Context, listener net.Listener) error {
	srv := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: tuning.RequestReadTimeout,
		ReadTimeout:       tuning.RequestReadTimeout,
		WriteTimeout:      tuning.RequestReadTimeout + tuning.ReplyTimeout,
		IdleTimeout:       tuning.ServerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.connections.track,
	}
	defer srv.Close()
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve users and agents: %w", err)
	}
	return nil
}

func (s *httpServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PathJobs, s.handleSubmit)
	mux.HandleFunc("GET "+protocol.PathJobs+"/{id}", s.handleQuery)
	mux.HandleFunc("POST "+protocol.PathJobs+"/{id}/"+protocol.CancelAction, s.handleCancel)
	mux.HandleFunc("POST "+protocol.PathHeartbeat, s.handleHeartbeat)
	mux.HandleFunc("GET "+protocol.PathReady, s.handleReady)
	mux.Handle("GET "+protocol.PathMetrics, s.metrics.handler())
	return mux
}

// readBody reads a request's body, or answers why it does not.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := readAll(http.MaxBytesReader(w, r.Body, protocol.MaxBodyBytes), r.ContentLength, tuning.MaxBodyPreallocationBytes)
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			writeError(w, http.StatusRequestEntityTooLarge, "larger than 64 KiB")
		} else {
			writeError(w, http.StatusBadRequest, "body cannot be read")
		}
		return nil, false
	}
	return body, true
}

// writeError answers a request that is not served, and why.
func writeError(w http.ResponseWriter, status int, why string) {
	writeJSON(w, status, storage.Encode(protocol.ErrorBody{Error: why}))
}

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

// writeReply writes the node's reply.
func writeReply(w http.ResponseWriter, r coordination.Reply) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds(r.RetryAfter)))
	}
	if r.Body == nil {
		writeError(w, r.Status, http.StatusText(r.Status))
		return
	}
	writeJSON(w, r.Status, r.Body)
}

// retryAfterSeconds writes a pause as the header's whole seconds.
func retryAfterSeconds(d time.Duration) int { return max(1, int((d+time.Second-1)/time.Second)) }

// shed is the answer when there is too much to do.
func (s *httpServer) shed() coordination.Reply {
	s.metrics.shedRequests.Inc()
	return coordination.Reply{Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
}

// awaitReply hands a request to the event loop and waits for its reply: 503 if too many wait,
// 504 if none comes in time.
func (s *httpServer) awaitReply(ctx context.Context, queue chan<- coordination.Event, limit time.Duration, event func(id uint64) coordination.Event) coordination.Reply {
	id, reply := s.pending.register()
	defer s.pending.remove(id)
	select {
	case queue <- event(id):
	default:
		return s.shed()
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case r := <-reply:
		return r
	case <-timer.C:
	case <-ctx.Done():
	}
	return coordination.Reply{Status: http.StatusGatewayTimeout}
}

func (s *httpServer) handleSubmit(w http.ResponseWriter, r *http.Request) {
	s.connections.closeIfAbove(s.connections.userKeepAliveLimit, w)
	if len(s.queues.users) == cap(s.queues.users) {
		writeReply(w, s.shed()) // before anything is spent on its body
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	job, err := protocol.ParseJob(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	writeReply(w, s.awaitReply(r.Context(), s.queues.users, tuning.ReplyTimeout, func(id uint64) coordination.Event {
		return coordination.Submit{ID: id, Job: job}
	}))
}

// handleJobRequest asks the owner about the job that the path names.
func (s *httpServer) handleJobRequest(w http.ResponseWriter, r *http.Request, event func(id uint64, jobID protocol.JobID) coordination.Event) {
	s.connections.closeIfAbove(s.connections.userKeepAliveLimit, w)
	jobID := protocol.JobID(r.PathValue("id"))
	if !protocol.ValidJobID(jobID) {
		writeError(w, http.StatusNotFound, "no such job")
		return
	}
	writeReply(w, s.awaitReply(r.Context(), s.queues.users, tuning.ReplyTimeout, func(id uint64) coordination.Event {
		return event(id, jobID)
	}))
}

func (s *httpServer) handleQuery(w http.ResponseWriter, r *http.Request) {
	s.handleJobRequest(w, r, func(id uint64, jobID protocol.JobID) coordination.Event {
		return coordination.StatusQuery{ID: id, Job: jobID}
	})
}

func (s *httpServer) handleCancel(w http.ResponseWriter, r *http.Request) {
	s.handleJobRequest(w, r, func(id uint64, jobID protocol.JobID) coordination.Event {
		return coordination.Cancel{ID: id, Job: jobID}
	})
}

func (s *httpServer) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	s.connections.closeIfAbove(s.connections.agentKeepAliveLimit, w)
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	heartbeat, err := protocol.ParseHeartbeat(body)
	if err != nil {
		s.log.Error("heartbeat refused", "error", err)
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	writeReply(w, s.awaitReply(r.Context(), s.queues.heartbeats, tuning.ReplyTimeout, func(id uint64) coordination.Event {
		return coordination.AgentHeartbeat{ID: id, Heartbeat: heartbeat}
	}))
}

func (s *httpServer) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
		writeError(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	writeJSON(w, http.StatusOK, []byte(`{}`))
}
