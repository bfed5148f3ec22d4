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
	// Hang blocks every call until Hang is cleared, then the call proceeds. A call
	// that its caller cancels before that has no effect.
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
func (fi *faultInjector) SetFaults(f Faults) { fi.UpdateFaults(func(old *Faults) { *old = f }) }

// UpdateFaults changes the current faults.
func (fi *faultInjector) UpdateFaults(change func(*Faults)) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	change(&fi.faults)
	if fi.changed != nil {
		close(fi.changed)
	}
	fi.changed = make(chan struct{})
}

// currentFaults returns the current faults and a channel that is closed when they
// change.
func (fi *faultInjector) currentFaults() (Faults, <-chan struct{}) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	if fi.changed == nil {
		fi.changed = make(chan struct{})
	}
	return fi.faults, fi.changed
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
func (fi *faultInjector) beforeCall(ctx context.Context, write bool) faultEffect {
	f, changed := fi.currentFaults()
	for f.Hang {
		select {
		case <-ctx.Done():
			return callerGone
		case <-changed:
			f, changed = fi.currentFaults()
		}
	}
	if f.Down {
		return unavailable
	}
	if !fi.withinRateLimit(f, write) {
		return rateLimited
	}
	if !clock.Sleep(ctx, f.Delay) {
		return callerGone
	}
	return proceed
}

// afterCall applies the faults that act after a call was processed, and reports
// whether to answer the call.
func (fi *faultInjector) afterCall(ctx context.Context, write bool) bool {
	if write && fi.loseAnswer() {
		return false
	}
	f, _ := fi.currentFaults()
	return clock.Sleep(ctx, f.AnswerDelay)
}

func (fi *faultInjector) loseAnswer() bool {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	if fi.faults.LoseAnswers {
		return true
	}
	if fi.faults.LoseNextAnswers == 0 {
		return false
	}
	fi.faults.LoseNextAnswers--
	return true
}

func (fi *faultInjector) withinRateLimit(f Faults, write bool) bool {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	if write {
		return fi.writeLimit.take(f.WritesPerSecond, time.Now())
	}
	return fi.readLimit.take(f.ReadsPerSecond, time.Now())
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
	capacity := max(1, float64(perSecond)*burstWindow.Seconds())
	b.tokens = min(capacity, b.tokens+now.Sub(b.last).Seconds()*float64(perSecond))
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// writeFaultEffect answers a call that is not processed.
func writeFaultEffect(w http.ResponseWriter, effect faultEffect) {
	switch effect {
	case unavailable:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	case rateLimited:
		http.Error(w, "rate limit", http.StatusTooManyRequests)
	default:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
}
