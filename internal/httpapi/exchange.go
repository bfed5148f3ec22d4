package httpapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/bodybudget"
	"github.com/endivehill/endivehill/internal/connlimit"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
)

// exchange is one HTTP call and its response.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request

	arrivedAt time.Duration // boot time
	queue     string        // label of metrics; empty or the name of an existing queue
	requestID string
	key       api.Key            // zero if the call has no key
	charge    *bodybudget.Charge // of the body; nil if none is read
}

// reply is a complete response.
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

// handler returns an HTTP handler that serves a route with handle.
func (s *Server) handler(route string, handle func(*exchange) (*reply, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{server: s, w: w, r: r, arrivedAt: s.options.Clock.Boot()}
		defer s.metrics.callEnded(&s.openCalls)
		defer x.releaseBody()
		out, err := x.serve(s.metrics.callStarted(&s.openCalls), handle)
		if err == nil || x.key.Id != "" {
			connlimit.Trust(r.Context())
		}
		kind := "ok"
		if err != nil {
			kind = string(errkind.From(err).Kind)
			out = x.errorReply(err)
			s.refusals.Report(err)
		}
		x.writeReply(out)
		s.metrics.observeCall(route, x.queue, kind, s.options.Clock.Boot()-x.arrivedAt)
	})
}

// serve checks the limits that hold for every call and runs its handler. open is
// the number of open calls, including this one.
func (x *exchange) serve(open int64, handle func(*exchange) (*reply, error)) (out *reply, err error) {
	defer func() {
		if p := recover(); p != nil {
			event.HTTPPanic.Log(x.server.options.Logger, "path", x.r.Pattern, "panic", p, "stack", string(debug.Stack()))
			out, err = nil, errkind.New(errkind.Internal, "", "the handler of the call panicked")
		}
	}()
	x.limitBodyTime()
	if open > int64(x.server.options.Limits.MaxOpenRequests) {
		return nil, errkind.New(errkind.Overloaded, "", "the node already serves %d calls", x.server.options.Limits.MaxOpenRequests)
	}
	if err := x.checkHeader(); err != nil {
		return nil, err
	}
	return handle(x)
}

// checkHeader checks the total size of the request line and header.
func (x *exchange) checkHeader() error {
	const separators = 4 // colon, space and line end
	size := len(x.r.Method) + len(x.r.RequestURI) + len(x.r.Host)
	for name, values := range x.r.Header {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	if limit := x.server.options.Limits.MaxHeaderBytes; size > limit {
		return errkind.New(errkind.HeaderTooLarge, "header", "the header has about %d bytes; the limit is %d", size, limit)
	}
	return nil
}

// writeReply writes a reply. The connection of a caller that reads too slowly is
// closed at the write deadline.
func (x *exchange) writeReply(out *reply) {
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
	_, _ = x.w.Write(out.body) // the caller may have disconnected
}

func writePlain(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}
