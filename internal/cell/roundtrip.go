package cell

import "time"

// roundTrip estimates how long a worker takes to answer a call, from the calls that it has
// answered, also late ones. The estimate and its deviation are those of RFC 6298.
type roundTrip struct {
	smoothed  time.Duration
	deviation time.Duration
	known     bool
}

// Weights of RFC 6298.
const (
	roundTripGain    = 8 // a new sample changes the smoothed time by 1/8 of the difference
	deviationGain    = 4 // and the deviation by 1/4
	deviationsInWait = 4 // deviations that a timeout allows for
)

// observe adds the time that a call has taken.
func (r *roundTrip) observe(sample time.Duration) {
	sample = max(0, sample)
	if !r.known {
		r.smoothed, r.deviation, r.known = sample, sample/2, true
		return
	}
	r.deviation += ((sample - r.smoothed).Abs() - r.deviation) / deviationGain
	r.smoothed += (sample - r.smoothed) / roundTripGain
}

// timeout returns the time after which an answer is overdue, within bounds.
func (r *roundTrip) timeout(shortest, longest time.Duration) time.Duration {
	return min(max(r.smoothed+deviationsInWait*r.deviation, shortest), longest)
}
