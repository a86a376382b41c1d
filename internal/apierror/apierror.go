// Package apierror defines the typed errors that callers, targets and operators
// see. Every error has a code, an outcome that says whether the request may
// have run, and a remedy that says what to do next.
package apierror

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

// Outcome says what is known about the execution of a request.
type Outcome string

// Outcomes of a request.
const (
	// Answered means that the target produced the answer.
	Answered Outcome = "answered"
	// NotRun means that the request certainly did not run and never will.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Code names the kind of an error. Codes are part of the public interface.
type Code string

// Error codes.
const (
	Overloaded       Code = "overloaded"
	NoTarget         Code = "no_target"
	DeadlineExceeded Code = "deadline_exceeded"
	LinkLost         Code = "link_lost"
	TargetFailed     Code = "target_failed"
	TicketRequired   Code = "ticket_required"
	TicketVoid       Code = "ticket_void"
	TicketUnknown    Code = "ticket_unknown"
	RetryLimit       Code = "retry_limit"
	NoKind           Code = "no_kind"
	BadRequest       Code = "bad_request"
	Draining         Code = "draining"
	Starting         Code = "starting"
	TooLarge         Code = "too_large"
	Canceled         Code = "canceled"
	Internal         Code = "internal"
)

// statusClientClosedRequest is the customary status for a caller that gave up.
const statusClientClosedRequest = 499

type codeInfo struct {
	status int
	remedy string
}

var codes = map[Code]codeInfo{
	Overloaded:       {http.StatusServiceUnavailable, "retry after the time in Retry-After"},
	NoTarget:         {http.StatusServiceUnavailable, "retry later; if it lasts, check with 'parsleyctl status' that targets of the service announce themselves"},
	DeadlineExceeded: {http.StatusGatewayTimeout, "allow more time in Parsley-Deadline-Ms or retry later"},
	LinkLost:         {http.StatusBadGateway, "the request may have run; repeat a non-idempotent request only with the same ticket"},
	TargetFailed:     {http.StatusBadGateway, "the request may have run; repeat a non-idempotent request only with the same ticket"},
	TicketRequired:   {http.StatusPreconditionRequired, "repeat the request with the value of Parsley-Ticket from this answer"},
	TicketVoid:       {http.StatusConflict, "the ticket was never used; request a new one by repeating the request without Parsley-Ticket"},
	TicketUnknown:    {http.StatusConflict, "the request may have run; check its effect before requesting a new ticket"},
	RetryLimit:       {http.StatusTooManyRequests, "stop repeating this request; start a new one later"},
	NoKind:           {http.StatusNotFound, "check the method and path, or declare a kind that matches them"},
	BadRequest:       {http.StatusBadRequest, "correct the request as the message says"},
	Draining:         {http.StatusServiceUnavailable, "retry now; another node will take the request"},
	Starting:         {http.StatusServiceUnavailable, "retry in a second; the node has no configuration yet"},
	TooLarge:         {http.StatusRequestEntityTooLarge, "send a smaller request"},
	Canceled:         {statusClientClosedRequest, "none; the caller gave up"},
	Internal:         {http.StatusInternalServerError, "report the message to the operators"},
}

// Codes returns all codes in alphabetical order.
func Codes() []Code { return slices.Sorted(maps.Keys(codes)) }

// Error is an answer made by the system instead of a target.
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

// New returns an error with a formatted message. A %w verb sets its cause.
func New(code Code, outcome Outcome, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Code: code, Outcome: outcome, Message: err.Error(), cause: errors.Unwrap(err)}
}

// Error gives the message and its remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s; %s)", e.Code, e.Message, e.Outcome, e.Remedy())
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// Remedy says what the receiver can do.
func (e *Error) Remedy() string { return codes[e.Code].remedy }

// Status is the HTTP status of the error.
func (e *Error) Status() int {
	if info, ok := codes[e.Code]; ok {
		return info.status
	}
	return http.StatusInternalServerError
}

// From returns err as an *Error. Other errors become Internal with an unknown
// outcome, which never promises more than is known.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Outcome: Unknown, Message: err.Error(), cause: err}
}

// Body is the JSON body of an answer made by the system.
type Body struct {
	Code      Code    `json:"code"`
	Message   string  `json:"message"`
	Remedy    string  `json:"remedy"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id"`
}

// Body returns the JSON body for the request with the given identity.
func (e *Error) Body(requestID string) Body {
	return Body{Code: e.Code, Message: e.Message, Remedy: e.Remedy(), Outcome: e.Outcome, RequestID: requestID}
}
