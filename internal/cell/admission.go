package cell

import "time"

// rateBucket limits how many works a second count as expected.
type rateBucket struct {
	tokens float64
	at     time.Duration
}

// rateBurst is how many seconds of its rate a team may send at once.
const rateBurst = 3.0

// take reports whether one more work is within the rate. A rate of 0 is none.
func (b *rateBucket) take(now time.Duration, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	if b.at == 0 {
		b.tokens = rateBurst * perSecond
	} else {
		b.tokens = min(rateBurst*perSecond, b.tokens+perSecond*(now-b.at).Seconds())
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// saturated reports whether work waits for room in a pool.
func (c *Cell) saturated(pool string) bool { return c.waitingIn[pool] }

// noteWaiting notes in which pools work that could still be in time found no room
// in a pass.
func (c *Cell) noteWaiting() {
	clear(c.waitingIn)
	for _, s := range c.ready {
		if s.key.rank <= rankLate && s.waiting > 0 && s.triedAt == c.now {
			c.waitingIn[s.job.queue.Pool] = true
		}
	}
}
