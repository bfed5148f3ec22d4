package cell

import (
	"math"
	"time"
)

// The advice that a cell can get falls with its nodes. So the cell measures the advice time
// that accepted steps still need, and refuses a work whose advice would come too late.
const (
	maxAdviceWait        = 12 * time.Second      // longest expected wait for advice of a work that is accepted; the nodes may change later
	minLongCallShare     = 0.1                   // share of the advice time that is counted on for long calls beside short ones
	adviceNeedWeight     = 2                     // a work that needs more advice is refused at a shorter wait, so that more works are accepted
	dividedShare         = 0.75                  // share of the advice that the teams divide; the rest is left to those that come later
	adviceRateWindow     = 4 * time.Second       // time constant of the measured use of advice
	maxAdviceOverhead    = 3.0                   // bound of the measured advice time per first call of a step, in first calls
	adviceDemandInterval = 50 * time.Millisecond // between sums over the accepted works
)

// adviceDemand is the advice time that accepted steps without advice still need, and the
// recent use of advice.
type adviceDemand struct {
	summedAt   time.Duration
	short      time.Duration // needed by steps with short calls, which go first
	long       time.Duration // needed by steps with long calls
	byTeam     map[*team]time.Duration
	poolSizes  map[string]int
	newShort   decayingSum // short first calls of the works accepted lately
	firstCalls decayingSum // calls for steps without advice
	allCalls   decayingSum
}

// decayingSum sums durations; those that are older than adviceRateWindow fade out.
type decayingSum struct {
	sum float64
	at  time.Duration
}

func (d *decayingSum) add(now, amount time.Duration) {
	d.sum = d.value(now) + float64(amount)
	d.at = now
}

// value returns the sum at a time.
func (d *decayingSum) value(now time.Duration) float64 {
	return d.sum * math.Exp(-float64(now-d.at)/float64(adviceRateWindow))
}

// rate returns the durations added for each unit of time.
func (d *decayingSum) rate(now time.Duration) float64 {
	return d.value(now) / float64(adviceRateWindow)
}

// countCall adds a call to the use of advice.
func (d *adviceDemand) countCall(now, callTime time.Duration, first bool) {
	d.allCalls.add(now, callTime)
	if first {
		d.firstCalls.add(now, callTime)
	}
}

// overhead returns the advice time used for each unit of time of first calls: renewals and
// further workers come on top.
func (d *adviceDemand) overhead(now time.Duration) float64 {
	first := d.firstCalls.value(now)
	if first <= 0 {
		return 1
	}
	return min(max(d.allCalls.value(now)/first, 1), maxAdviceOverhead)
}

// adviceWait is the expected wait for the advice of a new work.
type adviceWait struct {
	wait      time.Duration // expected until its first call
	weighted  time.Duration // wait, longer by what the work itself needs if it has to wait
	limit     time.Duration // longest wait with which its result is of use
	teamNeed  time.Duration // advice time that accepted steps of the team need
	teamLimit time.Duration // share of the team in what the nodes can serve within limit
}

// tooLong reports whether a work with this wait is to be refused: its advice would come too
// late, or the part that the teams divide is used up and the team has more than its share.
func (w *adviceWait) tooLong() bool {
	contended := float64(w.weighted) > dividedShare*float64(w.limit)
	return w.weighted > w.limit || contended && w.teamNeed > w.teamLimit
}

// adviceWaitOf returns the expected wait for the advice of a work that is not accepted yet.
// Short calls go before long ones.
func (c *Cell) adviceWaitOf(aw *activeWork) adviceWait {
	c.sumAdviceDemand()
	d := &c.adviceDemand
	long := aw.needsLongCalls()
	ahead := d.short
	if long {
		ahead = max(0, ahead+d.long-c.stoppingAdviceTime())
	}
	rate := c.adviceRate(long)
	w := adviceWait{wait: time.Duration(float64(ahead) / rate), limit: c.longestAdviceWait(aw), teamNeed: d.byTeam[aw.team]}
	w.weighted = w.wait
	if ahead > 0 {
		w.weighted += time.Duration(adviceNeedWeight * float64(c.adviceTimeOf(aw)) / rate)
	}
	w.teamLimit = time.Duration(rate * float64(w.limit) * c.teamShare(aw.team))
	return w
}

// adviceRate returns the first calls that the nodes can serve, short or long ones, in advice
// time for each unit of time.
func (c *Cell) adviceRate(long bool) float64 {
	nodes := max(1, c.answeringNodes())
	overhead := c.adviceDemand.overhead(c.now)
	rate := (1 - overdueShare) * float64(nodes)
	if long {
		rate -= c.adviceDemand.newShort.rate(c.now) * overhead
		rate = min(rate, float64(maxLongCalls(nodes)))
	}
	return max(rate, minLongCallShare*float64(nodes)) / overhead
}

// needsLongCalls reports whether the advice calls for a work are long.
func (aw *activeWork) needsLongCalls() bool { return aw.queue.Advice.CallDuration >= longCallTime }

// longestAdviceWait returns the longest wait for advice with which the result of a new work
// is of use.
func (c *Cell) longestAdviceWait(aw *activeWork) time.Duration {
	o := &occurrence{due: c.now}
	for i := range aw.spec.Steps {
		o.steps = append(o.steps, newStep(aw, o, i))
	}
	c.setDeadline(aw, o)
	path := time.Duration(0)
	for _, s := range o.steps {
		path = max(path, s.criticalPath)
	}
	return min(maxAdviceWait, max(overdueAfter, o.usefulUntil-c.now-path))
}

// teamShare returns the share of a team in the advice, by the rates of the teams that need
// some.
func (c *Cell) teamShare(t *team) float64 {
	own := weightOf(t)
	total := own
	for other := range c.adviceDemand.byTeam {
		if other != t {
			total += weightOf(other)
		}
	}
	return dividedShare * float64(own) / float64(total)
}

// weightOf returns the weight of a team, in thousandths of a submission per second.
func weightOf(t *team) int { return max(1, int(1000*t.submitRate)) }

// sumAdviceDemand sums the advice time that the accepted steps without advice still need.
func (c *Cell) sumAdviceDemand() {
	d := &c.adviceDemand
	if d.byTeam != nil && c.now-d.summedAt < adviceDemandInterval {
		return
	}
	d.summedAt = c.now
	d.short, d.long = 0, 0
	d.byTeam = map[*team]time.Duration{}
	d.poolSizes = map[string]int{}
	for _, w := range c.fleet {
		d.poolSizes[w.info.Pool]++
	}
	for _, aw := range c.works {
		if aw.queue.Advice == nil || isTerminal(aw.state) {
			continue
		}
		for _, o := range aw.occurrences {
			for _, s := range o.steps {
				if s.waiting > 0 && s.advice.empty() {
					d.addNeed(aw, c.firstCallTime(s))
				}
			}
		}
	}
}

// addNeed adds advice time that a work needs.
func (d *adviceDemand) addNeed(aw *activeWork, need time.Duration) {
	if aw.needsLongCalls() {
		d.long += need
	} else {
		d.short += need
	}
	d.byTeam[aw.team] += need
}

// adviceAccepted adds the advice that an accepted work needs.
func (c *Cell) adviceAccepted(aw *activeWork) {
	if aw.queue.Advice == nil {
		return
	}
	need := c.adviceTimeOf(aw)
	d := &c.adviceDemand
	if !aw.needsLongCalls() {
		d.newShort.add(c.now, need)
	}
	if d.byTeam != nil {
		d.addNeed(aw, need)
	}
}

// adviceTimeOf returns the duration of the first calls for the steps of a work.
func (c *Cell) adviceTimeOf(aw *activeWork) time.Duration {
	total := time.Duration(0)
	for i := range aw.spec.Steps {
		total += c.firstCallTime(&step{work: aw, number: i})
	}
	return total
}

// firstCallTime returns the expected duration of the first call for a step.
func (c *Cell) firstCallTime(s *step) time.Duration {
	return c.expectedCallTime(s, min(usualCallWorkers, c.adviceDemand.poolSizes[s.work.queue.Pool]))
}
