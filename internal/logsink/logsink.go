// Package logsink writes log lines without ever making the work wait: lines go
// through a bounded queue, and what exceeds the queue or the budget of lines and
// bytes is dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a sink.
const (
	queueLines     = 2048
	linesPerSecond = 500
	bytesPerSecond = 128 << 10
	burstSeconds   = 2.0
	reportInterval = time.Second // between two lines about what was dropped
)

// Sink is an io.Writer that takes one line with each Write. A Write never waits for
// the writer behind it.
type Sink struct {
	out     io.Writer
	now     func() time.Time
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.Mutex // guards what follows
	closed bool
	lines  float64 // left of the budget
	bytes  float64
	filled time.Time
}

// New starts a sink in front of out.
func New(out io.Writer) *Sink { return newSink(out, time.Now) }

func newSink(out io.Writer, now func() time.Time) *Sink {
	s := &Sink{
		out: out, now: now, queue: make(chan []byte, queueLines), done: make(chan struct{}),
		lines: burstSeconds * linesPerSecond, bytes: burstSeconds * bytesPerSecond, filled: now(),
	}
	go s.run(s.filled)
	return s
}

// Write queues a line, or drops and counts it.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.takeBudget(len(line)) {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// takeBudget reports whether a line is within the budget.
func (s *Sink) takeBudget(n int) bool {
	now := s.now()
	seconds := max(0, now.Sub(s.filled).Seconds())
	s.filled = now
	s.lines = min(burstSeconds*linesPerSecond, s.lines+seconds*linesPerSecond)
	s.bytes = min(burstSeconds*bytesPerSecond, s.bytes+seconds*bytesPerSecond)
	if s.lines < 1 || s.bytes < float64(n) {
		return false
	}
	s.lines--
	s.bytes -= float64(n)
	return true
}

// Dropped returns the number of lines that were dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// run writes the queued lines, and says from time to time, and at the end, how many
// were dropped since the sink was started.
func (s *Sink) run(started time.Time) {
	defer close(s.done)
	var reported int64
	reportedAt := started
	for line := range s.queue {
		if _, err := s.out.Write(line); err != nil {
			s.dropped.Add(1)
		}
		if now := s.now(); now.Sub(reportedAt) >= reportInterval {
			reported, reportedAt = s.report(reported), now
		}
	}
	s.report(reported)
}

// report writes how many lines were dropped beyond those reported, and returns the
// new total.
func (s *Sink) report(reported int64) int64 {
	dropped := s.dropped.Load()
	if dropped > reported {
		fmt.Fprintf(s.out, "level=warn msg=\"log lines dropped\" count=%d total=%d\n", dropped-reported, dropped)
	}
	return dropped
}

// Close writes what is queued, at most for the given time.
func (s *Sink) Close(limit time.Duration) {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.queue)
	}
	s.mu.Unlock()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C:
	}
}
