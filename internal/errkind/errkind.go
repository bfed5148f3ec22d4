// Package errkind defines the closed list of error kinds and maps each kind to
// its HTTP status, outcome and exit code.
package errkind

import (
	stderrors "errors"
	"fmt"
	"net/http"
	"strings"
)

// Kind names a kind of error. The list of kinds is closed.
type Kind string

// Outcome says whether work that ended in an error has run.
type Outcome string

// Outcomes of failed work.
const (
	NotRun  Outcome = "not_run" // the work did not start and will not
	Unknown Outcome = "unknown" // the work may have run
	Ran     Outcome = "ran"     // the work ran and failed
)

// Error kinds.
const (
	InvalidArgument     Kind = "invalid_argument"
	Unauthenticated     Kind = "unauthenticated"
	PermissionDenied    Kind = "permission_denied"
	NotFound            Kind = "not_found"
	RequestIDConflict   Kind = "request_id_conflict"
	VersionConflict     Kind = "version_conflict"
	BodyTooLarge        Kind = "body_too_large"
	HeaderTooLarge      Kind = "header_too_large"
	DeadlineExceeded    Kind = "deadline_exceeded"
	Canceled            Kind = "canceled"
	OutcomeUnknown      Kind = "outcome_unknown"
	Overloaded          Kind = "overloaded"
	NeverRunnable       Kind = "never_runnable"
	OwnerUnavailable    Kind = "owner_unavailable"
	UpstreamUnavailable Kind = "upstream_unavailable"
	UpstreamFailed      Kind = "upstream_failed"
	StoreUnavailable    Kind = "store_unavailable"
	NodeNotFresh        Kind = "node_not_fresh"
	NodeIsolated        Kind = "node_isolated"
	Unconfirmed         Kind = "unconfirmed"
	ShuttingDown        Kind = "shutting_down"
	ProtocolMismatch    Kind = "protocol_mismatch"
	FrameTooLarge       Kind = "frame_too_large"
	ConnectionLimit     Kind = "connection_limit"
	Fenced              Kind = "fenced"
	Internal            Kind = "internal"
)

// Response is how an error of a kind is reported to a caller.
type Response struct {
	Kind        Kind
	Status      int     // HTTP status code
	Outcome     Outcome // whether the work has run
	Retryable   bool    // whether the same call may succeed later
	ExitCode    int     // exit code of the command line
	Description string  // one sentence, shown in docs/errors.md
}

// responseTable maps every kind to its response. A test checks docs/errors.md against it.
var responseTable = []Response{
	{InvalidArgument, http.StatusBadRequest, NotRun, false, 2, "A field, header or parameter is malformed or out of range."},
	{Unauthenticated, http.StatusUnauthorized, NotRun, false, 3, "No key was presented, or it is unknown or withdrawn."},
	{PermissionDenied, http.StatusForbidden, NotRun, false, 3, "The key does not allow this operation or queue."},
	{NotFound, http.StatusNotFound, NotRun, false, 4, "The named object does not exist."},
	{RequestIDConflict, http.StatusConflict, NotRun, false, 5, "The ID was used before with other content."},
	{VersionConflict, http.StatusConflict, NotRun, false, 5, "The change is based on a version that is no longer in force."},
	{BodyTooLarge, http.StatusRequestEntityTooLarge, NotRun, false, 2, "The request body is larger than the limit."},
	{HeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge, NotRun, false, 2, "The request header is larger than the limit."},
	{DeadlineExceeded, http.StatusGatewayTimeout, NotRun, false, 6, "The deadline passed before the work was started."},
	{Canceled, http.StatusConflict, NotRun, false, 6, "The work was canceled before it was started."},
	{OutcomeUnknown, http.StatusBadGateway, Unknown, false, 7, "The work may have run; its response is unknown."},
	{Overloaded, http.StatusTooManyRequests, NotRun, true, 8, "A queue is full or the retry budget is spent."},
	{NeverRunnable, http.StatusUnprocessableEntity, NotRun, false, 2, "The work can never run: it exceeds every VM, its pool or a limit."},
	{OwnerUnavailable, http.StatusServiceUnavailable, NotRun, true, 8, "The partition has no reachable owner at present."},
	{UpstreamUnavailable, http.StatusServiceUnavailable, NotRun, true, 8, "No healthy upstream could be reached."},
	{UpstreamFailed, http.StatusBadGateway, Ran, true, 9, "The upstream failed or cut its answer short."},
	{StoreUnavailable, http.StatusServiceUnavailable, NotRun, true, 8, "The table service cannot be reached and the operation needs it."},
	{NodeNotFresh, http.StatusServiceUnavailable, NotRun, true, 8, "The node cannot tell whether its configuration and keys are current."},
	{NodeIsolated, http.StatusServiceUnavailable, NotRun, true, 8, "The node reaches neither the owner nor the table service; another node may."},
	{Unconfirmed, http.StatusAccepted, Unknown, true, 10, "The change is committed but not yet confirmed by every node."},
	{ShuttingDown, http.StatusServiceUnavailable, NotRun, true, 8, "The node is stopping."},
	{ProtocolMismatch, http.StatusBadRequest, NotRun, false, 2, "The other side speaks no common protocol version or sent malformed data."},
	{FrameTooLarge, http.StatusRequestEntityTooLarge, NotRun, false, 2, "A frame between nodes is larger than the limit."},
	{ConnectionLimit, http.StatusServiceUnavailable, NotRun, true, 8, "The other node serves as many connections as it may."},
	{Fenced, http.StatusServiceUnavailable, NotRun, true, 8, "A newer owner has taken over the partition."},
	{Internal, http.StatusInternalServerError, Unknown, false, 1, "An internal fault of endivehill."},
}

var responsesByKind = func() map[Kind]Response {
	m := make(map[Kind]Response, len(responseTable))
	for _, r := range responseTable {
		m[r.Kind] = r
	}
	return m
}()

// Table returns the responses of all kinds in the order of the documentation.
func Table() []Response { return append([]Response(nil), responseTable...) }

// ResponseOf returns the response for k, or the response for Internal if k is unknown.
func ResponseOf(k Kind) Response {
	if r, ok := responsesByKind[k]; ok {
		return r
	}
	return responsesByKind[Internal]
}

// Error is an error with a kind.
type Error struct {
	Kind   Kind
	Field  string // field, header or parameter at fault; may be empty
	Reason string
	cause  error
}

// New returns an error of kind k about field.
func New(k Kind, field, format string, args ...any) *Error {
	return &Error{Kind: k, Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k about field that is caused by err.
func Wrap(err error, k Kind, field, format string, args ...any) *Error {
	return &Error{Kind: k, Field: field, Reason: fmt.Sprintf(format, args...), cause: err}
}

// Error returns the kind, the field and the reason.
func (e *Error) Error() string {
	s := string(e.Kind)
	if e.Field != "" {
		s += ": " + e.Field
	}
	s += ": " + e.Reason
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Outcome returns whether the work that failed with e has run.
func (e *Error) Outcome() Outcome { return ResponseOf(e.Kind).Outcome }

// From returns the first *Error in the chain of err, or err wrapped as Internal.
// It returns nil for nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if stderrors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "", "unexpected error")
}

// Is reports whether err is of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return stderrors.As(err, &e) && e.Kind == k
}

// Markdown returns the responses as the table in docs/errors.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| kind | HTTP status | outcome | retry | exit code | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range responseTable {
		retry := "no"
		if r.Retryable {
			retry = "yes"
		}
		fmt.Fprintf(&b, "| `%s` | %d | `%s` | %s | %d | %s |\n", r.Kind, r.Status, r.Outcome, retry, r.ExitCode, r.Description)
	}
	return b.String()
}
