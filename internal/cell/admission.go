package cell

import (
	"time"

	"github.com/endivehill/endivehill/internal/errkind"
)

// tokenBucket measures whether a team keeps within its rate of submissions. Works beyond
// the rate have a lower rank, and are refused while the pool is full.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// burstSeconds is the size of a burst, in seconds of the rate.
const burstSeconds = 3.0

// takeToken takes a token and reports whether the rate permits the submission. A rate
// of 0 means unlimited.
func (b *tokenBucket) takeToken(now time.Duration, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	if b.refilledAt == 0 {
		b.tokens = burstSeconds * perSecond
	} else {
		b.tokens = min(burstSeconds*perSecond, b.tokens+perSecond*(now-b.refilledAt).Seconds())
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// checkAdvice returns an error if the advice for a work that ends by itself would come too
// late. A scheduled work is not refused, because its advice is needed later.
func (c *Cell) checkAdvice(aw *activeWork) error {
	if aw.queue.Advice == nil || aw.longRunning() || aw.spec.RepeatCount > 0 || len(c.adviceNodes) == 0 {
		return nil
	}
	w := c.adviceWaitOf(aw)
	if !w.tooLong() {
		return nil
	}
	c.stats.Refused++
	c.logAdviceScarce(aw, w)
	return errkind.New(errkind.Overloaded, "", "the works accepted before need the scheduling advice of the next %.1f s", w.wait.Seconds())
}

// saturated reports whether tasks waited for room in the pool in the last pass.
func (c *Cell) saturated(pool string) bool { return c.saturatedPools[pool] }

// updateSaturatedPools finds the pools in which a step found no room in this pass.
// Steps beyond the rate, or too late to be useful, do not count.
func (c *Cell) updateSaturatedPools() {
	clear(c.saturatedPools)
	for _, s := range c.ready {
		if s.orderKey.rank <= rankLate && s.waiting > 0 && s.noRoomAt == c.now {
			c.saturatedPools[s.work.queue.Pool] = true
		}
	}
}
