package platform

import (
	"context"
	"net/http"

	"github.com/endivehill/endivehill/internal/errkind"
)

// callError classifies the error of a call to an upstream without a complete response.
// Only a call of which no byte was written is reported as not run.
func callError(ctx context.Context, vm string, sent bool, err error) *errkind.Error {
	if sent {
		return errkind.Wrap(err, errkind.OutcomeUnknown, "", "VM %q did not answer completely", vm)
	}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return errkind.Wrap(err, errkind.DeadlineExceeded, "", "VM %q was not reached in time", vm)
	case context.Canceled:
		return errkind.Wrap(err, errkind.Canceled, "", "the call to VM %q was canceled before it was sent", vm)
	}
	return errkind.Wrap(err, errkind.UpstreamUnavailable, "", "VM %q could not be reached", vm)
}

// refusalError returns the error of a response by which the upstream refuses the call,
// or nil. HeaderRefused distinguishes it from a response of the work itself with the
// same status.
func refusalError(vm string, status int, header http.Header) *errkind.Error {
	switch refused := header.Get(HeaderRefused); {
	case status == http.StatusPreconditionFailed && refused == RefusedFenced:
		return errkind.New(errkind.Fenced, "", "VM %q has seen a higher epoch", vm)
	case status == http.StatusServiceUnavailable && refused == RefusedDraining:
		return errkind.New(errkind.UpstreamUnavailable, "", "VM %q takes no new work", vm)
	case status == http.StatusMisdirectedRequest && refused == RefusedWrongVM:
		return errkind.New(errkind.UpstreamUnavailable, "", "VM %q is no longer at its address", vm)
	}
	return nil
}
