package httpapi

import (
	"cmp"
	stderrors "errors"
	"net/http"
	"slices"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/document"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
)

// retryAfterSeconds is the Retry-After header of retryable errors.
const retryAfterSeconds = "1"

// errorReply returns the response for an error.
func (x *exchange) errorReply(err error) *reply {
	e := errkind.From(err)
	resp := errkind.ResponseOf(e.Kind)
	body := api.ErrorBody{Error: errorDetail(e), RequestId: x.requestID}
	var several document.Errors
	if stderrors.As(err, &several) && len(several) > 0 {
		body.Errors = sortedDetails(several)
		body.Error = body.Errors[0]
	}
	if e.Kind == errkind.Internal {
		event.HTTPInternalError.Log(x.server.options.Logger, "path", x.r.Pattern, "request_id", x.requestID, "err", err)
		body.Error.Reason = "internal error; the log of the node has the details"
	}
	out, encodeErr := jsonReply(resp.Status, body)
	if encodeErr != nil {
		out = &reply{status: http.StatusInternalServerError}
	}
	out.header = map[string]string{"Error-Kind": string(e.Kind)}
	if resp.Retryable {
		out.header["Retry-After"] = retryAfterSeconds
	}
	if e.Kind == errkind.Unauthenticated {
		out.header["WWW-Authenticate"] = "Bearer"
	}
	return out
}

// sortedDetails returns the details of errs sorted by field and reason. The schema
// check returns its errors in this order, other checks may not.
func sortedDetails(errs document.Errors) []api.ErrorDetail {
	out := errs.Details()
	slices.SortStableFunc(out, func(a, b api.ErrorDetail) int {
		return cmp.Or(cmp.Compare(a.Field, b.Field), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

func errorDetail(e *errkind.Error) api.ErrorDetail {
	return api.ErrorDetail{
		Kind:    string(e.Kind),
		Field:   e.Field,
		Reason:  e.Reason,
		Outcome: string(e.Outcome()),
	}
}

func pathNotFound(x *exchange) error {
	return errkind.New(errkind.NotFound, "path", "path %q does not exist", truncate(x.r.URL.Path))
}

func methodNotAllowed(x *exchange, allowed string) error {
	return errkind.New(errkind.InvalidArgument, "method", "method %s is not allowed for this path; allowed are %s", truncate(x.r.Method), allowed)
}

// maxQuotedBytes bounds how much of a value from the caller an error quotes.
const maxQuotedBytes = 64

func truncate(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return s[:maxQuotedBytes] + "..."
}
