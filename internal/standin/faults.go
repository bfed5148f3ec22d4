package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
)

// Faults of a stand-in service. The zero value has none.
type Faults struct {
	// Down refuses every call with 503; nothing is applied.
	Down bool
	// Hang leaves every call without an answer until the caller gives up or the
	// fault is cleared; nothing is applied.
	Hang bool
	// Delay is waited before a call is done.
	Delay time.Duration
	// AnswerDelay is waited after a call was done and before it is answered.
	AnswerDelay time.Duration
	// LoseAnswers does each write, then closes the connection unanswered.
	LoseAnswers bool
	// LoseNextAnswers loses the answers of that many writes.
	LoseNextAnswers int
	// WritesPerSecond and ReadsPerSecond bound the calls; 0 for no bound. Calls
	// over the limit are refused with 429; nothing is applied.
	WritesPerSecond int
	ReadsPerSecond  int
}

// faultSwitch holds the faults in force.
type faultSwitch struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed and replaced at each change
	reads   bucket
	writes  bucket
}

// SetFaults replaces the faults in force.
func (s *faultSwitch) SetFaults(f Faults) { s.UpdateFaults(func(old *Faults) { *old = f }) }

// UpdateFaults changes the faults in force.
func (s *faultSwitch) UpdateFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// current returns the faults in force and a channel closed when they change.
func (s *faultSwitch) current() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.faults, s.changed
}

// verdict is what a fault does to a call before it is done.
type verdict int

const (
	proceed verdict = iota
	refuse          // 503
	limit           // 429
	abandon         // the caller is gone
)

// before applies the faults that act before a call is done.
func (s *faultSwitch) before(ctx context.Context, write bool) verdict {
	f, changed := s.current()
	for f.Hang {
		select {
		case <-ctx.Done():
			return abandon
		case <-changed:
			f, changed = s.current()
		}
	}
	if f.Down {
		return refuse
	}
	if !s.admit(f, write) {
		return limit
	}
	if !clock.Sleep(ctx, f.Delay) {
		return abandon
	}
	return proceed
}

// after applies the faults that act once a call was done, and reports whether
// it is to be answered.
func (s *faultSwitch) after(ctx context.Context, write bool) bool {
	if write && s.loseAnswer() {
		return false
	}
	f, _ := s.current()
	return clock.Sleep(ctx, f.AnswerDelay)
}

func (s *faultSwitch) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers {
		return true
	}
	if s.faults.LoseNextAnswers == 0 {
		return false
	}
	s.faults.LoseNextAnswers--
	return true
}

func (s *faultSwitch) admit(f Faults, write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if write {
		return s.writes.take(f.WritesPerSecond, time.Now())
	}
	return s.reads.take(f.ReadsPerSecond, time.Now())
}

// bucket is a token bucket that holds at most the tokens of bucketWindow.
type bucket struct {
	tokens float64
	last   time.Time
}

const bucketWindow = 100 * time.Millisecond

// take removes a token and reports whether there was one.
func (b *bucket) take(perSecond int, now time.Time) bool {
	if perSecond <= 0 {
		return true
	}
	most := max(1, float64(perSecond)*bucketWindow.Seconds())
	b.tokens = min(most, b.tokens+now.Sub(b.last).Seconds()*float64(perSecond))
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// writeVerdict answers a call that is not done.
func writeVerdict(w http.ResponseWriter, v verdict) {
	switch v {
	case refuse:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	case limit:
		http.Error(w, "rate limit", http.StatusTooManyRequests)
	default:
		panic(http.ErrAbortHandler) // closes the connection unanswered
	}
}
