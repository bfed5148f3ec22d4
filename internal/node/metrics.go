package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/endivehill/endivehill/internal/jobs"
	"github.com/endivehill/endivehill/internal/platform"
	"github.com/endivehill/endivehill/internal/requests"
)

// platformMetrics are the metrics of calls to the platform.
type platformMetrics struct {
	calls    *prometheus.CounterVec
	duration *prometheus.HistogramVec
	batches  prometheus.Histogram
}

func newPlatformMetrics(r *prometheus.Registry) *platformMetrics {
	m := &platformMetrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivehill_platform_calls_total", Help: "Calls to the platform by service, operation and result.",
		}, []string{"service", "op", "result"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "endivehill_platform_call_seconds", Help: "Duration of calls to the platform in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"service", "op"}),
		batches: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "endivehill_store_batch_operations", Help: "Operations in one transaction of the group commit.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 8),
		}),
	}
	r.MustRegister(m.calls, m.duration, m.batches, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// registerMetrics registers the metrics of the node and of its partitions.
func (n *Node) registerMetrics() error {
	var err error
	if n.jobMetrics, err = jobs.NewMetrics(n.metrics); err != nil {
		return err
	}
	if n.requestMetrics, err = requests.NewMetrics(n.metrics); err != nil {
		return err
	}
	return n.metrics.Register(newCollector(n))
}

func (m *platformMetrics) observe(c platform.Call) {
	result := "ok"
	if c.Err != nil {
		result = "error"
	}
	m.calls.WithLabelValues(c.Service, c.Op, result).Inc()
	m.duration.WithLabelValues(c.Service, c.Op).Observe(c.Elapsed.Seconds())
}

func (m *platformMetrics) observeBatch(ops int, _ time.Duration, _ error) {
	m.batches.Observe(float64(ops))
}
