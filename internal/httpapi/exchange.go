package httpapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
)

// exchange is one HTTP call.
type exchange struct {
	s *Server
	w http.ResponseWriter
	r *http.Request

	arrived   time.Duration // boot time
	queue     string        // for metrics; only the name of a queue that exists
	requestID string
	key       api.Key // zero on a queue open to all
}

// reply is a whole response.
type reply struct {
	status      int
	contentType string
	header      map[string]string
	body        []byte
}

// jsonReply returns a reply with v as JSON.
func jsonReply(status int, v any) (*reply, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "", "encode the response")
	}
	return &reply{status: status, contentType: "application/json", body: b.Bytes()}, nil
}

// wrap makes an HTTP handler of a method of the API.
func (s *Server) wrap(route string, handle func(*exchange) (*reply, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{s: s, w: w, r: r, arrived: s.o.Clock.Boot()}
		defer s.metrics.closed(&s.open)
		out, err := x.serve(s.metrics.opened(&s.open), handle)
		kind := "ok"
		if err != nil {
			kind = string(errkind.From(err).Kind)
			out = x.errorReply(err)
		}
		x.send(out)
		s.metrics.observe(route, x.queue, kind, s.o.Clock.Boot()-x.arrived)
	})
}

// serve checks what every call must satisfy and runs its handler. open is the
// number of open calls, this one included.
func (x *exchange) serve(open int64, handle func(*exchange) (*reply, error)) (out *reply, err error) {
	defer func() {
		if p := recover(); p != nil {
			event.HTTPPanic.Log(x.s.o.Logger, "path", x.r.Pattern, "panic", p, "stack", string(debug.Stack()))
			out, err = nil, errkind.New(errkind.Internal, "", "a fault in endivehill")
		}
	}()
	x.limitBodyTime()
	if open > int64(x.s.o.Limits.MaxOpenRequests) {
		return nil, errkind.New(errkind.Overloaded, "", "the node serves %d calls already", x.s.o.Limits.MaxOpenRequests)
	}
	if err := x.checkHeader(); err != nil {
		return nil, err
	}
	return handle(x)
}

// checkHeader checks the size of the request line and header.
func (x *exchange) checkHeader() error {
	const separators = 4 // colon, space and line end
	size := len(x.r.Method) + len(x.r.RequestURI) + len(x.r.Host)
	for name, values := range x.r.Header {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	if limit := x.s.o.Limits.MaxHeaderBytes; size > limit {
		return errkind.New(errkind.HeaderTooLarge, "header", "the header has about %d bytes, allowed are %d", size, limit)
	}
	return nil
}

// send writes a reply. A caller that reads too slowly is cut off.
func (x *exchange) send(out *reply) {
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(writeTimeout)) // not supported by all writers
	h := x.w.Header()
	for name, value := range out.header {
		h.Set(name, value)
	}
	if x.requestID != "" {
		h.Set("Request-Id", x.requestID)
	}
	h.Set("X-Content-Type-Options", "nosniff")
	if out.status == http.StatusNoContent || out.status == http.StatusNotModified {
		x.w.WriteHeader(out.status)
		return
	}
	if out.contentType != "" {
		h.Set("Content-Type", out.contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(out.body)))
	x.w.WriteHeader(out.status)
	_, _ = x.w.Write(out.body) // the caller may be gone
}

func writePlain(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}
