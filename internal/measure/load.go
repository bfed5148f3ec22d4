package measure

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"
)

const (
	maxLatency     = time.Minute
	latencySigFigs = 3
)

// LoadOutcome is the result of RunOpenLoop.
type LoadOutcome struct {
	Sent      int
	Succeeded int                     // calls that succeeded within the allowed latency
	InTime    int                     // succeeded calls that ended while calls were still being sent
	Latency   *hdrhistogram.Histogram // microseconds from the planned start of each succeeded call
	Elapsed   time.Duration           // until the last call was started
	FirstErr  error
}

// Quantile returns a quantile of the latency, q from 0 to 100.
func (o LoadOutcome) Quantile(q float64) time.Duration {
	return time.Duration(o.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Goodput returns the rate of succeeded calls per second while calls were sent. Calls
// that ended later do not count, because working off a queue would look like a
// higher rate.
func (o LoadOutcome) Goodput() float64 { return float64(o.InTime) / o.Elapsed.Seconds() }

// RunOpenLoop makes calls at a constant rate for the duration d. It is an open loop: each
// call starts at its planned time even if earlier calls have not ended. Latency
// counts from the planned time and so includes any wait before the call. Calls with
// a latency above allowed do not count as succeeded.
func RunOpenLoop(ctx context.Context, perSecond float64, d, allowed time.Duration, call func(ctx context.Context, n int) error) LoadOutcome {
	out := LoadOutcome{Latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencySigFigs), Sent: int(perSecond * d.Seconds())}
	var mu sync.Mutex
	var calls sync.WaitGroup
	start := time.Now()
	for n := range out.Sent {
		planned := start.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
		sleepUntil(planned)
		calls.Go(func() {
			err := call(ctx, n)
			took := time.Since(planned)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && out.FirstErr == nil {
				out.FirstErr = err
			}
			if err == nil && took <= allowed {
				out.Succeeded++
				if out.Elapsed == 0 {
					out.InTime++
				}
				_ = out.Latency.RecordValue(max(1, min(took, maxLatency).Microseconds())) // cannot fail: the value is within the range
			}
		})
	}
	mu.Lock()
	out.Elapsed = time.Since(start)
	mu.Unlock()
	calls.Wait()
	return out
}

// sleepUntil sleeps with the system call nanosleep. In a process that waits for the
// network, time.Sleep is late by up to 1 ms, which would count as latency.
func sleepUntil(t time.Time) {
	for left := time.Until(t); left > 0; left = time.Until(t) {
		ts := unix.NsecToTimespec(left.Nanoseconds())
		_ = unix.Nanosleep(&ts, nil) // if interrupted, the loop continues
	}
}
