package transport

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/net/netutil"
)

// serve answers users, workers, the load balancer and operators.
func (o *Owner) serve(ctx context.Context, failed chan<- error) error {
	ln, err := listen(ctx, o.cfg.Listen)
	if err != nil {
		return err
	}
	if o.conns.most > 0 {
		ln = netutil.LimitListener(ln, o.conns.most)
	}
	srv := &http.Server{
		Handler:           o.handler(),
		ReadHeaderTimeout: tuning.RequestReadTimeout,
		ReadTimeout:       tuning.RequestReadTimeout,
		WriteTimeout:      tuning.RequestReadTimeout + tuning.ReplyTimeout,
		IdleTimeout:       tuning.ServerIdleTimeout,
		MaxHeaderBytes:    16 << 10,
		ErrorLog:          nil,
		ConnState:         o.conns.track,
	}
	context.AfterFunc(ctx, func() { srv.Close() })
	go func() { failed <- srv.Serve(ln) }()
	return nil
}

func (o *Owner) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PathJobs, o.handleSubmit)
	mux.HandleFunc("GET "+protocol.PathJobs+"/{id}", o.handleQuery)
	mux.HandleFunc("POST "+protocol.PathJobs+"/{id}/"+protocol.CancelAction, o.handleCancel)
	mux.HandleFunc("POST "+protocol.PathHeartbeat, o.handleReport)
	mux.HandleFunc("GET "+protocol.PathReady, o.handleReady)
	mux.Handle("GET "+protocol.PathMetrics, o.metrics.handler())
	return mux
}

// readBody reads a request's body, or answers why it does not.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := readAll(http.MaxBytesReader(w, r.Body, protocol.MaxBody), r.ContentLength, tuning.TrustedBodyBytes)
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			refuse(w, http.StatusRequestEntityTooLarge, "larger than 64 KiB")
		} else {
			refuse(w, http.StatusBadRequest, "body cannot be read")
		}
		return nil, false
	}
	return body, true
}

func refuse(w http.ResponseWriter, status int, why string) {
	writeJSON(w, status, storage.Encode(protocol.ErrorBody{Error: why}))
}

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

func respond(w http.ResponseWriter, r coordination.Reply) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfter(r.RetryAfter)))
	}
	if r.Body == nil {
		refuse(w, r.Status, http.StatusText(r.Status))
		return
	}
	writeJSON(w, r.Status, r.Body)
}

func (o *Owner) handleSubmit(w http.ResponseWriter, r *http.Request) {
	o.conns.bound(o.conns.keepUsers, w)
	if len(o.users) == cap(o.users) {
		respond(w, o.shed()) // before anything is spent on its body
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	job, err := protocol.ParseJob(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	respond(w, o.ask(r.Context(), o.users, tuning.ReplyTimeout, func(id uint64) coordination.Event {
		return coordination.Submit{ID: id, Job: job}
	}))
}

// askJob asks the owner about the job that the path names.
func (o *Owner) askJob(w http.ResponseWriter, r *http.Request, event func(id uint64, jobID protocol.JobID) coordination.Event) {
	o.conns.bound(o.conns.keepUsers, w)
	jobID := protocol.JobID(r.PathValue("id"))
	if !protocol.ValidID(jobID) {
		refuse(w, http.StatusNotFound, "no such job")
		return
	}
	respond(w, o.ask(r.Context(), o.users, tuning.ReplyTimeout, func(id uint64) coordination.Event {
		return event(id, jobID)
	}))
}

func (o *Owner) handleQuery(w http.ResponseWriter, r *http.Request) {
	o.askJob(w, r, func(id uint64, jobID protocol.JobID) coordination.Event {
		return coordination.StatusQuery{ID: id, Job: jobID}
	})
}

func (o *Owner) handleCancel(w http.ResponseWriter, r *http.Request) {
	o.askJob(w, r, func(id uint64, jobID protocol.JobID) coordination.Event {
		return coordination.Cancel{ID: id, Job: jobID}
	})
}

func (o *Owner) handleReport(w http.ResponseWriter, r *http.Request) {
	o.conns.bound(o.conns.keepWorkers, w)
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	report, err := protocol.ParseHeartbeat(body)
	if err != nil {
		o.log.Error("report refused", "error", err)
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	respond(w, o.ask(r.Context(), o.urgent, tuning.ReplyTimeout, func(id uint64) coordination.Event {
		return coordination.AgentHeartbeat{ID: id, Heartbeat: report}
	}))
}

func (o *Owner) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !o.ready.Load() {
		refuse(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	writeJSON(w, http.StatusOK, []byte(`{}`))
}
