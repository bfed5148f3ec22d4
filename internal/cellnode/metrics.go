package cellnode

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/owner"
	"github.com/endivehill/endivehill/internal/rows"
)

// metrics counts what a node does.
type metrics struct {
	registry *prometheus.Registry
	calls    *prometheus.CounterVec   // to the platform
	duration *prometheus.HistogramVec // of those calls
	answers  *prometheus.CounterVec   // to callers
	answered *prometheus.HistogramVec // time until the answer
}

func newMetrics() *metrics {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 13)
	m := &metrics{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivehill_platform_calls_total", Help: "Calls to the platform by service, operation and result.",
		}, []string{"service", "op", "result"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "endivehill_platform_call_seconds", Help: "Duration of calls to the platform in seconds.", Buckets: buckets,
		}, []string{"service", "op"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivehill_answers_total", Help: "Answers to callers by method and status.",
		}, []string{"method", "status"}),
		answered: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "endivehill_answer_seconds", Help: "Time until a caller is answered in seconds.", Buckets: buckets,
		}, []string{"method"}),
	}
	m.registry.MustRegister(m.calls, m.duration, m.answers, m.answered, collectors.NewGoCollector())
	return m
}

func (m *metrics) call(service, op string, began time.Time, err error) {
	m.calls.WithLabelValues(service, op, resultOf(err)).Inc()
	m.duration.WithLabelValues(service, op).Observe(time.Since(began).Seconds())
}

// resultOf names the outcome of a call.
func resultOf(err error) string {
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

func (m *metrics) answer(method string, status int, took time.Duration) {
	m.answers.WithLabelValues(method, strconv.Itoa(status)).Inc()
	m.answered.WithLabelValues(method).Observe(took.Seconds())
}

// measuredStore is a table service whose calls are counted.
type measuredStore struct {
	rows.Store
	metrics *metrics
}

func (s *measuredStore) Commit(ctx context.Context, tx *rows.Tx) (rows.Stamp, error) {
	began := time.Now()
	stamp, err := s.Store.Commit(ctx, tx)
	s.metrics.call("store", "commit", began, err)
	return stamp, err
}

func (s *measuredStore) Range(ctx context.Context, table, part, from string) (rows.Page, error) {
	began := time.Now()
	page, err := s.Store.Range(ctx, table, part, from)
	s.metrics.call("store", "range", began, err)
	return page, err
}

func (s *measuredStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (rows.Page, error) {
	began := time.Now()
	page, err := s.Store.Feed(ctx, table, after, wait)
	s.metrics.call("store", "feed", began, err)
	return page, err
}

// measuredWorkers is workers whose calls are counted.
type measuredWorkers struct {
	owner.Workers
	metrics *metrics
}

func (w *measuredWorkers) Hold(ctx context.Context, epoch int, h *cell.Hold) (*cell.Report, error) {
	began := time.Now()
	report, err := w.Workers.Hold(ctx, epoch, h)
	w.metrics.call("worker", "hold", began, err)
	return report, err
}

func (w *measuredWorkers) Start(ctx context.Context, epoch int, s *cell.Start) (cell.StartOutcome, int64) {
	began := time.Now()
	outcome, clockMs := w.Workers.Start(ctx, epoch, s)
	w.metrics.calls.WithLabelValues("worker", "start", outcome.String()).Inc()
	w.metrics.duration.WithLabelValues("worker", "start").Observe(time.Since(began).Seconds())
	return outcome, clockMs
}

func (w *measuredWorkers) Stop(ctx context.Context, epoch int, s *cell.Stop) (int64, error) {
	began := time.Now()
	clockMs, err := w.Workers.Stop(ctx, epoch, s)
	w.metrics.call("worker", "stop", began, err)
	return clockMs, err
}

func (w *measuredWorkers) Pace(ctx context.Context, epoch int, p *cell.Pace) error {
	began := time.Now()
	err := w.Workers.Pace(ctx, epoch, p)
	w.metrics.call("worker", "pace", began, err)
	return err
}

// measuredAdviser is an adviser whose calls are counted.
type measuredAdviser struct {
	owner.Adviser
	metrics *metrics
}

func (a *measuredAdviser) Advise(ctx context.Context, call *api.AdviceCall) (*api.AdviceAnswer, error) {
	began := time.Now()
	answer, err := a.Adviser.Advise(ctx, call)
	a.metrics.call("adviser", "advise", began, err)
	return answer, err
}

// nodeCollector reads the state of a node when metrics are asked for.
type nodeCollector struct {
	node *Node
}

func gauge(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("endivehill_"+name, help, labels, nil)
}

var (
	descEpoch      = gauge("cell_epoch", "Highest epoch of the ownership that the node knows.")
	descOwner      = gauge("cell_owner", "1 if the node owns the cell.")
	descLag        = gauge("cell_owner_lag_seconds", "How late the control goroutine of the owner is.")
	descConfig     = gauge("config_version", "Configuration version in force.")
	descConfigAge  = gauge("config_age_seconds", "Time since that version was known to be the newest.")
	descStoreAge   = gauge("store_age_seconds", "Time since the table service last served a call.")
	descDropped    = gauge("log_lines_dropped", "Log lines that were dropped.")
	descWorks      = gauge("cell_works", "Works by what became of them, since the node owns the cell.", "state")
	descRuns       = gauge("cell_runs", "Runs of tasks by what became of them, since the node owns the cell.", "state")
	descAdvice     = gauge("cell_advice_calls", "Calls for advice, since the node owns the cell.", "result")
	descReady      = gauge("cell_ready_steps", "Steps with tasks that wait to be placed.")
	descWorkers    = gauge("cell_workers", "Workers, and those on which tasks run.", "state")
	descriptions   = []*prometheus.Desc{descEpoch, descOwner, descLag, descConfig, descConfigAge, descStoreAge, descDropped, descWorks, descRuns, descAdvice, descReady, descWorkers}
	metricsTimeout = 2 * time.Second
)

// Describe lists the metrics.
func (c *nodeCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range descriptions {
		out <- d
	}
}

// Collect reads the metrics.
func (c *nodeCollector) Collect(out chan<- prometheus.Metric) {
	n := c.node
	set := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	view, _ := n.election.View()
	version, seen := n.gate.Version()
	set(descEpoch, float64(view.Epoch))
	set(descOwner, boolValue(view.Self))
	set(descLag, n.owner.Lag().Seconds())
	set(descConfig, float64(version))
	set(descConfigAge, (n.clock.Boot() - seen).Seconds())
	set(descStoreAge, (n.clock.Boot() - time.Duration(n.storeSeen.Load())).Seconds())
	if n.options.Dropped != nil {
		set(descDropped, float64(n.options.Dropped()))
	}
	s := n.owner.Stats()
	if s == nil || !view.Self {
		return
	}
	for _, v := range []struct {
		desc  *prometheus.Desc
		label string
		value int
	}{
		{descWorks, "refused", s.Refused}, {descWorks, "accepted", s.Accepted}, {descWorks, "completed", s.Completed},
		{descWorks, "failed", s.Failed}, {descWorks, "canceled", s.Canceled}, {descWorks, "active", s.ActiveWorks},
		{descRuns, "started", s.Started}, {descRuns, "done", s.Done}, {descRuns, "failed", s.TaskFailed},
		{descRuns, "lost", s.Lost}, {descRuns, "preempted", s.Preempted},
		{descRuns, "refused_for_room", s.RoomRefused}, {descRuns, "refused_for_ticket", s.StaleTickets},
		{descAdvice, "asked", s.Asked}, {descAdvice, "failed", s.AskFailed},
		{descWorkers, "listed", s.Workers}, {descWorkers, "busy", s.BusyWorkers},
	} {
		set(v.desc, float64(v.value), v.label)
	}
	set(descReady, float64(s.ReadySteps))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// stateDump is what a node tells about itself on request.
type stateDump struct {
	Node          string     `json:"node"`
	Owner         string     `json:"owner"`
	Epoch         int        `json:"epoch"`
	OwnsCell      bool       `json:"owns_cell"`
	Ready         bool       `json:"ready"`
	ConfigVersion int        `json:"config_version"`
	ConfigAgeMs   int64      `json:"config_age_ms"`
	StoreAgeMs    int64      `json:"store_age_ms"`
	Cell          *cell.Dump `json:"cell,omitempty"`
}

// metricsHandler serves the metrics and the state dump.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /state", n.serveState)
	return mux
}

func (n *Node) serveState(w http.ResponseWriter, r *http.Request) {
	view, _ := n.election.View()
	version, seen := n.gate.Version()
	dump := stateDump{
		Node: n.settings.Node, Owner: view.Address, Epoch: view.Epoch, OwnsCell: view.Self, Ready: n.isReady(),
		ConfigVersion: version, ConfigAgeMs: (n.clock.Boot() - seen).Milliseconds(),
		StoreAgeMs: (n.clock.Boot() - time.Duration(n.storeSeen.Load())).Milliseconds(),
	}
	if view.Self {
		ctx, cancel := context.WithTimeout(r.Context(), metricsTimeout)
		defer cancel()
		dump.Cell = n.owner.Dump(ctx)
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(&dump); err != nil {
		return // the caller is gone
	}
}
