package client

import (
	"encoding/json"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/document"
	"github.com/endivehill/endivehill/internal/errkind"
)

// kinds is the closed list by name.
var kinds = func() map[string]errkind.Kind {
	m := map[string]errkind.Kind{}
	for _, a := range errkind.Table() {
		m[string(a.Kind)] = a.Kind
	}
	return m
}()

// apiError returns the error that a response carries, nil if it carries none.
// A response of an upstream with a status of its own is no API error: it has
// no error body of a known kind whose status matches.
func apiError(r response) error {
	var body api.ErrorBody
	if json.Unmarshal(r.body, &body) != nil {
		return nil
	}
	kind, ok := kinds[body.Error.Kind]
	if !ok || errkind.AnswerOf(kind).Status != r.status {
		return nil
	}
	if kind == errkind.InvalidArgument && len(body.Errors) > 1 {
		return list(body.Errors)
	}
	return detail(kind, body.Error)
}

func list(details []api.ErrorDetail) error {
	var errs document.Errors
	for _, d := range details {
		errs.Add(d.Field, "%s", d.Reason)
	}
	return errs
}

func detail(kind errkind.Kind, d api.ErrorDetail) error {
	return errkind.New(kind, d.Field, "%s", d.Reason)
}
