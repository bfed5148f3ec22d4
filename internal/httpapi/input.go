package httpapi

import (
	stderrors "errors"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/endivehill/endivehill/internal/document"
	"github.com/endivehill/endivehill/internal/errkind"
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// limitBodyTime bounds the time in which the body must arrive. It holds as well
// for a body that is not read by the handler but by net/http after it. Once the
// body was read, net/http lifts the deadline.
func (x *exchange) limitBodyTime() {
	if x.r.ContentLength != 0 {
		end := time.Now().Add(x.s.bodyTimeout)
		_ = http.NewResponseController(x.w).SetReadDeadline(end) // not supported by all writers
	}
}

// readBody reads the body within its limits of size and time.
func (x *exchange) readBody() ([]byte, error) {
	limit := int64(x.s.o.Limits.MaxBodyBytes)
	if x.r.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case stderrors.As(err, &tooLarge):
		return nil, bodyTooLarge(limit)
	case stderrors.Is(err, os.ErrDeadlineExceeded):
		return nil, errkind.Wrap(err, errkind.DeadlineExceeded, "body", "the body was not received within %v", x.s.bodyTimeout)
	case err != nil:
		return nil, errkind.Wrap(err, errkind.InvalidArgument, "body", "the body was not received completely")
	}
	return body, nil
}

func bodyTooLarge(limit int64) error {
	return errkind.New(errkind.BodyTooLarge, "body", "the body is larger than %d bytes", limit)
}

// decode reads a JSON body of the given type of the schema into out.
func (x *exchange) decode(def string, out any) error {
	body, err := x.readBody()
	if err != nil {
		return err
	}
	return document.Decode(body, def, out)
}

// noBody rejects a body where none has a meaning.
func (x *exchange) noBody() error {
	if x.r.ContentLength != 0 {
		return errkind.New(errkind.InvalidArgument, "body", "the call takes no body")
	}
	return nil
}

// checkQuery rejects parameters that are unknown or given twice.
func (x *exchange) checkQuery(allowed ...string) error {
	values := x.r.URL.Query()
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if !slices.Contains(allowed, name) {
			return errkind.New(errkind.InvalidArgument, shorten(name), "unknown parameter; allowed are: %s", orNone(allowed))
		}
		if len(values[name]) > 1 {
			return errkind.New(errkind.InvalidArgument, name, "the parameter is given %d times", len(values[name]))
		}
	}
	return nil
}

func orNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// single returns the value of a header that may be given once.
func (x *exchange) single(name string) (string, error) {
	values := x.r.Header.Values(name)
	if len(values) > 1 {
		return "", errkind.New(errkind.InvalidArgument, name, "the header is given %d times", len(values))
	}
	return x.r.Header.Get(name), nil
}

// setRequestID takes the ID from the header, or makes one.
func (x *exchange) setRequestID() error {
	id, err := x.single("Request-Id")
	if err != nil {
		return err
	}
	if id != "" {
		if !idPattern.MatchString(id) {
			return errkind.New(errkind.InvalidArgument, "Request-Id", "a request ID has 1 to 128 letters, digits, dots, underscores or hyphens and starts with a letter or digit")
		}
		x.requestID = id
		return nil
	}
	made, err := uuid.NewV7()
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "", "make a request ID")
	}
	x.requestID = made.String()
	return nil
}

// deadline returns the boot time at which the answer is of no use any more: the
// longest time of the queue after the arrival, or earlier if the caller says so.
func (x *exchange) deadline(queueMs int) (time.Duration, error) {
	latest := x.arrived + time.Duration(queueMs)*time.Millisecond
	text, err := x.single("Request-Deadline")
	if err != nil || text == "" {
		return latest, err
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, errkind.New(errkind.InvalidArgument, "Request-Deadline", "value %q is not a time of RFC 3339 such as 2026-05-01T08:00:00.250Z", shorten(text))
	}
	left := at.Sub(x.s.o.Clock.Now())
	if left <= 0 {
		return 0, errkind.New(errkind.DeadlineExceeded, "Request-Deadline", "the deadline %s has passed", text)
	}
	return min(latest, x.s.o.Clock.Boot()+left), nil
}

// pathID returns a path parameter that must be an ID.
func (x *exchange) pathID(name string) (string, error) {
	id := x.r.PathValue(name)
	if !idPattern.MatchString(id) {
		return "", errkind.New(errkind.InvalidArgument, name, "value %q is not an ID", shorten(id))
	}
	return id, nil
}
