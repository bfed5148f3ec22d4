// Package logsink writes log lines without blocking the code that logs. Lines go
// through a bounded queue. Lines beyond the queue or the rate limit of lines and
// bytes are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
)

// Limits of a sink.
const (
	maxQueuedLines = 2048
	linesPerSecond = 500
	bytesPerSecond = 128 << 10
	burstSeconds   = 2.0
	reservedShare  = 0.2 // of a burst, which bulk lines leave to others
	usualLineBytes = 200
	reportInterval = time.Second // between two reports of dropped lines
)

// Sink is an io.Writer that gets one line with each Write. Write never waits for the
// underlying writer.
type Sink struct {
	out     io.Writer
	now     func() time.Time
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu         sync.Mutex // guards the fields below
	closed     bool
	lineBudget float64 // lines that may be written now
	byteBudget float64
	refilledAt time.Time
}

// New starts a sink that writes to out.
func New(out io.Writer) *Sink { return newSink(out, time.Now) }

func newSink(out io.Writer, now func() time.Time) *Sink {
	s := &Sink{
		out: out, now: now, queue: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
		lineBudget: burstSeconds * linesPerSecond, byteBudget: burstSeconds * bytesPerSecond, refilledAt: now(),
	}
	go s.writeQueued(s.refilledAt)
	return s
}

// Write queues a line, or drops and counts it.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.consumeBudget(len(line)) {
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

// consumeBudget refills the budgets and takes a line of n bytes from them. It reports
// false and takes nothing if they do not suffice.
func (s *Sink) consumeBudget(n int) bool {
	s.refill()
	if s.lineBudget < 1 || s.byteBudget < float64(n) {
		return false
	}
	s.lineBudget--
	s.byteBudget -= float64(n)
	return true
}

// refill adds to the budgets what the time since the last refill permits. mu is held.
func (s *Sink) refill() {
	now := s.now()
	seconds := max(0, now.Sub(s.refilledAt).Seconds())
	s.refilledAt = now
	s.lineBudget = min(burstSeconds*linesPerSecond, s.lineBudget+seconds*linesPerSecond)
	s.byteBudget = min(burstSeconds*bytesPerSecond, s.byteBudget+seconds*bytesPerSecond)
}

// Limit returns a logger that passes lines on to next, which writes to the sink, unless the
// rate limit is exhausted. Such a line is dropped before it is formatted. Lines for which
// isBulk returns true, such as those about a single task, leave a part of the limit to others.
func (s *Sink) Limit(next log.Logger, isBulk func(keyvals []any) bool) log.Logger {
	return log.LoggerFunc(func(keyvals ...any) error {
		reserved := 0.0
		if isBulk(keyvals) {
			reserved = reservedShare
		}
		if s.exhausted(reserved) {
			s.dropped.Add(1)
			return nil
		}
		return next.Log(keyvals...)
	})
}

// exhausted reports whether the budgets, less the reserved share of a burst, permit no line of
// usual length.
func (s *Sink) exhausted(reserved float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill()
	reserved *= burstSeconds
	return s.lineBudget < reserved*linesPerSecond+1 || s.byteBudget < reserved*bytesPerSecond+usualLineBytes
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// writeQueued writes the queued lines until the queue is closed. It reports dropped
// lines at most once per reportInterval and at the end.
func (s *Sink) writeQueued(started time.Time) {
	defer close(s.done)
	var reported int64
	reportedAt := started
	for line := range s.queue {
		if _, err := s.out.Write(line); err != nil {
			s.dropped.Add(1)
		}
		if now := s.now(); now.Sub(reportedAt) >= reportInterval {
			reported, reportedAt = s.reportDropped(reported), now
		}
	}
	s.reportDropped(reported)
}

// reportDropped writes how many lines were dropped since the last report and returns the
// total number of dropped lines. reported is the total at the last report.
func (s *Sink) reportDropped(reported int64) int64 {
	dropped := s.dropped.Load()
	if dropped > reported {
		fmt.Fprintf(s.out, "level=warn msg=\"log lines dropped\" count=%d total=%d\n", dropped-reported, dropped)
	}
	return dropped
}

// Close stops accepting lines and waits until the queued lines are written, at most
// for limit.
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
