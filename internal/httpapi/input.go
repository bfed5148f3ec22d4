package httpapi

import (
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/endivehill/endivehill/internal/errkind"
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// limitBodyTime sets the deadline for receiving the body. It also applies to a
// body that net/http reads and discards after the handler returned. net/http
// clears the deadline once the body has been read.
func (x *exchange) limitBodyTime() {
	if x.r.ContentLength != 0 {
		end := time.Now().Add(x.server.bodyTimeout)
		_ = http.NewResponseController(x.w).SetReadDeadline(end) // not supported by all writers
	}
}

// rejectBody rejects a call that has a body.
func (x *exchange) rejectBody() error {
	if x.r.ContentLength != 0 {
		return errkind.New(errkind.InvalidArgument, "body", "the call takes no body")
	}
	return nil
}

// checkQuery rejects query parameters that are unknown or given more than once.
func (x *exchange) checkQuery(allowed ...string) error {
	values := x.r.URL.Query()
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if !slices.Contains(allowed, name) {
			return errkind.New(errkind.InvalidArgument, truncate(name), "unknown parameter; allowed are: %s", listOrNone(allowed))
		}
		if len(values[name]) > 1 {
			return errkind.New(errkind.InvalidArgument, name, "the parameter is given %d times", len(values[name]))
		}
	}
	return nil
}

func listOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// singleHeader returns the value of a header that may be given at most once.
func (x *exchange) singleHeader(name string) (string, error) {
	values := x.r.Header.Values(name)
	if len(values) > 1 {
		return "", errkind.New(errkind.InvalidArgument, name, "the header is given %d times", len(values))
	}
	return x.r.Header.Get(name), nil
}

// setRequestID takes the request ID from the header or generates one.
func (x *exchange) setRequestID() error {
	id, err := x.singleHeader("Request-Id")
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
		return errkind.Wrap(err, errkind.Internal, "", "generate a request ID")
	}
	x.requestID = made.String()
	return nil
}

// requestDeadline returns the deadline of a request as boot time: queueDeadlineMs
// after its arrival, or the deadline given by the caller if that is earlier.
func (x *exchange) requestDeadline(queueDeadlineMs int) (time.Duration, error) {
	latest := x.arrivedAt + time.Duration(queueDeadlineMs)*time.Millisecond
	text, err := x.singleHeader("Request-Deadline")
	if err != nil || text == "" {
		return latest, err
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, errkind.New(errkind.InvalidArgument, "Request-Deadline", "value %q is not an RFC 3339 time such as 2026-05-01T08:00:00.250Z", truncate(text))
	}
	left := at.Sub(x.server.options.Clock.Now())
	if left <= 0 {
		return 0, errkind.New(errkind.DeadlineExceeded, "Request-Deadline", "the deadline %s has passed", text)
	}
	return min(latest, x.server.options.Clock.Boot()+left), nil
}

// pathID returns a path parameter that must be an ID.
func (x *exchange) pathID(name string) (string, error) {
	id := x.r.PathValue(name)
	if !idPattern.MatchString(id) {
		return "", errkind.New(errkind.InvalidArgument, name, "value %q is not an ID", truncate(id))
	}
	return id, nil
}
