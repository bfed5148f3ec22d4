package requests

import (
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/endivehill/endivehill/internal/errkind"
)

// Metrics are the metrics of the executor partitions of a node. A nil Metrics
// counts nothing.
type Metrics struct {
	wait     *prometheus.HistogramVec
	slotTime *prometheus.HistogramVec
	results  *prometheus.CounterVec
	retries  *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(r *prometheus.Registry) (*Metrics, error) {
	buckets := []float64{.001, .002, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}
	m := &Metrics{
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "endivehill_request_wait_seconds",
			Help:    "Time from the arrival of a request at the owner of its partition to its start.",
			Buckets: buckets,
		}, []string{"queue"}),
		slotTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "endivehill_request_slot_seconds",
			Help:    "Time that a request held a slot of an executor.",
			Buckets: buckets,
		}, []string{"queue"}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivehill_requests_total",
			Help: "Requests that an owner accepted, by queue and kind of the result.",
		}, []string{"queue", "kind"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivehill_request_retries_total",
			Help: "Idempotent requests that were given to another executor.",
		}, []string{"queue"}),
	}
	for _, c := range []prometheus.Collector{m.wait, m.slotTime, m.results, m.retries} {
		if err := r.Register(c); err != nil {
			return nil, errors.Wrap(err, "register the metrics of executor partitions")
		}
	}
	return m, nil
}

func (m *Metrics) started(queue string, wait time.Duration) {
	if m != nil {
		m.wait.WithLabelValues(queue).Observe(wait.Seconds())
	}
}

func (m *Metrics) slotReleased(queue string, held time.Duration) {
	if m != nil {
		m.slotTime.WithLabelValues(queue).Observe(held.Seconds())
	}
}

func (m *Metrics) retried(queue string) {
	if m != nil {
		m.retries.WithLabelValues(queue).Inc()
	}
}

func (m *Metrics) finished(queue string, err error) {
	if m == nil {
		return
	}
	kind := "ok"
	if err != nil {
		kind = string(errkind.From(err).Kind)
	}
	m.results.WithLabelValues(queue, kind).Inc()
}
