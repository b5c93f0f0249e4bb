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
	"golang.org/x/time/rate"
)

// maxHeaderBytes limits the size of one request's headers.
const maxHeaderBytes = 16 << 10

// httpServer handles the requests of users, agents, the load balancer and operators.
type httpServer struct {
	address     string
	log         *slog.Logger
	queues      *eventQueues
	pending     *pendingRequests
	connections *connectionLimits
	metrics     *metrics
	ready       func() bool
	refusals    *rate.Sometimes // limits the log of refused heartbeats
}

// listen opens the server's listener, which admits a limited number of connections at a time.
func (s *httpServer) listen(ctx context.Context) (net.Listener, error) {
	listener, err := listen(ctx, s.address)
	if err != nil {
		return nil, fmt.Errorf("listen for users and agents: %w", err)
	}
	return newAdmittingListener(listener, s.connections.admission), nil
}

// serve handles requests until the context ends or the listener fails. Then it closes the listener
// and all connections. The end of the context is not an error.
func (s *httpServer) serve(ctx context.Context, listener net.Listener) error {
	srv := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: tuning.RequestReadTimeout,
		ReadTimeout:       tuning.RequestReadTimeout,
		WriteTimeout:      tuning.RequestReadTimeout + tuning.ReplyTimeout,
		IdleTimeout:       tuning.ServerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withConnection,
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
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limit := s.connections.userKeepAliveLimit
		if r.URL.Path == protocol.PathHeartbeat {
			limit = s.connections.agentKeepAliveLimit
		}
		s.connections.closeIfAbove(limit, w)
		if r.Body == http.NoBody {
			s.connections.requestComplete(r)
		}
		mux.ServeHTTP(w, r)
	})
}

// readBody returns a request's body. If the body cannot be read, it writes an error response and
// returns false.
func (s *httpServer) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := readAll(http.MaxBytesReader(w, r.Body, protocol.MaxBodyBytes), r.ContentLength, tuning.MaxBodyPreallocationBytes)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			writeError(w, http.StatusRequestEntityTooLarge, "larger than 64 KiB")
		} else {
			writeError(w, http.StatusBadRequest, "body cannot be read")
		}
		return nil, false
	}
	s.connections.requestComplete(r)
	return body, true
}

// writeError responds to a request that is not served, with the reason as message.
func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, storage.Encode(protocol.ErrorBody{Error: message}))
}

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

// writeDelivery writes a reply in its turn, and then lets the next reply about the same job be written.
func writeDelivery(w http.ResponseWriter, d delivery) {
	if d.turn == nil {
		writeReply(w, d.Reply)
		return
	}
	defer d.end()
	reply := coordination.Unavailable(d.ID)
	if d.turn.wait() {
		reply = d.At(time.Now())
	}
	writeReply(w, reply)
	// The reply is on its way only when it has left the server's buffer. An error means that the client
	// has gone.
	_ = http.NewResponseController(w).Flush()
}

// writeReply writes a reply of the node as the HTTP response. A reply without a body becomes an
// error response with the text of its status.
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

// retryAfterSeconds returns a pause in whole seconds for the Retry-After header: rounded up, and at
// least one.
func retryAfterSeconds(d time.Duration) int { return max(1, int((d+time.Second-1)/time.Second)) }

// shed counts a request that is rejected because of overload, and returns the reply to it.
func (s *httpServer) shed() coordination.Reply {
	s.metrics.shedRequests.Inc()
	return coordination.Reply{Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
}

// awaitReply passes a request to the event loop and waits for the reply. It returns status 503 if
// the queue is full, and 504 if no reply arrives in time.
func (s *httpServer) awaitReply(ctx context.Context, queue chan<- coordination.Event, timeout time.Duration, newEvent func(id uint64) coordination.Event) delivery {
	id, reply := s.pending.register()
	defer s.pending.remove(id, reply)
	select {
	case queue <- newEvent(id):
	default:
		return delivery{Reply: s.shed()}
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case d := <-reply:
		return d
	case <-timer.C:
	case <-ctx.Done():
	}
	return delivery{Reply: coordination.Reply{Status: http.StatusGatewayTimeout}}
}

func (s *httpServer) handleSubmit(w http.ResponseWriter, r *http.Request) {
	if len(s.queues.users) == cap(s.queues.users) {
		writeReply(w, s.shed()) // before any resources are spent on the body
		return
	}
	body, ok := s.readBody(w, r)
	if !ok {
		return
	}
	job, err := protocol.ParseJob(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	writeDelivery(w, s.awaitReply(r.Context(), s.queues.users, tuning.ReplyTimeout, func(id uint64) coordination.Event {
		return coordination.Submit{ID: id, Job: job}
	}))
}

// handleJobRequest passes a request about the job that the path names to the event loop, and writes
// the reply.
func (s *httpServer) handleJobRequest(w http.ResponseWriter, r *http.Request, newEvent func(id uint64, jobID protocol.JobID) coordination.Event) {
	jobID := protocol.JobID(r.PathValue("id"))
	if !protocol.ValidJobID(jobID) {
		writeError(w, http.StatusNotFound, "no such job")
		return
	}
	writeDelivery(w, s.awaitReply(r.Context(), s.queues.users, tuning.ReplyTimeout, func(id uint64) coordination.Event {
		return newEvent(id, jobID)
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
	body, ok := s.readBody(w, r)
	if !ok {
		return
	}
	heartbeat, err := protocol.ParseHeartbeat(body)
	if err != nil {
		s.refusals.Do(func() { s.log.Error("heartbeat refused", "error", err) })
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	writeDelivery(w, s.awaitReply(r.Context(), s.queues.heartbeats, tuning.ReplyTimeout, func(id uint64) coordination.Event {
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
