package platform

import (
	"errors"
	"fmt"
)

// Errors of the table service and the object store. Callers test for them with
// errors.Is.
var (
	// ErrConflict means that a check failed; the transaction was not applied.
	ErrConflict = errors.New("a check of the transaction failed")
	// ErrUnavailable means that the service could not be reached or rejected the
	// call; nothing was applied.
	ErrUnavailable = errors.New("the service is unavailable")
	// ErrAmbiguous means that the call may have been applied, or may still be applied.
	ErrAmbiguous = errors.New("the outcome of the call is not known")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("the object does not exist")
	// ErrInvalid means that the service rejected the call as malformed or too
	// large; nothing was applied and a retry cannot succeed.
	ErrInvalid = errors.New("the service rejected the call as invalid")
)

// ConflictError is an ErrConflict that names the row whose check failed.
type ConflictError struct{ Key string }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: row %q", ErrConflict, e.Key)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }
