package httpapi

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the metrics of the API. Label values come only from routes, the
// configuration and the closed list of error kinds, so that callers cannot
// create new series.
type metrics struct {
	calls     *prometheus.CounterVec
	duration  *prometheus.HistogramVec
	openCalls prometheus.Gauge
}

func newMetrics(r *prometheus.Registry) (*metrics, error) {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivehill_http_calls_total",
			Help: "HTTP calls by route, queue and kind of the result.",
		}, []string{"route", "queue", "kind"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "endivehill_http_call_seconds",
			Help:    "Time from the header of an HTTP call to the end of its response.",
			Buckets: []float64{.002, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30},
		}, []string{"queue", "kind"}),
		openCalls: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "endivehill_http_open_calls",
			Help: "HTTP calls that are being served.",
		}),
	}
	return m, registerAll(r, m.calls, m.duration, m.openCalls)
}

func registerAll(r *prometheus.Registry, collectors ...prometheus.Collector) error {
	for _, c := range collectors {
		if err := r.Register(c); err != nil {
			return errors.Wrap(err, "register the metrics of the HTTP API")
		}
	}
	return nil
}

func (m *metrics) observeCall(route, queue, kind string, elapsed time.Duration) {
	m.calls.WithLabelValues(route, queue, kind).Inc()
	m.duration.WithLabelValues(queue, kind).Observe(elapsed.Seconds())
}

// callStarted counts a call that starts and returns the number of open calls.
func (m *metrics) callStarted(n *atomic.Int64) int64 {
	m.openCalls.Inc()
	return n.Add(1)
}

func (m *metrics) callEnded(n *atomic.Int64) {
	m.openCalls.Dec()
	n.Add(-1)
}
