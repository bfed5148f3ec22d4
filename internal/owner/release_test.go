package owner

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/settings"
	"github.com/endivehill/endivehill/internal/work"
)

// failingStore accepts one claim of the cell and fails every other call but reads of the
// ownership row.
type failingStore struct {
	mu      sync.Mutex
	claimed bool
}

func (s *failingStore) Commit(context.Context, *rows.Tx) (rows.Timestamp, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claimed {
		return rows.Timestamp{}, rows.ErrUnavailable
	}
	s.claimed = true
	return rows.Timestamp{Version: 1}, nil
}

func (s *failingStore) Range(_ context.Context, table, _, _ string) (rows.Page, error) {
	if table == tableWork {
		return rows.Page{}, rows.ErrUnavailable
	}
	return rows.Page{}, nil
}

func (s *failingStore) Feed(context.Context, string, int64, time.Duration) (rows.Page, error) {
	return rows.Page{}, rows.ErrUnavailable
}

// Guards against a failed release of the ownership that is logged as a failed load.
func TestFailedReleaseIsLoggedAsSuch(t *testing.T) {
	logs := &bytes.Buffer{}
	logger := log.NewSyncLogger(log.NewLogfmtLogger(logs))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	o := New(Options{
		Settings: &settings.Cell{}, Store: &failingStore{}, Workers: idleWorkers{cancel: cancel},
		Config: func() *work.Config { return nil }, Clock: clock.System{}, Logger: logger, Fleet: recordedFleet{},
	})
	agent := election.NewAgent(election.Options{
		Holder: election.Holder{Node: "n0", Incarnation: "i", Address: "n0"}, Store: o.options.Store, ReportUnanswered: func(string) {},
		Clock: clock.System{}, Logger: logger, Owner: o, CPUMillis: 1000, LastStoreAnswer: func() time.Duration { return 0 },
	})
	agent.Run(ctx)
	if n := bytes.Count(logs.Bytes(), []byte("event=7003 ")); n != 1 {
		t.Errorf("the failed load is logged %d times", n)
	}
	if n := bytes.Count(logs.Bytes(), []byte("event=1005 ")); n != 1 {
		t.Errorf("the failed release is logged %d times", n)
	}
	if t.Failed() {
		t.Log(logs)
	}
}

// idleWorkers ends the test with the first tenure.
type idleWorkers struct {
	Workers
	cancel context.CancelFunc
}

func (w idleWorkers) CloseIdleConnections() { w.cancel() }
