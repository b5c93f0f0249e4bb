package simulation

import (
	"net/http"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
)

// toldStage is how far a job has come according to an answer. A later stage is never followed by an
// answer with an earlier one.
type toldStage int

const (
	toldNothing  toldStage = iota // the answer says nothing about the job
	toldUnknown                   // there is no such job
	toldAccepted                  // the job is accepted
	toldFinal                     // the job is done or cancelled
)

// toldAnswer is an answer to a user as it left a controller.
type toldAnswer struct {
	stage   toldStage
	phase   protocol.Phase // if the stage is toldFinal
	node    string
	request string
	clock   string
}

// answerHistory keeps the newest answer about each job that any controller has given, and reports
// every later answer that is older.
type answerHistory struct {
	w      *World
	newest map[protocol.JobID]toldAnswer
	given  int // answers with a stage
	older  int // answers that went back
}

func newAnswerHistory(w *World) *answerHistory {
	return &answerHistory{w: w, newest: map[protocol.JobID]toldAnswer{}}
}

// note returns a function that checks a controller's answer to a request at the moment it leaves the
// controller, and then passes it on. Earlier releases give their answers in no order with those of
// others.
func (h *answerHistory) note(c *controller, event coordination.Event, respond responseFunc) responseFunc {
	job, request := requestedJob(event)
	if job == "" {
		return respond
	}
	return func(status int, body []byte) {
		if h.w.release[c.name] == current {
			h.check(job, answerFrom(c.name, request, status, body))
		}
		respond(status, body)
	}
}

// check compares an answer with the newest one that was given before.
func (h *answerHistory) check(job protocol.JobID, a toldAnswer) {
	if a.stage == toldNothing {
		return
	}
	h.given++
	a.clock = h.w.clock()
	before := h.newest[job]
	if a.stage < before.stage || a.stage == toldFinal && before.stage == toldFinal && a.phase != before.phase {
		h.older++
		h.w.rules.violated(ruleWentBack, "%s: %s answers a %s with stage %d %q, after %s answered a %s at %s with stage %d %q",
			job, a.node, a.request, a.stage, a.phase, before.node, before.request, before.clock, before.stage, before.phase)
		return
	}
	h.newest[job] = a
}

// answerFrom returns what a response tells about a job.
func answerFrom(node, request string, status int, body []byte) toldAnswer {
	a := toldAnswer{node: node, request: request}
	switch status {
	case http.StatusNotFound, http.StatusUnprocessableEntity:
		a.stage = toldUnknown
	case http.StatusOK, http.StatusCreated:
		var accepted protocol.Accepted
		decode(body, &accepted)
		a.phase, a.stage = accepted.Phase, toldAccepted
		if isFinal(accepted.Phase) {
			a.stage = toldFinal
		}
	}
	return a
}

// requestedJob returns the job that a user's request is about and the kind of the request, or "" for
// an agent's heartbeat.
func requestedJob(event coordination.Event) (job protocol.JobID, request string) {
	switch e := event.(type) {
	case coordination.Submit:
		return e.Job.ID, "submission"
	case coordination.StatusQuery:
		return e.Job, "query"
	case coordination.Cancel:
		return e.Job, "cancellation"
	}
	return "", ""
}
