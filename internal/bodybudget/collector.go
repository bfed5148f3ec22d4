package bodybudget

import "github.com/prometheus/client_golang/prometheus"

// Collector reads the metrics of a budget when they are scraped.
type Collector struct{ Budget *Budget }

var (
	descBytes   = prometheus.NewDesc("endivehill_body_memory_bytes", "Memory for request bodies in bytes: of small and of large bodies, and the limit of their sum.", []string{"state"}, nil)
	descRefused = prometheus.NewDesc("endivehill_bodies_refused_total", "Request bodies refused because the memory for them was used up, by reason.", []string{"reason"}, nil)
)

// Describe lists the metrics.
func (Collector) Describe(out chan<- *prometheus.Desc) {
	out <- descBytes
	out <- descRefused
}

// Collect reads the metrics.
func (c Collector) Collect(out chan<- prometheus.Metric) {
	s := c.Budget.Stats()
	out <- prometheus.MustNewConstMetric(descBytes, prometheus.GaugeValue, float64(s.Small), "small")
	out <- prometheus.MustNewConstMetric(descBytes, prometheus.GaugeValue, float64(s.Large), "large")
	out <- prometheus.MustNewConstMetric(descBytes, prometheus.GaugeValue, float64(s.Limit), "limit")
	for _, r := range Reasons {
		out <- prometheus.MustNewConstMetric(descRefused, prometheus.CounterValue, float64(s.Refused[r]), string(r))
	}
}
