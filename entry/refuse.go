package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/target"
)

// headerExecution is the header of refusals that states whether the request may have
// run.
const headerExecution = "Mustardvane-Execution"

// headerRequestID is the response header with the request id.
const headerRequestID = "X-Request-Id"

// errorBody is the body of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail describes a refusal in the form that chat clients expect.
type errorDetail struct {
	Type      string         `json:"type"`
	Code      string         `json:"code"`
	Message   string         `json:"message"`
	Reason    vane.Reason    `json:"reason"`
	Execution vane.Execution `json:"execution"`
	RequestID string         `json:"request_id"`
}

// errorType returns the error type by which chat clients classify a status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// asRefusal returns the refusal in the chain of err. Any other error becomes an
// internal error that says that the request may have run, since that holds in every
// case.
func asRefusal(err error) *vane.Refusal {
	var r *vane.Refusal
	if errors.As(err, &r) {
		return r
	}
	return vane.Refuse(vane.ReasonInternal, "internal error; report the request id to the operator").
		WithExecution(vane.MayHaveRun).WithCause(err)
}

// refusalBody returns the JSON body for a refusal.
func refusalBody(c *request, r *vane.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Type: errorType(r.Status()), Code: r.Reason.String(), Message: r.Message,
		Reason: r.Reason, Execution: r.Execution, RequestID: c.requestID(),
	}}
}

// recordRefusal records a refusal in the time line, the targets, the metrics and the
// log.
func (s *Server) recordRefusal(c *request, r *vane.Refusal) {
	took := time.Since(c.arrived)
	s.Recorder.Record(vane.Event{
		Kind: vane.EventRefused, Reason: r.Reason, Workspace: c.workspace, RequestID: c.requestID(),
		Subject: r.Execution.String(), Observed: took.Seconds(), Remedy: r.Message,
	})
	s.Targets.Add(time.Now(), target.Result{Class: c.class.Name, Workspace: c.workspace, Refused: r.Reason})
	s.metrics.refused.WithLabelValues(r.Reason.String(), r.Execution.String()).Inc()
	klog.V(2).InfoS("refused", "request_id", c.requestID(), "workspace", c.workspace,
		"reason", r.Reason.String(), "execution", r.Execution.String(), "cause", r.Cause)
}

// refuse records the refusal and responds with it.
func (s *Server) refuse(w http.ResponseWriter, c *request, err error) {
	r := asRefusal(err)
	s.recordRefusal(c, r)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerExecution, r.Execution.String())
	h.Set(headerRequestID, c.requestID())
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	if r.Reason == vane.ReasonKeyMissing || r.Reason == vane.ReasonKeyUnknown {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(r.Status())
	_ = json.NewEncoder(w).Encode(refusalBody(c, r))
}
