package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// maxErrors bounds the number of errors kept for one document, so that a hostile
// document cannot cause a response far larger than itself.
const maxErrors = 100

// Errors holds all errors of one document. It is an error of kind invalid_argument:
// errkind.From returns its first entry.
type Errors []*errkind.Error

// Add appends an error about field. Errors beyond maxErrors are dropped.
func (e *Errors) Add(field, format string, args ...any) {
	if len(*e) < maxErrors {
		e.addUnbounded(field, format, args...)
	}
}

func (e *Errors) addUnbounded(field, format string, args ...any) {
	*e = append(*e, errkind.New(errkind.InvalidArgument, field, format, args...))
}

// sorted returns at most maxErrors errors, sorted by field. The validator visits
// fields in random order, but equal documents must give equal errors.
func (e Errors) sorted() Errors {
	slices.SortStableFunc(e, func(a, b *errkind.Error) int {
		return cmp.Or(cmp.Compare(a.Field, b.Field), cmp.Compare(a.Reason, b.Reason))
	})
	return e[:min(len(e), maxErrors)]
}

// Err returns e as an error, or nil if e is empty.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// Error returns one line for each error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, item := range e {
		lines[i] = item.Field + ": " + item.Reason
	}
	noun := "errors"
	if len(e) == 1 {
		noun = "error"
	}
	return fmt.Sprintf("%s: %d %s\n  %s", errkind.InvalidArgument, len(e), noun, strings.Join(lines, "\n  "))
}

// Unwrap returns the individual errors, so that errors.As finds them.
func (e Errors) Unwrap() []error {
	out := make([]error, len(e))
	for i, item := range e {
		out[i] = item
	}
	return out
}

// Details returns the errors in the form of the API.
func (e Errors) Details() []api.ErrorDetail {
	out := make([]api.ErrorDetail, len(e))
	for i, item := range e {
		out[i] = api.ErrorDetail{
			Kind:    string(item.Kind),
			Field:   item.Field,
			Reason:  item.Reason,
			Outcome: string(item.Outcome()),
		}
	}
	return out
}
