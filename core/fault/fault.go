// Package fault defines the kinds of errors that are passed between processes
// and to callers. Each message names the remedy.
package fault

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Kind classifies a fault. It determines the HTTP status and whether the caller
// may assume that the request did not run.
type Kind string

// Kinds of faults.
const (
	// Invalid is a malformed request or setting.
	Invalid Kind = "invalid"
	// TooLarge is a body over the limit.
	TooLarge Kind = "too_large"
	// Unauthorized is a missing or unknown key.
	Unauthorized Kind = "unauthorized"
	// Forbidden is a model, version or route that the customer may not use.
	Forbidden Kind = "forbidden"
	// Missing is a path, model or operation that does not exist.
	Missing Kind = "missing"
	// Conflict is a change, key or body that contradicts an accepted one.
	Conflict Kind = "conflict"
	// Busy is a refusal for lack of capacity; the request did not run.
	Busy Kind = "busy"
	// NoLease is a refusal for lack of a configuration lease; the request did not run.
	NoLease Kind = "no_lease"
	// Stale is a refusal because a fence or revision is too old; the request did not run.
	Stale Kind = "stale"
	// Unavailable is a refusal because a required component is down; the
	// request did not run.
	Unavailable Kind = "unavailable"
	// Upstream is a failure of a backend server after the request was sent to
	// it; the request may have run.
	Upstream Kind = "upstream"
	// Unknown is an operation whose outcome is not known; it may have run.
	Unknown Kind = "unknown"
	// Timeout is a deadline that passed after the request was sent to a backend
	// server; the request may have run.
	Timeout Kind = "timeout"
	// Internal is a defect of citronledge; the request may have run.
	Internal Kind = "internal"
)

// Fault is an error with a kind and a message that names the remedy.
type Fault struct {
	Kind    Kind
	Message string
	// RetryAfter is the suggested delay before the next attempt; zero if there
	// is none.
	RetryAfter time.Duration
}

// New returns a fault. The message says what happened and what to do about it.
func New(kind Kind, message string) *Fault {
	return &Fault{Kind: kind, Message: message}
}

// Error implements error.
func (f *Fault) Error() string { return f.Message }

// WithRetryAfter returns a copy of f with a suggested delay before the next
// attempt.
func (f *Fault) WithRetryAfter(d time.Duration) *Fault {
	c := *f
	c.RetryAfter = d
	return &c
}

// GuaranteesNotRun reports whether the kind guarantees that the request did not
// run.
func (k Kind) GuaranteesNotRun() bool {
	switch k {
	case Upstream, Unknown, Timeout, Internal:
		return false
	}
	return true
}

// HTTPStatus returns the HTTP status of the kind.
func (k Kind) HTTPStatus() int {
	switch k {
	case Invalid:
		return http.StatusBadRequest
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case Unauthorized:
		return http.StatusUnauthorized
	case Forbidden:
		return http.StatusForbidden
	case Missing:
		return http.StatusNotFound
	case Conflict, Stale:
		return http.StatusConflict
	case Busy:
		return http.StatusTooManyRequests
	case NoLease, Unavailable:
		return http.StatusServiceUnavailable
	case Upstream:
		return http.StatusBadGateway
	case Unknown, Timeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}

// From returns the fault in the chain of err, or an Internal fault with the
// text of err. It returns nil if err is nil.
func From(err error) *Fault {
	if err == nil {
		return nil
	}
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return New(Internal, eris.ToString(err, false))
}

// ErrorObject is the error object of the chat completions API.
type ErrorObject struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody is the content of an error object. Ran is "no" if the request did
// not run and "unknown" if it may have run.
type ErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Kind   `json:"code"`
	Ran     string `json:"ran"`
}

// Object returns the error object of f.
func (f *Fault) Object() ErrorObject {
	typ := "invalid_request_error"
	if f.Kind.HTTPStatus() >= http.StatusInternalServerError {
		typ = "server_error"
	}
	ran := "unknown"
	if f.Kind.GuaranteesNotRun() {
		ran = "no"
	}
	return ErrorObject{Error: ErrorBody{Message: f.Message, Type: typ, Code: f.Kind, Ran: ran}}
}

// WriteResponse writes the fault to an HTTP response as an error object.
func (f *Fault) WriteResponse(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if f.RetryAfter > 0 {
		seconds := int((f.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(f.Kind.HTTPStatus())
	// An error means that the caller is gone and cannot be informed.
	_ = json.NewEncoder(w).Encode(f.Object())
}
