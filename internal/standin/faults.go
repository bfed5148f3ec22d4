package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
)

// Faults are the injected faults of a stand-in service. The zero value has none.
type Faults struct {
	// Down refuses every call with 503; nothing is applied.
	Down bool
	// Hang blocks every call until the caller cancels it, and nothing is applied,
	// or until Hang is cleared, and the call proceeds.
	Hang bool
	// Delay is the wait before a call is processed.
	Delay time.Duration
	// AnswerDelay is the wait between processing a call and answering it.
	AnswerDelay time.Duration
	// LoseAnswers applies each write, then closes the connection without an answer.
	LoseAnswers bool
	// LoseNextAnswers is the number of writes that still lose their answers.
	LoseNextAnswers int
	// WritesPerSecond and ReadsPerSecond limit the call rates; 0 means no limit.
	// Calls over the limit are refused with 429; nothing is applied.
	WritesPerSecond int
	ReadsPerSecond  int
}

// faultInjector applies the current faults to the calls of a service.
type faultInjector struct {
	mu         sync.Mutex
	faults     Faults
	changed    chan struct{} // closed and replaced at each change
	readLimit  tokenBucket
	writeLimit tokenBucket
}

// SetFaults replaces the current faults.
func (s *faultInjector) SetFaults(f Faults) { s.UpdateFaults(func(old *Faults) { *old = f }) }

// UpdateFaults changes the current faults.
func (s *faultInjector) UpdateFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// currentFaults returns the current faults and a channel that is closed when they
// change.
func (s *faultInjector) currentFaults() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.faults, s.changed
}

// faultEffect is the effect of the faults on a call before it is processed.
type faultEffect int

const (
	proceed     faultEffect = iota
	unavailable             // 503
	rateLimited             // 429
	callerGone              // the caller has canceled the call
)

// beforeCall applies the faults that act before a call is processed.
func (s *faultInjector) beforeCall(ctx context.Context, write bool) faultEffect {
	f, changed := s.currentFaults()
	for f.Hang {
		select {
		case <-ctx.Done():
			return callerGone
		case <-changed:
			f, changed = s.currentFaults()
		}
	}
	if f.Down {
		return unavailable
	}
	if !s.withinRateLimit(f, write) {
		return rateLimited
	}
	if !clock.Sleep(ctx, f.Delay) {
		return callerGone
	}
	return proceed
}

// afterCall applies the faults that act after a call was processed, and reports
// whether to answer the call.
func (s *faultInjector) afterCall(ctx context.Context, write bool) bool {
	if write && s.loseAnswer() {
		return false
	}
	f, _ := s.currentFaults()
	return clock.Sleep(ctx, f.AnswerDelay)
}

func (s *faultInjector) loseAnswer() bool {
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

func (s *faultInjector) withinRateLimit(f Faults, write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if write {
		return s.writeLimit.take(f.WritesPerSecond, time.Now())
	}
	return s.readLimit.take(f.ReadsPerSecond, time.Now())
}

// tokenBucket is a rate limiter that holds at most the tokens of burstWindow, or one
// token if that is more.
type tokenBucket struct {
	tokens float64
	last   time.Time
}

const burstWindow = 100 * time.Millisecond

// take removes a token and reports whether one was available.
func (b *tokenBucket) take(perSecond int, now time.Time) bool {
	if perSecond <= 0 {
		return true
	}
	most := max(1, float64(perSecond)*burstWindow.Seconds())
	b.tokens = min(most, b.tokens+now.Sub(b.last).Seconds()*float64(perSecond))
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// writeFaultEffect answers a call that is not processed.
func writeFaultEffect(w http.ResponseWriter, v faultEffect) {
	switch v {
	case unavailable:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	case rateLimited:
		http.Error(w, "rate limit", http.StatusTooManyRequests)
	default:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
}
