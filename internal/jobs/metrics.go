package jobs

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/scheduler"
)

// Metrics are the metrics of all worker partitions of a process.
type Metrics struct {
	firstStartWait *prometheus.HistogramVec
	attemptEnds    *prometheus.CounterVec
}

// NewMetrics registers the metrics of worker partitions.
func NewMetrics(r prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		firstStartWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "endivehill_task_wait_seconds",
			Help:    "Time from the submission of a job to the first start of each of its tasks.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 18),
		}, []string{"partition", "class", "urgency"}),
		attemptEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivehill_task_ends_total",
			Help: "Ends of task attempts by outcome.",
		}, []string{"partition", "outcome"}),
	}
	for _, c := range []prometheus.Collector{m.firstStartWait, m.attemptEnds} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// taskStarted observes the waiting time of the first start of a task. m may be
// nil.
func (m *Metrics) taskStarted(j *job, attempt int, now time.Time) {
	if m == nil || attempt != 1 {
		return
	}
	spec := j.row.Spec
	wait := now.Sub(time.UnixMilli(int64(j.row.SubmittedUnixMs)))
	m.firstStartWait.WithLabelValues(j.row.Partition, string(spec.Class), string(spec.Urgency)).Observe(wait.Seconds())
}

// attemptEnded counts the end of an attempt. m may be nil.
func (m *Metrics) attemptEnded(row api.JobRow, outcome scheduler.Outcome) {
	if m == nil {
		return
	}
	m.attemptEnds.WithLabelValues(row.Partition, string(outcome)).Inc()
}
