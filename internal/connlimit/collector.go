package connlimit

import "github.com/prometheus/client_golang/prometheus"

// Collector reads the metrics of the connections of callers when they are scraped.
type Collector struct{ Limiter *Limiter }

var (
	descConns    = prometheus.NewDesc("endivehill_caller_connections", "Connections of callers: open, and their limit.", []string{"state"}, nil)
	descRefused  = prometheus.NewDesc("endivehill_caller_connections_refused_total", "New connections of callers closed because of the limit.", nil, nil)
	descReplaced = prometheus.NewDesc("endivehill_caller_connections_replaced_total", "Connections that waited for their callers and were closed in favor of new ones.", nil, nil)
)

// Describe lists the metrics.
func (Collector) Describe(out chan<- *prometheus.Desc) {
	out <- descConns
	out <- descRefused
	out <- descReplaced
}

// Collect reads the metrics.
func (c Collector) Collect(out chan<- prometheus.Metric) {
	s := c.Limiter.Stats()
	out <- prometheus.MustNewConstMetric(descConns, prometheus.GaugeValue, float64(s.Open), "open")
	out <- prometheus.MustNewConstMetric(descConns, prometheus.GaugeValue, float64(s.Limit), "limit")
	out <- prometheus.MustNewConstMetric(descRefused, prometheus.CounterValue, float64(s.Refused))
	out <- prometheus.MustNewConstMetric(descReplaced, prometheus.CounterValue, float64(s.Replaced))
}
