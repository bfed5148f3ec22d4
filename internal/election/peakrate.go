package election

import (
	"sync"
	"time"
)

// PeakRate measures the highest recent rate of a counter of bytes, for Load.PeakKbps. Observe it
// about once a second; a shorter interval makes it follow single messages.
type PeakRate struct {
	mu       sync.Mutex
	total    int64
	at       time.Duration
	observed bool
	kbps     int              // rate between the last two observations
	peaks    [peakPeriods]int // by period, the current one at index period % peakPeriods
	period   int64            // of the last observation
}

// A peak counts for peakPeriods of peakPeriod.
const (
	peakPeriod  = time.Minute
	peakPeriods = 10
)

// Kbps returns the rate of a number of bytes in kbit/s.
func Kbps(bytes int64, in time.Duration) int {
	const bytesPerKbps = 125 // bytes a second of one kbit/s
	return int(float64(bytes) / in.Seconds() / bytesPerKbps)
}

// Observe records the value of the counter at a boot time and returns the rate in kbit/s since
// the last observation; 0 for the first one and for a counter that has gone back.
func (p *PeakRate) Observe(total int64, now time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kbps = 0
	if elapsed := now - p.at; p.observed && elapsed > 0 && total >= p.total {
		p.kbps = Kbps(total-p.total, elapsed)
	}
	p.total, p.at, p.observed = total, now, true
	p.expire(now)
	current := &p.peaks[p.period%peakPeriods]
	*current = max(*current, p.kbps)
	return p.kbps
}

// Kbps returns the highest rate of the last minutes in kbit/s.
func (p *PeakRate) Kbps(now time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	highest := 0
	for _, peak := range p.peaks {
		highest = max(highest, peak)
	}
	return highest
}

// expire clears the periods that have begun since the last observation. mu is held.
func (p *PeakRate) expire(now time.Duration) {
	period := int64(now / peakPeriod)
	for n := max(p.period+1, period-peakPeriods+1); n <= period; n++ {
		p.peaks[n%peakPeriods] = 0
	}
	p.period = max(p.period, period)
}
