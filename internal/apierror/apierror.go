// Package apierror defines the typed errors that callers, targets and operators
// see. Every error has a code, an outcome that says whether the request may
// have run, and a remedy that says what the receiver should do.
package apierror

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Outcome says what is known about the execution of a request.
type Outcome string

// Outcomes of a request.
const (
	// Answered means that the response comes from the target.
	Answered Outcome = "answered"
	// NotRun means that the request was not executed and will not be.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have been executed.
	Unknown Outcome = "unknown"
)

// Code identifies the type of an error. Codes are part of the public interface.
type Code string

// Error codes.
const (
	Overloaded       Code = "overloaded"        // refused for lack of capacity
	NoTarget         Code = "no_target"         // no target of the service is known or can be reached
	DeadlineExceeded Code = "deadline_exceeded" // no response by the deadline, or too little time left for one
	LinkLost         Code = "link_lost"         // the link to another node failed
	TargetFailed     Code = "target_failed"     // the target sent no complete and valid response
	TicketRequired   Code = "ticket_required"   // a non-idempotent request has no ticket
	TicketVoid       Code = "ticket_void"       // the ticket expired unused, or its request was refused
	TicketUnknown    Code = "ticket_unknown"    // it is not known what became of the ticket's request
	RetryLimit       Code = "retry_limit"       // the caller sent more attempts than the kind permits
	NoKind           Code = "no_kind"           // no request kind or route matches the request
	BadRequest       Code = "bad_request"       // the request is malformed or incomplete
	Draining         Code = "draining"          // the node or its target shuts down
	Starting         Code = "starting"          // the node has no configuration yet
	TooLarge         Code = "too_large"         // the request body is too long
	Canceled         Code = "canceled"          // the caller or the parent request no longer waits for the response
	Internal         Code = "internal"          // an error without a code
)

// statusClientClosedRequest is the non-standard status that nginx introduced
// for a client that closes the connection before the response.
const statusClientClosedRequest = 499

// codeInfo is the HTTP status and the remedy of a code.
type codeInfo struct {
	status int
	remedy string
}

var codes = map[Code]codeInfo{
	Overloaded:       {http.StatusServiceUnavailable, "retry after the time in Retry-After"},
	NoTarget:         {http.StatusServiceUnavailable, "retry later; if the error persists, check with 'parsleyctl status' that targets of the service announce themselves"},
	DeadlineExceeded: {http.StatusGatewayTimeout, "allow more time in Parsley-Deadline-Ms or retry later"},
	LinkLost:         {http.StatusBadGateway, "the request may have run; retry a non-idempotent request only with the same ticket"},
	TargetFailed:     {http.StatusBadGateway, "the request may have run; retry a non-idempotent request only with the same ticket"},
	TicketRequired:   {http.StatusPreconditionRequired, "retry the request with the value of Parsley-Ticket from this response"},
	TicketVoid:       {http.StatusConflict, "the ticket was never used; request a new one by sending the request without Parsley-Ticket"},
	TicketUnknown:    {http.StatusConflict, "the request may have run; check its effect before requesting a new ticket"},
	RetryLimit:       {http.StatusTooManyRequests, "stop retrying this request; send a new one later"},
	NoKind:           {http.StatusNotFound, "check the method and path, or declare a kind that matches them"},
	BadRequest:       {http.StatusBadRequest, "correct the request as the message says"},
	Draining:         {http.StatusServiceUnavailable, "retry now; another node will accept the request"},
	Starting:         {http.StatusServiceUnavailable, "retry in a second; the node has no configuration yet"},
	TooLarge:         {http.StatusRequestEntityTooLarge, "send a smaller request"},
	Canceled:         {statusClientClosedRequest, "none; the caller canceled the request"},
	Internal:         {http.StatusInternalServerError, "report the message to the operators"},
}

// Codes returns all codes in alphabetical order.
func Codes() []Code { return slices.Sorted(maps.Keys(codes)) }

// Error is an error response that the mesh sends instead of a target.
type Error struct {
	Code    Code
	Outcome Outcome
	Message string
	// RetryAfter is a hint to the caller; zero means no hint.
	RetryAfter time.Duration
	// Ticket is set with TicketRequired.
	Ticket string
	cause  error
}

// MaxMessageBytes bounds the message of an error, which may quote what another process
// has sent. A longer one would not fit into a message between nodes.
const MaxMessageBytes = 1024

// New returns an error with a formatted message, which is cut off after
// MaxMessageBytes. A %w verb sets its cause.
func New(code Code, outcome Outcome, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Code: code, Outcome: outcome, Message: shorten(err.Error()), cause: errors.Unwrap(err)}
}

func shorten(message string) string {
	if len(message) <= MaxMessageBytes {
		return message
	}
	return strings.ToValidUTF8(message[:MaxMessageBytes], "") + fmt.Sprintf("... (%d bytes)", len(message))
}

// Error returns the code, message, outcome and remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s; %s)", e.Code, e.Message, e.Outcome, e.Remedy())
}

// Unwrap returns the wrapped error, if any.
func (e *Error) Unwrap() error { return e.cause }

// Remedy describes what the receiver can do about the error.
func (e *Error) Remedy() string { return codes[e.Code].remedy }

// Status returns the HTTP status of the error; 500 for an undefined code.
func (e *Error) Status() int {
	if info, ok := codes[e.Code]; ok {
		return info.status
	}
	return http.StatusInternalServerError
}

// From returns the *Error in the chain of err. Any other error becomes Internal
// with an unknown outcome, because the request may have been executed.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Outcome: Unknown, Message: shorten(err.Error()), cause: err}
}

// Body is the JSON body of an error response.
type Body struct {
	Code      Code    `json:"code"`
	Message   string  `json:"message"`
	Remedy    string  `json:"remedy"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id"`
}

// Body returns the JSON body of the response to the request with the given ID.
func (e *Error) Body(requestID string) Body {
	return Body{Code: e.Code, Message: e.Message, Remedy: e.Remedy(), Outcome: e.Outcome, RequestID: requestID}
}
