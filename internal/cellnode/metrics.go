package cellnode

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/endivehill/endivehill/internal/owner"
	"github.com/endivehill/endivehill/internal/rows"
)

// metrics holds the counters and histograms of a node.
type metrics struct {
	registry      *prometheus.Registry
	callsTotal    *prometheus.CounterVec   // calls to the platform
	callSeconds   *prometheus.HistogramVec // duration of calls to the platform
	answersTotal  *prometheus.CounterVec   // answers to callers
	answerSeconds *prometheus.HistogramVec // time until a caller is answered
	silentTotal   *prometheus.CounterVec   // connections closed because they were silent
}

func newMetrics() *metrics {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 13)
	m := &metrics{
		registry: prometheus.NewRegistry(),
		callsTotal: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivehill_platform_calls_total", Help: "Calls to the platform by service, operation and result.",
		}, []string{"service", "op", "result"}),
		callSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "endivehill_platform_call_seconds", Help: "Duration of calls to the platform in seconds.", Buckets: buckets,
		}, []string{"service", "op"}),
		answersTotal: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivehill_answers_total", Help: "Answers to callers by method and status.",
		}, []string{"method", "status"}),
		answerSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "endivehill_answer_seconds", Help: "Time until a caller is answered in seconds.", Buckets: buckets,
		}, []string{"method"}),
		silentTotal: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivehill_silent_connections_total",
			Help: "Connections closed because a call on them had no answer; for services and workers, timeouts that closed the idle connections to an address.",
		}, []string{"service"}),
	}
	m.registry.MustRegister(m.callsTotal, m.callSeconds, m.answersTotal, m.answerSeconds, m.silentTotal, collectors.NewGoCollector())
	return m
}

func (m *metrics) recordCall(service, op string, began time.Time, err error) {
	m.callsTotal.WithLabelValues(service, op, resultLabel(err)).Inc()
	m.callSeconds.WithLabelValues(service, op).Observe(time.Since(began).Seconds())
}

// resultLabel returns the value of the label "result" for the outcome of a call.
func resultLabel(err error) string {
	var conflict *rows.ConflictError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.Is(err, rows.ErrUnavailable):
		return "refused"
	case errors.Is(err, rows.ErrCompacted):
		return "compacted"
	case errors.Is(err, owner.ErrFenced):
		return "fenced"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	}
	return "error"
}

func (m *metrics) recordAnswer(method string, status int, took time.Duration) {
	m.answersTotal.WithLabelValues(method, strconv.Itoa(status)).Inc()
	m.answerSeconds.WithLabelValues(method).Observe(took.Seconds())
}

// metricsHandler serves the metrics, the state dump and the explanations of placements.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /state", n.serveState)
	mux.Handle("POST /explain", n.newExplainHandler())
	return mux
}
