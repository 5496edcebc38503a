package vane

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Error is a failure of a known kind. Its message ends with the remedy.
type Error struct {
	Kind   Kind
	Op     string // the operation that failed, for example "store.put"
	Msg    string // what went wrong
	Remedy string // what the operator can do about it; empty if nothing
	Cause  error  // the underlying error, or nil
}

// Errorf returns an [Error] with a formatted message and no cause.
func Errorf(k Kind, op, remedy, format string, args ...any) *Error {
	return &Error{Kind: k, Op: op, Msg: fmt.Sprintf(format, args...), Remedy: remedy}
}

// WithCause returns a copy of e that wraps err.
func (e Error) WithCause(err error) *Error {
	e.Cause = err
	return &e
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := e.Op + ": " + e.Msg
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of the first [Error] in the chain of err, or
// KindInternal if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}

// Refusal says why a request was not served. It is an immutable value.
type Refusal struct {
	Reason     Reason
	Execution  Execution
	Message    string        // why the request was refused, with the compared figures, and what the caller can do
	RetryAfter time.Duration // how long the caller should wait before a retry; zero if a retry does not help
	Cause      error         // the underlying error, or nil
}

// Refuse returns a refusal with the execution NotRun.
func Refuse(r Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: r, Message: fmt.Sprintf(format, args...)}
}

// WithExecution returns a copy of r with the execution x.
func (r Refusal) WithExecution(x Execution) *Refusal {
	r.Execution = x
	return &r
}

// WithRetryAfter returns a copy of r that asks the caller to wait for d before a
// retry.
func (r Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return &r
}

// WithCause returns a copy of r that wraps err.
func (r Refusal) WithCause(err error) *Refusal {
	r.Cause = err
	return &r
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Execution, r.Message)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// Status returns the HTTP status code of the refusal.
func (r *Refusal) Status() int {
	switch r.Reason {
	case ReasonBadRequest, ReasonClaimKeyMissing, ReasonResumeInvalid, ReasonUpstreamRejected:
		return http.StatusBadRequest
	case ReasonKeyMissing, ReasonKeyUnknown:
		return http.StatusUnauthorized
	case ReasonRouteUnknown:
		return http.StatusForbidden
	case ReasonModelUnknown:
		return http.StatusNotFound
	case ReasonMethodNotAllowed:
		return http.StatusMethodNotAllowed
	case ReasonClaimConflict, ReasonClaimPending, ReasonClaimUnknown:
		return http.StatusConflict
	case ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonLimitRate, ReasonLimitBurst:
		return http.StatusTooManyRequests
	case ReasonBodySlow:
		return http.StatusRequestTimeout
	case ReasonSuspectRequest:
		return http.StatusUnprocessableEntity
	case ReasonUpstreamFailed, ReasonUpstreamEmpty, ReasonUpstreamWrongID:
		return http.StatusBadGateway
	case ReasonInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
