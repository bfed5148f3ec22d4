package logsink

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
)

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Guards against a stalled reader of the log that blocks the code that logs.
func TestWriteDoesNotWaitForTheReader(t *testing.T) {
	r, w := io.Pipe() // nobody reads
	defer r.Close()
	s := New(w)
	began := time.Now()
	for range 10000 {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("10000 lines took %v", took)
	}
	if s.Dropped() == 0 {
		t.Error("no line was dropped although nobody reads")
	}
	s.Close(50 * time.Millisecond)
}

// Guards against a log that grows without bound under load, and against dropped lines
// that are not reported.
func TestBudget(t *testing.T) {
	out := &lockedBuffer{}
	now := time.Unix(0, 0)
	var mu sync.Mutex
	s := newSink(out, func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	})
	for range 3 * linesPerSecond {
		_, _ = s.Write([]byte("line\n"))
	}
	mu.Lock()
	now = now.Add(2 * time.Second)
	mu.Unlock()
	_, _ = s.Write([]byte("after\n"))
	s.Close(time.Second)
	lines := strings.Count(out.String(), "line\n")
	if want := int(burstSeconds * linesPerSecond); lines != want {
		t.Errorf("%d lines were written, the budget is %d", lines, want)
	}
	if s.Dropped() != int64(3*linesPerSecond-lines) || !strings.Contains(out.String(), "log lines dropped") || !strings.Contains(out.String(), "after") {
		t.Errorf("%d dropped; end of the log: %q", s.Dropped(), out.String()[max(0, out.b.Len()-120):])
	}
}

// Guards against dropped lines that are never reported because the sink is closed
// within a second after they were dropped.
func TestDropsAreReportedAtTheEnd(t *testing.T) {
	out := &lockedBuffer{}
	s := newSink(out, func() time.Time { return time.Unix(0, 0) })
	for range 3 * linesPerSecond {
		_, _ = s.Write([]byte("line\n"))
	}
	s.Close(time.Second)
	if !strings.Contains(out.String(), "count=500 total=500") {
		t.Errorf("%d dropped; end of the log: %q", s.Dropped(), out.String()[max(0, out.b.Len()-120):])
	}
}

// valueCounter counts how often it is formatted.
type valueCounter struct{ n *int }

func (v valueCounter) String() string {
	*v.n++
	return "value"
}

func noBulk([]any) bool { return false }

// Guards against lines about single tasks that crowd out the lines which explain why tasks wait.
func TestBulkLinesLeaveRoomForOthers(t *testing.T) {
	now := time.Unix(0, 0)
	out := &lockedBuffer{}
	s := newSink(out, func() time.Time { return now })
	logger := s.Limit(log.NewLogfmtLogger(s), func(keyvals []any) bool { return keyvals[0] == "task" })
	for range 10 * linesPerSecond {
		_ = logger.Log("task", "placed")
	}
	const others = linesPerSecond / 10
	for range others {
		_ = logger.Log("step", "waits")
	}
	s.Close(time.Second)
	if n := strings.Count(out.String(), "step=waits"); n != others {
		t.Errorf("%d of %d other lines are written after a flood of bulk lines", n, others)
	}
	if n := strings.Count(out.String(), "task=placed"); n < linesPerSecond {
		t.Errorf("only %d bulk lines are written", n)
	}
}

// Guards against time spent on formatting lines that are dropped.
func TestLinesBeyondTheBudgetAreNotFormatted(t *testing.T) {
	now := time.Unix(0, 0)
	s := newSink(io.Discard, func() time.Time { return now })
	defer s.Close(time.Second)
	logger := s.Limit(log.NewLogfmtLogger(s), noBulk)
	formatted := 0
	const lines = 10 * linesPerSecond
	for range lines {
		if err := logger.Log("key", valueCounter{&formatted}); err != nil {
			t.Fatal(err)
		}
	}
	if limit := int(burstSeconds * linesPerSecond); formatted == 0 || formatted > limit {
		t.Errorf("%d lines formatted, want 1 to %d", formatted, limit)
	}
	if got := s.Dropped(); got != lines-int64(formatted) {
		t.Errorf("%d lines counted as dropped, want %d", got, lines-formatted)
	}
}
