// Package httpapi is the HTTP API for callers and operators. For every call it limits
// the size of the header and the body, and the time to receive them and to write the
// response. Every error has a kind of the closed list in package errkind and says
// whether the work has run. A response is complete before its first byte is sent.
package httpapi

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/endivehill/endivehill/internal/bodybudget"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/connlimit"
	"github.com/endivehill/endivehill/internal/event"
)

// Server serves the API.
type Server struct {
	options   Options
	metrics   *metrics
	mux       *http.ServeMux
	bodies    *bodybudget.Budget
	refusals  *bodybudget.RefusalLog
	conns     *connlimit.Limiter
	openCalls atomic.Int64
	draining  atomic.Bool
	// bodyTimeout differs from the constant only in tests.
	bodyTimeout time.Duration
}

// New returns a server.
func New(o Options) (*Server, error) {
	o.setDefaults()
	m, err := newMetrics(o.Metrics)
	if err != nil {
		return nil, err
	}
	s := &Server{options: o, metrics: m, mux: http.NewServeMux(), bodyTimeout: bodyTimeout}
	s.bodies = bodybudget.New(bodybudget.Options{
		Bytes: int64(o.Limits.MaxBodyMemoryBytes), MaxBodyBytes: int64(o.Limits.MaxBodyBytes), Now: o.Clock.Boot,
	})
	s.refusals = &bodybudget.RefusalLog{Budget: s.bodies, Logger: o.Logger}
	s.conns = connlimit.New(connlimit.Options{Limit: o.Limits.MaxConnections, MaxBodyBytes: int64(o.Limits.MaxBodyBytes), Logger: o.Logger})
	if err := registerAll(o.Metrics, bodybudget.Collector{Budget: s.bodies}, connlimit.Collector{Limiter: s.conns}); err != nil {
		return nil, err
	}
	s.registerRoutes()
	return s, nil
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler { return s.mux }

// HTTPServer returns a server with the timeouts and size limits of the API. The
// handlers set the body timeout, which starts at the end of the header.
func (s *Server) HTTPServer() *http.Server {
	server := &http.Server{
		Handler:           s.mux,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		// The handlers check the exact limit and answer with an error body. A header
		// far above the limit is refused by net/http in plain text.
		MaxHeaderBytes: 2 * s.options.Limits.MaxHeaderBytes,
		ErrorLog:       stdlog.New(connectionLog{s}, "", 0),
	}
	s.conns.Install(server)
	return server
}

// Listener returns a listener for the server of HTTPServer that limits its connections.
func (s *Server) Listener(l net.Listener) net.Listener { return s.conns.Listener(l) }

// Shutdown shuts the server of HTTPServer down gracefully. It does not wait for callers that have
// stopped in the middle of a body.
func (s *Server) Shutdown(ctx context.Context, server *http.Server) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.closeStalled(ctx)
	return server.Shutdown(ctx)
}

func (s *Server) closeStalled(ctx context.Context) {
	for clock.Sleep(ctx, closeStalledInterval) {
		s.conns.CloseStalled()
	}
}

// Drain makes /readyz report that the node is stopping, so that the balancer
// sends no more callers. Calls are still served.
func (s *Server) Drain() {
	if !s.draining.Swap(true) {
		event.HTTPDraining.Log(s.options.Logger)
	}
}

// connectionLog logs the messages of net/http as events.
type connectionLog struct{ s *Server }

func (l connectionLog) Write(p []byte) (int, error) {
	event.HTTPConnectionError.Log(l.s.options.Logger, "err", string(p))
	return len(p), nil
}

// route is one method of one path.
type route struct {
	method string
	handle func(x *exchange) (*reply, error)
}

func (s *Server) registerRoutes() {
	s.handlePath("/v1/queues/{queue}/requests", route{http.MethodPost, s.postRequest})
	s.handlePath("/v1/requests/{id}", route{http.MethodGet, s.getRequest}, route{http.MethodDelete, s.deleteRequest})
	s.handlePath("/v1/jobs", route{http.MethodGet, s.listJobs}, route{http.MethodPost, s.postJob})
	s.handlePath("/v1/jobs/{id}", route{http.MethodGet, s.getJob}, route{http.MethodDelete, s.deleteJob})
	s.handlePath("/v1/config", route{http.MethodGet, s.getConfig}, route{http.MethodPost, s.postConfig})
	s.handlePath("/v1/config/plan", route{http.MethodPost, s.postPlan})
	s.handlePath("/v1/config/versions/{n}", route{http.MethodGet, s.getConfigVersion})
	s.handlePath("/v1/keys", route{http.MethodGet, s.listKeys}, route{http.MethodPost, s.postKey})
	s.handlePath("/v1/keys/{id}", route{http.MethodDelete, s.deleteKey})
	s.handlePath("/v1/state", route{http.MethodGet, s.getState})
	s.mux.Handle("/", s.handler("", func(x *exchange) (*reply, error) { return nil, pathNotFound(x) }))
	s.mux.HandleFunc("GET /healthz", s.healthz)
	s.mux.HandleFunc("GET /readyz", s.readyz)
	s.mux.Handle("GET /metrics", promhttp.HandlerFor(s.options.Metrics, promhttp.HandlerOpts{}))
}

// handlePath registers the routes of a path and an error reply for other methods.
func (s *Server) handlePath(pattern string, routes ...route) {
	allowed := ""
	for _, r := range routes {
		s.mux.Handle(r.method+" "+pattern, s.handler(r.method+" "+pattern, r.handle))
		if allowed != "" {
			allowed += ", "
		}
		allowed += r.method
	}
	s.mux.Handle(pattern, s.handler(pattern, func(x *exchange) (*reply, error) {
		x.w.Header().Set("Allow", allowed)
		return nil, methodNotAllowed(x, allowed)
	}))
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	writePlain(w, http.StatusOK, "ok\n")
}

// readyz tells the balancer whether to send callers to this node.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if s.draining.Load() {
		writePlain(w, http.StatusServiceUnavailable, "the node is stopping\n")
		return
	}
	if err := s.options.Ready(); err != nil {
		writePlain(w, http.StatusServiceUnavailable, err.Error()+"\n")
		return
	}
	writePlain(w, http.StatusOK, "ready\n")
}
