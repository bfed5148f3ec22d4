package client

import (
	"encoding/json"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/document"
	"github.com/endivehill/endivehill/internal/errkind"
)

// kindsByName maps the names of all error kinds to kinds.
var kindsByName = func() map[string]errkind.Kind {
	m := map[string]errkind.Kind{}
	for _, r := range errkind.Table() {
		m[string(r.Kind)] = r.Kind
	}
	return m
}()

// apiError returns the error in a response of endivehill, or nil. A response of an
// upstream with an error status is not an API error: its body has no error of a
// known kind whose status matches.
func apiError(r response) error {
	var body api.ErrorBody
	if json.Unmarshal(r.body, &body) != nil {
		return nil
	}
	kind, ok := kindsByName[body.Error.Kind]
	if !ok || errkind.ResponseOf(kind).Status != r.status {
		return nil
	}
	if kind == errkind.InvalidArgument && len(body.Errors) > 1 {
		return invalidArguments(body.Errors)
	}
	return newError(kind, body.Error)
}

func invalidArguments(details []api.ErrorDetail) error {
	var errs document.Errors
	for _, d := range details {
		errs.Add(d.Field, "%s", d.Reason)
	}
	return errs
}

func newError(kind errkind.Kind, d api.ErrorDetail) error {
	return errkind.New(kind, d.Field, "%s", d.Reason)
}
