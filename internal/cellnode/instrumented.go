package cellnode

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/owner"
	"github.com/endivehill/endivehill/internal/rows"
)

// instrumentedStore counts and times the calls to the table service.
type instrumentedStore struct {
	rows.Store
	metrics *metrics
}

func (s *instrumentedStore) Commit(ctx context.Context, tx *rows.Tx) (rows.Timestamp, error) {
	began := time.Now()
	timestamp, err := s.Store.Commit(ctx, tx)
	s.metrics.recordCall("store", "commit", began, err)
	return timestamp, err
}

func (s *instrumentedStore) Range(ctx context.Context, table, part, from string) (rows.Page, error) {
	began := time.Now()
	page, err := s.Store.Range(ctx, table, part, from)
	s.metrics.recordCall("store", "range", began, err)
	return page, err
}

func (s *instrumentedStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (rows.Page, error) {
	began := time.Now()
	page, err := s.Store.Feed(ctx, table, after, wait)
	s.metrics.recordCall("store", "feed", began, err)
	return page, err
}

// instrumentedWorkers counts and times the calls to workers.
type instrumentedWorkers struct {
	owner.Workers
	metrics *metrics
}

func (w *instrumentedWorkers) Poll(ctx context.Context, p *cell.Poll) (*cell.Report, error) {
	began := time.Now()
	report, err := w.Workers.Poll(ctx, p)
	w.metrics.recordCall("worker", "hold", began, err)
	return report, err
}

func (w *instrumentedWorkers) Start(ctx context.Context, s *cell.Start) (cell.StartOutcome, int64) {
	began := time.Now()
	outcome, clockMs := w.Workers.Start(ctx, s)
	w.metrics.callsTotal.WithLabelValues("worker", "start", outcome.String()).Inc()
	w.metrics.callSeconds.WithLabelValues("worker", "start").Observe(time.Since(began).Seconds())
	return outcome, clockMs
}

func (w *instrumentedWorkers) Stop(ctx context.Context, s *cell.Stop) (int64, error) {
	began := time.Now()
	clockMs, err := w.Workers.Stop(ctx, s)
	w.metrics.recordCall("worker", "stop", began, err)
	return clockMs, err
}

func (w *instrumentedWorkers) Throttle(ctx context.Context, throttle *cell.Throttle) error {
	began := time.Now()
	err := w.Workers.Throttle(ctx, throttle)
	w.metrics.recordCall("worker", "pace", began, err)
	return err
}

// instrumentedAdviser counts and times the calls to the adviser.
type instrumentedAdviser struct {
	owner.Adviser
	metrics *metrics
}

func (a *instrumentedAdviser) Advise(ctx context.Context, call *api.AdviceCall) (*api.AdviceAnswer, error) {
	began := time.Now()
	answer, err := a.Adviser.Advise(ctx, call)
	a.metrics.recordCall("adviser", "advise", began, err)
	return answer, err
}
