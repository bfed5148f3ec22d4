package measure

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"
)

const (
	maxLatency   = time.Minute
	latencyDigit = 3
)

// Outcome is what a Load saw.
type Outcome struct {
	Offered  int
	Good     int                     // calls that succeeded within the time allowed
	InTime   int                     // of these, those that ended before the last call was offered
	Latency  *hdrhistogram.Histogram // microseconds from the planned start of each success
	Elapsed  time.Duration
	FirstErr error
}

// Quantile returns a quantile of the latency, q from 0 to 100.
func (o Outcome) Quantile(q float64) time.Duration {
	return time.Duration(o.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Goodput returns the good calls a second while calls were offered. What was
// still queued then does not count, or a queue would look like a higher rate.
func (o Outcome) Goodput() float64 { return float64(o.InTime) / o.Elapsed.Seconds() }

// Offer makes calls at an even rate for a time. It is an open loop: a call is
// made at its planned time whether or not earlier ones have ended, and latency
// counts from that time, so that waiting is not left out.
func Offer(ctx context.Context, perSecond float64, d, allowed time.Duration, call func(ctx context.Context, n int) error) Outcome {
	out := Outcome{Latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigit), Offered: int(perSecond * d.Seconds())}
	var mu sync.Mutex
	var calls sync.WaitGroup
	start := time.Now()
	for n := range out.Offered {
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
				out.Good++
				if out.Elapsed == 0 {
					out.InTime++
				}
				_ = out.Latency.RecordValue(max(1, min(took, maxLatency).Microseconds())) // within its range
			}
		})
	}
	mu.Lock()
	out.Elapsed = time.Since(start)
	mu.Unlock()
	calls.Wait()
	return out
}

// sleepUntil sleeps by the system call: time.Sleep of a process that waits for
// its network is late by up to 1 ms, which would count as latency.
func sleepUntil(t time.Time) {
	for left := time.Until(t); left > 0; left = time.Until(t) {
		ts := unix.NsecToTimespec(left.Nanoseconds())
		_ = unix.Nanosleep(&ts, nil) // if interrupted, the loop sleeps again
	}
}
